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
	probeTimeout       = 200 * time.Millisecond // a slower response says nothing about the current load
	attemptTimeoutLead = 100 * time.Microsecond // how long before the policy's timer for the same time an attempt times out
)

// attemptID numbers the attempts and probes of a Dispatcher, from 1 on.
type attemptID uint64

const noAttempt attemptID = 0

// attemptRecord is an attempt or a probe in flight.
type attemptRecord struct {
	upstreamAttempt upstream.Attempt
	startedAt       time.Time
	isProbe         bool
	request         policy.RequestID // the request that the attempt is for; 0 for a probe
	number          int              // index of the attempt among those of its request, from 0 on
	server          policy.ServerID
	process         upstream.Endpoint // the server's process when the attempt or probe was started
	timeout         *timer            // cancels the attempt or probe; not queued while the request body is being sent
	expires         time.Time         // no byte of the attempt may be written later than this; zero = no limit
	responseBy      time.Time         // when a response that has begun is due; zero = at its timeout
}

// startAttempt starts the attempt that the policy requests, unless a guard prevents it.
func (d *Dispatcher) startAttempt(action *policy.Action) {
	pending, server := d.requests[action.Request], d.servers[action.Server]
	if !d.maySend(pending, server) {
		// A correct policy does not request it; the event keeps the attempt counts of a faulty one consistent.
		d.options.Logf("state=attempt_refused request=%d server=%d", action.Request, action.Server)
		d.handle(policy.Event{
			Kind: policy.AttemptEnded, Request: action.Request, Server: action.Server, Status: policy.NotSent,
			Final: pending == nil || pending.closed,
		})
		return
	}
	d.counts.Attempts++
	attempt := &attemptRecord{request: action.Request, number: pending.attemptsStarted, server: action.Server}
	pending.attemptsStarted++
	if action.Expires > 0 {
		attempt.expires = d.eventTime.Add(duration(action.Expires))
	}
	if pending.request.Remainder == nil {
		attempt.responseBy = d.eventTime.Add(duration(action.ResponseBy))
	}
	pending.attempt = d.launch(server, pending.request, attempt, duration(action.After))
}

// launch starts an attempt for req, or a probe if req is nil, with the given timeout, and returns its id.
func (d *Dispatcher) launch(server *serverRecord, req *request.Request, attempt *attemptRecord, timeout time.Duration) attemptID {
	d.lastAttempt++
	id := d.lastAttempt
	timeout = d.setAttemptTimers(id, req, attempt, timeout)
	d.attempts[id] = attempt
	server.attemptsInFlight++
	attempt.startedAt = time.Now()
	attempt.process = server.process
	d.traceStart(attempt, server)
	firstByteDeadline := server.firstByteDeadline
	if t := d.listValidity.StartBy(server.liveness, d.options.DrainGrace); req != nil && !t.IsZero() &&
		(firstByteDeadline.IsZero() || t.Before(firstByteDeadline)) {
		firstByteDeadline = t
	}
	var deadline time.Time
	if req != nil && req.Remainder == nil {
		deadline = d.eventTime.Add(timeout)
	}
	attempt.upstreamAttempt = server.process.Start(upstream.AttemptOptions{
		Request: req, Timeout: timeout, Deadline: deadline, StartBy: firstByteDeadline, Expires: attempt.expires,
		ResponseBy: attempt.responseBy, OnBodySent: func(heldBack time.Duration) { d.send(bodySent{id, heldBack}) },
		OnResponding: func() { d.send(responding{id}) },
		OnEnd: func(r upstream.Result) {
			if !d.send(attemptEnded{id, r}) {
				closeBody(r.Remainder)
			}
		},
	})
	return id
}

