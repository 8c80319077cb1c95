// Package consumer is the HTTP front: it listens for the consumers and turns what they send into
// invocations for the core, and the core's answers into HTTP.
package consumer

import (
	"context"
	"errors"
	"log"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"plankrouter/internal/config"
	"plankrouter/internal/ending"
	"plankrouter/internal/faults"
	"plankrouter/internal/figures"
	"plankrouter/internal/flow"
	"plankrouter/internal/guard"
	"plankrouter/internal/invocation"
	"plankrouter/internal/sockets"
)

const (
	lookEvery   = 2 * time.Second         // whether an idle connection may stay; one that has brought nothing yet may not
	headWithin  = 2700 * time.Millisecond // for a request's head, from its first byte
	firstWithin = 2700 * time.Millisecond // for the first one's, from its connection's begin
	idleMost    = time.Minute
	writeWithin = 10 * time.Second // for an answer, or for each piece of a long one
	lingerMost  = 128 << 10
	lingerFor   = 500 * time.Millisecond
	floodFor    = 100 * time.Millisecond
	closingFor  = 50 * time.Millisecond // instead of lingerFor, once the front is being closed: the process may be killed soon
	acceptPause = 5 * time.Millisecond
	leftEvery   = 100 * time.Millisecond // whether a consumer has left behind something that is still unread
	lastLook    = time.Millisecond       // at the kernel's backlog, once the front is being closed
	acceptAgain = 300 * time.Millisecond // for as long, if that look fails: what lies there has been taken, and the kill is 0.5 s away or more
	halfFor     = 20 * time.Millisecond  // for the rest of a request that has begun, once the front is being closed

	// A consumer opens a connection when all it has are busy. One that has just been answered is thus about to carry a
	// request, which would be lost if the connection were closed to make room. But a new one waits to carry one now:
	// the oldest goes, even where consumers ask once and stay and none has been idle for long. One that is new is about
	// to carry a request too, but that comes at once: those that have brought nothing by then are the first to go.
	spareAfter    = 100 * time.Millisecond
	strangerAfter = 25 * time.Millisecond
	partAfter     = 500 * time.Millisecond // for the rest of its first request
)

// Server is the front.
type Server struct {
	core    invocation.Core
	budget  *sockets.Budget
	book    *figures.Book
	bounds  *flow.Bounds
	dialect atomic.Pointer[dialect]

	// Rules counts the requests whose connection was ended without their answer; nil = nobody does. Set it before Serve.
	Rules *guard.Book
	// Trace logs a line for each connection as it ends; nil = none does. Set it before Serve.
	Trace func(format string, args ...any)

	Connections, Adopted, NotTaken atomic.Int64

	mu      sync.Mutex
	conns   map[*conn]bool               // true = a message is under way
	staying bool                         // idle connections are kept: who loses one finds nobody to open another to
	pass    func(net.Conn, []byte) error // hands an idle connection to a successor; nil = there is none
	empty   chan struct{}                // closed when the last connection has ended, once there is a successor
	resumed chan struct{}                // closed when there is none any more
	paused  bool                         // none comes in meanwhile
	closed  chan struct{}                // by Drain
	hung    chan struct{}                // by hangUp
	running errgroup.Group               // the connections' goroutines
	serving bool                         // Serve has been called
	closing bool
	closeAt time.Time // since then the listener is about to be closed, once nothing lies in its backlog
	halfAt  time.Time // then half a request is read no further
	endings ending.Counts
}

// New returns a front for core that counts in book what becomes of the requests it takes.
func New(cfg *config.Config, core invocation.Core, budget *sockets.Budget, book *figures.Book, bounds *flow.Bounds) *Server {
	s := &Server{core: core, budget: budget, book: book, bounds: bounds, conns: map[*conn]bool{}, closed: make(chan struct{}),
		hung: make(chan struct{})}
	s.Reconfigure(&cfg.Settings)
	return s
}

// Reconfigure goes by other classes and tenants from the next request on.
func (s *Server) Reconfigure(set *config.Settings) {
	s.book.Classes(set.ClassNames()...)
	s.dialect.Store(newDialect(set))
}

