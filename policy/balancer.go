package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"plankrouter/internal/probing"
	"plankrouter/policy/internal/admission"
	"plankrouter/policy/internal/overload"
	"plankrouter/policy/internal/probepool"
	"plankrouter/policy/internal/retrybudget"
	"plankrouter/policy/internal/stats"
	"plankrouter/policy/internal/tokenbucket"
)

const (
	tickInterval       = 50.0 // ms between looks at what moves without traffic
	refusalLogInterval = 2000 // ms between two log lines that count refusals
	randomStream       = 0x9e3779b97f4a7c15
)

// never is the time of what has not happened yet; -never is that of what has no end.
var never = math.Inf(-1)

// Timer handles: a request's deadline uses the request's number, the others lie above.
const (
	tickTimer = uint64(1)<<40 + iota
	resubscribeTimer
	probeWaitTimer = uint64(1) << 41 // added to the request's number
)

// Balancer is one sidecar's decisions. It is not safe for concurrent use.
type Balancer struct {
	cfg          Config
	rng          *rand.Rand
	actions      []Action // of the event in hand
	now          Ms       // of the event in hand
	minObjective Ms       // tightest latency objective of all classes
	answerMargin Ms       // before the client gives up, by which a request is answered
	startedAt    Ms
	loggedAt     Ms // when refusals were logged last

	servers         []*server // by rank
	byID            map[ServerID]*server
	readyCount      int // servers listed as ready
	localCount      int // of those, in the preferred zone
	resubscribeWait Ms
	listValidUntil  Ms // the list is complete until then
	probeAnyUntil   Ms // until then a probe of any server may stand for a stale list

	pool              probepool.Pool[*server]
	recentRIFs        stats.Window // of the newest reports
	hotRIF            float64      // servers with more in flight are hot
	probeCredit       float64      // probes that requests have saved up
	probesPerRequest  float64      // at the present rate of requests
	capacityElsewhere stats.SuccessRate
	reportsSparse     bool       // most servers' reports are older than maxPoolAge
	waitingForProbes  []*request // in order of arrival
	lastProbeAt       Ms

	latencyReported   bool // servers report their service times
	loadModel         overload.Model
	probeTimes        overload.ProbeTimes
	gauge             overload.Gauge // used where no server reports its service time
	medianFailureRate float64
	fleetLatency      Ms // median service time

	traffic         admission.Traffic
	tenantBuckets   []tokenbucket.Bucket
	sendRate        stats.Rate
	arrivalRate     stats.Rate
	retryBudget     retrybudget.Budget
	requests        map[RequestID]*request
	inFlight        int // attempts
	refusedSinceLog int
}

// New returns a Balancer for cfg whose random choices come from seed.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	return &Balancer{
		cfg:               cfg,
		rng:               rand.New(rand.NewPCG(seed, randomStream)),
		minObjective:      cfg.minObjective(),
		answerMargin:      2*cfg.Round + 1,
		byID:              map[ServerID]*server{},
		listValidUntil:    -never,
		hotRIF:            -never,
		probesPerRequest:  probing.MaxPerRequest,
		capacityElsewhere: 1,
		loadModel:         overload.NewModel(cfg.objectives()),
		gauge:             overload.NewGauge(cfg.objectives()),
		traffic:           admission.Traffic{TotalQuota: cfg.totalQuota(), Instances: cfg.Instances},
		tenantBuckets:     slices.Repeat([]tokenbucket.Bucket{{At: never}}, len(cfg.Tenants)),
		requests:          map[RequestID]*request{},
	}, nil
}

// Handle takes one event at time now and appends to out what is to be done about it.
func (b *Balancer) Handle(now Ms, e *Event, out []Action) []Action {
	b.now = now
	b.actions = out
	switch e.Kind {
	case Started:
		b.onStarted()
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
		b.onTimer(e.Timer)
	case ProbeEnded:
		b.onProbeEnded(e)
	case ListValidityChanged:
		b.listValidUntil = b.now + e.TimeLeft
		b.probeAnyUntil = b.now + e.Elapsed
	case BodyProgressed:
		b.byID[e.Server].silentSince = b.now
	}
	return b.actions
}

func (b *Balancer) onStarted() {
	b.startedAt = b.now
	b.setTimer(tickTimer, tickInterval)
	if b.cfg.SubscribeToList {
		b.act(Action{Kind: Subscribe})
	}
}

func (b *Balancer) onTimer(timer uint64) {
	switch {
	case timer == resubscribeTimer:
		b.act(Action{Kind: Subscribe})
	case timer == tickTimer:
		b.tick()
	case timer >= probeWaitTimer:
		r := b.requests[RequestID(timer&^probeWaitTimer)]
		if r != nil && b.now >= r.waitUntil && slices.Contains(b.waitingForProbes, r) {
			b.resume(r)
		}
	default:
		if r := b.requests[RequestID(timer)]; r != nil && !r.done {
			b.refuseOrFail(r, DeadlineReached)
		}
	}
}

// tick looks at what moves without traffic.
func (b *Balancer) tick() {
	b.setTimer(tickTimer, tickInterval)
	b.pool.Expire(b.now, b.maxEntryAge())
	b.loadModel.Fade(b.now)
	b.updateMedians()
	b.updateGauge()
	if b.now-b.lastProbeAt >= idleProbeInterval {
		b.probeRandom(1, b.subsetSize())
	}
	b.probeFailedServers()
	b.updateEjections()
	b.logRefusals()
}

func (b *Balancer) logRefusals() {
	if b.refusedSinceLog == 0 || b.now-b.loggedAt < refusalLogInterval {
		return
	}
	b.logf("refused=%d traffic_share=%.2f pool=%d ready=%d service_ms=%.0f class_factors=%.2f concurrency=%.1f; %s",
		b.refusedSinceLog, b.trafficShare(), b.pool.Len(), b.readyCount, b.fleetLatency, b.loadModel.Classes,
		b.loadModel.Concurrency(), &b.gauge)
	b.refusedSinceLog = 0
	b.loggedAt = b.now
}

func (b *Balancer) act(action Action) { b.actions = append(b.actions, action) }

func (b *Balancer) logf(format string, args ...any) {
	b.act(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

func (b *Balancer) setTimer(id uint64, after Ms) {
	b.act(Action{Kind: SetTimer, Timer: id, After: max(after, 0)})
}
