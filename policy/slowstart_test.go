package policy

import (
	"fmt"
	"testing"

	"plankrouter/policy/internal/tokenbucket"
)

// A cold server gets more than its budget by the clock only where it has just reported that it has capacity.
func TestReportedCapacityRaisesSlowStartBudget(t *testing.T) {
	for name, c := range map[string]struct {
		rif  float64
		age  Ms
		want bool
	}{
		"has capacity":           {0, 0, true},
		"is busy":                {5, 0, false},
		"had capacity, long ago": {0, maxSlowStartReportAge + 1, false},
	} {
		g := newRig(t, testConfig(), 2)
		s := g.balancer.byID[1]
		s.info.StartedAt, s.rif, s.reportedAt = g.now, c.rif, g.now-c.age
		for range 200 { // 100 a second, of which next to none are sent
			g.balancer.arrivalRate.Add(g.now)
		}
		s.slowStartBudget = tokenbucket.Bucket{Value: 0, At: g.now - 60}
		g.balancer.now = g.now
		if got := g.balancer.hasSlowStartBudget(s); got != c.want {
			t.Errorf("%s: %t, with %.2f requests left", name, got, s.slowStartBudget.Value)
		}
	}
}

// A cold server gets, over any overload window, no more than its share of what a warm one gets.
func TestColdServerIsNotOverloaded(t *testing.T) {
	for _, perStep := range []int{1, 4} {
		g := newRig(t, testConfig(), 4)
		var cold []Ms
		warm := 0
		id := RequestID(0)
		started := 0.0
		for step := range 1200 {
			g.now += 10
			if step == 400 {
				started = g.now
				g.do(Event{Kind: EndpointsUpdated, Servers: []ServerInfo{{ID: 4, Health: Ready, Cell: 1, StartedAt: g.now}}})
			}
			for s := ServerID(1); s <= 4; s++ {
				rif := 4.0
				if s == 4 {
					rif = 0 // the cold one looks best
				}
				g.report(s, rif, 40)
			}
			for range perStep {
				id++
				a := find(g.arrive(id, 0), StartAttempt)
				if a == nil {
					continue
				}
				if step >= 400 && a.Server == 4 {
					cold = append(cold, g.now)
				} else if step >= 400 {
					warm++
				}
				g.done(id, 0, a.Server, OK)
			}
		}
		perWarm := float64(warm) / 3 / (g.now - started)
		for i := range cold {
			n := 0
			for j := i; j < len(cold) && cold[j]-cold[i] < 2000; j++ {
				n++
			}
			w := 0.3 + 0.7*(cold[i]-started)/9000
			if limit := 2.5 * w * 2000 * perWarm; w < 1 && float64(n) > limit {
				t.Fatalf("(warm %d cold %d of %d) %d sent within 2 s at %.0f ms of age, limit %.0f", warm, len(cold), id, n, cold[i]-started, limit)
			}
		}
		if len(cold) == 0 {
			t.Error("the cold server got nothing at all")
		}
	}
}

// An instance that starts with a fleet that has just started must neither starve nor overload it.
func TestFleetOfColdServers(t *testing.T) {
	b, err := New(testConfig(), 5)
	if err != nil {
		t.Fatal(err)
	}
	g := &rig{test: t, balancer: b, now: 10000}
	g.do(Event{Kind: Started})
	var list []ServerInfo
	for id := ServerID(1); id <= 4; id++ {
		list = append(list, ServerInfo{ID: id, Health: Ready, StartedAt: g.now - 100})
	}
	g.do(Event{Kind: EndpointsUpdated, Complete: true, Servers: list})
	sent := 0
	for id := RequestID(1); id <= 200; id++ { // 2 s at 100 requests a second
		g.now += 10
		for s := ServerID(1); s <= 4; s++ {
			g.report(s, 0, 40)
		}
		if a := find(g.arrive(id, 0), StartAttempt); a != nil {
			sent++
			g.done(id, 0, a.Server, OK)
		}
	}
	if sent < 10 || sent > 100 {
		t.Errorf("%d of 200 requests sent to a cold fleet", sent)
	}
}

