package frontend

import (
	"errors"
	"io"
	"os"
	"time"

	"plankrouter/internal/http1"
	"plankrouter/internal/outcome"
	"plankrouter/internal/streaming"
)

// errEvicted means that the connection was closed, or has to be, to make room for another.
var errEvicted = errors.New("connection is evicted")

// discardUpload reads and discards what attempts have left of a body whose request has its response. kind is the outcome of
// writing that response; see discardAfterResponse.
func (c *conn) discardUpload(kind outcome.Kind) outcome.Kind {
	u := c.upload
	c.upload = nil
	if errors.Is(u.err, errRespondedEarly) {
		return c.discardAfterResponse(kind, u.body, u.pace)
	}
	if kind == outcome.Open {
		c.markIdle()
	}
	return kind
}

// discardAfterResponse reads and discards the rest of a body whose request has its response. It returns kind, the outcome of
// writing that response, or another outcome if the connection can't carry a further request.
func (c *conn) discardAfterResponse(kind outcome.Kind, rest *http1.Body, pace *streaming.Pace) outcome.Kind {
	if kind == outcome.WriteFailed || kind == outcome.ResponseAborted {
		return kind
	}
	err := c.discardRest(rest, pace)
	switch {
	case kind != outcome.Open:
		return kind
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.RequestTimedOut
	case err != nil:
		return outcome.MalformedRequest
	}
	c.markIdle()
	return outcome.Open
}

// discardRest reads and discards the rest of a body for as long as its client sends it, so that closing the connection does not
// reset it while the client still has to read the response. After an error the connection can't be used for a further request.
func (c *conn) discardRest(body *http1.Body, pace *streaming.Pace) error {
	c.discardSince = time.Now()
	c.pace = pace
	c.socket.MarkUnused(minPartialAge)
	c.setReading(true)
	defer func() {
		c.setReading(false)
		c.pace = nil
		c.discardSince = time.Time{}
	}()
	if !c.extendDiscardDeadline(pace.StartWaiting(c.discardSince)) {
		return errEvicted
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		return err
	}
	if !c.socket.MarkBusy() || c.socket.IsEvicted() {
		return errEvicted
	}
	return c.finishReading()
}

// extendDiscardDeadline sets the read deadline of a body that is discarded to t, or to the earlier time at which the discarding
// ends. False means that the connection is evicted.
func (c *conn) extendDiscardDeadline(t time.Time) bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	end := c.discardSince.Add(maxDiscardTime)
	if s.draining {
		end = c.discardSince.Add(drainLinger)
		if c.discardSince.Before(s.drainStartedAt) {
			end = s.drainStartedAt.Add(drainLinger)
		}
	}
	if end.Before(t) {
		t = end
	}
	return c.socket.ExtendReadDeadline(t)
}

// lingerForClose closes the sending side and waits for the client to close the connection, which meanwhile is the first to be
// evicted. It discards what the client has sent beyond its request, because closing with unread bytes sends a reset, which could
// overtake the response. It stops reading after maxLingerBytes, and then waits for floodDelay so that the response can arrive.
func (c *conn) lingerForClose() {
	_ = c.socket.CloseWrite() // fails on a connection that has ended
	c.socket.MarkUnused(0)
	if !c.socket.ExtendReadDeadline(time.Now().Add(c.lingerTime())) {
		return
	}
	if n, _ := io.CopyN(io.Discard, c.reader, maxLingerBytes); n == maxLingerBytes {
		time.Sleep(floodDelay)
	}
}

// lingerTime returns how long the connection waits for the client to close it.
func (c *conn) lingerTime() time.Duration {
	switch {
	case c.rejected:
		return rejectionLinger
	case c.server.isDraining():
		return drainLinger
	}
	return lingerTimeout
}
