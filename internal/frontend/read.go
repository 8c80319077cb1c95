package frontend

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"plankrouter/internal/http1"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/streaming"
)

// errNoMemory means that the bounds leave no memory for a body.
var errNoMemory = errors.New("no memory left for the body")

// readMessage reads one message, and returns either a request or, if it needs no server, the response to it. An outcome other
// than Open means that no message could be read.
func (c *conn) readMessage() (*request.Request, *http1.Response, outcome.Kind) {
	c.startReading()
	message, err := c.readHTTP()
	if status := c.rejectionStatus(err); status != 0 {
		return nil, c.rejection(status, true), outcome.Open
	}
	if err != nil || !c.socket.MarkBusy() || c.finishReading() != nil {
		return nil, nil, outcome.MalformedRequest
	}
	c.hasSentMessage = true
	c.unreadBody = message.Rest
	if message.Method == http.MethodGet && message.Target == http1.PathUp {
		return nil, c.healthResponse(message), outcome.Open
	}
	r, status := c.newRequest(message)
	if r == nil {
		return nil, c.rejection(status, message.Close || status == http.StatusBadRequest), outcome.Open
	}
	return r, nil, outcome.Open
}

// startReading sets the read deadline for a message whose first byte was received.
func (c *conn) startReading() {
	began := time.Now()
	until := began.Add(headTimeout)
	if !c.hasSentRequest {
		c.socket.MarkUnused(minPartialAge)
	}
	if !c.hasSentMessage {
		until = earliest(until, latest(c.acceptedAt.Add(firstHeadTimeout), began.Add(minHeadTime)))
	}
	c.setReading(true)
	if !c.extendDeadline(until) {
		timeout := lingerTimeout
		if c.rejected {
			timeout = rejectionReadTimeout
		}
		c.extendEvicted(began.Add(timeout))
	}
	c.upload = nil
	c.unreadBody = nil
	c.pace = nil
	c.releaseMemory() // of a previous message that was rejected
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// readHTTP reads a message with its body, or with the beginning of a long body.
func (c *conn) readHTTP() (*http1.Request, error) {
	message, err := http1.ReadRequest(c.reader)
	if err != nil {
		return nil, err
	}
	if message.WantsContinue() {
		if _, err := c.socket.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	if !c.reserveMemory(message) {
		return nil, errNoMemory
	}
	if c.awaitsBody(message) && !c.socket.MarkBusy() { // its pace bounds the time from now on
		return nil, net.ErrClosed
	}
	return message, c.readBody(message)
}

// rejectionStatus returns the HTTP status for a message that could not be read because of err; 0 = the client is gone, or err
// is nil.
func (c *conn) rejectionStatus(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errNoMemory):
		return http.StatusServiceUnavailable
	case errors.Is(err, http1.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, http1.ErrMalformed):
		return http.StatusBadRequest
	case errors.Is(err, os.ErrDeadlineExceeded) && c.server.isDraining(): // the request was not sent to a server
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return 0
}

// healthResponse returns the response to a health check: 200 if this instance is ready, otherwise 503.
func (c *conn) healthResponse(message *http1.Request) *http1.Response {
	status := http.StatusServiceUnavailable
	if c.server.dispatcher.Ready() {
		status = http.StatusOK
	}
	return &http1.Response{Status: status, Close: message.Close}
}

// newRequest translates the message into a request for the dispatcher, or returns nil and the status with which it is rejected.
func (c *conn) newRequest(message *http1.Request) (*request.Request, int) {
	translator := c.server.translator.Load()
	now := time.Now()
	since, _ := c.socket.SinceLastReceive()
	r, status := translator.request(message, now.Add(-since))
	if r == nil {
		return nil, status
	}
	c.pendingRequestID.Store(&r.ID)
	c.hasSentRequest = true
	c.class = translator.names[r.Class]
	r.ClientGone = c.socket.HasPeerClosed
	c.upload = nil
	c.unreadBody = nil
	if message.Rest != nil {
		c.upload = &upload{
			conn: c, body: message.Rest, pace: c.pace, markClientGone: r.MarkClientGone, done: make(chan struct{}),
		}
		r.Remainder = c.upload
	}
	c.pace = nil
	upload := c.upload
	// Copied, because a response may come long after the body, which message holds, has been sent.
	closes, isHead, isHTTP10 := message.Close, message.Method == http.MethodHead, message.IsHTTP10
	r.Respond = func(result request.Response) { // never blocks: the channel has room for the only response
		if upload != nil && !upload.claimResponse() {
			if result.Remainder != nil {
				result.Remainder.Close(false)
			}
			return
		}
		response := encodeResponse(result)
		response.Bodiless = result.Kind == request.Served && isHead
		response.Close = closes || result.Remainder != nil && result.Remainder.Length() < 0 && isHTTP10
		c.deliver(response, result.Remainder, isHTTP10)
	}
	return r, 0
}

// Read reads from the socket, and extends the read deadline of a body that makes progress.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	if c.pace != nil && n > 0 {
		sinceArrival, _ := c.socket.SinceLastReceive()
		c.extendBodyDeadline(c.pace.Progress(n, time.Now(), sinceArrival))
	}
	return n, err
}

