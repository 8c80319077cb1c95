// Package provider makes invoker calls and probes to the providers and keeps each provider's connections.
package provider

import (
	"context"
	"errors"
	"os"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"plankrouter/internal/config"
	"plankrouter/internal/ending"
	"plankrouter/internal/http1"
	"plankrouter/internal/invocation"
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
	Conn   *Conn // may serve another call; nil if it is spent
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
	writing          // from here on its last byte may have been written
	written
	ended
)

// Call is one invoker call or one probe. It ends exactly once: its goroutine may end it up to the first byte,
// its connection's reader from there on, and Stop at any time; the first of them wins.
type Call struct {
	SentAt time.Time

	address string
	message []byte
	probe   bool
	cancel  context.CancelFunc
	wrote   chan struct{} // closed when the write has returned

	mu       sync.Mutex
	stage    stage
	conn     *Conn
	notAfter time.Time // no first byte later than this; zero = any time
}

// NewCall words an attempt for inv that is given up after wait.
func NewCall(address string, inv *invocation.Invocation, wait time.Duration) *Call {
	fields := append([]invocation.Field{{Name: http1.HeaderID, Value: inv.ID},
		{Name: http1.HeaderDeadline, Value: strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)}}, inv.Fields...)
	return &Call{address: address, wrote: make(chan struct{}),
		message: http1.AppendRequest(nil, inv.Verb, inv.Target, address, fields, inv.Body)}
}

// NewProbe words a question for the provider's load.
func NewProbe(address string) *Call {
	return &Call{address: address, wrote: make(chan struct{}), probe: true,
		message: http1.AppendRequest(nil, "GET", http1.PathLoad, address, nil, nil)}
}

// Start sends the call on the pool's connection, or on a new one if conn is nil.
func (v *Invoker) Start(c *Call, conn *Conn) {
	c.SentAt = time.Now()
	ctx, cancel := context.WithCancel(v.ctx)
	c.cancel = cancel
	v.group.Go(func() error {
		defer cancel()
		v.run(ctx, c, conn)
		return nil
	})
}

func (v *Invoker) run(ctx context.Context, c *Call, conn *Conn) {
	if conn != nil && !conn.usable() { // it ended between being taken and now, with nothing sent on it
		conn.Close()
		conn = nil
	}
	if conn == nil {
		socket, err := v.budget.Dial(ctx, c.address, v.within)
		if err != nil {
			c.end(v.sink, Result{Ending: dialEnding(err)})
			return
		}
		conn = newConn(socket, c.address, v.sink)
		v.group.Go(func() error {
			defer context.AfterFunc(v.ctx, conn.Close)()
			conn.read()
			return nil
		})
	}
	switch e := c.begin(conn); e {
	case ending.Open:
	case ending.Withdrawn: // ended by Stop while it connected
		v.sink.ConnFree(conn)
		return
	default:
		c.end(v.sink, Result{Ending: e})
		v.sink.ConnFree(conn)
		return
	}
	_, err := conn.socket.Write(c.message)
	c.mu.Lock()
	if err == nil && c.stage == writing {
		c.stage = written
	}
	c.mu.Unlock()
	close(c.wrote)
	if err != nil { // the reader ends the call: an answer may have come before the break
		conn.expire()
	}
}

func dialEnding(err error) ending.Ending {
	switch {
	case errors.Is(err, sockets.ErrNone):
		return ending.NoSocket
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
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
	case !conn.bind(c): // it ended meanwhile, and nobody would wait for the answer
		return ending.Unwritten
	}
	c.conn, c.stage = conn, writing
	return ending.Open
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
	if c.stage == connecting {
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
		out.Report = config.ParseReport([]byte(load))
	}
	if c.probe && out.Ending == ending.Served { // without it the module would judge by its own durations alone
		out.Report = config.ParseReport(r.Body)
	}
	return out
}

// ownHeader: between sidecar and provider only.
func ownHeader(name string) bool { return name == http1.HeaderLoad || name == http1.HeaderDeclined }
