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
	memoryPart = 0.7 // of the limit: beyond it the collector works harder

	listenWithin = 5 * time.Second // for a listener that can't be had for a moment: the platform waits for 10
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
	from, err := hotrestart.Inherited(os.Getenv)
	if err != nil {
		return err
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		if from != nil {
			from.Reject(err.Error())
		}
		return err
	}
	if folder := meeting(os.Getenv); from == nil && folder != "" {
		if from, err = hotrestart.Find(folder); err != nil {
			log.Printf("name=%s handover=alone err=%q", cfg.Name, err)
		}
	}
	runtime.GOMAXPROCS(1) // one core is all there is; more threads would only wait for one another
	debug.SetMemoryLimit(int64(memoryPart * float64(cfg.Limits.MemoryMB) * (1 << 20)))
	l, err := listen(cfg, from)
	if err != nil {
		return err
	}
	operators, err := listenForOperators(cfg)
	if taken := syscall.Errno(0); errors.As(err, &taken) { // a predecessor has it, or a stranger: requests come first
		log.Printf("name=%s state=operators_wait err=%q", cfg.Name, err)
	} else if err != nil {
		return err
	}
	return serve(cfg, os.Getenv, l, operators, connlimit.TCP, held(cfg.Limits.Sockets), signals, from)
}

