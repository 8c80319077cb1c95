package backend

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/http1"
	"plankrouter/internal/outcome"
	"plankrouter/internal/transient"
	"plankrouter/internal/upstream"
)

// dialAndServe opens a connection for the attempt and serves it until it is closed. An attempt that was offered to the
// connection but finds it dead before its last byte is written can't have run; a new connection is opened for it.
func (c *Client) dialAndServe(a *attempt) {
	for a != nil {
		a.pause = a.pauseOnNew
		began := time.Now()
		dial := c.budget.Dial
		if a.isProbe {
			dial = c.budget.DialOptional
		}
		socket, err := dial(a.ctx, a.endpoint.address, c.reloadable.Load().ConnectTimeout)
		if err != nil {
			kind := dialOutcome(err)
			c.trace("trace=dial provider=%s ending=%s took_ms=%.1f", a.endpoint.name, kind, time.Since(began).Seconds()*1e3)
			c.end(a, result{Result: upstream.Result{Outcome: kind}})
			return
		}
		name := a.endpoint.name
		c.trace("trace=dial provider=%s ending=%s took_ms=%.1f", name, outcome.Open, time.Since(began).Seconds()*1e3)
		conn := newConn(socket, a.endpoint)
		conn.connectedAt = time.Now()
		conn.dialTime = conn.connectedAt.Sub(began)
		stop := context.AfterFunc(c.ctx, conn.close)
		a = c.serve(conn, a)
		stop()
		c.trace("trace=closed provider=%s", name)
		http1.FreeReader(conn.reader)
	}
}

// serve sends attempts on the connection, one after another, until it is closed, and returns the attempt that needs another
// connection; nil = none.
func (c *Client) serve(conn *conn, a *attempt) *attempt {
	if !conn.socket.HasNothingUnread() { // an HTTP server sends nothing before a request
		conn.close()
		c.end(a, result{Result: upstream.Result{Outcome: outcome.PartlyWritten}})
		return nil
	}
	for {
		var r result
		reported := true
		if kind := a.begin(conn); kind != outcome.Open { // the connection stays usable for another attempt
			c.end(a, result{Result: upstream.Result{Outcome: kind}})
		} else {
			var reusable bool
			r, reusable = conn.exchange(a)
			r.ConnectedAt = conn.connectedAt
			if !reusable && conn.foundDead(a, &r) && a.resetForNewConn(deadConn{conn.use, a.pause, r.timeToBreak, r.beforeLastByte}) {
				conn.close()
				return a
			}
			conn.use.attempts++
			var keep bool
			reported, keep = c.endExchange(a, &r, reusable)
			if !keep {
				conn.close()
				return nil
			}
		}
		c.keepIdle(conn)
		if !reported {
			a.onEnd(r.Result)
		}
		next, kind := conn.waitForAttempt()
		if kind != outcome.Open {
			conn.close()
			c.removeIdle(conn, kind)
			return next
		}
		a = next
	}
}

// endExchange ends an attempt, and returns whether its result has been reported and whether to keep the connection for reuse.
// The attempt ends before its connection becomes reusable, so that a late Cancel can't close the connection under another
// attempt. But its result is reported only afterwards, so that an attempt started by the report finds the connection idle.
// While a streamed response still occupies the connection, the result is reported at once instead.
func (c *Client) endExchange(a *attempt, r *result, reusable bool) (reported, keep bool) {
	if !c.finish(a, r) {
		return true, false
	}
	switch {
	case r.download != nil:
		a.onEnd(r.Result)
		return true, r.download.wait(c.ctx) && reusable
	case !reusable:
		a.onEnd(r.Result)
		return true, false
	}
	return false, true
}

func dialOutcome(err error) outcome.Kind {
	is := func(target error) bool { return errors.Is(err, target) }
	switch {
	case is(connlimit.ErrLimitReached):
		return outcome.ConnectionLimit
	case transient.IsLocal(err), is(syscall.EACCES), is(syscall.EPERM): // nothing was sent: no evidence about the server
		return outcome.LocalError
	case is(os.ErrDeadlineExceeded), is(context.DeadlineExceeded):
		return outcome.ConnectTimeout
	}
	return outcome.ConnectRefused
}

// end ends the attempt and reports the result, unless the attempt has already ended.
func (c *Client) end(a *attempt, r result) {
	if c.finish(a, &r) {
		a.onEnd(r.Result)
	}
}

// finish ends the attempt with r, which the caller has to report. False means that the attempt has already ended.
func (c *Client) finish(a *attempt, r *result) bool {
	a.mu.Lock()
	if a.stage == stageEnded {
		a.mu.Unlock()
		return false
	}
	a.stage = stageEnded
	a.cancel()
	a.mu.Unlock()
	c.updateEstimator(a, r)
	return true
}
