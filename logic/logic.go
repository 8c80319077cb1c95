package logic

// Every decision; api.go is the interface. It is asynchronous Prequal: probes sent along with requests fill
// a small pool of fresh loads, from which the hot-cold rule picks. See docs/design.md.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"plankrouter/internal/backoff"
	"plankrouter/internal/evidence"
	"plankrouter/internal/limit"
	"plankrouter/internal/overload"
	"plankrouter/internal/probepool"
)

const (
	knownFor    = 3000   // ms after a report in which a random pick prefers the server
	poolAge     = 1000.0 // ms; the paper's testbed limit on an entry's age
	staleTimes  = 2.0    // service times that also limit it: by then most of what was in flight has left
	removePart  = 0.25   // of the rate of probes, at which entries are removed: the pool must not run dry
	hotQuantile = 0.6    // the low end of the paper's advised Q_RIF: reported latency lags, RIF leads
	rifSamples  = 64     // recent answers behind that quantile; one second at 30 requests a second
	tickEvery   = 50.0   // ms between looks at what moves without traffic
	idleProbe   = 1000   // ms without any probe after which one is sent; an idle sidecar's only news
	tickRetries = 2      // probes a tick of servers that were shut: their way back, which needs no request
	probeDebt   = 10.0   // probes that may be borrowed where they are dear, before a refusal
	syncRounds  = 2      // such waits for an attempt
	syncPart    = 0.05   // of the tightest aim that one of them may take

	rifLean     = 0.2 // added part of the expected latency when all places are taken: breaks ties
	crossPerAim = 8.0 // a zone crossing of price p counts as p x this x the aim in added latency
	missPerAim  = 2.0 // a failure of probability p counts as p x this x the aim in added latency

	serverPrior  = 50.0 // ms of service time assumed before any report or answer
	latencyStep  = 0.3  // part of the way that an unreported service time moves with an answer
	firstAnswers = 1500 // ms from the start in which the quick requests alone are answered

	probeWeight = 0.5  // of a failed probe, in failures
	ejectAt     = 0.5  // probability of failure, beyond the fleet's median, that takes a server out
	silentTimes = 6.0  // expected answers of a server that are missing before it counts as silent
	silentPart  = 0.25 // of the tightest aim: no shorter answer is expected there

	slowMost   = 1.5    // times the median service time, at most, that a usual request is taken to need
	peerWorth  = 1.5    // times a request's worth: classes worth more keep their room against it
	quotaLeast = 5.0    // requests of a tenant that may come at once; else a second's quota
	fracMemory = 0.99   // weight of older samples in this sidecar's part of the fleet's traffic
	coldFresh  = 1000.0 // ms for which a cold server's report of room counts
	coldIdle   = 0.5    // of what it can run side by side by now: with less in flight it has room

	retryPart    = 0.1   // further attempts a request, at most: keeps retries from becoming the load
	retryBurst   = 10.0  // further attempts that may be saved up
	timeoutTimes = 8.0   // expected responses after which what may be repeated is tried elsewhere
	askAgainMin  = 500.0 // ms before subscribing anew after a failure, doubled each time
	askAgainMax  = 8e3   // ms
)

// retryProbe is when a server whose probe or connection failed is asked again, in ms. What is down costs
// nothing then, and what is back is found within the bound.
var retryProbe = backoff.Policy{First: 50, Most: 1000, Factor: 2, Jitter: 0.5}

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
	b := &Balancer{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), minAim: -never,
		byID: map[ServerID]*server{}, requests: map[RequestID]*request{}, hotRIF: -never, sureAt: -never}
	aims, targets := 0.0, []Ms(nil)
	for _, c := range cfg.Classes {
		targets = append(targets, c.Aim)
		if aims += c.Aim / float64(len(cfg.Classes)); !c.Dropped {
			b.minAim = min(b.minAim, c.Aim)
		}
	}
	b.cfg.Balancers, b.cfg.Classes = max(1, cfg.Balancers), slices.Clone(cfg.Classes)
	b.gauge = overload.NewGauge(targets)
	b.margin, b.perRequest, b.elsewhere = 2*cfg.Round+1, limit.MostProbes, 1
	for i, c := range cfg.Classes { // who is to be answered sooner takes less time
		b.fit.Class = append(b.fit.Class, overload.Mean{Prior: c.Aim / aims})
		b.cfg.Classes[i].Attempts = max(1, cmp.Or(c.Attempts, cfg.MaxAttempts))
	}
	for _, t := range cfg.Tenants {
		b.quotas += t.Quota
	}
	b.buckets = slices.Repeat([]limit.Bucket{{At: math.Inf(-1)}}, len(cfg.Tenants))
	return b, nil
}

