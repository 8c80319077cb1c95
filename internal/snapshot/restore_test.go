package snapshot

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"plankrouter/internal/config"
	"plankrouter/internal/endpoints"
)

// smallFleet returns a snapshot with one serving server, one in slow start, one draining and one deleted. The policy's clock
// is 10 s behind the wall clock.
func smallFleet() *Snapshot {
	at, s := unixMs(testTakenAt), largeFleet(3, 1)
	s.Members = append(s.Members, Member{ID: "gone", Phase: endpoints.Deleted, PhaseSince: at - 3600e3})
	s.Members[0].ID, s.Members[1].ID, s.Members[2].ID = "serves", "warms", "drains"
	s.Members[1].StartedAt, s.Members[2].Phase, s.Members[2].PhaseSince = at-500, endpoints.Draining, at-1000
	l := &s.Learned
	l.Now -= 10e3
	for i := range l.Servers {
		p := &l.Servers[i]
		p.Name, p.StartedAt, p.ReportedAt, p.ErrorRate = s.Members[i].ID, s.Members[i].StartedAt, l.Now-100, 0.5
		p.Outcomes = []Tally{{Tenant: 0, Failures: 1, At: l.Now}, {Tenant: 1, Failures: 1, At: l.Now - 8e3}}
	}
	l.Fit.FittedAt, l.Tenants[0].At, l.Arrivals.At, l.Sends.At = l.Now-50, 0, l.Now, l.Now
	return s
}

func testRules() ValidityRules {
	r := DefaultValidityRules()
	r.Program, r.Deployment, r.Discovery, r.Classes, r.Tenants = "n1", "d", "127.0.0.1:8500", 2, 1
	return r
}

// describe lists what is left of smallFleet: the members, the parts, and for each server whether its latency and its reported
// error rate are left and the number of tallies.
func describe(s *Snapshot) (out string) {
	for _, m := range s.Members {
		out += m.ID + " "
	}
	l := &s.Learned
	for i, present := range []bool{
		s.Revision > 0, l.FleetLatency > 0, l.Fit.SumLoadSquared > 0, len(l.Tenants) > 0,
		l.Arrivals.Value > 0 && l.Sends.Value > 0, len(s.Keepalive) > 0,
	} {
		if present {
			out += strings.Fields("list fleet fit tenants rates reuse")[i] + " "
		}
	}
	for _, p := range l.Servers {
		out += fmt.Sprintf("%s:%t,%t,%d ", p.Name[:1], p.Latency > 0 && p.RoundTrip > 0, p.ErrorRate > 0, len(p.Outcomes))
	}
	return strings.NewReplacer("true,", "+", "false,", "-").Replace(strings.TrimSpace(out))
}

func TestDropStale(t *testing.T) {
	const all, learned = "serves warms drains gone list", " fleet fit tenants rates reuse"
	for _, c := range []struct {
		what string
		age  time.Duration
		set  func(*Snapshot, *ValidityRules)
		want string
		why  string // expected part of the summary
	}{
		{"no delay", 0, nil, all + learned + " s:++2 w:++2 d:++2", ""},
		{"clock slightly behind", -time.Second, nil, all + learned + " s:++2 w:++2 d:++2", ""},
		{"old outcomes", 10 * time.Second, nil, all + learned + " s:++1 w:++1 d:++1", `outcomes=3 why="faded away"`},
		{"after seconds", 20 * time.Second, nil, all + " fleet fit reuse s:+-0 w:+-0 d:+-0", `tenants=1 why="too old"`},
		{"after minutes", 3 * time.Minute, nil, all + " fleet reuse s:+-0 w:+-0 d:+-0", `dropped_fit=1 why="too old"`},
		{"after more minutes", 6 * time.Minute, nil, all, `dropped_service_time=3 why="too old"`},
		{"after a day", 25 * time.Hour, nil, "drains gone", `dropped_member=2 why="too old"`},
		{"after a week", 8 * 24 * time.Hour, nil, "", `dropped_drain=2 why="too old"`},
		{"from the future", -time.Minute, nil, "drains gone", `dropped_learned=1 why="from the future"`},
		{
			"another program", 0, func(_ *Snapshot, r *ValidityRules) { r.Program = "" }, "drains gone",
			`dropped_member=2 why="another program"`,
		},
		{"another deployment", 0, func(_ *Snapshot, r *ValidityRules) { r.Deployment = "" }, "drains gone", ""},
		{
			"another deployment and discovery service", 0, func(_ *Snapshot, r *ValidityRules) { r.Deployment, r.Discovery = "", "" }, "",
			`dropped_drain=2 why="another deployment"`,
		},
		{
			"another discovery service", 0, func(_ *Snapshot, r *ValidityRules) { r.Discovery = "" }, "drains gone fleet fit tenants rates",
			`dropped_server=3 why="another discovery service"`,
		},
		{
			"fewer tenants and classes", 0, func(_ *Snapshot, r *ValidityRules) { r.Tenants, r.Classes = 0, 1 },
			all + " fleet rates reuse s:++1 w:++1 d:++1", `dropped_outcomes=3 why="no such position"`,
		},
		{
			"restarted server", 0, func(s *Snapshot, _ *ValidityRules) { s.Members[0].StartedAt++; s.Learned.Servers[2].Name = "x" },
			all + learned + " w:++2", `dropped_server=1 why="another process" dropped_server=1 why="not listed"`,
		},
	} {
		s, r := smallFleet(), testRules()
		if c.set != nil {
			c.set(s, &r)
		}
		before, now := must(Encode(s, 0)), testTakenAt.Add(c.age)
		got, why := DropStale(s, now, r)
		checkEqual(t, c.what, c.want, describe(got))
		if text := Summary(why); !strings.Contains(text, c.why) {
			t.Errorf("%s: %s", c.what, text)
		}
		checkEqual(t, c.what+": argument modified", before, must(Encode(s, 0)))
		for _, m := range got.Members {
			if previous := s.List().byID()[m.ID]; m.StartedAt != previous.StartedAt || m.PhaseSince > min(previous.PhaseSince, unixMs(now)) {
				t.Errorf("%s: %+v was %+v", c.what, m, previous)
			}
		}
		for _, p := range got.Learned.Servers { // converted to the wall clock, of the same age, and not later than now
			checkEqual(t, c.what, min(unixMs(testTakenAt)-100, unixMs(now)), p.ReportedAt)
			for _, e := range p.Outcomes {
				checkEqual(t, c.what, min(unixMs(testTakenAt)-8e3*float64(e.Tenant), unixMs(now)), e.At)
			}
		}
	}
}

