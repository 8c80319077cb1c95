// Command plankrouter is the sidecar: it takes the consumers' invocations, sends each to the provider that the
// decision module picks, and answers. See README.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"maps"
	"net"
	"os"
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
	"plankrouter/internal/outcome"
	"plankrouter/internal/snapshot"
	"plankrouter/internal/staleness"
	"plankrouter/internal/streaming"
	"plankrouter/internal/transient"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	memoryLimitShare = 0.7 // of the limit: beyond it the collector works harder

	listenTimeout = 5 * time.Second // for a listener that can't be had for a moment: the platform waits for 10
)

func main() {
	signals := newSignalQueues()
	signals.listen() // before anything else: to start may take a while, and a signal that nobody takes ends the process
	log.SetFlags(log.LstdFlags | log.Lmicroseconds)
	if err := run(signals); err != nil {
		log.Printf("state=failed err=%q", err)
		os.Exit(1)
	}
}

func run(signals signalQueues) error {
	predecessor, err := hotrestart.Inherited(os.Getenv)
	if err != nil {
		return err
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		if predecessor != nil {
			predecessor.Reject(err.Error())
		}
		return err
	}
	if folder := rendezvousFolder(os.Getenv); predecessor == nil && folder != "" {
		if predecessor, err = hotrestart.Find(folder); err != nil {
			log.Printf("name=%s handover=alone err=%q", cfg.Name, err)
		}
	}
	runtime.GOMAXPROCS(1) // one core is all there is; more threads would only wait for one another
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(cfg.Limits.MemoryMB) * (1 << 20)))
	l, err := listen(cfg, predecessor)
	if err != nil {
		return err
	}
	adminListener, err := listenAdmin(cfg)
	if taken := syscall.Errno(0); errors.As(err, &taken) { // a predecessor has it, or a stranger: requests come first
		log.Printf("name=%s state=operators_wait err=%q", cfg.Name, err)
	} else if err != nil {
		return err
	}
	return serve(cfg, os.Getenv, l, adminListener, connlimit.TCP, openDescriptors(cfg.Limits.Sockets), signals, predecessor)
}

// listen returns the predecessor's listener, the one that the platform or the service manager holds for this process, or a
// new one.
func listen(cfg *config.Config, predecessor *hotrestart.Successor) (net.Listener, error) {
	if predecessor != nil && !predecessor.TookOver() {
		return predecessor.Listener(), predecessor.Check(cfg.Listen)
	}
	if l, err := hotrestart.Held(os.Getenv, cfg.Listen); err != nil || l != nil {
		return l, err
	}
	if l, err := hotrestart.Listener(os.Getenv); err != nil || l != nil {
		return l, err
	}
	var plain net.Listener
	err := transient.Retry(listenTimeout, func() (err error) {
		plain, err = listenTCP(cfg.Listen)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return plain, nil
}

// listenTCP is net.Listen, which a soak may fail.
func listenTCP(address string) (net.Listener, error) {
	if err := faultinjection.Inject(faultinjection.Listen); err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("socket", err)}
	}
	return net.Listen("tcp", address)
}

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

// report prints the counters.
func (p *program) report() {
	counts, frontend, watch, values := p.dispatcher.Counts(), p.frontend, p.watch, p.metrics.Read()
	log.Printf("name=%s counters=core taken=%d conflicts=%d consumer_gone=%d sent=%d probes=%d lists=%d served=%d "+
		"refused=%d failed=%d", p.cfg.Name, counts.Accepted, counts.Conflicts, counts.ClientsGone, values.Dispatches, counts.Probes, counts.EndpointUpdates,
		metrics.Sum(values.Success), metrics.Sum(values.Overload), metrics.Sum(values.Error))
	for _, why := range slices.Sorted(maps.Keys(counts.UnservedByReason)) {
		log.Printf("name=%s counters=unserved why=%s requests=%d", p.cfg.Name, why, counts.UnservedByReason[why])
	}
	for _, class := range slices.Sorted(maps.Keys(values.Success)) {
		log.Printf("name=%s counters=requests class=%s success=%d overload=%d error=%d", p.cfg.Name, class, values.Success[class],
			values.Overload[class], values.Error[class])
	}
	log.Printf("name=%s counters=front connections=%d adopted=%d not_taken=%d sockets=%d",
		p.cfg.Name, frontend.Connections.Load(), frontend.Adopted.Load(), frontend.NotTaken.Load(), p.budget.Used())
	log.Printf("name=%s counters=directory answers=%d failures=%d doubts=%d", p.cfg.Name, watch.Answers.Load(), watch.Failures.Load(),
		watch.FullRefreshes.Load())
	if writer := p.snapshotWriter; writer != nil {
		log.Printf("name=%s counters=snapshots written=%d failed=%d skipped=%d", p.cfg.Name, writer.Written.Load(), writer.Failed.Load(),
			writer.Skipped.Load())
	}
	for _, counts := range p.invariants.Counts() {
		if counts.Prevented+counts.Violations > 0 {
			log.Printf("name=%s counters=rules rule=%s held_back=%d broken=%d", p.cfg.Name, counts.Rule, counts.Prevented, counts.Violations)
		}
	}
	for _, e := range []struct {
		of     string
		counts outcome.Counts
	}{{"calls", counts.AttemptOutcomes}, {"probes", counts.ProbeOutcomes}, {"idle_connections", p.backend.Idle()}, {"consumers", frontend.Endings()}} {
		var b strings.Builder
		e.counts.Each(func(how outcome.Kind, n int) { fmt.Fprintf(&b, " %s=%d", how, n) })
		log.Printf("name=%s counters=ended of=%s%s", p.cfg.Name, e.of, b.String())
	}
}