// ---- Server table: what the list says and what the last report and our own traffic add.

type server struct {
	info             ServerInfo
	rank             float64 // this sidecar's order of preference: own zone first, else at random
	rif              float64 // last probed, plus own sends and minus own answers since
	latency          Ms      // service time
	reportAt, seenAt Ms      // seenAt: a probe was sent then that proves the listed process to be there
	network          Ms      // lowest probe round trip
	reported         bool    // latency is the server's own figure
	out              int
	expected         Ms      // of the latest attempt sent
	quietAt          Ms      // last answer, or the first send after all was answered
	by               []Tally // own outcomes: of all, then by tenant
	failing          float64 // part of what it answers that its last report counts as errors
	ejected          bool
	probing          bool         // a probe is under way
	shut             bool         // a probe or a connection has failed since the last answer: no first choice
	fails            int          // such failures in a row,
	tryAt            Ms           // before which it is not probed again
	cold             limit.Bucket // cold-start budget
}

func (b *Balancer) onList(e *Event) {
	b.askWait = 0
	for i := 0; e.Full && i < len(b.servers); i++ {
		b.servers[i].info.Health = Gone
	}
	for _, in := range e.Servers {
		s := b.byID[in.ID]
		if s == nil {
			s = &server{rank: b.rng.Float64()}
			if in.Zone != b.cfg.Zone && b.cfg.CrossPrice > 0 {
				s.rank++
			}
			b.byID[in.ID] = s
			b.servers = append(b.servers, s)
		}
		if s.reportAt == 0 || in.StartedAt != s.info.StartedAt {
			// A new process: what was known of the old one no longer holds.
			*s = server{rank: s.rank, network: s.network, out: s.out, reportAt: never, quietAt: b.now,
				by:   make([]Tally, 1+len(b.buckets)),
				cold: limit.Bucket{V: b.rng.Float64(), At: b.now}} // a random part: not all send at once
			b.pool.Remove(s)
		}
		if s.info = in; in.Returned && b.cfg.Probes {
			b.ask(s) // else it would be found again by chance
		}
	}
	b.ready, b.local = 0, 0
	slices.SortStableFunc(b.servers, func(x, y *server) int { return cmp.Compare(x.rank, y.rank) })
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		if s.info.Health == Ready {
			b.ready++
			if s.rank < 1 {
				b.local++
			}
			return false
		}
		b.pool.Remove(s)
		if s.info.Health != Gone || s.out > 0 {
			return false
		}
		delete(b.byID, s.info.ID)
		return true
	})
}

// onListFailed subscribes anew after a jittered, growing wait: the list is one service for all.
func (b *Balancer) onListFailed() {
	b.askWait = min(max(2*b.askWait, askAgainMin), askAgainMax)
	b.timer(askTimer, b.askWait*(0.5+b.rng.Float64()))
}

// ---- Evidence: own outcomes and missing answers, whatever the reports and the list say of a server.

// learn adds a failure of that weight, or a success if it is 0, to the evidence at all and to the tenant's.
func (b *Balancer) learn(s *server, who int, weight float64) {
	for _, i := range slices.Compact([]int{0, who}) {
		s.by[i].Add(b.now, weight)
	}
}

// shutOut notes that the server was not there for a probe or a connection.
func (b *Balancer) shutOut(s *server) {
	if s.shut = true; b.now >= s.tryAt { // else it is one of many that were under way together
		s.fails++
		s.tryAt = b.now + retryProbe.Wait(s.fails, b.rng.Float64())
	}
}

// isShut: without probes a server is left alone for the wait only, and then a request is its trial.
func (b *Balancer) isShut(s *server) bool { return s.shut && (b.cfg.Probes || b.now < s.tryAt) }

// silent: work is in hand and no answer came for far longer than expected.
func (b *Balancer) silent(s *server) bool {
	answer := max(s.expected, silentPart*b.minAim)
	return s.out > 0 && b.now-s.quietAt > answer*max(2, silentTimes/float64(s.out))
}

