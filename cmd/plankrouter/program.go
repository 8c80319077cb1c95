package main

import (
	"context"
	"fmt"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"plankrouter/internal/backend"
	"plankrouter/internal/config"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/cordon"
	"plankrouter/internal/discovery"
	"plankrouter/internal/dispatch"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/faultinjection"
	"plankrouter/internal/frontend"
	"plankrouter/internal/hotrestart"
	"plankrouter/internal/invariant"
	"plankrouter/internal/metrics"
	"plankrouter/internal/snapshot"
	"plankrouter/internal/staleness"
	"plankrouter/internal/streaming"
)

const bytesPerMB = 1 << 20

// startOptions is what serve starts with.
type startOptions struct {
	cfg             *config.Config
	getenv          func(string) string
	listener        net.Listener
	adminListener   net.Listener // nil = no admin address is configured, or another process still uses it
	dial            connlimit.Dialer
	openDescriptors int // number of descriptors open at the start, including the listeners
	signals         signalQueues
	predecessor     *hotrestart.Successor // nil = there is none
}

// program has the running parts of the process, and alone changes its phase; see lifecycle.
type program struct {
	cfg      *config.Config // as at the start
	getenv   func(string) string
	listener net.Listener
	signals  signalQueues

	lifecycle     lifecycle
	stopRequested context.Context    // ends with the first stop signal
	requestStop   context.CancelFunc // ends stopRequested
	stop          context.CancelFunc // cancels the context of all goroutines

	activeConfig        atomic.Pointer[config.Config] // as of the last reload; only handleSignals changes it
	numbering           config.Numbering
	discoveryOverridden atomic.Bool // a reload was applied, whose discovery address replaces that of the environment

	budget     *connlimit.Budget
	shares     descriptorShares // the division while no other process shares the descriptors
	backend    *backend.Client
	dispatcher *dispatch.Dispatcher
	watch      *discovery.Watch
	frontend   *frontend.Server
	metrics    metrics.Registry
	invariants invariant.Recorder

	cordons  *cordon.Store
	cordonMu sync.Mutex // orders changes of the cordons in force

	snapshotWriter *snapshot.Writer // nil = snapshots are not configured
	snapshotMu     sync.Mutex
	stopSnapshots  func() // writes the last snapshot and waits for that; nil = not started, or done

	coordinator     hotrestart.Coordinator    // allows one handover at a time
	scheduleChanges chan scheduleChange       // from reload to followStopSignals
	forwardableStop atomic.Pointer[stopTimes] // nil = no stop signal was received
}

// serve runs the sidecar until a stop signal, and then until all accepted requests have responses, or until a successor has
// taken over everything.
func serve(options startOptions) error {
	processCtx, stop := context.WithCancel(context.Background())
	defer stop()
	group, ctx := errgroup.WithContext(processCtx)
	p := newProgram(options)
	p.stop = stop
	p.stopRequested, p.requestStop = context.WithCancel(ctx)
	defer p.requestStop()
	if options.predecessor != nil && options.predecessor.StartedByPlatform() {
		p.budget.SetLimit(p.shares.conns / standbyDivisor)
	}
	trace := startTracing(ctx, group, p.getenv)
	listed, err := p.assemble(ctx, options, trace)
	if err != nil {
		return err
	}
	p.run(ctx, group, options)
	log.Printf("name=%s state=started listen=%s servers=%d", p.cfg.Name, p.listener.Addr(), listed)
	err = group.Wait()
	p.report()
	return err
}

// newProgram divides the descriptors and returns a program without the parts that assemble makes.
func newProgram(options startOptions) *program {
	cfg, openAtStart := options.cfg, options.openDescriptors
	if cfg.AdminAddr != "" && options.adminListener == nil { // the admin listener opens once the other process has exited
		openAtStart++
	}
	shares := divideDescriptors(cfg.Limits.Sockets, openAtStart, cfg.AdminAddr != "")
	if required := shares.total(openAtStart); required > cfg.Limits.Sockets {
		log.Printf("name=%s limits.sockets=%d open=%d err=%q", cfg.Name, cfg.Limits.Sockets, openAtStart,
			fmt.Sprintf("serving needs at least %d descriptors: raise limits.sockets", required))
	}
	p := &program{
		cfg:             cfg,
		getenv:          options.getenv,
		listener:        options.listener,
		signals:         options.signals,
		budget:          connlimit.NewBudget(shares.conns, options.dial),
		shares:          shares,
		cordons:         newCordonStore(cfg, options.getenv),
		coordinator:     hotrestart.Coordinator{Inherited: options.predecessor},
		scheduleChanges: make(chan scheduleChange),
	}
	p.invariants.Logf = log.Printf
	p.activeConfig.Store(cfg)
	return p
}