// Serve accepts connections until Drain or the end of ctx, and returns when the last one has ended.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { s.hangUp(l) })()
	defer s.running.Wait()
	defer l.Close()
	s.mu.Lock()
	s.serving = true
	s.mu.Unlock()
	failures := 0 // of accept, in a row
	for !s.isLast() {
		if !s.budget.Reserve(sockets.Inward) { // the kernel's backlog holds the consumer until there is room
			select {
			case <-s.budget.Freed():
			case <-time.After(acceptPause): // some connection may have been idle for long enough now
			case <-ctx.Done():
				return nil
			}
			continue
		}
		nc, err := accept(l)
		if err == nil {
			if failures > 0 {
				log.Printf("listen=%s state=accepts_again failures=%d", l.Addr(), failures)
				failures = 0
			}
			s.admitNew(nc)
			continue
		}
		s.budget.Release(sockets.Inward)
		if resumed := s.pause(); resumed != nil {
			select {
			case <-resumed:
				continue
			case <-s.closed:
			case <-ctx.Done():
			}
			return nil
		}
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded) && s.isClosing():
			continue
		}
		if failures++; failures == 1 {
			log.Printf("listen=%s state=accept_failed err=%q", l.Addr(), err)
		}
		select {
		case <-time.After(acceptPause):
		case <-ctx.Done():
		}
	}
	s.acceptLast(ctx, l)
	return nil
}

// acceptLast takes in what lies in the listener's backlog and closes it, then the connections that are idle: a client whose connection
// is closed may knock at once, and would be lost between the last look at the backlog and the close. Where accepts fail or places are
// short, idle connections make room first.
func (s *Server) acceptLast(ctx context.Context, l net.Listener) {
	defer s.closeIdle()
	defer l.Close()
	for !s.pastLast(acceptAgain) && ctx.Err() == nil {
		if s.acceptRest(l) {
			return
		}
		s.closeIdle()
		select {
		case <-s.budget.Freed():
		case <-time.After(lastLook):
		case <-ctx.Done():
		}
	}
}

// acceptRest accepts until nothing is left, and reports whether that was so; false = it is to be tried again.
func (s *Server) acceptRest(l net.Listener) (empty bool) {
	for {
		closed, err := sockets.CloseEmpty(l)
		if closed {
			return true
		}
		if !s.budget.Reserve(sockets.Inward) {
			return false
		}
		if d, ok := l.(deadliner); ok {
			d.SetDeadline(time.Now().Add(lastLook))
		}
		nc, failed := accept(l)
		if failed != nil {
			s.budget.Release(sockets.Inward)
			return errors.Is(failed, net.ErrClosed) || errors.Is(err, errors.ErrUnsupported) && errors.Is(failed, os.ErrDeadlineExceeded)
		}
		s.admitNew(nc)
	}
}

// admitNew serves a connection that has just been accepted.
func (s *Server) admitNew(nc net.Conn) {
	s.Connections.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admit(nc, "")
}

// accept is l.Accept, which a soak may fail.
func accept(l net.Listener) (net.Conn, error) {
	if err := faults.Inject(faults.Accept); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Accept()
}

// admit serves a connection, with the note of the process that had it before. It is called with mu held.
func (s *Server) admit(nc net.Conn, note string) {
	c := &conn{server: s, socket: s.budget.Adopt(nc, sockets.Inward), began: time.Now(), brought: note != "",
		known: note == noteKnown}
	if c.known {
		c.socket.Idle(spareAfter)
	} else {
		c.socket.Stranger(strangerAfter)
	}
	s.conns[c] = false
	switch c.idleAt = c.began; {
	case s.closing && note != "": // between two messages, as those that Drain closes
		c.wind(0)
	case s.closing: // accepted at the last moment: it may still bring one request
		c.last = true
		c.wind(time.Until(s.closeAt) + closingFor)
	case s.pass != nil:
		c.wind(0)
	default:
		c.socket.Extend(c.began.Add(lookEvery))
	}
	s.running.Go(func() error { c.run(); return nil })
}

// Stay keeps the connections that are open, however long they are idle, until Drain.
func (s *Server) Stay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staying = true
}

// The notes that go with a connection to a successor: what it has brought so far. A new one has none.
const (
	noteBrought = "brought" // a message
	noteKnown   = "known"   // an invocation
)

