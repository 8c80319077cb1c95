package policy

import (
	"plankrouter/internal/limit"
	"plankrouter/policy/internal/probepool"
	"slices"
)

// Probes and the probe pool. Loads are in the server table: a use raises the RIF for later picks.

const (
	poolAge     = 1000.0 // ms; the paper's testbed limit on an entry's age
	staleTimes  = 2.0    // service times that also limit it: by then most of what was in flight has left
	removePart  = 0.25   // of the rate of probes, at which entries are removed: the pool must not run dry
	hotQuantile = 0.6    // the low end of the paper's advised Q_RIF: reported latency lags, RIF leads
	rifSamples  = 64     // recent answers behind that quantile; one second at 30 requests a second
	idleProbe   = 1000   // ms without any probe after which one is sent; an idle sidecar's only news
	tickRetries = 2      // probes a tick of servers that were shut: their way back, which needs no request
	probeDebt   = 10.0   // probes that may be borrowed where they are dear, before a refusal
	syncRounds  = 2      // such waits for an attempt
	syncPart    = 0.05   // of the tightest aim that one of them may take
)

func (b *Balancer) onProbe(e *Event) {
	s := b.byID[e.Server]
	if s == nil {
		return
	}
	if s.probing = false; e.Status == NotSent { // which says nothing of it, but would be so again
		s.tryAt = b.now + retryProbe.First
		return
	}
	b.pool.Remove(s)
	load := e.Report.RIF
	if e.Status == OK && !e.Report.HasRIF {
		load = b.probes.Load(b.now, s.info.Zone, e.Elapsed-e.ConnectTime)
	}
	if s.rank >= 1 { // in another zone
		b.elsewhere.Note(e.Status == OK && load < b.fit.SideBySide())
	}
	if e.Status != OK {
		if b.shutOut(s); e.Status != Declined {
			b.learn(s, 0, probeWeight)
		}
		return
	}
	s.shut, s.fails, s.tryAt, s.seenAt = false, 0, b.now, e.ProbeSentAt
	if s.network == 0 || e.Elapsed < s.network {
		s.network = e.Elapsed
	}
	b.onReport(s, &e.Report, load)
	for _, r := range slices.Clone(b.waiting) {
		if r.need--; r.need <= 0 {
			b.proceed(r)
		}
	}
}

// onReport takes what a server tells of its load, in the answer to a probe or to a request.
func (b *Balancer) onReport(s *server, report *Report, load float64) {
	s.rif, s.reportAt = max(load, float64(s.out)), b.now // own requests on their way are in no report yet
	if report.HasRIF {
		b.fracOwn = b.fracOwn*fracMemory + float64(b.outAll)/float64(max(1, b.ready))
		b.fracAll = b.fracAll*fracMemory + report.RIF
	}
	if report.HasLatency && report.Latency > 0 {
		s.latency, s.reported, b.told = report.Latency, true, true
	}
	if b.rifs = append(b.rifs, s.rif); len(b.rifs) > rifSamples {
		b.rifs = slices.Delete(b.rifs, 0, 1)
	}
	b.hotRIF = limit.Quantile(hotQuantile, slices.Clone(b.rifs), 0)
	if report.HasErrors { // against what it answers in its service time, by Little's law
		s.failing = report.Errors / (report.Errors + 1000*(s.rif+1)/b.service(s))
	}
	if s.info.Health != Ready {
		return
	}
	uses := limit.Uses(probepool.Size, b.ready, b.perRequest, removePart) // randomly rounded
	b.pool.Add(s, b.now, int(uses+b.rng.Float64()))
}

// await is the paper's synchronous mode, for a pool that is short: wait for all but one of the own probes.
// Up to debt they may be borrowed from later requests: who is about to be refused needs them more.
func (b *Balancer) await(r *request, debt float64, blind bool) bool {
	hold := max(2*b.cfg.Round, syncPart*b.minAim)
	if b.ready < 2 || r.waits >= syncRounds || r.endAt-b.now < 2*hold {
		return false
	}
	n := limit.Awaited(b.probeDue+debt, b.sparse || limit.Dear(b.cfg.ProbeCost), blind)
	if b.sparse || limit.Dear(b.cfg.ProbeCost) { // then they come out of what requests have saved up
		b.probeDue = max(b.probeDue-float64(n), -probeDebt)
	}
	if r.need = b.probe(n, b.near(r.waits > 0)) - 1; r.need <= 0 {
		return false
	}
	r.waits, r.waitEnd = r.waits+1, b.now+hold
	b.waiting = append(b.waiting, r)
	b.timer(waitTimer+uint64(r.id), hold)
	return true
}

func (b *Balancer) proceed(r *request) {
	b.waiting = slices.DeleteFunc(b.waiting, func(w *request) bool { return w == r })
	if !r.done {
		b.decide(r)
	}
}

// reach is the number of servers to choose among: connections of many sidecars to each would fill its table.
func (b *Balancer) reach() int { return limit.Reach(b.ready, b.cfg.Instances) }

// near is among how many to probe: the preferred zone's, or more if far or if those are full and others not.
func (b *Balancer) near(far bool) int {
	home := min(b.reach(), max(limit.LeastReach, b.local))
	if far || b.sparse && b.hotRIF > b.fit.SideBySide() && b.rng.Float64() < float64(b.elsewhere) {
		return min(b.ready, home+min(b.reach(), b.ready-b.local))
	}
	return home
}

// probe fires n probes at servers drawn at random without replacement, among the near first ones by rank.
func (b *Balancer) probe(n, near int) int {
	var all []*server
	for _, s := range b.servers {
		may := b.cfg.Probes && s.info.Health == Ready && b.now >= s.tryAt
		proves := s.seenAt > 0 || b.now < b.proveAt || !b.unsure()
		if may && proves && (near >= b.ready || near > 0 && b.trusted(s)) {
			all = append(all, s)
			if b.warmth(s) >= 1 { // one that is still cold is no substitute for a warm one
				near--
			}
		}
	}
	n = min(n, len(all))
	for i := range n {
		j := i + b.rng.IntN(len(all)-i)
		all[i], all[j] = all[j], all[i]
		b.ask(all[i])
		b.lastProbe = b.now // not by retries: who is down must not keep news of the others away
	}
	return n
}

// ask probes the server, if there is one and no answer on the way.
func (b *Balancer) ask(s *server) {
	if s != nil && !s.probing {
		b.out = append(b.out, Action{Kind: SendProbe, Server: s.info.ID})
		s.probing = true
	}
}

// tend ages the pool and removes the oldest and the worst entry in turn: bad servers must not collect there.
func (b *Balancer) tend(r *request) {
	b.pool.Expire(b.now, b.entryAge())
	b.perRequest = limit.ProbesARequest(b.cfg.ProbeCost, b.ready, b.arrivals.PerMs(b.now))
	b.probeDue = min(b.probeDue, limit.MostProbes) + b.perRequest
	b.sparse = b.now-b.bornAt >= firstAnswers && // as soon as the rate of requests is known
		float64(b.ready) > poolAge*b.perRequest*b.arrivals.PerMs(b.now)
	b.pool.Trim(removePart*b.perRequest, func(x, y *server) bool { return b.better(x, y, r) })
}

func (b *Balancer) entryAge() Ms { return min(poolAge, max(staleTimes*b.fleetLatency, 4*b.cfg.Round)) }
