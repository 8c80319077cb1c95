package emulator

import (
	"math"

	"plankrouter/policy"
)

const (
	tickInterval = 50.0  // ms between looks at what moves by itself: warmth, jams, overhead
	latencyStep  = 0.1   // part of the way that a reported service time moves with a request
	overheadFade = 500.0 // ms over which the work of probes and handshakes is spread
	failureTime  = 2.0   // ms in which a failing server answers
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
	rejectsProbes   bool    // probes are rejected
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
	settings := &m.world.cfg.Server
	p := m.capacity()
	for _, taken := range m.host.taken {
		p *= 1 - taken
	}
	overload := float64(m.inFlight())/m.cores - settings.OverloadFrom
	p *= 1 - min(settings.MaxOverloadLoss, max(0, settings.OverloadLoss*overload))
	p *= 1 - settings.TableLoss*float64(len(m.conns))/float64(settings.Connections)
	if m.jammed {
		p /= settings.JamSlow
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
	m.overhead *= math.Exp(-tickInterval / overheadFade)
	switch {
	case !m.jammed && m.overloadedSince >= 0 && now-m.overloadedSince >= set.JamAfter:
		m.jammed, m.jammedAt = true, now
		m.world.judge.jams++
	case m.jammed && (m.idleSince >= 0 && now-m.idleSince >= set.JamClears || now-m.jammedAt >= set.MaxJam):
		m.jammed, m.overloadedSince = false, -1
	}
	m.resume()
}

// addOverhead adds work beside the queue.
func (m *machine) addOverhead(work float64) { m.overhead += work / overheadFade }

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
	m.addOverhead(set.ProbeWork)
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
