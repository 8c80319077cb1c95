package fakes

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// lifetime is one life of a server.
type lifetime struct {
	id            string
	startedAt     time.Time
	warm          bool // started long ago
	busy          int
	waiting       []chan struct{}
	meanServiceMs float64 // service time of late, in milliseconds; 0 = none yet
}

// Server is one server: one place where one process after another may live. It is safe for concurrent use;
// each method acts at once.
type Server struct {
	host
	options ServerOptions

	state     sync.Mutex
	current   *lifetime
	behaviour Behaviour
	requests  []Request
	probes    []Probe
	runs      map[string]int
}

// NewServer starts a server whose process is long warm.
func NewServer(n Network, o ServerOptions) (*Server, error) {
	o.Cores, o.Locality = max(1, o.Cores), cmp.Or(o.Locality, LocalZone)
	p := &Server{host: newHost(n, o.Address, o.MaxIdle), options: o, runs: map[string]int{}}
	p.handle = p.serveMessage
	p.current = &lifetime{id: o.ID, startedAt: time.Now(), warm: true}
	return p, p.startListening()
}

// Close ends it and waits for all that it has under way.
func (p *Server) Close() { p.stop() }

// Address is host:port, of the present process or the last one.
func (p *Server) Address() string { return p.currentAddress() }

// ID is the present process's, or the last one's.
func (p *Server) ID() string { return p.currentLifetime().id }

func (p *Server) currentLifetime() *lifetime {
	p.state.Lock()
	defer p.state.Unlock()
	return p.current
}

// Endpoint is its line in discovery while it serves.
func (p *Server) Endpoint() Endpoint {
	now := p.currentLifetime()
	m := Endpoint{ID: now.id, Address: p.Address(), Locality: p.options.Locality, Phase: Serving}
	if !now.warm {
		m.UpSince = now.startedAt.UnixMilli()
	}
	return m
}

// ChangeBehaviour changes its behaviour from now on; requests that run are met by it when they end.
func (p *Server) ChangeBehaviour(how func(*Behaviour)) {
	p.state.Lock()
	defer p.state.Unlock()
	how(&p.behaviour)
}

// SetBehaviour is Change to one that is given whole.
func (p *Server) SetBehaviour(b Behaviour) { p.ChangeBehaviour(func(old *Behaviour) { *old = b }) }

func (p *Server) currentBehaviour() Behaviour {
	p.state.Lock()
	defer p.state.Unlock()
	return p.behaviour
}

// SetSilent is the end of the machine's connection to the world: nothing sent to it is answered, nothing is reset, new
// connections hang. With false it is back, with the process as it was; with Kill or Restart the process is another.
func (p *Server) SetSilent(on bool) error { return p.setSilent(on) }

// ResetOpenConns resets the next request, and any later one, on each connection that is open now.
func (p *Server) ResetOpenConns() { p.markOpenConns() }

// Kill ends the process: connections are reset, new ones refused, and what runs is lost.
func (p *Server) Kill() { p.resetAll() }

// Start starts a process that is cold where the last one was killed. An empty id is the last one's.
func (p *Server) Start(id string) error {
	p.state.Lock()
	if id == "" {
		id = p.current.id
	}
	p.current = &lifetime{id: id, startedAt: time.Now()}
	p.state.Unlock()
	return p.startListening()
}

// Restart is Kill, good behaviour and Start under a new id, at the same address.
func (p *Server) Restart(id string) error {
	p.Kill()
	p.SetBehaviour(Behaviour{})
	return p.Start(id)
}

// ClearAddress lets the next Start choose another address. The process must have been killed.
func (p *Server) ClearAddress() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.address = ""
}

// Requests returns all requests so far, in the order of their last bytes.
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

// Connections returns how many it has accepted and how many are open.
func (p *Server) Connections() (accepted, open int) { return p.connectionCounts() }

// RunCount returns how often a request of that id was begun.
func (p *Server) RunCount(id string) int {
	p.state.Lock()
	defer p.state.Unlock()
	return p.runs[id]
}
