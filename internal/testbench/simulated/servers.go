package simulated

import (
	"sync"
	"sync/atomic"
	"time"

	"plankrouter/internal/outcome"
	"plankrouter/internal/upstream"
	"plankrouter/policy"
)

// The times that a stand-in server takes, from an attempt's start to its end.
const (
	probeTakes  = 500 * time.Microsecond
	callTakes   = 10 * time.Millisecond
	refuseTakes = 200 * time.Microsecond
)

// fakeServers are the servers as the sidecars of one process see them: they answer in memory, and count.
type fakeServers struct {
	mutex sync.Mutex
	all   map[string]*fakeServer // by address
}

// fakeServer is one process of a server.
type fakeServer struct {
	down                             atomic.Bool // it refuses connections
	inFlight, calls, probes, refused atomic.Int64
}

func newFakeServers() *fakeServers { return &fakeServers{all: map[string]*fakeServer{}} }

func (f *fakeServers) at(address string) *fakeServer {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	one := f.all[address]
	if one == nil {
		one = new(fakeServer)
		f.all[address] = one
	}
	return one
}

// sent returns the calls that each address got.
func (f *fakeServers) sent() map[string]int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	out := make(map[string]int64, len(f.all))
	for address, one := range f.all {
		out[address] = one.calls.Load()
	}
	return out
}

// counts returns the calls and probes of all, and what was refused of either.
func (f *fakeServers) counts() (calls, probes, refused int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, one := range f.all {
		calls += one.calls.Load()
		probes += one.probes.Load()
		refused += one.refused.Load()
	}
	return calls, probes, refused
}

// Endpoint, Forget, State and Restore make fakeServers an upstream.Upstream. Its conformance tests do not apply: there are no
// connections.
func (f *fakeServers) Endpoint(_, address string) upstream.Endpoint {
	return &endpoint{address: address, server: f.at(address)}
}

// Forget does nothing: the counts outlive the server.
func (f *fakeServers) Forget(string) {}

// State is nothing.
func (f *fakeServers) State(time.Time) ([]byte, error) { return nil, nil }

// Restore takes nothing.
func (f *fakeServers) Restore(time.Time, []byte, time.Duration) error { return nil }

// endpoint stands for one sidecar's connections to a server: a single one, established with the first attempt.
type endpoint struct {
	address string
	server  *fakeServer
	since   time.Time
}

func (e *endpoint) Address() string { return e.address }
func (e *endpoint) Close()          { e.since = time.Time{} }

// Start answers the attempt later, as a real one's end: from a goroutine of its own.
func (e *endpoint) Start(task upstream.AttemptOptions) upstream.Attempt {
	now := time.Now()
	if e.since.IsZero() {
		e.since = now
	}
	c := &attempt{server: e.server}
	result, takes := upstream.Result{Outcome: outcome.Served, ConnectedAt: e.since}, probeTakes
	request := task.Request
	switch {
	case request != nil && request.IsClientGone():
		result, takes = upstream.Result{Outcome: outcome.Withdrawn}, 0
	case !task.StartBy.IsZero() && now.After(task.StartBy):
		result, takes = upstream.Result{Outcome: outcome.ServerDraining}, 0
	case e.server.down.Load():
		e.server.refused.Add(1)
		result, takes = upstream.Result{Outcome: outcome.ConnectRefused}, refuseTakes
	case request != nil:
		takes = callTakes
		e.server.calls.Add(1)
		e.server.inFlight.Add(1)
		c.counted = true
		result.StatusCode = 200
	default:
		e.server.probes.Add(1)
	}
	time.AfterFunc(takes, func() {
		if !c.end() {
			return
		}
		if result.Outcome == outcome.Served {
			result.Report = policy.Report{
				HasRIF: true, HasLatency: true, RIF: float64(e.server.inFlight.Load()),
				Latency: float64(callTakes) / float64(time.Millisecond),
			}
		}
		task.OnEnd(result)
	})
	return c
}

// attempt is one under way: it counts as written from its start.
type attempt struct {
	server  *fakeServer
	ended   atomic.Bool
	counted bool
}

func (a *attempt) end() bool {
	if !a.ended.CompareAndSwap(false, true) {
		return false
	}
	if a.counted {
		a.server.inFlight.Add(-1)
	}
	return true
}

func (a *attempt) Cancel(why outcome.Kind) (outcome.Kind, bool)   { return why, a.end() }
func (a *attempt) Withdraw(why outcome.Kind) (outcome.Kind, bool) { return why, false }
func (a *attempt) StartBy(time.Time)                              {}

var _ upstream.Upstream = (*fakeServers)(nil)
