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
	startTime     = time.Unix(1e9, 0)
	nonIdempotent = AttemptCost{NonIdempotent: true, LatencyObjective: latencyObjective, PriorityWeight: 1}
	idempotent    = AttemptCost{LatencyObjective: latencyObjective, PriorityWeight: 1}
	probe         = AttemptCost{PriorityWeight: 0.05}
)

func newEstimator(t testing.TB) *Estimator {
	t.Helper()
	e, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// observation is a number of attempts with the same idle time and the same number of attempts carried; broken ones are
// spread evenly.
type observation struct {
	server           string
	idle             time.Duration
	carried          int
	attempts, broken int
	held, took       time.Duration
	early            bool
}

func onReused(server string, idle time.Duration, attempts, broken int) observation {
	return observation{server: server, idle: idle, carried: 3, attempts: attempts, broken: broken}
}

// learnAll records an attempt every 10 ms and returns the time of the last.
func learnAll(e *Estimator, now time.Time, observations ...observation) time.Time {
	for _, o := range observations {
		for i := range o.attempts {
			outcome := Responded
			if (i+1)*o.broken/o.attempts > i*o.broken/o.attempts {
				if outcome = BrokenAfterLastByte; o.early {
					outcome = BrokenBeforeLastByte
				}
			}
			now = now.Add(10 * ms)
			e.Learn(now, Use{o.server, o.idle, o.carried}, outcome, o.held, o.took)
		}
	}
	return now
}

// Each case lists the observations, a reused connection, and whether a non-idempotent request, an idempotent request and a
// probe reuse it.
func TestShouldReuse(t *testing.T) {
	const a, b = "a", "b"
	clean := onReused(a, 20*ms, 300, 0)
	someBroken := onReused(a, 200*ms, 50, 10)
	allBroken := onReused(a, 200*ms, 50, 50)
	oftenUsed := observation{server: a, idle: 20 * ms, carried: 100, attempts: 50, broken: 10}
	otherBroken := onReused(b, 20*ms, 100, 100)
	onNew := func(o observation) []observation {
		return []observation{o, {server: a, attempts: o.attempts, broken: o.broken}}
	}
	at := func(server string, o observation) observation { o.server = server; return o }
	for name, c := range map[string]struct {
		observed []observation
		use      Use
		decision string // of nonIdempotent, idempotent and probe: k = reused connection, n = new one
	}{
		"no evidence":                      {nil, Use{a, time.Minute, 1000}, "kkk"},
		"no breaks":                        {[]observation{clean}, Use{a, time.Minute, 1000}, "kkk"},
		"some break after long idle times": {[]observation{clean, someBroken}, Use{a, 200 * ms, 3}, "nkk"},
		"idle for longer than observed":    {[]observation{clean, someBroken}, Use{a, time.Second, 3}, "nkk"},
		"idle for a shorter time":          {[]observation{clean, someBroken}, Use{a, 20 * ms, 3}, "kkk"},
		"all break after long idle times":  {[]observation{clean, allBroken}, Use{a, 200 * ms, 3}, "nnk"},
		"new connections break as often":   {onNew(someBroken), Use{a, 200 * ms, 3}, "kkk"},
		"all break, new ones too":          {onNew(allBroken), Use{a, 200 * ms, 3}, "kkk"},
		"some break after many attempts":   {[]observation{clean, oftenUsed}, Use{a, 20 * ms, 100}, "nnn"},
		"fewer attempts carried":           {[]observation{clean, oftenUsed}, Use{a, 20 * ms, 3}, "kkk"},
		"another server breaks":            {[]observation{clean, otherBroken}, Use{a, 20 * ms, 3}, "kkk"},
		"unknown server, one other breaks": {[]observation{otherBroken}, Use{a, 20 * ms, 3}, "kkk"},
		"several other servers break":      {[]observation{clean, at("c", allBroken), at("d", allBroken)}, Use{a, 200 * ms, 3}, "nnk"},
	} {
		e := newEstimator(t)
		now, got := learnAll(e, startTime, c.observed...), ""
		for _, cost := range []AttemptCost{nonIdempotent, idempotent, probe} {
			if e.ShouldReuse(now, c.use, cost) {
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

// Connections that are no longer reused are tried again as evidence fades, although none is used meanwhile. Requests with the
// lowest loss try them first.
func TestReuseResumesAsEvidenceFades(t *testing.T) {
	e := newEstimator(t)
	allBroken := onReused("a", 200*ms, 100, 100)
	now := learnAll(e, startTime, observation{server: "a", attempts: 100}, allBroken)
	var delays []time.Duration
	for _, cost := range []AttemptCost{idempotent, nonIdempotent} {
		start := now
		for !e.ShouldReuse(now, Use{"a", 200 * ms, 3}, cost) && now.Sub(start) < 3*time.Hour {
			now = now.Add(time.Minute)
		}
		delays = append(delays, now.Sub(start))
	}
	if delays[0] == 0 || delays[1] == 0 || delays[0]+delays[1] >= 2*time.Hour {
		t.Errorf("without attempts, an idempotent request reuses a connection after %s, a non-idempotent one %s later", delays[0], delays[1])
	}
	for now = learnAll(e, now, allBroken); ; {
		now = learnAll(e, now, observation{server: "a", attempts: 100})
		if e.ShouldReuse(now, Use{"a", 200 * ms, 3}, nonIdempotent) {
			break
		}
		if now.Sub(startTime) > 24*time.Hour {
			t.Fatal("with attempts on new connections only, a non-idempotent request never reuses one again")
		}
	}
}

func TestLastByteDelay(t *testing.T) {
	use := Use{"a", 20 * ms, 3}
	observed := observation{server: "a", idle: 20 * ms, carried: 3, attempts: 2000, broken: 200, held: 4 * ms}
	undetected := observed
	undetected.held = 8 * ms
	detectedAfter := func(after time.Duration) observation { o := observed; o.early, o.took = true, after; return o }
	for name, c := range map[string]struct {
		observed           observation
		cost               AttemptCost
		minDelay, maxDelay time.Duration
	}{
		"no breaks":                      {onReused("a", 20*ms, 300, 0), nonIdempotent, 0, 0},
		"breaks detected at once":        {detectedAfter(100 * time.Microsecond), nonIdempotent, ms / 2, ms / 2},
		"breaks detected after 3 ms":     {detectedAfter(3 * ms), nonIdempotent, 4 * ms, 4 * ms},
		"breaks not detected while held": {undetected, nonIdempotent, 0, ms / 2},
		"idempotent request":             {detectedAfter(100 * time.Microsecond), idempotent, 0, 0},
		"probe":                          {detectedAfter(100 * time.Microsecond), probe, 0, 0},
		"short latency objective":        {detectedAfter(3 * ms), AttemptCost{NonIdempotent: true, LatencyObjective: 5 * ms, PriorityWeight: 1}, 0, 0},
		"no latency objective":           {detectedAfter(3 * ms), AttemptCost{NonIdempotent: true, PriorityWeight: 1}, 4 * ms, 8 * ms},
		"1 break in 300":                 {onReused("a", 20*ms, 300, 1), nonIdempotent, 0, ms},
		"breaks, none held back":         {onReused("a", 20*ms, 300, 30), nonIdempotent, 2 * ms, 8 * ms},
	} {
		e := newEstimator(t)
		now := learnAll(e, startTime, c.observed)
		if got := e.LastByteDelay(now, use, c.cost); got < c.minDelay || got > c.maxDelay {
			t.Errorf("%s: %s, want %s to %s", name, got, c.minDelay, c.maxDelay)
		}
	}
}

// For random evidence and costs, IdleLimit and LastByteDelay stay within bounds, ShouldReuse agrees with IdleLimit, and the
// limit of a non-idempotent request is at most that of an idempotent one.
func TestInvariants(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	weights := []float64{0, 0.05, 1, 100, -1, math.NaN(), math.Inf(1)}
	for range 300 {
		e, now, dials := newEstimator(t), startTime, rng.IntN(2) == 0
		for range rng.IntN(200) {
			u := Use{fmt.Sprint(rng.IntN(4)), time.Duration(rng.ExpFloat64() * 1e8), rng.IntN(200)}
			if u.Carried < 20 {
				u.Idle, u.Carried = 0, 0
			}
			if now = now.Add(time.Duration(rng.ExpFloat64() * 1e9)); rng.IntN(100) == 0 {
				now = now.Add(-time.Hour)
			}
			e.Learn(now, u, Outcome(rng.IntN(3)), time.Duration(rng.IntN(3))*4*ms, time.Duration(rng.IntN(5))*ms)
			if dials {
				e.Dialed(u.Server, time.Duration(rng.IntN(5))*ms)
			}
		}
		for _, w := range weights {
			for _, upperLimit := range []time.Duration{0, 50 * ms, time.Minute} {
				cost := AttemptCost{NonIdempotent: rng.IntN(2) == 0, LatencyObjective: time.Duration(rng.IntN(3)-1) * time.Second, PriorityWeight: w}
				server := fmt.Sprint(rng.IntN(5))
				limit := e.IdleLimit(now, server, cost, upperLimit)
				if limit < 0 || limit > upperLimit {
					t.Fatalf("%+v: limit %s of %s", cost, limit, upperLimit)
				}
				below, above := Use{server, limit * 999 / 1000, 1}, Use{server, limit*1001/1000 + 1, 1}
				if limit > 0 && !e.ShouldReuse(now, below, cost) || limit < upperLimit && e.ShouldReuse(now, above, cost) {
					t.Fatalf("%+v: ShouldReuse disagrees with the limit %s", cost, limit)
				}
				if d := e.LastByteDelay(now, Use{server, limit, 5}, cost); d < 0 || d > e.settings.MaxLastByteDelay {
					t.Fatalf("%+v: last-byte delay %s", cost, d)
				}
				cost.NonIdempotent = false
				if idempotentLimit := e.IdleLimit(now, server, cost, upperLimit); idempotentLimit < e.IdleLimit(now, server, AttemptCost{true, cost.LatencyObjective, w}, upperLimit) {
					t.Fatalf("%+v: limit %s, less than for a non-idempotent request", cost, idempotentLimit)
				}
			}
		}
	}
}

// Repeated rescaling of the evidence doesn't change estimates, and the number of servers stays bounded.
func TestBounds(t *testing.T) {
	set := testSettings()
	set.MaxServers = 3
	e, _ := New(set)
	now := startTime
	for i := range 20 {
		now = learnAll(e, now.Add(time.Hour), onReused(fmt.Sprint(i), 200*ms, 1000, 200))
		p := e.posterior(now, fmt.Sprint(i)).idle[idleStep(200*ms)]
		if p < 0.1 || p > 0.25 || len(e.serverList) > 3 || len(e.servers) > 3 {
			t.Errorf("hour %d: probability %g, %d servers", i, p, len(e.serverList))
		}
		if n := e.all.idle[idleStep(200*ms)].attempts / e.weight(); n > 1100 {
			t.Errorf("hour %d: %g attempts count, though those of an hour ago must have faded", i, n)
		}
	}
	e = newEstimator(t)
	now = learnAll(e, now, observation{server: "a", attempts: 20}, onReused("a", 200*ms, 20, 20))
	e.ShouldReuse(now, Use{"a", 200 * ms, 3}, nonIdempotent)
	e.RemoveServer("a")
	if now = now.Add(time.Minute); !e.ShouldReuse(now, Use{"new", 200 * ms, 3}, nonIdempotent) {
		t.Error("the only server with breaks is removed, and others are still estimated like it")
	}
	for range 3 { // alternating, so that all have the same evidence
		for _, server := range []string{"a", "b", "c", "d"} {
			now = learnAll(e, now, observation{server: server, attempts: 20}, onReused(server, 200*ms, 20, 10))
		}
	}
	for _, server := range []string{"a", "b", "c", "d"} {
		e.RemoveServer(server)
	}
	if len(e.serverList)+len(e.servers) > 0 {
		t.Errorf("%d servers after all are removed", len(e.serverList))
	}
	if e.ShouldReuse(now, Use{"new", 200 * ms, 3}, nonIdempotent) || !e.ShouldReuse(now, Use{"new", 20 * ms, 3}, nonIdempotent) {
		t.Error("evidence common to all servers was lost with them")
	}
}

func TestState(t *testing.T) {
	e := newEstimator(t)
	now := learnAll(e, startTime, onReused("a", 20*ms, 300, 0),
		observation{server: "b", idle: 200 * ms, carried: 3, attempts: 90, broken: 30, held: 4 * ms, early: true},
		observation{server: "c", idle: 20 * ms, carried: 100, attempts: 90, broken: 30, held: 4 * ms})
	e.Dialed("a", 3*ms)
	data, err := e.State(now)
	if err != nil {
		t.Fatal(err)
	}
	next := newEstimator(t)
	later := now.Add(time.Hour)
	if err := next.Restore(later, data, 0); err != nil {
		t.Fatal(err)
	}
	for _, server := range []string{"a", "b", "c", "d"} {
		x, y := e.posterior(now, server), next.posterior(later, server)
		for i := range stepCount {
			if off := math.Abs(eitherOf(x.idle[i], x.carried[i]) - eitherOf(y.idle[i], y.carried[i])); off > 0.01 {
				t.Errorf("%s, step %d: %g off", server, i, off)
			}
		}
		if math.Abs(x.dial-y.dial) > 1e-4 {
			t.Errorf("%s: dial time %g s, was %g", server, y.dial, x.dial)
		}
	}
	old := Use{"b", 200 * ms, 3}
	if got, want := next.LastByteDelay(later, old, nonIdempotent), e.LastByteDelay(now, old, nonIdempotent); got != want {
		t.Errorf("last-byte delay %s, was %s", got, want)
	}
	again, _ := next.State(later)
	if err := next.Restore(later, data, 24*time.Hour); err != nil || !next.ShouldReuse(later, old, nonIdempotent) {
		t.Errorf("a state that is a day old: %v, or its evidence still counts", err)
	}
	if !bytes.Equal(data, again) {
		t.Error("a restored state is encoded differently")
	}
	for i := range data {
		if next.Restore(later, data[:i], 0) == nil {
			t.Fatalf("restored from %d of %d bytes", i, len(data))
		}
		changed := bytes.Clone(data)
		changed[i] ^= 0x41
		if next.Restore(later, changed, 0) == nil { // a change that goes undetected must result in valid probabilities
			next.ShouldReuse(later, old, nonIdempotent)
			if p := next.posterior(later, "b").idle[stepCount-1]; !(p >= 0 && p <= 1) {
				t.Fatalf("byte %d: a probability of %g", i, p)
			}
		}
	}
	for name, corrupt := range map[string]func(*state){
		"version":  func(s *state) { s.Version++ },
		"delays":   func(s *state) { s.Detected[onReusedOnly] = s.Detected[onReusedOnly][1:] },
		"twice":    func(s *state) { s.Servers = append(s.Servers, s.Servers[0]) },
		"step":     func(s *state) { s.All.Idle = append(s.All.Idle, s.All.Idle[0]) },
		"steps":    func(s *state) { s.All.Idle[0][0] = stepCount },
		"broken":   func(s *state) { s.DoubleCounted.OnNewConns[1] = s.DoubleCounted.OnNewConns[0] + 1 },
		"too many": func(s *state) { s.All.OnNewConns[0] = maxFractions + 1 },
	} {
		var s state
		if err := decoder.Unmarshal(data, &s); err != nil {
			t.Fatal(err)
		}
		corrupt(&s)
		changed, _ := encoder.Marshal(&s)
		if next.Restore(later, changed, 0) == nil {
			t.Errorf("%s: restored", name)
		}
	}
	set := testSettings()
	set.MaxServers = 2048
	big, _ := New(set)
	for i := range 20480 {
		name := strings.Repeat("p", 100) + fmt.Sprint(i%2048)
		big.Learn(startTime, Use{name, time.Duration(i) * ms, 1 + i%100}, Outcome(i%2), 0, 0)
	}
	big.Learn(startTime, Use{"the worst", ms, 1}, BrokenAfterLastByte, 0, 0)
	big.record("the worst").observed.broken *= 100
	if data, err = big.State(startTime); err != nil || len(data) > MaxStateBytes || len(data) < MaxStateBytes*9/10 {
		t.Errorf("%d bytes, %v", len(data), err)
	}
	if err := next.Restore(startTime, data, 0); err != nil || next.servers["the worst"] == nil || len(next.serverList) < 1024 {
		t.Errorf("%v, %d servers", err, len(next.serverList))
	}
}

func TestSettings(t *testing.T) {
	for key, corrupt := range map[string]func(*Settings){
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
		corrupt(&s)
		if _, err := New(s); err == nil || !strings.Contains(err.Error(), key+":") {
			t.Errorf("%s: %v", key, err)
		}
	}
}

func BenchmarkEstimator(b *testing.B) {
	e := newEstimator(b)
	now := startTime
	for i := range fleetSize {
		now = learnAll(e, now, onReused(serverNames[i], 200*ms, 50, 10))
	}
	use := Use{serverNames[3], 150 * ms, 5}
	b.Run("Take", func(b *testing.B) {
		for b.Loop() {
			e.ShouldReuse(now, use, nonIdempotent)
		}
	})
	b.Run("Hold", func(b *testing.B) {
		for b.Loop() {
			e.LastByteDelay(now, use, nonIdempotent)
		}
	})
	b.Run("Limit", func(b *testing.B) {
		for b.Loop() {
			e.IdleLimit(now, use.Server, nonIdempotent, time.Minute)
		}
	})
	for name, every := range map[string]int{"none broken": 1 << 30, "7% broken": 14, "all broken": 1} {
		b.Run("attempt, "+name, func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				use.Server, now = serverNames[i%fleetSize], now.Add(ms)
				outcome := Responded
				if i%every == every-1 {
					outcome = BrokenAfterLastByte
				}
				e.ShouldReuse(now, use, nonIdempotent)
				e.LastByteDelay(now, use, nonIdempotent)
				e.Learn(now, use, outcome, 0, 0)
				e.IdleLimit(now, use.Server, probe, time.Minute)
			}
		})
	}
}
