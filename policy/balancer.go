// Package policy decides for one load-balancing sidecar: where each request goes, when it is tried
// again, and when it is refused. It does no input or output and reads no clock.
//
// config.go, events.go, actions.go and state.go are the interface; the other files hold a decision each.
// It is asynchronous Prequal: probes sent along with requests fill a small pool of fresh loads, from which
// the hot-cold rule picks. See docs/design.md.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"plankrouter/internal/limit"
	"plankrouter/policy/internal/overload"
	"plankrouter/policy/internal/probepool"
	"slices"
)

const tickEvery = 50.0 // ms between looks at what moves without traffic

var never = math.Inf(-1) // when nothing has happened yet

// Timer handles: a request's deadline uses the request's number, the others lie above.
const (
	tickTimer = uint64(1)<<40 + iota
	askTimer
	waitTimer = uint64(1) << 41 // added to the request's number
)

// Balancer is one sidecar's decisions. It is not safe for concurrent use.
type Balancer struct {
	cfg            Config
	rng            *rand.Rand
	out            []Action
	now            Ms
	minAim, margin Ms // answers are given margin before the client stops waiting

	servers      []*server // by rank
	byID         map[ServerID]*server
	ready, local int // servers listed as ready; of those, in the preferred zone
	outAll       int // attempts out
	askWait      Ms

	pool                 probepool.Pool[*server]
	rifs                 []float64 // ring of recently reported RIF
	hotRIF               float64
	probeDue, perRequest float64    // perRequest: probes, at the present rate of requests
	elsewhere            limit.Luck // of probes in other zones: servers with room
	told                 bool       // told: servers report their service times
	sparse               bool       // most servers' news is older than poolAge
	waiting              []*request // for answers of probes, in order of arrival
	lastProbe            Ms

	fit                              overload.Model
	probes                           overload.Probes
	gauge                            overload.Gauge // where nobody reports
	medianMiss                       float64
	fleetLatency                     Ms      // median service time
	fracOwn, fracAll, quotas         float64 // own requests, and all, that servers held; of all tenants
	buckets                          []limit.Bucket
	sendRate, arrivals               limit.Rate
	retries                          float64
	requests                         map[RequestID]*request
	shed                             int // refused since lastLog
	lastLog, bornAt, sureAt, proveAt Ms  // sureAt: the list is all that counts; proveAt: see Sure
}

// New returns a Balancer for cfg whose random choices come from seed.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), minAim: -never,
		byID: map[ServerID]*server{}, requests: map[RequestID]*request{}, hotRIF: -never, sureAt: -never,
	}
	aims, targets := 0.0, []Ms(nil)
	for _, c := range cfg.Classes {
		targets = append(targets, c.LatencyObjective)
		if aims += c.LatencyObjective / float64(len(cfg.Classes)); !c.Retired {
			b.minAim = min(b.minAim, c.LatencyObjective)
		}
	}
	b.cfg.Instances, b.cfg.Classes = max(1, cfg.Instances), slices.Clone(cfg.Classes)
	b.gauge = overload.NewGauge(targets)
	b.margin, b.perRequest, b.elsewhere = 2*cfg.Round+1, limit.MostProbes, 1
	for i, c := range cfg.Classes { // who is to be answered sooner takes less time
		b.fit.Class = append(b.fit.Class, overload.Mean{Prior: c.LatencyObjective / aims})
		b.cfg.Classes[i].Attempts = max(1, cmp.Or(c.Attempts, cfg.MaxAttempts))
	}
	for _, t := range cfg.Tenants {
		b.quotas += t.Quota
	}
	b.buckets = slices.Repeat([]limit.Bucket{{At: math.Inf(-1)}}, len(cfg.Tenants))
	return b, nil
}

// Handle takes one event at time now and appends to out what is to be done about it.
func (b *Balancer) Handle(now Ms, e *Event, out []Action) []Action {
	b.now, b.out = now, out
	switch e.Kind {
	case Started:
		b.bornAt = now
		b.timer(tickTimer, tickEvery)
		if b.cfg.SubscribeToList {
			b.out = append(b.out, Action{Kind: Subscribe})
		}
	case EndpointsUpdated:
		b.onList(e)
	case SubscriptionFailed:
		b.onListFailed()
	case RequestArrived:
		b.onArrival(e)
	case AttemptEnded:
		b.onAttemptDone(e)
	case ClientGone:
		if r := b.requests[e.Request]; r != nil {
			b.abandon(r)
		}
	case TimerFired:
		b.onTimer(e)
	case ProbeEnded:
		b.onProbe(e)
	case ListValidityChanged:
		b.sureAt, b.proveAt = b.now+e.TimeLeft, b.now+e.Elapsed
	case BodyProgressed:
		b.byID[e.Server].quietAt = b.now
	}
	return b.out
}

func (b *Balancer) onTimer(e *Event) {
	switch e.Timer {
	case askTimer:
		b.out = append(b.out, Action{Kind: Subscribe})
	case tickTimer:
		b.tick()
	default:
		r := b.requests[RequestID(e.Timer&^waitTimer)]
		if e.Timer >= waitTimer {
			if r != nil && b.now >= r.waitEnd && slices.Contains(b.waiting, r) {
				b.proceed(r)
			}
		} else if r != nil && !r.done {
			b.finish(r, DeadlineReached)
		}
	}
}

func (b *Balancer) tick() {
	b.timer(tickTimer, tickEvery)
	b.pool.Expire(b.now, b.entryAge())
	b.fit.Age(b.now)
	b.updateMedians()
	left := math.Inf(1)
	for i, c := range b.cfg.Classes {
		if !c.Retired {
			left = min(left, c.LatencyObjective/b.fit.Of(i))
		}
	}
	b.gauge.Look(b.now, left)
	if b.now-b.lastProbe >= idleProbe {
		b.probe(1, b.reach())
	}
	for i := 0; i < tickRetries && !limit.Dear(b.cfg.ProbeCost); i++ { // random ones: none waits for ever
		b.ask(b.draw(func(s *server) int {
			if b.cfg.Probes && s.fails > 0 && !s.probing && b.now >= s.tryAt && s.info.Health == Ready {
				return 1
			}
			return 0
		}))
	}
	for _, s := range b.servers {
		if out := b.excess(s) >= ejectAt; out != s.ejected {
			s.ejected = out
			b.logf("server %d ejected=%t silent=%t miss=%.2f", s.info.ID, out, b.silent(s), b.miss(s))
		}
	}
	if b.shed > 0 && b.now-b.lastLog >= 2000 {
		b.logf("refused %d; part %.2f; pool %d/%d; service %.0f ms; classes %.2f; side by side %.1f; %s",
			b.shed, b.fraction(), b.pool.Len(), b.ready, b.fleetLatency, b.fit.Class, b.fit.SideBySide(),
			&b.gauge)
		b.shed, b.lastLog = 0, b.now
	}
}

func (b *Balancer) logf(format string, args ...any) {
	b.out = append(b.out, Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

func (b *Balancer) timer(id uint64, after Ms) {
	b.out = append(b.out, Action{Kind: SetTimer, Timer: id, After: max(after, 0)})
}