// When a server returns, many instances learn of it within moments. Together they must not send it a burst: each starts with a
// random part of one request, and the sum over any second stays near what a warm server gets.
func TestManyInstancesDoNotBurstToAColdServer(t *testing.T) {
	const instances, servers = 400, 40
	for seed := range uint64(3) {
		cold := 0
		sent := 0
		for i := range uint64(instances) {
			cfg := testConfig()
			cfg.Instances = instances
			b, err := New(cfg, seed*1000+i)
			if err != nil {
				t.Fatal(err)
			}
			g := &rig{test: t, balancer: b, now: 1e6}
			var list []ServerInfo
			for id := ServerID(1); id <= servers; id++ {
				list = append(list, ServerInfo{ID: id, Health: Ready})
			}
			g.do(Event{Kind: EndpointsUpdated, Complete: true, Servers: list})
			every := 500.0 // ms between requests; a few instances carry far more
			if i%20 == 0 {
				every = 50
			}
			id := RequestID(0)
			step := func(count bool) {
				id++
				g.now += every
				for s := ServerID(servers); s >= 1; s-- {
					rif := 3.0
					if s == 1 {
						rif = 0 // the one that starts looks best
					}
					g.report(s, rif, 40)
				}
				if a := find(g.arrive(id, 0), StartAttempt); a != nil {
					if count {
						sent++
						if a.Server == 1 {
							cold++
						}
					}
					g.done(id, 0, a.Server, OK)
				}
			}
			for g.now < 1e6+4000 {
				step(false)
			}
			g.do(Event{Kind: EndpointsUpdated, Servers: []ServerInfo{{ID: 1, Health: Ready, StartedAt: g.now}}})
			for end := g.now + 2000; g.now < end; {
				step(true)
			}
		}
		limit := 2.5 * 0.3 * float64(sent) / servers // multiple x cold share x a warm server's part of 2 s
		if float64(cold) > limit || cold == 0 {
			t.Errorf("seed %d: %d of %d requests to the cold server in 2 s, limit %.0f", seed, cold, sent, limit)
		}
	}
}

// Any number of instances share the same traffic, and all learn of a cold server in the same moment. What they send it together,
// in any OverloadWindow, stays under three quarters of OverloadMultiple times what it must bear when the window begins, where the
// fleet's servers are used to the full; and it gets half of a warm server's part at least.
func TestColdServerGetsItsShareFromAllInstances(t *testing.T) {
	const lasts = 8000
	for _, c := range [][2]int{{1, 30}, {4, 30}, {80, 30}, {300, 200}, {2000, 30}, {5000, 200}} {
		instances, servers := c[0], c[1]
		perMs := 0.015 * float64(servers)
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			cfg := testConfig()
			cfg.Instances, cfg.ProbeCost, cfg.OverloadMultiple, cfg.OverloadWindow, cfg.Round = instances, 0.08, 4, 3000, 1
			fleet := make([]*rig, instances)
			for i := range fleet {
				b, err := New(cfg, uint64(i))
				if err != nil {
					t.Fatal(err)
				}
				fleet[i] = &rig{test: t, balancer: b, now: 1000}
				list := readyServers(servers)
				fleet[i].do(Event{Kind: EndpointsUpdated, Complete: true, Servers: list})
			}
			var sent []Ms
			born := Ms(5000)
			for n := range int((4000 + lasts) * perMs) {
				now := 1000 + float64(n)/perMs
				if now-1/perMs < born && now >= born {
					for _, g := range fleet {
						g.now = now
						g.do(Event{Kind: EndpointsUpdated, Servers: []ServerInfo{{ID: 1, Health: Ready, StartedAt: born}}})
					}
				}
				g := fleet[n*7919%instances]
				g.now = now
				if g.pass(RequestID(n)) == 1 && now >= born {
					sent = append(sent, now)
				}
			}
			worst := 0.0
			for i, at := range sent {
				in := 0
				for _, later := range sent[i:] {
					if later < at+cfg.OverloadWindow {
						in++
					}
				}
				bears := (cfg.StartCapacity + (1-cfg.StartCapacity)*(at-born)/cfg.WarmUpTime) * perMs / float64(servers) * cfg.OverloadWindow
				worst = max(worst, float64(in)/bears)
			}
			if worst > 0.75*cfg.OverloadMultiple {
				t.Errorf("%.2f times what it must bear", worst)
			}
			if fair := perMs / float64(servers) * lasts; float64(len(sent)) < 0.5*fair {
				t.Errorf("%d requests, %.0f is a warm server's part", len(sent), fair)
			}
			t.Logf("%.2f times what it must bear, %d requests", worst, len(sent))
		})
	}
}
