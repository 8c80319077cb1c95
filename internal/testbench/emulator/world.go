package emulator

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"plankrouter/policy"
)

const (
	lead       = 1000.0 // ms before the first arrival, in which the sidecars start
	lookEvery  = 1 << 14
	sweepEvery = 1000.0 // ms between looks at idle connections, and between two rows
)

// world is one day while it is played.
type world struct {
	schedule
	cfg       Config
	machines  []*machine // all there ever were, in order of their start
	byID      map[policy.ServerID]*machine
	sidecars  []*sidecar
	discovery *discovery
	judge     *judge
	host      func(sc *sidecar, seed uint64) Policy

	far    [][]policy.Ms // one way, between zones
	cut    []bool        // zones that nothing enters or leaves
	resets float64       // part of what is sent that ends in a reset
	surge  float64       // times the usual arrivals
	costly []costly

	// Apart from each other, so that what a policy does leaves the load and the faults as they are.
	rngLoad, rngServers, rngStarts, rngNetwork, rngDiscovery, rngClients *rand.Rand

	clock    func() time.Duration
	inPolicy time.Duration
}

// costly makes part of one class's requests cost times the work.
type costly struct {
	class       int
	part, times float64
}

// Options are what does not belong to a day. The zero value is good.
type Options struct {
	// Clock, if there is one, is read around each call of a policy; the time between is in Report.InPolicy.
	Clock func() time.Duration
	// Wrap, if there is one, gives the policy that a sidecar hosts in place of its own.
	Wrap func(sidecar int, own Policy) Policy
}

// Run plays one day. It returns early with ctx's error if ctx ends. It is safe for concurrent use.
func Run(ctx context.Context, cfg Config, o Options) (*Report, error) {
	w, err := newWorld(cfg, o)
	if err != nil {
		return nil, err
	}
	if err := w.play(ctx); err != nil {
		return nil, err
	}
	return w.report(), nil
}