// awaitsBody reports whether part of the message's body is not received yet.
func (c *conn) awaitsBody(message *http1.Request) bool {
	return message.Length() < 0 || message.Length() > int64(c.reader.Buffered())
}

// readBody reads the body, or the beginning of a long body.
func (c *conn) readBody(message *http1.Request) error {
	if c.awaitsBody(message) {
		now := time.Now()
		c.pace = streaming.NewPace(now)
		c.extendDeadline(c.pace.StartWaiting(now))
	}
	return message.ReadFirst(c.reader)
}

// reserveMemory reserves memory for the part of the body that is read before the request is submitted, unless the reader's
// buffer has the whole body already. It returns false if the server's bounds leave too little memory.
func (c *conn) reserveMemory(message *http1.Request) bool {
	n := message.Length()
	if n < 0 || n > http1.MaxBody {
		n = http1.MaxBody
	}
	if message.Length() >= 0 && int(n) <= c.reader.Buffered() {
		return true
	}
	c.releaseMemory()
	if !c.server.bounds.Reserve(int(n)) {
		return false
	}
	c.reservedBytes = int(n)
	return true
}

func (c *conn) releaseMemory() {
	c.server.bounds.Release(c.reservedBytes)
	c.reservedBytes = 0
}

// extendDeadline sets the read deadline of a message to t, or to an earlier time while draining. False means that the
// connection is evicted.
func (c *conn) extendDeadline(t time.Time) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.socket.ExtendReadDeadline(c.server.boundByDrain(t))
}

// extendEvicted is extendDeadline for an evicted connection.
func (c *conn) extendEvicted(t time.Time) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.socket.SetReadDeadline(c.server.boundByDrain(t))
}

// extendBodyDeadline sets the read deadline of a body to t. While draining, extendDeadline makes it earlier for a body whose
// request is not submitted yet; a body that is streamed to a server may continue until the response to its request.
func (c *conn) extendBodyDeadline(t time.Time) {
	switch {
	case !c.discardSince.IsZero():
		c.extendDiscardDeadline(t)
	case c.upload == nil:
		c.extendDeadline(t)
	default:
		c.socket.ExtendReadDeadline(t)
	}
}

// finishReading records that the message is complete, and removes its deadline. It holds the lock for both, so that closeIdle
// sets no deadline in between.
func (c *conn) finishReading() error {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.readingMessage = false
	return c.socket.SetReadDeadline(time.Time{})
}

// setReading records whether a message is received in part.
func (c *conn) setReading(reading bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.readingMessage = reading
}
