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

// Properties of the servers and settings of the sidecars. The start capacity is so low that a server in slow start gets more
// than its budget if sidecars treat it as warm.
const (
	cores             = 2                      // cores of a server
	queue             = 24                     // length of a server's queue
	meanWork          = 15 * time.Millisecond  // mean service time of a request
	capacity          = float64(cores) / 0.015 // requests of mean work per second that a server can process
	startCapacity     = 0.05                   // capacity of a server that has just started, as a fraction of its full capacity
	overloadMultiple  = 1.5                    // multiple of its current capacity that overloads a server in slow start
	overloadWindow    = 3 * time.Second        // time within which load of overloadMultiple times the capacity counts as overload
	warmUpTime        = 9 * time.Second        // duration of slow start
	connIdle          = 10 * time.Second
	drainGrace        = 750 * time.Millisecond
	listDelay         = 200 * time.Millisecond  // delay of discovery's changes while it is late
	proxied           = 3                       // one in this many servers is behind a proxy
	slowTimes         = 6                       // factor on service times of a slow server
	maxSlowConnect    = 1150 * time.Millisecond // longest delay of a connection
	slowConnectMargin = 20 * time.Millisecond   // between the delay of a connection and the connect timeout
	maxFlood          = 120                     // most connections that a Flood opens

	startAttempts = 100                   // attempts to start a server again on its address
	startPause    = 20 * time.Millisecond // after a failed attempt

	interruptions  = 3                    // consecutive calls that fail with EINTR
	interruptEvery = 2 * time.Millisecond // interval between two such series of calls
)

// Options configure a run.
type Options struct {
	Program           string // built with the tag faultinjection
	Dir               string // for configurations, logs and persistent state
	Seed              uint64
	Sidecars, Servers int
	Rate              float64 // requests per second for each sidecar
	For               time.Duration
	Only              []Kind        // kinds of fault; none = all
	Slack             time.Duration // added to the judge's time limits, besides stalls of this process; 0 = baseSlack
}

// variant holds the properties of the deployment that are drawn from the seed.
type variant struct {
	maxConns        int           // most connections of a sidecar
	onRequest       bool          // discovery is polled on request, instead of an agent on the same machine
	longestDeadline time.Duration // longest deadline of a class
	connectTimeout  time.Duration // connect timeout to servers
	manyClients     bool          // many clients send requests to a process during ShutdownFaults
	retryWindow     time.Duration // retry window of requests with a token
}

func (o Options) variant() variant {
	rng := rand.New(rand.NewPCG(o.Seed, 0x7a))
	return variant{
		maxConns: pickOne(rng, 96, 192, 512), onRequest: rng.IntN(3) == 0,
		longestDeadline: pickOne(rng, 500*time.Millisecond, 1500*time.Millisecond, 1500*time.Millisecond, 3*time.Second),
		connectTimeout:  pickOne(rng, 150*time.Millisecond, 400*time.Millisecond, 1200*time.Millisecond), manyClients: rng.IntN(3) == 0,
		retryWindow: pickOne(rng, 300*time.Millisecond, 900*time.Millisecond),
	}
}

func pickOne[T any](rng *rand.Rand, from ...T) T { return from[rng.IntN(len(from))] }

// Check returns an error if an option is out of range.
func (o Options) Check() error {
	switch {
	case o.Sidecars < 1 || o.Sidecars > 40:
		return fmt.Errorf("sidecars: %d; want 1 to 40", o.Sidecars)
	case o.Servers < 3 || o.Servers > 64:
		return fmt.Errorf("servers: %d; want 3 to 64", o.Servers)
	case !(o.Rate > 0 && o.Rate <= 200):
		return fmt.Errorf("rate: %g requests per second for each sidecar; want up to 200", o.Rate)
	case o.For < quietStart+quietEnd || o.For > 10*time.Minute:
		return fmt.Errorf("for: %s; want %s to 10m", o.For, quietStart+quietEnd)
	}
	return nil
}

// serverSlot is a server address at which one process after another runs.
type serverSlot struct {
	*fakes.Server
	proxy     *proxy      // nil = none
	processes int         // number of replacements so far
	faulty    atomic.Bool // has an injected fault
}

// address returns the address at which sidecars reach the server: its proxy's, if it has one.
func (s *serverSlot) address() string {
	if s.proxy != nil {
		return s.proxy.address()
	}
	return s.Address()
}

