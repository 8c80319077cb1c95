package frontend

// One consumer's connection: its reader, its writer, and how it ends.

import (
	"bufio"
	"errors"
	"io"
	"log"
	"net/http"
	"os"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/http1"
	"plankrouter/internal/invariant"
	"plankrouter/internal/metrics"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/streaming"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// conn is one consumer's connection. Its reader looks for the next message or the consumer's end all the time and answers
// what it turns away; once there is an invocation, its writer writes each answer when the core gives it.
type conn struct {
	server  *Server
	socket  *connlimit.Socket
	br      *bufio.Reader
	began   time.Time
	brought bool                   // a whole message has come
	known   bool                   // an invocation has come: it is no stranger
	class   string                 // of the present invocation,
	request *metrics.Request       // its count,
	kept    int                    // and the bytes that it holds of the bounds
	owed    atomic.Pointer[string] // the id of the request whose answer is not written yet; nil = there is none
	upload  *upload                // the rest of its body; nil = it is there
	paced   *streaming.Pace        // of the body that is being read; nil = none is
	idleAt  time.Time              // since when no message is under way; guarded by server.mu
	last    bool                   // accepted as the front was being closed; likewise
	crowded bool                   // there was no place for it
	reading bool                   // a message has begun and is not there yet; likewise
	answers chan answer            // at most one is under way; nil = no writer yet
	written chan outcome.Kind      // how writing it ended; Open = the connection goes on
	done    chan struct{}
	writer  errgroup.Group

	mu   sync.Mutex
	gone bool               // nobody writes answers any more
	long request.BodyStream // the rest of the present answer; nil = there is none
}

func (c *conn) run() {
	c.br, c.done = http1.NewReader(c), make(chan struct{})
	e := c.read()
	c.checkAnswered(e)
	c.letGo()
	close(c.done) // not answers: the core may just be giving one to a consumer that is gone
	c.socket.Close()
	c.leave()
	c.writer.Wait()
	if c.request != nil {
		c.request.End(metrics.Left) // unless it was answered, which may have been at the last moment
	}
	http1.Free(c.br)
	c.server.ended(c, e)
}

// checkAnswered looks, as the connection is about to be closed, whether an answer is still owed to a consumer that is there.
func (c *conn) checkAnswered(e outcome.Kind) {
	id := c.owed.Load()
	if id == nil || e == outcome.ClientGone || e == outcome.WriteFailed || c.socket.Left() {
		return
	}
	c.server.Rules.Violated(invariant.Answer, "request=%q consumer=%s ending=%s", *id, c.socket.RemoteAddr(), e)
}

func (c *conn) read() outcome.Kind {
	for {
		switch err := c.next(); {
		case err == errHandedOver:
			return outcome.PassedToSuccessor
		case err != nil:
			return outcome.FromIdleError(err)
		}
		c.setBusy(true)
		inv, turned, e := c.message()
		c.setReading(false)
		switch {
		case e != outcome.Open:
			return e
		case turned != nil:
			e = c.writeOne(turned)
		case c.crowded:
			c.letGo()
			e = c.writeOne(c.turn(http.StatusServiceUnavailable, true))
		default:
			if e = c.invoke(inv); e == outcome.ClientGone || e == outcome.ShuttingDown {
				return e
			}
		}
		if e != outcome.Open {
			c.linger()
			return e
		}
	}
}

// invoke has the core answer the invocation, and returns how writing that has ended; or how the connection has.
func (c *conn) invoke(inv *request.Request) outcome.Kind {
	c.serve()
	c.request = c.server.book.RequestStarted(c.class)
	defer c.letGo()
	if (c.br.Buffered() > 0 || !c.socket.Quiet()) && c.socket.Left() { // while its request waited to be read
		return outcome.ClientGone
	}
	if !c.server.core.Submit(inv) {
		return outcome.ShuttingDown
	}
	if c.upload != nil {
		if e := c.uploaded(inv); e != outcome.Open {
			return e
		}
		if c.upload == nil { // it was answered before its body was there
			return outcome.Open
		}
	}
	return c.await(inv)
}

// await returns how writing the answer has ended; or, if the consumer leaves before, how the connection has.
func (c *conn) await(inv *request.Request) outcome.Kind {
	_, err := c.br.Peek(1) // the next message, or the consumer's end
	select {
	case e := <-c.written:
		return e
	default:
	}
	if errors.Is(err, os.ErrDeadlineExceeded) { // none but the reader of an answered one is woken: the word of that is about to come
		return <-c.written
	}
	for look := time.Tick(leftEvery); err == nil && !c.socket.Left(); { // behind what has come its end can't be read
		select {
		case e := <-c.written:
			return e
		case <-c.server.hung:
			return outcome.ShuttingDown
		case <-look:
		}
	}
	select {
	case <-c.server.hung: // which has closed the connection
		return outcome.ShuttingDown
	default:
	}
	c.server.core.ClientGone(inv)
	return outcome.ClientGone
}

// next waits for the first byte of a message. Its deadline passes when the connection is to end while idle, or when it
// is time to see whether it is: what has come in just before that is still taken, and its answer is the last.
func (c *conn) next() error {
	for {
		_, err := c.br.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if c.handOver() {
			return errHandedOver
		}
		if c.stays() {
			continue
		}
		if !c.socket.Quiet() {
			c.socket.SetReadDeadline(time.Now().Add(lingerFor))
			_, err = c.br.Peek(1)
		}
		return err
	}
}

// errHandedOver is why the reader of a connection that has been handed over ends.
var errHandedOver = errors.New("handed over")

// handOver gives the connection to a successor, if there is one. All that was read of it has been dealt with, and its
// reader is here: nobody touches it until the successor has it or has not got it.
func (c *conn) handOver() bool {
	c.server.mu.Lock()
	pass, busy := c.server.pass, c.server.conns[c]
	c.server.mu.Unlock()
	if pass == nil || busy || c.br.Buffered() > 0 || c.socket.IsEvicted() {
		return false
	}
	note := ""
	switch {
	case c.known:
		note = noteKnown
	case c.brought:
		note = noteBrought
	}
	if err := pass(c.socket.Conn, []byte(note)); err != nil {
		log.Printf("consumer=%s state=not_handed_over err=%q", c.socket.RemoteAddr(), err)
		return false
	}
	return true
}

// stays reports whether the idle connection may stay until the next look. It may not for long once sockets are scarce: a
// consumer that has asked nothing for so long opens another just as well.
func (c *conn) stays() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := time.Since(c.idleAt)
	stays := idle < idleMost && (idle < lookEvery || !s.budget.IsScarce())
	if !c.brought { // it was woken before its time by a handover that came to nothing
		stays = idle < lookEvery
		return stays && !s.closing && c.socket.ExtendReadDeadline(c.idleAt.Add(lookEvery))
	}
	return !s.closing && (stays || s.staying) && c.socket.ExtendReadDeadline(time.Now().Add(lookEvery))
}

