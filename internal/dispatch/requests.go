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
	inv      *request.Invocation
	attempts int
	call     uint64 // under way; 0 = none
	mayRun   bool   // an attempt that has ended may have run
	answered bool
}

func (e arrived) apply(s *Pool) {
	inv := e.inv
	if s.open[inv.ID] || s.elsewhere[inv.ID] { // providers could not tell the two apart, and one might get the other's answer
		s.counts.Conflicts++
		inv.Answer(request.Answer{Kind: request.Conflict})
		return
	}
	s.open[inv.ID] = true
	s.counts.Taken++
	s.next++
	s.held[s.next], s.byInv[inv] = &held{inv: inv}, s.next
	now := time.Now()
	s.traceRequest(inv, "taken", "class=%d tenant=%d left_ms=%.0f", inv.Class, inv.Tenant, millis(s.left(inv, now)))
	if s.pastLast(now) {
		s.refuseAtEnd(s.next)
		return
	}
	s.step(policy.Event{Kind: policy.RequestArrived, Request: s.next, Class: inv.Class, Tenant: inv.Tenant, ClientRetry: inv.Again})
}

// pastLast reports whether this process may be killed so soon that it sends nothing new.
func (s *Pool) pastLast(now time.Time) bool {
	return !s.stopAt.IsZero() && now.Sub(s.stopAt) >= s.stopPlan.Last
}

// Ending is why a request is refused that comes in when this process may be killed soon. The module is not asked: it knows nothing of
// processes.
const Ending policy.Reason = "ending"

// refuseAtEnd refuses a request of which nothing was sent.
func (s *Pool) refuseAtEnd(id policy.RequestID) {
	s.unserved(&policy.Action{Request: id, Reason: Ending})
	s.answer(id, request.Answer{Kind: request.Refused})
}

// left is how long the invocation's consumer still waits at now. What it still sends it does not wait for yet: see flowed.
func (s *Pool) left(inv *request.Invocation, now time.Time) time.Duration {
	if inv.Rest != nil && s.stopAt.IsZero() {
		return flowMost
	} else if inv.Rest != nil {
		return s.stopPlan.Answer - now.Sub(s.stopAt)
	}
	return s.patience(inv) - now.Sub(inv.SentAt)
}

// patience is how long it waits in all, as long as this process lives.
func (s *Pool) patience(inv *request.Invocation) time.Duration {
	if s.stopAt.IsZero() {
		return inv.Patience
	}
	return s.stopPlan.Patience(inv.SentAt.Sub(s.stopAt), inv.Patience)
}

func (e flowed) apply(s *Pool) {
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

func (e abandoned) apply(s *Pool) {
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
func (s *Pool) leave(id policy.RequestID, h *held) {
	s.counts.Gone++
	s.traceRequest(h.inv, "left", "attempts=%d under_way=%t", h.attempts, h.call != 0)
	s.close(id, h)
}

// answer gives the one final answer, if it is still owed.
func (s *Pool) answer(id policy.RequestID, a request.Answer) {
	h := s.held[id]
	if h == nil || h.answered {
		return
	}
	if a.Kind == request.Refused && !s.mayRefuse(h) {
		s.heldBack(invariant.Effect, h, "refuse")
		a = request.Answer{Kind: request.Failed}
	}
	switch a.Kind {
	case request.Served:
		s.counts.Served++
	case request.Refused:
		s.counts.Refused++
	case request.Failed:
		s.counts.Failed++
	}
	s.traceRequest(h.inv, "answered", "kind=%s attempts=%d may_have_run=%t took_ms=%.1f", a.Kind, h.attempts, h.mayRun,
		millis(time.Since(h.inv.SentAt)))
	s.close(id, h)
	a.MayHaveRun = h.inv.MayHaveRun
	h.inv.Answer(a)
}

// close ends an invocation. An attempt that may have run goes on, unless the module calls it off; one that was not sent yet is
// not sent any more, since nobody waits for it.
func (s *Pool) close(id policy.RequestID, h *held) {
	h.answered = true
	delete(s.byInv, h.inv)
	delete(s.open, h.inv.ID)
	s.withdraw(h.call, outcome.CalledOff)
	h.inv.MayHaveRun = h.mayRun || h.call != 0
	if h.call == 0 {
		delete(s.held, id)
	}
}

func (e callEnded) apply(s *Pool) { s.ended(e.number, e.Result) }

// ended turns the end of an invoker call or a probe into the module's event. Every Send comes by here once.
func (s *Pool) ended(number uint64, r upstream.Result) {
	a := s.calls[number]
	if a == nil { // reported twice, or after a Stop that ended it
		s.set.Logf("state=unknown_call number=%d ending=%s", number, r.Ending)
		closeFlow(r.Rest)
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
	s.traceEnd(a, k, r.Ending, took)
	if sign, is := signOf(r.Ending, a.probe); is && k != nil {
		s.set.Saw(k.name, sign)
		if sign == staleness.Alive && k.at == a.at {
			k.proof.Answered(a.began, r.Since, s.trust.Known, a.probe)
		}
	}
	if a.probe {
		if k != nil && k.at != a.at || r.Ending == outcome.Served && s.set.Whole != nil && !s.set.Whole(r.Report) {
			r.Ending = outcome.Unreadable // or one of a process that is gone
		}
		s.counts.Asked[r.Ending]++
		seen := 0.0
		if k != nil && k.proof.Probed.Equal(a.began) {
			seen = s.clock.at(a.began)
		}
		dialed := 0.0
		if r.Since.After(a.began) {
			dialed = millis(r.Since.Sub(a.began))
		}
		s.step(policy.Event{
			Kind: policy.ProbeEnded, Server: a.server, Status: r.Ending.Status(), Elapsed: took, ConnectTime: dialed,
			ProbeSentAt: seen, Report: r.Report,
		})
		return
	}
	s.counts.Calls[r.Ending]++
	h := s.held[a.request]
	h.call = 0
	h.mayRun = h.mayRun || !r.Ending.Status().NeverRan()
	if !h.answered && h.inv.Left() { // the word of it is still on its way
		s.leave(a.request, h)
	}
	if r.Ending == outcome.Served && !h.answered {
		s.answer(a.request, request.Answer{
			Kind: request.Served, Code: r.Code, Fields: r.Fields,
			Body: r.Body, Rest: r.Rest,
		})
	} else {
		closeFlow(r.Rest)
	}
	if h.answered {
		delete(s.held, a.request)
	}
	s.step(policy.Event{
		Kind: policy.AttemptEnded, Request: a.request, Attempt: a.number,
		Server: a.server, Status: r.Ending.Status(), Elapsed: took, Final: h.answered, Report: r.Report,
		BodyConsumed: h.inv.Rest != nil && h.inv.Rest.Spent(),
	})
}

// closeFlow ends an answer that nobody waits for.
func closeFlow(f request.Flow) {
	if f != nil {
		f.Close(false)
	}
}

// signOf reads an ending for what it says of the provider's place in the list. A request that is turned away may have
// met a full queue; a probe is turned away by one that drains.
func signOf(e outcome.Ending, probe bool) (sign staleness.Sign, is bool) {
	switch {
	case e == outcome.Served:
		return staleness.Alive, true
	case e == outcome.Refused:
		return staleness.Refused, true
	case probe && (e == outcome.ServerError || e == outcome.Declined):
		return staleness.Draining, true
	}
	return sign, false
}
