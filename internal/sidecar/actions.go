package sidecar

import (
	"container/heap"
	"log"
	"time"

	"plankrouter/internal/config"
	"plankrouter/internal/ending"
	"plankrouter/internal/invocation"
	"plankrouter/internal/provider"
	"plankrouter/logic"
)

// do carries out one of the module's actions.
func (s *Sidecar) do(a *logic.Action) {
	switch a.Kind {
	case logic.Send:
		s.invoke(a)
	case logic.Cancel:
		if h := s.held[a.Request]; h != nil && h.call != nil && a.Attempt == h.attempts-1 {
			s.stop(h.call, ending.CalledOff)
		}
	case logic.Refuse:
		s.answer(a.Request, invocation.Answer{Kind: invocation.Refused, RetryAfter: config.Duration(a.After)})
	case logic.Fail:
		s.answer(a.Request, invocation.Answer{Kind: invocation.Failed})
	case logic.Probe:
		if k := s.providers[a.Server]; k != nil {
			s.counts.Probes++
			s.start(k, provider.NewProbe(k.pool.Address), attempt{probe: true, server: a.Server}, probeTimeout)
		}
	case logic.SetTimer:
		heap.Push(&s.timers, timer{at: s.now.Add(config.Duration(a.After)), handle: a.Timer})
	case logic.Subscribe: // the directory is watched all the time
	case logic.Log:
		log.Printf("decision=%q", a.Text)
	}
}

// invoke makes the attempt that the module asks for.
func (s *Sidecar) invoke(a *logic.Action) {
	h, k := s.held[a.Request], s.providers[a.Server]
	if h == nil || h.answered || h.call != nil || k == nil {
		// Not asked for by a sound module; answering it keeps the books of a faulty one straight.
		log.Printf("state=send_refused request=%d server=%d", a.Request, a.Server)
		s.step(logic.Event{Kind: logic.AttemptDone, Request: a.Request, Server: a.Server, Status: logic.NotSent,
			Final: h == nil || h.answered})
		return
	}
	s.counts.Sent++
	wait := config.Duration(a.After)
	h.call = provider.NewCall(k.pool.Address, h.inv, wait)
	h.attempts++
	s.start(k, h.call, attempt{request: a.Request, number: h.attempts - 1, server: a.Server}, wait)
}

// start sends a call on an idle connection or a new one, and gives it up after wait.
func (s *Sidecar) start(k *known, c *provider.Call, a attempt, wait time.Duration) {
	s.calls[c] = a
	k.calls++
	if !k.notAfter.IsZero() {
		c.NotAfter(k.notAfter)
	}
	s.invoker.Start(c, k.pool.Take())
	// The module often gives an attempt until its request's own deadline, for which it has set a timer too. The
	// time-out must win that race: called off by the deadline instead, the attempt would teach the module nothing,
	// and it would judge the providers by the answers that came in time alone.
	heap.Push(&s.timers, timer{at: s.now.Add(wait - timeoutLead), call: c})
}

func (e connFree) apply(s *Sidecar) {
	if k := s.at(e.conn.Address); k != nil && k.health == logic.Ready {
		k.pool.Put(e.conn, time.Duration(retirePart*float64(s.cfg.ConnIdle)))
	} else {
		e.conn.Close()
	}
}

func (e connEnded) apply(s *Sidecar) {
	s.counts.Idle[e.how]++
	if k := s.at(e.conn.Address); k != nil {
		k.pool.Drop(e.conn)
	}
}

// at returns the provider that now answers at the address, or nil.
func (s *Sidecar) at(address string) *known {
	for _, k := range s.providers {
		if k.pool.Address == address {
			return k
		}
	}
	return nil
}

func (e told) apply(s *Sidecar) { s.list(config.List(e)) }

// health reads a phase. One that is unknown gets no new work: it is not the one that asks for it.
func health(phase string) logic.Health {
	switch phase {
	case config.Serving:
		return logic.Ready
	case config.Deleted:
		return logic.Gone
	}
	return logic.Draining
}

// list takes the directory's word: the table first, then the module.
func (s *Sidecar) list(l config.List) {
	s.counts.Lists++
	told := time.Now()
	named := map[logic.ServerID]bool{}
	lines := make([]logic.ServerInfo, 0, len(l.Members))
	for _, m := range l.Members {
		id, zone := s.serverID(m.ID), -1
		if z, have := s.zones[m.Locality]; have {
			zone = z
		}
		named[id] = true
		lines = append(lines, logic.ServerInfo{ID: id, Zone: zone, Cell: m.Cell, Health: health(m.Phase),
			StartedAt: m.UpSince})
		k := s.providers[id]
		if k == nil {
			k = &known{health: logic.Ready}
			s.providers[id] = k
		}
		if m.Address != "" && m.Address != k.pool.Address {
			k.pool.Close() // the same provider elsewhere: nobody answers for it at the old place
			k.pool.Address = m.Address
		}
		s.setHealth(id, k, health(m.Phase), told)
	}
	for id, k := range s.providers {
		if l.Complete && !named[id] {
			s.setHealth(id, k, logic.Gone, told)
		}
	}
	ready := false
	for id, k := range s.providers {
		ready = ready || k.health == logic.Ready
		if k.health == logic.Gone && k.calls == 0 {
			delete(s.providers, id)
		}
	}
	s.ready.Store(ready)
	s.step(logic.Event{Kind: logic.List, Full: l.Complete, Servers: lines})
}

// setHealth notes a provider's state and, when it leaves, the end of the grace for calls that still connect.
func (s *Sidecar) setHealth(id logic.ServerID, k *known, h logic.Health, told time.Time) {
	was := k.health
	k.health = h
	switch {
	case h == logic.Ready:
		k.notAfter = time.Time{}
	case was == logic.Ready:
		k.pool.Close()
		k.notAfter = told.Add(max(0, s.cfg.DrainGrace-graceMargin))
		for c, a := range s.calls {
			if a.server == id {
				c.NotAfter(k.notAfter)
			}
		}
	}
}
