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

// Balancer sends requests to one pool of servers. Its methods are safe for concurrent use.
type Balancer struct {
	options    Options
	dispatcher *dispatch.Dispatcher
	backend    *backend.Client
	watch      *discovery.Watch // nil = no discovery service is watched
	classes    map[string]int   // indexes in options.Classes, by name
	tenants    map[string]int   // indexes in options.Tenants, by name
	log        *logger
	stop       context.CancelFunc
	ended      chan struct{} // closed when all goroutines have ended

	mu     sync.Mutex
	closed bool
	calls  sync.WaitGroup // calls of Do in flight; none is added once closed

	cancelled atomic.Int64 // number of calls of Do whose context ended
}

// New returns a running Balancer, which must be closed after use. The error is an *OptionError or an error of the dispatcher.
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

// assemble creates the backend client, the watch and the dispatcher, without starting them.
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

// run starts the goroutines. b.ended is closed when all of them have ended.
func (b *Balancer) run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { _ = b.dispatcher.Run(ctx) }) // returns only ctx's error
	if b.watch != nil {
		running.Go(func() { _ = b.watch.Run(ctx) }) // returns only ctx's error
	}
	go func() {
		running.Wait()
		b.backend.Wait()
		close(b.ended)
	}()
}

// hasRIF is the dispatcher's IsComplete: a probe's load report is of use only if it contains the server's RIF.
func hasRIF(r policy.Report) bool { return r.HasRIF }

// Update adds, changes or removes endpoints; others stay unchanged. With Options.Discovery set, later updates of the discovery
// service for the same ids apply as well. The error is an *OptionError, and then nothing has changed.
func (b *Balancer) Update(changed ...Endpoint) error {
	list, err := toEndpointList(changed, false)
	if err != nil {
		return withOptionPrefix("Update", err)
	}
	b.dispatcher.UpdateEndpoints(list, time.Now())
	return nil
}

// Replace sets the complete endpoint list: endpoints that are not in it are gone. Its errors are those of Update.
func (b *Balancer) Replace(all ...Endpoint) error {
	list, err := toEndpointList(all, true)
	if err != nil {
		return withOptionPrefix("Replace", err)
	}
	b.dispatcher.UpdateEndpoints(list, time.Now())
	return nil
}

// Ready reports whether a request can be sent to at least one server.
func (b *Balancer) Ready() bool { return b.dispatcher.Ready() }

// isNonIdempotent reports whether requests of the class must not run twice.
func (b *Balancer) isNonIdempotent(class string) bool {
	return b.options.Classes[b.classes[class]].Idempotency == NonIdempotent
}

// Close makes further calls of Do fail with ErrClosed, waits for the calls in flight, each of which ends by its own deadline,
// then closes all connections and ends all goroutines. If ctx ends first, the calls in flight end at once with an error that
// says whether the request may have run, and Close returns ctx's error. Concurrent and later calls of Close wait in the same
// way. If calls in flight depend on a callback of the application, a Close within that callback must have a ctx that ends, or
// must run in a goroutine of its own. Close does not wait for a logger or a dial function that is still running.
func (b *Balancer) Close(ctx context.Context) error {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	callsEnded := make(chan struct{})
	go func() {
		b.calls.Wait()
		close(callsEnded)
	}()
	var err error
	select {
	case <-callsEnded:
	case <-b.ended: // by another Close
	case <-ctx.Done():
		err = ctx.Err()
	}
	b.stop()
	<-b.ended
	<-callsEnded
	return err
}
