package keepalive

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	ms      = time.Millisecond
	fleet   = 15               // servers
	aim     = 750 * ms         // of every attempt
	dial    = ms               // for a connection to come up
	retired = 48 * time.Second // idle time after which a connection is closed in any case
	always  = math.MaxInt
)

// testSettings are the settings that the losses below are counted by.
func testSettings() Settings {
	set := Default()
	set.HandshakeCost, set.RetryCost, set.DelayCost = 0.02, 0.1, 0.3
	return set
}

// chance is that with which a reused connection breaks beyond what any attempt risks, by the time since the start, the
// server, the idle time and the attempts carried.
type chance func(at time.Duration, provider int, idle time.Duration, carried int) float64

// world says how connections break.
type world struct {
	name  string
	base  float64 // chance of any attempt, on new connections too
	added chance
	lone  bool       // it is server 0 alone; the fixed policies know that
	worse [2]float64 // most loss beyond the best fixed policy's, for 1,000 attempts, at 100 attempts a second and at 1
}

// when returns a chance of p on a condition.
func when(p float64, is func(at time.Duration, server int, idle time.Duration, carried int) bool) chance {
	return func(at time.Duration, server int, idle time.Duration, carried int) float64 {
		if is(at, server, idle, carried) {
			return p
		}
		return 0
	}
}

func old(_ time.Duration, _ int, idle time.Duration, _ int) bool { return idle > 90*ms }

func worn(most int) func(time.Duration, int, time.Duration, int) bool {
	return func(_ time.Duration, _ int, _ time.Duration, carried int) bool { return carried >= most }
}

var worlds = []world{
	{"nothing breaks", 0, nil, false, [2]float64{0, 0}},
	{"7% of all", 0.07, nil, false, [2]float64{1.5, 1.8}},
	{"20% beyond 90 ms", 0, when(0.2, old), false, [2]float64{1.6, 1.2}},
	{"20% beyond 90 ms, 7% of all", 0.07, when(0.2, old), false, [2]float64{2, 1.5}},
	{"all beyond 90 ms", 0, when(1, old), false, [2]float64{3, 1.6}},
	{"hazard of 0.5 a second", 0, func(_ time.Duration, _ int, idle time.Duration, _ int) float64 {
		return 1 - math.Exp(-0.5*idle.Seconds())
	}, false, [2]float64{0.5, 1.4}},
	{"all after 100 calls", 0, when(1, worn(100)), false, [2]float64{0.6, 0.4}},
	{"all after 10 calls", 0, when(1, worn(10)), false, [2]float64{1, 1.3}},
	{"one provider, all beyond 90 ms", 0, when(1, func(_ time.Duration, p int, idle time.Duration, _ int) bool {
		return p == 0 && idle > 90*ms
	}), true, [2]float64{1.3, 1.2}},
	{"one provider, 20% of all kept", 0, when(0.2, func(_ time.Duration, p int, _ time.Duration, _ int) bool {
		return p == 0
	}), true, [2]float64{0.3, 0.7}},
	{"all beyond 90 ms, after 30 s", 0, when(1, func(at time.Duration, _ int, idle time.Duration, _ int) bool {
		return at > 30*time.Second && idle > 90*ms
	}), false, [2]float64{0, 1.6}},
	{"all beyond 90 ms, for 30 s", 0, when(1, func(at time.Duration, _ int, idle time.Duration, _ int) bool {
		return at < 30*time.Second && idle > 90*ms
	}), false, [2]float64{0, 0.5}},
}

// policy is what the simulated pool asks: an Estimator, or what it is compared with.
type policy interface {
	ShouldReuse(time.Time, Use, AttemptCost) bool
	LastByteDelay(time.Time, Use, AttemptCost) time.Duration
	IdleLimit(time.Time, string, AttemptCost, time.Duration) time.Duration
	Learn(time.Time, Use, Outcome, time.Duration, time.Duration)
	Dialed(string, time.Duration)
}

// fixed learns nothing.
type fixed struct {
	once, safe time.Duration // limits on the idle time
	carried    int           // and on the attempts carried
	pause      time.Duration // for what must not run twice
	lone       bool          // the limits are for server 0 alone
}

var plain = fixed{once: retired, safe: retired, carried: always}

func (f *fixed) ShouldReuse(_ time.Time, u Use, s AttemptCost) bool {
	limit := f.safe
	if s.NonIdempotent {
		limit = f.once
	}
	return f.lone && u.Server != names[0] || u.Idle <= limit && u.Carried < f.carried
}

func (f *fixed) LastByteDelay(_ time.Time, _ Use, s AttemptCost) time.Duration {
	if s.NonIdempotent {
		return f.pause
	}
	return 0
}

func (f *fixed) IdleLimit(_ time.Time, _ string, _ AttemptCost, most time.Duration) time.Duration {
	return most
}
func (f *fixed) Learn(time.Time, Use, Outcome, time.Duration, time.Duration) {}
func (f *fixed) Dialed(string, time.Duration)                                {}

// threshold learns one limit for all: the least power of two beyond which 15% more break than on new connections.
type threshold struct {
	fixed
	seen [40]struct{ calls, broken float64 }
	at   time.Time
}

