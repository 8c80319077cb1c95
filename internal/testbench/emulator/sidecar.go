package emulator

import (
	"maps"
	"math"
	"plankrouter/policy"
	"slices"
	"time"
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
func (sc *sidecar) start() {
	sc.running = true
	sc.seeds++
	sc.known, sc.inFlight = map[policy.ServerID]*knownServer{}, map[policy.RequestID]*request{}
	seed := mix(mix(sc.world.cfg.Seed, sc.world.cfg.PolicySeed), uint64(sc.number)<<20|sc.seeds)
	sc.policy = sc.world.host(sc, seed)
	sc.step(policy.Event{Kind: policy.Started})
	sc.endpointsUpdated(sc.world.discovery.known(), true)
}

// kill ends the process. Servers work on at what they have.
func (sc *sidecar) kill() {
	sc.running = false
	sc.incarnation++
	sc.pending = nil
	for _, m := range sc.world.machines { // in an order that does not change
		k := sc.known[m.id]
		if k == nil {
			continue
		}
		for _, c := range k.idle {
			c.close()
		}
	}
	for _, id := range slices.Sorted(maps.Keys(sc.inFlight)) {
		r := sc.inFlight[id]
		if a := r.current; a != nil {
			a.ended = true
			if a.conn != nil {
				a.conn.close()
			}
		}
		if !r.answered {
			r.answered = true
			sc.world.lost(r)
		}
	}
	sc.known, sc.inFlight = nil, nil
}

// knowsProcess reports whether the sidecar has been notified of the process that runs now.
func (sc *sidecar) knowsProcess(m *machine) bool {
	k := sc.known[m.id]
	return k != nil && k.startedAt == m.startedAt
}

// endpointsUpdated takes the list, or changes to it.
func (sc *sidecar) endpointsUpdated(changes []policy.ServerInfo, complete bool) {
	now := sc.world.now
	named := map[policy.ServerID]bool{}
	for _, l := range changes {
		named[l.ID] = true
		k := sc.known[l.ID]
		if k == nil {
			k = &knownServer{machine: sc.world.byID[l.ID], health: l.Health, notifiedAt: now}
			sc.known[l.ID] = k
		}
		k.startedAt = l.StartedAt
		sc.setHealth(k, l.Health)
	}
	if complete {
		for _, m := range sc.world.machines {
			if k := sc.known[m.id]; k != nil && !named[m.id] {
				sc.setHealth(k, policy.Gone)
			}
		}
	}
	sc.step(policy.Event{Kind: policy.EndpointsUpdated, Complete: complete, Servers: changes})
}

func (sc *sidecar) setHealth(k *knownServer, h policy.Health) {
	if h == k.health {
		return
	}
	if k.health == policy.Ready || h == policy.Ready { // a drain's grace runs from its first news on
		k.notifiedAt = sc.world.now
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
func (sc *sidecar) take(a *clientRequest, number int, left policy.Ms) *request {
	sc.nextID++
	r := &request{id: sc.nextID, origin: a, number: number, timeLeft: left}
	sc.inFlight[r.id] = r
	sc.world.judge.arrived(r)
	sc.step(policy.Event{Kind: policy.RequestArrived, Request: r.id, Class: a.class, Tenant: a.tenant, TimeLeft: left})
	return r
}

// gone ends a request whose client has left.
func (sc *sidecar) gone(r *request) {
	r.answered = true
	if r.attemptsInFlight == 0 {
		delete(sc.inFlight, r.id)
	}
	sc.step(policy.Event{Kind: policy.ClientGone, Request: r.id})
}

// step gives the policy an event and does what it says. What ends at once by that waits for the rest.
func (sc *sidecar) step(e policy.Event) {
	sc.pending = append(sc.pending, e)
	if sc.stepping {
		return
	}
	sc.stepping = true
	for i := 0; i < len(sc.pending); i++ {
		e := sc.pending[i]
		var before time.Duration
		if sc.world.clock != nil {
			before = sc.world.clock()
		}
		sc.actions = sc.policy.Handle(sc.world.now, &e, sc.actions[:0])
		if sc.world.clock != nil {
			sc.world.inPolicy += sc.world.clock() - before
		}
		for j := range sc.actions {
			sc.do(&sc.actions[j])
		}
	}
	sc.pending = sc.pending[:0]
	sc.stepping = false
}

func (sc *sidecar) do(a *policy.Action) {
	switch a.Kind {
	case policy.StartAttempt:
		sc.send(a)
	case policy.CancelAttempt:
		if r := sc.inFlight[a.Request]; r != nil && r.current != nil && a.Attempt == r.current.number {
			sc.finish(r.current, policy.Cancelled, policy.Report{})
		}
	case policy.RejectRequest, policy.FailRequest:
		sc.answer(a.Request, a.Kind)
	case policy.SendProbe:
		if k := sc.known[a.Server]; k != nil {
			sc.world.judge.probed()
			sc.begin(&attempt{sidecar: sc, machine: k.machine}, probeTimeout)
		}
	case policy.SetTimer:
		incarnation, handle := sc.incarnation, a.Timer
		sc.world.after(a.After, func() {
			if sc.incarnation == incarnation {
				sc.step(policy.Event{Kind: policy.TimerFired, Timer: handle})
			}
		})
	case policy.Subscribe, policy.Log: // the list is pushed; the judge sees for itself
	}
}

func (sc *sidecar) send(a *policy.Action) {
	r, k := sc.inFlight[a.Request], sc.known[a.Server]
	sc.world.judge.sent(sc, a, r)
	if r == nil || k == nil {
		sc.step(policy.Event{
			Kind: policy.AttemptEnded, Request: a.Request, Server: a.Server, Status: policy.NotSent,
			Final: true,
		})
		return
	}
	att := &attempt{sidecar: sc, machine: k.machine, request: r, number: r.attempts}
	r.attempts++
	r.attemptsInFlight++
	r.current = att
	sc.begin(att, max(timeoutLead, a.After-timeoutLead))
}

// begin makes an attempt or a probe, on an idle connection if there is one, and gives it up after wait.
func (sc *sidecar) begin(a *attempt, wait policy.Ms) {
	w := sc.world
	a.incarnation, a.startedAt = sc.incarnation, w.now
	w.after(wait, func() {
		switch {
		case a.ended:
		case a.written:
			sc.finish(a, policy.TimedOut, policy.Report{})
		default:
			sc.finish(a, policy.ConnectFailed, policy.Report{})
		}
	})
	k := sc.known[a.machine.id]
	for n := len(k.idle) - 1; n >= 0; n-- {
		c := k.idle[n]
		k.idle[n] = nil
		k.idle = k.idle[:n]
		if !c.closed {
			a.conn, c.attempt = c, a
			sc.write(a)
			return
		}
	}
	w.connect(a)
}

// connected is the end of a handshake.
func (sc *sidecar) connected(a *attempt) {
	switch {
	case a.ended || a.incarnation != sc.incarnation:
		a.conn.close()
	case a.conn.closed:
		sc.finish(a, policy.ConnectFailed, policy.Report{})
	default:
		a.connectedAt = sc.world.now
		sc.write(a)
	}
}

// write sends a's bytes, unless its server has been draining for too long.
func (sc *sidecar) write(a *attempt) {
	k := sc.known[a.machine.id]
	if a.request != nil && k.health != policy.Ready && sc.world.now > k.notifiedAt+sc.world.cfg.Rules.DrainGrace-graceMargin {
		sc.finish(a, policy.ConnectFailed, policy.Report{})
		return
	}
	a.written = true
	if a.request != nil {
		sc.world.judge.drained(sc, a.request, k, "its first byte goes out")
	}
	sc.world.carry(a)
}

// broke is a reset.
func (sc *sidecar) broke(a *attempt) {
	if a.written {
		sc.finish(a, policy.Reset, policy.Report{})
	} else {
		sc.finish(a, policy.ConnectFailed, policy.Report{})
	}
}

// finish ends an attempt or a probe, once, and keeps its connection where it can carry another.
func (sc *sidecar) finish(a *attempt, status policy.Status, report policy.Report) {
	if a.ended {
		return
	}
	a.ended = true
	if a.incarnation != sc.incarnation { // that process is gone
		if a.conn != nil {
			a.conn.close()
		}
		return
	}
	sc.releaseConn(a, status)
	if sc.world.cfg.Server.DropsCancelled && a.written && (status == policy.Cancelled || status == policy.TimedOut) {
		m, incarnation := a.machine, a.machine.incarnation
		sc.world.after(sc.world.delay(sc.zone, m.zone), func() { m.dropQueued(a, incarnation) })
	}
	took := sc.world.now - a.startedAt
	if a.request == nil {
		sc.step(policy.Event{
			Kind: policy.ProbeEnded, Server: a.machine.id, Status: status, Elapsed: took,
			ConnectTime: max(0, a.connectedAt-a.startedAt), Report: report,
		})
		return
	}
	sc.finishAttempt(a, status, report, took)
}

// releaseConn keeps the attempt's connection if it can carry another one.
func (sc *sidecar) releaseConn(a *attempt, status policy.Status) {
	c := a.conn
	if c == nil {
		return
	}
	c.attempt, c.idleAt = nil, sc.world.now
	k := sc.known[a.machine.id]
	responded := status == policy.OK || status == policy.Failed || status == policy.Declined
	switch {
	case !responded || k.health != policy.Ready:
		c.close()
	case !c.closed:
		k.idle = append(k.idle, c)
	}
}

// finishAttempt reports to the judge and the policy how the attempt at a request has ended.
func (sc *sidecar) finishAttempt(a *attempt, status policy.Status, report policy.Report, took policy.Ms) {
	r := a.request
	r.attemptsInFlight--
	if r.current == a {
		r.current = nil
	}
	r.mayRun = r.mayRun || !status.NeverRan() && status != policy.OK
	sc.world.judge.ended(a, status)
	if status == policy.OK && !r.answered {
		r.answered = true
		r.work = a.work
		sc.world.answered(r, policy.StartAttempt)
	}
	if r.answered && r.attemptsInFlight == 0 {
		delete(sc.inFlight, r.id)
	}
	sc.step(policy.Event{
		Kind: policy.AttemptEnded, Request: r.id, Attempt: a.number, Server: a.machine.id, Status: status,
		Elapsed: took, Final: r.answered, Report: report,
	})
}

// answer gives the policy's own final answer.
func (sc *sidecar) answer(id policy.RequestID, kind policy.ActionKind) {
	r := sc.inFlight[id]
	sc.world.judge.answer(sc, id, r, kind)
	if r == nil || r.answered {
		return
	}
	r.answered = true
	if r.attemptsInFlight == 0 {
		delete(sc.inFlight, id)
	}
	sc.world.answered(r, kind)
}

// mix is a hash for seeds: SplitMix64's finish.
func mix(a, b uint64) uint64 {
	x := a + b*0x9e3779b97f4a7c15 + math.MaxUint32
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
