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

// execute carries out one of the module's actions.
func (d *Dispatcher) execute(a *policy.Action) {
	switch a.Kind {
	case policy.StartAttempt:
		d.startAttempt(a)
	case policy.CancelAttempt:
		if h := d.requests[a.Request]; h != nil && h.attempt != 0 && a.Attempt == h.attempts-1 {
			d.cancelAttempt(h.attempt, outcome.Cancelled)
		}
	case policy.RejectRequest:
		d.countUnserved(a)
		d.respond(a.Request, request.Response{Kind: request.Rejected, RetryAfter: duration(a.After)})
	case policy.FailRequest:
		d.countUnserved(a)
		d.respond(a.Request, request.Response{Kind: request.Failed})
	case policy.SendProbe:
		if k := d.servers[a.Server]; k != nil {
			d.counts.Probes++
			d.launch(k, nil, &attemptRecord{isProbe: true, server: a.Server}, probeTimeout)
		}
	case policy.SetTimer:
		heap.Push(&d.timers, &timer{at: d.eventTime.Add(duration(a.After)), policyTimer: a.Timer})
	case policy.Subscribe: // the directory is watched all the time
	case policy.Log:
		d.options.Logf("decision=%q", a.Text)
	}
}

// startAttempt makes the attempt that the module asks for.
func (d *Dispatcher) startAttempt(a *policy.Action) {
	h, k := d.requests[a.Request], d.servers[a.Server]
	if !d.maySend(h, k) {
		// Not asked for by a sound module; answering it keeps the books of a faulty one straight.
		d.options.Logf("state=send_refused request=%d server=%d", a.Request, a.Server)
		d.handle(policy.Event{
			Kind: policy.AttemptEnded, Request: a.Request, Server: a.Server, Status: policy.NotSent,
			Final: h == nil || h.answered,
		})
		return
	}
	d.counts.Attempts++
	wait := duration(a.After)
	h.attempts++
	one := &attemptRecord{request: a.Request, number: h.attempts - 1, server: a.Server}
	if a.Expires > 0 {
		one.expires = d.eventTime.Add(duration(a.Expires))
	}
	h.attempt = d.launch(k, h.request, one, wait)
}

// launch begins an attempt, for an invocation or a probe, gives it up after wait, and returns its number.
func (d *Dispatcher) launch(k *serverRecord, req *request.Request, a *attemptRecord, wait time.Duration) uint64 {
	d.lastAttempt++
	number := d.lastAttempt
	// The module often gives an attempt until its request's own deadline, for which it has set a timer too. The
	// time-out must win that race: called off by the deadline instead, the attempt would teach the module nothing,
	// and it would judge the providers by the answers that came in time alone.
	a.timeout = &timer{at: d.eventTime.Add(wait - timeoutLead), attempt: number, index: -1}
	if req == nil || req.Remainder == nil {
		heap.Push(&d.timers, a.timeout)
	} else { // its time begins when its last byte is written
		d.uploads[number] = a
		wait = d.waitLimit(req)
	}
	if !a.expires.IsZero() && a.expires.Before(a.timeout.at) { // else its consumer would wait for what will not be sent
		heap.Push(&d.timers, &timer{at: a.expires, attempt: number, expires: true})
	}
	d.attempts[number] = a
	k.attempts++
	a.startedAt, a.process = time.Now(), k.process
	d.traceStart(a, k)
	notAfter := k.firstByteBy
	if t := d.listValidity.StartBy(k.liveness, d.options.DrainGrace); req != nil && !t.IsZero() && (notAfter.IsZero() || t.Before(notAfter)) {
		notAfter = t
	}
	var until time.Time
	if req != nil && req.Remainder == nil {
		until = d.eventTime.Add(wait)
	}
	a.running = k.process.Start(upstream.AttemptOptions{
		Request: req, Timeout: wait, Deadline: until, StartBy: notAfter, Expires: a.expires,
		OnBodySent: func() { d.send(bodySent{number}) },
		OnEnd: func(r upstream.Result) {
			if !d.send(attemptEnded{number, r}) {
				closeBody(r.Remainder)
			}
		},
	})
	return number
}

