// Package consumer is the HTTP front: it listens for the consumers and turns what they send into
// invocations for the core, and the core's answers into HTTP.
package consumer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"plankrouter/internal/config"
	"plankrouter/internal/ending"
	"plankrouter/internal/http1"
	"plankrouter/internal/invocation"
	"plankrouter/internal/sockets"
)

const (
	messageWithin = 10 * time.Second // for a request, from its first byte
	writeWithin   = 5 * time.Second  // for an answer
	lingerMost    = 256 << 10
	lingerFor     = 500 * time.Millisecond
	acceptPause   = 5 * time.Millisecond

	// A consumer opens a connection when all it has are busy. One that is new, or has just been answered, is thus
	// about to carry a request, which would be lost if the connection were closed to make room.
	spareAfter = 1 * time.Second
)

// Server is the front.
type Server struct {
	core    invocation.Core
	budget  *sockets.Budget
	dialect dialect

	Connections, NotTaken atomic.Int64

	mu      sync.Mutex
	conns   map[*conn]bool // true = a message is under way
	closing bool
	endings ending.Counts
}

// New returns a front for core.
func New(cfg *config.Config, core invocation.Core, budget *sockets.Budget) *Server {
	return &Server{core: core, budget: budget, dialect: newDialect(&cfg.Settings), conns: map[*conn]bool{}}
}

// Serve accepts connections until Drain or the end of ctx, and returns when the last one has ended.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { s.hangUp(l) })()
	var conns errgroup.Group
	defer conns.Wait()
	for {
		for !s.budget.Reserve() { // the kernel's backlog holds the consumer until there is room
			select {
			case <-s.budget.Freed():
			case <-time.After(acceptPause): // some connection may have been idle for long enough now
			case <-ctx.Done():
				return nil
			}
		}
		nc, err := l.Accept()
		if err != nil {
			s.budget.Release()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			log.Printf("listen=%s state=accept_failed err=%q", l.Addr(), err)
			select {
			case <-time.After(acceptPause):
			case <-ctx.Done():
			}
			continue
		}
		s.Connections.Add(1)
		c := &conn{server: s, socket: s.budget.Adopt(nc), answers: make(chan *http1.Response, 1),
			written: make(chan ending.Ending, 1), done: make(chan struct{})}
		c.br = http1.NewReader(c.socket)
		s.mu.Lock()
		s.conns[c] = false
		if s.closing { // accepted at the last moment: it may still bring one request
			c.wind(lingerFor)
		}
		s.mu.Unlock()
		conns.Go(func() error { c.run(); return nil })
	}
}

// Drain closes the listener and the connections that are between two messages. The others end with their
// answer.
func (s *Server) Drain(l net.Listener) {
	l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for c, busy := range s.conns {
		if !busy {
			c.wind(0)
		}
	}
}

