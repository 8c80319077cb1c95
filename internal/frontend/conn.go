package frontend

import (
	"bufio"
	"errors"
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