// play runs the day until all is answered.
func (w *world) play(ctx context.Context) error {
	longest := 0.0
	for _, c := range w.cfg.Classes {
		longest = max(longest, c.DeadlineMs)
	}
	end := lead + w.cfg.Seconds*1000 + longest + sweepEvery
	for len(w.heap) > 0 && w.heap[0].time <= end {
		w.next()()
		if w.processed%lookEvery == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

func newWorld(cfg Config, o Options) (*world, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	w := &world{cfg: cfg, byID: map[policy.ServerID]*machine{}, surge: 1, cut: make([]bool, cfg.Zones), clock: o.Clock}
	for i, r := range []**rand.Rand{
		&w.rngLoad, &w.rngServers, &w.rngStarts, &w.rngNetwork,
		&w.rngDiscovery, &w.rngClients,
	} {
		*r = cfg.stream(i)
	}
	w.judge = newJudge(w)
	w.discovery = &discovery{world: w}
	w.host = func(sc *sidecar, seed uint64) Policy {
		p, err := newPolicy(w, sc, seed)
		if err != nil {
			panic(err) // Check and newWorld have seen this configuration work
		}
		if o.Wrap != nil {
			p = o.Wrap(sc.number, p)
		}
		return p
	}
	if _, err := policy.New(cfg.logic(0), 0); err != nil {
		return nil, err
	}
	w.layOut()
	w.cfg.Faults = slices.Clone(cfg.Faults)
	for i, t := range cfg.Faults {
		rng := rand.New(rand.NewPCG(cfg.Seed, mix(cfg.Seed, uint64(1000+i))))
		t = t.drawn(&cfg, rng)
		w.cfg.Faults[i] = t
		w.at(lead+t.At*1000, func() { faultKinds[t.Name].play(w, t, rng) })
	}
	w.at(lead, w.nextArrival())
	return w, nil
}

// layOut draws the network, the servers and the sidecars, and sets going what goes on all day.
func (w *world) layOut() {
	cfg := &w.cfg
	w.far = make([][]policy.Ms, cfg.Zones)
	for i := range w.far {
		w.far[i] = make([]policy.Ms, cfg.Zones)
		w.far[i][i] = cfg.Network.Near
		for j := range i {
			d := between(w.rngNetwork, cfg.Network.Far)
			w.far[i][j], w.far[j][i] = d, d
		}
	}
	for i, m := range cfg.models(w.rngServers) {
		w.machine(i%cfg.Zones, m.cores, m.speed)
	}
	for i := range cfg.Sidecars {
		sc := &sidecar{world: w, number: i, zone: i % cfg.Zones}
		w.sidecars = append(w.sidecars, sc)
		w.at(w.rngClients.Float64()*lead, sc.start) // their clocks must not tick together
	}
	w.every(tickInterval, func() {
		for _, m := range w.machines {
			if m.phase != dead {
				m.tick()
			}
		}
	})
	w.at(lead, func() {
		w.every(sweepEvery, func() {
			for _, m := range w.machines {
				m.closeIdleConns()
			}
			w.judge.row()
		})
	})
}

// model is a server's part that is drawn.
type model struct{ cores, speed float64 }

// models draws the servers.
func (c *Config) models(rng *rand.Rand) (models []model) {
	for range c.Servers {
		kind := c.Kinds[pick(rng, len(c.Kinds), func(i int) float64 { return c.Kinds[i].Fraction })]
		models = append(models, model{kind.Cores, between(rng, kind.Speed)})
	}
	return models
}

const serverStream = 1 // of a day's streams, the one that its servers are drawn from first

// stream is the i-th stream of the day's draws.
func (c *Config) stream(i int) *rand.Rand {
	return rand.New(rand.NewPCG(c.Seed, mix(c.Seed, uint64(i+1))))
}

// capacity is the work that all servers do in a ms when all is well with them.
func (c *Config) capacity() (sum float64) {
	for _, m := range c.models(c.stream(serverStream)) {
		sum += m.cores * m.speed
	}
	return sum
}

// machine adds a server whose process has been running for long.
func (w *world) machine(zone int, cores, speed float64) *machine {
	m := &machine{
		world: w, id: policy.ServerID(len(w.machines) + 1), zone: zone, cores: cores, speed: speed, slow: 1,
		host: new(host), overloadedSince: -1, idleSince: -1, probeTokens: w.cfg.Server.MaxProbes,
	}
	m.host.current = m
	w.machines = append(w.machines, m)
	w.byID[m.id] = m
	w.discovery.endpoints = append(w.discovery.endpoints, m.info(policy.Ready))
	return m
}

// every does do again and again, for the first time after one period.
func (w *world) every(period policy.Ms, do func()) {
	w.after(period, func() {
		do()
		w.every(period, do)
	})
}

// alive are the machines with a process that serves or is thought to.
func (w *world) alive() []*machine {
	return slices.DeleteFunc(slices.Clone(w.machines), func(m *machine) bool {
		return m.phase == dead || m.phase == draining
	})
}

func between(rng *rand.Rand, r [2]float64) float64 { return r[0] + rng.Float64()*(r[1]-r[0]) }

// lognormal draws from the distribution with that mean and coefficient of variation.
func lognormal(rng *rand.Rand, mean, cv float64) float64 {
	variance := math.Log(1 + cv*cv)
	return mean * math.Exp(math.Sqrt(variance)*rng.NormFloat64()-variance/2)
}

// pick draws one of n by weight.
func pick(rng *rand.Rand, n int, weight func(int) float64) int {
	all := 0.0
	for i := range n {
		all += weight(i)
	}
	x := rng.Float64() * all
	for i := range n - 1 {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// note adds a line to the day's time line.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%7.2f s  ", (w.now-lead)/1000) + fmt.Sprintf(format, args...)
	w.judge.timeline = append(w.judge.timeline, line)
}

// ---- Clients: arrivals that wait for nothing, deadlines, and tries that are repeated.

// clientRequest is a first try with all that repeats it.
type clientRequest struct {
	arrivedAt, deadline policy.Ms
	class, tenant       int
	sidecar             int
	timeout             float64
	work                float64
	wait                policy.Ms
	withinQuota         bool
	tries               int
	settled             bool
}

// nextArrival returns what brings the next request and enters itself again.
func (w *world) nextArrival() func() {
	cfg := &w.cfg
	cumulated := make([]float64, cfg.Sidecars) // cumulated, of the sidecars' traffic
	sum := 0.0
	for i := range cumulated {
		weight := math.Pow(float64(i+1), -cfg.Skew)
		if cfg.Zones > 1 {
			weight *= 1 + cfg.ZoneSkew*(1-2*float64(i%cfg.Zones)/float64(cfg.Zones-1))
		}
		sum += weight
		cumulated[i] = sum
	}
	rng := w.rngLoad
	var next func()
	next = func() {
		if w.now >= lead+cfg.Seconds*1000 || cfg.Rate == 0 {
			return
		}
		a := &clientRequest{
			arrivedAt: w.now, tenant: -1,
			class: pick(rng, len(cfg.Classes), func(i int) float64 { return cfg.Classes[i].Fraction }),
		}
		a.sidecar, _ = slices.BinarySearch(cumulated, rng.Float64()*sum)
		if len(cfg.Tenants) > 0 {
			a.tenant = pick(rng, len(cfg.Tenants), func(i int) float64 { return cfg.Tenants[i].Fraction })
		}
		class := &cfg.Classes[a.class]
		a.deadline = a.arrivedAt + class.DeadlineMs
		a.timeout = between(rng, cfg.Clients.Timeout) * class.DeadlineMs
		if class.Spread > 0 {
			a.work, a.wait = lognormal(rng, class.WorkMs, class.Spread), lognormal(rng, class.WaitMs, class.Spread)
		} else if a.work = rng.ExpFloat64() * class.WorkMs; class.WaitMs > 0 {
			a.wait = rng.ExpFloat64() * class.WaitMs
		}
		costlyDraw := rng.Float64() // drawn on every day, so that days with and without costly ones are otherwise the same
		for _, c := range w.costly {
			if c.class == a.class && costlyDraw < c.part {
				a.work *= c.times
			}
		}
		a.withinQuota = w.judge.requestArrived(a)
		w.sendTry(a)
		w.after(rng.ExpFloat64()*1000/(cfg.Rate*w.surge), next)
	}
	return next
}

// sendTry brings a to its sidecar.
func (w *world) sendTry(a *clientRequest) {
	left := min(a.timeout, a.deadline-w.now)
	a.tries++
	w.judge.tally.Tries++
	sc := w.sidecars[a.sidecar]
	if !sc.running {
		w.retry(a, true)
		return
	}
	r := sc.take(a, a.tries, left)
	incarnation := sc.incarnation
	w.after(left+w.cfg.Rules.AnswerSlack, func() {
		if r.answered || sc.incarnation != incarnation {
			return
		}
		w.judge.overdue(sc, r)
		sc.gone(r)
		w.retry(a, !w.cfg.Classes[a.class].NonIdempotent)
	})
	if w.rngClients.Float64() < w.cfg.Clients.Impatient {
		w.after(w.rngClients.Float64()*left, func() {
			if !r.answered && sc.incarnation == incarnation {
				w.judge.left++
				a.settled = true
				sc.gone(r)
			}
		})
	}
}

// answered is a final answer at the client: kind is Send for the server's own, Refuse or Fail for the sidecar's.
func (w *world) answered(r *request, kind policy.ActionKind) {
	a := r.origin
	switch {
	case a.settled:
	case kind == policy.StartAttempt:
		a.settled = true
		w.judge.served(r)
	case kind == policy.RejectRequest:
		w.retry(a, true)
	default:
		w.retry(a, !w.cfg.Classes[a.class].NonIdempotent)
	}
}

// lost is a try whose sidecar has died with it.
func (w *world) lost(r *request) {
	w.judge.lost++
	w.retry(r.origin, !w.cfg.Classes[r.origin.class].NonIdempotent)
}

// retry tries once more where that is harmless and there is time, or gives up.
func (w *world) retry(a *clientRequest, harmless bool) {
	wait := w.cfg.Clients.Wait
	if a.settled || !harmless || a.tries > w.cfg.Clients.Retries || w.now+wait >= a.deadline-1 {
		a.settled = true
		return
	}
	w.after(wait, func() {
		if !a.settled {
			w.sendTry(a)
		}
	})
}
