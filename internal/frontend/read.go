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

// Read reads from the socket, and gives a body that goes on its time.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	if c.paced != nil && n > 0 {
		c.paced.Got += int64(n)
		c.extendBody(c.paced.Until(time.Now()))
	}
	return n, err
}

// readBody reads the body, or the beginning of a long one.
func (c *conn) readBody(req *http1.Request) error {
	if req.Length() < 0 || req.Length() > int64(c.br.Buffered()) {
		now := time.Now()
		c.paced = &streaming.Pace{Began: now}
		c.extend(c.paced.Until(now))
	}
	return req.ReadFirst(c.br)
}

// keep reserves the memory for the part of the body that is kept, unless that is here already, and reports whether there is
// any left.
func (c *conn) keep(req *http1.Request) bool {
	n := req.Length()
	if n < 0 || n > http1.MaxBody {
		n = http1.MaxBody
	}
	if req.Length() >= 0 && int(n) <= c.br.Buffered() {
		return true
	}
	c.letGo()
	if !c.server.bounds.Take(int(n)) {
		return false
	}
	c.kept = int(n)
	return true
}

func (c *conn) letGo() {
	c.server.bounds.Give(c.kept)
	c.kept = 0
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

// extendBody gives a body until t. Once the front is being closed, one that belongs to no request yet gets less: see extend. One that flows to a
// server goes on until its request is answered.
func (c *conn) extendBody(t time.Time) {
	if c.upload == nil {
		c.extend(t)
	} else {
		c.socket.ExtendReadDeadline(t)
	}
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
