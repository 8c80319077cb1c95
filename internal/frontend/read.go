package frontend

import (
	"errors"
	"os"
	"plankrouter/internal/http1"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/streaming"
	"time"
)

// readMessage reads one message: an invocation, or what turns it away. Another ending than Open says that there is neither.
func (c *conn) readMessage() (*request.Request, *http1.Response, outcome.Kind) {
	began := time.Now()
	until := began.Add(headTimeout)
	if !c.hasSentRequest {
		c.socket.MarkUnused(minPartialAge)
	}
	if !c.hasSentMessage {
		if first := c.acceptedAt.Add(firstHeadTimeout); first.Before(until) {
			until = first
		}
	}
	c.setReading(true)
	if !c.extendDeadline(until) {
		within := lingerTimeout
		if c.rejected {
			within = rejectionReadTimeout
		}
		c.extendEvicted(began.Add(within))
	}
	c.upload, c.pace = nil, nil
	c.releaseMemory() // of a message that was turned away
	req, err := http1.ReadRequest(c.reader)
	if err == nil && req.WantsContinue() {
		_, err = c.socket.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if err == nil && !c.reserveMemory(req) {
		return nil, c.rejection(503, true), outcome.Open
	}
	if err == nil {
		err = c.readBody(req)
	}
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		return nil, c.rejection(413, true), outcome.Open
	case errors.Is(err, http1.ErrMalformed):
		return nil, c.rejection(400, true), outcome.Open
	case errors.Is(err, os.ErrDeadlineExceeded) && c.server.isStopping(): // it was never sent to a server
		return nil, c.rejection(503, true), outcome.Open
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, c.rejection(408, true), outcome.Open
	case err != nil || !c.socket.MarkBusy() || c.finishReading() != nil:
		return nil, nil, outcome.MalformedRequest
	}
	c.hasSentMessage = true
	if req.Method == "GET" && req.Target == http1.PathUp {
		status := 503
		if c.server.dispatcher.Ready() {
			status = 200
		}
		return nil, &http1.Response{Status: status, Close: req.Close}, outcome.Open
	}
	words := c.server.translator.Load()
	now := time.Now()
	since, _ := c.socket.SinceArrival()
	inv, status := words.request(req, now.Add(-since))
	if status != 0 {
		return nil, c.rejection(status, req.Close || status == 400), outcome.Open
	}
	c.unansweredID.Store(&inv.ID)
	c.hasSentRequest, c.class, inv.ClientGone = true, words.names[inv.Class], c.socket.Left
	if c.upload = nil; req.Rest != nil {
		c.upload = &upload{conn: c, body: req.Rest, pace: c.pace, clientGone: inv.MarkClientGone, done: make(chan struct{})}
		inv.Remainder = c.upload
	}
	c.pace = nil
	inv.Respond = func(a request.Response) { // never blocks: there is room for the one answer that is owed
		r := encodeResponse(a)
		r.Bodiless = a.Kind == request.Served && req.Method == "HEAD"
		r.Close = req.Close || a.Remainder != nil && a.Remainder.Length() < 0 && req.Old
		c.deliver(r, a.Remainder, req.Old)
	}
	return inv, nil, outcome.Open
}

// Read reads from the socket, and gives a body that goes on its time.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	if c.pace != nil && n > 0 {
		c.pace.Got += int64(n)
		c.extendBodyDeadline(c.pace.Until(time.Now()))
	}
	return n, err
}

// readBody reads the body, or the beginning of a long one.
func (c *conn) readBody(req *http1.Request) error {
	if req.Length() < 0 || req.Length() > int64(c.reader.Buffered()) {
		now := time.Now()
		c.pace = &streaming.Pace{Began: now}
		c.extendDeadline(c.pace.Until(now))
	}
	return req.ReadFirst(c.reader)
}

// reserveMemory reserves the memory for the part of the body that is kept, unless that is here already, and reports whether there is
// any left.
func (c *conn) reserveMemory(req *http1.Request) bool {
	n := req.Length()
	if n < 0 || n > http1.MaxBody {
		n = http1.MaxBody
	}
	if req.Length() >= 0 && int(n) <= c.reader.Buffered() {
		return true
	}
	c.releaseMemory()
	if !c.server.bounds.Take(int(n)) {
		return false
	}
	c.reservedBytes = int(n)
	return true
}

func (c *conn) releaseMemory() {
	c.server.bounds.Give(c.reservedBytes)
	c.reservedBytes = 0
}

// extendDeadline gives the message that is being read until t, or less once the front is being closed. False means that the connection is to make
// room.
func (c *conn) extendDeadline(t time.Time) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.socket.ExtendReadDeadline(c.server.boundByDrain(t))
}

// extendEvicted is extend for a connection whose place has been given away.
func (c *conn) extendEvicted(t time.Time) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.socket.SetReadDeadline(c.server.boundByDrain(t))
}

// extendBodyDeadline gives a body until t. Once the front is being closed, one that belongs to no request yet gets less: see extend. One that flows to a
// server goes on until its request is answered.
func (c *conn) extendBodyDeadline(t time.Time) {
	if c.upload == nil {
		c.extendDeadline(t)
	} else {
		c.socket.ExtendReadDeadline(t)
	}
}

// finishReading notes that the message is there, and takes its deadline back. Both at once: see Drain.
func (c *conn) finishReading() error {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.readingMessage = false
	return c.socket.SetReadDeadline(time.Time{})
}

// setReading notes whether a message has begun and is not there yet.
func (c *conn) setReading(reading bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.readingMessage = reading
}
