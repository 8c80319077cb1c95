package keepalive

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	ms               = time.Millisecond
	fleetSize        = 15               // servers
	latencyObjective = 750 * ms         // of all attempts
	dial             = ms               // time to establish a connection
	maxIdle          = 48 * time.Second // idle time after which a connection is closed in any case
	unlimited        = math.MaxInt
)

// testSettings returns the settings of the Estimator and of the loss that simulate counts.
func testSettings() Settings {
	set := Default()
	set.HandshakeCost, set.RetryCost, set.DelayCost = 0.02, 0.1, 0.3
	return set
}

// breakProbability returns the probability that a reused connection breaks, in addition to the base probability of all
// attempts, by the time since the start, the server, the idle time and the attempts carried.
type breakProbability func(at time.Duration, server int, idle time.Duration, carried int) float64

// scenario describes how connections break.
type scenario struct {
	name             string
	baseProbability  float64          // probability for any attempt, on new connections too
	addedProbability breakProbability // nil = 0
	server0Only      bool             // only server 0 breaks connections; the fixed policies apply their limits to it alone
	maxExtraLoss     [2]float64       // bound on the loss beyond the best fixed policy's, per 1,000 attempts, at 100/s and 1/s
}

// constantIf returns a probability of p where the condition holds, else 0.
func constantIf(p float64, is func(at time.Duration, server int, idle time.Duration, carried int) bool) breakProbability {
	return func(at time.Duration, server int, idle time.Duration, carried int) float64 {
		if is(at, server, idle, carried) {
			return p
		}
		return 0
	}
}

func idleLong(_ time.Duration, _ int, idle time.Duration, _ int) bool { return idle > 90*ms }

func carriedAtLeast(limit int) func(time.Duration, int, time.Duration, int) bool {
	return func(_ time.Duration, _ int, _ time.Duration, carried int) bool { return carried >= limit }
}

var scenarios = []scenario{
	{"no breaks", 0, nil, false, [2]float64{0, 0}},
	{"7% of all attempts", 0.07, nil, false, [2]float64{1.5, 1.8}},
	{"20% beyond 90 ms idle", 0, constantIf(0.2, idleLong), false, [2]float64{1.6, 1.2}},
	{"20% beyond 90 ms idle, 7% of all attempts", 0.07, constantIf(0.2, idleLong), false, [2]float64{2, 1.5}},
	{"all beyond 90 ms idle", 0, constantIf(1, idleLong), false, [2]float64{3, 1.6}},
	{"hazard of 0.5 a second", 0, func(_ time.Duration, _ int, idle time.Duration, _ int) float64 {
		return 1 - math.Exp(-0.5*idle.Seconds())
	}, false, [2]float64{0.5, 1.4}},
	{"all after 100 attempts", 0, constantIf(1, carriedAtLeast(100)), false, [2]float64{0.6, 0.4}},
	{"all after 10 attempts", 0, constantIf(1, carriedAtLeast(10)), false, [2]float64{1, 1.3}},
	{"one server, all beyond 90 ms idle", 0, constantIf(1, func(_ time.Duration, server int, idle time.Duration, _ int) bool {
		return server == 0 && idle > 90*ms
	}), true, [2]float64{1.3, 1.2}},
	{"one server, 20% of all reused", 0, constantIf(0.2, func(_ time.Duration, server int, _ time.Duration, _ int) bool {
		return server == 0
	}), true, [2]float64{0.3, 0.7}},
	{"all beyond 90 ms idle, after 30 s", 0, constantIf(1, func(at time.Duration, _ int, idle time.Duration, _ int) bool {
		return at > 30*time.Second && idle > 90*ms
	}), false, [2]float64{0, 1.6}},
	{"all beyond 90 ms idle, for 30 s", 0, constantIf(1, func(at time.Duration, _ int, idle time.Duration, _ int) bool {
		return at < 30*time.Second && idle > 90*ms
	}), false, [2]float64{0, 0.5}},
}

// policy makes the decisions of the simulated pool: an Estimator, or a policy to compare it with.
type policy interface {
	ShouldReuse(time.Time, Use, AttemptCost) bool
	LastByteDelay(time.Time, Use, AttemptCost) time.Duration
	IdleLimit(time.Time, string, AttemptCost, time.Duration) time.Duration
	Learn(time.Time, Use, Outcome, time.Duration, time.Duration)
	Dialed(string, time.Duration)
}

