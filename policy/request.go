package policy

import (
	"plankrouter/internal/subset"
	"plankrouter/policy/internal/admission"
	"slices"
)

// The life of a request: its arrival, its attempts and its one final answer.

const timeoutMultiple = 8.0 // expected responses after which what may be repeated is tried elsewhere

type request struct {
	id                         RequestID
	class, tenant              int // who: of the tenant among a server's tallies; 0 = none
	attempts                   int
	objectiveAt, answerBy      Ms      // the final answer is given by answerBy
	inFlight, done             bool    // an attempt is out; all is answered
	overQuota                  bool    // beyond its tenant's share
	failedServer               *server // where the last attempt failed
	sentAt                     Ms
	sentRIF, sentServiceTime   float64
	expectedLatency            Ms
	mayHaveRun                 bool // an attempt may have run
	repeatsDroppedUntil        Ms   // until then servers drop a repeat, by when the first of those was sent
	ranZone, ranCell           int
	probeWaits, answersMissing int // waits for probes so far; answers missing in this one
	waitUntil                  Ms
}

func (b *Balancer) onRequestArrived(e *Event) {
	b.arrivalRate.Add(b.now)
	b.retryBudget = min(maxRetryBudget, b.retryBudget+retriesPerRequest)
	class := min(max(0, e.Class), len(b.cfg.Classes)-1)
	r := &request{
		id: e.Request, class: class, tenant: 1 + max(-1, min(e.Tenant, len(b.tenantBuckets)-1)),
		objectiveAt: b.now + b.cfg.Classes[class].LatencyObjective, answerBy: b.now + max(0, e.TimeLeft-b.answerMargin),
	}
	b.requests[r.id] = r
	b.setTimer(uint64(r.id), r.answerBy-b.now)
	b.replenishProbes(r)
	r.overQuota = !b.withinQuota(e.Tenant)
	b.pickOrWait(r)
}

// pickOrWait decides from the pool, or waits for answers where the pool is short.
func (b *Balancer) pickOrWait(r *request) {
	if _, n := b.bestInPool(r); n < min(2, b.readyCount) && b.mayRefuse(r) && b.waitForProbes(r, 0, false) {
		return
	}
	if r.attempts == 0 {
		n := max(0, int(b.probeCredit))
		b.probeCredit -= float64(n)
		b.probeRandom(n, b.candidateCount(b.rng.IntN(subset.FarInterval(b.reportsSparse)) == 1))
	}
	b.sendOrRefuse(r)
}

// sendOrRefuse sends the request, waits for news of more servers, or gives up.
func (b *Balancer) sendOrRefuse(r *request) {
	if b.now >= r.answerBy { // it was long in coming, or waited: a server would be told more time than there is
		b.refuseOrFail(r, DeadlineReached)
		return
	}
	s, reason := b.pick(r), NoEligibleServer
	listStale := s == nil && b.isListStale()
	if listStale {
		reason = ListStale
	}
	if s != nil && r.attempts == 0 && !b.admits(s, r) {
		s, reason = b.randomWithCapacity(r), NoCapacity
	} else if r.attempts > 0 && s != nil && b.expectedLatency(s, r.class, s.rif) >= r.answerBy-b.now {
		s, reason = nil, DeadlineReached
	}
	switch {
	case s != nil:
		b.startAttempt(r, s)
	case (r.probeWaits > 0 || listStale || b.reportsSparse && r.attempts == 0) && b.waitForProbes(r, maxProbeDebt, listStale):
	default:
		b.refuseOrFail(r, reason)
	}
}

