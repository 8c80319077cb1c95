package policy

import (
	"slices"

	"plankrouter/internal/probing"
	"plankrouter/internal/subset"
	"plankrouter/policy/internal/draw"
	"plankrouter/policy/internal/outlier"
	"plankrouter/policy/internal/probepool"
)

const (
	maxPoolAge            = 1000.0 // ms; maximum age of a pool entry in Prequal
	maxServiceTimes       = 2.0    // maximum age of an entry in median service times: by then most requests it counted are over
	minPoolRounds         = 4      // lower bound of the age by maxServiceTimes, in units of Config.Round
	removalFraction       = 0.25   // pool entries removed for each probe sent; more would empty the pool
	hotQuantile           = 0.6    // quantile of RIF above which servers are hot; low in Prequal's range, since latency lags
	maxRIFSamples         = 64     // number of newest reports from which the RIF at hotQuantile is computed
	idleProbeInterval     = 1000   // ms without any probe after which one is sent: an idle instance gets no other load reports
	recoveryProbesPerTick = 2      // maximum probes of failed servers per tick, to find them again even without requests
	maxProbeDebt          = 10.0   // maximum number of probes borrowed, if probes are limited, before a request is rejected
	maxProbeWaits         = 2      // maximum number of waits for probes before each attempt
	probeWaitFraction     = 0.05   // duration of a wait as a fraction of the tightest latency objective
	minProbeWaitRounds    = 2      // lower bound of the duration of a wait, in units of Config.Round
	minWaitsLeft          = 2      // a request waits only if at least this many wait durations are left until its deadline
)

func (b *Balancer) onProbeEnded(e *Event) {
	s := b.byID[e.Server]
	if s == nil {
		return
	}
	s.probeInFlight = false
	if e.Status == NotSent {
		s.reachability.ProbeNotSent(b.now)
		return
	}
	b.pool.Remove(s)
	load := e.Report.RIF
	if e.Status == OK && !e.Report.HasRIF {
		load = b.probeTimes.Load(b.now, s.info.Zone, e.Elapsed-e.ConnectTime)
	}
	if !s.isLocal() {
		b.otherZonesCapacity.Add(e.Status == OK && load < b.loadModel.Concurrency())
	}
	if e.Status != OK {
		s.reachability.Failed(b.now, b.rng)
		if e.Status != Declined {
			s.outcomesByTenant.AddFailure(b.now, outlier.AllTenants, failedProbeWeight)
		}
		return
	}
	s.reachability.ProbeSucceeded(b.now)
	s.probeSentAt = e.ProbeSentAt
	if s.roundTrip == 0 || e.Elapsed < s.roundTrip {
		s.roundTrip = e.Elapsed
	}
	b.applyReport(s, &e.Report, load)
	for _, r := range slices.Clone(b.waitingForProbes) {
		r.responsesPending--
		if r.responsesPending <= 0 {
			b.resume(r)
		}
	}
}

// applyReport updates a server's state by a load report from the response to a probe or to a request. load is the RIF
// reported, or estimated if the report has none.
func (b *Balancer) applyReport(s *server, report *Report, load float64) {
	s.rif = max(load, float64(s.inFlight)) // the report does not count own requests that had not arrived yet
	s.reportedAt = b.now
	if report.HasRIF {
		b.traffic.AddReport(float64(b.inFlight)/float64(max(1, b.readyCount)), report.RIF)
	}
	if report.HasLatency && report.Latency > 0 {
		s.latency = report.Latency
		s.latencyReported = true
		b.latencyReported = true
	}
	b.recentRIFs.Add(s.rif, maxRIFSamples)
	b.hotRIF = b.recentRIFs.Quantile(hotQuantile)
	if report.HasErrors { // errors per second over all responses per second, which by Little's law are RIF / service time
		s.reportedErrorRate = report.Errors / (report.Errors + 1000*(s.rif+1)/b.serviceTime(s))
	}
	if s.info.Health == Ready {
		uses := probing.UsesPerEntry(probepool.Size, b.readyCount, b.probesPerRequest, removalFraction)
		b.pool.Add(s, b.now, int(uses+b.rng.Float64())) // rounded at random, so that the mean is exact
	}
}

// waitForProbes is Prequal's synchronous mode, for a pool with too few usable entries: the request sends probes and waits
// for the responses to all but one of them. Up to debt probes may be borrowed from later requests, as a request that is about
// to be rejected needs them more. It returns whether the request waits.
func (b *Balancer) waitForProbes(r *request, debt float64, urgent bool) bool {
	wait := max(minProbeWaitRounds*b.cfg.Round, probeWaitFraction*b.minObjective)
	if b.readyCount < 2 || r.probeWaits >= maxProbeWaits || r.respondBy-b.now < minWaitsLeft*wait {
		return false
	}
	limited := b.reportsSparse || probing.AreCostly(b.cfg.ProbeCost)
	n := probing.ProbesToAwait(b.probeCredit+debt, limited, urgent)
	if limited {
		b.probeCredit = max(b.probeCredit-float64(n), -maxProbeDebt)
	}
	r.responsesPending = b.probeRandom(n, b.candidateCount(r.probeWaits > 0)) - 1
	if r.responsesPending <= 0 {
		return false
	}
	r.probeWaits++
	r.waitUntil = b.now + wait
	b.waitingForProbes = append(b.waitingForProbes, r)
	b.setTimer(probeWaitTimer+uint64(r.id), wait)
	return true
}

