package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/http1"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
	"sync"
	"time"
)

// lump is what a kernel takes at once. Only a larger message takes so long to write that an answer could come before
// its end.
const lump = 8 << 10

const (
	// pauseMost is how long an answer that has begun may pause while it is judged. Its work is done by then: what is still
	// missing after that, as behind a head that does not end or a length that is too large, will not come.
	pauseMost = 400 * time.Millisecond
	// stallMost is the same for a body that flows, either way.
	stallMost = 5 * time.Second
)

// conn is one connection to a provider. One goroutine carries its calls, one after another, and watches it between
// them: whatever comes while there is no call on it belongs to nobody, and so does what comes before a call's last
// byte is written.
type conn struct {
	at     *endpoint // that it was opened to
	put    time.Time // when it was last put there,
	until  time.Time // and until when it may be used from there
	socket *connlimit.Socket
	br     *bufio.Reader
	dialed time.Duration // until it was up,
	since  time.Time     // which it was then
	use    use           // by its present call

	mu   sync.Mutex
	next *call // to carry, once the goroutine has seen that nothing had come in
	over bool  // no further call may use it

	answering bool // an answer is being judged; of the goroutine that reads
}

func newConn(s *connlimit.Socket, at *endpoint) *conn {
	c := &conn{at: at, socket: s}
	c.br = http1.NewReader(c)
	return c
}

// Read reads from the socket, and gives an answer that goes on its time.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	if n > 0 && c.answering {
		c.socket.SetReadDeadline(time.Now().Add(pauseMost))
	}
	return n, err
}

// offer gives the idle connection its next call, unless it has ended.
func (c *conn) offer(call *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return false
	}
	c.next = call
	c.socket.SetReadDeadline(time.Unix(1, 0)) // wakes the goroutine
	return true
}

// close ends the connection; a call on it is lost.
func (c *conn) close() {
	c.mu.Lock()
	c.over = true
	c.mu.Unlock()
	c.socket.Close()
}

// idle waits for the next call. How says why the connection can't carry it, or has ended without one; Open = it can.
func (c *conn) idle() (next *call, how outcome.Kind) {
	began := time.Now()
	_, err := c.br.Peek(1)
	c.use.idle = time.Since(began)
	c.mu.Lock()
	next, c.next = c.next, nil
	c.over = c.over || next == nil
	c.mu.Unlock()
	// This goroutine may have been woken late, and the provider may be about to close the connection.
	if next != nil && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.until) {
		err = c.socket.SetReadDeadline(time.Time{})
		if err == nil && c.socket.Quiet() {
			return next, outcome.Open
		}
	}
	return next, outcome.FromIdleError(err)
}

// carry makes the call, on a connection that is quiet, and reports how it ended, with the answer if there was one, and
// whether the connection may be used again.
func (c *conn) carry(call *call) (r result, again bool) {
	sent := time.Now()
	early := func() (result, bool) { // a part of a request can't have run
		return result{Result: upstream.Result{Outcome: outcome.PartlyWritten}, early: true, took: time.Since(sent)}, false
	}
	unsent := func(e outcome.Kind) (result, bool) { // nobody waits for it, or it is too late, and its last byte is not written
		return result{Result: upstream.Result{Outcome: e}}, false
	}
	rest := call.message
	if call.upload != nil {
		var consumer error
		if rest, consumer = c.pump(call); rest == nil && consumer != nil { // who sends it has ended: so has the attempt, unsent
			return unsent(outcome.Withdrawn)
		}
		if rest == nil {
			return early()
		}
	} else if call.inParts() {
		_, err := c.socket.Write(rest[:len(rest)-1])
		if err == nil {
			call.check(true)
		}
		if err != nil || !c.quietFor(call.hold) {
			return early()
		}
		rest = rest[len(rest)-1:]
	}
	if call.inParts() {
		if e := call.release(); e != outcome.Open {
			return unsent(e)
		}
	}
	if _, err := c.socket.Write(rest); err != nil {
		return early()
	}
	call.check(!call.inParts())
	if !call.written() {
		return result{}, false
	}
	if call.upload != nil {
		call.flowed()
	}
	sent = time.Now()
	resp, err := c.answer(call)
	switch {
	case errors.Is(err, http1.ErrMalformed), errors.Is(err, os.ErrDeadlineExceeded):
		return result{Result: upstream.Result{Outcome: outcome.Malformed}}, false
	case err != nil: // the kernel has taken the last byte, and nobody knows
		return result{Result: upstream.Result{Outcome: outcome.ResetByPeer}, took: time.Since(sent)}, false
	}
	out := result{Result: call.resultOf(resp)}
	if resp.Rest == nil {
		return out, !resp.Close && c.br.Buffered() == 0
	}
	if out.Outcome != outcome.Served { // nobody reads the rest
		return out, false
	}
	out.flow = &download{Stream: resp.Rest, conn: c, done: make(chan struct{})}
	out.Remainder = out.flow
	return out, !resp.Close
}

