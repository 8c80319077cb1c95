package emulator

import (
	"maps"
	"math"
	"slices"
	"time"

	"plankrouter/policy"
)

const (
	probeTimeout = 200.0 // ms, as the daemon's
	timeoutLead  = 0.1   // ms by which an attempt's time-out goes before a timer for the same moment
	graceMargin  = 100.0 // ms before the end of a grace in which the daemon begins nothing new
)

// sidecar hosts one policy, as internal/dispatch does: it carries out the actions and reports what comes of them.
type sidecar struct {
	world         *world
	number        int
	zone          int
	incarnation   int // of its process
	running       bool
	policy        Policy
	seeds         uint64
	known         map[policy.ServerID]*knownServer
	inFlight      map[policy.RequestID]*request
	nextID        policy.RequestID
	notifiedUntil policy.Ms
	pending       []policy.Event
	actions       []policy.Action
	stepping      bool
}

// knownServer is what a sidecar knows of a server by the list, and its connections to it.
type knownServer struct {
	machine    *machine
	health     policy.Health
	startedAt  policy.Ms
	notifiedAt policy.Ms // since when it is known as it is
	idle       []*conn
}

// request is one try of a client at a sidecar.
type request struct {
	id               policy.RequestID
	origin           *clientRequest
	number           int // of the tries of ask
	timeLeft         policy.Ms
	attempts         int
	attemptsInFlight int // attempts
	current          *attempt
	mayRun           bool    // an attempt that has ended may have run
	work             float64 // that went into its answer
	answered         bool
	log              []step
}

// start begins a process, which knows the list as discovery has it, or had it before it went down.
func (s *sidecar) start() {
	s.running = true
	s.seeds++
	s.known, s.inFlight = map[policy.ServerID]*knownServer{}, map[policy.RequestID]*request{}
	seed := mix(mix(s.world.cfg.Seed, s.world.cfg.PolicySeed), uint64(s.number)<<20|s.seeds)
	s.policy = s.world.host(s, seed)
	s.step(policy.Event{Kind: policy.Started})
	s.endpointsUpdated(s.world.discovery.known(), true)
}

// kill ends the process. Servers work on at what they have.
func (s *sidecar) kill() {
	s.running = false
	s.incarnation++
	s.pending = nil
	for _, m := range s.world.machines { // in an order that does not change
		k := s.known[m.id]
		if k == nil {
			continue
		}
		for _, c := range k.idle {
			c.close()
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.inFlight)) {
		r := s.inFlight[id]
		if a := r.current; a != nil {
			a.ended = true
			if a.conn != nil {
				a.conn.close()
			}
		}
		if !r.answered {
			r.answered = true
			s.world.lost(r)
		}
	}
	s.known, s.inFlight = nil, nil
}

// knowsProcess reports whether the sidecar has been notified of the process that runs now.
func (s *sidecar) knowsProcess(m *machine) bool {
	k := s.known[m.id]
	return k != nil && k.startedAt == m.startedAt
}

// endpointsUpdated takes the list, or changes to it.
func (s *sidecar) endpointsUpdated(changes []policy.ServerInfo, complete bool) {
	now := s.world.now
	named := map[policy.ServerID]bool{}
	for _, l := range changes {
		named[l.ID] = true
		k := s.known[l.ID]
		if k == nil {
			k = &knownServer{machine: s.world.byID[l.ID], health: l.Health, notifiedAt: now}
			s.known[l.ID] = k
		}
		k.startedAt = l.StartedAt
		s.setHealth(k, l.Health)
	}
	if complete {
		for _, m := range s.world.machines {
			if k := s.known[m.id]; k != nil && !named[m.id] {
				s.setHealth(k, policy.Gone)
			}
		}
	}
	s.step(policy.Event{Kind: policy.EndpointsUpdated, Complete: complete, Servers: changes})
}

func (s *sidecar) setHealth(k *knownServer, h policy.Health) {
	if h == k.health {
		return
	}
	if k.health == policy.Ready || h == policy.Ready { // a drain's grace runs from its first news on
		k.notifiedAt = s.world.now
	}
	k.health = h
	if h != policy.Ready {
		for _, c := range k.idle {
			c.close()
		}
		k.idle = nil
	}
}

