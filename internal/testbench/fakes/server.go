package fakes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	headerID                = "Req-Id"
	headerDeadline          = "Req-Deadline"
	headerDeclined          = "Srv-Declined: 1\r\n"
	loadPath                = "/metrics/load"
	alivePath               = "/alive"
	newestServiceTimeWeight = 0.1 // weight of the newest service time in the report's mean
)

// Here is the one locality that a sidecar knows by Config.
const Here = "here"

// Service is the work of one class.
type Service struct {
	Mean  time.Duration // of the time on a core
	Fixed bool          // each takes just Mean; else they are exponential
	Body  int           // bytes of an answer, at least the request's id and a newline
}

// ProviderOptions are a provider's nature, which faults don't change.
type ProviderOptions struct {
	ID       string
	Address  string // see Network.Listen
	Locality string // "" = Here
	Seed     uint64 // of service times and of failures

	Cores    int                // requests that run side by side; 0 = 1
	Queue    int                // requests that may wait; one more is declined. 0 = none may
	Service  map[string]Service // by class, the first part of the path
	Default  Service            // of any other class
	Connect  time.Duration      // that the first request on a connection takes longer, as after a TLS handshake
	ColdBy   float64            // a process that has just started takes so many times as long; up to 1 = no longer
	WarmIn   time.Duration      // and is warm after so long, getting there evenly
	IdleMost time.Duration      // a connection idle for so long is closed; 0 = never
}

// Probing says what becomes of probes.
type Probing uint8

// How probes are answered, apart from draining.
const (
	ProbesAnswered Probing = iota
	ProbesUnavailable
	ProbesCutOff // the connection is reset
)

// BreakOff ends an answer early.
type BreakOff struct {
	After int  // bytes of it, the head included; 0 = before the first
	Reset bool // else the connection is ended in order
}

// Behaviour is how a provider misbehaves; the zero value is good behaviour. Requests that BreakOff, Stall, FailShare
// and Spoilt befall are run; those that are declined or reset are not.
type Behaviour struct {
	Drain       bool          // probes get 503, requests are declined
	Decline     bool          // requests are declined while probes are answered
	Probes      Probing       // while requests are served
	ResetAll    bool          // each request is reset, probes included
	ForgetIdle  time.Duration // a request on a connection idle for longer is reset; 0 = none
	ForgetAfter int           // a request on a connection that has carried so many is reset; 0 = none
	BreakOff    *BreakOff     // of each answer
	Stall       bool          // after an answer's head nothing more comes
	Hang        bool          // nothing is answered, probes included, and no connection is ended
	FailShare   float64       // part of requests that are answered 500 after their run
	Spoilt      []byte        // sent in place of each answer
	Slow        float64       // service takes so many times as long; 0 = 1
}

// Outcome says what a provider did with a request.
type Outcome uint8

// The outcomes.
const (
	Pending   Outcome = iota // waiting or running
	Answered                 // 200 and its whole body
	Errored                  // 500
	Declined                 // declined: never ran
	Nameless                 // 404: it had no id
	Reset                    // the connection was reset: never ran
	Left                     // the caller had gone before it began: never ran
	Unsent                   // the caller had gone before it was answered, or the process hangs
	Killed                   // the process ended first
	BrokenOff                // an answer that did not end, or never began
	Stalled                  // an answer's head
	Spoilt                   // bytes that are no answer
)

var outcomes = [...]string{
	"pending", "answered", "errored", "declined", "nameless", "reset", "left", "unsent",
	"killed", "broken off", "stalled", "spoilt",
}

func (o Outcome) String() string { return outcomes[o] }

// Request is one request as a provider has seen it.
type Request struct {
	ID, Class, Method, Path string
	Body                    string
	Server                  string // id of the process
	FirstByte, LastByte     time.Time
	Sent                    time.Time     // its first byte, by the clock of whoever wrote it: a machine that has vanished hears of it later
	Deadline                string        // as the sidecar has told it
	Conn                    int           // the connection's number, from 1
	Carried                 int           // requests on it before, probes included
	Idle                    time.Duration // of it before, since it was accepted or last answered
	Started, Finished       bool          // its run
	Outcome                 Outcome
}

// Probe is one probe as a provider has seen it.
type Probe struct {
	At     time.Time
	Conn   int
	Path   string
	Status int // 0 = it was reset
}

// lifetime is one life of a provider.
type lifetime struct {
	id            string
	startedAt     time.Time
	warm          bool // started long ago
	busy          int
	waiting       []chan struct{}
	meanServiceMs float64 // service time of late, in milliseconds; 0 = none yet
}

