package main

import (
	"context"
	"fmt"
	"log"
	"net"
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
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// program is the running parts.
type program struct {
	cfg             *config.Config                // as at the start
	activeConfig    atomic.Pointer[config.Config] // since the last reload; obey alone changes it
	numbering       config.Numbering
	getenv          func(string) string
	listener        net.Listener
	budget          *connlimit.Budget
	shares          descriptorShares // of the descriptors, while no other process shares them
	stopRequested   context.Context  // ends with the word to stop
	backend         *backend.Caller
	dispatcher      *dispatch.Dispatcher
	watch           *discovery.Watch
	metrics         metrics.Registry
	invariants      invariant.Recorder
	cordons         *cordon.Store
	frontend        *frontend.Server
	snapshotWriter  *snapshot.Writer       // nil = snapshots are not kept
	coordinator     hotrestart.Coordinator // of processes that take over from one another
	discoveryMoved  atomic.Bool            // a reload has named another directory than the environment
	stop            context.CancelFunc
	signals         signalQueues
	scheduleChanges chan scheduleChange       // for whoever ends this process
	forwardableStop atomic.Pointer[stopTimes] // nil = there was none
	cordonMu        sync.Mutex                // of bans
	snapshotMu      sync.Mutex
	stopSnapshots   func() // writes the last one; nil = none is kept, or it is written
}

// serve runs the sidecar, for operators too if there is a listener for them, until a signal ends it and all that it has taken
// is answered, or until a successor has it all. So many descriptors are held already, the listeners among them.
func serve(cfg *config.Config, getenv func(string) string, l, adminListener net.Listener, dial connlimit.Dialer, openAtStart int,
	signals signalQueues, predecessor *hotrestart.Successor,
) error {
	processCtx, stop := context.WithCancel(context.Background())
	defer stop()
	group, ctx := errgroup.WithContext(processCtx)
	if cfg.AdminAddr != "" && adminListener == nil { // it comes once the other process has ended
		openAtStart++
	}
	shares := shareDescriptors(cfg.Limits.Sockets, openAtStart, cfg.AdminAddr != "")
	if required := shares.total(openAtStart); required > cfg.Limits.Sockets {
		log.Printf("name=%s limits.sockets=%d held=%d err=%q", cfg.Name, cfg.Limits.Sockets, openAtStart,
			fmt.Sprintf("the least that serves needs %d: raise limits.sockets", required))
	}
	p := program{
		cfg: cfg, getenv: getenv, listener: l, stop: stop, signals: signals, scheduleChanges: make(chan scheduleChange), coordinator: hotrestart.Coordinator{Inherited: predecessor},
		budget: connlimit.NewBudget(shares.conns, dial), shares: shares, cordons: newCordonStore(cfg, getenv),
	}
	p.invariants.Logf = log.Printf
	p.activeConfig.Store(cfg)
	var requestStop context.CancelFunc
	p.stopRequested, requestStop = context.WithCancel(ctx)
	defer requestStop()
	if predecessor != nil && predecessor.TookOver() {
		p.budget.Limit(p.shares.conns / standbyShare)
	}
	trace := startTracing(ctx, group, getenv)
	deployment := snapshot.Fingerprint(&cfg.Settings)
	if _, err := p.numbering.Apply(time.Now(), cfg); err != nil {
		return err
	}
	restored := p.restoreState(predecessor, faultinjection.Wall())
	bounds := streaming.New(cfg.Limits.MemoryMB<<20, cfg.Limits.Sockets)
	cordoned := p.readInitialCordons(ctx)
	endpointList := cfg.Known
	if restored != nil {
		endpointList = restored.List.Config()
	}
	var err error
	if p.watch, err = discovery.New(discovery.Options{
		Address: cfg.Discovery, Watch: cfg.Watch, Seed: cfg.Seed,
		Initial: endpointList, IgnoreRevision: restored != nil, // the directory may count anew by now
		MaxListBytes: discovery.MaxListBytes(int64(cfg.Limits.MemoryMB) << 20), Budget: connlimit.NewBudget(shares.watch, dial),
		OnUpdate:   func(l endpoints.List, at time.Time) { p.dispatcher.UpdateEndpoints(l, at) },
		OnValidity: func(t staleness.Validity) { p.dispatcher.SetListValidity(t) }, Logf: log.Printf, Trace: trace,
	}); err != nil {
		return err
	}
	if p.backend, err = backend.New(ctx, p.budget, backend.Settings{
		Figures: backendFigures(cfg), Trace: trace,
		Written: p.metrics.AttemptSent, Bounds: bounds, Rules: &p.invariants,
	}); err != nil {
		return err
	}
	if p.dispatcher, err = dispatch.New(dispatch.Options{
		Name: cfg.Name, Deployment: deployment,
		Policy: cfg.Policy, Seed: cfg.Seed, Zones: cfg.Settings.Dcs, DrainGrace: cfg.DrainGrace, InitialEndpoints: cfg.Known,
		Restored: restored, Upstream: p.backend, IsComplete: cfg.Settings.IsComplete, Logf: log.Printf, Trace: trace, OnEvidence: p.watch.Observe,
		OnServerCounts: p.metrics.SetTargets, Cordons: cordoned, Invariants: &p.invariants, WallClock: faultinjection.Wall,
	}); err != nil {
		return err
	}
	p.frontend = frontend.New(cfg, p.dispatcher, p.budget, &p.metrics, bounds)
	p.frontend.Rules, p.frontend.Trace = &p.invariants, trace
	group.Go(func() error {
		defer p.backend.Wait() // once nothing starts a call any more
		return p.dispatcher.Run(ctx)
	})
	group.Go(func() error { return p.watch.Run(ctx) })
	if cfg.AdminAddr != "" {
		group.Go(func() error { return p.serveAdmin(ctx, adminListener) })
		group.Go(func() error { p.watchCordons(ctx); return nil })
	}
	group.Go(func() error {
		defer stop() // the core's life ends when the front has answered all that it took
		if err := p.takeOver(ctx, group, predecessor); err != nil {
			return err
		}
		p.startSnapshots(ctx, group)
		defer p.writeLastSnapshot() // which the core still has to give
		return p.frontend.Serve(ctx, l)
	})
	group.Go(func() error { p.followStopSignals(ctx, requestStop, signals.stop); return nil })
	group.Go(func() error { p.handleSignals(ctx, group, signals); return nil })
	log.Printf("name=%s state=started listen=%s providers=%d", cfg.Name, l.Addr(), len(endpointList.Endpoints))
	err = group.Wait()
	p.report()
	return err
}