// take is a client's request.
func (s *sidecar) take(a *clientRequest, number int, left policy.Ms) *request {
	s.nextID++
	r := &request{id: s.nextID, origin: a, number: number, timeLeft: left}
	s.inFlight[r.id] = r
	s.world.judge.arrived(r)
	s.step(policy.Event{Kind: policy.RequestArrived, Request: r.id, Class: a.class, Tenant: a.tenant, TimeLeft: left})
	return r
}

// gone ends a request whose client has left.
func (s *sidecar) gone(r *request) {
	r.answered = true
	if r.attemptsInFlight == 0 {
		delete(s.inFlight, r.id)
	}
	s.step(policy.Event{Kind: policy.ClientGone, Request: r.id})
}

// step gives the policy an event and does what it says. What ends at once by that waits for the rest.
func (s *sidecar) step(e policy.Event) {
	s.pending = append(s.pending, e)
	if s.stepping {
		return
	}
	s.stepping = true
	for i := 0; i < len(s.pending); i++ {
		e := s.pending[i]
		var before time.Duration
		if s.world.clock != nil {
			before = s.world.clock()
		}
		s.actions = s.policy.Handle(s.world.now, &e, s.actions[:0])
		if s.world.clock != nil {
			s.world.inPolicy += s.world.clock() - before
		}
		for j := range s.actions {
			s.do(&s.actions[j])
		}
	}
	s.pending = s.pending[:0]
	s.stepping = false
}

func (s *sidecar) do(a *policy.Action) {
	switch a.Kind {
	case policy.StartAttempt:
		s.send(a)
	case policy.CancelAttempt:
		if r := s.inFlight[a.Request]; r != nil && r.current != nil && a.Attempt == r.current.number {
			s.finish(r.current, policy.Cancelled, policy.Report{})
		}
	case policy.RejectRequest, policy.FailRequest:
		s.answer(a.Request, a.Kind)
	case policy.SendProbe:
		if k := s.known[a.Server]; k != nil {
			s.world.judge.probed()
			s.begin(&attempt{sidecar: s, machine: k.machine}, probeTimeout)
		}
	case policy.SetTimer:
		incarnation, handle := s.incarnation, a.Timer
		s.world.after(a.After, func() {
			if s.incarnation == incarnation {
				s.step(policy.Event{Kind: policy.TimerFired, Timer: handle})
			}
		})
	case policy.Subscribe, policy.Log: // the list is pushed; the judge sees for itself
	}
}

func (s *sidecar) send(a *policy.Action) {
	r, k := s.inFlight[a.Request], s.known[a.Server]
	s.world.judge.sent(s, a, r)
	if r == nil || k == nil {
		s.step(policy.Event{
			Kind: policy.AttemptEnded, Request: a.Request, Server: a.Server, Status: policy.NotSent,
			Final: true,
		})
		return
	}
	att := &attempt{sidecar: s, machine: k.machine, request: r, number: r.attempts}
	r.attempts++
	r.attemptsInFlight++
	r.current = att
	s.begin(att, max(timeoutLead, a.After-timeoutLead))
}

// begin makes an attempt or a probe, on an idle connection if there is one, and gives it up after wait.
func (s *sidecar) begin(a *attempt, wait policy.Ms) {
	w := s.world
	a.incarnation, a.startedAt = s.incarnation, w.now
	w.after(wait, func() {
		switch {
		case a.ended:
		case a.written:
			s.finish(a, policy.TimedOut, policy.Report{})
		default:
			s.finish(a, policy.ConnectFailed, policy.Report{})
		}
	})
	k := s.known[a.machine.id]
	for n := len(k.idle) - 1; n >= 0; n-- {
		c := k.idle[n]
		k.idle[n] = nil
		k.idle = k.idle[:n]
		if !c.closed {
			a.conn, c.attempt = c, a
			s.write(a)
			return
		}
	}
	w.connect(a)
}

