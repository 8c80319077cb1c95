package dispatch

import (
	"container/heap"
	"time"

	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/staleness"
	"plankrouter/internal/upstream"
	"plankrouter/policy"
)

const (
	probeTimeout         = 200 * time.Millisecond // an answer that took longer says nothing of the present
	timeoutLead          = 100 * time.Microsecond // of an attempt's time-out over a timer of the policy for the same moment
	uploadResponseMargin = 15 * time.Millisecond  // before the client stops waiting, once its request's body was sent
)

// attemptID numbers the attempts and probes of a Dispatcher, from 1 on.
type attemptID uint64

const noAttempt attemptID = 0

// attemptRecord is an attempt or a probe under way, and what it is for.
type attemptRecord struct {
	running   upstream.Attempt
	startedAt time.Time
	isProbe   bool
	request   policy.RequestID // of an attempt
	number    int              // among those of its request
	server    policy.ServerID
	process   upstream.Endpoint // that it went to
	timeout   *timer
	expires   time.Time // no byte of it later than this; zero = any time
}

// startAttempt makes the attempt that the policy asks for.
func (d *Dispatcher) startAttempt(action *policy.Action) {
	pending, server := d.requests[action.Request], d.servers[action.Server]
	if !d.maySend(pending, server) {
		// A sound policy does not ask for it; the event keeps the accounts of a faulty one right.
		d.options.Logf("state=attempt_refused request=%d server=%d", action.Request, action.Server)
		d.handle(policy.Event{
			Kind: policy.AttemptEnded, Request: action.Request, Server: action.Server, Status: policy.NotSent,
			Final: pending == nil || pending.answered,
		})
		return
	}
	d.counts.Attempts++
	attempt := &attemptRecord{request: action.Request, number: pending.attempts, server: action.Server}
	pending.attempts++
	if action.Expires > 0 {
		attempt.expires = d.eventTime.Add(duration(action.Expires))
	}
	pending.attempt = d.launch(server, pending.request, attempt, duration(action.After))
}

// launch begins an attempt for req, or a probe where that is nil, gives it up after timeout, and returns its id.
func (d *Dispatcher) launch(server *serverRecord, req *request.Request, attempt *attemptRecord, timeout time.Duration) attemptID {
	d.lastAttempt++
	id := d.lastAttempt
	timeout = d.setAttemptTimers(id, req, attempt, timeout)
	d.attempts[id] = attempt
	server.attempts++
	attempt.startedAt = time.Now()
	attempt.process = server.process
	d.traceStart(attempt, server)
	firstByteBy := server.firstByteBy
	if t := d.listValidity.StartBy(server.liveness, d.options.DrainGrace); req != nil && !t.IsZero() &&
		(firstByteBy.IsZero() || t.Before(firstByteBy)) {
		firstByteBy = t
	}
	var deadline time.Time
	if req != nil && req.Remainder == nil {
		deadline = d.eventTime.Add(timeout)
	}
	attempt.running = server.process.Start(upstream.AttemptOptions{
		Request: req, Timeout: timeout, Deadline: deadline, StartBy: firstByteBy, Expires: attempt.expires,
		OnBodySent: func() { d.send(bodySent{id}) },
		OnEnd: func(r upstream.Result) {
			if !d.send(attemptEnded{id, r}) {
				closeBody(r.Remainder)
			}
		},
	})
	return id
}

// setAttemptTimers sets the timers that give an attempt up, and returns the time-out that its server is to know of.
func (d *Dispatcher) setAttemptTimers(id attemptID, req *request.Request, attempt *attemptRecord, timeout time.Duration) time.Duration {
	// The policy often gives an attempt until its request's own deadline, for which it has set a timer too. The time-out must win that
	// race: cancelled by the deadline instead, the attempt would teach the policy nothing, and it would judge the servers by the
	// answers that came in time alone.
	attempt.timeout = &timer{kind: attemptTimeout, fireAt: d.eventTime.Add(timeout - timeoutLead), attempt: id, index: notQueued}
	if req == nil || req.Remainder == nil {
		heap.Push(&d.timers, attempt.timeout)
	} else { // its time begins when its last byte is written
		d.uploads[id] = attempt
		timeout = d.waitLimit(req)
	}
	if !attempt.expires.IsZero() && attempt.expires.Before(attempt.timeout.fireAt) { // else the client would wait for what will not be sent
		heap.Push(&d.timers, &timer{kind: attemptExpiry, fireAt: attempt.expires, attempt: id})
	}
	return timeout
}

func (e bodySent) apply(d *Dispatcher) {
	attempt := d.attempts[e.attempt]
	if attempt == nil {
		return
	}
	d.handle(policy.Event{Kind: policy.BodyProgressed, Server: attempt.server})
	delete(d.uploads, e.attempt)
	pending := d.requests[attempt.request]
	if pending == nil || pending.answered {
		return
	}
	now := time.Now() // the client waits from now on, and so the attempt's time counts
	attempt.startedAt = now
	pending.request.SentAt = now
	attempt.timeout = &timer{kind: attemptTimeout, fireAt: now.Add(d.waitLimit(pending.request) - uploadResponseMargin), attempt: e.attempt}
	heap.Push(&d.timers, attempt.timeout)
}

// cancelAttempt gives up an attempt that has not ended yet.
func (d *Dispatcher) cancelAttempt(id attemptID, why outcome.Kind) {
	if attempt := d.attempts[id]; attempt != nil {
		if how, cancelled := attempt.running.Cancel(why); cancelled {
			d.endAttempt(id, upstream.Result{Outcome: how})
		}
	}
}

