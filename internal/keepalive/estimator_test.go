package keepalive

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

var (
	began = time.Unix(1e9, 0)
	order = AttemptCost{NonIdempotent: true, LatencyObjective: aim, PriorityWeight: 1}
	query = AttemptCost{LatencyObjective: aim, PriorityWeight: 1}
	probe = AttemptCost{PriorityWeight: 0.05}
)

func newEstimator(t testing.TB) *Estimator {
	t.Helper()
	b, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// observation is a number of attempts on one connection, broken ones spread among them evenly.
type observation struct {
	server        string
	idle          time.Duration
	carried       int
	calls, broken int
	held, took    time.Duration
	early         bool
}

func kept(server string, idle time.Duration, calls, broken int) observation {
	return observation{server: server, idle: idle, carried: 3, calls: calls, broken: broken}
}

// learnAll has an attempt each 10 ms and returns the time after the last.
func learnAll(b *Estimator, now time.Time, lessons ...observation) time.Time {
	for _, l := range lessons {
		for i := range l.calls {
			f := Responded
			if (i+1)*l.broken/l.calls > i*l.broken/l.calls {
				if f = BrokenAfterLastByte; l.early {
					f = BrokenBeforeLastByte
				}
			}
			now = now.Add(10 * ms)
			b.Learn(now, Use{l.server, l.idle, l.carried}, f, l.held, l.took)
		}
	}
	return now
}

// Each case is what was seen, then what is decided on a reused connection that has been idle for so long and has carried
// so much, for an order, a query and a probe.
func TestTake(t *testing.T) {
	const a, b = "a", "b"
	clean := kept(a, 20*ms, 300, 0)
	part := kept(a, 200*ms, 50, 10)
	all := kept(a, 200*ms, 50, 50)
	worn := observation{server: a, idle: 20 * ms, carried: 100, calls: 50, broken: 10}
	other := kept(b, 20*ms, 100, 100)
	onNew := func(l observation) []observation {
		return []observation{l, {server: a, calls: l.calls, broken: l.broken}}
	}
	at := func(server string, l observation) observation { l.server = server; return l }
	for name, c := range map[string]struct {
		seen     []observation
		use      Use
		decision string // of order, query and probe: k = the reused one, n = a new one
	}{
		"nothing is known":           {nil, Use{a, time.Minute, 1000}, "kkk"},
		"all was well":               {[]observation{clean}, Use{a, time.Minute, 1000}, "kkk"},
		"old ones break":             {[]observation{clean, part}, Use{a, 200 * ms, 3}, "nkk"},
		"older ones than have been":  {[]observation{clean, part}, Use{a, time.Second, 3}, "nkk"},
		"younger ones don't":         {[]observation{clean, part}, Use{a, 20 * ms, 3}, "kkk"},
		"all old ones break":         {[]observation{clean, all}, Use{a, 200 * ms, 3}, "nnk"},
		"new ones break as well":     {onNew(part), Use{a, 200 * ms, 3}, "kkk"},
		"a fault of this side":       {onNew(all), Use{a, 200 * ms, 3}, "kkk"},
		"worn ones break":            {[]observation{clean, worn}, Use{a, 20 * ms, 100}, "nnn"},
		"those less worn don't":      {[]observation{clean, worn}, Use{a, 20 * ms, 3}, "kkk"},
		"it is another's trouble":    {[]observation{clean, other}, Use{a, 20 * ms, 3}, "kkk"},
		"an unknown one's neighbour": {[]observation{other}, Use{a, 20 * ms, 3}, "kkk"},
		"several have the trouble":   {[]observation{clean, at("c", all), at("d", all)}, Use{a, 200 * ms, 3}, "nnk"},
	} {
		b := newEstimator(t)
		now, got := learnAll(b, began, c.seen...), ""
		for _, s := range []AttemptCost{order, query, probe} {
			if b.ShouldReuse(now, c.use, s) {
				got += "k"
			} else {
				got += "n"
			}
		}
		if got != c.decision {
			t.Errorf("%s: %s, want %s", name, got, c.decision)
		}
	}
}

// What has been given up is tried again, by the cheapest first, though nobody goes there meanwhile.
func TestReuseResumesAsEvidenceFades(t *testing.T) {
	b := newEstimator(t)
	bad := kept("a", 200*ms, 100, 100)
	now := learnAll(b, began, observation{server: "a", calls: 100}, bad)
	var back []time.Duration
	for _, s := range []AttemptCost{query, order} {
		start := now
		for !b.ShouldReuse(now, Use{"a", 200 * ms, 3}, s) && now.Sub(start) < 3*time.Hour {
			now = now.Add(time.Minute)
		}
		back = append(back, now.Sub(start))
	}
	if back[0] == 0 || back[1] == 0 || back[0]+back[1] >= 2*time.Hour {
		t.Errorf("with no calls at all a query goes there again after %s, an order %s later", back[0], back[1])
	}
	for now = learnAll(b, now, bad); ; {
		now = learnAll(b, now, observation{server: "a", calls: 100})
		if b.ShouldReuse(now, Use{"a", 200 * ms, 3}, order) {
			break
		}
		if now.Sub(began) > 24*time.Hour {
			t.Fatal("with calls on new connections alone, an order never goes there again")
		}
	}
}

func TestHold(t *testing.T) {
	use := Use{"a", 20 * ms, 3}
	seen := observation{server: "a", idle: 20 * ms, carried: 3, calls: 2000, broken: 200, held: 4 * ms}
	never := seen
	never.held = 8 * ms
	shows := func(after time.Duration) observation { l := seen; l.early, l.took = true, after; return l }
	for name, c := range map[string]struct {
		seen        observation
		stakes      AttemptCost
		least, most time.Duration
	}{
		"nothing breaks":           {kept("a", 20*ms, 300, 0), order, 0, 0},
		"breaks show at once":      {shows(100 * time.Microsecond), order, ms / 2, ms / 2},
		"breaks show after 3 ms":   {shows(3 * ms), order, 4 * ms, 4 * ms},
		"breaks never show":        {never, order, 0, ms / 2},
		"it may run twice":         {shows(100 * time.Microsecond), query, 0, 0},
		"so may a probe":           {shows(100 * time.Microsecond), probe, 0, 0},
		"it is in a great hurry":   {shows(3 * ms), AttemptCost{NonIdempotent: true, LatencyObjective: 5 * ms, PriorityWeight: 1}, 0, 0},
		"any time will do":         {shows(3 * ms), AttemptCost{NonIdempotent: true, PriorityWeight: 1}, 4 * ms, 8 * ms},
		"one in 300 breaks":        {kept("a", 20*ms, 300, 1), order, 0, ms},
		"it breaks, none was held": {kept("a", 20*ms, 300, 30), order, 2 * ms, 8 * ms},
	} {
		b := newEstimator(t)
		now := learnAll(b, began, c.seen)
		if got := b.LastByteDelay(now, use, c.stakes); got < c.least || got > c.most {
			t.Errorf("%s: %s, want %s to %s", name, got, c.least, c.most)
		}
	}
}

// Whatever was seen and whatever is at stake: limits and pauses stay within bounds, Take and Limit agree, and more at
// stake never makes an older connection good.
func TestInvariants(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	worths := []float64{0, 0.05, 1, 100, -1, math.NaN(), math.Inf(1)}
	for range 300 {
		b, now, dials := newEstimator(t), began, rng.IntN(2) == 0
		for range rng.IntN(200) {
			u := Use{fmt.Sprint(rng.IntN(4)), time.Duration(rng.ExpFloat64() * 1e8), rng.IntN(200)}
			if u.Carried < 20 {
				u.Idle, u.Carried = 0, 0
			}
			if now = now.Add(time.Duration(rng.ExpFloat64() * 1e9)); rng.IntN(100) == 0 {
				now = now.Add(-time.Hour)
			}
			b.Learn(now, u, Outcome(rng.IntN(3)), time.Duration(rng.IntN(3))*4*ms, time.Duration(rng.IntN(5))*ms)
			if dials {
				b.Dialed(u.Server, time.Duration(rng.IntN(5))*ms)
			}
		}
		for _, w := range worths {
			for _, most := range []time.Duration{0, 50 * ms, time.Minute} {
				s := AttemptCost{NonIdempotent: rng.IntN(2) == 0, LatencyObjective: time.Duration(rng.IntN(3)-1) * time.Second, PriorityWeight: w}
				p := fmt.Sprint(rng.IntN(5))
				limit := b.IdleLimit(now, p, s, most)
				if limit < 0 || limit > most {
					t.Fatalf("%+v: limit %s of %s", s, limit, most)
				}
				below, above := Use{p, limit * 999 / 1000, 1}, Use{p, limit*1001/1000 + 1, 1}
				if limit > 0 && !b.ShouldReuse(now, below, s) || limit < most && b.ShouldReuse(now, above, s) {
					t.Fatalf("%+v: Take does not agree with the limit %s", s, limit)
				}
				if d := b.LastByteDelay(now, Use{p, limit, 5}, s); d < 0 || d > b.settings.MaxLastByteDelay {
					t.Fatalf("%+v: hold for %s", s, d)
				}
				s.NonIdempotent = false
				if safe := b.IdleLimit(now, p, s, most); safe < b.IdleLimit(now, p, AttemptCost{true, s.LatencyObjective, w}, most) {
					t.Fatalf("%+v: limit %s, less than for what must not run twice", s, safe)
				}
			}
		}
	}
}

// Evidence that must be scaled down again and again stays the same in effect, and servers stay bounded.
func TestBounds(t *testing.T) {
	set := testSettings()
	set.MaxServers = 3
	b, _ := New(set)
	now := began
	for i := range 20 {
		now = learnAll(b, now.Add(time.Hour), kept(fmt.Sprint(i), 200*ms, 1000, 200))
		k := b.posterior(now, fmt.Sprint(i)).idle[idleStep(200*ms)]
		if k < 0.1 || k > 0.25 || len(b.list) > 3 || len(b.servers) > 3 {
			t.Errorf("hour %d: probability %g, %d providers", i, k, len(b.list))
		}
		if n := b.all.idle[idleStep(200*ms)].calls / b.weight(); n > 1100 {
			t.Errorf("hour %d: %g calls count, though those of an hour ago must have faded", i, n)
		}
	}
	b = newEstimator(t)
	now = learnAll(b, now, observation{server: "a", calls: 20}, kept("a", 200*ms, 20, 20))
	b.ShouldReuse(now, Use{"a", 200 * ms, 3}, order)
	b.RemoveServer("a")
	if now = now.Add(time.Minute); !b.ShouldReuse(now, Use{"new", 200 * ms, 3}, order) {
		t.Error("a lone culprit is gone, and the others are still held to be like it")
	}
	for range 3 { // in turn, so that they look alike
		for _, p := range []string{"a", "b", "c", "d"} {
			now = learnAll(b, now, observation{server: p, calls: 20}, kept(p, 200*ms, 20, 10))
		}
	}
	for _, p := range []string{"a", "b", "c", "d"} {
		b.RemoveServer(p)
	}
	if len(b.list)+len(b.servers) > 0 {
		t.Errorf("%d providers after all are forgotten", len(b.list))
	}
	if b.ShouldReuse(now, Use{"new", 200 * ms, 3}, order) || !b.ShouldReuse(now, Use{"new", 20 * ms, 3}, order) {
		t.Error("what they had in common went with them")
	}
}

func TestState(t *testing.T) {
	b := newEstimator(t)
	now := learnAll(b, began, kept("a", 20*ms, 300, 0),
		observation{server: "b", idle: 200 * ms, carried: 3, calls: 90, broken: 30, held: 4 * ms, early: true},
		observation{server: "c", idle: 20 * ms, carried: 100, calls: 90, broken: 30, held: 4 * ms})
	b.Dialed("a", 3*ms)
	data, err := b.State(now)
	if err != nil {
		t.Fatal(err)
	}
	next := newEstimator(t)
	later := now.Add(time.Hour)
	if err := next.Restore(later, data, 0); err != nil {
		t.Fatal(err)
	}
	for _, p := range []string{"a", "b", "c", "d"} {
		x, y := b.posterior(now, p), next.posterior(later, p)
		for i := range steps {
			if off := math.Abs(join(x.idle[i], x.carried[i]) - join(y.idle[i], y.carried[i])); off > 0.01 {
				t.Errorf("%s, step %d: %g off", p, i, off)
			}
		}
		if math.Abs(x.dial-y.dial) > 1e-4 {
			t.Errorf("%s: dials in %g s, was %g", p, y.dial, x.dial)
		}
	}
	old := Use{"b", 200 * ms, 3}
	if got, want := next.LastByteDelay(later, old, order), b.LastByteDelay(now, old, order); got != want {
		t.Errorf("held for %s, was %s", got, want)
	}
	again, _ := next.State(later)
	if err := next.Restore(later, data, 24*time.Hour); err != nil || !next.ShouldReuse(later, old, order) {
		t.Errorf("a day old: %v, and it still counts", err)
	}
	if !bytes.Equal(data, again) {
		t.Error("what was restored is not written as it was")
	}
	for i := range data {
		if next.Restore(later, data[:i], 0) == nil {
			t.Fatalf("cut to %d of %d bytes it is taken", i, len(data))
		}
		bad := bytes.Clone(data)
		bad[i] ^= 0x41
		if next.Restore(later, bad, 0) == nil { // then it must at least be something that can have been learned
			next.ShouldReuse(later, old, order)
			if p := next.posterior(later, "b").idle[steps-1]; !(p >= 0 && p <= 1) {
				t.Fatalf("byte %d: a probability of %g", i, p)
			}
		}
	}
	for name, spoil := range map[string]func(*state){
		"version":  func(s *state) { s.Version++ },
		"pauses":   func(s *state) { s.Shown[added] = s.Shown[added][1:] },
		"twice":    func(s *state) { s.Servers = append(s.Servers, s.Servers[0]) },
		"step":     func(s *state) { s.All.Idle = append(s.All.Idle, s.All.Idle[0]) },
		"steps":    func(s *state) { s.All.Idle[0][0] = steps },
		"broken":   func(s *state) { s.Whole.Fresh[1] = s.Whole.Fresh[0] + 1 },
		"too many": func(s *state) { s.All.Fresh[0] = maxCalls + 1 },
	} {
		var s state
		if err := decoder.Unmarshal(data, &s); err != nil {
			t.Fatal(err)
		}
		spoil(&s)
		bad, _ := encoder.Marshal(&s)
		if next.Restore(later, bad, 0) == nil {
			t.Errorf("%s: taken", name)
		}
	}
	set := testSettings()
	set.MaxServers = 2048
	big, _ := New(set)
	for i := range 20480 {
		name := strings.Repeat("p", 100) + fmt.Sprint(i%2048)
		big.Learn(began, Use{name, time.Duration(i) * ms, 1 + i%100}, Outcome(i%2), 0, 0)
	}
	big.Learn(began, Use{"the worst", ms, 1}, BrokenAfterLastByte, 0, 0)
	big.record("the worst").seen.broken *= 100
	if data, err = big.State(began); err != nil || len(data) > MaxStateBytes || len(data) < MaxStateBytes*9/10 {
		t.Errorf("%d bytes, %v", len(data), err)
	}
	if err := next.Restore(began, data, 0); err != nil || next.servers["the worst"] == nil || len(next.list) < 1024 {
		t.Errorf("%v, %d providers", err, len(next.list))
	}
}

func TestSettings(t *testing.T) {
	for key, spoil := range map[string]func(*Settings){
		"handshake":      func(s *Settings) { s.HandshakeCost = math.NaN() },
		"retry":          func(s *Settings) { s.RetryCost = 1.1 },
		"hurry":          func(s *Settings) { s.DelayCost = -1 },
		"half_life":      func(s *Settings) { s.MinHalfLife = 0 },
		"long_half_life": func(s *Settings) { s.MaxHalfLife = s.MinHalfLife - 1 },
		"calls":          func(s *Settings) { s.HalfLifeAttempts = 0 },
		"most_pause":     func(s *Settings) { s.MaxLastByteDelay = -1 },
		"providers":      func(s *Settings) { s.MaxServers = 0 },
	} {
		s := Default()
		spoil(&s)
		if _, err := New(s); err == nil || !strings.Contains(err.Error(), key+":") {
			t.Errorf("%s: %v", key, err)
		}
	}
}

func BenchmarkEstimator(b *testing.B) {
	k := newEstimator(b)
	now := began
	for i := range fleet {
		now = learnAll(k, now, kept(names[i], 200*ms, 50, 10))
	}
	use := Use{names[3], 150 * ms, 5}
	b.Run("Take", func(b *testing.B) {
		for b.Loop() {
			k.ShouldReuse(now, use, order)
		}
	})
	b.Run("Hold", func(b *testing.B) {
		for b.Loop() {
			k.LastByteDelay(now, use, order)
		}
	})
	b.Run("Limit", func(b *testing.B) {
		for b.Loop() {
			k.IdleLimit(now, use.Server, order, time.Minute)
		}
	})
	for name, every := range map[string]int{"all answered": 1 << 30, "7% broken": 14, "all broken": 1} {
		b.Run("call, "+name, func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				use.Server, now = names[i%fleet], now.Add(ms)
				f := Responded
				if i%every == every-1 {
					f = BrokenAfterLastByte
				}
				k.ShouldReuse(now, use, order)
				k.LastByteDelay(now, use, order)
				k.Learn(now, use, f, 0, 0)
				k.IdleLimit(now, use.Server, probe, time.Minute)
			}
		})
	}
}
