package policy

import (
	"plankrouter/policy/internal/admission"
	"plankrouter/policy/internal/outlier"
)

// request is a request from its arrival to its final answer.
type request struct {
	id             RequestID
	class          int
	tenant         int // place among a server's outcomes, or outlier.AllTenants
	objectiveAt    Ms
	answerBy       Ms   // the final answer is given by then
	overQuota      bool // beyond its tenant's quota
	done           bool // answered, or nobody waits for it any more
	probeWaits     int  // for this attempt, so far
	answersMissing int  // of probes, in the present wait
	waitUntil      Ms

	attempts        int
	inFlight        bool    // an attempt is
	failedServer    *server // of the last attempt
	sentAt          Ms
	sentRIF         float64 // at the server, before the attempt
	sentServiceTime Ms      // as expected then
	expectedLatency Ms

	mayHaveRun          bool // an attempt may have had an effect
	repeatsDroppedUntil Ms   // by servers, counted from when the first of those attempts was sent
	ranZone, ranCell    int
}

func (b *Balancer) onRequestArrived(e *Event) {
	b.arrivalRate.Add(b.now)
	b.retryBudget.Earn()
	class := min(max(0, e.Class), len(b.cfg.Classes)-1)
	r := &request{
		id:          e.Request,
		class:       class,
		tenant:      1 + max(-1, min(e.Tenant, len(b.tenantBuckets)-1)),
		objectiveAt: b.now + b.cfg.Classes[class].LatencyObjective,
		answerBy:    b.now + max(0, e.TimeLeft-b.answerMargin),
	}
	b.requests[r.id] = r
	b.setTimer(uint64(r.id), r.answerBy-b.now)
	b.replenishProbes(r)
	r.overQuota = !b.withinQuota(e.Tenant)
	b.pickOrWait(r)
}

// pickOrWait decides from the pool, or waits for answers of probes where the pool is short.
func (b *Balancer) pickOrWait(r *request) {
	_, usable := b.bestInPool(r)
	if usable < min(minPoolChoices, b.readyCount) && b.mayRefuse(r) && b.waitForProbes(r, 0, false) {
		return
	}
	if r.attempts == 0 {
		b.probeForRequest()
	}
	b.sendOrRefuse(r)
}

// sendOrRefuse sends the request, waits for reports of more servers, or gives up. It may have been called late, and a server
// must not be given more time than there is.
func (b *Balancer) sendOrRefuse(r *request) {
	if b.now >= r.answerBy {
		b.refuseOrFail(r, DeadlineReached)
		return
	}
	s, reason := b.serverFor(r)
	if s != nil {
		b.startAttempt(r, s)
		return
	}
	urgent := reason == ListStale
	if (r.probeWaits > 0 || urgent || b.reportsSparse && r.attempts == 0) && b.waitForProbes(r, maxProbeDebt, urgent) {
		return
	}
	b.refuseOrFail(r, reason)
}

// serverFor returns the server that gets the request, or nil and why none does. A first attempt must be admitted; a further
// one must only be answered before the client gives up.
func (b *Balancer) serverFor(r *request) (*server, Reason) {
	s := b.pick(r)
	switch {
	case s == nil && b.isListStale():
		return nil, ListStale
	case s == nil:
		return nil, NoEligibleServer
	case r.attempts == 0 && !b.admits(s, r):
		return b.randomWithCapacity(r), NoCapacity
	case r.attempts > 0 && b.expectedLatency(s, r.class, s.rif) >= r.answerBy-b.now:
		return nil, DeadlineReached
	}
	return s, NoEligibleServer
}

