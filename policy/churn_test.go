package policy

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// retained counts the entries in a Balancer's collections, and its attempts in flight.
type retained struct{ Servers, ByID, Requests, Waiting, Pool, RIFs, Tallies, InFlight int }

func (b *Balancer) retained() retained {
	counts := retained{
		Servers: len(b.servers), ByID: len(b.byID), Requests: len(b.requests), Waiting: len(b.waitingForProbes),
		Pool: b.pool.Len(), RIFs: b.recentRIFs.Len(), InFlight: b.inFlight,
	}
	for _, s := range b.servers {
		counts.Tallies += len(s.outcomesByTenant)
	}
	return counts
}

// Guards against leaks: 20,000 servers are added and removed, and as many requests end with every status, some after their
// server is gone. In the end the Balancer must retain no more than at the start.
func TestStateDoesNotGrow(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.ProbeCost, cfg.Instances = []Tenant{{Quota: 10}, {Quota: 10}}, 0.08, 300
	g := newRig(t, cfg, 12)
	runFrom := func(from int) {
		for i := from; i < from+2000; i++ {
			g.now += 70
			list := []ServerInfo{{ID: ServerID(i%12 + 1 + i/12*12), Health: Ready, StartedAt: g.now}}
			if i >= 12 {
				list = append(list, ServerInfo{ID: ServerID((i-12)%12 + 1 + (i-12)/12*12), Health: Gone})
			}
			g.do(Event{Kind: EndpointsUpdated, Servers: list})
			id := RequestID(i)
			acts := g.do(Event{Kind: RequestArrived, Request: id, Class: i % 3, Tenant: i % 2, TimeLeft: 900})
			var open []Event // attempts that end after their server may be gone
			for ; len(acts) > 0; acts = acts[1:] {
				switch a := acts[0]; a.Kind {
				case SendProbe:
					e := Event{
						Kind: ProbeEnded, Server: a.Server, Elapsed: 1, Status: []Status{OK, OK, TimedOut, ConnectFailed}[i%4],
						Report: Report{HasRIF: true, HasLatency: true, RIF: 1, Latency: 40},
					}
					acts = append(acts, g.do(e)...)
				case StartAttempt:
					if i%5 == 0 {
						open = append(open, Event{Kind: AttemptEnded, Request: a.Request, Server: a.Server, Status: OK, Final: true})
						continue
					}
					status := []Status{OK, Failed, Reset, ConnectFailed, Declined, TimedOut}[i%6]
					acts = append(acts, g.do(Event{
						Kind: AttemptEnded, Request: a.Request, Server: a.Server, Status: status, Elapsed: 40,
						Final: status == OK,
					})...)
				}
			}
			if len(open) > 0 {
				g.do(Event{Kind: ClientGone, Request: id})
				g.do(Event{Kind: EndpointsUpdated, Servers: []ServerInfo{{ID: open[0].Server, Health: Gone}}})
				g.do(open[0])
			}
			g.do(Event{Kind: TimerFired, Timer: probeWaitTimer + uint64(id)})
			g.do(Event{Kind: TimerFired, Timer: uint64(id)})
			g.tick()
		}
		g.now += 5000
		var list []ServerInfo
		for i := range 12 {
			list = append(list, ServerInfo{ID: ServerID(1e6 + i), Health: Ready})
		}
		g.do(Event{Kind: EndpointsUpdated, Complete: true, Servers: list})
		g.tick()
	}
	runFrom(0)
	before := g.balancer.retained()
	for k := range 9 {
		runFrom(2000 * (k + 1))
	}
	if diff := cmp.Diff(before, g.balancer.retained()); diff != "" {
		t.Error(diff)
	}
	if before.Servers != 12 || before.Requests != 0 || before.InFlight != 0 {
		t.Errorf("%+v", before)
	}
}
