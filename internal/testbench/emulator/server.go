package emulator

import (
	"math"
	"plankrouter/policy"
)

const (
	tickEvery    = 50.0  // ms between looks at what moves by itself: warmth, jams, overhead
	latencyStep  = 0.1   // part of the way that a reported service time moves with a request
	overheadFade = 500.0 // ms over which the work of probes and handshakes is spread
	failsAfter   = 2.0   // ms in which a failing server answers
	minPower     = 0.01  // cores that overhead never takes
)

// phase is what a machine is doing.
type phase uint8

const (
	serving phase = iota
	draining
	silent // nothing comes in or goes out, and nothing is said
	dead   // no process: connections are refused
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

// machine is one server: limited processor sharing. Up to Slots requests share the cores evenly, none gets more than
// one core; the others wait in order of arrival.
type machine struct {
	world         *world
	id            policy.ServerID
	zone          int
	cores, speed  float64
	startedAt     policy.Ms // 0 = long ago
	startCapacity float64
	warmUpTime    policy.Ms
	phase         phase
	incarnation   int // of its process

	progress, rate float64 // work that each request in a slot has got since ever, and gets in a ms
	progressAt     policy.Ms
	running        []*job // a heap by ends
	waiting        []*job // from head on
	head           int
	cancelled      int    // of waiting, from head on
	resting        int    // in a slot, but waiting for others
	next           uint64 // number of the completion that counts

	host            *host   // what it runs on
	failing         float64 // part of the requests that it fails
	slow            float64 // times the work that a request needs here
	rejectsProbes   bool    // probes are turned away
	paused          bool
	jammed          bool
	overloadedSince policy.Ms // since when too many wait; -1 = they don't
	idleSince       policy.Ms // since when it is mostly idle; -1 = it is not
	jammedAt        policy.Ms
	overhead        float64 // cores that probes and handshakes take

	conns         []*conn
	probeTokens   float64 // probes that are still allowed
	probeTokensAt policy.Ms
	reportedAt    policy.Ms
	reportedRIF   float64
	latency       policy.Ms     // recent service time, without waiting
	arrivals      []coldArrival // while it is cold, for OverloadWindow
	arrivedWork   float64       // their sum
	probes        int
	maxConns      int
	sumConns      float64
	liveChecks    int
}

// host is what processes run on, one after another.
type host struct {
	current *machine
	taken   []float64 // parts of it that neighbours have at present, in a place for each neighbour
}

// coldArrival is work that has reached a cold server.
type coldArrival struct {
	at       policy.Ms
	work     float64
	from     *sidecar
	notified bool // the sidecar had been told of the start
}

func (m *machine) inFlight() int {
	return len(m.running) + m.resting + len(m.waiting) - m.head - m.cancelled
}

func (m *machine) slowStartFraction() float64 {
	if m.startedAt <= 0 || m.warmUpTime <= 0 {
		return 1
	}
	return min(1, m.startCapacity+(1-m.startCapacity)*(m.world.now-m.startedAt)/m.warmUpTime)
}

// capacity is the work that a process does in a ms when all is well with it.
func (m *machine) capacity() float64 { return m.cores * m.speed * m.slowStartFraction() }

// power is the work that it does in a ms with all cores busy, as things are.
func (m *machine) power() float64 {
	set := &m.world.cfg.Server
	p := m.capacity()
	for _, taken := range m.host.taken {
		p *= 1 - taken
	}
	crowd := float64(m.inFlight())/m.cores - set.OverloadFrom
	p *= 1 - min(set.MaxOverloadLoss, max(0, set.OverloadLoss*crowd))
	p *= 1 - set.TableLoss*float64(len(m.conns))/float64(set.Connections)
	if m.jammed {
		p /= set.JamSlow
	}
	return max(minPower, p-m.overhead)
}

// settle brings progress up to now; resume, after a change, says when the next request will be done.
func (m *machine) settle() {
	m.progress += m.rate * (m.world.now - m.progressAt)
	m.progressAt = m.world.now
	if every := m.world.cfg.Server.ReportEvery; m.world.now-m.reportedAt >= every {
		m.reportedAt = every * math.Floor(m.world.now/every) // what is held has not changed since then
		m.reportedRIF = float64(m.inFlight())
	}
}

func (m *machine) resume() {
	m.next++
	m.watchJam()
	m.rate = 0
	if len(m.running) == 0 || m.paused {
		return
	}
	m.rate = m.power() / max(m.cores, float64(len(m.running)))
	n := m.next
	m.world.after((m.running[0].endsAt-m.progress)/m.rate, func() {
		if n == m.next {
			m.complete()
		}
	})
}

// watchJam notes since when too many wait or it is mostly idle.
func (m *machine) watchJam() {
	set := &m.world.cfg.Server
	held, cores := float64(m.inFlight()), m.cores
	note := func(since *policy.Ms, is bool) {
		if !is {
			*since = -1
		} else if *since < 0 {
			*since = m.world.now
		}
	}
	note(&m.overloadedSince, held-cores > set.JamWaiting*cores)
	note(&m.idleSince, held <= set.JamIdle*cores)
}

// tick looks at what moves by itself.
func (m *machine) tick() {
	set, now := &m.world.cfg.Server, m.world.now
	m.settle()
	m.overhead *= math.Exp(-tickEvery / overheadFade)
	switch {
	case !m.jammed && m.overloadedSince >= 0 && now-m.overloadedSince >= set.JamAfter:
		m.jammed, m.jammedAt = true, now
		m.world.judge.jams++
	case m.jammed && (m.idleSince >= 0 && now-m.idleSince >= set.JamClears || now-m.jammedAt >= set.MaxJam):
		m.jammed, m.overloadedSince = false, -1
	}
	m.resume()
}

// busy adds work beside the queue.
func (m *machine) busy(work float64) { m.overhead += work / overheadFade }

// take is a request's last byte at the server.
func (m *machine) take(a *attempt) {
	set := &m.world.cfg.Server
	m.press(a)
	if m.phase == dead { // it has just fallen
		return
	}
	switch {
	case m.failing > 0 && m.world.rngServers.Float64() < m.failing:
		m.world.after(failsAfter, func() { m.reply(a, policy.Failed, policy.Report{}) })
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
		m.begin(j)
	} else {
		a.queued = j
		m.waiting = append(m.waiting, j)
	}
	m.resume()
}

func (m *machine) begin(j *job) {
	j.startedAt, j.endsAt = m.world.now, m.progress+j.work
	m.world.judge.waited(j.startedAt - j.arrivedAt)
	m.running = append(m.running, j)
	h, i := m.running, len(m.running)-1
	for ; i > 0 && j.endsAt < h[(i-1)/2].endsAt; i = (i - 1) / 2 {
		h[i] = h[(i-1)/2]
	}
	h[i] = j
}

// drop takes a out of the waiting ones, if it is still among them.
func (m *machine) drop(a *attempt, incarnation int) {
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
		m.leave(j)
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
			m.world.after(tickEvery, leave)
		default:
			m.settle()
			m.resting--
			m.leave(j)
		}
	}
	m.world.after(j.wait, leave)
}