// Expect keeps Serve from returning until done is called: a predecessor may still pass connections to Adopt.
func (s *Server) Expect() (done func()) {
	wait := make(chan struct{})
	s.running.Go(func() error { <-wait; return nil })
	return sync.OnceFunc(func() { close(wait) })
}

// Adopt serves a connection that a predecessor had, whether or not the limit on sockets leaves room: it is there already,
// and may have brought a request. It is called between Expect and its done.
func (s *Server) Adopt(nc net.Conn, note []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Force(sockets.Inward)
	s.Adopted.Add(1)
	s.admit(nc, string(note))
}

// HandOver passes every connection on as soon as it is between two messages, with a note for the successor's Adopt, and
// returns a channel that is closed when none is left. What pass fails for stays. The caller then stops the listener by a
// deadline, which Resume's caller takes back.
func (s *Server) HandOver(pass func(c net.Conn, note []byte) error) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	empty := make(chan struct{})
	s.pass, s.empty, s.resumed = pass, empty, make(chan struct{})
	for c, busy := range s.conns {
		if !busy {
			c.wind(0)
		}
	}
	return empty
}

// Resume ends HandOver: the successor is gone, and this process serves on.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pass, s.empty, s.paused = nil, nil, false
	close(s.resumed)
}

// Passing reports whether a successor is being given the connections.
func (s *Server) Passing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pass != nil
}

// pause notes that no connection comes in any more, and returns a channel that is closed by Resume; nil without HandOver.
func (s *Server) pause() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pass == nil {
		return nil
	}
	s.paused = true
	s.leftEmpty()
	return s.resumed
}

// leftEmpty tells the one who hands over that no connection is left nor to come. It is called with mu held.
func (s *Server) leftEmpty() {
	if s.empty != nil && s.paused && len(s.conns) == 0 {
		close(s.empty)
		s.empty = nil
	}
}

// deadliner is a listener that can be told until when it accepts.
type deadliner interface{ SetDeadline(time.Time) error }

// isLast reports whether what lies in the backlog by now is the last that is accepted.
func (s *Server) isLast() bool { return s.pastLast(0) }

// pastLast reports whether that has been so for a while.
func (s *Server) pastLast(while time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing && !time.Now().Before(s.closeAt.Add(while))
}

// Drain closes the listener and the connections that are between two messages. The others end with their answer; of half a request that
// is a refusal, since its rest may come at any time up to the kill. What the kernel has accepted by then would be lost with the listener, with requests that count as taken: Serve takes that in first,
// and closes the listener. During a handover the successor holds the backlog too.
func (s *Server) Drain(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); !s.closing {
		s.closing, s.closeAt, s.halfAt = true, now, now.Add(halfFor)
		s.budget.Hurry() // others wait in a backlog that is about to be closed
		close(s.closed)
	}
	if d, ok := l.(deadliner); s.serving && ok && s.pass == nil && d.SetDeadline(s.closeAt) == nil {
		return // Serve closes the listener, and then what is idle
	}
	l.Close()
	s.windIdle()
}

// closeIdle is windIdle for who does not hold mu.
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.windIdle()
}

// windIdle ends the connections that are between two messages, and has half a message be the last that is read of its connection. One that
// has been accepted since has a moment for its one request: see admit. It is called with mu held.
func (s *Server) windIdle() {
	for c, busy := range s.conns {
		switch {
		case !busy && !c.last:
			c.wind(0)
		case c.reading:
			c.socket.SetReadDeadline(s.halfAt)
		}
	}
}

// hangUp ends all at once: the core has stopped and answers no more.
func (s *Server) hangUp(l net.Listener) {
	l.Close()
	s.Drain(l)
	close(s.hung)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.socket.Close()
	}
}

// Endings returns how the connections have ended so far.
func (s *Server) Endings() ending.Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endings
}

// Open is the number of clients' connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Taking reports whether connections are still accepted here.
func (s *Server) Taking() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving && !s.closing && s.pass == nil
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *Server) ended(c *conn, e ending.Ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.leftEmpty()
	if s.closing && e == ending.IdleRetired {
		e = ending.Stopped
	}
	s.endings[e]++
	if s.Trace != nil {
		s.Trace("trace=consumer remote=%s ending=%s lived_ms=%d", c.socket.RemoteAddr(), e, time.Since(c.began).Milliseconds())
	}
}