// withdrawAttempt gives up an attempt of which the last byte is not written.
func (d *Dispatcher) withdrawAttempt(id attemptID, why outcome.Kind) {
	if attempt := d.attempts[id]; attempt != nil {
		if how, withdrawn := attempt.running.Withdraw(why); withdrawn {
			d.endAttempt(id, upstream.Result{Outcome: how})
		}
	}
}

func (e attemptEnded) apply(d *Dispatcher) { d.endAttempt(e.attempt, e.Result) }

// endAttempt turns the end of an attempt or a probe into the policy's event. Each comes by here once.
func (d *Dispatcher) endAttempt(id attemptID, r upstream.Result) {
	attempt := d.attempts[id]
	if attempt == nil { // reported twice, or after a Cancel that ended it
		d.options.Logf("state=unknown_attempt number=%d outcome=%s", id, r.Outcome)
		closeBody(r.Remainder)
		return
	}
	delete(d.attempts, id)
	delete(d.uploads, id)
	if attempt.timeout.index != notQueued { // else it would keep the attempt in memory until its time was up
		heap.Remove(&d.timers, attempt.timeout.index)
	}
	server := d.servers[attempt.server]
	if server != nil {
		server.attempts--
	}
	took := millis(time.Since(attempt.startedAt))
	d.traceEnd(attempt, server, r.Outcome, took)
	d.observeServer(server, attempt, r)
	if attempt.isProbe {
		d.probeEnded(server, attempt, r, took)
	} else {
		d.requestAttemptEnded(attempt, r, took)
	}
}

// observeServer passes on what the end of an attempt says of its server's place in the list.
func (d *Dispatcher) observeServer(server *serverRecord, attempt *attemptRecord, r upstream.Result) {
	evidence, is := evidenceOf(r.Outcome, attempt.isProbe)
	if !is || server == nil {
		return
	}
	d.options.OnEvidence(server.name, evidence)
	if evidence == staleness.Alive && server.process == attempt.process {
		server.liveness.Observe(attempt.startedAt, r.ConnectedAt, d.listValidity.ProcessUntil, attempt.isProbe)
	}
}

// probeEnded gives the policy a probe's result. The server is nil once it is gone.
func (d *Dispatcher) probeEnded(server *serverRecord, attempt *attemptRecord, r upstream.Result, took policy.Ms) {
	fromOldProcess := server != nil && server.process != attempt.process
	incomplete := r.Outcome == outcome.Served && d.options.IsComplete != nil && !d.options.IsComplete(r.Report)
	if fromOldProcess || incomplete {
		r.Outcome = outcome.NoLoadReport
	}
	d.counts.ProbeOutcomes[r.Outcome]++
	var probedAt, connectTime policy.Ms
	if server != nil && server.liveness.ProbedAt.Equal(attempt.startedAt) {
		probedAt = d.clock.at(attempt.startedAt)
	}
	if r.ConnectedAt.After(attempt.startedAt) {
		connectTime = millis(r.ConnectedAt.Sub(attempt.startedAt))
	}
	d.handle(policy.Event{
		Kind: policy.ProbeEnded, Server: attempt.server, Status: r.Outcome.Status(), Elapsed: took, ConnectTime: connectTime,
		ProbeSentAt: probedAt, Report: r.Report,
	})
}

// requestAttemptEnded gives the client the answer that an attempt has brought, and the policy its result.
func (d *Dispatcher) requestAttemptEnded(attempt *attemptRecord, r upstream.Result, took policy.Ms) {
	d.counts.AttemptOutcomes[r.Outcome]++
	pending := d.requests[attempt.request]
	pending.attempt = noAttempt
	pending.mayRun = pending.mayRun || !r.Outcome.Status().NeverRan()
	if !pending.answered && pending.request.IsClientGone() { // the event that says so still waits
		d.cancelRequest(attempt.request, pending)
	}
	if r.Outcome == outcome.Served && !pending.answered {
		d.respond(attempt.request, request.Response{
			Kind: request.Served, StatusCode: r.StatusCode, Fields: r.Fields,
			Body: r.Body, Remainder: r.Remainder,
		})
	} else {
		closeBody(r.Remainder)
	}
	if pending.answered {
		delete(d.requests, attempt.request)
	}
	d.handle(policy.Event{
		Kind: policy.AttemptEnded, Request: attempt.request, Attempt: attempt.number,
		Server: attempt.server, Status: r.Outcome.Status(), Elapsed: took, Final: pending.answered, Report: r.Report,
		BodyConsumed: pending.request.Remainder != nil && pending.request.Remainder.Consumed(),
	})
}

// closeBody ends the body of an answer that nobody waits for.
func closeBody(body request.BodyStream) {
	if body != nil {
		body.Close(false)
	}
}

// evidenceOf returns what an outcome says of the server's place in the list. A request that is declined may have met a full queue; a
// probe is declined by a server that drains.
func evidenceOf(how outcome.Kind, isProbe bool) (evidence staleness.Evidence, is bool) {
	switch {
	case how == outcome.Served:
		return staleness.Alive, true
	case how == outcome.ConnectRefused:
		return staleness.ConnectRefused, true
	case isProbe && (how == outcome.ServerError || how == outcome.Declined):
		return staleness.Draining, true
	}
	return evidence, false
}