func (e endpointsUpdated) apply(d *Dispatcher) {
	d.counts.EndpointUpdates++
	d.applyEndpointsAt(e.List, e.at)
}

// healthOfPhase reads a phase. One that is unknown gets no new work: it is not the one that asks for it.
func healthOfPhase(phase string) policy.Health {
	switch phase {
	case endpoints.Serving:
		return policy.Ready
	case endpoints.Deleted:
		return policy.Gone
	}
	return policy.Draining
}

// applyEndpoints takes the directory's word as of now.
func (d *Dispatcher) applyEndpoints(l endpoints.List) { d.applyEndpointsAt(l, time.Now()) }

// applyEndpointsAt takes the directory's word, which came when it was told, with the operators' laid over it: the table first, then the
// module.
func (d *Dispatcher) applyEndpointsAt(l endpoints.List, told time.Time) {
	d.listRevision = l.Revision
	now := time.Now()
	d.observeWallClock(now)
	named := map[policy.ServerID]bool{}
	left := map[upstream.Endpoint]bool{} // where another process is by now
	lines := make([]policy.ServerInfo, 0, len(l.Endpoints))
	for _, m := range l.Endpoints {
		id, zone := d.serverID(m.ID), -1
		if z, have := d.zonePositions[m.Zone]; have {
			zone = z
		}
		named[id] = true
		k := d.servers[id]
		if k == nil {
			k = &serverRecord{name: m.ID, health: policy.Ready, process: d.options.Upstream.Endpoint(m.ID, m.Address), phaseSince: told}
			d.servers[id] = k
		}
		if m.Address != "" && m.Address != k.process.Address() || m.StartedAt != k.endpoint.StartedAt {
			k.process.Close() // another process: nobody answers for it at the old place or on the old connections
			left[k.process] = true
			k.process = d.options.Upstream.Endpoint(m.ID, cmp.Or(m.Address, k.process.Address()))
			k.liveness = staleness.Liveness{}
		}
		k.endpoint, k.origin = m, d.originOf(k, m, now)
		health, since := d.effectiveHealth(m, told, now)
		lines = append(lines, policy.ServerInfo{
			ID: id, Zone: zone, Cell: m.Cell, Health: health, StartedAt: k.origin.startedAt,
			Uncordoned: health == policy.Ready && k.health == policy.Draining && k.origin.startedAt > k.origin.listedAt,
		})
		d.setHealth(id, k, health, since)
	}
	for id, k := range d.servers {
		if l.Complete && !named[id] {
			d.setHealth(id, k, policy.Gone, told)
		}
	}
	ready := false
	for id, k := range d.servers {
		ready = ready || k.health == policy.Ready
		if k.health == policy.Gone && k.attempts == 0 {
			d.rememberDeleted(d.snapshotMember(k, now))
			delete(d.servers, id)
			d.options.Upstream.Forget(k.name)
			delete(d.serverIDs, k.name)
			delete(d.usedServerIDs, id)
		}
	}
	d.ready.Store(ready)
	d.handle(policy.Event{Kind: policy.EndpointsUpdated, Complete: l.Complete, Servers: lines})
	d.reportedAt = time.Time{}
	for number, a := range d.attempts { // once the module knows it: what is withdrawn may go out again
		if left[a.process] {
			d.withdrawAttempt(number, outcome.ServerDraining)
		}
	}
}

// setHealth notes a provider's state and, when it leaves, the end of the grace for calls that still connect.
func (d *Dispatcher) setHealth(id policy.ServerID, k *serverRecord, h policy.Health, told time.Time) {
	was := k.health
	if k.health = h; h != was {
		k.phaseSince = told
		defer d.traceServer(k, was)
	}
	switch {
	case h == policy.Ready:
		if k.firstByteBy = (time.Time{}); was != policy.Ready {
			k.process = d.options.Upstream.Endpoint(k.name, k.process.Address())
		}
	case was == policy.Ready:
		k.process.Close()
		_, write := staleness.DrainLimits(d.options.DrainGrace)
		k.firstByteBy = told.Add(write)
		for _, a := range d.attempts {
			if a.server == id {
				a.running.StartBy(k.firstByteBy)
			}
		}
	}
}
