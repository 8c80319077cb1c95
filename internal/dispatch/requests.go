package dispatch

// The life of a request in the pool: taken, attempted, answered once, or left.

import (
	"container/heap"
	"plankrouter/internal/invariant"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/staleness"
	"plankrouter/internal/upstream"
	"plankrouter/policy"
	"time"
)

// requests is an invocation that has no final answer yet, or whose invoker call is still out.
type pendingRequest struct {
	request  *request.Request
	attempts int
	attempt  uint64 // under way; 0 = none
	mayRun   bool   // an attempt that has ended may have run
	answered bool
}

func (e requestArrived) apply(d *Dispatcher) {
	req := e.request
	if d.openIDs[req.ID] || d.openInPredecessor[req.ID] { // providers could not tell the two apart, and one might get the other's answer
		d.counts.Conflicts++
		req.Respond(request.Response{Kind: request.Duplicate})
		return
	}
	d.openIDs[req.ID] = true
	d.counts.Accepted++
	d.lastRequest++
	d.requests[d.lastRequest], d.requestIDs[req] = &pendingRequest{request: req}, d.lastRequest
	now := time.Now()
	d.traceRequest(req, "taken", "class=%d tenant=%d left_ms=%.0f", req.Class, req.Tenant, millis(d.timeLeft(req, now)))
	if d.isPastLastForward(now) {
		d.rejectForShutdown(d.lastRequest)
		return
	}
	d.handle(policy.Event{Kind: policy.RequestArrived, Request: d.lastRequest, Class: req.Class, Tenant: req.Tenant, ClientRetry: req.ClientRetry})
}

// isPastLastForward reports whether this process may be killed so soon that it sends nothing new.
func (d *Dispatcher) isPastLastForward(now time.Time) bool {
	return !d.shutdownAt.IsZero() && now.Sub(d.shutdownAt) >= d.shutdownSchedule.LastForward
}

// ShuttingDown is why a request is refused that comes in when this process may be killed soon. The module is not asked: it knows nothing of
// processes.
const ShuttingDown policy.Reason = "ending"

// rejectForShutdown refuses a request of which nothing was sent.
func (d *Dispatcher) rejectForShutdown(id policy.RequestID) {
	d.countUnserved(&policy.Action{Request: id, Reason: ShuttingDown})
	d.respond(id, request.Response{Kind: request.Rejected})
}

// timeLeft is how long the invocation's consumer still waits at now. What it still sends it does not wait for yet: see flowed.
func (d *Dispatcher) timeLeft(req *request.Request, now time.Time) time.Duration {
	if req.Remainder != nil && d.shutdownAt.IsZero() {
		return maxUploadTime
	} else if req.Remainder != nil {
		return d.shutdownSchedule.LastAnswer - now.Sub(d.shutdownAt)
	}
	return d.waitLimit(req) - now.Sub(req.SentAt)
}

// waitLimit is how long it waits in all, as long as this process lives.
func (d *Dispatcher) waitLimit(req *request.Request) time.Duration {
	if d.shutdownAt.IsZero() {
		return req.Timeout
	}
	return d.shutdownSchedule.WaitLimit(req.SentAt.Sub(d.shutdownAt), req.Timeout)
}

func (e bodySent) apply(d *Dispatcher) {
	a := d.attempts[e.number]
	if a == nil {
		return
	}
	d.handle(policy.Event{Kind: policy.BodyProgressed, Server: a.server})
	delete(d.uploads, e.number)
	h := d.requests[a.request]
	if h == nil || h.answered {
		return
	}
	now := time.Now() // the consumer waits from now on, and so the attempt counts
	a.startedAt, h.request.SentAt = now, now
	a.timeout = &timer{at: now.Add(d.waitLimit(h.request) - uploadResponseMargin), attempt: e.number}
	heap.Push(&d.timers, a.timeout)
}

func (e clientGone) apply(d *Dispatcher) {
	id, waits := d.requestIDs[e.request]
	if !waits { // answered a moment ago, or found to have left
		if e.mayRun != nil {
			e.mayRun <- e.request.MayHaveRun
		}
		return
	}
	h := d.requests[id]
	d.cancelRequest(id, h)
	d.handle(policy.Event{Kind: policy.ClientGone, Request: id})
	if e.mayRun != nil {
		e.mayRun <- h.mayRun || h.attempt != 0
	}
}

// cancelRequest ends an invocation whose consumer is gone.
func (d *Dispatcher) cancelRequest(id policy.RequestID, h *pendingRequest) {
	d.counts.ClientsGone++
	d.traceRequest(h.request, "left", "attempts=%d under_way=%t", h.attempts, h.attempt != 0)
	d.closeRequest(id, h)
}

