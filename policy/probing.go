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
	maxPoolAge            = 1000.0 // ms that an entry of the pool may be old; Prequal's limit
	maxServiceTimes       = 2.0    // median service times that it may be old: by then most of what was in flight has left
	minPoolRounds         = 4      // rounds that it may be old in any case
	removalFraction       = 0.25   // of the rate of probes, at which entries are removed: the pool must not run dry
	hotQuantile           = 0.6    // of RIF, past which servers are hot; low in Prequal's range, since reported latency lags
	maxRIFSamples         = 64     // newest reports behind that quantile
	idleProbeInterval     = 1000   // ms without any probe after which one is sent: an idle instance learns nothing else
	recoveryProbesPerTick = 2      // probes of servers that failed to answer one: no request is needed to find them back
	maxProbeDebt          = 10.0   // probes that may be borrowed, where they are limited, before a refusal
	maxProbeWaits         = 2      // waits for probes for each attempt
	probeWaitFraction     = 0.05   // of the tightest latency objective that one of them may take
	minProbeWaitRounds    = 2      // rounds that one of them takes at least
	minWaitsLeft          = 2      // times a wait that a request must have left to wait at all
)

func (b *Balancer) onProbeEnded(e *Event) {
	s := b.byID[e.Server]
	if s == nil {
		return
	}
	s.probeInFlight = false
	if e.Status == NotSent {
		s.reachability.NotProbed(b.now)
		return
	}
	b.pool.Remove(s)
	load := e.Report.RIF
	if e.Status == OK && !e.Report.HasRIF {
		load = b.probeTimes.Load(b.now, s.info.Zone, e.Elapsed-e.ConnectTime)
	}
	if !s.isLocal() {
		b.capacityElsewhere.Add(e.Status == OK && load < b.loadModel.Concurrency())
	}
	if e.Status != OK {
		s.reachability.Failed(b.now, b.rng)
		if e.Status != Declined {
			s.outcomesByTenant.AddFailure(b.now, outlier.AllTenants, failedProbeWeight)
		}
		return
	}
	s.reachability.ProbeAnswered(b.now)
	s.probeSentAt = e.ProbeSentAt
	if s.roundTrip == 0 || e.Elapsed < s.roundTrip {
		s.roundTrip = e.Elapsed
	}
	b.applyReport(s, &e.Report, load)
	for _, r := range slices.Clone(b.waitingForProbes) {
		r.answersMissing--
		if r.answersMissing <= 0 {
			b.resume(r)
		}
	}
}

// applyReport takes a server's load report, from the answer to a probe or to a request.
func (b *Balancer) applyReport(s *server, report *Report, load float64) {
	s.rif = max(load, float64(s.inFlight)) // own requests on their way are in no report yet
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
	if report.HasErrors { // against what it answers in its service time, by Little's law
		s.reportedErrorRate = report.Errors / (report.Errors + 1000*(s.rif+1)/b.serviceTime(s))
	}
	if s.info.Health == Ready {
		uses := probing.Uses(probepool.Size, b.readyCount, b.probesPerRequest, removalFraction)
		b.pool.Add(s, b.now, int(uses+b.rng.Float64())) // randomly rounded
	}
}

// waitForProbes is Prequal's synchronous mode, for a pool that is short: the request waits for all but one of its own
// probes. Up to debt they may be borrowed from later requests: one that is about to be refused needs them more. It
// reports whether the request waits.
func (b *Balancer) waitForProbes(r *request, debt float64, urgent bool) bool {
	wait := max(minProbeWaitRounds*b.cfg.Round, probeWaitFraction*b.minObjective)
	if b.readyCount < 2 || r.probeWaits >= maxProbeWaits || r.answerBy-b.now < minWaitsLeft*wait {
		return false
	}
	limited := b.reportsSparse || probing.AreCostly(b.cfg.ProbeCost)
	n := probing.ToAwait(b.probeCredit+debt, limited, urgent)
	if limited {
		b.probeCredit = max(b.probeCredit-float64(n), -maxProbeDebt)
	}
	r.answersMissing = b.probeRandom(n, b.candidateCount(r.probeWaits > 0)) - 1
	if r.answersMissing <= 0 {
		return false
	}
	r.probeWaits++
	r.waitUntil = b.now + wait
	b.waitingForProbes = append(b.waitingForProbes, r)
	b.setTimer(probeWaitTimer+uint64(r.id), wait)
	return true
}

