package policy

import (
	"plankrouter/internal/probing"
	"plankrouter/internal/subset"
	"plankrouter/policy/internal/probepool"
	"plankrouter/policy/internal/stats"
	"slices"
)

// Probes and the probe pool. Loads are in the server table: a use raises the RIF for later picks.

const (
	maxPoolAge            = 1000.0 // ms; the paper's testbed limit on an entry's age
	maxServiceTimes       = 2.0    // service times that also limit it: by then most of what was in flight has left
	removalFraction       = 0.25   // of the rate of probes, at which entries are removed: the pool must not run dry
	hotQuantile           = 0.6    // the low end of the paper's advised Q_RIF: reported latency lags, RIF leads
	maxRIFSamples         = 64     // recent answers behind that quantile; one second at 30 requests a second
	idleProbeInterval     = 1000   // ms without any probe after which one is sent; an idle sidecar's only news
	recoveryProbesPerTick = 2      // probes a tick of servers that were shut: their way back, which needs no request
	maxProbeDebt          = 10.0   // probes that may be borrowed where they are dear, before a refusal
	maxProbeWaits         = 2      // such waits for an attempt
	probeWaitFraction     = 0.05   // of the tightest aim that one of them may take
)

func (b *Balancer) onProbeEnded(e *Event) {
	s := b.byID[e.Server]
	if s == nil {
		return
	}
	if s.probeInFlight = false; e.Status == NotSent { // which says nothing of it, but would be so again
		s.nextProbeAt = b.now + probeBackoff.First
		return
	}
	b.pool.Remove(s)
	load := e.Report.RIF
	if e.Status == OK && !e.Report.HasRIF {
		load = b.probeTimes.Load(b.now, s.info.Zone, e.Elapsed-e.ConnectTime)
	}
	if s.rank >= 1 { // in another zone
		b.roomElsewhere.Add(e.Status == OK && load < b.loadModel.Concurrency())
	}
	if e.Status != OK {
		if b.markUnreachable(s); e.Status != Declined {
			b.recordOutcome(s, 0, failedProbeWeight)
		}
		return
	}
	s.unreachable, s.consecutiveFailures, s.nextProbeAt, s.probeSentAt = false, 0, b.now, e.ProbeSentAt
	if s.roundTrip == 0 || e.Elapsed < s.roundTrip {
		s.roundTrip = e.Elapsed
	}
	b.applyReport(s, &e.Report, load)
	for _, r := range slices.Clone(b.waitingForProbes) {
		if r.answersMissing--; r.answersMissing <= 0 {
			b.resume(r)
		}
	}
}

// applyReport takes what a server tells of its load, in the answer to a probe or to a request.
func (b *Balancer) applyReport(s *server, report *Report, load float64) {
	s.rif, s.reportedAt = max(load, float64(s.inFlight)), b.now // own requests on their way are in no report yet
	if report.HasRIF {
		b.ownInFlightSum = b.ownInFlightSum*shareMemory + float64(b.inFlight)/float64(max(1, b.readyCount))
		b.totalInFlightSum = b.totalInFlightSum*shareMemory + report.RIF
	}
	if report.HasLatency && report.Latency > 0 {
		s.latency, s.latencyReported, b.latencyReported = report.Latency, true, true
	}
	if b.recentRIFs = append(b.recentRIFs, s.rif); len(b.recentRIFs) > maxRIFSamples {
		b.recentRIFs = slices.Delete(b.recentRIFs, 0, 1)
	}
	b.hotRIF = stats.Quantile(hotQuantile, slices.Clone(b.recentRIFs), 0)
	if report.HasErrors { // against what it answers in its service time, by Little's law
		s.reportedErrorRate = report.Errors / (report.Errors + 1000*(s.rif+1)/b.serviceTime(s))
	}
	if s.info.Health != Ready {
		return
	}
	uses := probing.Uses(probepool.Size, b.readyCount, b.probesPerRequest, removalFraction) // randomly rounded
	b.pool.Add(s, b.now, int(uses+b.rng.Float64()))
}

