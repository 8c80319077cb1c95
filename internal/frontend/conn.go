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
	server         *Server
	socket         *connlimit.Socket
	reader         *bufio.Reader
	acceptedAt     time.Time
	hasSentMessage bool                   // a whole message has come
	hasSentRequest bool                   // an invocation has come: it is no stranger
	class          string                 // of the present invocation,
	metric         *metrics.Request       // its count,
	reservedBytes  int                    // and the bytes that it holds of the bounds
	unansweredID   atomic.Pointer[string] // the id of the request whose answer is not written yet; nil = there is none
	upload         *upload                // the rest of its body; nil = it is there
	pace           *streaming.Pace        // of the body that is being read; nil = none is
	idleSince      time.Time              // since when no message is under way; guarded by server.mu
	acceptedLast   bool                   // accepted as the front was being closed; likewise
	rejected       bool                   // there was no place for it
	readingMessage bool                   // a message has begun and is not there yet; likewise
	responses      chan pendingResponse   // at most one is under way; nil = no writer yet
	written        chan outcome.Kind      // how writing it ended; Open = the connection goes on
	done           chan struct{}
	writer         errgroup.Group

	mu         sync.Mutex
	writerGone bool               // nobody writes answers any more
	download   request.BodyStream // the rest of the present answer; nil = there is none
}

func (c *conn) run() {
	c.reader, c.done = http1.NewReader(c), make(chan struct{})
	e := c.serveMessages()
	c.checkAnswered(e)
	c.releaseMemory()
	close(c.done) // not answers: the core may just be giving one to a consumer that is gone
	c.socket.Close()
	c.closeDownload()
	c.writer.Wait()
	if c.metric != nil {
		c.metric.End(metrics.Left) // unless it was answered, which may have been at the last moment
	}
	http1.Free(c.reader)
	c.server.removeConn(c, e)
}

// checkAnswered looks, as the connection is about to be closed, whether an answer is still owed to a consumer that is there.
func (c *conn) checkAnswered(e outcome.Kind) {
	id := c.unansweredID.Load()
	if id == nil || e == outcome.ClientGone || e == outcome.WriteFailed || c.socket.Left() {
		return
	}
	c.server.Rules.Violated(invariant.Answer, "request=%q consumer=%s ending=%s", *id, c.socket.RemoteAddr(), e)
}

func (c *conn) serveMessages() outcome.Kind {
	for {
		switch err := c.waitForMessage(); {
		case err == errHandedOver:
			return outcome.PassedToSuccessor
		case err != nil:
			return outcome.FromIdleError(err)
		}
		c.setBusy(true)
		inv, turned, e := c.readMessage()
		c.setReading(false)
		switch {
		case e != outcome.Open:
			return e
		case turned != nil:
			e = c.writeDirectly(turned)
		case c.rejected:
			c.releaseMemory()
			e = c.writeDirectly(c.rejection(http.StatusServiceUnavailable, true))
		default:
			if e = c.handleRequest(inv); e == outcome.ClientGone || e == outcome.ShuttingDown {
				return e
			}
		}
		if e != outcome.Open {
			c.lingerForClose()
			return e
		}
	}
}

// handleRequest has the core answer the invocation, and returns how writing that has ended; or how the connection has.
func (c *conn) handleRequest(inv *request.Request) outcome.Kind {
	c.startWriter()
	c.metric = c.server.metrics.RequestStarted(c.class)
	defer c.releaseMemory()
	if (c.reader.Buffered() > 0 || !c.socket.Quiet()) && c.socket.Left() { // while its request waited to be read
		return outcome.ClientGone
	}
	if !c.server.dispatcher.Submit(inv) {
		return outcome.ShuttingDown
	}
	if c.upload != nil {
		if e := c.awaitUpload(inv); e != outcome.Open {
			return e
		}
		if c.upload == nil { // it was answered before its body was there
			return outcome.Open
		}
	}
	return c.awaitResponse(inv)
}

// awaitResponse returns how writing the answer has ended; or, if the consumer leaves before, how the connection has.
func (c *conn) awaitResponse(inv *request.Request) outcome.Kind {
	_, err := c.reader.Peek(1) // the next message, or the consumer's end
	select {
	case e := <-c.written:
		return e
	default:
	}
	if errors.Is(err, os.ErrDeadlineExceeded) { // none but the reader of an answered one is woken: the word of that is about to come
		return <-c.written
	}
	for look := time.Tick(clientCheckInterval); err == nil && !c.socket.Left(); { // behind what has come its end can't be read
		select {
		case e := <-c.written:
			return e
		case <-c.server.stopped:
			return outcome.ShuttingDown
		case <-look:
		}
	}
	select {
	case <-c.server.stopped: // which has closed the connection
		return outcome.ShuttingDown
	default:
	}
	c.server.dispatcher.ClientGone(inv)
	return outcome.ClientGone
}
