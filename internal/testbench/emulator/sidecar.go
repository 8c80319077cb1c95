package emulator

import (
	"maps"
	"math"
	"slices"
	"time"

	"plankrouter/policy"
)

const (
	probeTimeout = 200.0 // timeout of a probe in ms, as in the sidecar program
	timeoutLead  = 0.1   // ms by which an attempt's timeout precedes a timer for the same time
	graceMargin  = 100.0 // ms before the end of the drain grace; from then on the sidecar sends no new request to the server
)

// sidecar hosts one policy, as internal/dispatch does: it executes the policy's actions and passes it the resulting events.
type sidecar struct {
	world         *world
	number        int
	zone          int
	incarnation   int // number of kills so far, which invalidates events of earlier processes
	running       bool
	policy        Policy
	starts        uint64 // number of processes started so far; each has its own seed
	known         map[policy.ServerID]*knownServer
	inFlight      map[policy.RequestID]*request
	nextID        policy.RequestID
	notifiedUntil policy.Ms
	pending       []policy.Event
	actions       []policy.Action
	stepping      bool
}

// knownServer is a server as the sidecar knows it from the endpoint list, and its idle connections to the server.
type knownServer struct {
	machine    *machine
	health     policy.Health
	startedAt  policy.Ms
	notifiedAt policy.Ms // when the sidecar was notified that the server is ready, or first that it no longer is
	idle       []*conn
}

// request is one client attempt at a sidecar.
type request struct {
	id               policy.RequestID
	origin           *clientRequest
	number           int // number of the client attempt; the first is 1
	timeLeft         policy.Ms
	attempts         int
	attemptsInFlight int
	current          *attempt
	mayRun           bool    // an attempt that has ended may have run
	work             float64 // work that the server has done for the response
	answered         bool
	log              []step
}

// start starts a process with discovery's endpoint list, or with the last one if discovery is down.
func (s *sidecar) start() {
	s.running = true
	s.starts++
	s.known, s.inFlight = map[policy.ServerID]*knownServer{}, map[policy.RequestID]*request{}
	seed := mix(mix(s.world.cfg.Seed, s.world.cfg.PolicySeed), uint64(s.number)<<20|s.starts)
	s.policy = s.world.hosted(s, seed)
	s.step(policy.Event{Kind: policy.Started})
	s.endpointsUpdated(s.world.discovery.initialEndpoints(), true)
}

// kill kills the process. Servers continue to process its requests.
func (s *sidecar) kill() {
	s.running = false
	s.incarnation++
	s.pending = nil
	for _, m := range s.world.machines { // in a deterministic order
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

// endpointsUpdated applies a complete endpoint list or changes to the list, and notifies the policy.
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
	if k.health == policy.Ready || h == policy.Ready { // the drain grace runs from the first notification of the drain
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

// receive accepts a client attempt and passes it to the policy.
func (s *sidecar) receive(a *clientRequest, number int, left policy.Ms) *request {
	s.nextID++
	r := &request{id: s.nextID, origin: a, number: number, timeLeft: left}
	s.inFlight[r.id] = r
	s.world.judge.requestReceived(r)
	s.step(policy.Event{Kind: policy.RequestArrived, Request: r.id, Class: a.class, Tenant: a.tenant, TimeLeft: left})
	return r
}

// clientGone ends a request whose client has disconnected.
func (s *sidecar) clientGone(r *request) {
	r.answered = true
	if r.attemptsInFlight == 0 {
		delete(s.inFlight, r.id)
	}
	s.step(policy.Event{Kind: policy.ClientGone, Request: r.id})
}

// step passes an event to the policy and executes the actions it returns. Events that occur in the meantime are queued.
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
			s.execute(&s.actions[j])
		}
	}
	s.pending = s.pending[:0]
	s.stepping = false
}

