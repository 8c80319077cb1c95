package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// The nature of servers and the settings of sidecars. A server in slow start bears so little that one which is taken for warm gets
// more than it may.
const (
	cores           = 2
	queue           = 24
	meanWork        = 15 * time.Millisecond
	capacity        = float64(cores) / 0.015 // requests of mean work a second
	startCapacity   = 0.05
	tipMultiple     = 1.5
	fallFor         = 3 * time.Second
	warmIn          = 9 * time.Second
	connIdle        = 10 * time.Second
	drainGrace      = 750 * time.Millisecond
	listDelay       = 200 * time.Millisecond // of discovery, while it is late
	proxied         = 3                      // one in so many servers stands behind a proxy
	slowTimes       = 6
	maxSlowConnect  = 1150 * time.Millisecond
	slowConnectRest = 20 * time.Millisecond // of the time that a connection has to come up
	maxFlood        = 120

	startTries = 100 // of a server that comes back
	startPause = 20 * time.Millisecond

	interruptions  = 3 // in a row
	interruptEvery = 2 * time.Millisecond
)

// Options say what is played.
type Options struct {
	Program           string // built with the tag faultinjection
	Dir               string // for configurations, logs and what lasts
	Seed              uint64
	Sidecars, Servers int
	Rate              float64 // requests a second for each sidecar
	For               time.Duration
	Only              []Kind        // of faults; none = all
	Slack             time.Duration // of the judge's time limits, beside what this process was stalled; 0 = baseSlack
}

// variant is what the seed decides of the deployment.
type variant struct {
	sockets     int
	onRequest   bool          // discovery is asked, and not an agent on the own machine
	longest     time.Duration // deadline of a class
	connect     time.Duration // within which a connection has to come up
	manyClients bool          // many clients at a process that ends
	window      time.Duration // of repeats with a token
}

func (o Options) variant() variant {
	rng := rand.New(rand.NewPCG(o.Seed, 0x7a))
	return variant{
		sockets: pickOne(rng, 96, 192, 512), onRequest: rng.IntN(3) == 0,
		longest: pickOne(rng, 500*time.Millisecond, 1500*time.Millisecond, 1500*time.Millisecond, 3*time.Second),
		connect: pickOne(rng, 150*time.Millisecond, 400*time.Millisecond, 1200*time.Millisecond), manyClients: rng.IntN(3) == 0,
		window: pickOne(rng, 300*time.Millisecond, 900*time.Millisecond),
	}
}

func pickOne[T any](rng *rand.Rand, from ...T) T { return from[rng.IntN(len(from))] }

// Check says what makes no sense.
func (o Options) Check() error {
	switch {
	case o.Sidecars < 1 || o.Sidecars > 40:
		return fmt.Errorf("sidecars: %d; want 1 to 40", o.Sidecars)
	case o.Servers < 3 || o.Servers > 64:
		return fmt.Errorf("servers: %d; want 3 to 64", o.Servers)
	case !(o.Rate > 0 && o.Rate <= 200):
		return fmt.Errorf("rate: %g requests a second for each sidecar; want up to 200", o.Rate)
	case o.For < quietStart+quietEnd || o.For > 10*time.Minute:
		return fmt.Errorf("for: %s; want %s to 10m", o.For, quietStart+quietEnd)
	}
	return nil
}

// serverPlace is a server's place, where one process after another lives.
type serverPlace struct {
	*fakes.Server
	proxy     *proxy // nil = none
	processes int
	faulty    atomic.Bool
}

func (s *serverPlace) address() string {
	if s.proxy != nil {
		return s.proxy.address()
	}
	return s.Address()
}

// world is a run.
type world struct {
	options     Options
	variant     variant
	classes     []class
	network     fakes.Network
	servers     []*serverPlace
	discoveries []*fakes.Discovery
	sidecars    []*sidecar
	clients     []*clients
	offset      atomic.Int64 // of the wall clock
	running     sync.WaitGroup
	ordered     sync.Map // by learnedServer: operators' orders under way

	mutex   sync.Mutex
	record  record
	listing sync.Mutex
}

func (w *world) wall() time.Time { return time.Now().Add(time.Duration(w.offset.Load())) }

