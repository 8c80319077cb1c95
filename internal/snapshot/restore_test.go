package snapshot

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"plankrouter/internal/config"
	"plankrouter/internal/endpoints"
)

// smallFleet is a snapshot of a small fleet: a server that serves, one in slow start, one that drains and one that is gone.
// The policy's clock lags 10 s behind the wall clock.
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

// describe says what of smallFleet is left: its members, its parts, and of each server the latency, what it said of its
// failures and the number of tallies.
func describe(s *Snapshot) (out string) {
	for _, m := range s.Members {
		out += m.ID + " "
	}
	l := &s.Learned
	for i, have := range []bool{
		s.Revision > 0, l.FleetLatency > 0, l.Fit.SumLoadSquared > 0, len(l.Tenants) > 0,
		l.Arrivals.Value > 0 && l.Sends.Value > 0, len(s.Keepalive) > 0,
	} {
		if have {
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
		why  string // among others
	}{
		{"at once", 0, nil, all + learned + " s:++2 w:++2 d:++2", ""},
		{"a clock a bit back", -time.Second, nil, all + learned + " s:++2 w:++2 d:++2", ""},
		{"outcomes fade", 10 * time.Second, nil, all + learned + " s:++1 w:++1 d:++1", `outcomes=3 why="faded away"`},
		{"seconds", 20 * time.Second, nil, all + " fleet fit reuse s:+-0 w:+-0 d:+-0", `tenants=1 why="too old"`},
		{"minutes", 3 * time.Minute, nil, all + " fleet reuse s:+-0 w:+-0 d:+-0", `dropped_fit=1 why="too old"`},
		{"more minutes", 6 * time.Minute, nil, all, `dropped_service_time=3 why="too old"`},
		{"a day", 25 * time.Hour, nil, "drains gone", `dropped_member=2 why="too old"`},
		{"a week", 8 * 24 * time.Hour, nil, "", `dropped_drain=2 why="too old"`},
		{"the future", -time.Minute, nil, "drains gone", `dropped_learned=1 why="from the future"`},
		{
			"another program", 0, func(_ *Snapshot, r *ValidityRules) { r.Program = "" }, "drains gone",
			`dropped_member=2 why="another program"`,
		},
		{"another deployment", 0, func(_ *Snapshot, r *ValidityRules) { r.Deployment = "" }, "drains gone", ""},
		{
			"another fleet", 0, func(_ *Snapshot, r *ValidityRules) { r.Deployment, r.Discovery = "", "" }, "",
			`dropped_drain=2 why="another deployment"`,
		},
		{
			"another discovery service", 0, func(_ *Snapshot, r *ValidityRules) { r.Discovery = "" }, "drains gone fleet fit tenants rates",
			`dropped_server=3 why="another discovery service"`,
		},
		{
			"fewer positions", 0, func(_ *Snapshot, r *ValidityRules) { r.Tenants, r.Classes = 0, 1 },
			all + " fleet rates reuse s:++1 w:++1 d:++1", `dropped_outcomes=3 why="no such position"`,
		},
		{
			"started anew", 0, func(s *Snapshot, _ *ValidityRules) { s.Members[0].StartedAt++; s.Learned.Servers[2].Name = "x" },
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
		checkEqual(t, c.what+": the argument", before, must(Encode(s, 0)))
		for _, m := range got.Members {
			if was := s.List().byID()[m.ID]; m.StartedAt != was.StartedAt || m.PhaseSince > min(was.PhaseSince, unixMs(now)) {
				t.Errorf("%s: %+v was %+v", c.what, m, was)
			}
		}
		for _, p := range got.Learned.Servers { // on the wall clock, as old as it was, and no younger than now
			checkEqual(t, c.what, min(unixMs(testTakenAt)-100, unixMs(now)), p.ReportedAt)
			for _, e := range p.Outcomes {
				checkEqual(t, c.what, min(unixMs(testTakenAt)-8e3*float64(e.Tenant), unixMs(now)), e.At)
			}
		}
	}
}

// parseList reads "a7 1+52": of discovery service a in revision 7, server 1 serving (~ draining, x gone), started at 5, listed at 2.
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
	for _, c := range []struct{ what, snap, known, want, lost string }{
		{"a newer snapshot", "a7 1+09 2x09", "a6 2+01 1~01 3+01", "a7 1+09 2x09", "a newer list"},
		{"the same revision", "a7 1~59", "a7 1~51", "a7 1~59", ""},
		{"nothing else known", "a0 1+59", "a3", "a0 1+59", ""},
		{"a newer known list", "a7 1+59 4+09", "a8 1~51 2+01", "a8 1~51 2+01", "a newer list"},
		{"a drain survives it", "a7 1~59", "a8 1+51", "a0 1~59", ""},
		{"a deletion too", "a7 1x59", "a8 1~51", "a0 1x59", ""},
		{"but not a new process", "a7 1~59", "a8 1+91", "a8 1+91", ""},
		{"nor a new id", "a7 1x59", "a8 2+51", "a8 2+51 1x59", ""},
		{"of one not listed", "a7 1~59", "a8 2+51", "a0 2+51 1~59", ""},
		{"the newer one knows more", "a7 1~59", "a8 1x51", "a8 1x51", ""},
		{"another discovery service", "a9 1~59 2+59 3+59", "b2 1+51 2+01", "b0 1~59 2+59", "another discovery service"},
		{"that knows nothing", "a9 1~59 2+59", "b0", "b0 1~59", "another discovery service"},
	} {
		got, lost := Merge(parseList(c.snap), parseList(c.known))
		checkEqual(t, c.what, parseList(c.want), got)
		if len(lost) != min(len(c.lost), 1) || len(lost) > 0 && lost[0].Reason != Reason(c.lost) {
			t.Errorf("%s: %v", c.what, lost)
		}
	}
}

func TestRestore(t *testing.T) {
	known := FromConfig(endpoints.List{Revision: 50, Endpoints: []endpoints.Endpoint{
		{ID: "serves", Address: "127.0.0.1:1", Phase: endpoints.Serving, StartedAt: unixMs(testTakenAt) + 1},
		{ID: "drains", Address: "127.0.0.1:2", Phase: endpoints.Serving},
	}}, "127.0.0.1:8500", testTakenAt)
	none, _ := Restore(nil, known, testTakenAt, testRules())
	checkEqual(t, "without a snapshot", known, none.List)
	got, _ := Restore(smallFleet(), known, testTakenAt.Add(time.Second), testRules())
	checkEqual(t, "learned", "d:++2", describe(&Snapshot{Learned: Learned{Servers: got.Learned.Servers}}))
	l := got.List.Config()
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
		t.Error("it stands for more than one deployment")
	}
	again := config.Settings{Classes: []config.Class{{Name: "ab"}, {Name: "c"}}, Dcs: []string{"z"}}
	if first, second := Fingerprint(&a), Fingerprint(&a); first != second || first != Fingerprint(&again) {
		t.Error("one deployment has more than one")
	}
}