// miss is the probability that the server fails a request, on own evidence or by its own report.
func (b *Balancer) miss(s *server) float64 {
	if b.silent(s) {
		return 1
	}
	return max(s.by[0].Missed(b.now), s.failing*evidence.Faded(b.now-s.reportAt))
}

// excess is how much likelier than the median a server fails: trouble that most share excludes none.
func (b *Balancer) excess(s *server) float64 { return max(0, b.miss(s)-b.medianMiss) }

func (b *Balancer) updateMedians() {
	var misses, latencies []float64
	for _, s := range b.servers {
		if s.info.Health == Ready {
			misses = append(misses, b.miss(s))
			if s.latency > 0 && b.now-s.reportAt <= poolAge {
				latencies = append(latencies, s.latency)
			}
		}
	}
	b.medianMiss = limit.Quantile(0.5, misses, 0)
	b.fleetLatency = limit.Quantile(0.5, latencies, b.fleetLatency)
}

// ---- Latency. service is without waiting; fit rebuilds the paper's response time at the present RIF.

func (b *Balancer) service(s *server) Ms {
	if !b.cfg.Probes && b.told { // a request chooses among servers that have told nothing yet, too
		return cmp.Or(s.latency, b.fleetLatency, serverPrior)
	}
	return cmp.Or(s.latency, b.gauge.Unhindered(), serverPrior)
}

// expect is the response time that a request sent to s with rif in flight should see.
func (b *Balancer) expect(s *server, class int, rif float64) Ms {
	return b.service(s)*b.fit.Of(class)*b.fit.Stretch(rif+1) + s.network
}

// overdue is for how long at least a server has owed an answer, where answers alone tell service times.
func (b *Balancer) overdue(s *server) Ms {
	if s.out == 0 || b.told && b.cfg.Probes {
		return 0
	}
	return b.now - s.quietAt
}

// fraction is this sidecar's part of the fleet's traffic.
func (b *Balancer) fraction() float64 {
	return limit.Part(b.fracOwn, b.fracAll, b.arrivals.PerMs(b.now)*1000, b.quotas, b.cfg.Balancers)
}

// ---- Probe pool. Loads are in the server table: a use raises the RIF for later picks.

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
		load = b.probes.Load(b.now, s.info.Zone, e.Took-e.Dialed)
	}
	if s.rank >= 1 { // in another zone
		b.elsewhere.Note(e.Status == OK && load < b.fit.SideBySide())
	}
	if e.Status != OK {
		if b.shutOut(s); e.Status != Full {
			b.learn(s, 0, probeWeight)
		}
		return
	}
	s.shut, s.fails, s.tryAt, s.seenAt = false, 0, b.now, e.Seen
	if s.network == 0 || e.Took < s.network {
		s.network = e.Took
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
	n := limit.Awaited(b.probeDue+debt, b.sparse || limit.Dear(b.cfg.ProbePrice), blind)
	if b.sparse || limit.Dear(b.cfg.ProbePrice) { // then they come out of what requests have saved up
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
func (b *Balancer) reach() int { return limit.Reach(b.ready, b.cfg.Balancers) }

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
		b.out = append(b.out, Action{Kind: Probe, Server: s.info.ID})
		s.probing = true
	}
}

// tend ages the pool and removes the oldest and the worst entry in turn: bad servers must not collect there.
func (b *Balancer) tend(r *request) {
	b.pool.Expire(b.now, b.entryAge())
	b.perRequest = limit.ProbesARequest(b.cfg.ProbePrice, b.ready, b.arrivals.PerMs(b.now))
	b.probeDue = min(b.probeDue, limit.MostProbes) + b.perRequest
	b.sparse = b.now-b.bornAt >= firstAnswers && // as soon as the rate of requests is known
		float64(b.ready) > poolAge*b.perRequest*b.arrivals.PerMs(b.now)
	b.pool.Trim(removePart*b.perRequest, func(x, y *server) bool { return b.better(x, y, r) })
}

func (b *Balancer) entryAge() Ms { return min(poolAge, max(staleTimes*b.fleetLatency, 4*b.cfg.Round)) }

// cost compares cold entries: the expected response time plus, as time, likely failures and crossings.
func (b *Balancer) cost(s *server, r *request) float64 {
	aim := b.cfg.Classes[r.class].Aim
	t := max(b.overdue(s), b.expect(s, r.class, s.rif)) * (1 + rifLean*s.rif/b.fit.SideBySide())
	if s.info.Zone != b.cfg.Zone {
		t += b.cfg.CrossPrice * crossPerAim * aim
	}
	return t + b.excess(s)*missPerAim*aim
}

