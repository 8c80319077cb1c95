package dispatch

import (
	"cmp"
	"container/heap"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/staleness"
	"plankrouter/internal/upstream"
	"plankrouter/policy"
	"time"
)

// do carries out one of the module's actions.
func (s *Dispatcher) do(a *policy.Action) {
	switch a.Kind {
	case policy.StartAttempt:
		s.invoke(a)
	case policy.CancelAttempt:
		if h := s.held[a.Request]; h != nil && h.call != 0 && a.Attempt == h.attempts-1 {
			s.stop(h.call, outcome.Cancelled)
		}
	case policy.RejectRequest:
		s.unserved(a)
		s.answer(a.Request, request.Response{Kind: request.Rejected, RetryAfter: duration(a.After)})
	case policy.FailRequest:
		s.unserved(a)
		s.answer(a.Request, request.Response{Kind: request.Failed})
	case policy.SendProbe:
		if k := s.providers[a.Server]; k != nil {
			s.counts.Probes++
			s.start(k, nil, &attempt{probe: true, server: a.Server}, probeTimeout)
		}
	case policy.SetTimer:
		heap.Push(&s.timers, &timer{at: s.now.Add(duration(a.After)), handle: a.Timer})
	case policy.Subscribe: // the directory is watched all the time
	case policy.Log:
		s.set.Logf("decision=%q", a.Text)
	}
}

// invoke makes the attempt that the module asks for.
func (s *Dispatcher) invoke(a *policy.Action) {
	h, k := s.held[a.Request], s.providers[a.Server]
	if !s.maySend(h, k) {
		// Not asked for by a sound module; answering it keeps the books of a faulty one straight.
		s.set.Logf("state=send_refused request=%d server=%d", a.Request, a.Server)
		s.step(policy.Event{
			Kind: policy.AttemptEnded, Request: a.Request, Server: a.Server, Status: policy.NotSent,
			Final: h == nil || h.answered,
		})
		return
	}
	s.counts.Attempts++
	wait := duration(a.After)
	h.attempts++
	one := &attempt{request: a.Request, number: h.attempts - 1, server: a.Server}
	if a.Expires > 0 {
		one.expires = s.now.Add(duration(a.Expires))
	}
	h.call = s.start(k, h.inv, one, wait)
}

// start begins an attempt, for an invocation or a probe, gives it up after wait, and returns its number.
func (s *Dispatcher) start(k *known, inv *request.Request, a *attempt, wait time.Duration) uint64 {
	s.lastCall++
	number := s.lastCall
	// The module often gives an attempt until its request's own deadline, for which it has set a timer too. The
	// time-out must win that race: called off by the deadline instead, the attempt would teach the module nothing,
	// and it would judge the providers by the answers that came in time alone.
	a.end = &timer{at: s.now.Add(wait - timeoutLead), call: number, index: -1}
	if inv == nil || inv.Remainder == nil {
		heap.Push(&s.timers, a.end)
	} else { // its time begins when its last byte is written
		s.uploads[number] = a
		wait = s.patience(inv)
	}
	if !a.expires.IsZero() && a.expires.Before(a.end.at) { // else its consumer would wait for what will not be sent
		heap.Push(&s.timers, &timer{at: a.expires, call: number, expires: true})
	}
	s.calls[number] = a
	k.calls++
	a.began, a.at = time.Now(), k.at
	s.traceStart(a, k)
	notAfter := k.notAfter
	if t := s.trust.StartBy(k.proof, s.set.DrainGrace); inv != nil && !t.IsZero() && (notAfter.IsZero() || t.Before(notAfter)) {
		notAfter = t
	}
	var until time.Time
	if inv != nil && inv.Remainder == nil {
		until = s.now.Add(wait)
	}
	a.call = k.at.Start(upstream.AttemptOptions{
		Request: inv, Timeout: wait, Deadline: until, StartBy: notAfter, Expires: a.expires,
		OnBodySent: func() { s.send(flowed{number}) },
		OnEnd: func(r upstream.Result) {
			if !s.send(callEnded{number, r}) {
				closeFlow(r.Remainder)
			}
		},
	})
	return number
}

