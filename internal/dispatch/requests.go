package dispatch

import (
	"maps"
	"slices"
	"time"

	"plankrouter/internal/invariant"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/policy"
)

// maxUploadTime is how long a request may take whose body is still being sent.
const maxUploadTime = 10 * time.Minute

// pendingRequest is a request that has no final answer yet, or whose attempt is still under way.
type pendingRequest struct {
	request  *request.Request
	attempts int       // so far
	attempt  attemptID // under way, or noAttempt
	mayRun   bool      // an attempt that has ended may have run
	answered bool      // or its client is gone
}

// underWay reports whether an attempt has not ended yet.
func (p *pendingRequest) underWay() bool { return p.attempt != noAttempt }

// mayHaveRun reports whether an attempt may have run, or may yet.
func (p *pendingRequest) mayHaveRun() bool { return p.mayRun || p.underWay() }

// Submit hands over a request; with ClientGone and Ready it makes the Dispatcher a request.Dispatcher.
func (d *Dispatcher) Submit(req *request.Request) bool { return d.send(requestArrived{req}) }

// ClientGone reports that the client is gone. The event may have to wait behind others; nothing more is sent meanwhile all the same.
func (d *Dispatcher) ClientGone(req *request.Request) {
	req.MarkClientGone()
	d.send(clientGone{request: req})
}

// Cancel is ClientGone for a caller that has to know whether an attempt may have run. What has been answered meanwhile may have.
func (d *Dispatcher) Cancel(req *request.Request) (mayRun bool) {
	mayRun, ok := query(d, func(reply chan<- bool) event { return clientGone{req, reply} })
	if ok {
		return mayRun
	}
	pending := d.requests[d.requestIDs[req]] // as Run has left it: nothing changes it any more
	return pending == nil || pending.mayHaveRun()
}

func (e requestArrived) apply(d *Dispatcher) {
	req := e.request
	if d.openIDs[req.ID] || d.openInPredecessor[req.ID] { // servers could not tell the two apart, and one might get the other's answer
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

// timeLeft is how long the request's client still waits at now. While its body is being sent that time has not begun: see bodySent.
func (d *Dispatcher) timeLeft(req *request.Request, now time.Time) time.Duration {
	switch {
	case req.Remainder == nil:
		return d.waitLimit(req) - now.Sub(req.SentAt)
	case d.shutdownAt.IsZero():
		return maxUploadTime
	}
	return d.shutdownSchedule.LastResponse - now.Sub(d.shutdownAt)
}

// waitLimit is how long its client waits in all, as long as this process lives.
func (d *Dispatcher) waitLimit(req *request.Request) time.Duration {
	if d.shutdownAt.IsZero() {
		return req.Timeout
	}
	return d.shutdownSchedule.WaitLimit(req.SentAt.Sub(d.shutdownAt), req.Timeout)
}

func (e clientGone) apply(d *Dispatcher) {
	id, waits := d.requestIDs[e.request]
	if !waits { // answered a moment ago, or its client was already found to be gone
		if e.mayRun != nil {
			e.mayRun <- e.request.MayHaveRun
		}
		return
	}
	pending := d.requests[id]
	d.cancelRequest(id, pending)
	d.handle(policy.Event{Kind: policy.ClientGone, Request: id})
	if e.mayRun != nil {
		e.mayRun <- pending.mayHaveRun()
	}
}

// cancelRequest ends a request whose client is gone.
func (d *Dispatcher) cancelRequest(id policy.RequestID, pending *pendingRequest) {
	d.counts.ClientsGone++
	d.traceRequest(pending.request, "left", "attempts=%d under_way=%t", pending.attempts, pending.underWay())
	d.closeRequest(id, pending)
}

// respond gives the one final answer, unless it was given.
func (d *Dispatcher) respond(id policy.RequestID, resp request.Response) {
	pending := d.requests[id]
	if pending == nil || pending.answered {
		return
	}
	if resp.Kind == request.Rejected && !d.mayReject(pending) {
		d.reportPrevented(invariant.Effect, pending, "refuse")
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
	d.traceRequest(pending.request, "answered", "kind=%s attempts=%d may_have_run=%t took_ms=%.1f", resp.Kind, pending.attempts,
		pending.mayRun, millis(time.Since(pending.request.SentAt)))
	d.closeRequest(id, pending)
	resp.MayHaveRun = pending.request.MayHaveRun
	pending.request.Respond(resp)
}

// closeRequest ends a request. An attempt that may have run goes on, unless the policy cancels it; one that was not sent yet is
// withdrawn, since nobody waits for it.
func (d *Dispatcher) closeRequest(id policy.RequestID, pending *pendingRequest) {
	pending.answered = true
	delete(d.requestIDs, pending.request)
	delete(d.openIDs, pending.request.ID)
	d.withdrawAttempt(pending.attempt, outcome.Cancelled)
	pending.request.MayHaveRun = pending.mayHaveRun()
	if !pending.underWay() {
		delete(d.requests, id)
	}
}

// countUnserved counts why a request is refused or failed.
func (d *Dispatcher) countUnserved(action *policy.Action) {
	pending := d.requests[action.Request]
	if pending == nil || pending.answered {
		return
	}
	if d.counts.UnservedByReason == nil {
		d.counts.UnservedByReason = map[policy.Reason]int{}
	}
	d.counts.UnservedByReason[action.Reason]++
	d.traceRequest(pending.request, "unserved", "why=%s", action.Reason)
}

// Counts returns the present totals; after Run has ended, the last ones.
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

// OpenRequests returns the clients' ids of the requests that have no final answer yet.
func (d *Dispatcher) OpenRequests() []string {
	ids, _ := query(d, func(reply chan<- []string) event { return openRequestsRequested{reply} })
	return ids
}

func (e openRequestsRequested) apply(d *Dispatcher) { e.reply <- slices.Collect(maps.Keys(d.openIDs)) }

// SetOpenInPredecessor replaces the ids of the requests that another process of the same sidecar has open.
func (d *Dispatcher) SetOpenInPredecessor(ids []string) { d.send(predecessorRequestsListed{ids}) }

func (e predecessorRequestsListed) apply(d *Dispatcher) {
	d.openInPredecessor = map[string]bool{}
	for _, id := range e.ids {
		d.openInPredecessor[id] = true
	}
}
