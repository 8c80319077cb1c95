package backend

import (
	"errors"
	"os"
	"plankrouter/internal/http1"
	"plankrouter/internal/outcome"
	"plankrouter/internal/upstream"
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

// foundDead reports whether the call has learned nothing but that the kept connection was dead. What is not a probe must
// not have been sent whole: whether to send that again is not decided here.
func (c *conn) foundDead(call *call, r *result) bool {
	return c.use.carried > 0 && (r.early || call.probe && r.Outcome == outcome.ResetByPeer)
}
