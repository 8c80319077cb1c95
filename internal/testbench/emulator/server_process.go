package emulator

import (
	"plankrouter/policy"
)

// coldArrival is work that has reached a cold server.
type coldArrival struct {
	time     policy.Ms
	work     float64
	from     *sidecar
	notified bool // the sidecar had been notified of the start
}

// countColdArrival counts the work that reaches a server in slow start, and ends its process when that is more than it
// bears within the window.
func (m *machine) countColdArrival(a *attempt) {
	if m.slowStartFraction() >= 1 {
		m.arrivals, m.arrivedWork = nil, 0
		return
	}
	rules := &m.world.cfg.Rules
	p := coldArrival{m.world.now, a.request.origin.work * m.slow, a.sidecar, a.sidecar.knowsProcess(m)}
	m.arrivals = append(m.arrivals, p)
	m.arrivedWork += p.work
	for m.arrivals[0].time < m.world.now-rules.OverloadWindow {
		m.arrivedWork -= m.arrivals[0].work
		m.arrivals = m.arrivals[1:]
	}
	if m.arrivedWork > rules.OverloadMultiple*m.capacity()*rules.OverloadWindow {
		m.world.judge.fallen(m)
		m.die()
		m.world.discovery.change(m, policy.Gone)
	}
}

// die ends the process: what it holds is lost, connections are reset, new ones refused.
func (m *machine) die() {
	m.phase = dead
	m.dropAll()
}

// dropAll drops all that a process has in hand.
func (m *machine) dropAll() {
	m.settle()
	m.incarnation++
	m.progress, m.running, m.waiting, m.head, m.cancelled, m.resting = 0, nil, nil, 0, 0, 0
	m.jammed, m.overloadedSince, m.idleSince, m.latency, m.overhead = false, -1, -1, 0, 0
	m.arrivals, m.arrivedWork, m.reportedRIF = nil, 0, 0
	conns := m.conns
	m.conns = nil
	for _, c := range conns {
		c.closed = true
		if a := c.attempt; a != nil {
			m.world.after(m.world.delay(m.zone, a.sidecar.zone), func() { a.sidecar.broke(a) })
		}
	}
	m.resume()
}

// start begins a new process, cold.
func (m *machine) start() {
	m.dropAll()
	m.phase, m.startedAt = serving, m.world.now
	rules, rng := &m.world.cfg.Rules, m.world.rngStarts
	m.startCapacity = min(1, rules.StartCapacity*(1+rng.Float64()/2))
	m.warmUpTime = rules.WarmUpTime * (0.5 + rng.Float64()/2)
	m.world.discovery.change(m, policy.Ready)
}

// closeIdleConns closes what has been idle for long, and counts.
func (m *machine) closeIdleConns() {
	for i := 0; i < len(m.conns); i++ {
		if c := m.conns[i]; c.attempt == nil && m.world.now-c.idleAt >= m.world.cfg.Server.Idle {
			c.close()
			i--
		}
	}
	m.maxConns = max(m.maxConns, len(m.conns))
	if m.phase != dead {
		m.sumConns += float64(len(m.conns))
		m.liveChecks++
	}
}
