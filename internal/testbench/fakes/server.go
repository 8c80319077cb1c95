package fakes

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// processRun is one process of a server, from its start to its end.
type processRun struct {
	id            string
	startedAt     time.Time
	warm          bool // the process counts as started long ago, so it has no slow start
	busy          int
	waiting       []chan struct{}
	meanServiceMs float64 // moving average of the service time in milliseconds; 0 = no request yet
}

// Server is a fake server on one machine, where one process after another may run. It is safe for concurrent use; each
// method takes effect at once.
type Server struct {
	host
	options ServerOptions

	state     sync.Mutex
	current   *processRun
	behaviour Behaviour
	requests  []Request
	probes    []Probe
	runs      map[string]int
}

// NewServer starts a server whose process has completed its slow start.
func NewServer(n Network, o ServerOptions) (*Server, error) {
	o.Cores, o.Locality = max(1, o.Cores), cmp.Or(o.Locality, LocalZone)
	p := &Server{host: newHost(n, o.Address, o.MaxIdle), options: o, runs: map[string]int{}}
	p.handle = p.serveMessage
	p.current = &processRun{id: o.ID, startedAt: time.Now(), warm: true}
	return p, p.startListening()
}

// Close ends the process and waits for the goroutines to end.
func (p *Server) Close() { p.stop() }

// Address returns host:port of the current or last process.
func (p *Server) Address() string { return p.currentAddress() }

// ID returns the id of the current or last process.
func (p *Server) ID() string { return p.currentProcess().id }

func (p *Server) currentProcess() *processRun {
	p.state.Lock()
	defer p.state.Unlock()
	return p.current
}

// Endpoint returns the server's entry in the endpoint list with phase Serving.
func (p *Server) Endpoint() Endpoint {
	now := p.currentProcess()
	m := Endpoint{ID: now.id, Address: p.Address(), Locality: p.options.Locality, Phase: Serving}
	if !now.warm {
		m.UpSince = now.startedAt.UnixMilli()
	}
	return m
}

// ChangeBehaviour changes the behaviour from now on; it also applies to the responses of requests that are running.
func (p *Server) ChangeBehaviour(change func(*Behaviour)) {
	p.state.Lock()
	defer p.state.Unlock()
	change(&p.behaviour)
}

// SetBehaviour replaces the behaviour with b from now on; see ChangeBehaviour.
func (p *Server) SetBehaviour(b Behaviour) { p.ChangeBehaviour(func(old *Behaviour) { *old = b }) }

func (p *Server) currentBehaviour() Behaviour {
	p.state.Lock()
	defer p.state.Unlock()
	return p.behaviour
}

// SetSilent makes the machine unreachable: requests get no response, nothing is reset and new connections hang. With false
// the machine is reachable again with the same process; Kill and Restart also make it reachable, but end that process.
func (p *Server) SetSilent(on bool) error { return p.setSilent(on) }

// ResetOpenConns makes the server reset each connection that is open now when the next request arrives on it.
func (p *Server) ResetOpenConns() { p.markOpenConns() }

// Kill ends the process: its connections are reset, new ones refused, and running requests lost.
func (p *Server) Kill() { p.resetAll() }

// Start starts a new process, in slow start, at the address of the last one. If id is empty, it keeps the last id.
func (p *Server) Start(id string) error {
	p.state.Lock()
	if id == "" {
		id = p.current.id
	}
	p.current = &processRun{id: id, startedAt: time.Now()}
	p.state.Unlock()
	return p.startListening()
}

// Restart kills the process, clears the behaviour and starts a process with the given id at the same address.
func (p *Server) Restart(id string) error {
	p.Kill()
	p.SetBehaviour(Behaviour{})
	return p.Start(id)
}

// ClearAddress makes the next Start choose a new address. The process must have been killed.
func (p *Server) ClearAddress() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.address = ""
}

// Requests returns all requests so far, ordered by when they were fully received.
func (p *Server) Requests() []Request {
	p.state.Lock()
	defer p.state.Unlock()
	return slices.Clone(p.requests)
}

// Probes returns all probes so far.
func (p *Server) Probes() []Probe {
	p.state.Lock()
	defer p.state.Unlock()
	return slices.Clone(p.probes)
}

// Connections returns the number of connections accepted so far and of those open now.
func (p *Server) Connections() (accepted, open int) { return p.connectionCounts() }

// RunCount returns how often execution of the request with the given id was started.
func (p *Server) RunCount(id string) int {
	p.state.Lock()
	defer p.state.Unlock()
	return p.runs[id]
}
