package policy

import (
	"plankrouter/internal/limit"
	"slices"
)

// The life of a request: its arrival, its attempts and its one final answer.

const timeoutTimes = 8.0 // expected responses after which what may be repeated is tried elsewhere

type request struct {
	id                RequestID
	class, who        int // who: of the tenant among a server's tallies; 0 = none
	attempts          int
	aimAt, endAt      Ms      // the final answer is given by endAt
	out, done         bool    // an attempt is out; all is answered
	over              bool    // beyond its tenant's share
	avoid             *server // where the last attempt failed
	sentAt            Ms
	sentRIF, sentBase float64
	expected          Ms
	mayRan            bool // an attempt may have run
	dropped           Ms   // until then servers drop a repeat, by when the first of those was sent
	ranZone, ranCell  int
	waits, need       int // waits for probes so far; answers missing in this one
	waitEnd           Ms
}

func (b *Balancer) onArrival(e *Event) {
	b.arrivals.Add(b.now)
	b.retries = min(retryBurst, b.retries+retryPart)
	class := min(max(0, e.Class), len(b.cfg.Classes)-1)
	r := &request{
		id: e.Request, class: class, who: 1 + max(-1, min(e.Tenant, len(b.buckets)-1)),
		aimAt: b.now + b.cfg.Classes[class].LatencyObjective, endAt: b.now + max(0, e.TimeLeft-b.margin),
	}
	b.requests[r.id] = r
	b.timer(uint64(r.id), r.endAt-b.now)
	b.tend(r)
	r.over = !b.inShare(e.Tenant)
	b.choose(r)
}

// choose decides from the pool, or waits for answers where the pool is short.
func (b *Balancer) choose(r *request) {
	if _, n := b.best(r); n < min(2, b.ready) && b.mayRefuse(r) && b.await(r, 0, false) {
		return
	}
	if r.attempts == 0 {
		n := max(0, int(b.probeDue))
		b.probeDue -= float64(n)
		b.probe(n, b.near(b.rng.IntN(limit.FarEvery(b.sparse)) == 1))
	}
	b.decide(r)
}

// decide sends the request, waits for news of more servers, or gives up.
func (b *Balancer) decide(r *request) {
	if b.now >= r.endAt { // it was long in coming, or waited: a server would be told more time than there is
		b.finish(r, DeadlineReached)
		return
	}
	s, why := b.pick(r), NoEligibleServer
	blind := s == nil && b.unsure()
	if blind {
		why = ListStale
	}
	if s != nil && r.attempts == 0 && !b.admits(s, r) {
		s, why = b.roomy(r), NoCapacity
	} else if r.attempts > 0 && s != nil && b.expect(s, r.class, s.rif) >= r.endAt-b.now {
		s, why = nil, DeadlineReached
	}
	switch {
	case s != nil:
		b.send(r, s)
	case (r.waits > 0 || blind || b.sparse && r.attempts == 0) && b.await(r, probeDebt, blind):
	default:
		b.finish(r, why)
	}
}

func (b *Balancer) send(r *request, s *server) {
	end := r.endAt - b.now
	r.sentBase, r.sentRIF = b.service(s), s.rif
	if s.out == 0 {
		s.quietAt = b.now
	}
	r.expected = b.expect(s, r.class, s.rif)
	s.expected = r.expected
	c := &b.cfg.Classes[r.class]
	again := c.Idempotency != NonIdempotent && r.attempts+1 < c.Attempts && b.retries >= 1
	if w := max(timeoutTimes*r.expected, b.minAim/2); again && w < end/2 {
		end = w
	}
	if s.out++; !b.told {
		b.gauge.Began(b.now, uint32(r.id), r.class, b.fit.Of(r.class))
	}
	b.outAll++
	s.rif++
	s.cold.Value--
	b.sendRate.Add(b.now)
	r.out, r.sentAt = true, b.now
	r.attempts++
	act := Action{Kind: StartAttempt, Request: r.id, Server: s.info.ID, After: max(end, 1)}
	if r.mayRan && c.Idempotency == WithIdempotencyKey { // its connection may come up long after mayRepeatAt has looked
		act.Expires = r.dropped - b.now
	}
	b.out = append(b.out, act)
}

func (b *Balancer) onAttemptDone(e *Event) {
	b.gauge.Ended(b.now, uint32(e.Request), e.Status == OK || e.Status == TimedOut)
	s := b.byID[e.Server]
	r, who := b.requests[e.Request], 0
	if r != nil {
		who = r.who
	}
	if s != nil {
		s.out = max(0, s.out-1)
		b.outAll--
		s.rif = max(0, s.rif-1)
		switch e.Status {
		case OK:
			s.quietAt, s.shut = b.now, false
			b.learn(s, who, 0)
			if b.sample(s, r, e.Elapsed, 1); e.Report.HasRIF {
				b.onReport(s, &e.Report, e.Report.RIF)
			}
		case Failed, Reset, ConnectFailed, Declined:
			s.quietAt = b.now
			if b.learn(s, who, 1); e.Status == ConnectFailed {
				b.shutOut(s)
			} else if e.Status == Declined {
				b.fit.Full(s.rif+1, limit.CrowdMost)
			}
		case TimedOut:
			if !b.silent(s) {
				b.sample(s, r, e.Elapsed, 0) // the survivors alone would look too fast
			}
			if b.silent(s) || r != nil && e.Elapsed+b.cfg.Round > timeoutTimes*r.expected {
				b.learn(s, who, 1)
			}
		}
	}
	if r == nil {
		return
	}
	r.out = false
	if !e.Status.NeverRan() && e.Status != OK {
		if !r.mayRan && s != nil {
			window := b.cfg.Classes[r.class].KeyWindow - b.margin
			r.dropped, r.ranZone, r.ranCell = r.sentAt+window, s.info.Zone, s.info.Cell
		}
		r.mayRan = true
	}
	if e.Final || r.done {
		b.abandon(r)
		return
	}
	r.avoid = s
	left := e.Status != NotSent && !e.BodyConsumed && r.attempts < b.cfg.Classes[r.class].Attempts
	if left && b.retries >= 1 && r.endAt-b.now > b.margin {
		b.retries--
		r.waits = 0
		b.choose(r)
		return
	}
	b.finish(r, RetryNotAllowed)
}

// finish gives the final answer: a refusal where that is true, else a failure.
func (b *Balancer) finish(r *request, why Reason) {
	act := Action{Kind: FailRequest, Request: r.id, Reason: why}
	if b.mayRefuse(r) {
		b.shed++
		act.Kind, act.After = RejectRequest, b.comeBack(r)
	}
	b.out = append(b.out, act)
	b.abandon(r)
}

// abandon stops the work on a request that nobody waits for.
func (b *Balancer) abandon(r *request) {
	r.done = true
	if !r.out {
		delete(b.requests, r.id)
		b.waiting = slices.DeleteFunc(b.waiting, func(w *request) bool { return w == r })
	} else if b.cfg.Cancel {
		b.out = append(b.out, Action{Kind: CancelAttempt, Request: r.id, Attempt: r.attempts - 1})
	}
}