// leave answers j and gives its slot to the next.
func (m *machine) leave(j *job) {
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
		m.begin(next)
	}
	m.resume()
	m.reply(j.attempt, policy.OK, policy.Report{})
}

// probe answers beside the queue. What it reports is as old as the latest refresh, and noisy.
func (m *machine) probe(a *attempt) {
	set, now := &m.world.cfg.Server, m.world.now
	m.probes++
	if m.paused { // nobody answers; the caller gives up long before it could be answered
		return
	}
	m.probeTokens = min(set.MaxProbes, m.probeTokens+(now-m.probeTokensAt)*set.MaxProbes/1000)
	m.probeTokensAt = now
	if m.rejectsProbes || m.phase == draining || m.probeTokens < 1 {
		m.reply(a, policy.Failed, policy.Report{})
		return
	}
	m.probeTokens--
	m.settle()
	m.busy(set.ProbeWork)
	noise := func() float64 { return max(0, 1+set.ReportNoise*m.world.rngServers.NormFloat64()) }
	if set.NoReport {
		wait := 0.0
		if set.ProbesQueue { // it takes its turn among those in the slots
			wait = set.ProbeWork * max(m.cores, float64(len(m.running)+1)) / m.power()
		}
		m.world.after(wait, func() { m.reply(a, policy.OK, policy.Report{}) })
		return
	}
	m.reply(a, policy.OK, policy.Report{
		HasRIF: true, RIF: math.Round(m.reportedRIF * noise()),
		HasLatency: true, Latency: m.latency * noise(),
	})
}

// reply sends the answer, which is lost with the process or the way.
func (m *machine) reply(a *attempt, status policy.Status, report policy.Report) {
	if a.conn.closed || !m.world.reaches(m, a.sidecar) {
		return
	}
	m.world.after(m.world.delay(m.zone, a.sidecar.zone), func() { a.sidecar.finish(a, status, report) })
}

// press counts what reaches a cold server, and fells it when that is more than it bears within the window.
func (m *machine) press(a *attempt) {
	if m.slowStartFraction() >= 1 {
		m.arrivals, m.arrivedWork = nil, 0
		return
	}
	rules := &m.world.cfg.Rules
	p := coldArrival{m.world.now, a.request.origin.work * m.slow, a.sidecar, a.sidecar.knowsProcess(m)}
	m.arrivals = append(m.arrivals, p)
	m.arrivedWork += p.work
	for m.arrivals[0].at < m.world.now-rules.OverloadWindow {
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
	m.forget()
}

// forget drops all that a process has in hand.
func (m *machine) forget() {
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
	m.forget()
	m.phase, m.startedAt = serving, m.world.now
	rules, rng := &m.world.cfg.Rules, m.world.rngStarts
	m.startCapacity = min(1, rules.StartCapacity*(1+rng.Float64()/2))
	m.warmUpTime = rules.WarmUpTime * (0.5 + rng.Float64()/2)
	m.world.discovery.change(m, policy.Ready)
}

// sweep closes what has been idle for long, and counts.
func (m *machine) sweep() {
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
