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

// sidecar is a simulated sidecar, built from the program's own packages.
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
	goroutines sync.WaitGroup
	startedAt  time.Time

	mutex   sync.Mutex
	updates []listUpdate // in order of time
	first   time.Time    // when discovery's first response was processed; it may contain no change

	rate                    atomic.Uint64 // requests per 1000 seconds
	served, refused, failed atomic.Int64
	failures, fullRefreshes int64 // of the watch, before the last start
}

// listUpdate is a revision of the endpoint list, and when it came into force.
type listUpdate struct {
	revision uint64
	time     time.Time
}

// getenv returns the sidecar's environment variables.
func (s *sidecar) getenv(key string) string {
	switch key {
	case "GW_CONFIG":
		return s.file
	case "GW_NAME":
		return s.name
	}
	return ""
}

// start starts the sidecar. If known is false it ignores the endpoint list in the configuration and has to poll for the
// complete one.
func (s *sidecar) start(known bool) (err error) {
	s.startedAt = time.Now()
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
			pool.Counts() // returns once the list is in force
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
	s.goroutines.Go(func() { _ = pool.Run(ctx) })
	s.goroutines.Go(func() { _ = s.watch.Run(ctx) })
	s.goroutines.Go(func() { s.awaitFirstUpdate(ctx, s.watch.FirstResponse()) })
	s.goroutines.Go(func() { s.generateLoad(ctx, pool, cfg) })
	return nil
}

// end stops the sidecar; its counts stay.
func (s *sidecar) end() {
	if s.stop == nil {
		return
	}
	s.stop()
	s.goroutines.Wait()
	s.failures += s.watch.Failures.Load()
	s.fullRefreshes += s.watch.FullRefreshes.Load()
	s.stop = nil
}

// recordUpdate records that a revision is in force.
func (s *sidecar) recordUpdate(revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.updates = append(s.updates, listUpdate{revision, time.Now()})
}

// awaitFirstUpdate records when discovery's first response has been processed, which may contain no change.
func (s *sidecar) awaitFirstUpdate(ctx context.Context, first <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-first:
		s.mutex.Lock()
		s.first = time.Now()
		s.mutex.Unlock()
	}
}

// firstUpdateAfter returns how many ms after the start discovery's first update was in force; if the sidecar started with a
// known list, a first response without a change counts, too. 0 = not yet.
func (s *sidecar) firstUpdateAfter(known bool) float64 {
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
	return float64(at.Sub(s.startedAt).Microseconds()) / 1e3
}

// inForce returns when the revision, or a later one, came into force; zero = it has not.
func (s *sidecar) inForce(revision uint64) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, u := range s.updates {
		if u.revision >= revision {
			return u.time
		}
	}
	return time.Time{}
}

// reload reloads the configuration as the program does on SIGHUP, without the parts that a simulated sidecar lacks.
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

const rateCheckInterval = 200 * time.Millisecond // interval at which generateLoad checks the rate while it is 0

// generateLoad submits requests at the commanded rate until ctx is done.
func (s *sidecar) generateLoad(ctx context.Context, pool *dispatch.Dispatcher, cfg *config.Config) {
	rng := rand.New(rand.NewPCG(s.seed, 0x63616c6c))
	timeout := config.Duration(cfg.Settings.Classes[0].HardLimitMs)
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for n := 0; ; n++ {
		rate := float64(s.rate.Load()) / 1e3
		if rate > 0 {
			// Independent of the duration of earlier requests.
			next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		} else {
			next = time.Now().Add(rateCheckInterval)
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
				Method: "GET", Target: "/tile/1", Respond: s.countResponse,
			})
		}
	}
}

// countResponse counts a response by its kind.
func (s *sidecar) countResponse(a request.Response) {
	switch a.Kind {
	case request.Served:
		s.served.Add(1)
	case request.Rejected:
		s.refused.Add(1)
	default:
		s.failed.Add(1)
	}
}

// write writes the sidecar's configuration: the template with its own discovery address and zone.
func (s *sidecar) write(template []byte) error {
	raw := bytes.ReplaceAll(template, []byte(discoveryPlaceholder), []byte(s.discovery))
	raw = bytes.ReplaceAll(raw, []byte(zonePlaceholder), []byte(strconv.Itoa(s.zone)))
	if err := os.WriteFile(s.file, raw, 0o600); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}