// Provider is one tile server: one place where one process after another may live. It is safe for concurrent use;
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

// NewProvider starts a provider whose process is long warm.
func NewProvider(n Network, o ProviderOptions) (*Provider, error) {
	o.Cores, o.Locality = max(1, o.Cores), cmp.Or(o.Locality, Here)
	p := &Provider{host: newHost(n, o.Address, o.IdleMost), options: o, runs: map[string]int{}}
	p.host.handle = p.serveMessage
	p.current = &lifetime{id: o.ID, startedAt: time.Now(), warm: true}
	return p, p.startListening()
}

// Close ends it and waits for all that it has under way.
func (p *Provider) Close() { p.shutDown() }

// Address is host:port, of the present process or the last one.
func (p *Provider) Address() string { return p.currentAddress() }

// ID is the present process's, or the last one's.
func (p *Provider) ID() string { return p.currentLifetime().id }

func (p *Provider) currentLifetime() *lifetime {
	p.state.Lock()
	defer p.state.Unlock()
	return p.current
}

// Member is its line in the directory while it serves.
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
	p.mu.Lock()
	defer p.mu.Unlock()
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

// serveMessage serves one message.
func (p *Provider) serveMessage(c *hostConn, m *message) bool {
	how := p.currentBehaviour()
	reset := how.ResetAll || how.ForgetIdle > 0 && m.idle > how.ForgetIdle ||
		how.ForgetAfter > 0 && c.carried >= how.ForgetAfter || p.isMarked(c)
	if m.URL.Path == loadPath || m.URL.Path == alivePath {
		return p.serveProbe(c, m, how, reset)
	}
	id := m.Header.Get(headerID)
	class, _, _ := strings.Cut(strings.TrimPrefix(m.URL.Path, "/"), "/")
	p.state.Lock()
	now := p.current
	nth := len(p.requests)
	p.requests = append(p.requests, Request{
		ID: id, Class: class, Method: m.Method, Path: m.URL.RequestURI(),
		Body: string(m.body), Server: now.id, FirstByte: m.first, LastByte: m.last, Sent: m.sent, Deadline: m.Header.Get(headerDeadline), Conn: c.number, Carried: c.carried,
		Idle: m.idle,
	})
	p.state.Unlock()
	switch {
	case reset:
		p.recordOutcome(nth, Reset)
		c.drop(true)
		return false
	case id == "":
		return p.recordAndSend(c, nth, Nameless, encodeResponse(404, "", nil))
	case how.Drain || how.Decline:
		return p.decline(c, nth)
	case how.Hang:
		p.recordOutcome(nth, Unsent)
		return c.waitForClose()
	}
	switch got := p.waitForCore(c, now); got {
	case Declined:
		return p.decline(c, nth)
	case Pending:
	default:
		return p.recordOutcome(nth, got)
	}
	body, failed, ended := p.run(c, m, now, nth, class)
	if !ended {
		return p.recordOutcome(nth, Killed)
	}
	return p.respond(c, nth, body, failed)
}

func (p *Provider) decline(c *hostConn, index int) bool {
	return p.recordAndSend(c, index, Declined, encodeResponse(503, headerDeclined, nil))
}

// recordOutcome writes down how a request ended. It is the end of its connection too, unless it is answered.
func (p *Provider) recordOutcome(index int, o Outcome) bool {
	p.state.Lock()
	defer p.state.Unlock()
	p.requests[index].Outcome = o
	return false
}

// recordAndSend answers a request, having written that down: who has the answer may look it up.
func (p *Provider) recordAndSend(c *hostConn, index int, o Outcome, raw []byte) bool {
	c.waitWhileSilent()
	p.recordOutcome(index, o)
	return c.write(raw) || p.recordOutcome(index, Unsent)
}

// serveProbe answers with the load.
func (p *Provider) serveProbe(c *hostConn, m *message, how Behaviour, reset bool) bool {
	p.state.Lock()
	now := p.current
	load := map[string]any{"active": now.busy + len(now.waiting)}
	if now.meanServiceMs > 0 {
		load["avg_ms"] = now.meanServiceMs
	}
	status := 200
	switch {
	case reset || how.Probes == ProbesCutOff:
		status = 0
	case how.Drain || how.Probes == ProbesUnavailable:
		status = 503
	}
	p.probes = append(p.probes, Probe{At: m.last, Conn: c.number, Path: m.URL.Path, Status: status})
	p.state.Unlock()
	if how.Hang {
		return c.waitForClose()
	}
	switch status {
	case 0:
		c.drop(true)
		return false
	case 503:
		return c.write(encodeResponse(503, "", nil))
	}
	body, _ := json.Marshal(load)
	return c.write(encodeResponse(200, "Content-Type: application/json\r\n", body))
}

