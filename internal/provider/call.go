// Package provider makes invoker calls and probes to the providers and keeps each provider's connections.
package provider

import (
	"context"
	"errors"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"plankrouter/internal/ending"
	"plankrouter/internal/http1"
	"plankrouter/internal/invocation"
	"plankrouter/internal/loadreport"
	"plankrouter/internal/sockets"
	"plankrouter/logic"
)

// Result is how a call ended.
type Result struct {
	Call   *Call
	Ending ending.Ending
	Report logic.Report
	Fields []invocation.Field // the answer's, where it was Served
	Body   []byte
	Early  bool          // with Unwritten: the connection broke before the call's last byte was written
	Took   time.Duration // with Early, from the first byte until it broke; with ResetByPeer, from the last
	Conn   *Conn         // may serve another call; nil if it is spent
}

// Use is a connection as a call found it.
type Use struct {
	Idle    time.Duration // before the call
	Carried int           // calls before that; 0 = the connection was new
}

// Dead is how a kept connection was found dead.
type Dead struct {
	Use
	Held, Took time.Duration // as in Call and Result
	Early      bool
}

// Bet decides on which connection a call goes and how it is written. It is asked by who starts the call, before Start
// returns.
type Bet interface {
	Take(Use) bool          // this kept connection, rather than another or a new one
	Hold(Use) time.Duration // for which the last byte is held back, to see whether the connection is dead
}

// Sink is told what has happened, from many goroutines. It may block only until its owner takes the news.
type Sink interface {
	CallEnded(Result)
	ConnFree(*Conn)                 // opened or taken for a call that no longer needed it
	ConnEnded(*Conn, ending.Ending) // while it was idle
}

// Invoker makes the calls.
type Invoker struct {
	ctx    context.Context
	group  *errgroup.Group
	budget *sockets.Budget
	within time.Duration // for a connection to come up
	sink   Sink
}

// NewInvoker returns an Invoker whose goroutines belong to group and whose connections end with ctx.
func NewInvoker(ctx context.Context, group *errgroup.Group, budget *sockets.Budget, connect time.Duration,
	sink Sink) *Invoker {
	return &Invoker{ctx: ctx, group: group, budget: budget, within: connect, sink: sink}
}

// stage is how far a call has come.
type stage uint8

const (
	connecting stage = iota
	holding          // its last byte is still here
	writing          // from here on its last byte may have been written
	waiting          // its last byte is written
	ended
)

// Call is one invoker call or one probe. It ends exactly once: by the goroutine that carries it, or by Stop; the first
// of them wins.
type Call struct {
	SentAt time.Time

	// Once the call has ended:
	Use    Use           // the connection that carried it
	Held   time.Duration // its last byte was held back there for so long
	Dialed time.Duration // the connection took so long to come up, if it was new
	Dead   *Dead         // a kept connection that was found dead before; nil = there was none

	pool    *Pool
	message []byte
	probe   bool
	hold    time.Duration   // of the last byte, on the present connection
	fresh   time.Duration   // likewise, on a new one
	ctx     context.Context // ends with the call
	cancel  context.CancelFunc

	mu       sync.Mutex
	stage    stage
	conn     *Conn
	notAfter time.Time // no first byte later than this; zero = any time
}

// NewCall words an attempt for inv that is given up after wait.
func NewCall(pool *Pool, inv *invocation.Invocation, wait time.Duration) *Call {
	fields := append([]invocation.Field{{Name: http1.HeaderID, Value: inv.ID},
		{Name: http1.HeaderDeadline, Value: strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)}}, inv.Fields...)
	return &Call{pool: pool, message: http1.AppendRequest(nil, inv.Verb, inv.Target, pool.Address, fields, inv.Body)}
}

// NewProbe words a question for the provider's load.
func NewProbe(pool *Pool) *Call {
	return &Call{pool: pool, probe: true,
		message: http1.AppendRequest(nil, "GET", http1.PathLoad, pool.Address, nil, nil)}
}

// Start sends the call on a kept connection of its provider, or on a new one, as bet decides.
func (v *Invoker) Start(c *Call, bet Bet) {
	c.SentAt = time.Now()
	c.ctx, c.cancel = context.WithCancel(v.ctx)
	c.fresh = bet.Hold(Use{})
	if !c.pool.offer(c, bet) {
		v.group.Go(func() error { v.run(c); return nil })
	}
}

// run opens a connection for the call and stays with it until it ends. A call that finds it dead when it was to be
// carried, before the last byte was sent, gets another one: it can't have run.
func (v *Invoker) run(c *Call) {
	for c != nil {
		c.hold = c.fresh
		began := time.Now()
		socket, err := v.budget.Dial(c.ctx, c.pool.Address, v.within)
		if err != nil {
			c.end(v.sink, Result{Ending: dialEnding(err)})
			return
		}
		conn := newConn(socket, c.pool)
		conn.dialed = time.Since(began)
		stop := context.AfterFunc(v.ctx, conn.Close)
		c = v.serve(conn, c)
		stop()
		http1.Free(conn.br)
	}
}