// parseList parses "a7 1+52": discovery service a, revision 7; server 1, serving (~ draining, x deleted), started at 5, phase
// listed since 2.
func parseList(text string) (l List) {
	phases := map[byte]string{'+': endpoints.Serving, '~': endpoints.Draining, 'x': endpoints.Deleted}
	for i, w := range strings.Fields(text) {
		if i == 0 {
			l.Discovery, l.Revision = w[:1], uint64(w[1]-'0')
			continue
		}
		l.Members = append(l.Members, Member{
			ID: w[:1], Phase: phases[w[1]], StartedAt: float64(w[2] - '0'),
			PhaseSince: float64(w[3] - '0'),
		})
	}
	return l
}

func TestMerge(t *testing.T) {
	for _, c := range []struct{ what, snap, known, want, dropped string }{
		{"newer snapshot", "a7 1+09 2x09", "a6 2+01 1~01 3+01", "a7 1+09 2x09", "a newer list"},
		{"same revision", "a7 1~59", "a7 1~51", "a7 1~59", ""},
		{"empty known list", "a0 1+59", "a3", "a0 1+59", ""},
		{"newer known list", "a7 1+59 4+09", "a8 1~51 2+01", "a8 1~51 2+01", "a newer list"},
		{"draining persists in a newer list", "a7 1~59", "a8 1+51", "a0 1~59", ""},
		{"deleted persists in a newer list", "a7 1x59", "a8 1~51", "a0 1x59", ""},
		{"not for a new process", "a7 1~59", "a8 1+91", "a8 1+91", ""},
		{"not for a new id", "a7 1x59", "a8 2+51", "a8 2+51 1x59", ""},
		{"draining server not listed", "a7 1~59", "a8 2+51", "a0 2+51 1~59", ""},
		{"deleted in the newer list", "a7 1~59", "a8 1x51", "a8 1x51", ""},
		{"another discovery service", "a9 1~59 2+59 3+59", "b2 1+51 2+01", "b0 1~59 2+59", "another discovery service"},
		{"another discovery service, empty list", "a9 1~59 2+59", "b0", "b0 1~59", "another discovery service"},
	} {
		got, dropped := Merge(parseList(c.snap), parseList(c.known))
		checkEqual(t, c.what, parseList(c.want), got)
		if len(dropped) != min(len(c.dropped), 1) || len(dropped) > 0 && dropped[0].Reason != Reason(c.dropped) {
			t.Errorf("%s: %v", c.what, dropped)
		}
	}
}

func TestRestore(t *testing.T) {
	known := FromEndpoints(endpoints.List{Revision: 50, Endpoints: []endpoints.Endpoint{
		{ID: "serves", Address: "127.0.0.1:1", Phase: endpoints.Serving, StartedAt: unixMs(testTakenAt) + 1},
		{ID: "drains", Address: "127.0.0.1:2", Phase: endpoints.Serving},
	}}, "127.0.0.1:8500", testTakenAt)
	none, _ := Restore(nil, known, testTakenAt, testRules())
	checkEqual(t, "without a snapshot", known, none.List)
	got, _ := Restore(smallFleet(), known, testTakenAt.Add(time.Second), testRules())
	checkEqual(t, "learned", "d:++2", describe(&Snapshot{Learned: Learned{Servers: got.Learned.Servers}}))
	l := got.List.ToEndpoints()
	checkEqual(t, "list", []string{endpoints.Serving, endpoints.Draining, endpoints.Deleted, "0"}, []string{
		l.Endpoints[0].Phase,
		l.Endpoints[1].Phase, l.Endpoints[2].Phase, fmt.Sprint(l.Revision),
	})
}

func TestFingerprint(t *testing.T) {
	a := config.Settings{Classes: []config.Class{{Name: "ab"}, {Name: "c"}}, Dcs: []string{"z"}}
	b := config.Settings{Classes: []config.Class{{Name: "a"}, {Name: "bc"}}, Dcs: []string{"z"}}
	c := config.Settings{Classes: a.Classes, Realms: []config.Tenant{{Name: "z"}}}
	if Fingerprint(&a) == Fingerprint(&b) || Fingerprint(&a) == Fingerprint(&c) {
		t.Error("equal for different deployments")
	}
	again := config.Settings{Classes: []config.Class{{Name: "ab"}, {Name: "c"}}, Dcs: []string{"z"}}
	if first, second := Fingerprint(&a), Fingerprint(&a); first != second || first != Fingerprint(&again) {
		t.Error("differs for the same deployment")
	}
}