// wind ends the connection as soon as it is idle. Its reader does that, not the caller: a request that the reader has
// just got would be lost.
func (c *conn) wind(after time.Duration) { c.socket.SetReadDeadline(time.Now().Add(after)) }

// message reads one message: an invocation, or what turns it away. Another ending than Open says that there is neither.
func (c *conn) message() (*request.Request, *http1.Response, outcome.Kind) {
	began := time.Now()
	until := began.Add(headWithin)
	if !c.known {
		c.socket.MarkUnused(partAfter)
	}
	if !c.brought {
		if first := c.began.Add(firstWithin); first.Before(until) {
			until = first
		}
	}
	c.setReading(true)
	if !c.extend(until) {
		within := lingerFor
		if c.crowded {
			within = crowdedPart
		}
		c.extendLeaving(began.Add(within))
	}
	c.upload, c.paced = nil, nil
	c.letGo() // of a message that was turned away
	req, err := http1.ReadRequest(c.br)
	if err == nil && req.WantsContinue() {
		_, err = c.socket.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if err == nil && !c.keep(req) {
		return nil, c.turn(503, true), outcome.Open
	}
	if err == nil {
		err = c.readBody(req)
	}
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		return nil, c.turn(413, true), outcome.Open
	case errors.Is(err, http1.ErrMalformed):
		return nil, c.turn(400, true), outcome.Open
	case errors.Is(err, os.ErrDeadlineExceeded) && c.server.isClosing(): // it was never sent to a server
		return nil, c.turn(503, true), outcome.Open
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, c.turn(408, true), outcome.Open
	case err != nil || !c.socket.MarkBusy() || c.endReading() != nil:
		return nil, nil, outcome.MalformedRequest
	}
	c.brought = true
	if req.Method == "GET" && req.Target == http1.PathUp {
		status := 503
		if c.server.core.Ready() {
			status = 200
		}
		return nil, &http1.Response{Status: status, Close: req.Close}, outcome.Open
	}
	words := c.server.dialect.Load()
	now := time.Now()
	since, _ := c.socket.SinceArrival()
	inv, status := words.invocation(req, now.Add(-since))
	if status != 0 {
		return nil, c.turn(status, req.Close || status == 400), outcome.Open
	}
	c.owed.Store(&inv.ID)
	c.known, c.class, inv.ClientGone = true, words.names[inv.Class], c.socket.Left
	if c.upload = nil; req.Rest != nil {
		c.upload = &upload{conn: c, body: req.Rest, pace: c.paced, leave: inv.MarkClientGone, done: make(chan struct{})}
		inv.Remainder = c.upload
	}
	c.paced = nil
	inv.Respond = func(a request.Response) { // never blocks: there is room for the one answer that is owed
		r := response(a)
		r.Bodiless = a.Kind == request.Served && req.Method == "HEAD"
		r.Close = req.Close || a.Remainder != nil && a.Remainder.Length() < 0 && req.Old
		c.deliver(r, a.Remainder, req.Old)
	}
	return inv, nil, outcome.Open
}