// listen returns the predecessor's listener, the one that the platform or the service manager holds for this process, or a
// new one.
func listen(cfg *config.Config, from *hotrestart.Successor) (net.Listener, error) {
	if from != nil && !from.TookOver() {
		return from.Listener(), from.Check(cfg.Listen)
	}
	if l, err := hotrestart.Held(os.Getenv, cfg.Listen); err != nil || l != nil {
		return l, err
	}
	if l, err := hotrestart.Listener(os.Getenv); err != nil || l != nil {
		return l, err
	}
	var plain net.Listener
	err := transient.Retry(listenWithin, func() (err error) {
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
	cfg          *config.Config                // as at the start
	inForce      atomic.Pointer[config.Config] // since the last reload; obey alone changes it
	numbers      config.Numbering
	getenv       func(string) string
	listener     net.Listener
	budget       *connlimit.Budget
	share        share           // of the descriptors, while no other process shares them
	told         context.Context // ends with the word to stop
	caller       *backend.Caller
	core         *dispatch.Dispatcher
	watch        *discovery.Watch
	book         metrics.Registry
	rules        invariant.Recorder
	bans         *cordon.Store
	front        *frontend.Server
	writer       *snapshot.Writer       // nil = snapshots are not kept
	line         hotrestart.Coordinator // of processes that take over from one another
	moved        atomic.Bool            // a reload has named another directory than the environment
	stop         context.CancelFunc
	signals      signalQueues
	reloads      chan reloaded             // for whoever ends this process
	stopOrder    atomic.Pointer[stopOrder] // nil = there was none
	ordering     sync.Mutex                // of bans
	mu           sync.Mutex
	endSnapshots func() // writes the last one; nil = none is kept, or it is written
}

// serve runs the sidecar, for operators too if there is a listener for them, until a signal ends it and all that it has taken
// is answered, or until a successor has it all. So many descriptors are held already, the listeners among them.
func serve(cfg *config.Config, getenv func(string) string, l, operators net.Listener, dial connlimit.Dialer, held int,
	signals signalQueues, from *hotrestart.Successor,
) error {
	outer, stop := context.WithCancel(context.Background())
	defer stop()
	group, ctx := errgroup.WithContext(outer)
	if cfg.AdminAddr != "" && operators == nil { // it comes once the other process has ended
		held++
	}
	shares := divide(cfg.Limits.Sockets, held, cfg.AdminAddr != "")
	if least := shares.sum(held); least > cfg.Limits.Sockets {
		log.Printf("name=%s limits.sockets=%d held=%d err=%q", cfg.Name, cfg.Limits.Sockets, held,
			fmt.Sprintf("the least that serves needs %d: raise limits.sockets", least))
	}
	p := program{
		cfg: cfg, getenv: getenv, listener: l, stop: stop, signals: signals, reloads: make(chan reloaded), line: hotrestart.Coordinator{Inherited: from},
		budget: connlimit.NewBudget(shares.places, dial), share: shares, bans: bansFor(cfg, getenv),
	}
	p.rules.Logf = log.Printf
	p.inForce.Store(cfg)
	var leaving context.CancelFunc
	p.told, leaving = context.WithCancel(ctx)
	defer leaving()
	if from != nil && from.TookOver() {
		p.budget.Limit(p.share.places / shareIdle)
	}
	trace := tracing(ctx, group, getenv)
	deployment := snapshot.Fingerprint(&cfg.Settings)
	if _, err := p.numbers.Apply(time.Now(), cfg); err != nil {
		return err
	}
	before := p.before(from, faultinjection.Wall())
	bounds := streaming.New(cfg.Limits.MemoryMB<<20, cfg.Limits.Sockets)
	out := p.firstBans(ctx)
	known := cfg.Known
	if before != nil {
		known = before.List.Config()
	}
	var err error
	if p.watch, err = discovery.New(discovery.Options{
		Address: cfg.Discovery, Watch: cfg.Watch, Seed: cfg.Seed,
		Initial: known, IgnoreRevision: before != nil, // the directory may count anew by now
		MaxListBytes: discovery.MaxListBytes(int64(cfg.Limits.MemoryMB) << 20), Budget: connlimit.NewBudget(shares.watch, dial),
		OnUpdate:   func(l endpoints.List, at time.Time) { p.core.UpdateEndpoints(l, at) },
		OnValidity: func(t staleness.Validity) { p.core.SetListValidity(t) }, Logf: log.Printf, Trace: trace,
	}); err != nil {
		return err
	}
	if p.caller, err = backend.New(ctx, p.budget, backend.Settings{
		Figures: figuresOf(cfg), Trace: trace,
		Written: p.book.AttemptSent, Bounds: bounds, Rules: &p.rules,
	}); err != nil {
		return err
	}
	if p.core, err = dispatch.New(dispatch.Options{
		Name: cfg.Name, Deployment: deployment,
		Policy: cfg.Policy, Seed: cfg.Seed, Zones: cfg.Settings.Dcs, DrainGrace: cfg.DrainGrace, InitialEndpoints: cfg.Known,
		Restored: before, Upstream: p.caller, IsComplete: cfg.Settings.IsComplete, Logf: log.Printf, Trace: trace, OnEvidence: p.watch.Observe,
		OnServerCounts: p.book.SetTargets, Cordons: out, Invariants: &p.rules, WallClock: faultinjection.Wall,
	}); err != nil {
		return err
	}
	p.front = frontend.New(cfg, p.core, p.budget, &p.book, bounds)
	p.front.Rules, p.front.Trace = &p.rules, trace
	group.Go(func() error {
		defer p.caller.Wait() // once nothing starts a call any more
		return p.core.Run(ctx)
	})
	group.Go(func() error { return p.watch.Run(ctx) })
	if cfg.AdminAddr != "" {
		group.Go(func() error { return p.serveOperators(ctx, operators) })
		group.Go(func() error { p.followBans(ctx); return nil })
	}
	group.Go(func() error {
		defer stop() // the core's life ends when the front has answered all that it took
		if err := p.inherit(ctx, group, from); err != nil {
			return err
		}
		p.keepSnapshots(ctx, group)
		defer p.lastSnapshot() // which the core still has to give
		return p.front.Serve(ctx, l)
	})
	group.Go(func() error { p.stopping(ctx, leaving, signals.stop); return nil })
	group.Go(func() error { p.obey(ctx, group, signals); return nil })
	log.Printf("name=%s state=started listen=%s providers=%d", cfg.Name, l.Addr(), len(known.Endpoints))
	err = group.Wait()
	p.report()
	return err
}

// report prints the counters.
func (p *program) report() {
	c, f, w, now := p.core.Counts(), p.front, p.watch, p.book.Read()
	log.Printf("name=%s counters=core taken=%d conflicts=%d consumer_gone=%d sent=%d probes=%d lists=%d served=%d "+
		"refused=%d failed=%d", p.cfg.Name, c.Accepted, c.Conflicts, c.ClientsGone, now.Dispatches, c.Probes, c.EndpointUpdates,
		metrics.Sum(now.Success), metrics.Sum(now.Overload), metrics.Sum(now.Error))
	for _, why := range slices.Sorted(maps.Keys(c.UnservedByReason)) {
		log.Printf("name=%s counters=unserved why=%s requests=%d", p.cfg.Name, why, c.UnservedByReason[why])
	}
	for _, class := range slices.Sorted(maps.Keys(now.Success)) {
		log.Printf("name=%s counters=requests class=%s success=%d overload=%d error=%d", p.cfg.Name, class, now.Success[class],
			now.Overload[class], now.Error[class])
	}
	log.Printf("name=%s counters=front connections=%d adopted=%d not_taken=%d sockets=%d",
		p.cfg.Name, f.Connections.Load(), f.Adopted.Load(), f.NotTaken.Load(), p.budget.Used())
	log.Printf("name=%s counters=directory answers=%d failures=%d doubts=%d", p.cfg.Name, w.Answers.Load(), w.Failures.Load(),
		w.FullRefreshes.Load())
	if s := p.writer; s != nil {
		log.Printf("name=%s counters=snapshots written=%d failed=%d skipped=%d", p.cfg.Name, s.Written.Load(), s.Failed.Load(),
			s.Skipped.Load())
	}
	for _, c := range p.rules.Counts() {
		if c.Prevented+c.Violations > 0 {
			log.Printf("name=%s counters=rules rule=%s held_back=%d broken=%d", p.cfg.Name, c.Rule, c.Prevented, c.Violations)
		}
	}
	for _, e := range []struct {
		of     string
		counts outcome.Counts
	}{{"calls", c.AttemptOutcomes}, {"probes", c.ProbeOutcomes}, {"idle_connections", p.caller.Idle()}, {"consumers", f.Endings()}} {
		var b strings.Builder
		e.counts.Each(func(how outcome.Kind, n int) { fmt.Fprintf(&b, " %s=%d", how, n) })
		log.Printf("name=%s counters=ended of=%s%s", p.cfg.Name, e.of, b.String())
	}
}