// waitForCore waits for a core. Pending says that the request has one; any other outcome is its last.
func (p *Provider) waitForCore(c *hostConn, now *lifetime) Outcome {
	p.state.Lock()
	if now.busy < p.options.Cores {
		now.busy++
		p.state.Unlock()
		return Pending
	}
	if len(now.waiting) >= p.options.Queue {
		p.state.Unlock()
		return Declined
	}
	coreFree := make(chan struct{})
	now.waiting = append(now.waiting, coreFree)
	p.state.Unlock()
	outcome := Pending
	select {
	case <-coreFree:
		return outcome
	case <-c.clientDone:
		outcome = Left
	case <-c.closed:
		outcome = Killed
	}
	p.state.Lock()
	defer p.state.Unlock()
	if i := slices.Index(now.waiting, coreFree); i >= 0 {
		now.waiting = slices.Delete(now.waiting, i, i+1)
	} else {
		now.releaseCore()
	}
	return outcome
}

// releaseCore gives the core to the next.
func (l *lifetime) releaseCore() {
	if len(l.waiting) == 0 {
		l.busy--
		return
	}
	close(l.waiting[0])
	l.waiting = l.waiting[1:]
}

// run holds a core for the time of the service and returns the answer's body and whether the request is to fail. Nobody
// can call it off but the end of the process.
func (p *Provider) run(c *hostConn, m *message, now *lifetime, index int, class string) (body []byte, failed, ended bool) {
	id := m.Header.Get(headerID)
	p.state.Lock()
	p.requests[index].Started = true
	p.runs[id]++
	how := p.behaviour
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s %d", now.id, id, p.runs[id])
	p.state.Unlock()
	// From what is run and not from one sequence: requests of the same moment would get theirs by chance.
	draw := rand.New(rand.NewPCG(p.options.Seed, h.Sum64()))
	service, known := p.options.Service[class]
	if !known {
		service = p.options.Default
	}
	work := float64(service.Mean)
	if !service.Fixed {
		work *= draw.ExpFloat64()
	}
	if how.Slow > 0 {
		work *= how.Slow
	}
	took := time.Duration(work * p.slowStartFactor(now))
	if c.carried == 0 {
		took += p.options.Connect
	}
	ended = c.wait(took)
	p.state.Lock()
	defer p.state.Unlock()
	now.releaseCore()
	if !ended {
		return nil, false, false
	}
	p.requests[index].Finished = true
	if ms := float64(took) / float64(time.Millisecond); now.meanServiceMs == 0 {
		now.meanServiceMs = ms
	} else {
		now.meanServiceMs += newestServiceTimeWeight * (ms - now.meanServiceMs)
	}
	body = []byte(id + "\n")
	body = append(body, make([]byte, max(0, service.Body-len(body)))...)
	return body, draw.Float64() < p.behaviour.FailShare, true
}

// slowStartFactor is how many times as long service takes.
func (p *Provider) slowStartFactor(now *lifetime) float64 {
	age := time.Since(now.startedAt)
	if now.warm || p.options.ColdBy <= 1 || age >= p.options.WarmIn {
		return 1
	}
	return 1 + (p.options.ColdBy-1)*(1-float64(age)/float64(p.options.WarmIn))
}

// respond sends the answer to a request that has run, or what comes in its place.
func (p *Provider) respond(c *hostConn, index int, body []byte, failed bool) bool {
	select {
	case <-c.clientDone:
		return p.recordOutcome(index, Unsent)
	default:
	}
	how := p.currentBehaviour()
	outcome, full := Answered, encodeResponse(200, "", body)
	if failed {
		outcome, full = Errored, encodeResponse(500, "", nil)
	}
	switch {
	case how.BreakOff != nil:
		p.recordOutcome(index, BrokenOff)
		if n := min(how.BreakOff.After, len(full)); n > 0 {
			c.write(full[:n])
		}
		c.drop(how.BreakOff.Reset)
		return false
	case how.Stall:
		p.recordOutcome(index, Stalled)
		c.write(full[:len(full)-len(body)])
		return c.waitForClose()
	case how.Spoilt != nil:
		return p.recordAndSend(c, index, Spoilt, how.Spoilt)
	}
	return p.recordAndSend(c, index, outcome, full)
}
