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
	leadTime         = 1000.0  // ms before the first client request, in which the sidecars start
	ctxCheckInterval = 1 << 14 // events between two checks of the context
	sampleInterval   = 1000.0  // ms between two rows of the report, and between two sweeps of idle connections
)

// world is the state of one run.
type world struct {
	schedule
	cfg       Config
	machines  []*machine // all machines, including those whose process has ended, in order of their start
	byID      map[policy.ServerID]*machine
	sidecars  []*sidecar
	discovery *discovery
	judge     *judge
	hosted    func(sc *sidecar, seed uint64) Policy // returns a new policy for a sidecar's process

	far    [][]policy.Ms // one-way delay between zones, without jitter
	cut    []bool        // zones that are isolated by a fault
	resets float64       // fraction of the requests and probes that end in a connection reset
	surge  float64       // factor on the arrival rate
	costly []costly

	// Separate random streams, so that the decisions of a policy do not change the load and the faults.
	rngLoad, rngServers, rngStarts, rngNetwork, rngDiscovery, rngClients *rand.Rand

	clock    func() time.Duration
	inPolicy time.Duration
}

// costly multiplies the work of a fraction of one class's requests by a factor.
type costly struct {
	class            int
	fraction, factor float64
}

// Options are settings of Run that are not part of the simulated fleet. The zero value is valid.
type Options struct {
	// Clock, if not nil, is read before and after each call of a policy; Report.InPolicy is the sum of the differences.
	Clock func() time.Duration
	// Wrap, if not nil, returns the policy that a sidecar hosts in place of its own.
	Wrap func(sidecar int, own Policy) Policy
}

// Run simulates one run and returns its report, or the error of ctx if ctx ends first. It is safe for concurrent use.
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