// hangUp ends all at once: the core has stopped and answers no more.
func (s *Server) hangUp(l net.Listener) {
	s.Drain(l)
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

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// conn is one consumer's connection. Its reader looks for the next message or the consumer's end all the
// time; its writer writes each answer when the core gives it.
type conn struct {
	server  *Server
	socket  *sockets.Socket
	br      *bufio.Reader
	answers chan *http1.Response // at most one is under way
	written chan ending.Ending   // how writing it ended; Open = the connection goes on
	done    chan struct{}
}

func (c *conn) run() {
	var writer errgroup.Group
	writer.Go(func() error { c.write(); return nil })
	e := c.read()
	close(c.done)
	c.socket.Close()
	writer.Wait()
	c.server.ended(c, e)
}

func (s *Server) ended(c *conn, e ending.Ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.closing && e == ending.IdleRetired {
		e = ending.Stopped
	}
	s.endings[e]++
}

func (c *conn) read() ending.Ending {
	c.socket.Idle(spareAfter)
	err := c.next()
	for {
		if err != nil {
			return ending.OfIdle(err)
		}
		if c.setBusy(true); !c.socket.Busy() {
			return ending.IdleRetired
		}
		inv, e := c.message()
		if e != ending.Open {
			return e
		}
		err = c.next() // the next message, or the consumer's end
		if err != nil {
			select {
			case e = <-c.written:
			default:
				if inv != nil {
					c.server.core.Abandon(inv)
				}
				return ending.ConsumerGone
			}
		} else {
			e = <-c.written
		}
		if e != ending.Open {
			if err == nil {
				io.CopyN(io.Discard, c.br, lingerMost) // until the deadline that writeOne set
			}
			return e
		}
	}
}

// next waits for the first byte of a message. Its deadline passes when the connection is to end while idle; what has
// come in just before that is still taken, and its answer is the last.
func (c *conn) next() error {
	_, err := c.br.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.socket.Quiet() {
		c.socket.SetReadDeadline(time.Now().Add(lingerFor))
		_, err = c.br.Peek(1)
	}
	return err
}

// wind ends the connection as soon as it is idle. Its reader does that, not the caller: a request that the reader has
// just got would be lost.
func (c *conn) wind(after time.Duration) { c.socket.SetReadDeadline(time.Now().Add(after)) }

// message reads one message and sees to it that it gets an answer: from the core, if it is an invocation,
// which is then returned.
func (c *conn) message() (*invocation.Invocation, ending.Ending) {
	began := time.Now()
	c.socket.SetReadDeadline(began.Add(messageWithin))
	req, err := http1.ReadRequest(c.br)
	if err == nil && req.WantsContinue() {
		_, err = c.socket.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if err == nil {
		err = req.ReadBody(c.br)
	}
	if errors.Is(err, http1.ErrMalformed) {
		c.reply(&http1.Response{Status: 400, Close: true})
		return nil, ending.Open
	}
	if err != nil || c.socket.SetReadDeadline(time.Time{}) != nil {
		return nil, ending.BadInput
	}
	if req.Method == "GET" && req.Target == http1.PathUp {
		status := 503
		if c.server.core.Ready() {
			status = 200
		}
		c.reply(&http1.Response{Status: status, Close: req.Close})
		return nil, ending.Open
	}
	inv, status := c.server.dialect.invocation(req, began)
	if status != 0 {
		c.server.NotTaken.Add(1)
		c.reply(&http1.Response{Status: status, Close: req.Close || status == 400})
		return nil, ending.Open
	}
	inv.Answer = func(a invocation.Answer) {
		r := response(a)
		r.Close = req.Close
		c.reply(r)
	}
	if !c.server.core.Take(inv) {
		return nil, ending.Stopped
	}
	return inv, ending.Open
}

// reply never blocks: there is room for the one answer that is owed.
func (c *conn) reply(r *http1.Response) { c.answers <- r }

func (c *conn) write() {
	for {
		select {
		case <-c.done:
			return
		case r := <-c.answers:
			c.written <- c.writeOne(r)
		}
	}
}

func (c *conn) writeOne(r *http1.Response) ending.Ending {
	r.Close = r.Close || c.server.isClosing() || c.socket.Leaving()
	c.socket.SetWriteDeadline(time.Now().Add(writeWithin))
	if _, err := c.socket.Write(http1.AppendResponse(nil, r)); err != nil {
		c.socket.Close()
		return ending.WriteFailed
	}
	if r.Close {
		// What the consumer has sent beyond the request would turn a plain close into a reset, and that could
		// overtake the answer: say that this is the end, and wait a little for the consumer's.
		c.socket.CloseWrite()
		c.wind(lingerFor)
		if r.Status == 400 {
			return ending.BadInput
		}
		return ending.LastAnswer
	}
	c.socket.Idle(spareAfter)
	c.setBusy(false)
	return ending.Open
}

// setBusy notes whether a message is under way. One that is not ends when the front is being closed.
func (c *conn) setBusy(busy bool) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = busy
	if !busy && s.closing {
		c.wind(0)
	}
}