// better is the hot-cold rule: cold before hot, cold by latency, hot by RIF.
func (b *Balancer) better(x, y *server, r *request) bool {
	hx, hy := x.rif > b.hotRIF, y.rif > b.hotRIF
	if hx != hy {
		return hy
	}
	if hx {
		return x.rif < y.rif
	}
	return b.cost(x, r) < b.cost(y, r)
}

// allowed: rules 2, 3 and 4 let the server have this request.
func (b *Balancer) allowed(s *server, r *request) bool {
	return s.info.Health == Ready && b.mayRepeatAt(s, r) && b.warmEnough(s) &&
		(!b.unsure() || b.now-s.seenAt < b.cfg.Vouched)
}

// unsure: what the list does not say may count as told. Only a probe of a process known before can tell it.
func (b *Balancer) unsure() bool { return b.now >= b.sureAt }

// suits: not even for its tenant alone does the evidence exclude the server.
func (b *Balancer) suits(s *server, r *request) bool {
	return b.trusted(s) && s.by[r.who].Missed(b.now) < b.medianMiss+ejectAt
}

// trusted: the evidence does not exclude the server. One that is idle gets a trial once that has faded.
func (b *Balancer) trusted(s *server) bool {
	return b.excess(s) < ejectAt || s.out == 0 && b.miss(s) < ejectAt
}

// best is the pool's choice by the hot-cold rule among the usable entries, and how many of those there are.
func (b *Balancer) best(r *request) (best *server, n int) {
	return b.pool.Best(func(s *server) bool { return s != r.avoid && b.allowed(s, r) && b.suits(s, r) },
		func(x, y *server) bool { return b.better(x, y, r) })
}

// pick is the pool's choice, or, below two usable entries (one for who has waited), a random server.
func (b *Balancer) pick(r *request) *server {
	if s, n := b.best(r); n >= 2 || n == 1 && (r.attempts > 0 || r.waits > 0) {
		b.pool.Use(s)
		return s
	}
	found := b.drawSome(limit.Choices(b.cfg.Probes), func(s *server) int {
		switch {
		case !b.allowed(s, r):
			return 0
		case !b.suits(s, r):
			return 1
		case s == r.avoid || b.isShut(s):
			return 2
		case b.warmth(s) < 1: // it is its turn, and the others who might take it are as seldom here
			return 5
		case b.now-s.reportAt > knownFor:
			return 3
		}
		return 4
	})
	if len(found) == 0 {
		return nil
	}
	return slices.MinFunc(found, func(x, y *server) int { return cmp.Compare(b.cost(x, r), b.cost(y, r)) })
}

// draw returns a random one of the servers of the highest rank above 0.
func (b *Balancer) draw(rank func(*server) int) *server {
	if found := b.drawSome(1, rank); len(found) > 0 {
		return found[0]
	}
	return nil
}

// drawSome returns random ones of them, at most so many.
func (b *Balancer) drawSome(most int, rank func(*server) int) (found []*server) {
	best, seen := 1, 0
	for _, s := range b.servers {
		k := rank(s)
		if k > best {
			best, seen, found = k, 0, found[:0]
		}
		if k < best {
			continue
		}
		seen++ // of so many, each is kept with the same chance
		if at := b.rng.IntN(seen); len(found) < most {
			found = append(found, s)
		} else if at < most {
			found[at] = s
		}
	}
	return found
}

// ---- Admission. Of load beyond what servers can finish in time, the least worthy is refused first.

func (b *Balancer) inShare(tenant int) bool {
	if tenant < 0 || tenant >= len(b.buckets) {
		return true
	}
	k, quota := &b.buckets[tenant], b.cfg.Tenants[tenant].Quota*b.fraction()
	return k.Take(b.now, quota/1000, max(quotaLeast, quota))
}