// environment holds the state of a run.
type environment struct {
	options     Options
	variant     variant
	classes     []class
	network     fakes.Network
	servers     []*serverSlot
	discoveries []*fakes.Discovery
	sidecars    []*sidecar
	clients     []*clients
	offset      atomic.Int64 // offset of the stepped wall clock from the real one, in ns
	running     sync.WaitGroup
	ordered     sync.Map // by serverAtSidecar: operators' orders in effect

	mutex   sync.Mutex
	record  record
	listing sync.Mutex // serializes changes of the endpoint lists
}

// wall returns the stepped wall clock time.
func (w *environment) wall() time.Time { return time.Now().Add(time.Duration(w.offset.Load())) }

// build starts the servers, discoveries and sidecars of a run.
func build(ctx context.Context, o Options) (w *environment, err error) {
	w = &environment{options: o, network: fakes.Loopback(), variant: o.variant()}
	w.classes = classesFor(w.variant.longestDeadline)
	w.record = record{onRequest: w.variant.onRequest, retryWindow: w.variant.retryWindow, starts: map[string][]time.Time{}, processStarts: map[int][]time.Time{}, faults: map[string][]string{}}
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
		s := &serverSlot{Server: p}
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
		s.onProcessStart = func() { w.recordProcessStart(i) }
		if err := s.start(ctx); err != nil {
			return w, fmt.Errorf("%s: %w; see %s", s.name, err, s.path("log"))
		}
	}
	return w, nil
}

// endpoint returns the server's entry in an endpoint list.
func (w *environment) endpoint(s *serverSlot, phase string, upSince int64) fakes.Endpoint {
	return fakes.Endpoint{ID: s.ID(), Address: s.address(), Locality: fakes.LocalZone, Phase: phase, UpSince: upSince}
}

// edit returns a function that adapts a sidecar's configuration; different values of times yield different configurations.
func (w *environment) edit(times int) func(map[string]any) { return w.editWith(times, w.classes) }

// editWith is like edit, with other classes.
func (w *environment) editWith(times int, classes []class) func(map[string]any) {
	return func(d map[string]any) {
		settings := d["settings"].(map[string]any)
		settings["Balancers"] = w.options.Sidecars
		if w.record.onRequest {
			settings["Discovery"] = "on_request"
		}
		safety := settings["Safety"].(map[string]any)
		safety["StartCapacity"], safety["TipMultiple"], safety["FallMs"] = startCapacity, overloadMultiple, overloadWindow.Milliseconds()
		all := []any{}
		for _, c := range classes {
			all = append(all, map[string]any{
				"Name": c.name, "AimMs": 300 + 10*(times%5), "HardLimitMs": c.deadline.Milliseconds(), "Credit": 1,
				"Repeat": c.idempotency, "KeyScope": "all", "MemorySpanMs": w.variant.retryWindow.Milliseconds(),
			})
		}
		settings["RequestClasses"] = all
	}
}

// recordProcessStart records that a process of the sidecar is started.
func (w *environment) recordProcessStart(sidecar int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.record.processStarts[sidecar] = append(w.record.processStarts[sidecar], time.Now())
}

// updateDiscovery changes the endpoint lists of both discoveries; each sidecar watches one of them.
func (w *environment) updateDiscovery(endpoints ...fakes.Endpoint) {
	w.listing.Lock()
	defer w.listing.Unlock()
	for _, d := range w.discoveries {
		d.Change(endpoints...)
	}
}

// updateRecord calls how with the record while it holds the lock.
func (w *environment) updateRecord(how func(*record)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	how(&w.record)
}

// finish returns the record of the run, completed with what clients, servers and sidecars have recorded.
func (w *environment) finish() *record {
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
	r.learnedAt = map[serverAtSidecar][]time.Time{}
	for _, c := range w.sidecars {
		for server, at := range c.loggedDrains() {
			r.learnedAt[serverAtSidecar{c.number, server}] = at
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

func (w *environment) close() {
	var all sync.WaitGroup
	for _, s := range w.sidecars {
		all.Go(func() {
			if found := s.close(); len(found) > 0 {
				w.updateRecord(func(r *record) { r.faults[s.name] = append(r.faults[s.name], found...) })
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
