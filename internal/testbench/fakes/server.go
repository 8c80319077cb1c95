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

// Provider is one server: one place where one process after another may live. It is safe for concurrent use;
// each method acts at once.
type Provider struct {
	host
	options ProviderOptions

	state     sync.Mutex
	current   *lifetime
	behaviour Behaviour
	requests  []Request
	probes    []Probe
	runs      map[string]int
}

// NewProvider starts a server whose process is long warm.
func NewProvider(n Network, o ProviderOptions) (*Provider, error) {
	o.Cores, o.Locality = max(1, o.Cores), cmp.Or(o.Locality, Here)
	p := &Provider{host: newHost(n, o.Address, o.IdleMost), options: o, runs: map[string]int{}}
	p.handle = p.serveMessage
	p.current = &lifetime{id: o.ID, startedAt: time.Now(), warm: true}
	return p, p.startListening()
}

// Close ends it and waits for all that it has under way.
func (p *Provider) Close() { p.stop() }

// Address is host:port, of the present process or the last one.
func (p *Provider) Address() string { return p.currentAddress() }

// ID is the present process's, or the last one's.
func (p *Provider) ID() string { return p.currentLifetime().id }

func (p *Provider) currentLifetime() *lifetime {
	p.state.Lock()
	defer p.state.Unlock()
	return p.current
}

// Member is its line in discovery while it serves.
func (p *Provider) Member() Member {
	now := p.currentLifetime()
	m := Member{ID: now.id, Address: p.Address(), Locality: p.options.Locality, Phase: Serving}
	if !now.warm {
		m.UpSince = now.startedAt.UnixMilli()
	}
	return m
}

// Change changes its behaviour from now on; requests that run are met by it when they end.
func (p *Provider) Change(how func(*Behaviour)) {
	p.state.Lock()
	defer p.state.Unlock()
	how(&p.behaviour)
}

// Behave is Change to one that is given whole.
func (p *Provider) Behave(b Behaviour) { p.Change(func(old *Behaviour) { *old = b }) }

func (p *Provider) currentBehaviour() Behaviour {
	p.state.Lock()
	defer p.state.Unlock()
	return p.behaviour
}

// Vanish is the end of the machine's connection to the world: nothing sent to it is answered, nothing is reset, new
// connections hang. With false it is back, with the process as it was; with Kill or Restart the process is another.
func (p *Provider) Vanish(on bool) error { return p.setSilent(on) }

// ResetKept resets the next request, and any later one, on each connection that is open now.
func (p *Provider) ResetKept() { p.markOpenConns() }

// Kill ends the process: connections are reset, new ones refused, and what runs is lost.
func (p *Provider) Kill() { p.resetAll() }

// Start starts a process that is cold where the last one was killed. An empty id is the last one's.
func (p *Provider) Start(id string) error {
	p.state.Lock()
	if id == "" {
		id = p.current.id
	}
	p.current = &lifetime{id: id, startedAt: time.Now()}
	p.state.Unlock()
	return p.startListening()
}

// Restart is Kill, good behaviour and Start under a new id, at the same address.
func (p *Provider) Restart(id string) error {
	p.Kill()
	p.Behave(Behaviour{})
	return p.Start(id)
}

// Move lets the next Start choose another address. The process must have been killed.
func (p *Provider) Move() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.address = ""
}

// Requests returns all requests so far, in the order of their last bytes.
func (p *Provider) Requests() []Request {
	p.state.Lock()
	defer p.state.Unlock()
	return slices.Clone(p.requests)
}

// Probes returns all probes so far.
func (p *Provider) Probes() []Probe {
	p.state.Lock()
	defer p.state.Unlock()
	return slices.Clone(p.probes)
}

// Connections returns how many it has accepted and how many are open.
func (p *Provider) Connections() (accepted, open int) { return p.connectionCounts() }

// Runs returns how often a request of that id was begun.
func (p *Provider) Runs(id string) int {
	p.state.Lock()
	defer p.state.Unlock()
	return p.runs[id]
}
