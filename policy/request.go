package policy

import (
	"plankrouter/policy/internal/admission"
	"plankrouter/policy/internal/outlier"
)

// request is the state of a request from its arrival to its final response and the end of its last attempt.
type request struct {
	id               RequestID
	class            int
	tenant           int // index into outlier.ByTenant; outlier.AllTenants = none
	objectiveAt      Ms
	respondBy        Ms   // deadline for the final response
	overQuota        bool // beyond its tenant's quota
	done             bool // the client has its response, or no longer waits for one
	probeWaits       int  // number of waits for probes before the next attempt
	responsesPending int  // probe responses that the current wait still needs
	waitUntil        Ms   // when the current wait ends

	bodyPending     bool // the body is still being sent: an attempt is no work at its server yet
	attempts        int
	inFlight        bool    // an attempt is in flight
	sentTo          *server // server of the last attempt
	failedServer    *server // server of the last attempt, if that has failed
	sentAt          Ms      // start of the last attempt
	sentRIF         float64 // RIF of the server before the last attempt
	sentServiceTime Ms      // service time of the server, as estimated at sentAt
	expectedLatency Ms      // expected response time of the last attempt, as estimated at sentAt

	mayHaveRun          bool // an attempt may have had an effect
	repeatsDroppedUntil Ms   // until then servers drop repeats; counted from when the first attempt that may have run was sent
	ranZone, ranCell    int  // zone and cell of the server of the first attempt that may have run
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
		respondBy:   b.now + max(0, e.TimeLeft-b.responseMargin),
		bodyPending: e.BodyPending,
	}
	b.requests[r.id] = r
	b.setTimer(uint64(r.id), r.respondBy-b.now)
	b.replenishProbes(r)
	r.overQuota = !b.withinQuota(e.Tenant)
	b.pickOrWait(r)
}

// pickOrWait sends or rejects the request at once, or waits for probe responses if the pool has too few usable entries.
func (b *Balancer) pickOrWait(r *request) {
	_, usable := b.bestInPool(r)
	if usable < min(minPoolChoices, b.readyCount) && b.mayReject(r) && b.waitForProbes(r, 0, false) {
		return
	}
	if r.attempts == 0 {
		b.probeForRequest()
	}
	b.sendOrReject(r)
}

