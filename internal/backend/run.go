package backend

import (
	"context"
	"errors"
	"os"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/http1"
	"plankrouter/internal/outcome"
	"plankrouter/internal/transient"
	"plankrouter/internal/upstream"
	"syscall"
	"time"
)

// dialAndServe opens a connection for the call and stays with it until it ends. A call that finds it dead when it was to be
// carried, before the last byte was sent, gets another one: it can't have run.
func (c *Caller) dialAndServe(a *attempt) {
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

// serve carries calls on the connection until it ends, and returns the one that it could not begin.
func (c *Caller) serve(conn *conn, a *attempt) *attempt {
	if !conn.socket.Quiet() { // a provider that speaks first is no HTTP server
		conn.close()
		c.end(a, result{Result: upstream.Result{Outcome: outcome.PartlyWritten}})
		return nil
	}
	for {
		var untold *result
		switch e := a.begin(conn); e {
		case outcome.Open:
			r, again := conn.exchange(a)
			r.ConnectedAt = conn.connectedAt
			if !again && conn.foundDead(a, &r) && a.rewind(deadConn{conn.use, a.pause, r.tookUntilBreak, r.early}) {
				conn.close()
				return a
			}
			conn.use.attempts++
			// The call ends before its connection is kept for another: once it has ended, Stop can't close that. It is told
			// after that, unless a long answer still holds the connection: a call that follows from it is to find that.
			ended := c.finish(a, &r)
			switch {
			case ended && r.download != nil:
				a.onEnd(r.Result)
				again = r.download.wait(c.ctx) && again
			case ended && !again:
				a.onEnd(r.Result)
			default:
				untold = &r
			}
			if !ended || !again {
				conn.close()
				return nil
			}
		default: // nobody waits for it, or it is too late: another call may use the connection
			c.end(a, result{Result: upstream.Result{Outcome: e}})
		}
		c.keepIdle(conn)
		if untold != nil {
			a.onEnd(untold.Result)
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

func dialOutcome(err error) outcome.Kind {
	is := func(target error) bool { return errors.Is(err, target) }
	switch {
	case is(connlimit.ErrLimitReached):
		return outcome.ConnectionLimit
	case transient.IsLocal(err), is(syscall.EACCES), is(syscall.EPERM): // nothing has left this machine: it says nothing of the provider
		return outcome.LocalError
	case is(os.ErrDeadlineExceeded), is(context.DeadlineExceeded):
		return outcome.ConnectTimeout
	}
	return outcome.ConnectRefused
}

// end reports the result unless the call has ended before.
func (c *Caller) end(a *attempt, r result) {
	if c.finish(a, &r) {
		a.onEnd(r.Result)
	}
}

// finish ends the call with a result that is still to be told, unless it has ended before.
func (c *Caller) finish(a *attempt, r *result) bool {
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