// resume ends a request's wait for probes and sends or rejects it.
func (b *Balancer) resume(r *request) {
	b.stopWaiting(r)
	if !r.done {
		b.sendOrReject(r)
	}
}

func (b *Balancer) stopWaiting(r *request) {
	b.waitingForProbes = slices.DeleteFunc(b.waitingForProbes, func(waiting *request) bool { return waiting == r })
}

// subsetSize returns the number of servers in this instance's subset.
func (b *Balancer) subsetSize() int { return subset.Size(b.readyCount, b.cfg.Instances) }

// candidateCount returns the number of servers, in order of rank, from which probe targets are drawn: those of the preferred
// zone, or of all zones if allZones is set. While reports are sparse it may also be those of all zones if the preferred zone is
// at its capacity and other zones are not.
func (b *Balancer) candidateCount(allZones bool) int {
	local := min(b.subsetSize(), max(subset.MinSize, b.localCount))
	if allZones || b.reportsSparse && b.hotRIF > b.loadModel.Concurrency() && b.rng.Float64() < float64(b.otherZonesCapacity) {
		return min(b.readyCount, local+min(b.subsetSize(), b.readyCount-b.localCount))
	}
	return local
}

// probeRandom draws up to n random servers from the first ones in order of rank, probes them, and returns the number of servers
// drawn. among is the number of those first servers; servers in slow start are added to them without being counted, as they
// can't replace another server yet.
func (b *Balancer) probeRandom(n, among int) int {
	var candidates []*server
	for _, s := range b.servers {
		if !b.mayProbe(s) || among < b.readyCount && (among <= 0 || b.isEjected(s)) {
			continue
		}
		candidates = append(candidates, s)
		if b.slowStartFraction(s) >= 1 {
			among--
		}
	}
	drawn := draw.WithoutReplacement(b.rng, candidates, n)
	for _, s := range drawn {
		b.probe(s)
		b.lastProbeAt = b.now // not set by probes of failed servers, which must not delay probes of the others
	}
	return len(drawn)
}

// mayProbe reports whether a probe of the server is allowed and its response would be usable: while the list is stale,
// the server must have responded to a probe before, or the last ListValidityChanged must still allow probes of any server.
func (b *Balancer) mayProbe(s *server) bool {
	if !b.cfg.Probes || s.info.Health != Ready || !s.reachability.MayProbe(b.now) {
		return false
	}
	return s.probeSentAt > 0 || b.now < b.anyProbeValidUntil || !b.isListStale()
}

// probe probes the server, unless it is nil or a probe of it is in flight.
func (b *Balancer) probe(s *server) {
	if s == nil || s.probeInFlight {
		return
	}
	b.act(Action{Kind: SendProbe, Server: s.info.ID})
	s.probeInFlight = true
}

// probeFailedServers probes some of the servers whose last probe or connection has failed. They are chosen at random, so
// that each of them is probed sooner or later.
func (b *Balancer) probeFailedServers() {
	if probing.AreCostly(b.cfg.ProbeCost) {
		return
	}
	for range recoveryProbesPerTick {
		b.probe(draw.One(b.rng, b.servers, func(s *server) bool {
			return b.cfg.Probes && s.reachability.HasFailed() && !s.probeInFlight && s.reachability.MayProbe(b.now) && s.info.Health == Ready
		}))
	}
}

// replenishProbes adds the probes that a new request earns, expires old pool entries and trims the pool, so that bad servers do
// not accumulate in it. Reports count as sparse only once the request rate is known.
func (b *Balancer) replenishProbes(r *request) {
	b.pool.Expire(b.now, b.maxEntryAge())
	b.probesPerRequest = probing.PerRequest(b.cfg.ProbeCost, b.readyCount, b.arrivalRate.PerMs(b.now))
	b.probeCredit = min(b.probeCredit, probing.MaxPerRequest) + b.probesPerRequest
	b.reportsSparse = b.now-b.startedAt >= startupPeriod &&
		float64(b.readyCount) > maxPoolAge*b.probesPerRequest*b.arrivalRate.PerMs(b.now)
	b.pool.Trim(removalFraction*b.probesPerRequest, func(x, y *server) bool { return b.isBetter(x, y, r) })
}

// probeForRequest sends the probes that requests have earned. For some requests, the targets of the probes are drawn
// from all zones.
func (b *Balancer) probeForRequest() {
	n := max(0, int(b.probeCredit))
	b.probeCredit -= float64(n)
	allZones := b.rng.IntN(subset.AllZonesInterval(b.reportsSparse)) == 1
	b.probeRandom(n, b.candidateCount(allZones))
}

// maxEntryAge returns the maximum age of a pool entry.
func (b *Balancer) maxEntryAge() Ms {
	return min(maxPoolAge, max(maxServiceTimes*b.fleetLatency, minPoolRounds*b.cfg.Round))
}
