package dispatch

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"plankrouter/internal/invariant"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
	"plankrouter/policy"
)

// maxUploadTime is how long a request may take while its body is still being sent.
const maxUploadTime = 10 * time.Minute

// pendingRequest is a request that has no final response yet, or whose attempt has not ended.
type pendingRequest struct {
	request         *request.Request
	attemptsStarted int       // attempts started so far
	attempt         attemptID // in flight, or noAttempt
	endedMayHaveRun bool      // an attempt that has ended may have run
	bodyReceived    bool      // see BodyReceived
	idAdded         bool      // its id was added to usedIDs when it was closed
	closed          bool      // it has its final response, or its client is gone
}

// inFlight reports whether an attempt has not ended yet.
func (p *pendingRequest) inFlight() bool { return p.attempt != noAttempt }

// mayHaveRun reports whether an attempt may have run or may still run.
func (p *pendingRequest) mayHaveRun() bool { return p.endedMayHaveRun || p.inFlight() }

// Submit passes a request to the dispatcher; it returns false if Run has ended. With ClientGone and Ready it implements
// request.Dispatcher.
func (d *Dispatcher) Submit(req *request.Request) bool { return d.send(requestArrived{req}) }

// BodyReceived reports that the rest of the request's body was received some time ago, so that the client's timeout is running.
func (d *Dispatcher) BodyReceived(req *request.Request, ago time.Duration) {
	d.send(bodyReceived{req, time.Now().Add(-ago)})
}

func (e bodyReceived) apply(d *Dispatcher) {
	id, open := d.requestIDs[e.request]
	if !open {
		return
	}
	pending := d.requests[id]
	attempt := d.attempts[pending.attempt]
	if attempt != nil && attempt.timeout.index != notQueued { // its body was sent meanwhile, and its time is running already
		return
	}
	pending.bodyReceived = true
	pending.request.SentAt = e.at
	limit := d.waitLimit(pending.request)
	d.handle(policy.Event{Kind: policy.BodyReceived, Request: id, TimeLeft: millis(limit - time.Since(e.at))})
	if attempt := d.attempts[pending.attempt]; attempt != nil && attempt.timeout.index == notQueued {
		attempt.timeout.fireAt = e.at.Add(limit - upstream.UploadMargin)
		heap.Push(&d.timers, attempt.timeout)
	}
}

// ClientGone reports that the request's client is gone. The event may be queued behind others, but nothing more of the request
// is sent from now on.
func (d *Dispatcher) ClientGone(req *request.Request) {
	req.MarkClientGone()
	d.send(clientGone{request: req})
}

// Cancel is like ClientGone, and returns whether an attempt may have run. After Run has ended, a request that the dispatcher
// does not know counts as one of which an attempt may have run.
func (d *Dispatcher) Cancel(req *request.Request) (mayHaveRun bool) {
	mayHaveRun, ok := query(d, func(reply chan<- bool) event { return clientGone{req, reply} })
	if ok {
		return mayHaveRun
	}
	pending := d.requests[d.requestIDs[req]] // Run has ended: no other goroutine accesses the table
	return pending == nil || pending.mayHaveRun()
}

func (e requestArrived) apply(d *Dispatcher) {
	req := e.request
	if d.isDuplicate(req) {
		d.counts.Duplicates++
		req.Respond(request.Response{Kind: request.Duplicate})
		return
	}
	d.openIDs[req.ID] = true
	d.counts.Accepted++
	d.lastRequest++
	id := d.lastRequest
	d.requests[id] = &pendingRequest{request: req}
	d.requestIDs[req] = id
	now := time.Now()
	d.traceRequest(req, "taken", "class=%d tenant=%d left_ms=%.0f", req.Class, req.Tenant, millis(d.timeLeft(req, now)))
	if d.isPastLastForward(now) {
		d.rejectForShutdown(id)
		return
	}
	d.handle(policy.Event{Kind: policy.RequestArrived, Request: id, Class: req.Class, Tenant: req.Tenant, ClientRetry: req.ClientRetry})
}

// isDuplicate reports whether the request has the id of another one that is open here or in the predecessor: servers can't tell
// the two apart, and could mix up their responses. A request that must not run twice is also a duplicate of one that may have run,
// unless servers still drop its repeats.
func (d *Dispatcher) isDuplicate(req *request.Request) bool {
	if d.openIDs[req.ID] || d.openInPredecessor[req.ID] {
		return true
	}
	if !d.mustNotRepeat(req) {
		return false
	}
	now := time.Now()
	sentAt, used := d.usedIDs.find(hashID(req.ID), now)
	class := d.classOf(req)
	if used && class.Idempotency == policy.WithIdempotencyKey && class.KeyScope == policy.ScopeAll {
		return now.Sub(sentAt) >= duration(class.KeyWindow)-usedIDMargin
	}
	return used
}

// mustNotRepeat reports whether the request must not run again under its id once it may have run.
func (d *Dispatcher) mustNotRepeat(req *request.Request) bool {
	return d.classOf(req).Idempotency != policy.Idempotent
}

// timeLeft returns how long after now the request may still take. While its body is being sent, its own timeout has not
// started: see bodySent.
func (d *Dispatcher) timeLeft(req *request.Request, now time.Time) time.Duration {
	switch {
	case req.Remainder == nil:
		return d.waitLimit(req) - now.Sub(req.SentAt)
	case d.shutdownAt.IsZero():
		return maxUploadTime
	}
	return d.shutdownSchedule.LastResponse - now.Sub(d.shutdownAt)
}

