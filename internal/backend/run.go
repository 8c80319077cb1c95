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

// dialAndServe opens a connection for the attempt and serves it until it ends. An attempt that was offered to the connection but finds
// it dead before the last byte is written can't have run, and gets another one.
func (c *Client) dialAndServe(a *attempt) {
	for a != nil {
		a.pause = a.pauseOnNew
		began := time.Now()
		dial := c.budget.Dial
		if a.isProbe {
			dial = c.budget.DialOptional
		}
		socket, err := dial(a.ctx, a.endpoint.address, c.figures.Load().Connect)
		if err != nil {
			how := dialOutcome(err)
			c.trace("trace=dial provider=%s ending=%s took_ms=%.1f", a.endpoint.name, how, time.Since(began).Seconds()*1e3)
			c.end(a, result{Result: upstream.Result{Outcome: how}})
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
		http1.Free(conn.reader)
	}
}

// serve makes attempts on the connection, one after another, until it ends, and returns the one that it could not begin.
func (c *Client) serve(conn *conn, a *attempt) *attempt {
	if !conn.socket.HasNothingUnread() { // a server that speaks first is no HTTP server
		conn.close()
		c.end(a, result{Result: upstream.Result{Outcome: outcome.PartlyWritten}})
		return nil
	}
	for {
		var r result
		reported := true
		if how := a.begin(conn); how != outcome.Open { // another attempt may use the connection
			c.end(a, result{Result: upstream.Result{Outcome: how}})
		} else {
			var reusable bool
			r, reusable = conn.exchange(a)
			r.ConnectedAt = conn.connectedAt
			if !reusable && conn.foundDead(a, &r) && a.rewind(deadConn{conn.use, a.pause, r.tookUntilBreak, r.early}) {
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
		next, how := conn.waitForAttempt()
		if how != outcome.Open {
			conn.close()
			c.removeIdle(conn, how)
			return next
		}
		a = next
	}
}

// endExchange ends an attempt, and says whether the connection is to be kept and whether the result has been reported. The attempt
// ends before its connection is kept for others, so that a late Cancel can't close that. But it is reported after that, so that an
// attempt that follows from the report finds the connection; unless a streamed answer still occupies it.
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
	case transient.IsLocal(err), is(syscall.EACCES), is(syscall.EPERM): // nothing has left this machine: it says nothing of the server
		return outcome.LocalError
	case is(os.ErrDeadlineExceeded), is(context.DeadlineExceeded):
		return outcome.ConnectTimeout
	}
	return outcome.ConnectRefused
}

// end ends the attempt and reports the result, unless it has ended before.
func (c *Client) end(a *attempt, r result) {
	if c.finish(a, &r) {
		a.onEnd(r.Result)
	}
}

// finish ends the attempt with a result that is still to be reported. False means that it has ended before.
func (c *Client) finish(a *attempt, r *result) bool {
	a.mu.Lock()
	if a.stage == stageEnded {
		a.mu.Unlock()
		return false
	}
	a.stage = stageEnded
	a.cancel()
	a.mu.Unlock()
	c.learn(a, r)
	return true
}
