package simulated

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"plankrouter/internal/config"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/discovery"
	"plankrouter/internal/dispatch"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/request"
	"plankrouter/internal/snapshot"
	"plankrouter/internal/staleness"
)

// sidecar is a simulated one, assembled of the program's own parts.
type sidecar struct {
	name, file, discovery string
	seed                  uint64
	zone                  int
	servers               *fakeServers

	cfg        *config.Config
	numbers    config.Numbering
	dispatcher *dispatch.Dispatcher
	watch      *discovery.Watch
	stop       context.CancelFunc
	ended      sync.WaitGroup
	began      time.Time

	mutex   sync.Mutex
	updates []listUpdate // in order
	first   time.Time    // when the first answer was known to be in force; it may hold no change

	rate                    atomic.Uint64 // of calls a second, in thousandths
	served, refused, failed atomic.Int64
	failures, fullRefreshes int64 // of the watch, in earlier lives
}

// listUpdate is a revision that came into force.
type listUpdate struct {
	revision uint64
	time     time.Time
}

func (s *sidecar) getenv(key string) string {
	switch key {
	case "GW_CONFIG":
		return s.file
	case "GW_NAME":
		return s.name
	}
	return ""
}

// start begins a life. Without the list that the configuration knows it has to ask for the whole one.
func (s *sidecar) start(known bool) (err error) {
	s.began = time.Now()
	if s.cfg, err = config.Load(s.getenv); err != nil {
		return err
	}
	if !known {
		s.cfg.Known = endpoints.List{}
	}
	s.numbers = config.Numbering{}
	if _, err = s.numbers.Apply(time.Now(), s.cfg); err != nil {
		return err
	}
	cfg := s.cfg
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	budget := connlimit.NewBudget(cfg.Limits.Sockets, connlimit.DialTCP)
	var pool *dispatch.Dispatcher
	if s.watch, err = discovery.New(discovery.Options{
		Address: cfg.Discovery, Watch: cfg.Watch, Seed: s.seed, Initial: cfg.Known,
		MaxListBytes: discovery.MaxListBytes(int64(cfg.Limits.MemoryMB) << 20), Budget: budget,
		OnUpdate: func(l endpoints.List, at time.Time) {
			pool.UpdateEndpoints(l, at)
			pool.Counts() // answered once the list is in force
			s.recordUpdate(l.Revision)
		},
		OnValidity: func(t staleness.Validity) { pool.SetListValidity(t) },
	}); err != nil {
		stop()
		return err
	}
	if pool, err = dispatch.New(dispatch.Options{
		Name: cfg.Name, Deployment: snapshot.Fingerprint(&cfg.Settings), Policy: cfg.Policy,
		Seed: s.seed, Zones: cfg.Settings.Dcs, DrainGrace: cfg.DrainGrace, InitialEndpoints: cfg.Known, Upstream: s.servers,
		IsComplete: cfg.Settings.IsComplete, OnEvidence: s.watch.Observe,
	}); err != nil {
		stop()
		return err
	}
	s.dispatcher = pool
	s.mutex.Lock()
	s.updates, s.first = nil, time.Time{}
	s.mutex.Unlock()
	s.ended.Go(func() { _ = pool.Run(ctx) })
	s.ended.Go(func() { _ = s.watch.Run(ctx) })
	s.ended.Go(func() { s.awaitFirstUpdate(ctx, s.watch.FirstResponse()) })
	s.ended.Go(func() { s.call(ctx, pool, cfg) })
	return nil
}

// end ends a life; its counts stay.
func (s *sidecar) end() {
	if s.stop == nil {
		return
	}
	s.stop()
	s.ended.Wait()
	s.failures += s.watch.Failures.Load()
	s.fullRefreshes += s.watch.FullRefreshes.Load()
	s.stop = nil
}

func (s *sidecar) recordUpdate(revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.updates = append(s.updates, listUpdate{revision, time.Now()})
}

// awaitFirstUpdate notes when the first answer has come, which may hold no change.
func (s *sidecar) awaitFirstUpdate(ctx context.Context, first <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-first:
		s.mutex.Lock()
		s.first = time.Now()
		s.mutex.Unlock()
	}
}

// firstAfter is how long after its start the first answer came or, where no list was known, was in force; 0 = not yet.
func (s *sidecar) firstAfter(known bool) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	at := s.first
	if !known {
		at = time.Time{}
	}
	if len(s.updates) > 0 {
		at = s.updates[0].time
	}
	if at.IsZero() {
		return 0
	}
	return float64(at.Sub(s.began).Microseconds()) / 1e3
}

// inForce returns when a revision, or a later one, came into force; zero = it has not.
func (s *sidecar) inForce(revision uint64) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, h := range s.updates {
		if h.revision >= revision {
			return h.time
		}
	}
	return time.Time{}
}

// reload does what the program does on SIGHUP, as far as a simulated sidecar has the parts.
func (s *sidecar) reload() error {
	next, _, err := s.cfg.Reload(s.getenv)
	if err != nil {
		return err
	}
	deployment := snapshot.Fingerprint(&next.Settings)
	numbers, err := s.numbers.Apply(time.Now(), next)
	if err != nil {
		return err
	}
	if err := s.dispatcher.Reconfigure(dispatch.Reconfiguration{
		Policy: next.Policy, Classes: numbers.Classes, Tenants: numbers.Tenants,
		Deployment: deployment, DrainGrace: next.DrainGrace,
	}); err != nil {
		return err
	}
	s.watch.SetAddress(next.Discovery)
	s.cfg = next
	return nil
}

const callLook = 200 * time.Millisecond // between two looks at the rate while there are no calls

// call draws calls at the rate that was ordered.
func (s *sidecar) call(ctx context.Context, pool *dispatch.Dispatcher, cfg *config.Config) {
	rng := rand.New(rand.NewPCG(s.seed, 0x63616c6c))
	timeout := config.Duration(cfg.Settings.Classes[0].HardLimitMs)
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for n := 0; ; n++ {
		rate := float64(s.rate.Load()) / 1e3
		if rate > 0 {
			next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) // whatever the last one took
		} else {
			next = time.Now().Add(callLook)
		}
		timer.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if rate > 0 {
			pool.Submit(&request.Request{
				ID: s.name + "-" + strconv.Itoa(n), Tenant: -1, SentAt: time.Now(), Timeout: timeout,
				Method: "GET", Target: "/tile/1", Respond: s.answered,
			})
		}
	}
}

func (s *sidecar) answered(a request.Response) {
	switch a.Kind {
	case request.Served:
		s.served.Add(1)
	case request.Rejected:
		s.refused.Add(1)
	default:
		s.failed.Add(1)
	}
}

// write puts its configuration in place: that of all, with its own discovery.
func (s *sidecar) write(template []byte) error {
	raw := bytes.ReplaceAll(template, []byte(discoveryMark), []byte(s.discovery))
	raw = bytes.ReplaceAll(raw, []byte(zoneMark), []byte(strconv.Itoa(s.zone)))
	if err := os.WriteFile(s.file, raw, 0o600); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}
