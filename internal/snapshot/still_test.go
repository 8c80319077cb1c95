package snapshot

import (
	"slices"
	"testing"
	"time"

	"plankrouter/internal/config"
)

// nine is a snapshot of a small fleet: one provider serves, one is warming up, one drains and one is gone. The module's
// clock lags 10 s behind the wall clock.
func nine() *Snapshot {
	at := unixMs(taken)
	s := fleet(3, 1)
	s.Members = append(s.Members, Member{ID: "gone", Phase: config.Deleted, ToldAt: at - 3600e3})
	s.Members[0].ID, s.Members[1].ID, s.Members[2].ID = "serves", "warms", "drains"
	s.Members[1].UpSince, s.Members[2].Phase, s.Members[2].ToldAt = at-500, config.Draining, at-1000
	l := &s.Learned
	l.Now -= 10e3
	for i := range l.Servers {
		p := &l.Servers[i]
		p.Name, p.StartedAt, p.ReportAt, p.Failing = s.Members[i].ID, s.Members[i].UpSince, l.Now-100, 0.5
		p.By = []Tally{{Who: 0, Misses: 1, At: l.Now}, {Who: 1, Misses: 1, At: l.Now - 8e3}}
	}
	l.Fit.At, l.Tenants[0].At, l.Arrivals.At, l.Sends.At = l.Now-50, 0, l.Now, l.Now
	return s
}

func rules() Rules {
	r := DefaultRules()
	r.Program, r.Deployment, r.Directory, r.Classes, r.Tenants = "n1", "d", "127.0.0.1:8500", 2, 1
	return r
}

// has tells what of nine is left.
func has(s *Snapshot) (what []string) {
	for _, m := range s.Members {
		what = append(what, m.ID)
	}
	l := &s.Learned
	for _, x := range []struct {
		name string
		have bool
	}{
		{"revision", s.Revision > 0}, {"fleet", l.FleetLatency > 0}, {"fit", l.Fit.XX > 0}, {"tenants", len(l.Tenants) > 0},
		{"rates", l.Arrivals.V > 0 && l.Sends.V > 0}, {"reuse", len(s.Reuse) > 0},
	} {
		if x.have {
			what = append(what, x.name)
		}
	}
	for _, p := range l.Servers {
		what = append(what, "of "+p.Name)
		if p.Latency > 0 && p.Network > 0 {
			what = append(what, "latency")
		}
		if p.Failing > 0 {
			what = append(what, "failing")
		}
		what = append(what, []string{"", "tally", "tallies"}[len(p.By)])
	}
	return slices.DeleteFunc(what, func(s string) bool { return s == "" })
}