// admits: the answer is likely in time, and the crowding leaves room for a request of this worth.
func (b *Balancer) admits(s *server, r *request) bool {
	worth := b.density(r.class)
	if r.over {
		worth *= b.cfg.OverShareWorth
	}
	if !b.told && !b.gauge.Admits(uint32(r.id), worth) {
		return false // by what all servers have taken of late
	}
	left := min(r.aimAt, r.endAt) - b.now
	if b.overdue(s) > left {
		return false
	}
	if s.rif < 1 && !r.over {
		return true // an idle server is worth a try: only a sample can correct a wrong estimate
	}
	margin := limit.Room(b.sparse, b.cfg.WastePrice, s.rif/b.fit.SideBySide())
	margin *= min(1, max(slowMost*b.fleetLatency, serverPrior)/b.service(s)) // a few costly ones raise a mean
	for i, c := range b.cfg.Classes {
		room := c.Aim
		if i == r.class {
			room = left
		} else if c.Dropped || b.density(i) < peerWorth*worth {
			continue // only where no worthier or equal request would find room is this one out of place
		}
		most := room / margin
		if !b.told { // a target that is tight for unhindered answers is no reason to leave servers idle
			most = max(most, limit.FreeTimes*b.gauge.Unhindered()*b.fit.Of(i))
		}
		if b.expect(s, i, s.rif) > most {
			return false
		}
	}
	return b.fit.Stretch(s.rif+1) <= limit.Crowd(b.sparse, worth)
}

// density is the worth of a class for the time its requests hold a server, over that of the best class.
func (b *Balancer) density(class int) float64 {
	most := math.SmallestNonzeroFloat64
	for i, c := range b.cfg.Classes {
		if !c.Dropped {
			most = max(most, c.Worth/b.fit.Of(i))
		}
	}
	return b.cfg.Classes[class].Worth / b.fit.Of(class) / most
}

// ---- Cold-start budget (rule 4): a cold server gets a warm one's part, times what it must bear by now.

func (b *Balancer) warmth(s *server) float64 {
	return limit.Warmth(b.now-s.info.StartedAt, s.info.StartedAt > 0, b.cfg.ColdShare, b.cfg.WarmWithin)
}

func (b *Balancer) warmEnough(s *server) bool {
	w := b.warmth(s)
	if w >= 1 {
		return true
	}
	room := b.now-s.reportAt <= coldFresh && s.rif < coldIdle*w*b.fit.SideBySide() // as it has just said
	rate := limit.ColdRate(w, b.cfg.TipMultiple, room, b.sendRate.PerMs(b.now), b.arrivals.PerMs(b.now))
	return s.cold.Fill(b.now, rate/float64(max(1, b.ready)), 1)
}

type request struct {
	id                RequestID
	class, who        int // who: of the tenant among a server's tallies; 0 = none
	attempts          int
	aimAt, endAt      Ms      // the final answer is given by endAt
	out, done         bool    // an attempt is out; all is answered
	over              bool    // beyond its tenant's share
	avoid             *server // where the last attempt failed
	sentAt            Ms
	sentRIF, sentBase float64
	expected          Ms
	mayRan            bool // an attempt may have run
	dropped           Ms   // until then servers drop a repeat, by when the first of those was sent
	ranZone, ranCell  int
	waits, need       int // waits for probes so far; answers missing in this one
	waitEnd           Ms
}

// mayRepeatAt is rule 2 for a further attempt: the only place that says where one is allowed.
func (b *Balancer) mayRepeatAt(s *server, r *request) bool {
	c := &b.cfg.Classes[r.class]
	if !r.mayRan || c.Repeat != Keyed {
		return !r.mayRan || c.Repeat == Safe
	}
	zone := s.info.Zone == r.ranZone
	return b.now < r.dropped && (c.Scope == ScopeAll ||
		zone && (c.Scope == ScopeZone || s.info.Cell == r.ranCell))
}

// mayRefuse is rule 2 for a refusal.
func (b *Balancer) mayRefuse(r *request) bool {
	c := &b.cfg.Classes[r.class]
	return !r.out && (!r.mayRan || c.Repeat == Safe || c.Repeat == Keyed && c.Scope == ScopeAll)
}

func (b *Balancer) onArrival(e *Event) {
	b.arrivals.Add(b.now)
	b.retries = min(retryBurst, b.retries+retryPart)
	class := min(max(0, e.Class), len(b.cfg.Classes)-1)
	r := &request{id: e.Request, class: class, who: 1 + max(-1, min(e.Tenant, len(b.buckets)-1)),
		aimAt: b.now + b.cfg.Classes[class].Aim, endAt: b.now + max(0, e.Left-b.margin)}
	b.requests[r.id] = r
	b.timer(uint64(r.id), r.endAt-b.now)
	b.tend(r)
	r.over = !b.inShare(e.Tenant)
	b.choose(r)
}

