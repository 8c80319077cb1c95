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

// sidecar hosts one policy, as internal/core does: it carries out the actions and tells what comes of them.
type sidecar struct {
	w         *world
	number    int
	zone      int
	life      int // of its process
	up        bool
	policy    Policy
	seeds     uint64
	known     map[policy.ServerID]*listed
	held      map[policy.RequestID]*request
	next      policy.RequestID
	toldUntil policy.Ms
	pending   []policy.Event
	actions   []policy.Action
	stepping  bool
}

// listed is what a sidecar has been told of a server, and its connections to it.
type listed struct {
	at        *machine
	health    policy.Health
	startedAt policy.Ms
	toldAt    policy.Ms // since when it is known as it is
	idle      []*conn
}

// request is one try of a client at a sidecar.
type request struct {
	id       policy.RequestID
	ask      *ask
	number   int // of the tries of ask
	left     policy.Ms
	attempts int
	out      int // attempts
	current  *attempt
	mayRun   bool    // an attempt that has ended may have run
	work     float64 // that went into its answer
	answered bool
	log      []step
}

// start begins a process, which knows the list as the directory has it, or had it before it went down.
func (sc *sidecar) start() {
	sc.up = true
	sc.seeds++
	sc.known, sc.held = map[policy.ServerID]*listed{}, map[policy.RequestID]*request{}
	seed := mix(mix(sc.w.cfg.Seed, sc.w.cfg.PolicySeed), uint64(sc.number)<<20|sc.seeds)
	sc.policy = sc.w.host(sc, seed)
	sc.step(policy.Event{Kind: policy.Started})
	sc.told(sc.w.dir.known(), true)
}

// kill ends the process. Servers work on at what they have.
func (sc *sidecar) kill() {
	sc.up = false
	sc.life++
	sc.pending = nil
	for _, m := range sc.w.machines { // in an order that does not change
		k := sc.known[m.id]
		if k == nil {
			continue
		}
		for _, c := range k.idle {
			c.close()
		}
	}
	for _, id := range slices.Sorted(maps.Keys(sc.held)) {
		r := sc.held[id]
		if a := r.current; a != nil {
			a.ended = true
			if a.conn != nil {
				a.conn.close()
			}
		}
		if !r.answered {
			r.answered = true
			sc.w.lost(r)
		}
	}
	sc.known, sc.held = nil, nil
}

// toldOf reports whether the sidecar has been told of the process that runs now.
func (sc *sidecar) toldOf(m *machine) bool {
	k := sc.known[m.id]
	return k != nil && k.startedAt == m.startedAt
}

// told takes the list, or changes to it.
func (sc *sidecar) told(lines []policy.ServerInfo, whole bool) {
	now := sc.w.now
	named := map[policy.ServerID]bool{}
	for _, l := range lines {
		named[l.ID] = true
		k := sc.known[l.ID]
		if k == nil {
			k = &listed{at: sc.w.byID[l.ID], health: l.Health, toldAt: now}
			sc.known[l.ID] = k
		}
		k.startedAt = l.StartedAt
		sc.setHealth(k, l.Health)
	}
	if whole {
		for _, m := range sc.w.machines {
			if k := sc.known[m.id]; k != nil && !named[m.id] {
				sc.setHealth(k, policy.Gone)
			}
		}
	}
	sc.step(policy.Event{Kind: policy.EndpointsUpdated, Complete: whole, Servers: lines})
}