// answer reads the call's answer, or the beginning of a long one.
func (c *conn) answer(call *call) (*http1.Response, error) {
	bounds := call.at.of.set.Bounds
	if bounds == nil || call.probe {
		return http1.ReadResponse(c.br, call.bodiless, c.begun)
	}
	kept := 0
	defer func() { bounds.Give(kept) }()
	return http1.ReadLong(c.br, call.bodiless, c.begun, func(n int) bool {
		if bounds.Take(n) {
			kept = n
		}
		return kept == n
	})
}

// pump writes the request up to its last byte, which it returns: that may not be written before the call is released. Without
// it the connection has failed, or the consumer has, with an error.
func (c *conn) pump(call *call) (last []byte, consumer error) {
	buf, free := call.at.of.set.Bounds.Buffer()
	defer free()
	write := func(p []byte) bool {
		c.socket.SetWriteDeadline(time.Now().Add(stallMost))
		_, err := c.socket.Write(p)
		return err == nil && c.socket.Quiet()
	}
	defer c.socket.SetWriteDeadline(time.Time{})
	if !write(call.message) {
		return nil, nil
	}
	call.check(true)
	allBut := func(piece []byte) (last []byte, consumer error) {
		at := max(0, len(piece)-1)
		if at > 0 && !write(piece[:at]) {
			return nil, nil
		}
		return append([]byte{}, piece[at:]...), nil
	}
	chunked := call.upload.Length() < 0
	for {
		n, err := call.upload.Read(buf)
		piece := buf[:n]
		switch {
		case chunked:
			piece = http1.AppendChunk(nil, piece)
			if err == io.EOF {
				return allBut(append(piece, http1.LastChunk...))
			}
		case call.upload.Length() == 0 && (err == nil || err == io.EOF):
			return allBut(piece)
		}
		if err != nil {
			return nil, err
		}
		if n > 0 && !write(piece) {
			return nil, nil
		}
	}
}

// download is the rest of a long answer. Who has it reads it straight from the connection, whose goroutine waits meanwhile.
type download struct {
	request.Stream
	conn  *conn
	once  sync.Once
	whole bool
	done  chan struct{}

	mu   sync.Mutex // held by who reads
	over bool       // the connection belongs to its goroutine again
}

// Read reads what is there, and waits for it for a while.
func (d *download) Read(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.over {
		return 0, net.ErrClosed
	}
	d.conn.socket.SetReadDeadline(time.Now().Add(stallMost))
	return d.Stream.Read(p)
}

// Close makes it an request.Flow.
func (d *download) Close(whole bool) {
	d.once.Do(func() {
		if d.whole = whole; !whole {
			d.conn.close() // wakes a Read
		}
		close(d.done)
	})
}

// wait returns once nobody reads the connection any more, and whether it may be used again.
func (d *download) wait(ctx context.Context) bool {
	select {
	case <-d.done:
	case <-ctx.Done(): // which closes the connection
		d.Close(false)
	}
	d.mu.Lock() // a Read that was under way when it was closed ends first
	defer d.mu.Unlock()
	d.over = true
	return d.whole && d.conn.br.Buffered() == 0 && d.conn.socket.SetReadDeadline(time.Time{}) == nil
}

// quietFor waits, with the last byte still to be written, and reports whether nothing has come in, an end included.
func (c *conn) quietFor(hold time.Duration) bool {
	if hold <= 0 {
		return c.socket.Quiet()
	}
	c.socket.SetReadDeadline(time.Now().Add(hold))
	_, err := c.br.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded) && c.socket.SetReadDeadline(time.Time{}) == nil
}

// foundDead reports whether the call has learned nothing but that the kept connection was dead. What is not a probe must
// not have been sent whole: whether to send that again is not decided here.
func (c *conn) foundDead(call *call, r *result) bool {
	return c.use.carried > 0 && (r.early || call.probe && r.Outcome == outcome.ResetByPeer)
}

// begun starts the time of an answer, or ends it.
func (c *conn) begun(begun bool) {
	if c.answering = begun; begun {
		c.socket.SetReadDeadline(time.Now().Add(pauseMost))
	} else {
		c.socket.SetReadDeadline(time.Time{})
	}
}