// fixedPolicy applies constant limits.
type fixedPolicy struct {
	nonIdempotentLimit, idempotentLimit time.Duration // limits on the idle time, by kind of request
	maxCarried                          int           // limit on the attempts carried
	delay                               time.Duration // last-byte delay of non-idempotent requests
	server0Only                         bool          // the limits apply to server 0 only
}

var reuseAlways = fixedPolicy{nonIdempotentLimit: maxIdle, idempotentLimit: maxIdle, maxCarried: unlimited}

func (f *fixedPolicy) ShouldReuse(_ time.Time, u Use, cost AttemptCost) bool {
	limit := f.idempotentLimit
	if cost.NonIdempotent {
		limit = f.nonIdempotentLimit
	}
	return f.server0Only && u.Server != serverNames[0] || u.Idle <= limit && u.Carried < f.maxCarried
}

func (f *fixedPolicy) LastByteDelay(_ time.Time, _ Use, cost AttemptCost) time.Duration {
	if cost.NonIdempotent {
		return f.delay
	}
	return 0
}

func (f *fixedPolicy) IdleLimit(_ time.Time, _ string, _ AttemptCost, limit time.Duration) time.Duration {
	return limit
}
func (f *fixedPolicy) Learn(time.Time, Use, Outcome, time.Duration, time.Duration) {}
func (f *fixedPolicy) Dialed(string, time.Duration)                                {}

// thresholdPolicy learns one idle limit for all servers: the shortest, by powers of two, beyond which the share of breaks
// exceeds that of new connections by 0.15.
type thresholdPolicy struct {
	fixedPolicy
	byIdle    [40]struct{ attempts, broken float64 }
	learnedAt time.Time
}

func (p *thresholdPolicy) Learn(now time.Time, u Use, outcome Outcome, _, _ time.Duration) {
	fade := math.Exp2(-now.Sub(p.learnedAt).Seconds() / 10)
	p.learnedAt = now
	for i := range p.byIdle {
		p.byIdle[i].attempts *= fade
		p.byIdle[i].broken *= fade
	}
	bucket := &p.byIdle[int(math.Log2(1+float64(u.Idle.Milliseconds())))]
	bucket.attempts++
	if outcome != Responded {
		bucket.broken++
	}
	p.nonIdempotentLimit = maxIdle
	for i, s := range p.byIdle {
		if i >= 5 && s.broken >= 3 && s.broken/s.attempts > p.byIdle[0].broken/max(1, p.byIdle[0].attempts)+0.15 {
			p.nonIdempotentLimit = ms << i / 2
			break
		}
	}
	p.idempotentLimit = p.nonIdempotentLimit
}

var serverNames = func() (n [fleetSize]string) {
	for i := range n {
		n[i] = fmt.Sprint("server-", i)
	}
	return n
}()

