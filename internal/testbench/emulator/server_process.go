package emulator

import (
	"plankrouter/policy"
)

// coldArrival is a request that has reached a server in slow start.
type coldArrival struct {
	time     policy.Ms
	work     float64
	from     *sidecar
	notified bool // the sidecar had been notified of the server's start
}

// countColdArrival counts the work that reaches a server in slow start, and ends its process when the work within
// OverloadWindow exceeds OverloadMultiple times its capacity.
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
		m.world.judge.coldServerOverloaded(m)
		m.exit()
		m.world.discovery.update(m, policy.Gone)
	}
}

// exit ends the process: its requests are lost, its connections are reset, and new ones are refused.
func (m *machine) exit() {
	m.phase = dead
	m.dropAll()
}

// dropAll drops the requests of the process, resets its connections and clears its state.
func (m *machine) dropAll() {
	m.advance()
	m.incarnation++
	m.progress, m.running, m.waiting, m.head, m.cancelled, m.blocked = 0, nil, nil, 0, 0, 0
	m.jammed, m.overloadedSince, m.idleSince, m.latency, m.overhead = false, -1, -1, 0, 0
	m.arrivals, m.arrivedWork, m.reportedRIF = nil, 0, 0
	conns := m.conns
	m.conns = nil
	for _, c := range conns {
		c.closed = true
		if a := c.attempt; a != nil {
			m.world.after(m.world.delay(m.zone, a.sidecar.zone), func() { a.sidecar.connReset(a) })
		}
	}
	m.reschedule()
}

// start starts a new process in slow start.
func (m *machine) start() {
	m.dropAll()
	m.phase, m.startedAt = serving, m.world.now
	rules, rng := &m.world.cfg.Rules, m.world.rngStarts
	m.startCapacity = min(1, rules.StartCapacity*(1+rng.Float64()/2))
	m.warmUpTime = rules.WarmUpTime * (0.5 + rng.Float64()/2)
	m.world.discovery.update(m, policy.Ready)
}

// closeIdleConns closes connections that have been idle for too long, and samples the number of open connections.
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
		m.connSamples++
	}
}