func (e told) apply(s *Dispatcher) {
	s.counts.EndpointUpdates++
	s.listAt(e.List, e.at)
}

// health reads a phase. One that is unknown gets no new work: it is not the one that asks for it.
func health(phase string) policy.Health {
	switch phase {
	case endpoints.Serving:
		return policy.Ready
	case endpoints.Deleted:
		return policy.Gone
	}
	return policy.Draining
}

// list takes the directory's word as of now.
func (s *Dispatcher) list(l endpoints.List) { s.listAt(l, time.Now()) }

// listAt takes the directory's word, which came when it was told, with the operators' laid over it: the table first, then the
// module.
func (s *Dispatcher) listAt(l endpoints.List, told time.Time) {
	s.revision = l.Revision
	now := time.Now()
	s.readWall(now)
	named := map[policy.ServerID]bool{}
	left := map[upstream.Endpoint]bool{} // where another process is by now
	lines := make([]policy.ServerInfo, 0, len(l.Endpoints))
	for _, m := range l.Endpoints {
		id, zone := s.serverID(m.ID), -1
		if z, have := s.zones[m.Zone]; have {
			zone = z
		}
		named[id] = true
		k := s.providers[id]
		if k == nil {
			k = &known{name: m.ID, health: policy.Ready, at: s.set.Upstream.Endpoint(m.ID, m.Address), toldAt: told}
			s.providers[id] = k
		}
		if m.Address != "" && m.Address != k.at.Address() || m.StartedAt != k.line.StartedAt {
			k.at.Close() // another process: nobody answers for it at the old place or on the old connections
			left[k.at] = true
			k.at = s.set.Upstream.Endpoint(m.ID, cmp.Or(m.Address, k.at.Address()))
			k.proof = staleness.Liveness{}
		}
		k.line, k.origin = m, s.originOf(k, m, now)
		health, since := s.effective(m, told, now)
		lines = append(lines, policy.ServerInfo{
			ID: id, Zone: zone, Cell: m.Cell, Health: health, StartedAt: k.origin.startedAt,
			Uncordoned: health == policy.Ready && k.health == policy.Draining && k.origin.startedAt > k.origin.listed,
		})
		s.setHealth(id, k, health, since)
	}
	for id, k := range s.providers {
		if l.Complete && !named[id] {
			s.setHealth(id, k, policy.Gone, told)
		}
	}
	ready := false
	for id, k := range s.providers {
		ready = ready || k.health == policy.Ready
		if k.health == policy.Gone && k.calls == 0 {
			s.forget(s.member(k, now))
			delete(s.providers, id)
			s.set.Upstream.Forget(k.name)
			delete(s.serverIDs, k.name)
			delete(s.numbers, id)
		}
	}
	s.ready.Store(ready)
	s.step(policy.Event{Kind: policy.EndpointsUpdated, Complete: l.Complete, Servers: lines})
	s.lookedAt = time.Time{}
	for number, a := range s.calls { // once the module knows it: what is withdrawn may go out again
		if left[a.at] {
			s.withdraw(number, outcome.ServerDraining)
		}
	}
}

// setHealth notes a provider's state and, when it leaves, the end of the grace for calls that still connect.
func (s *Dispatcher) setHealth(id policy.ServerID, k *known, h policy.Health, told time.Time) {
	was := k.health
	if k.health = h; h != was {
		k.toldAt = told
		defer s.traceServer(k, was)
	}
	switch {
	case h == policy.Ready:
		if k.notAfter = (time.Time{}); was != policy.Ready {
			k.at = s.set.Upstream.Endpoint(k.name, k.at.Address())
		}
	case was == policy.Ready:
		k.at.Close()
		_, write := staleness.DrainLimits(s.set.DrainGrace)
		k.notAfter = told.Add(write)
		for _, a := range s.calls {
			if a.server == id {
				a.call.StartBy(k.notAfter)
			}
		}
	}
}
