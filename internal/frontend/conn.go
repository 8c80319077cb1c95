package frontend

import (
	"bufio"
	"errors"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/http1"
	"plankrouter/internal/invariant"
	"plankrouter/internal/metrics"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/streaming"
)

// conn is one client's connection. Its reader goroutine reads messages, answers those that it rejects, and watches for the client's
// end while a request is under way; its writer goroutine, started with the first request, writes the dispatcher's answers.
type conn struct {
	server         *Server
	socket         *connlimit.Socket
	reader         *bufio.Reader
	acceptedAt     time.Time
	hasSentMessage bool                   // the client has sent a whole message
	hasSentRequest bool                   // and a message that was a request
	class          string                 // of the present request,
	metric         *metrics.Request       // its count,
	reservedBytes  int                    // and the memory reserved for its body
	unansweredID   atomic.Pointer[string] // the id of the request whose answer is not written yet; nil = there is none
	upload         *upload                // the rest of its body; nil = the body is complete
	pace           *streaming.Pace        // of the body that is being read; nil = no body is
	idleSince      time.Time              // since when no message is under way; guarded by server.mu
	acceptedLast   bool                   // accepted while draining; likewise
	rejected       bool                   // there was no place for it
	readingMessage bool                   // a part of a message has come; likewise
	responses      chan pendingResponse   // at most one is under way; nil = the writer is not started
	written        chan outcome.Kind      // how writing it ended; Open = the connection goes on
	done           chan struct{}
	writer         errgroup.Group

	mu         sync.Mutex
	writerGone bool               // no answer can be written any more
	download   request.BodyStream // the rest of the present answer; nil = there is none
}

func (c *conn) run() {
	c.reader = http1.NewReader(c)
	c.done = make(chan struct{})
	how := c.serveMessages()
	c.checkAnswered(how)
	c.releaseMemory()
	close(c.done) // not responses: the dispatcher may just be giving an answer to a client that is gone
	_ = c.socket.Close()
	c.closeDownload()
	_ = c.writer.Wait() // the writer returns no errors
	if c.metric != nil {
		c.metric.End(metrics.ClientGone) // no effect if it was answered, perhaps at the last moment
	}
	http1.Free(c.reader)
	c.server.removeConn(c, how)
}

// checkAnswered records, as the connection is about to be closed, a request without answer whose client is still there.
func (c *conn) checkAnswered(how outcome.Kind) {
	id := c.unansweredID.Load()
	if id == nil || how == outcome.ClientGone || how == outcome.WriteFailed || c.socket.HasPeerClosed() {
		return
	}
	c.server.Invariants.Violated(invariant.MissingResponse, "request=%q client=%s ending=%s", *id, c.socket.RemoteAddr(), how)
}

// serveMessages serves one message after another, and returns how the connection has ended.
func (c *conn) serveMessages() outcome.Kind {
	for {
		switch err := c.waitForMessage(); {
		case errors.Is(err, errHandedOver):
			return outcome.PassedToSuccessor
		case err != nil:
			return outcome.FromIdleError(err)
		}
		c.setBusy(true)
		r, direct, how := c.readMessage()
		c.setReading(false)
		switch {
		case how != outcome.Open:
			return how
		case direct != nil:
			how = c.writeDirectly(direct)
		case c.rejected:
			c.releaseMemory()
			how = c.writeDirectly(c.rejection(http.StatusServiceUnavailable, true))
		default:
			how = c.handleRequest(r)
			if how == outcome.ClientGone || how == outcome.ShuttingDown {
				return how
			}
		}
		if how != outcome.Open {
			c.lingerForClose()
			return how
		}
	}
}

// handleRequest submits the request, and returns how writing its answer has ended; or how the connection has.
func (c *conn) handleRequest(r *request.Request) outcome.Kind {
	c.startWriter()
	c.metric = c.server.metrics.RequestStarted(c.class)
	defer c.releaseMemory()
	if (c.reader.Buffered() > 0 || !c.socket.HasNothingUnread()) && c.socket.HasPeerClosed() { // it left while its request waited to be read
		return outcome.ClientGone
	}
	if !c.server.dispatcher.Submit(r) {
		return outcome.ShuttingDown
	}
	if c.upload != nil {
		if how := c.awaitUpload(r); how != outcome.Open {
			return how
		}
		if c.upload == nil { // it was answered before its body was complete
			return outcome.Open
		}
	}
	return c.awaitResponse(r)
}

// awaitResponse returns how writing the answer has ended; or, if the client leaves before, how the connection has.
func (c *conn) awaitResponse(r *request.Request) outcome.Kind {
	_, err := c.reader.Peek(1) // the next message, or the client's end
	select {
	case how := <-c.written:
		return how
	default:
	}
	if errors.Is(err, os.ErrDeadlineExceeded) { // only the writer ends the wait in this way: its outcome is about to come
		return <-c.written
	}
	check := time.Tick(clientCheckInterval)
	for err == nil && !c.socket.HasPeerClosed() { // the client's end can't be read behind bytes that are still unread
		select {
		case how := <-c.written:
			return how
		case <-c.server.stopped:
			return outcome.ShuttingDown
		case <-check:
		}
	}
	select {
	case <-c.server.stopped: // which has closed the connection
		return outcome.ShuttingDown
	default:
	}
	c.server.dispatcher.ClientGone(r)
	return outcome.ClientGone
}