// choose decides from the pool, or waits for answers where the pool is short.
func (b *Balancer) choose(r *request) {
	if _, n := b.best(r); n < min(2, b.ready) && b.mayRefuse(r) && b.await(r, 0, false) {
		return
	}
	if r.attempts == 0 {
		n := max(0, int(b.probeDue))
		b.probeDue -= float64(n)
		b.probe(n, b.near(b.rng.IntN(limit.FarEvery(b.sparse)) == 1))
	}
	b.decide(r)
}

// decide sends the request, waits for news of more servers, or gives up.
func (b *Balancer) decide(r *request) {
	s := b.pick(r)
	blind := s == nil && b.unsure()
	if s != nil && r.attempts == 0 && !b.admits(s, r) {
		s = b.roomy(r)
	} else if r.attempts > 0 && s != nil && b.expect(s, r.class, s.rif) >= r.endAt-b.now {
		s = nil
	}
	switch {
	case s != nil:
		b.send(r, s)
	case (r.waits > 0 || blind || b.sparse && r.attempts == 0) && b.await(r, probeDebt, blind):
	default:
		b.finish(r)
	}
}

// roomy is a random server with room where the pool's pick has none: the best would draw all sidecars.
func (b *Balancer) roomy(r *request) *server {
	old := poolAge
	if b.sparse {
		old = b.entryAge()
	}
	return b.draw(func(s *server) int {
		if (b.now-s.reportAt <= old || !b.cfg.Probes) && b.allowed(s, r) && b.suits(s, r) && b.admits(s, r) {
			return 1
		}
		return 0
	})
}

func (b *Balancer) send(r *request, s *server) {
	end := r.endAt - b.now
	r.sentBase, r.sentRIF = b.service(s), s.rif
	if s.out == 0 {
		s.quietAt = b.now
	}
	r.expected = b.expect(s, r.class, s.rif)
	s.expected = r.expected
	c := &b.cfg.Classes[r.class]
	again := c.Repeat != Unsafe && r.attempts+1 < c.Attempts && b.retries >= 1
	if w := max(timeoutTimes*r.expected, b.minAim/2); again && w < end/2 {
		end = w
	}
	if s.out++; !b.told {
		b.gauge.Began(b.now, uint32(r.id), r.class, b.fit.Of(r.class))
	}
	b.outAll++
	s.rif++
	s.cold.V--
	b.sendRate.Add(b.now)
	r.out, r.sentAt = true, b.now
	r.attempts++
	act := Action{Kind: Send, Request: r.id, Server: s.info.ID, After: max(end, 1)}
	if r.mayRan && c.Repeat == Keyed { // its connection may come up long after mayRepeatAt has looked
		act.Expires = r.dropped - b.now
	}
	b.out = append(b.out, act)
}

func (b *Balancer) onAttemptDone(e *Event) {
	b.gauge.Ended(b.now, uint32(e.Request), e.Status == OK || e.Status == TimedOut)
	s := b.byID[e.Server]
	r, who := b.requests[e.Request], 0
	if r != nil {
		who = r.who
	}
	if s != nil {
		s.out = max(0, s.out-1)
		b.outAll--
		s.rif = max(0, s.rif-1)
		switch e.Status {
		case OK:
			s.quietAt, s.shut = b.now, false
			b.learn(s, who, 0)
			if b.sample(s, r, e.Took, 1); e.Report.HasRIF {
				b.onReport(s, &e.Report, e.Report.RIF)
			}
		case Failed, Reset, NoConnection, Full:
			s.quietAt = b.now
			if b.learn(s, who, 1); e.Status == NoConnection {
				b.shutOut(s)
			} else if e.Status == Full {
				b.fit.Full(s.rif+1, limit.CrowdMost)
			}
		case TimedOut:
			if !b.silent(s) {
				b.sample(s, r, e.Took, 0) // the survivors alone would look too fast
			}
			if b.silent(s) || r != nil && e.Took+b.cfg.Round > timeoutTimes*r.expected {
				b.learn(s, who, 1)
			}
		}
	}
	if r == nil {
		return
	}
	r.out = false
	if !e.Status.NeverRan() && e.Status != OK {
		if !r.mayRan && s != nil {
			window := b.cfg.Classes[r.class].Window - b.margin
			r.dropped, r.ranZone, r.ranCell = r.sentAt+window, s.info.Zone, s.info.Cell
		}
		r.mayRan = true
	}
	if e.Final || r.done {
		b.abandon(r)
		return
	}
	r.avoid = s
	left := e.Status != NotSent && !e.Spent && r.attempts < b.cfg.Classes[r.class].Attempts
	if left && b.retries >= 1 && r.endAt-b.now > b.margin {
		b.retries--
		r.waits = 0
		b.choose(r)
		return
	}
	b.finish(r)
}

