package emulator

import (
	"math"

	"plankrouter/policy"
)

const (
	tickInterval         = 50.0  // ms between two calls of machine.tick, which updates slow start, jams and overhead
	latencyWeight        = 0.1   // weight of one request in the moving average of the reported service time
	overheadTimeConstant = 500.0 // time constant in ms over which the work of probes and handshakes is spread
	failureTime          = 2.0   // ms until a failing server responds
	minPower             = 0.01  // lower limit of a server's work per ms, whatever the overhead
)

// phase is the state of a machine's process.
type phase uint8

const (
	serving phase = iota
	draining
	silent // unreachable, which discovery does not notice
	dead   // no process: connections are refused
)

// machine is one server, a model of limited processor sharing: up to Slots requests share the cores evenly, with at most one
// core each; the others wait in order of arrival.
type machine struct {
	world         *world
	id            policy.ServerID
	zone          int
	cores, speed  float64
	startedAt     policy.Ms // 0 = before the run
	startCapacity float64
	warmUpTime    policy.Ms
	phase         phase
	incarnation   int // changes with its process

	progress, rate float64 // work done for each running request since the process started, and work per ms at present
	progressAt     policy.Ms
	running        []*job // a heap by endsAt
	waiting        []*job // in order of arrival; the jobs before index head have left the queue
	head           int
	cancelled      int    // number of cancelled jobs in waiting, from head on
	blocked        int    // number of jobs that hold a slot, but no core, while they wait for other services
	completionSeq  uint64 // number of the latest scheduled completion; completions scheduled before are ignored

	host            *host   // host on which the process runs
	failing         float64 // fraction of the requests that the server fails
	slow            float64 // factor on the work of a request
	rejectsProbes   bool
	paused          bool
	jammed          bool
	overloadedSince policy.Ms // since when the requests in flight exceed JamWaiting; -1 = they don't
	idleSince       policy.Ms // since when the requests in flight are within JamIdle; -1 = they are not
	jammedAt        policy.Ms
	overhead        float64 // work per ms that probes and handshakes take

	conns         []*conn
	probeTokens   float64 // tokens in the bucket that enforces Server.MaxProbes
	probeTokensAt policy.Ms
	reportedAt    policy.Ms
	reportedRIF   float64
	latency       policy.Ms     // moving average of the service time, without the wait for a slot
	arrivals      []coldArrival // requests that arrived during slow start within the last OverloadWindow
	arrivedWork   float64       // sum of the work of arrivals
	probes        int
	maxConns      int
	sumConns      float64
	connSamples   int // number of samples in sumConns
}

// host is the hardware that a server's processes use, one after another.
type host struct {
	current *machine
	taken   []float64 // fraction of the capacity that each neighbour (another program on the host) takes at present
}

func (m *machine) inFlight() int {
	return len(m.running) + m.blocked + len(m.waiting) - m.head - m.cancelled
}

func (m *machine) slowStartFraction() float64 {
	if m.startedAt <= 0 || m.warmUpTime <= 0 {
		return 1
	}
	return min(1, m.startCapacity+(1-m.startCapacity)*(m.world.now-m.startedAt)/m.warmUpTime)
}

// capacity returns the work per ms of the process without overload, jams (see Server.JamWaiting), neighbours and overhead.
func (m *machine) capacity() float64 { return m.cores * m.speed * m.slowStartFraction() }

// power returns the work per ms with all cores busy, in the present state.
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

// advance updates progress to the present time. It is called before each change of the state, and reschedule after the change.
func (m *machine) advance() {
	m.progress += m.rate * (m.world.now - m.progressAt)
	m.progressAt = m.world.now
	if every := m.world.cfg.Server.ReportEvery; m.world.now-m.reportedAt >= every {
		m.reportedAt = every * math.Floor(m.world.now/every) // the number of requests in flight has not changed since then
		m.reportedRIF = float64(m.inFlight())
	}
}

// reschedule schedules the completion of the next request at the present rate.
func (m *machine) reschedule() {
	m.completionSeq++
	m.updateJamTimers()
	m.rate = 0
	if len(m.running) == 0 || m.paused {
		return
	}
	m.rate = m.power() / max(m.cores, float64(len(m.running)))
	seq := m.completionSeq
	m.world.after((m.running[0].endsAt-m.progress)/m.rate, func() {
		if seq == m.completionSeq {
			m.complete()
		}
	})
}

// updateJamTimers records since when the server is overloaded or idle; tick starts and ends jams by these times.
func (m *machine) updateJamTimers() {
	set := &m.world.cfg.Server
	inFlight, cores := float64(m.inFlight()), m.cores
	update := func(since *policy.Ms, holds bool) {
		if !holds {
			*since = -1
		} else if *since < 0 {
			*since = m.world.now
		}
	}
	update(&m.overloadedSince, inFlight-cores > set.JamWaiting*cores)
	update(&m.idleSince, inFlight <= set.JamIdle*cores)
}

// tick updates what changes over time: overhead, jams and the rate at which requests run, which also depends on slow start.
func (m *machine) tick() {
	set, now := &m.world.cfg.Server, m.world.now
	m.advance()
	m.overhead *= math.Exp(-tickInterval / overheadTimeConstant)
	switch {
	case !m.jammed && m.overloadedSince >= 0 && now-m.overloadedSince >= set.JamAfter:
		m.jammed, m.jammedAt = true, now
		m.world.judge.jams++
	case m.jammed && (m.idleSince >= 0 && now-m.idleSince >= set.JamClears || now-m.jammedAt >= set.MaxJam):
		m.jammed, m.overloadedSince = false, -1
	}
	m.reschedule()
}

// addOverhead adds work that takes capacity from the requests.
func (m *machine) addOverhead(work float64) { m.overhead += work / overheadTimeConstant }

// probe responds to a probe, which does not wait for a slot. The reported RIF is that of the last update; RIF and latency are
// noisy.
func (m *machine) probe(a *attempt) {
	set, now := &m.world.cfg.Server, m.world.now
	m.probes++
	if m.paused { // no response: probes time out long before a pause ends
		return
	}
	m.probeTokens = min(set.MaxProbes, m.probeTokens+(now-m.probeTokensAt)*set.MaxProbes/1000)
	m.probeTokensAt = now
	if m.rejectsProbes || m.phase == draining || m.probeTokens < 1 {
		m.reply(a, policy.Failed, policy.Report{})
		return
	}
	m.probeTokens--
	m.advance()
	m.addOverhead(set.ProbeWork)
	noise := func() float64 { return max(0, 1+set.ReportNoise*m.world.rngServers.NormFloat64()) }
	if set.NoReport {
		wait := 0.0
		if set.ProbesQueue { // the probe shares the cores with the running requests
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

// reply sends a response, unless the connection is closed or the sidecar is unreachable.
func (m *machine) reply(a *attempt, status policy.Status, report policy.Report) {
	if a.conn.closed || !m.world.reachable(m, a.sidecar) {
		return
	}
	m.world.after(m.world.delay(m.zone, a.sidecar.zone), func() { a.sidecar.finish(a, status, report) })
}