func TestStill(t *testing.T) {
	list := []string{"serves", "warms", "drains", "gone"}
	drains := []string{"drains", "gone"}
	all := []string{"serves", "warms", "drains", "gone", "revision", "fleet", "fit", "tenants", "rates", "reuse"}
	of := func(what ...string) (out []string) {
		for _, name := range list[:3] {
			out = append(append(out, "of "+name), what...)
		}
		return out
	}
	without := func(from []string, names ...string) []string {
		return slices.DeleteFunc(slices.Clone(from), func(s string) bool { return slices.Contains(names, s) })
	}
	for _, c := range []struct {
		what string
		age  time.Duration
		set  func(*Snapshot, *Rules)
		want []string
		why  string
	}{
		{"at once", 0, nil, append(all, of("latency", "failing", "tallies")...), ""},
		{"a clock a little back", -time.Second, nil, append(all, of("latency", "failing", "tallies")...), ""},
		{"evidence fades", 10 * time.Second, nil, append(all, of("latency", "failing", "tally")...),
			`dropped_evidence=3 why="faded away"`},
		{"tokens and rates last for seconds", 20 * time.Second, nil, append(without(all, "tenants", "rates"), of("latency")...),
			`dropped_evidence=6 why="faded away" dropped_rates=1 why="too old" dropped_reported_errors=3 why="faded away" ` +
				`dropped_tenants=1 why="too old"`},
		{"the fit for minutes", 3 * time.Minute, nil, append(without(all, "tenants", "rates", "fit"), of("latency")...), "-"},
		{"service times too", 6 * time.Minute, nil, append(list, "revision"), "-"},
		{"the list for a day", 25 * time.Hour, nil, drains, "-"},
		{"drains for a week", 8 * 24 * time.Hour, nil, nil, "-"},
		{"from the future", -time.Minute, nil, drains,
			`dropped_learned=1 why="from the future" dropped_member=2 why="from the future" dropped_reuse=1 why="from the future"`},
		{"of another program", 0, func(s *Snapshot, r *Rules) { r.Program = "n2" }, drains,
			`dropped_learned=1 why="another program" dropped_member=2 why="another program" dropped_reuse=1 why="another program"`},
		{"of another deployment", 0, func(s *Snapshot, r *Rules) { r.Deployment = "" }, drains, "-"},
		{"of another deployment and directory", 0, func(s *Snapshot, r *Rules) { r.Deployment, r.Directory = "", "" }, nil,
			`dropped_drain=2 why="another deployment" dropped_learned=1 why="another deployment" ` +
				`dropped_member=2 why="another deployment" dropped_reuse=1 why="another deployment"`},
		{"of another directory", 0, func(s *Snapshot, r *Rules) { r.Directory = "" }, append(drains, all[5:]...),
			`dropped_member=2 why="another directory" dropped_provider=3 why="another directory"`},
		{"fewer tenants and classes", 0, func(s *Snapshot, r *Rules) { r.Tenants, r.Classes = 0, 1 },
			append(without(all, "fit", "tenants"), of("latency", "failing", "tally")...),
			`dropped_evidence=3 why="no such position" dropped_fit=1 why="no such position" ` +
				`dropped_tenants=1 why="no such position"`},
		{"started anew", 0, func(s *Snapshot, r *Rules) { s.Members[0].UpSince++; s.Learned.Servers[2].Name = "x" },
			append(all, of("latency", "failing", "tallies")[4:8]...),
			`dropped_provider=1 why="another process" dropped_provider=1 why="not listed"`},
	} {
		s, r := nine(), rules()
		if c.set != nil {
			c.set(s, &r)
		}
		before := encode(t, s)
		now := taken.Add(c.age)
		got, why := Still(s, now, r)
		same(t, c.what, c.want, has(got))
		if text := Summary(why); c.why != "-" && text != c.why {
			t.Errorf("%s: dropped %s", c.what, text)
		}
		same(t, c.what+": the argument", before, encode(t, s))
		for _, m := range got.Members {
			if was := s.List().byID()[m.ID]; m.UpSince != was.UpSince || m.ToldAt > min(was.ToldAt, unixMs(now)) {
				t.Errorf("%s: %+v was %+v", c.what, m, was)
			}
		}
		for _, p := range got.Learned.Servers { // on the wall clock, as old as they were, and no younger than the snapshot
			for _, tally := range p.By {
				want := min(unixMs(taken)-8e3*float64(tally.Who), unixMs(now))
				if p.ReportAt > min(unixMs(taken)-100, unixMs(now)) || tally.At != want {
					t.Errorf("%s: reported at %f, evidence of %f, want %f", c.what, p.ReportAt, tally.At, want)
				}
			}
		}
	}
}