func build(ctx context.Context, o Options) (w *world, err error) {
	w = &world{options: o, network: fakes.Loopback(), variant: o.variant()}
	w.classes = classesFor(w.variant.longest)
	w.record = record{onRequest: w.variant.onRequest, window: w.variant.window, starts: map[string][]time.Time{}, processStarts: map[int][]time.Time{}, faults: map[string][]string{}}
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	var endpoints []fakes.Endpoint
	for i := range o.Servers {
		p, err := fakes.NewServer(w.network, fakes.ServerOptions{
			ID: fmt.Sprintf("s%d-0", i), Seed: o.Seed + uint64(i), Cores: cores,
			Queue: queue, Default: fakes.Service{Mean: meanWork, Body: 200}, MaxIdle: connIdle, Handshake: time.Millisecond,
		})
		if err != nil {
			return w, err
		}
		s := &serverPlace{Server: p}
		w.servers = append(w.servers, s)
		if i%proxied == 0 {
			if s.proxy, err = newProxy(w.network, p.Address); err != nil {
				return w, err
			}
		}
		endpoints = append(endpoints, w.endpoint(s, fakes.Serving, 0))
	}
	for range 2 {
		d, err := fakes.NewDiscovery(w.network, "", endpoints...)
		if err != nil {
			return w, err
		}
		w.discoveries = append(w.discoveries, d)
	}
	for i := range o.Sidecars {
		s, err := newSidecar(identity{
			number: i, program: o.Program, dir: o.Dir, variant: w.variant,
			known: fakes.List{Revision: 1, Endpoints: endpoints},
		}, o.Seed+uint64(i), w.network, w.edit(0), w.discoveries[0].Address())
		if err != nil {
			return w, err
		}
		w.sidecars = append(w.sidecars, s)
		w.clients = append(w.clients, newClients(s, o.Seed, o.Rate, w.classes))
		s.born = func() { w.recordProcessStart(i) }
		if err := s.start(ctx); err != nil {
			return w, fmt.Errorf("%s: %w; see %s", s.name, err, s.path("log"))
		}
	}
	return w, nil
}

// endpoint is the server's line in a list.
func (w *world) endpoint(s *serverPlace, phase string, upSince int64) fakes.Endpoint {
	return fakes.Endpoint{ID: s.ID(), Address: s.address(), Locality: fakes.LocalZone, Phase: phase, UpSince: upSince}
}

// edit returns a change of a sidecar's configuration; times makes one configuration differ from another.
func (w *world) edit(times int) func(map[string]any) { return w.editWith(times, w.classes) }

// editWith is edit with other classes.
func (w *world) editWith(times int, classes []class) func(map[string]any) {
	return func(d map[string]any) {
		settings := d["settings"].(map[string]any)
		settings["Balancers"] = w.options.Sidecars
		if w.record.onRequest {
			settings["Discovery"] = "on_request"
		}
		safety := settings["Safety"].(map[string]any)
		safety["StartCapacity"], safety["TipMultiple"], safety["FallMs"] = startCapacity, tipMultiple, fallFor.Milliseconds()
		all := []any{}
		for _, c := range classes {
			all = append(all, map[string]any{
				"Name": c.name, "AimMs": 300 + 10*(times%5), "HardLimitMs": c.deadline.Milliseconds(), "Credit": 1,
				"Repeat": c.idempotency, "KeyScope": "all", "MemorySpanMs": w.variant.window.Milliseconds(),
			})
		}
		settings["RequestClasses"] = all
	}
}

// recordProcessStart records that a sidecar's process begins.
func (w *world) recordProcessStart(sidecar int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.record.processStarts[sidecar] = append(w.record.processStarts[sidecar], time.Now())
}

// updateDiscovery changes the lists of both discoveries, one of which each sidecar watches.
func (w *world) updateDiscovery(endpoints ...fakes.Endpoint) {
	w.listing.Lock()
	defer w.listing.Unlock()
	for _, d := range w.discoveries {
		d.Change(endpoints...)
	}
}

func (w *world) note(how func(*record)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	how(&w.record)
}

// finish collects what the run has left behind.
func (w *world) finish() *record {
	r := &w.record
	for _, c := range w.clients {
		r.requests = append(r.requests, c.requests()...)
	}
	for _, v := range w.servers {
		for _, q := range v.Requests() {
			name, _, _ := strings.Cut(strings.TrimPrefix(q.ID, "n"), "-")
			var sidecar int
			_, _ = fmt.Sscan(name, &sidecar)
			r.attempts = append(r.attempts, attempt{q, sidecar})
		}
	}
	r.learnedAt = map[learnedServer][]time.Time{}
	for _, c := range w.sidecars {
		for server, at := range c.leavesLogged() {
			r.learnedAt[learnedServer{c.number, server}] = at
		}
	}
	r.shutdowns = map[int][]span{}
	for _, s := range w.sidecars {
		r.shutdowns[s.number] = s.shutdowns()
	}
	r.killed = func(sidecar int, from, to time.Time) bool { return w.sidecars[sidecar].wasKilled(from, to) }
	slices.SortFunc(r.outages, func(a, b outage) int { return a.from.Compare(b.from) })
	return r
}

func (w *world) close() {
	var all sync.WaitGroup
	for _, s := range w.sidecars {
		all.Go(func() {
			if found := s.close(); len(found) > 0 {
				w.note(func(r *record) { r.faults[s.name] = append(r.faults[s.name], found...) })
			}
		})
	}
	all.Wait()
	for _, v := range w.servers {
		if v.proxy != nil {
			v.proxy.close()
		}
		v.Close()
	}
	for _, d := range w.discoveries {
		d.Close()
	}
}