func (sc *sidecar) setHealth(k *listed, h policy.Health) {
	if h == k.health {
		return
	}
	if k.health == policy.Ready || h == policy.Ready { // a drain's grace runs from its first news on
		k.toldAt = sc.w.now
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
func (sc *sidecar) take(a *ask, number int, left policy.Ms) *request {
	sc.next++
	r := &request{id: sc.next, ask: a, number: number, left: left}
	sc.held[r.id] = r
	sc.w.judge.arrived(r)
	sc.step(policy.Event{Kind: policy.RequestArrived, Request: r.id, Class: a.class, Tenant: a.tenant, TimeLeft: left})
	return r
}

// gone says that the client has left.
func (sc *sidecar) gone(r *request) {
	r.answered = true
	if r.out == 0 {
		delete(sc.held, r.id)
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
		if sc.w.clock != nil {
			before = sc.w.clock()
		}
		sc.actions = sc.policy.Handle(sc.w.now, &e, sc.actions[:0])
		if sc.w.clock != nil {
			sc.w.inPolicy += sc.w.clock() - before
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
		if r := sc.held[a.Request]; r != nil && r.current != nil && a.Attempt == r.current.number {
			sc.finish(r.current, policy.Cancelled, policy.Report{})
		}
	case policy.RejectRequest, policy.FailRequest:
		sc.answer(a.Request, a.Kind)
	case policy.SendProbe:
		if k := sc.known[a.Server]; k != nil {
			sc.w.judge.probed()
			sc.begin(&attempt{sc: sc, at: k.at}, probeTimeout)
		}
	case policy.SetTimer:
		life, handle := sc.life, a.Timer
		sc.w.after(a.After, func() {
			if sc.life == life {
				sc.step(policy.Event{Kind: policy.TimerFired, Timer: handle})
			}
		})
	case policy.Subscribe, policy.Log: // the list is pushed; the judge sees for itself
	}
}

func (sc *sidecar) send(a *policy.Action) {
	r, k := sc.held[a.Request], sc.known[a.Server]
	sc.w.judge.sent(sc, a, r)
	if r == nil || k == nil {
		sc.step(policy.Event{
			Kind: policy.AttemptEnded, Request: a.Request, Server: a.Server, Status: policy.NotSent,
			Final: true,
		})
		return
	}
	att := &attempt{sc: sc, at: k.at, req: r, number: r.attempts}
	r.attempts++
	r.out++
	r.current = att
	sc.begin(att, max(timeoutLead, a.After-timeoutLead))
}

// begin makes an attempt or a probe, on an idle connection if there is one, and gives it up after wait.
func (sc *sidecar) begin(a *attempt, wait policy.Ms) {
	w := sc.w
	a.life, a.began = sc.life, w.now
	w.after(wait, func() {
		switch {
		case a.ended:
		case a.written:
			sc.finish(a, policy.TimedOut, policy.Report{})
		default:
			sc.finish(a, policy.ConnectFailed, policy.Report{})
		}
	})
	k := sc.known[a.at.id]
	for n := len(k.idle) - 1; n >= 0; n-- {
		c := k.idle[n]
		k.idle[n] = nil
		k.idle = k.idle[:n]
		if !c.broken {
			a.conn, c.att = c, a
			sc.write(a)
			return
		}
	}
	w.connect(a)
}

// connected is the end of a handshake.
func (sc *sidecar) connected(a *attempt) {
	switch {
	case a.ended || a.life != sc.life:
		a.conn.close()
	case a.conn.broken:
		sc.finish(a, policy.ConnectFailed, policy.Report{})
	default:
		a.up = sc.w.now
		sc.write(a)
	}
}

// write sends a's bytes, unless its server has been draining for too long.
func (sc *sidecar) write(a *attempt) {
	k := sc.known[a.at.id]
	if a.req != nil && k.health != policy.Ready && sc.w.now > k.toldAt+sc.w.cfg.Rules.Grace-graceMargin {
		sc.finish(a, policy.ConnectFailed, policy.Report{})
		return
	}
	a.written = true
	if a.req != nil {
		sc.w.judge.drained(sc, a.req, k, "its first byte goes out")
	}
	sc.w.carry(a)
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
	if a.life != sc.life { // that process is gone
		if a.conn != nil {
			a.conn.close()
		}
		return
	}
	if c := a.conn; c != nil {
		c.att, c.idleAt = nil, sc.w.now
		k := sc.known[a.at.id]
		switch {
		case status != policy.OK && status != policy.Failed && status != policy.Declined || k.health != policy.Ready:
			c.close()
		case !c.broken:
			k.idle = append(k.idle, c)
		}
	}
	if sc.w.cfg.Server.DropsCancelled && a.written && (status == policy.Cancelled || status == policy.TimedOut) {
		m, life := a.at, a.at.life
		sc.w.after(sc.w.delay(sc.zone, m.zone), func() { m.drop(a, life) })
	}
	took := sc.w.now - a.began
	if a.req == nil {
		sc.step(policy.Event{
			Kind: policy.ProbeEnded, Server: a.at.id, Status: status, Elapsed: took,
			ConnectTime: max(0, a.up-a.began), Report: report,
		})
		return
	}
	r := a.req
	r.out--
	if r.current == a {
		r.current = nil
	}
	r.mayRun = r.mayRun || !status.NeverRan() && status != policy.OK
	sc.w.judge.ended(a, status)
	if status == policy.OK && !r.answered {
		r.answered = true
		r.work = a.work
		sc.w.answered(r, policy.StartAttempt)
	}
	if r.answered && r.out == 0 {
		delete(sc.held, r.id)
	}
	sc.step(policy.Event{
		Kind: policy.AttemptEnded, Request: r.id, Attempt: a.number, Server: a.at.id, Status: status,
		Elapsed: took, Final: r.answered, Report: report,
	})
}

// answer gives the policy's own final answer.
func (sc *sidecar) answer(id policy.RequestID, kind policy.ActionKind) {
	r := sc.held[id]
	sc.w.judge.answer(sc, id, r, kind)
	if r == nil || r.answered {
		return
	}
	r.answered = true
	if r.out == 0 {
		delete(sc.held, id)
	}
	sc.w.answered(r, kind)
}

// mix is a hash for seeds: SplitMix64's finish.
func mix(a, b uint64) uint64 {
	x := a + b*0x9e3779b97f4a7c15 + math.MaxUint32
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
