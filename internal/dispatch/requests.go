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

// held is an invocation that has no final answer yet, or whose invoker call is still out.
type held struct {
	inv      *request.Request
	attempts int
	call     uint64 // under way; 0 = none
	mayRun   bool   // an attempt that has ended may have run
	answered bool
}

func (e arrived) apply(s *Dispatcher) {
	inv := e.inv
	if s.open[inv.ID] || s.elsewhere[inv.ID] { // providers could not tell the two apart, and one might get the other's answer
		s.counts.Conflicts++
		inv.Respond(request.Response{Kind: request.Duplicate})
		return
	}
	s.open[inv.ID] = true
	s.counts.Accepted++
	s.next++
	s.held[s.next], s.byInv[inv] = &held{inv: inv}, s.next
	now := time.Now()
	s.traceRequest(inv, "taken", "class=%d tenant=%d left_ms=%.0f", inv.Class, inv.Tenant, millis(s.left(inv, now)))
	if s.pastLast(now) {
		s.refuseAtEnd(s.next)
		return
	}
	s.step(policy.Event{Kind: policy.RequestArrived, Request: s.next, Class: inv.Class, Tenant: inv.Tenant, ClientRetry: inv.ClientRetry})
}

// pastLast reports whether this process may be killed so soon that it sends nothing new.
func (s *Dispatcher) pastLast(now time.Time) bool {
	return !s.stopAt.IsZero() && now.Sub(s.stopAt) >= s.stopPlan.LastForward
}

// ShuttingDown is why a request is refused that comes in when this process may be killed soon. The module is not asked: it knows nothing of
// processes.
const ShuttingDown policy.Reason = "ending"

// refuseAtEnd refuses a request of which nothing was sent.
func (s *Dispatcher) refuseAtEnd(id policy.RequestID) {
	s.unserved(&policy.Action{Request: id, Reason: ShuttingDown})
	s.answer(id, request.Response{Kind: request.Rejected})
}

// left is how long the invocation's consumer still waits at now. What it still sends it does not wait for yet: see flowed.
func (s *Dispatcher) left(inv *request.Request, now time.Time) time.Duration {
	if inv.Remainder != nil && s.stopAt.IsZero() {
		return flowMost
	} else if inv.Remainder != nil {
		return s.stopPlan.LastAnswer - now.Sub(s.stopAt)
	}
	return s.patience(inv) - now.Sub(inv.SentAt)
}

// patience is how long it waits in all, as long as this process lives.
func (s *Dispatcher) patience(inv *request.Request) time.Duration {
	if s.stopAt.IsZero() {
		return inv.Timeout
	}
	return s.stopPlan.WaitLimit(inv.SentAt.Sub(s.stopAt), inv.Timeout)
}

func (e flowed) apply(s *Dispatcher) {
	a := s.calls[e.number]
	if a == nil {
		return
	}
	s.step(policy.Event{Kind: policy.BodyProgressed, Server: a.server})
	delete(s.uploads, e.number)
	h := s.held[a.request]
	if h == nil || h.answered {
		return
	}
	now := time.Now() // the consumer waits from now on, and so the attempt counts
	a.began, h.inv.SentAt = now, now
	a.end = &timer{at: now.Add(s.patience(h.inv) - flowMargin), call: e.number}
	heap.Push(&s.timers, a.end)
}

func (e abandoned) apply(s *Dispatcher) {
	id, waits := s.byInv[e.inv]
	if !waits { // answered a moment ago, or found to have left
		if e.mayRun != nil {
			e.mayRun <- e.inv.MayHaveRun
		}
		return
	}
	h := s.held[id]
	s.leave(id, h)
	s.step(policy.Event{Kind: policy.ClientGone, Request: id})
	if e.mayRun != nil {
		e.mayRun <- h.mayRun || h.call != 0
	}
}

// leave ends an invocation whose consumer is gone.
func (s *Dispatcher) leave(id policy.RequestID, h *held) {
	s.counts.ClientsGone++
	s.traceRequest(h.inv, "left", "attempts=%d under_way=%t", h.attempts, h.call != 0)
	s.close(id, h)
}