// play processes events until every client request has reached its deadline.
func (w *world) play(ctx context.Context) error {
	longest := 0.0
	for _, c := range w.cfg.Classes {
		longest = max(longest, c.DeadlineMs)
	}
	end := leadTime + w.cfg.Seconds*1000 + longest + sampleInterval
	for len(w.heap) > 0 && w.heap[0].time <= end {
		w.next()()
		if w.processed%ctxCheckInterval == 0 && ctx.Err() != nil {
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
	w.hosted = func(sc *sidecar, seed uint64) Policy {
		p, err := newPolicy(w, sc, seed)
		if err != nil {
			panic(err) // cannot happen: Check and newWorld have validated the configuration
		}
		if o.Wrap != nil {
			p = o.Wrap(sc.number, p)
		}
		return p
	}
	if _, err := policy.New(cfg.policyConfig(0), 0); err != nil {
		return nil, err
	}
	w.populate()
	w.cfg.Faults = slices.Clone(cfg.Faults)
	for i, f := range cfg.Faults {
		rng := rand.New(rand.NewPCG(cfg.Seed, mix(cfg.Seed, uint64(1000+i))))
		f = f.drawn(&cfg, rng)
		w.cfg.Faults[i] = f
		w.at(leadTime+f.At*1000, func() { faultKinds[f.Name].inject(w, f, rng) })
	}
	w.at(leadTime, w.nextArrival())
	return w, nil
}

// populate draws the network, the servers and the sidecars, and schedules the periodic events.
func (w *world) populate() {
	cfg := &w.cfg
	w.far = make([][]policy.Ms, cfg.Zones)
	for i := range w.far {
		w.far[i] = make([]policy.Ms, cfg.Zones)
		w.far[i][i] = cfg.Network.Near
		for j := range i {
			d := uniform(w.rngNetwork, cfg.Network.Far)
			w.far[i][j], w.far[j][i] = d, d
		}
	}
	for i, m := range cfg.models(w.rngServers) {
		w.addMachine(i%cfg.Zones, m.cores, m.speed)
	}
	for i := range cfg.Sidecars {
		sc := &sidecar{world: w, number: i, zone: i % cfg.Zones}
		w.sidecars = append(w.sidecars, sc)
		w.at(w.rngClients.Float64()*leadTime, sc.start) // staggered, so that their timers are not in phase
	}
	w.every(tickInterval, func() {
		for _, m := range w.machines {
			if m.phase != dead {
				m.tick()
			}
		}
	})
	w.at(leadTime, func() {
		w.every(sampleInterval, func() {
			for _, m := range w.machines {
				m.closeIdleConns()
			}
			w.judge.row()
		})
	})
}

// model holds the properties of a server that are drawn at random.
type model struct{ cores, speed float64 }

// models draws the properties of all servers.
func (c *Config) models(rng *rand.Rand) (models []model) {
	for range c.Servers {
		kind := c.Kinds[pickWeighted(rng, len(c.Kinds), func(i int) float64 { return c.Kinds[i].Fraction })]
		models = append(models, model{kind.Cores, uniform(rng, kind.Speed)})
	}
	return models
}

const serverStream = 1 // index of the random stream whose first draws are the properties of the servers

// stream returns the i-th random stream of the run.
func (c *Config) stream(i int) *rand.Rand {
	return rand.New(rand.NewPCG(c.Seed, mix(c.Seed, uint64(i+1))))
}

// capacity returns the work per ms of all servers when they are warm and free of overload and faults.
func (c *Config) capacity() (sum float64) {
	for _, m := range c.models(c.stream(serverStream)) {
		sum += m.cores * m.speed
	}
	return sum
}

// addMachine adds a server whose process has completed slow start.
func (w *world) addMachine(zone int, cores, speed float64) *machine {
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

// every calls do once per period, the first time after one period.
func (w *world) every(period policy.Ms, do func()) {
	w.after(period, func() {
		do()
		w.every(period, do)
	})
}

// alive returns the machines whose process serves or is silent.
func (w *world) alive() []*machine {
	return slices.DeleteFunc(slices.Clone(w.machines), func(m *machine) bool {
		return m.phase == dead || m.phase == draining
	})
}

// uniform draws from the range r.
func uniform(rng *rand.Rand, r [2]float64) float64 { return r[0] + rng.Float64()*(r[1]-r[0]) }

// lognormal draws from the lognormal distribution with the given mean and coefficient of variation cv.
func lognormal(rng *rand.Rand, mean, cv float64) float64 {
	variance := math.Log(1 + cv*cv)
	return mean * math.Exp(math.Sqrt(variance)*rng.NormFloat64()-variance/2)
}

// pickWeighted returns an index below n, drawn by weight.
func pickWeighted(rng *rand.Rand, n int, weight func(int) float64) int {
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

// note adds a line to the timeline of the report.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%7.2f s  ", (w.now-leadTime)/1000) + fmt.Sprintf(format, args...)
	w.judge.timeline = append(w.judge.timeline, line)
}

// ---- Clients: open-loop arrivals, deadlines and retries.

// clientRequest is a request of a client, which may take several client attempts.
type clientRequest struct {
	arrivedAt, deadline policy.Ms
	class, tenant       int
	sidecar             int
	timeout             float64
	work                float64
	wait                policy.Ms
	withinQuota         bool
	tries               int
	settled             bool // the client has its result or sends no more attempts
}

// nextArrival returns a function that sends the next client request and schedules itself for the one after it.
func (w *world) nextArrival() func() {
	cfg := &w.cfg
	cumulative := make([]float64, cfg.Sidecars) // cumulative weights by which a request's sidecar is drawn
	sum := 0.0
	for i := range cumulative {
		weight := math.Pow(float64(i+1), -cfg.Skew)
		if cfg.Zones > 1 {
			weight *= 1 + cfg.ZoneSkew*(1-2*float64(i%cfg.Zones)/float64(cfg.Zones-1))
		}
		sum += weight
		cumulative[i] = sum
	}
	rng := w.rngLoad
	var next func()
	next = func() {
		if w.now >= leadTime+cfg.Seconds*1000 || cfg.Rate == 0 {
			return
		}
		a := &clientRequest{
			arrivedAt: w.now, tenant: -1,
			class: pickWeighted(rng, len(cfg.Classes), func(i int) float64 { return cfg.Classes[i].Fraction }),
		}
		a.sidecar, _ = slices.BinarySearch(cumulative, rng.Float64()*sum)
		if len(cfg.Tenants) > 0 {
			a.tenant = pickWeighted(rng, len(cfg.Tenants), func(i int) float64 { return cfg.Tenants[i].Fraction })
		}
		class := &cfg.Classes[a.class]
		a.deadline = a.arrivedAt + class.DeadlineMs
		a.timeout = uniform(rng, cfg.Clients.Timeout) * class.DeadlineMs
		if class.Spread > 0 {
			a.work, a.wait = lognormal(rng, class.WorkMs, class.Spread), lognormal(rng, class.WaitMs, class.Spread)
		} else if a.work = rng.ExpFloat64() * class.WorkMs; class.WaitMs > 0 {
			a.wait = rng.ExpFloat64() * class.WaitMs
		}
		costlyDraw := rng.Float64() // always drawn, so that runs with and without costly requests are otherwise the same
		for _, c := range w.costly {
			if c.class == a.class && costlyDraw < c.fraction {
				a.work *= c.factor
			}
		}
		a.withinQuota = w.judge.requestArrived(a)
		w.sendClientAttempt(a)
		w.after(rng.ExpFloat64()*1000/(cfg.Rate*w.surge), next)
	}
	return next
}

// sendClientAttempt sends a to its sidecar and schedules the client's timeout.
func (w *world) sendClientAttempt(a *clientRequest) {
	left := min(a.timeout, a.deadline-w.now)
	a.tries++
	w.judge.tally.Tries++
	sc := w.sidecars[a.sidecar]
	if !sc.running {
		w.retry(a, true)
		return
	}
	r := sc.receive(a, a.tries, left)
	incarnation := sc.incarnation
	w.after(left+w.cfg.Rules.ResponseSlack, func() {
		if r.answered || sc.incarnation != incarnation {
			return
		}
		w.judge.overdue(sc, r)
		sc.clientGone(r)
		w.retry(a, !w.cfg.Classes[a.class].NonIdempotent)
	})
	if w.rngClients.Float64() < w.cfg.Clients.Impatient {
		w.after(w.rngClients.Float64()*left, func() {
			if !r.answered && sc.incarnation == incarnation {
				w.judge.clientsLeft++
				a.settled = true
				sc.clientGone(r)
			}
		})
	}
}

// responded handles a final response at the client. kind is StartAttempt if the response comes from a server, and RejectRequest
// or FailRequest if it comes from the sidecar.
func (w *world) responded(r *request, kind policy.ActionKind) {
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

// lost handles a client attempt that was in flight at a sidecar that has been killed.
func (w *world) lost(r *request) {
	w.judge.lost++
	w.retry(r.origin, !w.cfg.Classes[r.origin.class].NonIdempotent)
}

// retry schedules another client attempt if that is safe and retries and time are left; otherwise the client gives up.
func (w *world) retry(a *clientRequest, safe bool) {
	wait := w.cfg.Clients.Wait
	if a.settled || !safe || a.tries > w.cfg.Clients.Retries || w.now+wait >= a.deadline-1 {
		a.settled = true
		return
	}
	w.after(wait, func() {
		if !a.settled {
			w.sendClientAttempt(a)
		}
	})
}