func TestMerge(t *testing.T) {
	list := func(dir string, revision uint64, members ...Member) List { return List{dir, revision, members} }
	m := func(id, phase string, up float64) Member {
		return Member{ID: id, Phase: phase, UpSince: up, ToldAt: up + 1}
	}
	const up, dr, del = config.Serving, config.Draining, config.Deleted
	for _, c := range []struct {
		what              string
		snap, known, want List
		lost              string
	}{
		{"a newer snapshot", list("a", 7, m("1", up, 0), m("2", del, 0)), list("a", 6, m("2", up, 0), m("1", dr, 0), m("3", up, 0)),
			list("a", 7, m("1", up, 0), m("2", del, 0)), `dropped_member=1 why="a newer list"`},
		{"the same revision", list("a", 7, m("1", dr, 5)), list("a", 7, m("1", dr, 0)), list("a", 7, m("1", dr, 5)), ""},
		{"nothing else known", list("a", 0, m("1", up, 5)), list("a", 3), list("a", 0, m("1", up, 5)), ""},
		{"a newer known list", list("a", 7, m("1", up, 5), m("4", up, 0)), list("a", 8, m("1", dr, 5), m("2", up, 0)),
			list("a", 8, m("1", dr, 5), m("2", up, 0)), `dropped_member=1 why="a newer list"`},
		{"a drain survives it", list("a", 7, m("1", dr, 5)), list("a", 8, m("1", up, 5)), list("a", 0, m("1", dr, 5)), ""},
		{"a deletion too", list("a", 7, m("1", del, 5)), list("a", 8, m("1", dr, 5)), list("a", 0, m("1", del, 5)), ""},
		{"but not a new process", list("a", 7, m("1", dr, 5)), list("a", 8, m("1", up, 9)), list("a", 8, m("1", up, 9)), ""},
		{"nor a new id", list("a", 7, m("1", del, 5)), list("a", 8, m("2", up, 5)), list("a", 8, m("2", up, 5), m("1", del, 5)), ""},
		{"a drain of one not listed", list("a", 7, m("1", dr, 5)), list("a", 8, m("2", up, 5)),
			list("a", 0, m("2", up, 5), m("1", dr, 5)), ""},
		{"the newer list knows more", list("a", 7, m("1", dr, 5)), list("a", 8, m("1", del, 5)), list("a", 8, m("1", del, 5)), ""},
		{"another directory", list("a", 9, m("1", dr, 5), m("2", up, 5), m("3", up, 5)), list("b", 2, m("1", up, 5), m("2", up, 0)),
			list("b", 0, m("1", dr, 5), m("2", up, 5)), `dropped_member=1 why="another directory"`},
		{"another one that knows nothing", list("a", 9, m("1", dr, 5), m("2", up, 5)), list("b", 0),
			list("b", 0, m("1", dr, 5)), `dropped_member=1 why="another directory"`},
	} {
		got, lost := Merge(c.snap, c.known)
		same(t, c.what, c.want, got)
		if text := Summary(lost); text != c.lost {
			t.Errorf("%s: dropped %s", c.what, text)
		}
	}
}

func TestBegin(t *testing.T) {
	known := FromConfig(config.List{Revision: 50, Members: []config.Member{
		{ID: "serves", Address: "127.0.0.1:1", Phase: config.Serving, UpSince: unixMs(taken) + 1},
		{ID: "drains", Address: "127.0.0.1:2", Phase: config.Serving}}}, "127.0.0.1:8500", taken)
	none, _ := Begin(nil, known, taken, rules())
	same(t, "without a snapshot", known, none.List)
	got, _ := Begin(nine(), known, taken.Add(time.Second), rules())
	same(t, "believed", []string{"serves", "drains", "gone"}, has(&Snapshot{Members: got.List.Members}))
	same(t, "phases", []string{config.Serving, config.Draining, config.Deleted}, []string{got.List.Members[0].Phase,
		got.List.Members[1].Phase, got.List.Members[2].Phase})
	same(t, "learned", []string{"drains"}, []string{got.Learned.Servers[0].Name})
	same(t, "as configuration", uint64(0), got.List.Config().Revision)
}

func TestFingerprint(t *testing.T) {
	of := func(class, tenant, zone string) string {
		return Fingerprint(&config.Settings{Classes: []config.Class{{Name: class}}, Realms: []config.Realm{{Name: tenant}},
			Dcs: []string{zone}})
	}
	if a := of("a", "b", "c"); a != of("a", "b", "c") || a == of("b", "a", "c") || a == of("a", "b", "d") {
		t.Errorf("%s stands for more than one deployment", a)
	}
}