// answer gives the one final answer, if it is still owed.
func (s *Dispatcher) answer(id policy.RequestID, a request.Response) {
	h := s.held[id]
	if h == nil || h.answered {
		return
	}
	if a.Kind == request.Rejected && !s.mayRefuse(h) {
		s.heldBack(invariant.Effect, h, "refuse")
		a = request.Response{Kind: request.Failed}
	}
	switch a.Kind {
	case request.Served:
		s.counts.Served++
	case request.Rejected:
		s.counts.Rejected++
	case request.Failed:
		s.counts.Failed++
	}
	s.traceRequest(h.inv, "answered", "kind=%s attempts=%d may_have_run=%t took_ms=%.1f", a.Kind, h.attempts, h.mayRun,
		millis(time.Since(h.inv.SentAt)))
	s.close(id, h)
	a.MayHaveRun = h.inv.MayHaveRun
	h.inv.Respond(a)
}

// close ends an invocation. An attempt that may have run goes on, unless the module calls it off; one that was not sent yet is
// not sent any more, since nobody waits for it.
func (s *Dispatcher) close(id policy.RequestID, h *held) {
	h.answered = true
	delete(s.byInv, h.inv)
	delete(s.open, h.inv.ID)
	s.withdraw(h.call, outcome.Cancelled)
	h.inv.MayHaveRun = h.mayRun || h.call != 0
	if h.call == 0 {
		delete(s.held, id)
	}
}

func (e callEnded) apply(s *Dispatcher) { s.ended(e.number, e.Result) }

// ended turns the end of an invoker call or a probe into the module's event. Every Send comes by here once.
func (s *Dispatcher) ended(number uint64, r upstream.Result) {
	a := s.calls[number]
	if a == nil { // reported twice, or after a Stop that ended it
		s.set.Logf("state=unknown_call number=%d ending=%s", number, r.Outcome)
		closeFlow(r.Remainder)
		return
	}
	delete(s.calls, number)
	delete(s.uploads, number)
	if a.end.index >= 0 { // else it would hold the call until its time was up
		heap.Remove(&s.timers, a.end.index)
	}
	k := s.providers[a.server]
	if k != nil {
		k.calls--
	}
	took := millis(time.Since(a.began))
	s.traceEnd(a, k, r.Outcome, took)
	if sign, is := signOf(r.Outcome, a.probe); is && k != nil {
		s.set.OnEvidence(k.name, sign)
		if sign == staleness.Alive && k.at == a.at {
			k.proof.Observe(a.began, r.ConnectedAt, s.trust.ProcessUntil, a.probe)
		}
	}
	if a.probe {
		if k != nil && k.at != a.at || r.Outcome == outcome.Served && s.set.IsComplete != nil && !s.set.IsComplete(r.Report) {
			r.Outcome = outcome.NoLoadReport // or one of a process that is gone
		}
		s.counts.ProbeOutcomes[r.Outcome]++
		seen := 0.0
		if k != nil && k.proof.ProbedAt.Equal(a.began) {
			seen = s.clock.at(a.began)
		}
		dialed := 0.0
		if r.ConnectedAt.After(a.began) {
			dialed = millis(r.ConnectedAt.Sub(a.began))
		}
		s.step(policy.Event{
			Kind: policy.ProbeEnded, Server: a.server, Status: r.Outcome.Status(), Elapsed: took, ConnectTime: dialed,
			ProbeSentAt: seen, Report: r.Report,
		})
		return
	}
	s.counts.AttemptOutcomes[r.Outcome]++
	h := s.held[a.request]
	h.call = 0
	h.mayRun = h.mayRun || !r.Outcome.Status().NeverRan()
	if !h.answered && h.inv.IsClientGone() { // the word of it is still on its way
		s.leave(a.request, h)
	}
	if r.Outcome == outcome.Served && !h.answered {
		s.answer(a.request, request.Response{
			Kind: request.Served, StatusCode: r.StatusCode, Fields: r.Fields,
			Body: r.Body, Remainder: r.Remainder,
		})
	} else {
		closeFlow(r.Remainder)
	}
	if h.answered {
		delete(s.held, a.request)
	}
	s.step(policy.Event{
		Kind: policy.AttemptEnded, Request: a.request, Attempt: a.number,
		Server: a.server, Status: r.Outcome.Status(), Elapsed: took, Final: h.answered, Report: r.Report,
		BodyConsumed: h.inv.Remainder != nil && h.inv.Remainder.Consumed(),
	})
}

// closeFlow ends an answer that nobody waits for.
func closeFlow(f request.BodyStream) {
	if f != nil {
		f.Close(false)
	}
}

// signOf reads an ending for what it says of the provider's place in the list. A request that is turned away may have
// met a full queue; a probe is turned away by one that drains.
func signOf(e outcome.Kind, probe bool) (sign staleness.Evidence, is bool) {
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
