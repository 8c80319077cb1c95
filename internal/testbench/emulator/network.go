package emulator

import "plankrouter/policy"

// conn is a connection of a sidecar to a server's process.
type conn struct {
	machine *machine
	index   int // among at.conns
	attempt *attempt
	idleAt  policy.Ms
	closed  bool // its end, or its process, is gone
}

// close ends the connection at both ends; what runs at the server runs on.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	all := c.machine.conns
	last := all[len(all)-1]
	all[c.index], last.index = last, c.index
	all[len(all)-1] = nil
	c.machine.conns = all[:len(all)-1]
}

// reaches reports whether anything gets from one to the other.
func (w *world) reaches(m *machine, sc *sidecar) bool {
	return m.phase != silent && (m.zone == sc.zone || !w.cut[m.zone] && !w.cut[sc.zone])
}

// delay is that of one message.
func (w *world) delay(from, to int) policy.Ms {
	return w.far[from][to] + w.rngNetwork.ExpFloat64()*w.cfg.Network.Jitter
}

// attempt is one try of a request, or a probe, at a server.
type attempt struct {
	sidecar     *sidecar
	incarnation int // of sc
	request     *request
	number      int
	machine     *machine
	conn        *conn
	startedAt   policy.Ms
	connectedAt policy.Ms // when its connection came up, if it was new
	work        float64   // that the server puts into it
	queued      *job      // of it, while that waits for a slot
	written     bool      // its last byte is on its way: it may run from here on
	ended       bool
}

// connect opens a connection for a, which is refused where there is no process or no room, and lost on a silent way.
func (w *world) connect(a *attempt) {
	sc, m := a.sidecar, a.machine
	w.after(w.delay(sc.zone, m.zone), func() {
		switch {
		case a.ended:
		case !w.reaches(m, sc):
			w.at(a.startedAt+w.cfg.Network.ConnectTimeout, func() { sc.finish(a, policy.ConnectFailed, policy.Report{}) })
		case m.phase == dead || len(m.conns) >= w.cfg.Server.Connections:
			w.after(w.delay(m.zone, sc.zone), func() { sc.finish(a, policy.ConnectFailed, policy.Report{}) })
		default:
			a.conn = &conn{machine: m, index: len(m.conns), attempt: a}
			m.conns = append(m.conns, a.conn)
			m.maxConns = max(m.maxConns, len(m.conns))
			m.addOverhead(w.cfg.Server.Handshake)
			w.judge.handshakes++
			w.after(w.delay(m.zone, sc.zone), func() { sc.connected(a) })
		}
	})
}

// carry takes a's last byte to the server.
func (w *world) carry(a *attempt) {
	m, incarnation := a.machine, a.machine.incarnation
	spoilt := w.resets > 0 && w.rngNetwork.Float64() < w.resets
	w.after(w.delay(a.sidecar.zone, m.zone), func() {
		switch {
		case incarnation != m.incarnation || !w.reaches(m, a.sidecar): // reset already, or lost on the way
		case spoilt:
			w.after(w.delay(m.zone, a.sidecar.zone), func() { a.sidecar.broke(a) })
		case a.request == nil:
			m.probe(a)
		default:
			m.acceptRequest(a)
		}
	})
}
