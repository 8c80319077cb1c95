package policy

import (
	"fmt"
	"testing"

	"plankrouter/policy/internal/tokenbucket"
)

// A starting server gets more than the budget for its age only if it has just reported free capacity.
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
		for range 200 { // 100 per second, of which almost none are sent
			g.balancer.arrivalRate.Add(g.now)
		}
		s.slowStartBudget = tokenbucket.Bucket{Value: 0, At: g.now - 60}
		g.balancer.now = g.now
		if got := g.balancer.hasSlowStartBudget(s); got != c.want {
			t.Errorf("%s: %t, with %.2f requests left", name, got, s.slowStartBudget.Value)
		}
	}
}

// A starting server gets, in any overload window, no more than OverloadMultiple times its current capacity, relative to what
// warm servers get.
func TestStartingServerIsNotOverloaded(t *testing.T) {
	for _, perStep := range []int{1, 4} {
		g := newRig(t, testConfig(), 4)
		var toStarting []Ms
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
					rif = 0 // the starting server looks best
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
					toStarting = append(toStarting, g.now)
				} else if step >= 400 {
					warm++
				}
				g.endAttempt(id, 0, a.Server, OK)
			}
		}
		perWarm := float64(warm) / 3 / (g.now - started)
		for i := range toStarting {
			n := 0
			for j := i; j < len(toStarting) && toStarting[j]-toStarting[i] < 2000; j++ {
				n++
			}
			w := 0.3 + 0.7*(toStarting[i]-started)/9000
			if limit := 2.5 * w * 2000 * perWarm; w < 1 && float64(n) > limit {
				t.Fatalf("warm servers got %d, the starting one %d of %d requests: %d within 2 s at an age of %.0f ms, limit %.0f", warm, len(toStarting), id, n, toStarting[i]-started, limit)
			}
		}
		if len(toStarting) == 0 {
			t.Error("the starting server got no requests")
		}
	}
}

// If the instance and all servers have just started, the servers must neither be overloaded nor be left without requests.
func TestFleetOfStartingServers(t *testing.T) {
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
	for id := RequestID(1); id <= 200; id++ { // 2 s at 100 requests per second
		g.now += 10
		for s := ServerID(1); s <= 4; s++ {
			g.report(s, 0, 40)
		}
		if a := find(g.arrive(id, 0), StartAttempt); a != nil {
			sent++
			g.endAttempt(id, 0, a.Server, OK)
		}
	}
	if sent < 10 || sent > 100 {
		t.Errorf("%d of 200 requests sent to a fleet of starting servers", sent)
	}
}

// If a server restarts, many instances get the update almost at once. Together they must not send it a burst: each starts with a
// random fraction of one request as its budget, so that the sum stays near what a warm server gets.
func TestManyInstancesDoNotBurstToAStartingServer(t *testing.T) {
	const instances, servers = 400, 40
	for seed := range uint64(3) {
		toStarting := 0
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
			every := 500.0 // ms between requests; one in 20 instances has far more traffic
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
						rif = 0 // the starting server looks best
					}
					g.report(s, rif, 40)
				}
				if a := find(g.arrive(id, 0), StartAttempt); a != nil {
					if count {
						sent++
						if a.Server == 1 {
							toStarting++
						}
					}
					g.endAttempt(id, 0, a.Server, OK)
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
		limit := 2.5 * 0.3 * float64(sent) / servers // OverloadMultiple x StartCapacity x what a warm server gets in 2 s
		if float64(toStarting) > limit || toStarting == 0 {
			t.Errorf("seed %d: %d of %d requests to the starting server in 2 s, limit %.0f", seed, toStarting, sent, limit)
		}
	}
}

// Any number of instances share the same traffic, and all get the list update about a starting server at the same time. In a
// fully used fleet, the requests that they together send to that server in any OverloadWindow stay below three quarters of
// OverloadMultiple times its capacity at the start of the window. It gets at least half of what a warm server gets.
func TestStartingServerGetsItsShareFromAllInstances(t *testing.T) {
	const duration = 8000
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
			startedAt := Ms(5000)
			for n := range int((4000 + duration) * perMs) {
				now := 1000 + float64(n)/perMs
				if now-1/perMs < startedAt && now >= startedAt {
					for _, g := range fleet {
						g.now = now
						g.do(Event{Kind: EndpointsUpdated, Servers: []ServerInfo{{ID: 1, Health: Ready, StartedAt: startedAt}}})
					}
				}
				g := fleet[n*7919%instances]
				g.now = now
				if g.serve(RequestID(n)) == 1 && now >= startedAt {
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
				bears := (cfg.StartCapacity + (1-cfg.StartCapacity)*(at-startedAt)/cfg.WarmUpTime) * perMs / float64(servers) * cfg.OverloadWindow
				worst = max(worst, float64(in)/bears)
			}
			if worst > 0.75*cfg.OverloadMultiple {
				t.Errorf("%.2f times its capacity", worst)
			}
			if fair := perMs / float64(servers) * duration; float64(len(sent)) < 0.5*fair {
				t.Errorf("%d requests, a warm server gets %.0f", len(sent), fair)
			}
			t.Logf("%.2f times its capacity, %d requests", worst, len(sent))
		})
	}
}
