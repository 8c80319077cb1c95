package plankrouter

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"plankrouter/internal/backend"
	"plankrouter/internal/discovery"
	"plankrouter/internal/dispatch"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/staleness"
	"plankrouter/internal/watchpolicy"
	"plankrouter/policy"
)

// Balancer is one pool of servers. Its methods are safe for concurrent use.
type Balancer struct {
	options    Options
	dispatcher *dispatch.Dispatcher
	backend    *backend.Client
	watch      *discovery.Watch // nil = no discovery service is watched
	classes    map[string]int   // positions in options, by name
	tenants    map[string]int   // likewise
	log        *logger
	stop       context.CancelFunc
	ended      chan struct{} // closed when all goroutines have ended

	mu     sync.Mutex
	closed bool
	calls  sync.WaitGroup // of Do, in flight; added to only while not closed

	cancelled atomic.Int64
}

// New returns a Balancer, which needs a Close. An error is an *OptionError, or the dispatcher's.
func New(o Options) (*Balancer, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	initial, err := toEndpointList(o.Endpoints, true)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	b := &Balancer{
		options: o,
		classes: make(map[string]int, len(o.Classes)),
		tenants: make(map[string]int, len(o.Tenants)),
		log:     newLogger(ctx, o.Logger, o.Name),
		stop:    stop,
		ended:   make(chan struct{}),
	}
	for i, c := range o.Classes {
		b.classes[c.Name] = i
	}
	for i, t := range o.Tenants {
		b.tenants[t.Name] = i
	}
	if err := b.assemble(ctx, initial); err != nil {
		stop()
		return nil, err
	}
	b.run(ctx)
	return b, nil
}

// assemble makes the parts that carry requests; none of them runs yet.
func (b *Balancer) assemble(ctx context.Context, initial endpoints.List) (err error) {
	o := &b.options
	cfg := o.policyConfig()
	b.backend, err = backend.New(ctx, o.ConnectionLimit.budget, backend.Settings{
		ReloadableSettings: backend.ReloadableSettings{
			ConnectTimeout:    o.ConnectTimeout,
			ServerIdleTimeout: o.ServerIdleTimeout,
			RetryCosts:        backend.RetryCosts(cfg.Classes),
		},
		IsServed: func(status int) bool { return status < 500 },
	})
	if err != nil {
		return err
	}
	onEvidence := func(string, staleness.Evidence) {}
	if o.Discovery != "" {
		b.watch, err = discovery.New(discovery.Options{
			Address:  o.Discovery,
			Watch:    watchpolicy.DefaultSettings(),
			Seed:     o.Seed,
			Initial:  endpoints.List{Endpoints: initial.Endpoints},
			Budget:   o.ConnectionLimit.budget,
			OnUpdate: func(l endpoints.List, at time.Time) { b.dispatcher.UpdateEndpoints(l, at) },
			Logf:     b.log.printf,
		})
		if err != nil {
			return err
		}
		onEvidence = b.watch.Observe
	}
	b.dispatcher, err = dispatch.New(dispatch.Options{
		Name:             o.Name,
		Policy:           cfg,
		Seed:             o.Seed,
		Zones:            []string{o.Zone},
		DrainGrace:       o.DrainGrace,
		InitialEndpoints: initial,
		Upstream:         b.backend,
		IsComplete:       hasRIF,
		Logf:             b.log.printf,
		OnEvidence:       onEvidence,
	})
	if err != nil {
		return fmt.Errorf("plankrouter: %w", err)
	}
	return nil
}

// run starts the goroutines; ended is closed when all of them have ended.
func (b *Balancer) run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { _ = b.dispatcher.Run(ctx) }) // its only error would be that of ctx
	if b.watch != nil {
		running.Go(func() { _ = b.watch.Run(ctx) }) // likewise
	}
	go func() {
		running.Wait()
		b.backend.Wait()
		close(b.ended)
	}()
}

// hasRIF is the dispatcher's IsComplete: a probe's response without the requests in flight says nothing.
func hasRIF(r policy.Report) bool { return r.HasRIF }

// Update adds, changes or takes out endpoints; those that it does not name stay as they are. With Options.Discovery set, what
// the discovery service says of the same ids goes on counting. An error is an *OptionError, and then nothing has changed.
func (b *Balancer) Update(changed ...Endpoint) error {
	list, err := toEndpointList(changed, false)
	if err != nil {
		return withOptionPrefix("Update", err)
	}
	b.dispatcher.UpdateEndpoints(list, time.Now())
	return nil
}

// Replace names all endpoints: those that it does not name are gone. An error is as that of Update.
func (b *Balancer) Replace(all ...Endpoint) error {
	list, err := toEndpointList(all, true)
	if err != nil {
		return withOptionPrefix("Replace", err)
	}
	b.dispatcher.UpdateEndpoints(list, time.Now())
	return nil
}

// Ready reports whether there is a server to send to.
func (b *Balancer) Ready() bool { return b.dispatcher.Ready() }

// isNonIdempotent reports whether requests of the class must not run twice.
func (b *Balancer) isNonIdempotent(class string) bool {
	return b.options.Classes[b.classes[class]].Idempotency == NonIdempotent
}

// Close rejects further calls, waits for those in flight, each of which has its outcome by its own deadline, and ends
// connections and goroutines. If ctx ends first, what is in flight ends at once with an error that says whether it may have
// run, and ctx's error is returned. Further calls of Close wait for the same. From within a callback it needs a ctx that
// ends, or to be called from a goroutine of its own, if calls in flight depend on that callback. A logger or a dial function
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