// sendOrReject sends the request, waits for reports of more servers, or rejects or fails the request. It may be called after
// the request's deadline, when no attempt may be started any more.
func (b *Balancer) sendOrReject(r *request) {
	if b.now >= r.respondBy {
		b.rejectOrFail(r, DeadlineReached)
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
	b.rejectOrFail(r, reason)
}

// serverFor returns the server for the next attempt, or nil and the reason why there is none. A first attempt has to be
// admitted; for a further one it is enough that the response is expected before the deadline.
func (b *Balancer) serverFor(r *request) (*server, Reason) {
	s := b.pick(r)
	switch {
	case s == nil && b.isListStale():
		return nil, ListStale
	case s == nil:
		return nil, NoEligibleServer
	case r.attempts == 0 && !b.admits(s, r):
		return b.randomWithCapacity(r), NoCapacity
	case r.attempts > 0 && b.expectedLatency(s, r.class, s.rif) >= r.respondBy-b.now:
		return nil, DeadlineReached
	}
	return s, NoEligibleServer
}

func (b *Balancer) startAttempt(r *request, s *server) {
	class := &b.cfg.Classes[r.class]
	r.sentServiceTime = b.serviceTime(s)
	r.expectedLatency = b.expectedLatency(s, r.class, s.rif)
	timeout := b.attemptTimeout(r)
	r.sentTo = s
	if r.bodyPending {
		s.uploads++
	} else {
		b.countWork(r)
	}
	s.slowStartBudget.Value--
	b.sendRate.Add(b.now)
	r.inFlight = true
	r.sentAt = b.now
	r.attempts++
	action := Action{Kind: StartAttempt, Request: r.id, Server: s.info.ID, After: max(timeout, 1), ResponseBy: max(r.respondBy-b.now, 1)}
	if r.mayHaveRun && class.Idempotency == WithIdempotencyKey { // connecting may take long after mayRetryAt has allowed it
		action.Expires = r.repeatsDroppedUntil - b.now
	}
	b.act(action)
}

// countWork counts the request's attempt as work at its server.
func (b *Balancer) countWork(r *request) {
	s := r.sentTo
	r.sentServiceTime = b.serviceTime(s)
	r.sentRIF = s.rif
	r.expectedLatency = b.expectedLatency(s, r.class, s.rif)
	s.expectedLatency = r.expectedLatency
	if s.inFlight == 0 {
		s.noResponseSince = b.now
	}
	if !b.latencyReported {
		b.gauge.AttemptStarted(b.now, uint32(r.id), r.class, b.loadModel.ClassFactor(r.class))
	}
	s.inFlight++
	b.inFlight++
	s.rif++
}

// onBodySent counts an attempt as work whose server has the whole request only now.
func (b *Balancer) onBodySent(e *Event) {
	r := b.requests[e.Request]
	if r == nil || !r.inFlight || !r.bodyPending {
		return
	}
	r.bodyPending = false
	r.sentTo.uploads = max(0, r.sentTo.uploads-1)
	r.sentAt = b.now
	b.countWork(r)
}

// endWork undoes countWork, or the count of an upload, for an attempt of r, which may be nil, that has ended at s.
func (b *Balancer) endWork(r *request, s *server) {
	if r != nil && r.bodyPending {
		s.uploads = max(0, s.uploads-1)
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	b.inFlight--
	s.rif = max(0, s.rif-1)
}

func (b *Balancer) onAttemptEnded(e *Event) {
	b.gauge.AttemptEnded(b.now, uint32(e.Request), e.Status == OK || e.Status == TimedOut)
	s := b.byID[e.Server]
	r := b.requests[e.Request]
	if s != nil {
		b.endWork(r, s)
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
		b.rejectOrFail(r, RetryNotAllowed)
		return
	}
	r.probeWaits = 0
	b.pickOrWait(r)
}

// recordOutcome updates the server's statistics by the end of an attempt there; r is nil if the request has already ended.
func (b *Balancer) recordOutcome(s *server, r *request, e *Event) {
	tenant := outlier.AllTenants
	if r != nil {
		tenant = r.tenant
	}
	switch e.Status {
	case OK:
		s.noResponseSince = b.now
		s.reachability.RequestSucceeded()
		s.outcomesByTenant.AddSuccess(b.now, tenant)
		b.recordDuration(s, r, e.Elapsed, true)
		if e.Report.HasRIF {
			b.applyReport(s, &e.Report, e.Report.RIF)
		}
	case Failed, Reset, ConnectFailed, Declined:
		s.noResponseSince = b.now
		s.outcomesByTenant.AddFailure(b.now, tenant, 1)
		switch e.Status {
		case ConnectFailed:
			s.reachability.Failed(b.now, b.rng)
		case Declined:
			b.loadModel.AddDeclined(s.rif+1, admission.FullStretch)
		}
	case TimedOut:
		if !b.isUnresponsive(s) {
			b.recordDuration(s, r, e.Elapsed, false) // samples of successful attempts alone would be too short
		}
		if b.isUnresponsive(s) || r != nil && e.Elapsed+b.cfg.Round > timeoutMultiple*r.expectedLatency {
			s.outcomesByTenant.AddFailure(b.now, tenant, 1)
		}
	}
}

// rejectOrFail gives the final response: it rejects the request if the client may safely retry it, and fails it otherwise.
func (b *Balancer) rejectOrFail(r *request, reason Reason) {
	action := Action{Kind: FailRequest, Request: r.id, Reason: reason}
	if b.mayReject(r) {
		b.rejectedSinceLog++
		action.Kind = RejectRequest
		action.After = b.retryAfter(r)
	}
	b.act(action)
	b.endRequest(r)
}

// endRequest ends a request that no client waits for any more, and cancels its attempt in flight if that is allowed.
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
