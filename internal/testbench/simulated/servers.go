package simulated

import (
	"sync"
	"sync/atomic"
	"time"

	"plankrouter/internal/outcome"
	"plankrouter/internal/upstream"
	"plankrouter/policy"
)

// How long attempts at a fake server take, from start to end.
const (
	probeDuration   = 500 * time.Microsecond
	requestDuration = 10 * time.Millisecond
	refusalDuration = 200 * time.Microsecond
)

// fakeServers are the servers of the sidecars in one process. They respond in memory and count requests.
type fakeServers struct {
	mutex sync.Mutex
	all   map[string]*fakeServer // by address
}

// fakeServer is a server process.
type fakeServer struct {
	down                             atomic.Bool // refuses connections
	inFlight, calls, probes, refused atomic.Int64
}

func newFakeServers() *fakeServers { return &fakeServers{all: map[string]*fakeServer{}} }

// at returns the server at an address, and creates it if there is none.
func (f *fakeServers) at(address string) *fakeServer {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	server := f.all[address]
	if server == nil {
		server = new(fakeServer)
		f.all[address] = server
	}
	return server
}

// sent returns the number of requests that each address has received.
func (f *fakeServers) sent() map[string]int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	out := make(map[string]int64, len(f.all))
	for address, server := range f.all {
		out[address] = server.calls.Load()
	}
	return out
}

// counts returns how many requests and probes all servers received, and how many of either were refused.
func (f *fakeServers) counts() (calls, probes, refused int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, server := range f.all {
		calls += server.calls.Load()
		probes += server.probes.Load()
		refused += server.refused.Load()
	}
	return calls, probes, refused
}

// Endpoint, Forget, State and Restore implement upstream.Upstream. Its conformance tests do not apply, since there are no
// connections.
func (f *fakeServers) Endpoint(_, address string) upstream.Endpoint {
	return &endpoint{address: address, server: f.at(address)}
}

// Forget does nothing, so that the counts are kept.
func (f *fakeServers) Forget(string) {}

// State returns no state.
func (f *fakeServers) State(time.Time) ([]byte, error) { return nil, nil }

// Restore ignores the state.
func (f *fakeServers) Restore(time.Time, []byte, time.Duration) error { return nil }

// endpoint simulates one sidecar's connections to a server as a single one, established with the first attempt.
type endpoint struct {
	address     string
	server      *fakeServer
	connectedAt time.Time // zero = not connected
}

func (e *endpoint) Address() string { return e.address }
func (e *endpoint) Close()          { e.connectedAt = time.Time{} }

// Start starts an attempt and reports its result later from another goroutine, as for a real one.
func (e *endpoint) Start(task upstream.AttemptOptions) upstream.Attempt {
	now := time.Now()
	if e.connectedAt.IsZero() {
		e.connectedAt = now
	}
	a := &attempt{server: e.server}
	result, duration := upstream.Result{Outcome: outcome.Served, ConnectedAt: e.connectedAt}, probeDuration
	request := task.Request
	switch {
	case request != nil && request.IsClientGone():
		result, duration = upstream.Result{Outcome: outcome.Withdrawn}, 0
	case !task.StartBy.IsZero() && now.After(task.StartBy):
		result, duration = upstream.Result{Outcome: outcome.ServerDraining}, 0
	case e.server.down.Load():
		e.server.refused.Add(1)
		result, duration = upstream.Result{Outcome: outcome.ConnectRefused}, refusalDuration
	case request != nil:
		duration = requestDuration
		e.server.calls.Add(1)
		e.server.inFlight.Add(1)
		a.counted = true
		result.StatusCode = 200
	default:
		e.server.probes.Add(1)
	}
	time.AfterFunc(duration, func() {
		if !a.end() {
			return
		}
		if result.Outcome == outcome.Served {
			result.Report = policy.Report{
				HasRIF: true, HasLatency: true, RIF: float64(e.server.inFlight.Load()),
				Latency: float64(requestDuration) / float64(time.Millisecond),
			}
		}
		task.OnEnd(result)
	})
	return a
}

// attempt is an attempt in flight. Its request counts as written from the start, so that it can't be withdrawn.
type attempt struct {
	server  *fakeServer
	ended   atomic.Bool
	counted bool // in the server's inFlight
}

// end ends the attempt, and reports whether it had not ended before.
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
func (a *attempt) ResponseBegun() bool                            { return false }

var _ upstream.Upstream = (*fakeServers)(nil)