// assemble makes the parts that serve requests, from the state of an earlier process if there is one, and returns the number
// of servers in the initial endpoint list.
func (p *program) assemble(ctx context.Context, options startOptions, trace func(string, ...any)) (listed int, err error) {
	deployment := snapshot.Fingerprint(&p.cfg.Settings) // before Apply: from the names as configured, not as numbered
	if _, err := p.numbering.Apply(time.Now(), p.cfg); err != nil {
		return 0, err
	}
	restored := p.restoreState(options.predecessor, faultinjection.Wall())
	buffers := streaming.New(p.cfg.Limits.MemoryMB*bytesPerMB, p.cfg.Limits.Sockets)
	cordoned := p.readInitialCordons(ctx)
	initial := p.cfg.Known
	if restored != nil {
		initial = restored.List.ToEndpoints()
	}
	p.watch, err = discovery.New(discovery.Options{
		Address: p.cfg.Discovery, Watch: p.cfg.Watch, Seed: p.cfg.Seed,
		Initial: initial, IgnoreRevision: restored != nil, // the discovery service may have restarted its revisions
		MaxListBytes: discovery.MaxListBytes(int64(p.cfg.Limits.MemoryMB) * bytesPerMB),
		Budget:       connlimit.NewBudget(p.shares.watch, options.dial),
		OnUpdate:     func(l endpoints.List, at time.Time) { p.dispatcher.UpdateEndpoints(l, at) },
		OnValidity:   func(validity staleness.Validity) { p.dispatcher.SetListValidity(validity) },
		Logf:         log.Printf, Trace: trace,
	})
	if err != nil {
		return 0, err
	}
	p.backend, err = backend.New(ctx, p.budget, backend.Settings{
		ReloadableSettings: backendTimes(p.cfg), Trace: trace,
		OnSent: p.metrics.AttemptSent, Bounds: buffers, Invariants: &p.invariants,
	})
	if err != nil {
		return 0, err
	}
	p.dispatcher, err = dispatch.New(dispatch.Options{
		Name: p.cfg.Name, Deployment: deployment,
		Policy: p.cfg.Policy, Seed: p.cfg.Seed, Zones: p.cfg.Settings.Dcs, DrainGrace: p.cfg.DrainGrace,
		InitialEndpoints: p.cfg.Known, Restored: restored, Cordons: cordoned,
		Upstream: p.backend, IsComplete: p.cfg.Settings.IsComplete, OnEvidence: p.watch.Observe, OnServerCounts: p.metrics.SetTargets,
		Logf: log.Printf, Trace: trace, Invariants: &p.invariants, WallClock: faultinjection.Wall,
	})
	if err != nil {
		return 0, err
	}
	p.frontend = frontend.New(p.cfg, p.dispatcher, p.budget, &p.metrics, buffers)
	p.frontend.Invariants = &p.invariants
	p.frontend.Trace = trace
	return len(initial.Endpoints), nil
}

// run starts the goroutines of the assembled parts in the group.
func (p *program) run(ctx context.Context, group *errgroup.Group, options startOptions) {
	group.Go(func() error {
		defer p.backend.Wait() // after Run has returned, no attempt starts any more
		return p.dispatcher.Run(ctx)
	})
	group.Go(func() error { return p.watch.Run(ctx) })
	if p.cfg.AdminAddr != "" {
		group.Go(func() error { return p.serveAdmin(ctx, options.adminListener) })
		group.Go(func() error { p.watchCordons(ctx); return nil })
	}
	group.Go(func() error { return p.serveClients(ctx, group, options.predecessor) })
	group.Go(func() error { p.followStopSignals(ctx); return nil })
	group.Go(func() error { p.handleSignals(ctx, group); return nil })
}

// serveClients takes over from the predecessor, if there is one, and serves clients until the last one has its response. Then
// it stops all other parts.
func (p *program) serveClients(ctx context.Context, group *errgroup.Group, predecessor *hotrestart.Successor) error {
	defer p.finish()
	if err := p.takeOver(ctx, group, predecessor); err != nil {
		return err
	}
	p.startSnapshots(ctx, group)
	defer p.writeLastSnapshot() // while the dispatcher still runs and can return its state
	return p.frontend.Serve(ctx, p.listener)
}