func (b *Balancer) startAttempt(r *request, s *server) {
	end := r.answerBy - b.now
	r.sentServiceTime, r.sentRIF = b.serviceTime(s), s.rif
	if s.inFlight == 0 {
		s.silentSince = b.now
	}
	r.expectedLatency = b.expectedLatency(s, r.class, s.rif)
	s.expectedLatency = r.expectedLatency
	c := &b.cfg.Classes[r.class]
	again := c.Idempotency != NonIdempotent && r.attempts+1 < c.Attempts && b.retryBudget >= 1
	if w := max(timeoutMultiple*r.expectedLatency, b.minObjective/2); again && w < end/2 {
		end = w
	}
	if s.inFlight++; !b.latencyReported {
		b.gauge.AttemptStarted(b.now, uint32(r.id), r.class, b.loadModel.ClassFactor(r.class))
	}
	b.inFlight++
	s.rif++
	s.slowStartBudget.Value--
	b.sendRate.Add(b.now)
	r.inFlight, r.sentAt = true, b.now
	r.attempts++
	action := Action{Kind: StartAttempt, Request: r.id, Server: s.info.ID, After: max(end, 1)}
	if r.mayHaveRun && c.Idempotency == WithIdempotencyKey { // its connection may come up long after mayRetryAt has looked
		action.Expires = r.repeatsDroppedUntil - b.now
	}
	b.actions = append(b.actions, action)
}

func (b *Balancer) onAttemptEnded(e *Event) {
	b.gauge.AttemptEnded(b.now, uint32(e.Request), e.Status == OK || e.Status == TimedOut)
	s := b.byID[e.Server]
	r, tenant := b.requests[e.Request], 0
	if r != nil {
		tenant = r.tenant
	}
	if s != nil {
		s.inFlight = max(0, s.inFlight-1)
		b.inFlight--
		s.rif = max(0, s.rif-1)
		switch e.Status {
		case OK:
			s.silentSince, s.unreachable = b.now, false
			b.recordOutcome(s, tenant, 0)
			if b.recordDuration(s, r, e.Elapsed, 1); e.Report.HasRIF {
				b.applyReport(s, &e.Report, e.Report.RIF)
			}
		case Failed, Reset, ConnectFailed, Declined:
			s.silentSince = b.now
			if b.recordOutcome(s, tenant, 1); e.Status == ConnectFailed {
				b.markUnreachable(s)
			} else if e.Status == Declined {
				b.loadModel.AddDeclined(s.rif+1, admission.FullStretch)
			}
		case TimedOut:
			if !b.isSilent(s) {
				b.recordDuration(s, r, e.Elapsed, 0) // the survivors alone would look too fast
			}
			if b.isSilent(s) || r != nil && e.Elapsed+b.cfg.Round > timeoutMultiple*r.expectedLatency {
				b.recordOutcome(s, tenant, 1)
			}
		}
	}
	if r == nil {
		return
	}
	r.inFlight = false
	if !e.Status.NeverRan() && e.Status != OK {
		if !r.mayHaveRun && s != nil {
			window := b.cfg.Classes[r.class].KeyWindow - b.answerMargin
			r.repeatsDroppedUntil, r.ranZone, r.ranCell = r.sentAt+window, s.info.Zone, s.info.Cell
		}
		r.mayHaveRun = true
	}
	if e.Final || r.done {
		b.endRequest(r)
		return
	}
	r.failedServer = s
	left := e.Status != NotSent && !e.BodyConsumed && r.attempts < b.cfg.Classes[r.class].Attempts
	if left && b.retryBudget >= 1 && r.answerBy-b.now > b.answerMargin {
		b.retryBudget--
		r.probeWaits = 0
		b.pickOrWait(r)
		return
	}
	b.refuseOrFail(r, RetryNotAllowed)
}

// refuseOrFail gives the final answer: a refusal where that is true, else a failure.
func (b *Balancer) refuseOrFail(r *request, reason Reason) {
	action := Action{Kind: FailRequest, Request: r.id, Reason: reason}
	if b.mayRefuse(r) {
		b.refusedSinceLog++
		action.Kind, action.After = RejectRequest, b.retryAfter(r)
	}
	b.actions = append(b.actions, action)
	b.endRequest(r)
}

// endRequest stops the work on a request that nobody waits for.
func (b *Balancer) endRequest(r *request) {
	r.done = true
	if !r.inFlight {
		delete(b.requests, r.id)
		b.waitingForProbes = slices.DeleteFunc(b.waitingForProbes, func(w *request) bool { return w == r })
	} else if b.cfg.Cancel {
		b.actions = append(b.actions, Action{Kind: CancelAttempt, Request: r.id, Attempt: r.attempts - 1})
	}
}
