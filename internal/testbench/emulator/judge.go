package emulator

import (
	"fmt"
	"math"

	"plankrouter/policy"
)

const (
	maxBreaches         = 20      // breaches that are reported for each rule; all are counted
	maxArrivalsShown    = 12      // number of the latest arrivals that the breach of an overloaded cold server lists
	minNotifiedFraction = 2.0 / 3 // least fraction of the work from notified sidecars for a cold server's overload to break a rule
	drainSlack          = 0.5     // ms after the drain grace in which a request may still be sent, to allow for rounding of times
)

// Rule is an invariant of every run. Its text is its name in reports.
type Rule string

// The rules, with their texts in reports.
const (
	OneResponse Rule = "one final answer for each request, in time"
	NoRerun     Rule = "nothing unsafe is sent again, or refused, after an attempt that may have run"
	OneAttempt  Rule = "one attempt of a request out at a time"
	Drained     Rule = "nothing new to a server that drains or is gone, after the grace"
	ColdServer  Rule = "no cold server pushed over"
)

// Breach is one violation of a rule.
type Breach struct {
	Rule    Rule     `json:"rule"`
	At      float64  `json:"at_s"`
	Sidecar int      `json:"sidecar"` // -1 = the breach concerns no single sidecar
	Request uint32   `json:"request"` // number of the request at the sidecar; 0 = none
	Server  uint32   `json:"server"`  // 0 = none
	What    string   `json:"what"`
	Steps   []string `json:"steps"` // events that led to the breach
}

// step is an event in the history of a request.
type step struct {
	time   policy.Ms
	what   string
	server policy.ServerID
	status policy.Status
}

var statusNames = [...]string{"ok", "failed", "full", "timed out", "no connection", "reset", "cancelled", "not sent"}

func (s step) String() string {
	line := fmt.Sprintf("%.4f s %s", (s.time-leadTime)/1000, s.what)
	if s.server != 0 {
		line += fmt.Sprintf(" server %d", s.server)
	}
	if s.what == "ended" {
		line += ": " + statusNames[s.status]
	}
	return line
}

// steps returns the history of a request as text.
func (j *judge) steps(r *request) []string {
	out := []string{fmt.Sprintf("class %s, client attempt %d", j.world.cfg.Classes[r.origin.class].Name, r.number)}
	for _, s := range r.log {
		out = append(out, s.String())
	}
	return out
}

// servedFraction sums the weights of requests and of those that were served in time.
type servedFraction struct{ requested, served float64 }

func (s servedFraction) ratio() float64 {
	if s.requested == 0 {
		return 1
	}
	return s.served / s.requested
}

// judge observes every event, checks the rules and counts.
type judge struct {
	world    *world
	breaches []Breach
	broken   map[Rule]int
	timeline []string

	all           servedFraction
	seconds       []servedFraction // one for each second of the run, by the request's arrival
	inTime        []servedFraction // like seconds, but with a weight of 1 for each request
	classes       []servedFraction
	tenants       []servedFraction // one for each tenant, of the requests within its quota
	quota         []bucket
	rows          []Row
	tally         Row // counts of the current second
	late          int
	clientsLeft   int
	lost          int
	servedCount   int
	requestCount  int
	inObjective   int
	latencySum    float64 // sum of the latencies in ms of served requests, from the first client attempt on
	workDone      float64
	workUsed      float64
	workRequested float64
	waitSum       float64 // sum of the waits for a slot in ms of started jobs
	startedJobs   int

	attempts, crossZone, probes, handshakes, rejected, jams, coldOverloads int
}

// bucket is the token bucket of a tenant's quota. It holds the quota of one second, but at least 5 requests.
type bucket struct {
	tokens     float64
	refilledAt policy.Ms
}

func newJudge(w *world) *judge {
	j := &judge{
		world: w, broken: map[Rule]int{}, classes: make([]servedFraction, len(w.cfg.Classes)),
		tenants: make([]servedFraction, len(w.cfg.Tenants)), quota: make([]bucket, len(w.cfg.Tenants)),
		seconds: make([]servedFraction, int(math.Ceil(w.cfg.Seconds))),
		inTime:  make([]servedFraction, int(math.Ceil(w.cfg.Seconds))),
	}
	for t := range j.quota {
		j.quota[t] = bucket{max(5, w.cfg.quota(t)), leadTime}
	}
	return j
}