// waitForProbes is the paper's synchronous mode, for a pool that is short: wait for all but one of the own probes.
// Up to debt they may be borrowed from later requests: who is about to be refused needs them more.
func (b *Balancer) waitForProbes(r *request, debt float64, urgent bool) bool {
	wait := max(2*b.cfg.Round, probeWaitFraction*b.minObjective)
	if b.readyCount < 2 || r.probeWaits >= maxProbeWaits || r.answerBy-b.now < 2*wait {
		return false
	}
	n := probing.ToAwait(b.probeCredit+debt, b.reportsSparse || probing.AreCostly(b.cfg.ProbeCost), urgent)
	if b.reportsSparse || probing.AreCostly(b.cfg.ProbeCost) { // then they come out of what requests have saved up
		b.probeCredit = max(b.probeCredit-float64(n), -maxProbeDebt)
	}
	if r.answersMissing = b.probeRandom(n, b.candidateCount(r.probeWaits > 0)) - 1; r.answersMissing <= 0 {
		return false
	}
	r.probeWaits, r.waitUntil = r.probeWaits+1, b.now+wait
	b.waitingForProbes = append(b.waitingForProbes, r)
	b.setTimer(probeWaitTimer+uint64(r.id), wait)
	return true
}

func (b *Balancer) resume(r *request) {
	b.waitingForProbes = slices.DeleteFunc(b.waitingForProbes, func(w *request) bool { return w == r })
	if !r.done {
		b.sendOrRefuse(r)
	}
}

// subsetSize is the number of servers to choose among: connections of many sidecars to each would fill its table.
func (b *Balancer) subsetSize() int { return subset.Size(b.readyCount, b.cfg.Instances) }

// candidateCount is among how many to probe: the preferred zone's, or more if far or if those are full and others not.
func (b *Balancer) candidateCount(allZones bool) int {
	ownZone := min(b.subsetSize(), max(subset.MinSize, b.localCount))
	if allZones || b.reportsSparse && b.hotRIF > b.loadModel.Concurrency() && b.rng.Float64() < float64(b.roomElsewhere) {
		return min(b.readyCount, ownZone+min(b.subsetSize(), b.readyCount-b.localCount))
	}
	return ownZone
}

// probeRandom fires n probes at servers drawn at random without replacement, among the near first ones by rank.
func (b *Balancer) probeRandom(n, among int) int {
	var candidates []*server
	for _, s := range b.servers {
		allowed := b.cfg.Probes && s.info.Health == Ready && b.now >= s.nextProbeAt
		useful := s.probeSentAt > 0 || b.now < b.probeAnyUntil || !b.isListStale()
		if allowed && useful && (among >= b.readyCount || among > 0 && b.trusted(s)) {
			candidates = append(candidates, s)
			if b.slowStartFraction(s) >= 1 { // one that is still cold is no substitute for a warm one
				among--
			}
		}
	}
	n = min(n, len(candidates))
	for i := range n {
		j := i + b.rng.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
		b.probe(candidates[i])
		b.lastProbeAt = b.now // not by retries: who is down must not keep news of the others away
	}
	return n
}

// probe probes the server, if there is one and no answer on the way.
func (b *Balancer) probe(s *server) {
	if s != nil && !s.probeInFlight {
		b.actions = append(b.actions, Action{Kind: SendProbe, Server: s.info.ID})
		s.probeInFlight = true
	}
}

// replenishProbes ages the pool and removes the oldest and the worst entry in turn: bad servers must not collect there.
func (b *Balancer) replenishProbes(r *request) {
	b.pool.Expire(b.now, b.maxEntryAge())
	b.probesPerRequest = probing.PerRequest(b.cfg.ProbeCost, b.readyCount, b.arrivalRate.PerMs(b.now))
	b.probeCredit = min(b.probeCredit, probing.MaxPerRequest) + b.probesPerRequest
	b.reportsSparse = b.now-b.startedAt >= startupPeriod && // as soon as the rate of requests is known
		float64(b.readyCount) > maxPoolAge*b.probesPerRequest*b.arrivalRate.PerMs(b.now)
	b.pool.Trim(removalFraction*b.probesPerRequest, func(x, y *server) bool { return b.isBetter(x, y, r) })
}

func (b *Balancer) maxEntryAge() Ms {
	return min(maxPoolAge, max(maxServiceTimes*b.fleetLatency, 4*b.cfg.Round))
}