// connected is the end of a handshake.
func (s *sidecar) connected(a *attempt) {
	switch {
	case a.ended || a.incarnation != s.incarnation:
		a.conn.close()
	case a.conn.closed:
		s.finish(a, policy.ConnectFailed, policy.Report{})
	default:
		a.connectedAt = s.world.now
		s.write(a)
	}
}

// write sends a's bytes, unless its server has been draining for too long.
func (s *sidecar) write(a *attempt) {
	k := s.known[a.machine.id]
	if a.request != nil && k.health != policy.Ready && s.world.now > k.notifiedAt+s.world.cfg.Rules.DrainGrace-graceMargin {
		s.finish(a, policy.ConnectFailed, policy.Report{})
		return
	}
	a.written = true
	if a.request != nil {
		s.world.judge.drained(s, a.request, k, "its first byte goes out")
	}
	s.world.carry(a)
}

// broke is a reset.
func (s *sidecar) broke(a *attempt) {
	if a.written {
		s.finish(a, policy.Reset, policy.Report{})
	} else {
		s.finish(a, policy.ConnectFailed, policy.Report{})
	}
}

// finish ends an attempt or a probe, once, and keeps its connection where it can carry another.
func (s *sidecar) finish(a *attempt, status policy.Status, report policy.Report) {
	if a.ended {
		return
	}
	a.ended = true
	if a.incarnation != s.incarnation { // that process is gone
		if a.conn != nil {
			a.conn.close()
		}
		return
	}
	s.releaseConn(a, status)
	if s.world.cfg.Server.DropsCancelled && a.written && (status == policy.Cancelled || status == policy.TimedOut) {
		m, incarnation := a.machine, a.machine.incarnation
		s.world.after(s.world.delay(s.zone, m.zone), func() { m.dropQueued(a, incarnation) })
	}
	took := s.world.now - a.startedAt
	if a.request == nil {
		s.step(policy.Event{
			Kind: policy.ProbeEnded, Server: a.machine.id, Status: status, Elapsed: took,
			ConnectTime: max(0, a.connectedAt-a.startedAt), Report: report,
		})
		return
	}
	s.finishAttempt(a, status, report, took)
}

// releaseConn keeps the attempt's connection if it can carry another one.
func (s *sidecar) releaseConn(a *attempt, status policy.Status) {
	c := a.conn
	if c == nil {
		return
	}
	c.attempt, c.idleAt = nil, s.world.now
	k := s.known[a.machine.id]
	responded := status == policy.OK || status == policy.Failed || status == policy.Declined
	switch {
	case !responded || k.health != policy.Ready:
		c.close()
	case !c.closed:
		k.idle = append(k.idle, c)
	}
}

// finishAttempt reports to the judge and the policy how the attempt at a request has ended.
func (s *sidecar) finishAttempt(a *attempt, status policy.Status, report policy.Report, took policy.Ms) {
	r := a.request
	r.attemptsInFlight--
	if r.current == a {
		r.current = nil
	}
	r.mayRun = r.mayRun || !status.NeverRan() && status != policy.OK
	s.world.judge.ended(a, status)
	if status == policy.OK && !r.answered {
		r.answered = true
		r.work = a.work
		s.world.answered(r, policy.StartAttempt)
	}
	if r.answered && r.attemptsInFlight == 0 {
		delete(s.inFlight, r.id)
	}
	s.step(policy.Event{
		Kind: policy.AttemptEnded, Request: r.id, Attempt: a.number, Server: a.machine.id, Status: status,
		Elapsed: took, Final: r.answered, Report: report,
	})
}

// answer gives the policy's own final answer.
func (s *sidecar) answer(id policy.RequestID, kind policy.ActionKind) {
	r := s.inFlight[id]
	s.world.judge.answer(s, id, r, kind)
	if r == nil || r.answered {
		return
	}
	r.answered = true
	if r.attemptsInFlight == 0 {
		delete(s.inFlight, id)
	}
	s.world.answered(r, kind)
}

// mix is a hash for seeds: SplitMix64's finish.
func mix(a, b uint64) uint64 {
	x := a + b*0x9e3779b97f4a7c15 + math.MaxUint32
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
