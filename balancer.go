package plankrouter

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"plankrouter/internal/backend"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/discovery"
	"plankrouter/internal/dispatch"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/http1"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/staleness"
	"plankrouter/policy"
	"sync"
	"sync/atomic"
	"time"
)

// MaxBody bounds the bodies of requests and answers, in bytes.
const MaxBody = http1.MaxBody

// afterContext is how much longer than its context a request lives in the core: it is the context that ends it, and the
// error is then the context's.
const afterContext = 5 * time.Millisecond

// Balancer is one pool of servers. Its methods are safe for concurrent use.
type Balancer struct {
	set     Options
	core    *dispatch.Dispatcher
	caller  *backend.Caller
	watch   *discovery.Watch // nil = there is none
	classes map[string]int
	tenants map[string]int
	log     *logger
	stop    context.CancelFunc
	ended   chan struct{} // closed when all goroutines have ended

	mu     sync.Mutex
	closed bool
	calls  sync.WaitGroup // of Do, under way; added to only while not closed

	cancelled atomic.Int64
}

// New returns a Balancer, which needs a Close. An error is an *OptionError.
func New(o Options) (*Balancer, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	b := &Balancer{set: o, classes: map[string]int{}, tenants: map[string]int{}, ended: make(chan struct{})}
	cfg := o.logic()
	for i, c := range o.Classes {
		b.classes[c.Name] = i
	}
	for i, t := range o.Tenants {
		b.tenants[t.Name] = i
	}
	known, err := list(o.Members, true)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	b.log = newLogger(ctx, o.Logger, o.Name)
	if b.caller, err = backend.New(ctx, o.Sockets.budget, backend.Settings{Figures: backend.Figures{
		Connect:  o.Connect,
		ConnIdle: o.ConnIdle, Stakes: backend.Stakes(cfg.Classes),
	}, Answers: func(status int) bool { return status < 500 }}); err != nil {
		stop()
		return nil, err
	}
	saw := func(string, staleness.Evidence) {}
	if o.Directory != "" {
		if b.watch, err = discovery.New(discovery.Options{
			Address: o.Directory, Watch: staleness.DefaultSettings(), Seed: o.Seed,
			Initial: endpoints.List{Endpoints: known.Endpoints}, Budget: o.Sockets.budget,
			OnUpdate: func(l endpoints.List, at time.Time) { b.core.UpdateEndpoints(l, at) }, Logf: b.log.printf,
		}); err != nil {
			stop()
			return nil, err
		}
		saw = b.watch.Observe
	}
	if b.core, err = dispatch.New(dispatch.Options{
		Name: o.Name, Policy: cfg, Seed: o.Seed, Zones: []string{o.Zone},
		DrainGrace: o.DrainGrace, InitialEndpoints: known, Upstream: b.caller, IsComplete: whole, Logf: b.log.printf, OnEvidence: saw,
	}); err != nil {
		stop()
		return nil, fmt.Errorf("plankrouter: %w", err)
	}
	var running sync.WaitGroup
	running.Go(func() { b.core.Run(ctx) })
	if b.watch != nil {
		running.Go(func() { b.watch.Run(ctx) })
	}
	go func() {
		running.Wait()
		b.caller.Wait()
		close(b.ended)
	}()
	return b, nil
}

// whole: a probe's answer without the load says nothing.
func whole(r policy.Report) bool { return r.HasRIF }

// Update tells of members that have come, changed or gone; those that it does not name stay as they are. With a Directory
// what that says of the same ids goes on counting. An error is an *OptionError, and then nothing has changed.
func (b *Balancer) Update(changed ...Member) error {
	l, err := list(changed, false)
	if err != nil {
		var at *OptionError
		if errors.As(err, &at) {
			at.Option = "Update" + at.Option
		}
		return err
	}
	b.core.UpdateEndpoints(l, time.Now())
	return nil
}

