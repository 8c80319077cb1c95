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

// run opens a connection for the call and stays with it until it ends. A call that finds it dead when it was to be
// carried, before the last byte was sent, gets another one: it can't have run.
func (v *Caller) run(c *call) {
	for c != nil {
		c.hold = c.fresh
		began := time.Now()
		dial := v.budget.Dial
		if c.probe {
			dial = v.budget.DialOptional
		}
		socket, err := dial(c.ctx, c.at.address, v.now.Load().Connect)
		if err != nil {
			how := dialEnding(err)
			v.trace("trace=dial provider=%s ending=%s took_ms=%.1f", c.at.name, how, time.Since(began).Seconds()*1e3)
			v.end(c, result{Result: upstream.Result{Outcome: how}})
			return
		}
		name := c.at.name
		v.trace("trace=dial provider=%s ending=%s took_ms=%.1f", name, outcome.Open, time.Since(began).Seconds()*1e3)
		conn := newConn(socket, c.at)
		conn.since = time.Now()
		conn.dialed = conn.since.Sub(began)
		stop := context.AfterFunc(v.ctx, conn.close)
		c = v.serve(conn, c)
		stop()
		v.trace("trace=closed provider=%s", name)
		http1.Free(conn.br)
	}
}

// serve carries calls on the connection until it ends, and returns the one that it could not begin.
func (v *Caller) serve(conn *conn, c *call) *call {
	if !conn.socket.Quiet() { // a provider that speaks first is no HTTP server
		conn.close()
		v.end(c, result{Result: upstream.Result{Outcome: outcome.PartlyWritten}})
		return nil
	}
	for {
		var untold *result
		switch e := c.begin(conn); e {
		case outcome.Open:
			r, again := conn.carry(c)
			r.ConnectedAt = conn.since
			if !again && conn.foundDead(c, &r) && c.rewind(dead{conn.use, c.hold, r.took, r.early}) {
				conn.close()
				return c
			}
			conn.use.carried++
			// The call ends before its connection is kept for another: once it has ended, Stop can't close that. It is told
			// after that, unless a long answer still holds the connection: a call that follows from it is to find that.
			ended := v.settle(c, &r)
			switch {
			case ended && r.flow != nil:
				c.done(r.Result)
				again = r.flow.wait(v.ctx) && again
			case ended && !again:
				c.done(r.Result)
			default:
				untold = &r
			}
			if !ended || !again {
				conn.close()
				return nil
			}
		default: // nobody waits for it, or it is too late: another call may use the connection
			v.end(c, result{Result: upstream.Result{Outcome: e}})
		}
		v.keep(conn)
		if untold != nil {
			c.done(untold.Result)
		}
		next, how := conn.idle()
		if how != outcome.Open {
			conn.close()
			v.drop(conn, how)
			return next
		}
		c = next
	}
}

func dialEnding(err error) outcome.Kind {
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
func (v *Caller) end(c *call, r result) {
	if v.settle(c, &r) {
		c.done(r.Result)
	}
}

// settle ends the call with a result that is still to be told, unless it has ended before.
func (v *Caller) settle(c *call, r *result) bool {
	c.mu.Lock()
	if c.stage == ended {
		c.mu.Unlock()
		return false
	}
	c.stage = ended
	c.cancel()
	c.mu.Unlock()
	v.learn(c, r)
	return true
}