func (s *sidecar) execute(a *policy.Action) {
	switch a.Kind {
	case policy.StartAttempt:
		s.send(a)
	case policy.CancelAttempt:
		if r := s.inFlight[a.Request]; r != nil && r.current != nil && a.Attempt == r.current.number {
			s.finish(r.current, policy.Cancelled, policy.Report{})
		}
	case policy.RejectRequest, policy.FailRequest:
		s.respond(a.Request, a.Kind)
	case policy.SendProbe:
		if k := s.known[a.Server]; k != nil {
			s.world.judge.probed()
			s.startAttempt(&attempt{sidecar: s, machine: k.machine}, probeTimeout)
		}
	case policy.SetTimer:
		incarnation, handle := s.incarnation, a.Timer
		s.world.after(a.After, func() {
			if s.incarnation == incarnation {
				s.step(policy.Event{Kind: policy.TimerFired, Timer: handle})
			}
		})
	case policy.Subscribe, policy.Log: // no effect: discovery pushes the list, and the judge observes every event
	}
}

func (s *sidecar) send(a *policy.Action) {
	r, k := s.inFlight[a.Request], s.known[a.Server]
	s.world.judge.attemptStarted(s, a, r)
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
	s.startAttempt(att, max(timeoutLead, a.After-timeoutLead))
}

// startAttempt starts an attempt or a probe, on an idle connection if there is one, and ends the attempt after timeout.
func (s *sidecar) startAttempt(a *attempt, timeout policy.Ms) {
	w := s.world
	a.incarnation, a.startedAt = s.incarnation, w.now
	w.after(timeout, func() {
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

// connected handles the end of a handshake.
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

// write sends a to its server, unless a is a request and the server's drain grace is almost over.
func (s *sidecar) write(a *attempt) {
	k := s.known[a.machine.id]
	if a.request != nil && k.health != policy.Ready && s.world.now > k.notifiedAt+s.world.cfg.Rules.DrainGrace-graceMargin {
		s.finish(a, policy.ConnectFailed, policy.Report{})
		return
	}
	a.written = true
	if a.request != nil {
		s.world.judge.checkDrain(s, a.request, k, "first byte sent")
	}
	s.world.transmit(a)
}

// connReset ends an attempt or a probe whose connection has been reset.
func (s *sidecar) connReset(a *attempt) {
	if a.written {
		s.finish(a, policy.Reset, policy.Report{})
	} else {
		s.finish(a, policy.ConnectFailed, policy.Report{})
	}
}

// finish ends an attempt or a probe, unless it has ended already, and releases its connection.
func (s *sidecar) finish(a *attempt, status policy.Status, report policy.Report) {
	if a.ended {
		return
	}
	a.ended = true
	if a.incarnation != s.incarnation { // the sidecar's process that started it has been killed
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

// releaseConn keeps the attempt's connection for reuse after a response of a ready server, and closes it otherwise.
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

// finishAttempt notifies the judge and the policy how an attempt of a request has ended.
func (s *sidecar) finishAttempt(a *attempt, status policy.Status, report policy.Report, took policy.Ms) {
	r := a.request
	r.attemptsInFlight--
	if r.current == a {
		r.current = nil
	}
	r.mayRun = r.mayRun || !status.NeverRan() && status != policy.OK
	s.world.judge.attemptEnded(a, status)
	if status == policy.OK && !r.answered {
		r.answered = true
		r.work = a.work
		s.world.responded(r, policy.StartAttempt)
	}
	if r.answered && r.attemptsInFlight == 0 {
		delete(s.inFlight, r.id)
	}
	s.step(policy.Event{
		Kind: policy.AttemptEnded, Request: r.id, Attempt: a.number, Server: a.machine.id, Status: status,
		Elapsed: took, Final: r.answered, Report: report,
	})
}

// respond sends the client the final response, a rejection or a failure, that the policy has decided on.
func (s *sidecar) respond(id policy.RequestID, kind policy.ActionKind) {
	r := s.inFlight[id]
	s.world.judge.finalResponse(s, id, r, kind)
	if r == nil || r.answered {
		return
	}
	r.answered = true
	if r.attemptsInFlight == 0 {
		delete(s.inFlight, id)
	}
	s.world.responded(r, kind)
}

// mix returns a seed, a hash of two values by the finalizer of SplitMix64.
func mix(a, b uint64) uint64 {
	x := a + b*0x9e3779b97f4a7c15 + math.MaxUint32
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
