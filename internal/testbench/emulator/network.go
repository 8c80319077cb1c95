package emulator

import "plankrouter/policy"

// conn is a connection of a sidecar to a server's process.
type conn struct {
	machine *machine
	index   int // index in machine.conns
	attempt *attempt
	idleAt  policy.Ms
	closed  bool // closed by either end, or because the process ended
}

// close closes the connection at both ends; the server continues to process a request on it.
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

// reachable reports whether messages get through between the machine and the sidecar.
func (w *world) reachable(m *machine, sc *sidecar) bool {
	return m.phase != silent && (m.zone == sc.zone || !w.cut[m.zone] && !w.cut[sc.zone])
}

// delay returns the one-way delay of one message between two zones.
func (w *world) delay(from, to int) policy.Ms {
	return w.far[from][to] + w.rngNetwork.ExpFloat64()*w.cfg.Network.Jitter
}

// attempt is an attempt of a request, or a probe, at a server.
type attempt struct {
	sidecar     *sidecar
	incarnation int      // incarnation of the sidecar when the attempt started
	request     *request // nil = a probe
	number      int
	machine     *machine
	conn        *conn
	startedAt   policy.Ms
	connectedAt policy.Ms // when the connection was established, if the attempt opened it
	work        float64   // work in ms that the server does for the attempt
	queued      *job      // the attempt's job while it waits for a slot, else nil
	written     bool      // the request has been sent completely, so that it may run
	ended       bool
}

// connect opens a connection for a. The connection is refused if the server has no process or Server.Connections connections are
// open, and times out if the server is unreachable.
func (w *world) connect(a *attempt) {
	sc, m := a.sidecar, a.machine
	w.after(w.delay(sc.zone, m.zone), func() {
		switch {
		case a.ended:
		case !w.reachable(m, sc):
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

// transmit delivers a to the server.
func (w *world) transmit(a *attempt) {
	m, incarnation := a.machine, a.machine.incarnation
	reset := w.resets > 0 && w.rngNetwork.Float64() < w.resets
	w.after(w.delay(a.sidecar.zone, m.zone), func() {
		switch {
		case incarnation != m.incarnation || !w.reachable(m, a.sidecar): // the connection has been reset, or the message is lost
		case reset:
			w.after(w.delay(m.zone, a.sidecar.zone), func() { a.sidecar.connReset(a) })
		case a.request == nil:
			m.probe(a)
		default:
			m.acceptRequest(a)
		}
	})
}
