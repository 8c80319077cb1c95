package backend

import (
	"errors"
	"os"
	"plankrouter/internal/http1"
	"plankrouter/internal/outcome"
	"plankrouter/internal/upstream"
	"time"
)

// chunkSize is what a kernel takes at once. Only a larger message takes so long to write that an answer could come before
// its end.
const chunkSize = 8 << 10

const (
	// maxResponsePause is how long an answer that has begun may pause while it is judged. Its work is done by then: what is still
	// missing after that, as behind a head that does not end or a length that is too large, will not come.
	maxResponsePause = 400 * time.Millisecond
	// maxStreamStall is the same for a body that flows, either way.
	maxStreamStall = 5 * time.Second
)

// exchange makes the call, on a connection that is quiet, and reports how it ended, with the answer if there was one, and
// whether the connection may be used again.
func (c *conn) exchange(a *attempt) (r result, again bool) {
	sent := time.Now()
	early := func() (result, bool) { // a part of a request can't have run
		return result{Result: upstream.Result{Outcome: outcome.PartlyWritten}, early: true, tookUntilBreak: time.Since(sent)}, false
	}
	unsent := func(e outcome.Kind) (result, bool) { // nobody waits for it, or it is too late, and its last byte is not written
		return result{Result: upstream.Result{Outcome: e}}, false
	}
	rest := a.message
	if a.upload != nil {
		var consumer error
		if rest, consumer = c.streamBody(a); rest == nil && consumer != nil { // who sends it has ended: so has the attempt, unsent
			return unsent(outcome.Withdrawn)
		}
		if rest == nil {
			return early()
		}
	} else if a.lastByteApart() {
		_, err := c.socket.Write(rest[:len(rest)-1])
		if err == nil {
			a.recordViolations(true)
		}
		if err != nil || !c.staysQuiet(a.pause) {
			return early()
		}
		rest = rest[len(rest)-1:]
	}
	if a.lastByteApart() {
		if e := a.releaseLastByte(); e != outcome.Open {
			return unsent(e)
		}
	}
	if _, err := c.socket.Write(rest); err != nil {
		return early()
	}
	a.recordViolations(!a.lastByteApart())
	if !a.markSent() {
		return result{}, false
	}
	if a.upload != nil {
		a.onBodySent()
	}
	sent = time.Now()
	resp, err := c.readResponse(a)
	switch {
	case errors.Is(err, http1.ErrMalformed), errors.Is(err, os.ErrDeadlineExceeded):
		return result{Result: upstream.Result{Outcome: outcome.Malformed}}, false
	case err != nil: // the kernel has taken the last byte, and nobody knows
		return result{Result: upstream.Result{Outcome: outcome.ResetByPeer}, tookUntilBreak: time.Since(sent)}, false
	}
	out := result{Result: a.resultOf(resp)}
	if resp.Rest == nil {
		return out, !resp.Close && c.reader.Buffered() == 0
	}
	if out.Outcome != outcome.Served { // nobody reads the rest
		return out, false
	}
	out.download = &download{Stream: resp.Rest, conn: c, done: make(chan struct{})}
	out.Remainder = out.download
	return out, !resp.Close
}

// readResponse reads the call's answer, or the beginning of a long one.
func (c *conn) readResponse(a *attempt) (*http1.Response, error) {
	bounds := a.endpoint.client.settings.Bounds
	if bounds == nil || a.isProbe {
		return http1.ReadResponse(c.reader, a.bodiless, c.setAnswering)
	}
	kept := 0
	defer func() { bounds.Give(kept) }()
	return http1.ReadLong(c.reader, a.bodiless, c.setAnswering, func(n int) bool {
		if bounds.Take(n) {
			kept = n
		}
		return kept == n
	})
}

// foundDead reports whether the call has learned nothing but that the kept connection was dead. What is not a probe must
// not have been sent whole: whether to send that again is not decided here.
func (c *conn) foundDead(a *attempt, r *result) bool {
	return c.use.attempts > 0 && (r.early || a.isProbe && r.Outcome == outcome.ResetByPeer)
}
