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
	leastPower   = 0.01  // cores that overhead never takes
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
	att   *attempt
	work  float64
	wait  policy.Ms // that follows in its slot, without a core
	came  policy.Ms
	began policy.Ms
	ends  float64 // in the server's own progress; see machine.v
	gone  bool    // its attempt has ended while it waited for a slot
}

// machine is one server: limited processor sharing. Up to Slots requests share the cores evenly, none gets more than
// one core; the others wait in order of arrival.
type machine struct {
	w            *world
	id           policy.ServerID
	zone         int
	cores, speed float64
	startedAt    policy.Ms // 0 = long ago
	coldShare    float64
	warmIn       policy.Ms
	phase        phase
	life         int // of its process

	v, rate float64 // work that each request in a slot has got since ever, and gets in a ms
	vAt     policy.Ms
	running []*job // a heap by ends
	waiting []*job // from head on
	head    int
	gone    int    // of waiting, from head on
	resting int    // in a slot, but waiting for others
	next    uint64 // number of the completion that counts

	host     *host   // what it runs on
	failing  float64 // part of the requests that it fails
	slow     float64 // times the work that a request needs here
	mute     bool    // probes are turned away
	paused   bool
	jammed   bool
	crowded  policy.Ms // since when too many wait; -1 = they don't
	idle     policy.Ms // since when it is mostly idle; -1 = it is not
	jamAt    policy.Ms
	overhead float64 // cores that probes and handshakes take

	conns      []*conn
	probeRoom  float64 // probes that are still allowed
	probeAt    policy.Ms
	reportAt   policy.Ms
	reportRIF  float64
	latency    policy.Ms // recent service time, without waiting
	pressure   []push    // while it is cold, for TipWindow
	pushed     float64   // their sum
	probes     int
	maxConns   int
	sumConns   float64
	liveChecks int
}

// host is what processes run on, one after another.
type host struct {
	now   *machine
	taken []float64 // parts of it that neighbours have at present, in a place for each neighbour
}

// push is work that has reached a cold server.
type push struct {
	at   policy.Ms
	work float64
	from *sidecar
	told bool // the sidecar had been told of the start
}

func (m *machine) held() int { return len(m.running) + m.resting + len(m.waiting) - m.head - m.gone }

func (m *machine) warmth() float64 {
	if m.startedAt <= 0 || m.warmIn <= 0 {
		return 1
	}
	return min(1, m.coldShare+(1-m.coldShare)*(m.w.now-m.startedAt)/m.warmIn)
}

// capacity is the work that a process does in a ms when all is well with it.
func (m *machine) capacity() float64 { return m.cores * m.speed * m.warmth() }

// power is the work that it does in a ms with all cores busy, as things are.
func (m *machine) power() float64 {
	set := &m.w.cfg.Server
	p := m.capacity()
	for _, taken := range m.host.taken {
		p *= 1 - taken
	}
	crowd := float64(m.held())/m.cores - set.CrowdFrom
	p *= 1 - min(set.CrowdMost, max(0, set.CrowdLoss*crowd))
	p *= 1 - set.TableLoss*float64(len(m.conns))/float64(set.Connections)
	if m.jammed {
		p /= set.JamSlow
	}
	return max(leastPower, p-m.overhead)
}

