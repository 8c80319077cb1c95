package emulator

import (
	"plankrouter/policy"
)

// job is a request that a server holds.
type job struct {
	attempt   *attempt
	work      float64
	wait      policy.Ms // wait for other services after the work; the job then holds a slot, but no core
	arrivedAt policy.Ms
	startedAt policy.Ms
	endsAt    float64 // value of machine.progress at which the job's work is done
	cancelled bool    // the attempt ended while the job waited for a slot
}

// acceptRequest handles a request that has arrived completely.
func (m *machine) acceptRequest(a *attempt) {
	set := &m.world.cfg.Server
	m.countColdArrival(a)
	if m.phase == dead { // this request has overloaded the server in slow start, which ended the process
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
	m.advance()
	class := &m.world.cfg.Classes[a.request.origin.class]
	j := &job{attempt: a, work: a.request.origin.work * m.slow, wait: a.request.origin.wait, arrivedAt: m.world.now}
	if class.Noise > 0 {
		j.work *= lognormal(m.world.rngServers, 1, class.Noise)
	}
	a.work = j.work
	if len(m.running)+m.blocked < set.Slots {
		m.startJob(j)
	} else {
		a.queued = j
		m.waiting = append(m.waiting, j)
	}
	m.reschedule()
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

// dropQueued cancels a's job if it still waits for a slot.
func (m *machine) dropQueued(a *attempt, incarnation int) {
	if j := a.queued; j != nil && m.incarnation == incarnation {
		a.queued, j.cancelled = nil, true
		m.cancelled++
		m.advance()
		m.reschedule()
	}
}

// complete ends the work of the first running job. The job then waits for other services or is finished.
func (m *machine) complete() {
	m.advance()
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
	m.blocked++
	m.reschedule()
	incarnation := m.incarnation
	var release func()
	release = func() {
		switch {
		case incarnation != m.incarnation:
		case m.paused:
			m.world.after(tickInterval, release)
		default:
			m.advance()
			m.blocked--
			m.finishJob(j)
		}
	}
	m.world.after(j.wait, release)
}

// finishJob sends the response to j and starts the next waiting job in its slot.
func (m *machine) finishJob(j *job) {
	took := m.world.now - j.startedAt
	if m.latency == 0 {
		m.latency = took
	}
	m.latency += latencyWeight * (took - m.latency)
	for started := false; m.head < len(m.waiting) && !started; {
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
		next.attempt.queued, started = nil, true
		m.startJob(next)
	}
	m.reschedule()
	m.reply(j.attempt, policy.OK, policy.Report{})
}