func (j *judge) breach(rule Rule, sc *sidecar, r *request, server policy.ServerID, steps []string, format string,
	args ...any,
) {
	if j.broken[rule]++; j.broken[rule] > maxBreaches {
		return
	}
	b := Breach{
		Rule: rule, At: (j.world.now - leadTime) / 1000, Sidecar: -1, Server: uint32(server), Steps: steps,
		What: fmt.Sprintf(format, args...),
	}
	if sc != nil {
		b.Sidecar = sc.number
	}
	if r != nil {
		b.Request = uint32(r.id)
	}
	j.breaches = append(j.breaches, b)
}

// ---- Counts of requests and responses.

// requestArrived counts a client request and returns whether it is within its tenant's quota.
func (j *judge) requestArrived(a *clientRequest) (withinQuota bool) {
	withinQuota = true
	if a.tenant >= 0 {
		q, k := j.world.cfg.quota(a.tenant), &j.quota[a.tenant]
		k.tokens, k.refilledAt = min(max(5, q), k.tokens+q*(j.world.now-k.refilledAt)/1000), j.world.now
		if withinQuota = k.tokens >= 1; withinQuota {
			k.tokens--
		}
	}
	a.withinQuota = withinQuota
	j.requestCount++
	j.tally.Requests++
	j.workRequested += a.work
	j.inTime[int((a.arrivedAt-leadTime)/1000)].requested++
	j.addOutcome(a, func(p *servedFraction, weight float64) { p.requested += weight })
	return withinQuota
}

// addOutcome calls do with the request's weight for each sum that includes the request.
func (j *judge) addOutcome(a *clientRequest, do func(p *servedFraction, weight float64)) {
	weight := j.world.cfg.Classes[a.class].PriorityWeight
	if !a.withinQuota {
		weight *= j.world.cfg.Rules.OverQuotaWeight
	}
	do(&j.all, weight)
	do(&j.classes[a.class], weight)
	do(&j.seconds[int((a.arrivedAt-leadTime)/1000)], weight)
	if a.tenant >= 0 && a.withinQuota {
		do(&j.tenants[a.tenant], weight)
	}
}

// served counts a server's response that a client has received.
func (j *judge) served(r *request) {
	a := r.origin
	class := &j.world.cfg.Classes[a.class]
	took := j.world.now - a.arrivedAt
	if took > class.DeadlineMs {
		return
	}
	j.servedCount++
	j.latencySum += took
	j.workUsed += r.work
	fraction := 1.0
	if took > class.LatencyObjectiveMs {
		j.late++
		j.tally.Late++
		fraction = class.LateWeight
	} else {
		j.inObjective++
		j.tally.InObjective++
		j.inTime[int((a.arrivedAt-leadTime)/1000)].served++
	}
	j.addOutcome(a, func(p *servedFraction, weight float64) { p.served += weight * fraction })
}

func (j *judge) waited(ms float64) {
	j.waitSum += ms
	j.startedJobs++
}

func (j *judge) probed() {
	j.probes++
	j.tally.Probes++
}

func (j *judge) worked(work float64) { j.workDone += work }

// ---- The rules.

func (j *judge) requestReceived(r *request) {
	j.log(r, step{what: "taken"})
}

func (j *judge) log(r *request, s step) {
	s.time = j.world.now
	r.log = append(r.log, s)
}