// waitLimit returns how long the request may take in all: its client's timeout, or less after a shutdown was scheduled.
func (d *Dispatcher) waitLimit(req *request.Request) time.Duration {
	if d.shutdownAt.IsZero() {
		return req.Timeout
	}
	return d.shutdownSchedule.WaitLimit(req.SentAt.Sub(d.shutdownAt), req.Timeout)
}

func (e clientGone) apply(d *Dispatcher) {
	id, open := d.requestIDs[e.request]
	if !open { // it has its response, or its client was already found to be gone
		if e.mayHaveRun != nil {
			e.mayHaveRun <- e.request.MayHaveRun
		}
		return
	}
	pending := d.requests[id]
	d.cancelRequest(id, pending)
	d.handle(policy.Event{Kind: policy.ClientGone, Request: id})
	if e.mayHaveRun != nil {
		e.mayHaveRun <- pending.mayHaveRun()
	}
}

// cancelRequest closes a request whose client is gone.
func (d *Dispatcher) cancelRequest(id policy.RequestID, pending *pendingRequest) {
	d.counts.ClientsGone++
	d.traceRequest(pending.request, "left", "attempts=%d in_flight=%t", pending.attemptsStarted, pending.inFlight())
	d.closeRequest(id, pending)
}

// respond gives the request its final response, unless it is closed. A rejection that mayReject forbids becomes a failure.
func (d *Dispatcher) respond(id policy.RequestID, resp request.Response) {
	pending := d.requests[id]
	if pending == nil || pending.closed {
		return
	}
	if resp.Kind == request.Rejected && !d.mayReject(pending) {
		d.reportPrevented(invariant.UnsafeRepeat, pending, "refuse")
		resp = request.Response{Kind: request.Failed}
	}
	switch resp.Kind {
	case request.Served:
		d.counts.Served++
	case request.Rejected:
		d.counts.Rejected++
	case request.Failed:
		d.counts.Failed++
	}
	d.traceRequest(pending.request, "answered", "kind=%s attempts=%d may_have_run=%t took_ms=%.1f", resp.Kind, pending.attemptsStarted,
		pending.endedMayHaveRun, millis(time.Since(pending.request.SentAt)))
	d.closeRequest(id, pending)
	resp.MayHaveRun = pending.request.MayHaveRun
	pending.request.Respond(resp)
}

// closeRequest marks a request as closed. An attempt that may have run continues unless the policy cancels it; one that has not
// been sent in full is withdrawn, since its response is no longer needed.
func (d *Dispatcher) closeRequest(id policy.RequestID, pending *pendingRequest) {
	pending.closed = true
	delete(d.requestIDs, pending.request)
	d.withdrawAttempt(pending.attempt, outcome.Cancelled)
	pending.request.MayHaveRun = pending.mayHaveRun()
	if pending.mayHaveRun() && d.mustNotRepeat(pending.request) {
		pending.idAdded = d.usedIDs.add(hashID(pending.request.ID), pending.request.SentAt, time.Now())
	}
	if !pending.inFlight() {
		d.removeRequest(id, pending)
	}
}

// removeRequest forgets a closed request whose last attempt has ended.
func (d *Dispatcher) removeRequest(id policy.RequestID, pending *pendingRequest) {
	delete(d.requests, id)
	delete(d.openIDs, pending.request.ID)
	if pending.idAdded && !pending.endedMayHaveRun {
		d.usedIDs.remove(hashID(pending.request.ID))
	}
}

// countUnserved counts the reason for which a request is rejected or failed.
func (d *Dispatcher) countUnserved(action *policy.Action) {
	pending := d.requests[action.Request]
	if pending == nil || pending.closed {
		return
	}
	if d.counts.UnservedByReason == nil {
		d.counts.UnservedByReason = map[policy.Reason]int{}
	}
	d.counts.UnservedByReason[action.Reason]++
	d.traceRequest(pending.request, "unserved", "why=%s", action.Reason)
}

// Counts returns the current totals, or the final ones after Run has ended.
func (d *Dispatcher) Counts() Counts {
	if counts, ok := query(d, func(reply chan<- Counts) event { return countsRequested{reply} }); ok {
		return counts
	}
	return d.counts
}

func (e countsRequested) apply(d *Dispatcher) {
	counts := d.counts
	counts.UnservedByReason = maps.Clone(counts.UnservedByReason)
	e.reply <- counts
}

// OpenRequests returns the clients' ids of the requests that are open or have an attempt in flight, and lines for those that must
// not run again, all for SetOpenInPredecessor of a successor; nil if Run has ended.
func (d *Dispatcher) OpenRequests() []string {
	ids, _ := query(d, func(reply chan<- []string) event { return openRequestsRequested{reply} })
	return ids
}

func (e openRequestsRequested) apply(d *Dispatcher) {
	lines := append(slices.Collect(maps.Keys(d.openIDs)), d.usedIDs.lines()...)
	for _, pending := range d.requests {
		if !pending.closed && d.mustNotRepeat(pending.request) {
			lines = append(lines, usedIDLine(hashID(pending.request.ID)))
		}
	}
	e.reply <- lines
}

// SetOpenInPredecessor replaces the ids of the requests that are open in the predecessor, as OpenRequests has returned them there:
// a request with one of these ids is a duplicate. Ids that must not run again are remembered beyond the next call.
func (d *Dispatcher) SetOpenInPredecessor(ids []string) { d.send(predecessorRequestsListed{ids}) }

func (e predecessorRequestsListed) apply(d *Dispatcher) {
	d.openInPredecessor = map[string]bool{}
	now := time.Now()
	for _, line := range e.ids {
		if used, ok := parseUsedIDLine(line); ok {
			d.usedIDs.add(used, time.Time{}, now)
		} else {
			d.openInPredecessor[line] = true
		}
	}
}