// resume goes on with a request that has waited for probes.
func (b *Balancer) resume(r *request) {
	b.stopWaiting(r)
	if !r.done {
		b.sendOrRefuse(r)
	}
}

func (b *Balancer) stopWaiting(r *request) {
	b.waitingForProbes = slices.DeleteFunc(b.waitingForProbes, func(waiting *request) bool { return waiting == r })
}

// subsetSize is the number of servers to choose among.
func (b *Balancer) subsetSize() int { return subset.Size(b.readyCount, b.cfg.Instances) }

// candidateCount is the number of servers to probe among: those of the preferred zone, or of all zones if asked for or if
// the preferred one is full and others are not.
func (b *Balancer) candidateCount(allZones bool) int {
	local := min(b.subsetSize(), max(subset.MinSize, b.localCount))
	if allZones || b.reportsSparse && b.hotRIF > b.loadModel.Concurrency() && b.rng.Float64() < float64(b.capacityElsewhere) {
		return min(b.readyCount, local+min(b.subsetSize(), b.readyCount-b.localCount))
	}
	return local
}

// probeRandom probes n random servers among the first ones by rank, and returns how many it found. A server in slow start
// does not count among those, as it is no substitute for another.
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
		b.lastProbeAt = b.now // not by probes of failed servers: those must not take the place of reports of the others
	}
	return len(drawn)
}

// mayProbe reports whether a probe of the server is allowed and its answer can be relied on, by the list or as a later
// probe of a process that has answered one.
func (b *Balancer) mayProbe(s *server) bool {
	if !b.cfg.Probes || s.info.Health != Ready || !s.reachability.MayProbe(b.now) {
		return false
	}
	return s.probeSentAt > 0 || b.now < b.probeAnyUntil || !b.isListStale()
}

// probe probes the server, if there is one and no probe of it is in flight.
func (b *Balancer) probe(s *server) {
	if s == nil || s.probeInFlight {
		return
	}
	b.act(Action{Kind: SendProbe, Server: s.info.ID})
	s.probeInFlight = true
}

// probeFailedServers probes some of the servers that failed to answer a probe or to connect. Random ones, so that none waits
// for ever.
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

// replenishProbes gives a new request its part of the probes, and removes pool entries that are too old, or in turn the oldest
// and the worst: bad servers must not collect there. Reports count as sparse only once the rate of requests is known.
func (b *Balancer) replenishProbes(r *request) {
	b.pool.Expire(b.now, b.maxEntryAge())
	b.probesPerRequest = probing.PerRequest(b.cfg.ProbeCost, b.readyCount, b.arrivalRate.PerMs(b.now))
	b.probeCredit = min(b.probeCredit, probing.MaxPerRequest) + b.probesPerRequest
	b.reportsSparse = b.now-b.startedAt >= startupPeriod &&
		float64(b.readyCount) > maxPoolAge*b.probesPerRequest*b.arrivalRate.PerMs(b.now)
	b.pool.Trim(removalFraction*b.probesPerRequest, func(x, y *server) bool { return b.isBetter(x, y, r) })
}

// probeForRequest sends the probes that requests have saved up, some of them to all zones.
func (b *Balancer) probeForRequest() {
	n := max(0, int(b.probeCredit))
	b.probeCredit -= float64(n)
	allZones := b.rng.IntN(subset.FarInterval(b.reportsSparse)) == 1
	b.probeRandom(n, b.candidateCount(allZones))
}

func (b *Balancer) maxEntryAge() Ms {
	return min(maxPoolAge, max(maxServiceTimes*b.fleetLatency, minPoolRounds*b.cfg.Round))
}