// outcomes are what the statuses of the core's answers count as. One of a request that was never taken is no outcome.
var outcomes = map[int]metrics.Outcome{200: metrics.Success, 503: metrics.Overload, 502: metrics.Error, 409: metrics.Left}

// turn words an answer that turns a message away before it is taken.
func (c *conn) turn(status int, last bool) *http1.Response {
	c.server.NotTaken.Add(1)
	return &http1.Response{Status: status, Close: last}
}

// serve starts the writer.
func (c *conn) serve() {
	if c.answers != nil {
		return
	}
	c.answers, c.written = make(chan answer, 1), make(chan outcome.Kind, 1)
	c.writer.Go(func() error {
		for {
			select {
			case a := <-c.answers:
				e := c.writeAnswer(a)
				switch e {
				case outcome.WriteFailed:
				case outcome.ResponseAborted:
					c.request.End(metrics.Error)
				default:
					c.request.End(outcomes[a.Status])
				}
				c.written <- e
			case <-c.done:
				return nil
			}
		}
	})
}

func (c *conn) writeOne(r *http1.Response) outcome.Kind {
	return c.writeAnswer(answer{Response: r})
}

// writeAnswer writes an answer, with the rest of a long one as it comes.
func (c *conn) writeAnswer(a answer) outcome.Kind {
	r := a.Response
	r.Close = r.Close || c.server.isClosing() || c.socket.IsEvicted()
	e := c.write(http1.AppendResponse(nil, r, a.old))
	c.owed.Store(nil) // what could not be written went to nobody
	if a.flow != nil {
		if e == outcome.Open {
			e = c.pass(a)
		}
		a.flow.Close(e == outcome.Open)
	}
	if e != outcome.Open {
		if abrupt, ok := c.socket.Conn.(interface{ SetLinger(int) error }); ok && e == outcome.ResponseAborted && a.old {
			abrupt.SetLinger(0) // an end in order would look like the body's
		}
		c.socket.Close()
		return e
	}
	if r.Close {
		c.socket.CloseWrite()
		c.wind(c.lingering())
		if r.Status == 400 || r.Status == 408 || r.Status == 413 {
			return outcome.MalformedRequest
		}
		return outcome.ClosedAfterResponse
	}
	if c.upload == nil || c.upload.answered() { // else its body is still to be read
		c.rest()
	}
	return outcome.Open
}

// lingering is for how long the connection waits for its client's close.
func (c *conn) lingering() time.Duration {
	switch {
	case c.crowded:
		return crowdedLinger
	case c.server.isClosing():
		return closingFor
	}
	return lingerFor
}

// rest marks the connection as one between two messages.
func (c *conn) rest() {
	if c.known {
		c.socket.MarkIdle(spareAfter)
	} else {
		c.socket.MarkUnused(strangerAfter)
	}
	c.setBusy(false)
}

// linger waits a little for the consumer's close, and makes room before any other meanwhile. What it has sent beyond its
// request would turn a plain close into a reset, and that could overtake the answer. A flood is not read to its end: it
// gets a moment for the answer to arrive.
func (c *conn) linger() {
	c.socket.MarkUnused(0)
	if n, _ := io.CopyN(io.Discard, c.br, lingerMost); n == lingerMost {
		time.Sleep(floodFor)
	}
}

// extend gives the message that is being read until t, or less once the front is being closed. False means that the connection is to make
// room.
func (c *conn) extend(t time.Time) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.socket.ExtendReadDeadline(c.server.readUntil(t))
}

// extendLeaving is extend for a connection whose place has been given away.
func (c *conn) extendLeaving(t time.Time) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.socket.SetReadDeadline(c.server.readUntil(t))
}

// readUntil bounds the time for a message by the end of the front. It is called with mu held.
func (s *Server) readUntil(t time.Time) time.Time {
	if s.closing && s.halfAt.Before(t) {
		return s.halfAt
	}
	return t
}

// endReading notes that the message is there, and takes its deadline back. Both at once: see Drain.
func (c *conn) endReading() error {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.reading = false
	return c.socket.SetReadDeadline(time.Time{})
}

// setReading notes whether a message has begun and is not there yet.
func (c *conn) setReading(reading bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.reading = reading
}

// setBusy notes whether a message is under way. One that is not ends when the front is being closed.
func (c *conn) setBusy(busy bool) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = busy
	if busy {
		return
	}
	if c.idleAt = time.Now(); s.closing || s.pass != nil {
		c.wind(0)
	} else {
		c.socket.ExtendReadDeadline(c.idleAt.Add(lookEvery))
	}
}