// sample learns from the duration of an attempt. Without reports durations are all there is.
func (b *Balancer) sample(s *server, r *request, took Ms, ended float64) {
	if alone := took; !s.reported {
		if r != nil && !b.told { // by what all take: a server's own time and waiting show as a product alone
			alone = max(0, took-s.network) / b.fit.Of(r.class) / b.fit.Stretch(r.sentRIF+1)
			r.sentBase = b.gauge.Unhindered()
		}
		s.latency = b.service(s) + latencyStep*(alone-b.service(s))
	}
	if r != nil && (s.reported || !b.told && r.sentBase > 0) && r.sentAt-b.bornAt >= firstAnswers {
		b.fit.Add(r.class, r.sentRIF+1, min(10, max(0, took-s.network)/r.sentBase), ended)
		if !b.told {
			b.fit.Level()
		}
	}
}

// finish gives the final answer: a refusal where that is true, else a failure.
func (b *Balancer) finish(r *request) {
	act := Action{Kind: Fail, Request: r.id}
	if b.mayRefuse(r) {
		b.shed++
		act.Kind, act.After = Refuse, b.comeBack(r)
	}
	b.out = append(b.out, act)
	b.abandon(r)
}

// comeBack advises when to try again: not soon beyond a share, else when what servers work on has left.
func (b *Balancer) comeBack(r *request) Ms {
	if r.over {
		return b.cfg.MaxRetryAfter
	}
	return min(b.cfg.MaxRetryAfter, max(b.fleetLatency, serverPrior))
}

// abandon stops the work on a request that nobody waits for.
func (b *Balancer) abandon(r *request) {
	r.done = true
	if !r.out {
		delete(b.requests, r.id)
		b.waiting = slices.DeleteFunc(b.waiting, func(w *request) bool { return w == r })
	} else if b.cfg.Cancel {
		b.out = append(b.out, Action{Kind: Cancel, Request: r.id, Attempt: r.attempts - 1})
	}
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
			b.finish(r)
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
		if !c.Dropped {
			left = min(left, c.Aim/b.fit.Of(i))
		}
	}
	b.gauge.Look(b.now, left)
	if b.now-b.lastProbe >= idleProbe {
		b.probe(1, b.reach())
	}
	for i := 0; i < tickRetries && !limit.Dear(b.cfg.ProbePrice); i++ { // random ones: none waits for ever
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

// LeftOut reports whether a server listed as ready is kept from picks by evidence, connections or probes.
func (b *Balancer) LeftOut(id ServerID) bool {
	s := b.byID[id]
	return s != nil && s.info.Health == Ready && (s.ejected || b.isShut(s))
}

func (b *Balancer) logf(format string, args ...any) {
	b.out = append(b.out, Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

func (b *Balancer) timer(id uint64, after Ms) {
	b.out = append(b.out, Action{Kind: SetTimer, Timer: id, After: max(after, 0)})
}

// Handle takes one event at time now and appends to out what is to be done about it.
func (b *Balancer) Handle(now Ms, e *Event, out []Action) []Action {
	b.now, b.out = now, out
	switch e.Kind {
	case Started:
		b.bornAt = now
		b.timer(tickTimer, tickEvery)
		if b.cfg.AskForList {
			b.out = append(b.out, Action{Kind: Subscribe})
		}
	case List:
		b.onList(e)
	case ListFailed:
		b.onListFailed()
	case Arrival:
		b.onArrival(e)
	case AttemptDone:
		b.onAttemptDone(e)
	case ClientGone:
		if r := b.requests[e.Request]; r != nil {
			b.abandon(r)
		}
	case TimerDue:
		b.onTimer(e)
	case ProbeDone:
		b.onProbe(e)
	case Sure:
		b.sureAt, b.proveAt = b.now+e.Left, b.now+e.Took
	case Flowing:
		b.byID[e.Server].quietAt = b.now
	}
	return b.out
}
