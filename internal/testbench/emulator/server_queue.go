package emulator

import (
	"plankrouter/policy"
)

// job is a request that a server holds.
type job struct {
	attempt   *attempt
	work      float64
	wait      policy.Ms // that follows in its slot, without a core
	arrivedAt policy.Ms
	startedAt policy.Ms
	endsAt    float64 // in the server's own progress; see machine.v
	cancelled bool    // its attempt has ended while it waited for a slot
}

// acceptRequest is a request's last byte at the server.
func (m *machine) acceptRequest(a *attempt) {
	set := &m.world.cfg.Server
	m.countColdArrival(a)
	if m.phase == dead { // it has just fallen
		return
	}
	switch {
	case m.failing > 0 && m.world.rngServers.Float64() < m.failing:
		m.world.after(failureTime, func() { m.reply(a, policy.Failed, policy.Report{}) })
		return
	case m.phase == draining || m.inFlight() >= set.Slots+set.QueueCapacity:
		m.world.judge.rejected++
		m.reply(a, policy.Declined, policy.Report{})
		return
	}
	m.settle()
	class := &m.world.cfg.Classes[a.request.origin.class]
	j := &job{attempt: a, work: a.request.origin.work * m.slow, wait: a.request.origin.wait, arrivedAt: m.world.now}
	if class.Noise > 0 {
		j.work *= lognormal(m.world.rngServers, 1, class.Noise)
	}
	a.work = j.work
	if len(m.running)+m.resting < set.Slots {
		m.startJob(j)
	} else {
		a.queued = j
		m.waiting = append(m.waiting, j)
	}
	m.resume()
}

func (m *machine) startJob(j *job) {
	j.startedAt, j.endsAt = m.world.now, m.progress+j.work
	m.world.judge.waited(j.startedAt - j.arrivedAt)
	m.running = append(m.running, j)
	h, i := m.running, len(m.running)-1
	for ; i > 0 && j.endsAt < h[(i-1)/2].endsAt; i = (i - 1) / 2 {
		h[i] = h[(i-1)/2]
	}
	h[i] = j
}

// dropQueued takes a out of the waiting ones, if it is still among them.
func (m *machine) dropQueued(a *attempt, incarnation int) {
	if j := a.queued; j != nil && m.incarnation == incarnation {
		a.queued, j.cancelled = nil, true
		m.cancelled++
		m.settle()
		m.resume()
	}
}

// complete ends the work of the request that is done.
func (m *machine) complete() {
	m.settle()
	h := m.running
	j, last := h[0], h[len(h)-1]
	h[len(h)-1] = nil
	h = h[:len(h)-1]
	m.running = h
	for i := 0; len(h) > 0; {
		c := 2*i + 1
		if c+1 < len(h) && h[c+1].endsAt < h[c].endsAt {
			c++
		}
		if c >= len(h) || last.endsAt <= h[c].endsAt {
			h[i] = last
			break
		}
		h[i], i = h[c], c
	}
	m.world.judge.worked(j.work)
	if j.wait <= 0 {
		m.finishJob(j)
		return
	}
	m.resting++
	m.resume()
	incarnation := m.incarnation
	var leave func()
	leave = func() {
		switch {
		case incarnation != m.incarnation:
		case m.paused:
			m.world.after(tickInterval, leave)
		default:
			m.settle()
			m.resting--
			m.finishJob(j)
		}
	}
	m.world.after(j.wait, leave)
}

// finishJob answers j and gives its slot to the next.
func (m *machine) finishJob(j *job) {
	took := m.world.now - j.startedAt
	if m.latency == 0 {
		m.latency = took
	}
	m.latency += latencyStep * (took - m.latency)
	for begun := false; m.head < len(m.waiting) && !begun; {
		next := m.waiting[m.head]
		m.waiting[m.head] = nil
		m.head++
		if 2*m.head >= len(m.waiting) {
			m.waiting = append(m.waiting[:0], m.waiting[m.head:]...)
			m.head = 0
		}
		if next.cancelled {
			m.cancelled--
			continue
		}
		next.attempt.queued, begun = nil, true
		m.startJob(next)
	}
	m.resume()
	m.reply(j.attempt, policy.OK, policy.Report{})
}