// serve carries calls on the connection until it ends, and returns the one that it could not begin.
func (v *Invoker) serve(conn *Conn, c *Call) *Call {
	if !conn.socket.Quiet() { // a provider that speaks first is no HTTP server
		conn.Close()
		c.end(v.sink, Result{Ending: ending.Unwritten})
		return nil
	}
	for {
		switch e := c.begin(conn); e {
		case ending.Open:
			r, again := conn.carry(c)
			if !again && conn.foundDead(c, &r) && c.rewind(Dead{conn.use, c.Held, r.Took, r.Early}) {
				conn.Close()
				return c
			}
			conn.use.Carried++
			if r.Conn = conn; !again {
				conn.Close()
				r.Conn = nil
			}
			if !c.end(v.sink, r) || !again {
				conn.Close()
				return nil
			}
		default: // ended by Stop, or too late for its provider: another call may use the connection
			if e != ending.Withdrawn {
				c.end(v.sink, Result{Ending: e})
			}
			v.sink.ConnFree(conn)
		}
		next, how := conn.idle()
		if how != ending.Open {
			conn.Close()
			v.sink.ConnEnded(conn, how)
			return next
		}
		c = next
	}
}

// localFaults are those in which nothing has left this machine: they say nothing of the provider.
var localFaults = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM}

func dialEnding(err error) ending.Ending {
	is := func(target error) bool { return errors.Is(err, target) }
	switch {
	case is(sockets.ErrNone):
		return ending.NoSocket
	case slices.ContainsFunc(localFaults, is):
		return ending.LocalFault
	case is(os.ErrDeadlineExceeded), is(context.DeadlineExceeded):
		return ending.ConnectTimeout
	}
	return ending.Refused
}

// begin moves the call to its first byte, unless it has ended or its provider no longer wants it.
func (c *Call) begin(conn *Conn) ending.Ending {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.stage == ended:
		return ending.Withdrawn
	case !c.notAfter.IsZero() && time.Now().After(c.notAfter):
		// The list said so while the connection came up: a drain counts from the first byte of a send.
		return ending.Drained
	}
	c.conn, c.Use, c.Held = conn, conn.use, c.hold
	if conn.use.Carried == 0 {
		c.Dialed = conn.dialed
	}
	if c.stage = writing; c.inParts() {
		c.stage = holding
	}
	return ending.Open
}

// inParts reports whether the last byte is written by itself, so that what comes in before it is seen to.
func (c *Call) inParts() bool { return len(c.message) > lump || c.hold > 0 }

// release reports whether the last byte may be written.
func (c *Call) release() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage == ended {
		return false
	}
	c.stage = writing
	return true
}

// rewind takes the call back to where it has no connection, unless it has ended meanwhile or lost one before. The next one
// is new.
func (c *Call) rewind(dead Dead) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage == ended || c.Dead != nil {
		return false
	}
	c.stage, c.conn, c.Dead = connecting, nil, &dead
	return true
}

// written notes that the last byte is written, and reports whether the call still waits for its answer.
func (c *Call) written() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage == ended {
		return false
	}
	c.stage = waiting
	return true
}

// NotAfter forbids a first byte later than t.
func (c *Call) NotAfter(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.notAfter.IsZero() {
		c.notAfter = t
	}
}

// Stop gives the call up. Its connection is closed when Stop returns, so that no later attempt can be out
// beside this one. False means that it had ended already and its Result is on the way.
func (c *Call) Stop(why ending.Ending) (ending.Ending, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage == ended {
		return ending.Open, false
	}
	if c.stage <= holding {
		why = why.Unsent()
	}
	c.stage = ended
	c.cancel()
	if c.conn != nil {
		c.conn.Close()
	}
	return why, true
}

// end reports the result unless the call has ended before.
func (c *Call) end(sink Sink, r Result) bool {
	c.mu.Lock()
	if c.stage == ended {
		c.mu.Unlock()
		return false
	}
	c.stage = ended
	c.cancel()
	c.mu.Unlock()
	r.Call = c
	sink.CallEnded(r)
	return true
}

// resultOf reads an answer for what it says to the decision module.
func (c *Call) resultOf(r *http1.Response) Result {
	out := Result{Ending: ending.ServerError, Body: r.Body}
	switch {
	case r.Status == 200:
		out.Ending = ending.Served
		out.Fields = r.Header.EndToEnd(ownHeader)
	case (r.Status == 503 || r.Status == 504) && r.Header.Get(http1.HeaderDeclined) == "1":
		out.Ending = ending.Declined
	}
	if load := r.Header.Get(http1.HeaderLoad); load != "" {
		out.Report = loadreport.Parse([]byte(load))
	}
	if c.probe && out.Ending == ending.Served { // without it the module would judge by its own durations alone
		out.Report = loadreport.Parse(r.Body)
	}
	return out
}

// ownHeader: between sidecar and provider only.
func ownHeader(name string) bool { return name == http1.HeaderLoad || name == http1.HeaderDeclined }