// setAttemptTimers sets the timers that end an attempt, and returns the timeout that is sent to its server.
func (d *Dispatcher) setAttemptTimers(id attemptID, req *request.Request, attempt *attemptRecord, timeout time.Duration) time.Duration {
	// The policy often allows an attempt to run until its request's deadline, for which it has a timer of its own. The attempt's
	// timeout must fire first: an attempt that is cancelled by the deadline gives the policy no result, and the policy would judge
	// servers only by the responses that came in time.
	attempt.timeout = &timer{kind: attemptTimeout, fireAt: d.eventTime.Add(timeout - attemptTimeoutLead), attempt: id, index: notQueued}
	switch {
	case req == nil || req.Remainder == nil:
		heap.Push(&d.timers, attempt.timeout)
	case d.requests[attempt.request].bodyReceived:
		timeout = d.waitLimit(req)
		attempt.timeout.fireAt = req.SentAt.Add(timeout - upstream.UploadMargin)
		heap.Push(&d.timers, attempt.timeout)
	default: // its timeout starts when its last byte is written: see bodySent
		timeout = d.waitLimit(req)
	}
	// An attempt that expires before it is written ends at once. Otherwise the client would wait until the timeout for a request
	// that is not sent any more.
	if !attempt.expires.IsZero() && attempt.expires.Before(attempt.timeout.fireAt) {
		heap.Push(&d.timers, &timer{kind: attemptExpiry, fireAt: attempt.expires, attempt: id})
	}
	return timeout
}

func (e bodySent) apply(d *Dispatcher) {
	attempt := d.attempts[e.attempt]
	if attempt == nil {
		return
	}
	d.handle(policy.Event{Kind: policy.BodySent, Request: attempt.request})
	pending := d.requests[attempt.request]
	if pending == nil || pending.closed {
		return
	}
	now := time.Now() // the attempt's duration starts here
	attempt.startedAt = now
	pending.request.SentAt = now.Add(-e.heldBack) // the client's timeout may have started then
	fireAt := pending.request.SentAt.Add(d.waitLimit(pending.request) - upstream.UploadMargin)
	if attempt.timeout.index != notQueued { // by bodyReceived
		heap.Remove(&d.timers, attempt.timeout.index)
	}
	attempt.timeout = &timer{kind: attemptTimeout, fireAt: fireAt, attempt: e.attempt}
	heap.Push(&d.timers, attempt.timeout)
}

func (e responding) apply(d *Dispatcher) {
	attempt := d.attempts[e.attempt]
	if attempt == nil || attempt.isProbe {
		return
	}
	d.responding[e.attempt] = attempt
	d.handle(policy.Event{Kind: policy.AttemptProgressed, Server: attempt.server})
}

// attemptTimedOut cancels an attempt whose time is over. One whose response has begun has until the response is due.
func (d *Dispatcher) attemptTimedOut(id attemptID) {
	attempt := d.attempts[id]
	if attempt == nil {
		return
	}
	due := attempt.responseBy.Add(-attemptTimeoutLead)
	if time.Now().Before(due) && attempt.upstreamAttempt.ResponseBegun() {
		attempt.timeout = &timer{kind: attemptTimeout, fireAt: due, attempt: id}
		heap.Push(&d.timers, attempt.timeout)
		return
	}
	d.cancelAttempt(id, outcome.TimedOut)
}

// cancelAttempt cancels an attempt that has not ended yet.
func (d *Dispatcher) cancelAttempt(id attemptID, reason outcome.Kind) {
	if attempt := d.attempts[id]; attempt != nil {
		if kind, cancelled := attempt.upstreamAttempt.Cancel(reason); cancelled {
			d.endAttempt(id, upstream.Result{Outcome: kind})
		}
	}
}

// withdrawAttempt cancels an attempt whose last byte has not been written.
func (d *Dispatcher) withdrawAttempt(id attemptID, reason outcome.Kind) {
	if attempt := d.attempts[id]; attempt != nil {
		if kind, withdrawn := attempt.upstreamAttempt.Withdraw(reason); withdrawn {
			d.endAttempt(id, upstream.Result{Outcome: kind})
		}
	}
}

func (e attemptEnded) apply(d *Dispatcher) { d.endAttempt(e.attempt, e.Result) }