// respond gives the one final answer, if it is still owed.
func (d *Dispatcher) respond(id policy.RequestID, a request.Response) {
	h := d.requests[id]
	if h == nil || h.answered {
		return
	}
	if a.Kind == request.Rejected && !d.mayReject(h) {
		d.reportPrevented(invariant.Effect, h, "refuse")
		a = request.Response{Kind: request.Failed}
	}
	switch a.Kind {
	case request.Served:
		d.counts.Served++
	case request.Rejected:
		d.counts.Rejected++
	case request.Failed:
		d.counts.Failed++
	}
	d.traceRequest(h.request, "answered", "kind=%s attempts=%d may_have_run=%t took_ms=%.1f", a.Kind, h.attempts, h.mayRun,
		millis(time.Since(h.request.SentAt)))
	d.closeRequest(id, h)
	a.MayHaveRun = h.request.MayHaveRun
	h.request.Respond(a)
}

// closeRequest ends an invocation. An attempt that may have run goes on, unless the module calls it off; one that was not sent yet is
// not sent any more, since nobody waits for it.
func (d *Dispatcher) closeRequest(id policy.RequestID, h *pendingRequest) {
	h.answered = true
	delete(d.requestIDs, h.request)
	delete(d.openIDs, h.request.ID)
	d.withdrawAttempt(h.attempt, outcome.Cancelled)
	h.request.MayHaveRun = h.mayRun || h.attempt != 0
	if h.attempt == 0 {
		delete(d.requests, id)
	}
}

func (e attemptEnded) apply(d *Dispatcher) { d.endAttempt(e.number, e.Result) }

// endAttempt turns the end of an invoker call or a probe into the module's event. Every Send comes by here once.
func (d *Dispatcher) endAttempt(number uint64, r upstream.Result) {
	a := d.attempts[number]
	if a == nil { // reported twice, or after a Stop that ended it
		d.options.Logf("state=unknown_call number=%d ending=%s", number, r.Outcome)
		closeBody(r.Remainder)
		return
	}
	delete(d.attempts, number)
	delete(d.uploads, number)
	if a.timeout.index >= 0 { // else it would hold the call until its time was up
		heap.Remove(&d.timers, a.timeout.index)
	}
	k := d.servers[a.server]
	if k != nil {
		k.attempts--
	}
	took := millis(time.Since(a.startedAt))
	d.traceEnd(a, k, r.Outcome, took)
	if sign, is := evidenceOf(r.Outcome, a.isProbe); is && k != nil {
		d.options.OnEvidence(k.name, sign)
		if sign == staleness.Alive && k.process == a.process {
			k.liveness.Observe(a.startedAt, r.ConnectedAt, d.listValidity.ProcessUntil, a.isProbe)
		}
	}
	if a.isProbe {
		if k != nil && k.process != a.process || r.Outcome == outcome.Served && d.options.IsComplete != nil && !d.options.IsComplete(r.Report) {
			r.Outcome = outcome.NoLoadReport // or one of a process that is gone
		}
		d.counts.ProbeOutcomes[r.Outcome]++
		seen := 0.0
		if k != nil && k.liveness.ProbedAt.Equal(a.startedAt) {
			seen = d.clock.at(a.startedAt)
		}
		dialed := 0.0
		if r.ConnectedAt.After(a.startedAt) {
			dialed = millis(r.ConnectedAt.Sub(a.startedAt))
		}
		d.handle(policy.Event{
			Kind: policy.ProbeEnded, Server: a.server, Status: r.Outcome.Status(), Elapsed: took, ConnectTime: dialed,
			ProbeSentAt: seen, Report: r.Report,
		})
		return
	}
	d.counts.AttemptOutcomes[r.Outcome]++
	h := d.requests[a.request]
	h.attempt = 0
	h.mayRun = h.mayRun || !r.Outcome.Status().NeverRan()
	if !h.answered && h.request.IsClientGone() { // the word of it is still on its way
		d.cancelRequest(a.request, h)
	}
	if r.Outcome == outcome.Served && !h.answered {
		d.respond(a.request, request.Response{
			Kind: request.Served, StatusCode: r.StatusCode, Fields: r.Fields,
			Body: r.Body, Remainder: r.Remainder,
		})
	} else {
		closeBody(r.Remainder)
	}
	if h.answered {
		delete(d.requests, a.request)
	}
	d.handle(policy.Event{
		Kind: policy.AttemptEnded, Request: a.request, Attempt: a.number,
		Server: a.server, Status: r.Outcome.Status(), Elapsed: took, Final: h.answered, Report: r.Report,
		BodyConsumed: h.request.Remainder != nil && h.request.Remainder.Consumed(),
	})
}

// closeBody ends an answer that nobody waits for.
func closeBody(f request.BodyStream) {
	if f != nil {
		f.Close(false)
	}
}

// evidenceOf reads an ending for what it says of the provider's place in the list. A request that is turned away may have
// met a full queue; a probe is turned away by one that drains.
func evidenceOf(e outcome.Kind, probe bool) (sign staleness.Evidence, is bool) {
	switch {
	case e == outcome.Served:
		return staleness.Alive, true
	case e == outcome.ConnectRefused:
		return staleness.ConnectRefused, true
	case probe && (e == outcome.ServerError || e == outcome.Declined):
		return staleness.Draining, true
	}
	return sign, false
}
