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
	"plankrouter/internal/probing"
	"plankrouter/policy/internal/overload"
	"plankrouter/policy/internal/probepool"
	"plankrouter/policy/internal/stats"
	"plankrouter/policy/internal/tokenbucket"
	"slices"
)

const tickInterval = 50.0 // ms between looks at what moves without traffic

var never = math.Inf(-1) // when nothing has happened yet

// Timer handles: a request's deadline uses the request's number, the others lie above.
const (
	tickTimer = uint64(1)<<40 + iota
	resubscribeTimer
	probeWaitTimer = uint64(1) << 41 // added to the request's number
)

// Balancer is one sidecar's decisions. It is not safe for concurrent use.
type Balancer struct {
	cfg                        Config
	rng                        *rand.Rand
	actions                    []Action
	now                        Ms
	minObjective, answerMargin Ms // answers are given margin before the client stops waiting

	servers                []*server // by rank
	byID                   map[ServerID]*server
	readyCount, localCount int // servers listed as ready; of those, in the preferred zone
	inFlight               int // attempts out
	resubscribeWait        Ms

	pool                          probepool.Pool[*server]
	recentRIFs                    []float64 // ring of recently reported RIF
	hotRIF                        float64
	probeCredit, probesPerRequest float64           // probesPerRequest: probes, at the present rate of requests
	roomElsewhere                 stats.SuccessRate // of probes in other zones: servers with room
	latencyReported               bool              // told: servers report their service times
	reportsSparse                 bool              // most servers' news is older than maxPoolAge
	waitingForProbes              []*request        // for answers of probes, in order of arrival
	lastProbeAt                   Ms

	loadModel                                          overload.Model
	probeTimes                                         overload.ProbeTimes
	gauge                                              overload.Gauge // where nobody reports
	medianFailureRate                                  float64
	fleetLatency                                       Ms      // median service time
	ownInFlightSum, totalInFlightSum, totalQuota       float64 // own requests, and all, that servers held; of all tenants
	tenantBuckets                                      []tokenbucket.Bucket
	sendRate, arrivalRate                              stats.Rate
	retryBudget                                        float64
	requests                                           map[RequestID]*request
	refusedSinceLog                                    int // refused since loggedAt
	loggedAt, startedAt, listValidUntil, probeAnyUntil Ms  // listValidUntil: the list is all that counts; probeAnyUntil: see Sure
}

// New returns a Balancer for cfg whose random choices come from seed.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), minObjective: -never,
		byID: map[ServerID]*server{}, requests: map[RequestID]*request{}, hotRIF: -never, listValidUntil: -never,
	}
	meanObjective, objectives := 0.0, []Ms(nil)
	for _, c := range cfg.Classes {
		objectives = append(objectives, c.LatencyObjective)
		if meanObjective += c.LatencyObjective / float64(len(cfg.Classes)); !c.Retired {
			b.minObjective = min(b.minObjective, c.LatencyObjective)
		}
	}
	b.cfg.Instances, b.cfg.Classes = max(1, cfg.Instances), slices.Clone(cfg.Classes)
	b.gauge = overload.NewGauge(objectives)
	b.answerMargin, b.probesPerRequest, b.roomElsewhere = 2*cfg.Round+1, probing.MaxPerRequest, 1
	for i, c := range cfg.Classes { // who is to be answered sooner takes less time
		b.loadModel.Classes = append(b.loadModel.Classes, overload.Mean{Prior: c.LatencyObjective / meanObjective})
		b.cfg.Classes[i].Attempts = max(1, cmp.Or(c.Attempts, cfg.MaxAttempts))
	}
	for _, t := range cfg.Tenants {
		b.totalQuota += t.Quota
	}
	b.tenantBuckets = slices.Repeat([]tokenbucket.Bucket{{At: math.Inf(-1)}}, len(cfg.Tenants))
	return b, nil
}

// Handle takes one event at time now and appends to out what is to be done about it.
func (b *Balancer) Handle(now Ms, e *Event, out []Action) []Action {
	b.now, b.actions = now, out
	switch e.Kind {
	case Started:
		b.startedAt = now
		b.setTimer(tickTimer, tickInterval)
		if b.cfg.SubscribeToList {
			b.actions = append(b.actions, Action{Kind: Subscribe})
		}
	case EndpointsUpdated:
		b.onEndpointsUpdated(e)
	case SubscriptionFailed:
		b.onSubscriptionFailed()
	case RequestArrived:
		b.onRequestArrived(e)
	case AttemptEnded:
		b.onAttemptEnded(e)
	case ClientGone:
		if r := b.requests[e.Request]; r != nil {
			b.endRequest(r)
		}
	case TimerFired:
		b.onTimer(e)
	case ProbeEnded:
		b.onProbeEnded(e)
	case ListValidityChanged:
		b.listValidUntil, b.probeAnyUntil = b.now+e.TimeLeft, b.now+e.Elapsed
	case BodyProgressed:
		b.byID[e.Server].silentSince = b.now
	}
	return b.actions
}

func (b *Balancer) onTimer(e *Event) {
	switch e.Timer {
	case resubscribeTimer:
		b.actions = append(b.actions, Action{Kind: Subscribe})
	case tickTimer:
		b.tick()
	default:
		r := b.requests[RequestID(e.Timer&^probeWaitTimer)]
		if e.Timer >= probeWaitTimer {
			if r != nil && b.now >= r.waitUntil && slices.Contains(b.waitingForProbes, r) {
				b.resume(r)
			}
		} else if r != nil && !r.done {
			b.refuseOrFail(r, DeadlineReached)
		}
	}
}

func (b *Balancer) tick() {
	b.setTimer(tickTimer, tickInterval)
	b.pool.Expire(b.now, b.maxEntryAge())
	b.loadModel.Fade(b.now)
	b.updateMedians()
	left := math.Inf(1)
	for i, c := range b.cfg.Classes {
		if !c.Retired {
			left = min(left, c.LatencyObjective/b.loadModel.ClassFactor(i))
		}
	}
	b.gauge.Update(b.now, left)
	if b.now-b.lastProbeAt >= idleProbeInterval {
		b.probeRandom(1, b.subsetSize())
	}
	for i := 0; i < recoveryProbesPerTick && !probing.AreCostly(b.cfg.ProbeCost); i++ { // random ones: none waits for ever
		b.probe(b.drawOne(func(s *server) int {
			if b.cfg.Probes && s.consecutiveFailures > 0 && !s.probeInFlight && b.now >= s.nextProbeAt && s.info.Health == Ready {
				return 1
			}
			return 0
		}))
	}
	for _, s := range b.servers {
		if out := b.failureRateAboveMedian(s) >= ejectionThreshold; out != s.ejected {
			s.ejected = out
			b.logf("server %d ejected=%t silent=%t miss=%.2f", s.info.ID, out, b.isSilent(s), b.failureRate(s))
		}
	}
	if b.refusedSinceLog > 0 && b.now-b.loggedAt >= 2000 {
		b.logf("refused %d; part %.2f; pool %d/%d; service %.0f ms; classes %.2f; side by side %.1f; %s",
			b.refusedSinceLog, b.trafficShare(), b.pool.Len(), b.readyCount, b.fleetLatency, b.loadModel.Classes, b.loadModel.Concurrency(),
			&b.gauge)
		b.refusedSinceLog, b.loggedAt = 0, b.now
	}
}

func (b *Balancer) logf(format string, args ...any) {
	b.actions = append(b.actions, Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

func (b *Balancer) setTimer(id uint64, after Ms) {
	b.actions = append(b.actions, Action{Kind: SetTimer, Timer: id, After: max(after, 0)})
}
