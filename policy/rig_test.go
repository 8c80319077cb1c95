package policy

import (
	"testing"
)

// testConfig returns a configuration with one class of each kind of idempotency.
func testConfig() Config {
	return Config{
		Classes: []Class{
			{LatencyObjective: 400, Deadline: 1000, PriorityWeight: 1, LateWeight: 0.5, Idempotency: Idempotent},
			{LatencyObjective: 400, Deadline: 1000, PriorityWeight: 2, LateWeight: 0.5, Idempotency: WithIdempotencyKey, KeyScope: ScopeCell, KeyWindow: 600},
			{LatencyObjective: 400, Deadline: 1000, PriorityWeight: 3, LateWeight: 0.5, Idempotency: NonIdempotent},
		},
		Instances: 2, Probes: true, Cancel: true, MaxAttempts: 3, Round: 5,
		StartCapacity: 0.3, WarmUpTime: 9000, OverloadMultiple: 2.5, OverloadWindow: 2000,
	}
}

// rig passes events to a Balancer; the test sets the time of each event in now.
type rig struct {
	test     testing.TB
	balancer *Balancer
	now      Ms
}

func newRig(t testing.TB, cfg Config, servers int) *rig {
	t.Helper()
	b, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	g := &rig{test: t, balancer: b, now: 1000}
	g.do(Event{Kind: Started})
	list := make([]ServerInfo, servers)
	for i := range list {
		list[i] = ServerInfo{ID: ServerID(i + 1), Health: Ready, Cell: i / 2}
	}
	g.do(Event{Kind: EndpointsUpdated, Complete: true, Servers: list})
	for i := range list {
		g.report(ServerID(i+1), 1, 40)
	}
	return g
}

func (r *rig) do(e Event) []Action { return r.balancer.Handle(r.now, &e, nil) }

func (r *rig) report(s ServerID, rif, latency float64) {
	r.do(probeResponse(s, rif, latency))
}

func (r *rig) arrive(id RequestID, class int) []Action {
	return r.respondToProbes(r.do(Event{Kind: RequestArrived, Request: id, Class: class, TimeLeft: 900}))
}

func (r *rig) endAttempt(id RequestID, attempt int, s ServerID, st Status) []Action {
	return r.respondToProbes(r.do(Event{
		Kind: AttemptEnded, Request: id, Attempt: attempt, Server: s, Status: st, Elapsed: 40,
		Final: st == OK,
	}))
}

// respondToProbes responds at once to the probes that a request waits for, with the loads already known, and returns all
// actions.
func (r *rig) respondToProbes(acts []Action) []Action {
	for i := 0; i < len(acts) && len(r.balancer.waitingForProbes) > 0; i++ {
		if s := r.balancer.byID[acts[i].Server]; acts[i].Kind == SendProbe {
			acts = append(acts, r.do(probeResponse(acts[i].Server, s.rif, r.balancer.serviceTime(s)))...)
		}
	}
	return acts
}

// serve simulates a request whose probes and attempts all succeed at once, and returns the server that it was sent to; 0 =
// none.
func (r *rig) serve(id RequestID) (to ServerID) {
	acts := r.do(Event{Kind: RequestArrived, Request: id, TimeLeft: 900})
	for ; len(acts) > 0; acts = acts[1:] {
		switch a := acts[0]; a.Kind {
		case SendProbe:
			acts = append(acts, r.do(probeResponse(a.Server, 1, 40))...)
		case StartAttempt:
			to = a.Server
			acts = append(acts, r.endAttempt(id, 0, a.Server, OK)...)
		}
	}
	return to
}

func find(acts []Action, k ActionKind) *Action {
	for i := range acts {
		if acts[i].Kind == k {
			return &acts[i]
		}
	}
	return nil
}

// reportAll simulates load reports of servers 1 to count: the idle server reports a RIF of 0, the others one of 3.
func (r *rig) reportAll(count, idle ServerID) {
	for s := ServerID(1); s <= count; s++ {
		rif := 3.0
		if s == idle {
			rif = 0
		}
		r.report(s, rif, 40)
	}
}

func (r *rig) tick() []Action { return r.do(Event{Kind: TimerFired, Timer: tickTimer}) }

// probeResponse returns the event of a successful probe that took 1 ms.
func probeResponse(s ServerID, rif, latency float64) Event {
	return Event{
		Kind: ProbeEnded, Server: s, Elapsed: 1,
		Report: Report{HasRIF: true, HasLatency: true, RIF: rif, Latency: latency},
	}
}

// readyServers returns a list of servers 1 to count.
func readyServers(count int) []ServerInfo {
	list := make([]ServerInfo, count)
	for i := range list {
		list[i] = ServerInfo{ID: ServerID(i + 1), Health: Ready}
	}
	return list
}