// attemptStarted checks a StartAttempt action before it is executed.
func (j *judge) attemptStarted(sc *sidecar, a *policy.Action, r *request) {
	if r == nil {
		j.breach(OneResponse, sc, nil, a.Server, nil, "request %d is sent, but it has ended", a.Request)
		return
	}
	j.log(r, step{what: "sent to", server: a.Server})
	switch {
	case r.answered:
		j.breach(OneResponse, sc, r, a.Server, j.steps(r), "sent after its final response")
	case r.attemptsInFlight > 0:
		j.breach(OneAttempt, sc, r, a.Server, j.steps(r), "sent while an attempt is in flight")
	case r.mayRun && j.world.cfg.Classes[r.origin.class].NonIdempotent:
		j.breach(NoRerun, sc, r, a.Server, j.steps(r), "sent again, though an attempt may have run")
	}
	j.attempts++
	j.tally.Attempts++
	if k := sc.known[a.Server]; k != nil {
		j.checkDrain(sc, r, k, "attempt started")
		if k.machine.zone != sc.zone {
			j.crossZone++
		}
	}
}

// checkDrain checks that an attempt respects the server's drain, both when it is started and when its first byte is sent.
func (j *judge) checkDrain(sc *sidecar, r *request, k *knownServer, what string) {
	if late := j.world.now - k.notifiedAt - j.world.cfg.Rules.DrainGrace; k.health != policy.Ready && late > drainSlack {
		notified := step{time: k.notifiedAt, what: "notified of the drain", server: k.machine.id}
		j.breach(Drained, sc, r, k.machine.id, append([]string{notified.String()}, j.steps(r)...),
			"%s %.0f ms after the drain's grace", what, late)
	}
}

func (j *judge) attemptEnded(a *attempt, s policy.Status) {
	j.log(a.request, step{what: "ended", server: a.machine.id, status: s})
	if s == policy.TimedOut {
		j.tally.TimedOut++
	}
}

// finalResponse checks a RejectRequest or FailRequest action before it is executed.
func (j *judge) finalResponse(sc *sidecar, id policy.RequestID, r *request, kind policy.ActionKind) {
	if r == nil {
		j.breach(OneResponse, sc, nil, 0, nil, "another final response to request %d, which has ended", id)
		return
	}
	what := "failed"
	if kind == policy.RejectRequest {
		what = "refused"
	}
	j.log(r, step{what: what})
	switch {
	case r.answered:
		j.breach(OneResponse, sc, r, 0, j.steps(r), "a second final response")
		return
	case kind == policy.RejectRequest && (r.mayRun || r.attemptsInFlight > 0) && j.world.cfg.Classes[r.origin.class].NonIdempotent:
		j.breach(NoRerun, sc, r, 0, j.steps(r), "rejected, though an attempt may have run: its client will retry")
	}
	if kind == policy.RejectRequest {
		j.tally.Rejected++
	} else {
		j.tally.Failed++
	}
}

// overdue records a request without a final response after the timeout of its client.
func (j *judge) overdue(sc *sidecar, r *request) {
	j.breach(OneResponse, sc, r, 0, j.steps(r), "no final response %.0f ms after its timeout", j.world.cfg.Rules.ResponseSlack)
}

// coldServerOverloaded records the overload of a server in slow start. It breaks the rule if two thirds of the work came from
// sidecars that had been notified of the server's start.
func (j *judge) coldServerOverloaded(m *machine) {
	j.coldOverloads++
	notifiedWork := 0.0
	for _, p := range m.arrivals {
		if p.notified {
			notifiedWork += p.work
		}
	}
	j.world.note("server %d overloaded in slow start: %.0f ms of work in %.1f s at %.2f of its capacity", m.id, m.arrivedWork,
		j.world.cfg.Rules.OverloadWindow/1000, m.slowStartFraction())
	if notifiedWork < minNotifiedFraction*m.arrivedWork {
		return
	}
	var lines []string
	for _, p := range m.arrivals[max(0, len(m.arrivals)-maxArrivalsShown):] {
		lines = append(lines, fmt.Sprintf("%.4f s sidecar %d sends %.1f ms of work", (p.time-leadTime)/1000, p.from.number,
			p.work))
	}
	j.breach(ColdServer, nil, nil, m.id, lines,
		"started %.2f s ago, %.0f ms of work in %.1f s, above the limit of %.0f, in %d attempts",
		(j.world.now-m.startedAt)/1000, m.arrivedWork, j.world.cfg.Rules.OverloadWindow/1000,
		j.world.cfg.Rules.OverloadMultiple*m.capacity()*j.world.cfg.Rules.OverloadWindow, len(m.arrivals))
}