// Replace tells of all members: those that it does not name are gone. An error is as that of Update.
func (b *Balancer) Replace(all ...Member) error {
	l, err := list(all, true)
	if err != nil {
		var at *OptionError
		if errors.As(err, &at) {
			at.Option = "Replace" + at.Option
		}
		return err
	}
	b.core.UpdateEndpoints(l, time.Now())
	return nil
}

// Ready reports whether there is a server to send to.
func (b *Balancer) Ready() bool { return b.core.Ready() }

// begin takes note of a call, unless the balancer is closed.
func (b *Balancer) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.calls.Add(1)
	}
	return !b.closed
}

// Do sends the request and returns its one outcome, at the latest when ctx ends or the class's deadline has passed. The
// error is a *RefusedError, a *FailedError, a *CancelledError, a *RequestError, or one of ErrClosed, ErrDuplicate and
// ErrTooLarge, by which nothing has been sent.
func (b *Balancer) Do(ctx context.Context, r *Request) (*Response, error) {
	if !b.begin() {
		return nil, ErrClosed
	}
	defer b.calls.Done()
	if err := ctx.Err(); err != nil {
		b.cancelled.Add(1)
		return nil, &CancelledError{Cause: err}
	}
	if r == nil {
		return nil, &RequestError{"Request", "it is nil"}
	}
	inv, err := b.word(r)
	if err != nil {
		return nil, err
	}
	inv.SentAt = time.Now()
	if until, ends := ctx.Deadline(); ends {
		inv.Timeout = min(inv.Timeout, until.Sub(inv.SentAt)+afterContext)
	}
	answers := make(chan request.Response, 1)
	inv.Respond = func(a request.Response) { answers <- a }
	inv.ClientGone = func() bool { return ctx.Err() != nil }
	if !b.core.Submit(inv) {
		return nil, ErrClosed
	}
	select {
	case a := <-answers:
		return responseOf(a)
	case <-ctx.Done():
	case <-b.core.Done():
	}
	mayRun := b.core.Cancel(inv)
	select {
	case a := <-answers: // it had come by then
		return responseOf(a)
	default:
	}
	if err := ctx.Err(); err != nil {
		b.cancelled.Add(1)
		return nil, &CancelledError{MayHaveRun: mayRun, Cause: err}
	}
	return nil, &FailedError{MayHaveRun: mayRun} // the balancer was closed, and its Close did not wait
}

// word turns the request into the core's words.
func (b *Balancer) word(r *Request) (*request.Request, error) {
	class, known := b.classes[r.Class]
	tenant, named := b.tenants[r.Tenant]
	method, target, id := cmp.Or(r.Method, http.MethodGet), cmp.Or(r.Target, "/"), r.ID
	if !named {
		tenant = -1
	}
	switch {
	case !known && r.Class != "":
		return nil, &RequestError{"Class", fmt.Sprintf("there is none named %q", r.Class)}
	case !http1.ValidStart(method, target) || target[0] != '/' && target != "*":
		return nil, &RequestError{"Method and Target", fmt.Sprintf("%q %q can't be sent", method, target)}
	case method == http.MethodConnect:
		return nil, &RequestError{"Method", "CONNECT makes a tunnel, which has no outcome"}
	case len(r.Body) > MaxBody:
		return nil, ErrTooLarge
	}
	if id == "" {
		id = fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
	}
	var all http1.Header
	host := ""
	for name, values := range r.Header {
		for _, v := range values {
			if !http1.ValidField(name, v) {
				return nil, &RequestError{"Header", fmt.Sprintf("%q: %q can't be sent", name, v)}
			}
			all = append(all, http1.Field{Name: name, Value: v})
			if name == "Host" {
				host = v
			}
		}
	}
	if !http1.ValidField(http1.HeaderID, id) {
		return nil, &RequestError{"ID", fmt.Sprintf("%q can't be sent", id)}
	}
	return &request.Request{
		ID: id, Class: class, Tenant: tenant, Timeout: b.set.Classes[class].Deadline, Host: host,
		Method: method, Target: target, Fields: all.EndToEnd(http1.Reworded), Body: r.Body,
	}, nil
}