// endAttempt removes an attempt or a probe that has ended, and passes its result on. A second end of the same attempt is logged
// and ignored.
func (d *Dispatcher) endAttempt(id attemptID, r upstream.Result) {
	attempt := d.attempts[id]
	if attempt == nil { // reported twice, or after a Cancel that ended it
		d.options.Logf("state=unknown_attempt number=%d outcome=%s", id, r.Outcome)
		closeBody(r.Remainder)
		return
	}
	delete(d.attempts, id)
	delete(d.responding, id)
	if attempt.timeout.index != notQueued { // a timer left in the heap would keep the attempt in memory until it fires
		heap.Remove(&d.timers, attempt.timeout.index)
	}
	server := d.servers[attempt.server]
	if server != nil {
		server.attemptsInFlight--
	}
	elapsed := millis(time.Since(attempt.startedAt))
	d.traceEnd(attempt, server, r.Outcome, elapsed)
	d.observeServer(server, attempt, r)
	if attempt.isProbe {
		d.probeEnded(server, attempt, r, elapsed)
	} else {
		d.requestAttemptEnded(attempt, r, elapsed)
	}
}

// observeServer reports the end of an attempt as evidence for or against the list, and updates the liveness of the server's
// process.
func (d *Dispatcher) observeServer(server *serverRecord, attempt *attemptRecord, r upstream.Result) {
	evidence, ok := evidenceOf(r.Outcome, attempt.isProbe)
	if !ok || server == nil {
		return
	}
	d.options.OnEvidence(server.name, evidence)
	if evidence == staleness.Alive && server.process == attempt.process {
		server.liveness.Observe(attempt.startedAt, r.ConnectedAt, d.listValidity.ProcessUntil, attempt.isProbe)
	}
}

// probeEnded passes a probe's result to the policy. The server is nil once it has been removed. An incomplete load report, or
// one from a process that has been replaced, counts as missing.
func (d *Dispatcher) probeEnded(server *serverRecord, attempt *attemptRecord, r upstream.Result, elapsed policy.Ms) {
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
		Kind: policy.ProbeEnded, Server: attempt.server, Status: r.Outcome.Status(), Elapsed: elapsed, ConnectTime: connectTime,
		ProbeSentAt: probedAt, Report: r.Report,
	})
}

// requestAttemptEnded sends the attempt's response to the client, if the request was served, and passes the result to the
// policy.
func (d *Dispatcher) requestAttemptEnded(attempt *attemptRecord, r upstream.Result, elapsed policy.Ms) {
	d.counts.AttemptOutcomes[r.Outcome]++
	pending := d.requests[attempt.request]
	pending.attempt = noAttempt
	pending.endedMayHaveRun = pending.endedMayHaveRun || !r.Outcome.Status().NeverRan()
	if !pending.closed && pending.request.IsClientGone() { // its clientGone event is still queued
		d.cancelRequest(attempt.request, pending)
	}
	if r.Outcome == outcome.Served && !pending.closed {
		d.respond(attempt.request, request.Response{
			Kind: request.Served, StatusCode: r.StatusCode, Fields: r.Fields,
			Body: r.Body, Remainder: r.Remainder,
		})
	} else {
		closeBody(r.Remainder)
	}
	if pending.closed {
		d.removeRequest(attempt.request, pending)
	}
	d.handle(policy.Event{
		Kind: policy.AttemptEnded, Request: attempt.request, Attempt: attempt.number,
		Server: attempt.server, Status: r.Outcome.Status(), Elapsed: elapsed, Final: pending.closed, Report: r.Report,
		BodyConsumed: pending.request.Remainder != nil && pending.request.Remainder.Consumed(),
	})
}

// closeBody closes the body of a response that is not needed; it may be nil.
func closeBody(body request.BodyStream) {
	if body != nil {
		body.Close(false)
	}
}

// evidenceOf returns what an outcome says about the server's entry in the list; ok is false if it says nothing. A declined
// request says nothing, since the server's queue may be full; a server that declines a probe is draining.
func evidenceOf(kind outcome.Kind, isProbe bool) (evidence staleness.Evidence, ok bool) {
	switch {
	case kind == outcome.Served:
		return staleness.Alive, true
	case kind == outcome.ConnectRefused:
		return staleness.ConnectRefused, true
	case isProbe && (kind == outcome.ServerError || kind == outcome.Declined):
		return staleness.Draining, true
	}
	return evidence, false
}