// settle brings progress up to now; resume, after a change, says when the next request will be done.
func (m *machine) settle() {
	m.v += m.rate * (m.w.now - m.vAt)
	m.vAt = m.w.now
	if every := m.w.cfg.Server.ReportEvery; m.w.now-m.reportAt >= every {
		m.reportAt = every * math.Floor(m.w.now/every) // what is held has not changed since then
		m.reportRIF = float64(m.held())
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
	m.w.after((m.running[0].ends-m.v)/m.rate, func() {
		if n == m.next {
			m.complete()
		}
	})
}

// watchJam notes since when too many wait or it is mostly idle.
func (m *machine) watchJam() {
	set := &m.w.cfg.Server
	held, cores := float64(m.held()), m.cores
	note := func(since *policy.Ms, is bool) {
		if !is {
			*since = -1
		} else if *since < 0 {
			*since = m.w.now
		}
	}
	note(&m.crowded, held-cores > set.JamWaiting*cores)
	note(&m.idle, held <= set.JamIdle*cores)
}

// tick looks at what moves by itself.
func (m *machine) tick() {
	set, now := &m.w.cfg.Server, m.w.now
	m.settle()
	m.overhead *= math.Exp(-tickEvery / overheadFade)
	switch {
	case !m.jammed && m.crowded >= 0 && now-m.crowded >= set.JamAfter:
		m.jammed, m.jamAt = true, now
		m.w.judge.jams++
	case m.jammed && (m.idle >= 0 && now-m.idle >= set.JamClears || now-m.jamAt >= set.JamMost):
		m.jammed, m.crowded = false, -1
	}
	m.resume()
}

// busy adds work beside the queue.
func (m *machine) busy(work float64) { m.overhead += work / overheadFade }

// take is a request's last byte at the server.
func (m *machine) take(a *attempt) {
	set := &m.w.cfg.Server
	m.press(a)
	if m.phase == dead { // it has just fallen
		return
	}
	switch {
	case m.failing > 0 && m.w.rngServers.Float64() < m.failing:
		m.w.after(failsAfter, func() { m.reply(a, policy.Failed, policy.Report{}) })
		return
	case m.phase == draining || m.held() >= set.Slots+set.Room:
		m.w.judge.turnedAway++
		m.reply(a, policy.Declined, policy.Report{})
		return
	}
	m.settle()
	class := &m.w.cfg.Classes[a.req.ask.class]
	j := &job{att: a, work: a.req.ask.work * m.slow, wait: a.req.ask.wait, came: m.w.now}
	if class.Noise > 0 {
		j.work *= lognormal(m.w.rngServers, 1, class.Noise)
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
	j.began, j.ends = m.w.now, m.v+j.work
	m.w.judge.waited(j.began - j.came)
	m.running = append(m.running, j)
	h, i := m.running, len(m.running)-1
	for ; i > 0 && j.ends < h[(i-1)/2].ends; i = (i - 1) / 2 {
		h[i] = h[(i-1)/2]
	}
	h[i] = j
}

// drop takes a out of the waiting ones, if it is still among them.
func (m *machine) drop(a *attempt, life int) {
	if j := a.queued; j != nil && m.life == life {
		a.queued, j.gone = nil, true
		m.gone++
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
		if c+1 < len(h) && h[c+1].ends < h[c].ends {
			c++
		}
		if c >= len(h) || last.ends <= h[c].ends {
			h[i] = last
			break
		}
		h[i], i = h[c], c
	}
	m.w.judge.worked(j.work)
	if j.wait <= 0 {
		m.leave(j)
		return
	}
	m.resting++
	m.resume()
	life := m.life
	var leave func()
	leave = func() {
		switch {
		case life != m.life:
		case m.paused:
			m.w.after(tickEvery, leave)
		default:
			m.settle()
			m.resting--
			m.leave(j)
		}
	}
	m.w.after(j.wait, leave)
}

// leave answers j and gives its slot to the next.
func (m *machine) leave(j *job) {
	took := m.w.now - j.began
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
		if next.gone {
			m.gone--
			continue
		}
		next.att.queued, begun = nil, true
		m.begin(next)
	}
	m.resume()
	m.reply(j.att, policy.OK, policy.Report{})
}

// probe answers beside the queue. What it reports is as old as the latest refresh, and noisy.
func (m *machine) probe(a *attempt) {
	set, now := &m.w.cfg.Server, m.w.now
	m.probes++
	if m.paused { // nobody answers; the caller gives up long before it could be answered
		return
	}
	m.probeRoom = min(set.ProbesMost, m.probeRoom+(now-m.probeAt)*set.ProbesMost/1000)
	m.probeAt = now
	if m.mute || m.phase == draining || m.probeRoom < 1 {
		m.reply(a, policy.Failed, policy.Report{})
		return
	}
	m.probeRoom--
	m.settle()
	m.busy(set.ProbeWork)
	noise := func() float64 { return max(0, 1+set.ReportNoise*m.w.rngServers.NormFloat64()) }
	if set.NoReport {
		wait := 0.0
		if set.ProbesQueue { // it takes its turn among those in the slots
			wait = set.ProbeWork * max(m.cores, float64(len(m.running)+1)) / m.power()
		}
		m.w.after(wait, func() { m.reply(a, policy.OK, policy.Report{}) })
		return
	}
	m.reply(a, policy.OK, policy.Report{
		HasRIF: true, RIF: math.Round(m.reportRIF * noise()),
		HasLatency: true, Latency: m.latency * noise(),
	})
}

// reply sends the answer, which is lost with the process or the way.
func (m *machine) reply(a *attempt, status policy.Status, report policy.Report) {
	if a.conn.broken || !m.w.reaches(m, a.sc) {
		return
	}
	m.w.after(m.w.delay(m.zone, a.sc.zone), func() { a.sc.finish(a, status, report) })
}

// press counts what reaches a cold server, and fells it when that is more than it bears within the window.
func (m *machine) press(a *attempt) {
	if m.warmth() >= 1 {
		m.pressure, m.pushed = nil, 0
		return
	}
	rules := &m.w.cfg.Rules
	p := push{m.w.now, a.req.ask.work * m.slow, a.sc, a.sc.toldOf(m)}
	m.pressure = append(m.pressure, p)
	m.pushed += p.work
	for m.pressure[0].at < m.w.now-rules.TipWindow {
		m.pushed -= m.pressure[0].work
		m.pressure = m.pressure[1:]
	}
	if m.pushed > rules.TipMultiple*m.capacity()*rules.TipWindow {
		m.w.judge.fallen(m)
		m.die()
		m.w.dir.change(m, policy.Gone)
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
	m.life++
	m.v, m.running, m.waiting, m.head, m.gone, m.resting = 0, nil, nil, 0, 0, 0
	m.jammed, m.crowded, m.idle, m.latency, m.overhead = false, -1, -1, 0, 0
	m.pressure, m.pushed, m.reportRIF = nil, 0, 0
	conns := m.conns
	m.conns = nil
	for _, c := range conns {
		c.broken = true
		if a := c.att; a != nil {
			m.w.after(m.w.delay(m.zone, a.sc.zone), func() { a.sc.broke(a) })
		}
	}
	m.resume()
}

// start begins a new process, cold.
func (m *machine) start() {
	m.forget()
	m.phase, m.startedAt = serving, m.w.now
	rules, rng := &m.w.cfg.Rules, m.w.rngStarts
	m.coldShare = min(1, rules.ColdShare*(1+rng.Float64()/2))
	m.warmIn = rules.WarmWithin * (0.5 + rng.Float64()/2)
	m.w.dir.change(m, policy.Ready)
}

// sweep closes what has been idle for long, and counts.
func (m *machine) sweep() {
	for i := 0; i < len(m.conns); i++ {
		if c := m.conns[i]; c.att == nil && m.w.now-c.idleAt >= m.w.cfg.Server.Idle {
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