// simulate runs n attempts at the given rate per second, 30% of them non-idempotent, and returns the total loss. The same
// seed results in the same attempts whatever the policy.
func (s *scenario) simulate(p policy, rate float64, n int, seed uint64) (loss float64) {
	type conn struct {
		freed   time.Duration
		carried int
	}
	var pools [fleetSize][]conn
	var at time.Duration
	set, start, rng := testSettings(), time.Unix(1e9, 0), rand.New(rand.NewPCG(seed, 1))
	delayLoss := func(d time.Duration) float64 { return set.DelayCost * float64(d) / float64(latencyObjective) }
	for range n {
		at += time.Duration(rng.ExpFloat64() / rate * 1e9)
		work := 5*ms + time.Duration(rng.ExpFloat64()*float64(20*ms))
		server, breaks, breaksBase := rng.IntN(fleetSize), rng.Float64(), rng.Float64()
		// Half of the base breaks and all added ones occur at once; 60% of those are detectable before the last byte is written.
		immediate, detectable, detectedAfter := rng.Float64() < 0.5, rng.Float64() < 0.6, time.Duration(rng.ExpFloat64()*float64(ms))
		now, cost := start.Add(at), AttemptCost{NonIdempotent: rng.Float64() < 0.3, LatencyObjective: latencyObjective, PriorityWeight: 1}

		u, pool, lastUsed := Use{Server: serverNames[server]}, &pools[server], -1
		for i, c := range *pool {
			if c.freed <= at && (lastUsed < 0 || c.freed > (*pool)[lastUsed].freed) {
				lastUsed = i
			}
		}
		if lastUsed >= 0 {
			c := (*pool)[lastUsed]
			reused := Use{u.Server, max(1, at-c.freed), c.carried}
			closed := reused.Idle > p.IdleLimit(now, u.Server, AttemptCost{LatencyObjective: latencyObjective, PriorityWeight: 1}, maxIdle)
			reuse := !closed && p.ShouldReuse(now, reused, cost)
			if reuse {
				u = reused
			}
			if reuse || closed {
				*pool = append((*pool)[:lastUsed], (*pool)[lastUsed+1:]...)
			}
		}
		added := 0.0
		if !u.isReused() {
			p.Dialed(u.Server, dial)
			loss += set.HandshakeCost + delayLoss(dial)
		} else if s.addedProbability != nil {
			added = s.addedProbability(at, server, u.Idle, u.Carried)
		}

		held := p.LastByteDelay(now, u, cost)
		took := time.Duration(0)
		if breaks >= added && breaksBase < s.baseProbability && !immediate {
			took, detectable = 50*ms, false
		}
		switch {
		case breaks >= added && breaksBase >= s.baseProbability:
			loss += delayLoss(held)
			p.Learn(now, u, Responded, held, work)
			*pool = append(*pool, conn{at + held + work, u.Carried + 1})
		case detectable && detectedAfter <= held:
			loss += set.RetryCost + delayLoss(detectedAfter)
			p.Learn(now, u, BrokenBeforeLastByte, held, detectedAfter)
		case cost.NonIdempotent:
			loss++
			p.Learn(now, u, BrokenAfterLastByte, held, took)
		default:
			loss += set.RetryCost + delayLoss(held+took)
			p.Learn(now, u, BrokenAfterLastByte, held, took)
		}
	}
	return loss
}

// bestFixed returns the fixed policy with the lowest loss, found by coordinate search.
func (s *scenario) bestFixed(rate float64, n int) fixedPolicy {
	f := reuseAlways
	f.server0Only = s.server0Only
	minLoss := s.simulate(&f, rate, n, 0)
	try := func(g fixedPolicy) {
		if loss := s.simulate(&g, rate, n, 0); loss < minLoss {
			f, minLoss = g, loss
		}
	}
	for _, c := range []int{10, 100} {
		g := f
		g.maxCarried = c
		try(g)
	}
	for _, l := range []time.Duration{0, 90 * ms, 200 * ms, 400 * ms} {
		g := f
		g.nonIdempotentLimit = l
		try(g)
		g = f
		g.idempotentLimit = l
		try(g)
	}
	for _, d := range []time.Duration{2 * ms, 4 * ms} {
		g := f
		g.delay = d
		try(g)
	}
	return f
}

// In every scenario the loss of an Estimator is at most slightly above that of the best fixed policy for that scenario.
func TestLossNearBestFixedPolicy(t *testing.T) {
	const n, seeds = 6000, 2
	for _, s := range scenarios {
		for i, rate := range []float64{100, 1} {
			t.Run(fmt.Sprintf("%s, at %g a second", s.name, rate), func(t *testing.T) {
				t.Parallel()
				var unlimitedReuse, limit, best, learned float64
				f := s.bestFixed(rate, n)
				for seed := range uint64(seeds) {
					e, _ := New(testSettings())
					unlimitedReuse += s.simulate(&reuseAlways, rate, n, seed) * 1000 / n / seeds
					limit += s.simulate(&thresholdPolicy{fixedPolicy: reuseAlways}, rate, n, seed) * 1000 / n / seeds
					best += s.simulate(&f, rate, n, seed) * 1000 / n / seeds
					learned += s.simulate(e, rate, n, seed) * 1000 / n / seeds
				}
				t.Logf("| %s | %g | %.1f | %.1f | %.1f | %.1f |", s.name, rate, unlimitedReuse, limit, best, learned)
				if learned > best+s.maxExtraLoss[i] {
					t.Errorf("an Estimator loses %.2f, more than %.2f + %.2f", learned, best, s.maxExtraLoss[i])
				}
			})
		}
	}
}