func (a *threshold) Learn(now time.Time, u Use, f Outcome, _, _ time.Duration) {
	fade := math.Exp2(-now.Sub(a.at).Seconds() / 10)
	a.at = now
	for i := range a.seen {
		a.seen[i].calls *= fade
		a.seen[i].broken *= fade
	}
	of := &a.seen[int(math.Log2(1+float64(u.Idle.Milliseconds())))]
	of.calls++
	if f != Responded {
		of.broken++
	}
	a.once = retired
	for i, s := range a.seen {
		if i >= 5 && s.broken >= 3 && s.broken/s.calls > a.seen[0].broken/max(1, a.seen[0].calls)+0.15 {
			a.once = ms << i / 2
			break
		}
	}
	a.safe = a.once
}

var names = func() (n [fleet]string) {
	for i := range n {
		n[i] = fmt.Sprint("provider-", i)
	}
	return n
}()

// lost plays n attempts at rate a second, 30% of which must not run twice, and returns the loss. The same seed brings the
// same attempts, whatever the policy.
func (w *world) lost(p policy, rate float64, n int, seed uint64) (loss float64) {
	type conn struct {
		freed   time.Duration
		carried int
	}
	var pools [fleet][]conn
	var at time.Duration
	set, start, rng := testSettings(), time.Unix(1e9, 0), rand.New(rand.NewPCG(seed, 1))
	late := func(d time.Duration) float64 { return set.DelayCost * float64(d) / float64(aim) }
	for range n {
		at += time.Duration(rng.ExpFloat64() / rate * 1e9)
		work := 5*ms + time.Duration(rng.ExpFloat64()*float64(20*ms))
		to, breaks, breaksBase := rng.IntN(fleet), rng.Float64(), rng.Float64()
		// Of breaks on any attempt half come at once; of those that do, 60% show before the last byte is there.
		atOnce, visible, shows := rng.Float64() < 0.5, rng.Float64() < 0.6, time.Duration(rng.ExpFloat64()*float64(ms))
		now, s := start.Add(at), AttemptCost{NonIdempotent: rng.Float64() < 0.3, LatencyObjective: aim, PriorityWeight: 1}

		u, pool, lately := Use{Server: names[to]}, &pools[to], -1
		for i, c := range *pool {
			if c.freed <= at && (lately < 0 || c.freed > (*pool)[lately].freed) {
				lately = i
			}
		}
		if lately >= 0 {
			c := (*pool)[lately]
			kept := Use{u.Server, max(1, at-c.freed), c.carried}
			closed := kept.Idle > p.IdleLimit(now, u.Server, AttemptCost{LatencyObjective: aim, PriorityWeight: 1}, retired)
			take := !closed && p.ShouldReuse(now, kept, s)
			if take {
				u = kept
			}
			if take || closed {
				*pool = append((*pool)[:lately], (*pool)[lately+1:]...)
			}
		}
		added := 0.0
		if !u.isKept() {
			p.Dialed(u.Server, dial)
			loss += set.HandshakeCost + late(dial)
		} else if w.added != nil {
			added = w.added(at, to, u.Idle, u.Carried)
		}

		held := p.LastByteDelay(now, u, s)
		took := time.Duration(0)
		if breaks >= added && breaksBase < w.base && !atOnce {
			took, visible = 50*ms, false
		}
		switch {
		case breaks >= added && breaksBase >= w.base:
			loss += late(held)
			p.Learn(now, u, Responded, held, work)
			*pool = append(*pool, conn{at + held + work, u.Carried + 1})
		case visible && shows <= held:
			loss += set.RetryCost + late(shows)
			p.Learn(now, u, BrokenBeforeLastByte, held, shows)
		case s.NonIdempotent:
			loss++
			p.Learn(now, u, BrokenAfterLastByte, held, took)
		default:
			loss += set.RetryCost + late(held+took)
			p.Learn(now, u, BrokenAfterLastByte, held, took)
		}
	}
	return loss
}

// best searches the fixed policies, one setting after the other.
func (w *world) best(rate float64, n int) fixed {
	f := plain
	f.lone = w.lone
	least := w.lost(&f, rate, n, 0)
	try := func(g fixed) {
		if loss := w.lost(&g, rate, n, 0); loss < least {
			f, least = g, loss
		}
	}
	for _, c := range []int{10, 100} {
		g := f
		g.carried = c
		try(g)
	}
	for _, l := range []time.Duration{0, 90 * ms, 200 * ms, 400 * ms} {
		g := f
		g.once = l
		try(g)
		g = f
		g.safe = l
		try(g)
	}
	for _, d := range []time.Duration{2 * ms, 4 * ms} {
		g := f
		g.pause = d
		try(g)
	}
	return f
}

// In every world an Estimator loses little more than the best of the fixed policies, which knows that world.
func TestWorlds(t *testing.T) {
	const n, seeds = 6000, 2
	for _, w := range worlds {
		for i, rate := range []float64{100, 1} {
			t.Run(fmt.Sprintf("%s, at %g a second", w.name, rate), func(t *testing.T) {
				t.Parallel()
				var pool, limit, best, book float64
				f := w.best(rate, n)
				for seed := range uint64(seeds) {
					b, _ := New(testSettings())
					pool += w.lost(&plain, rate, n, seed) * 1000 / n / seeds
					limit += w.lost(&threshold{fixed: plain}, rate, n, seed) * 1000 / n / seeds
					best += w.lost(&f, rate, n, seed) * 1000 / n / seeds
					book += w.lost(b, rate, n, seed) * 1000 / n / seeds
				}
				t.Logf("| %s | %g | %.1f | %.1f | %.1f | %.1f |", w.name, rate, pool, limit, best, book)
				if book > best+w.worse[i] {
					t.Errorf("a Book loses %.2f, more than %.2f + %.2f", book, best, w.worse[i])
				}
			})
		}
	}
}