// responseOf turns the core's answer into that of Do.
func responseOf(a request.Response) (*Response, error) {
	switch a.Kind {
	case request.Served:
		r := &Response{Status: a.StatusCode, Header: make(http.Header, len(a.Fields)), Body: a.Body}
		for _, f := range a.Fields {
			r.Header.Add(f.Name, f.Value)
		}
		return r, nil
	case request.Rejected:
		return nil, &RefusedError{RetryAfter: a.RetryAfter, MayHaveRun: a.MayHaveRun}
	case request.Duplicate:
		return nil, ErrDuplicate
	}
	return nil, &FailedError{MayHaveRun: a.MayHaveRun}
}

// Close turns further calls away, waits for those under way, each of which has its outcome by its own deadline, and ends
// connections and goroutines. If ctx ends first, what is under way ends at once with an error that says whether it may have
// run, and ctx's error is returned. Further calls of Close wait for the same. From within a callback it needs a ctx that
// ends, or to be called from a goroutine of its own, if calls under way depend on that callback. A logger or a dial function
// that is being called when Close returns is not waited for.
func (b *Balancer) Close(ctx context.Context) error {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	answered := make(chan struct{})
	go func() {
		b.calls.Wait()
		close(answered)
	}()
	var err error
	select {
	case <-answered:
	case <-b.ended: // by an earlier Close
	case <-ctx.Done():
		err = ctx.Err()
	}
	b.stop()
	<-b.ended
	<-answered
	return err
}

// Stats are counts since New, and what there is at the moment.
type Stats struct {
	Taken, Served, Refused, Failed, Cancelled, Duplicates int
	Attempts, Probes                                      int
	Lists                                                 int            // changes of the members
	AttemptEndings, ProbeEndings                          map[string]int // by the words of the daemon's log
	Connections                                           int            // under the limit, those of others who share it included
	LogLost                                               int            // log lines left out because the logger was slow
}

// Stats returns the present figures, also after Close.
func (b *Balancer) Stats() Stats {
	c := b.core.Counts()
	words := func(counts outcome.Counts) map[string]int {
		m := map[string]int{}
		counts.Each(func(e outcome.Kind, n int) { m[e.String()] = n })
		return m
	}
	return Stats{
		Taken: c.Accepted, Served: c.Served, Refused: c.Rejected, Failed: c.Failed, Cancelled: int(b.cancelled.Load()),
		Duplicates: c.Conflicts, Attempts: c.Attempts, Probes: c.Probes, Lists: c.EndpointUpdates, AttemptEndings: words(c.AttemptOutcomes),
		ProbeEndings: words(c.ProbeOutcomes), Connections: b.set.Sockets.budget.Used(), LogLost: int(b.log.lost.Load()),
	}
}

// guarded calls an application's dial function so that one that panics, or does not heed its context, ends or holds up
// nobody else.
func guarded(dial connlimit.Dialer) connlimit.Dialer {
	type result struct {
		c   net.Conn
		err error
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		done := make(chan result, 1)
		go func() {
			r := result{err: errors.New("the dial function panicked")}
			defer func() {
				if p := recover(); p != nil {
					r.err = fmt.Errorf("the dial function panicked: %v", p)
				}
				done <- r
			}()
			r.c, r.err = dial(ctx, address)
			if r.err == nil && r.c == nil {
				r.err = errors.New("the dial function returned neither a connection nor an error")
			}
		}()
		select {
		case r := <-done:
			return r.c, r.err
		case <-ctx.Done():
			go func() {
				if r := <-done; r.c != nil {
					r.c.Close()
				}
			}()
			return nil, ctx.Err()
		}
	}
}