func (b *Balancer) startAttempt(r *request, s *server) {
	class := &b.cfg.Classes[r.class]
	r.sentServiceTime = b.serviceTime(s)
	r.sentRIF = s.rif
	if s.inFlight == 0 {
		s.silentSince = b.now
	}
	r.expectedLatency = b.expectedLatency(s, r.class, s.rif)
	s.expectedLatency = r.expectedLatency
	timeout := b.attemptTimeout(r)
	s.inFlight++
	if !b.latencyReported {
		b.gauge.AttemptStarted(b.now, uint32(r.id), r.class, b.loadModel.ClassFactor(r.class))
	}
	b.inFlight++
	s.rif++
	s.slowStartBudget.Value--
	b.sendRate.Add(b.now)
	r.inFlight = true
	r.sentAt = b.now
	r.attempts++
	action := Action{Kind: StartAttempt, Request: r.id, Server: s.info.ID, After: max(timeout, 1)}
	if r.mayHaveRun && class.Idempotency == WithIdempotencyKey { // its connection may come up long after mayRetryAt has looked
		action.Expires = r.repeatsDroppedUntil - b.now
	}
	b.act(action)
}

func (b *Balancer) onAttemptEnded(e *Event) {
	b.gauge.AttemptEnded(b.now, uint32(e.Request), e.Status == OK || e.Status == TimedOut)
	s := b.byID[e.Server]
	r := b.requests[e.Request]
	if s != nil {
		s.inFlight = max(0, s.inFlight-1)
		b.inFlight--
		s.rif = max(0, s.rif-1)
		b.recordOutcome(s, r, e)
	}
	if r == nil {
		return
	}
	r.inFlight = false
	if !e.Status.NeverRan() && e.Status != OK {
		b.markMayHaveRun(r, s)
	}
	if e.Final || r.done {
		b.endRequest(r)
		return
	}
	r.failedServer = s
	if !b.takeRetry(r, e) {
		b.refuseOrFail(r, RetryNotAllowed)
		return
	}
	r.probeWaits = 0
	b.pickOrWait(r)
}

// recordOutcome learns from the end of an attempt at a server; r is nil where the request has ended before.
func (b *Balancer) recordOutcome(s *server, r *request, e *Event) {
	tenant := outlier.AllTenants
	if r != nil {
		tenant = r.tenant
	}
	switch e.Status {
	case OK:
		s.silentSince = b.now
		s.reachability.RequestAnswered()
		s.outcomesByTenant.AddSuccess(b.now, tenant)
		b.recordDuration(s, r, e.Elapsed, true)
		if e.Report.HasRIF {
			b.applyReport(s, &e.Report, e.Report.RIF)
		}
	case Failed, Reset, ConnectFailed, Declined:
		s.silentSince = b.now
		s.outcomesByTenant.AddFailure(b.now, tenant, 1)
		switch e.Status {
		case ConnectFailed:
			s.reachability.Failed(b.now, b.rng)
		case Declined:
			b.loadModel.AddDeclined(s.rif+1, admission.FullStretch)
		}
	case TimedOut:
		if !b.isSilent(s) {
			b.recordDuration(s, r, e.Elapsed, false) // the answered ones alone would look too fast
		}
		if b.isSilent(s) || r != nil && e.Elapsed+b.cfg.Round > timeoutMultiple*r.expectedLatency {
			s.outcomesByTenant.AddFailure(b.now, tenant, 1)
		}
	}
}

// refuseOrFail gives the final answer: a refusal where the request can't have run, else a failure.
func (b *Balancer) refuseOrFail(r *request, reason Reason) {
	action := Action{Kind: FailRequest, Request: r.id, Reason: reason}
	if b.mayRefuse(r) {
		b.refusedSinceLog++
		action.Kind = RejectRequest
		action.After = b.retryAfter(r)
	}
	b.act(action)
	b.endRequest(r)
}

// endRequest stops the work on a request that nobody waits for.
func (b *Balancer) endRequest(r *request) {
	r.done = true
	switch {
	case !r.inFlight:
		delete(b.requests, r.id)
		b.stopWaiting(r)
	case b.cfg.Cancel:
		b.act(Action{Kind: CancelAttempt, Request: r.id, Attempt: r.attempts - 1})
	}
}
