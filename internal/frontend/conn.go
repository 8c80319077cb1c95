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

// conn is a client's connection. Its reader goroutine reads messages, responds to health checks and to messages that it
// rejects, and detects while a request is in flight that the client is gone. Its writer goroutine, started with the first
// request, writes the dispatcher's responses.
type conn struct {
	server             *Server
	socket             *connlimit.Socket
	reader             *bufio.Reader
	acceptedAt         time.Time
	hasSentMessage     bool                   // the client has sent a complete message
	hasSentRequest     bool                   // at least one of the messages was a request
	class              string                 // of the current request
	metric             *metrics.Request       // counts the current request
	reservedBytes      int                    // memory reserved for the body of the current message
	pendingRequestID   atomic.Pointer[string] // the id of the request whose response is not written yet; nil = none
	upload             *upload                // the rest of the current request's body; nil = the body is complete
	pace               *streaming.Pace        // progress of the body that is being read; nil = no body is read
	unreadBody         *http1.Body            // the rest of the body of a message that is no request; nil = it is complete
	discardSince       time.Time              // since when the rest of a body is discarded; zero = it is not
	idleSince          time.Time              // when it last became idle; guarded by server.mu
	awaitsFirstRequest bool                   // accepted while draining or for rejection: closeIdle skips it; guarded by server.mu
	rejected           bool                   // it was accepted beyond the limit on sockets, only to reject its request
	readingMessage     bool                   // a message is received in part; guarded by server.mu
	responses          chan pendingResponse   // to the writer, at most one at a time; nil = the writer is not started
	written            chan outcome.Kind      // how writing each response ended; Open = the connection remains open
	done               chan struct{}
	writer             errgroup.Group

	mu         sync.Mutex
	writerGone bool               // no further response can be written
	download   request.BodyStream // the rest of the current response; nil = none
}

func (c *conn) run() {
	c.reader = http1.NewReader(c)
	c.done = make(chan struct{})
	kind := c.serveMessages()
	c.checkResponded(kind)
	c.releaseMemory()
	close(c.done) // responses stays open, since the dispatcher may still deliver a response to a client that is gone
	_ = c.socket.Close()
	c.closeDownload()
	_ = c.writer.Wait() // the writer returns no errors
	if c.metric != nil {
		c.metric.End(metrics.ClientGone) // no effect if the response was written meanwhile
	}
	http1.FreeReader(c.reader)
	c.server.removeConn(c, kind)
}

// checkResponded records a violation if the connection is about to be closed without a response to a request whose client is
// still connected.
func (c *conn) checkResponded(kind outcome.Kind) {
	id := c.pendingRequestID.Load()
	if id == nil || kind == outcome.ClientGone || kind == outcome.WriteFailed || c.socket.HasPeerClosed() {
		return
	}
	c.server.Invariants.Violated(invariant.MissingResponse, "request=%q client=%s ending=%s", *id, c.socket.RemoteAddr(), kind)
}

// serveMessages serves one message after another, and returns the outcome of the connection.
func (c *conn) serveMessages() outcome.Kind {
	for {
		switch err := c.waitForMessage(); {
		case errors.Is(err, errHandedOver):
			return outcome.PassedToSuccessor
		case err != nil:
			return outcome.FromIdleError(err)
		}
		c.setBusy(true)
		r, direct, kind := c.readMessage()
		c.setReading(false)
		switch {
		case kind != outcome.Open:
			return kind
		case direct != nil:
			kind = c.respondDirectly(direct)
		case c.rejected:
			c.releaseMemory()
			kind = c.writeDirectly(c.rejection(http.StatusServiceUnavailable, true))
		default:
			kind = c.handleRequest(r)
			if kind == outcome.ClientGone || kind == outcome.ShuttingDown {
				return kind
			}
		}
		if kind != outcome.Open {
			c.lingerForClose()
			return kind
		}
	}
}

// handleRequest submits the request, and returns the outcome of writing its response, or of the connection if that ends first.
func (c *conn) handleRequest(r *request.Request) outcome.Kind {
	c.startWriter()
	c.metric = c.server.metrics.RequestStarted(c.class)
	defer c.releaseMemory()
	if (c.reader.Buffered() > 0 || !c.socket.HasNothingUnread()) && c.socket.HasPeerClosed() { // the client left before its request was read
		return outcome.ClientGone
	}
	if !c.server.dispatcher.Submit(r) {
		return outcome.ShuttingDown
	}
	if c.upload != nil {
		if kind := c.awaitUpload(r); kind != outcome.Open {
			return kind
		}
		if c.upload == nil { // the response was written before the body was complete
			return outcome.Open
		}
	}
	return c.awaitResponse(r)
}

// awaitResponse returns the outcome of writing the response or, if the client leaves before that, of the connection.
func (c *conn) awaitResponse(r *request.Request) outcome.Kind {
	_, err := c.reader.Peek(1) // returns with the next message, or when the client closes the connection
	select {
	case kind := <-c.written:
		return kind
	default:
	}
	if errors.Is(err, os.ErrDeadlineExceeded) { // only the writer sets a read deadline here: it is about to send its outcome
		return <-c.written
	}
	check := time.Tick(clientCheckInterval)
	for err == nil && !c.socket.HasPeerClosed() { // while bytes are unread, the client's close can't be detected by reading
		select {
		case kind := <-c.written:
			return kind
		case <-c.server.stopped:
			return outcome.ShuttingDown
		case <-check:
		}
	}
	select {
	case <-c.server.stopped: // closeAll has closed the connection
		return outcome.ShuttingDown
	default:
	}
	c.server.dispatcher.ClientGone(r)
	return outcome.ClientGone
}
