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
	tickInterval         = 50.0 // ms between updates of the state that changes without traffic
	rejectionLogInterval = 2000 // ms between two log lines that count rejected requests
	randomStream         = 0x9e3779b97f4a7c15
)

// never is the time of an event that has not happened yet; -never is a time that is never reached.
var never = math.Inf(-1)

// Timer IDs. The timer of a request's deadline has the request's ID; all other timer IDs are higher than any request ID.
const (
	tickTimer = uint64(1)<<40 + iota
	resubscribeTimer
	probeWaitTimer = uint64(1) << 41 // added to the request's ID
)

// Balancer makes the decisions of one sidecar. It is not safe for concurrent use.
type Balancer struct {
	cfg            Config
	rng            *rand.Rand
	actions        []Action // result of the current call of Handle
	now            Ms       // time of the current event
	minObjective   Ms       // tightest latency objective of all classes
	responseMargin Ms       // time before the client's deadline at which the sidecar gives its final response
	startedAt      Ms
	loggedAt       Ms // when rejected requests were last logged

	servers            []*server // in order of rank
	byID               map[ServerID]*server
	readyCount         int // servers listed as ready
	localCount         int // servers listed as ready in the preferred zone
	resubscribeWait    Ms
	listValidUntil     Ms // the list is stale from then on
	anyProbeValidUntil Ms // while the list is stale, servers that have not responded to a probe yet may be probed until then

	pool               probepool.Pool[*server]
	recentRIFs         stats.Window      // RIF of the newest reports
	hotRIF             float64           // servers with more requests in flight than this are hot
	probeCredit        float64           // probes earned by requests and not sent yet; negative = borrowed
	probesPerRequest   float64           // probes that each request earns at the current request rate
	otherZonesCapacity stats.SuccessRate // fraction of recent probes of other zones that found free capacity
	reportsSparse      bool              // this instance probes too rarely to have a report younger than maxPoolAge of every server
	waitingForProbes   []*request        // in order of arrival
	lastProbeAt        Ms

	latencyReported   bool // a server has reported its service time
	loadModel         overload.Model
	probeTimes        overload.ProbeTimes
	gauge             overload.Gauge // used if no server reports its service time
	medianFailureRate float64
	fleetLatency      Ms // median service time of the ready servers

	traffic          admission.Traffic
	tenantBuckets    []tokenbucket.Bucket
	sendRate         stats.Rate
	arrivalRate      stats.Rate
	retryBudget      retrybudget.Budget
	requests         map[RequestID]*request
	inFlight         int // attempts of this instance
	rejectedSinceLog int
}

// New returns a Balancer for cfg whose random choices come from seed.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	return &Balancer{
		cfg:                cfg,
		rng:                rand.New(rand.NewPCG(seed, randomStream)),
		minObjective:       cfg.minObjective(),
		responseMargin:     2*cfg.Round + 1,
		byID:               map[ServerID]*server{},
		listValidUntil:     -never,
		hotRIF:             -never,
		probesPerRequest:   probing.MaxPerRequest,
		otherZonesCapacity: 1,
		loadModel:          overload.NewModel(cfg.objectives()),
		gauge:              overload.NewGauge(cfg.objectives()),
		traffic:            admission.Traffic{TotalQuota: cfg.totalQuota(), Instances: cfg.Instances},
		tenantBuckets:      slices.Repeat([]tokenbucket.Bucket{{At: never}}, len(cfg.Tenants)),
		requests:           map[RequestID]*request{},
	}, nil
}

// Handle processes one event at time now, appends the resulting actions to out and returns it.
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
		b.anyProbeValidUntil = b.now + e.Elapsed
	case AttemptProgressed, BodyReceived, BodySent:
		b.onProgress(e)
	}
	return b.actions
}

// onProgress handles the events of an attempt between its start and its end.
func (b *Balancer) onProgress(e *Event) {
	switch e.Kind {
	case AttemptProgressed:
		if s := b.byID[e.Server]; s != nil {
			s.noResponseSince = b.now
		}
	case BodyReceived:
		if r := b.requests[e.Request]; r != nil && !r.done {
			r.respondBy = min(r.respondBy, b.now+max(0, e.TimeLeft-b.responseMargin))
			b.setTimer(uint64(r.id), r.respondBy-b.now)
		}
	case BodySent:
		b.onBodySent(e)
	}
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
			b.rejectOrFail(r, DeadlineReached)
		}
	}
}

// tick updates the state that changes without traffic, and sends the probes that are not sent along with requests.
func (b *Balancer) tick() {
	b.setTimer(tickTimer, tickInterval)
	b.pool.Expire(b.now, b.maxEntryAge())
	b.loadModel.Decay(b.now)
	b.updateMedians()
	b.updateGauge()
	if b.now-b.lastProbeAt >= idleProbeInterval {
		b.probeRandom(1, b.subsetSize())
	}
	b.probeFailedServers()
	b.updateEjections()
	b.logRejections()
}

func (b *Balancer) logRejections() {
	if b.rejectedSinceLog == 0 || b.now-b.loggedAt < rejectionLogInterval {
		return
	}
	b.logf("refused=%d traffic_share=%.2f pool=%d ready=%d service_ms=%.0f class_factors=%.2f concurrency=%.1f; %s",
		b.rejectedSinceLog, b.trafficShare(), b.pool.Len(), b.readyCount, b.fleetLatency, b.loadModel.Classes,
		b.loadModel.Concurrency(), &b.gauge)
	b.rejectedSinceLog = 0
	b.loggedAt = b.now
}

func (b *Balancer) act(action Action) { b.actions = append(b.actions, action) }

func (b *Balancer) logf(format string, args ...any) {
	b.act(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

func (b *Balancer) setTimer(id uint64, after Ms) {
	b.act(Action{Kind: SetTimer, Timer: id, After: max(after, 0)})
}
