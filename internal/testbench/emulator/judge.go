package emulator

import (
	"fmt"
	"math"

	"plankrouter/policy"
)

const (
	breachesKept = 20 // of each rule; all are counted
	pushesShown  = 12 // of those that felled a server
	notifiedPart = 2.0 / 3
	slackMs      = 0.5 // a sidecar's last moment for a first byte is its grace, give or take what a clock shows
)

// Rule is one of the rules that no day may break.
type Rule string

// The rules.
const (
	OneAnswer  Rule = "one final answer for each request, in time"
	NoRerun    Rule = "nothing unsafe is sent again, or refused, after an attempt that may have run"
	OneAttempt Rule = "one attempt of a request out at a time"
	Drained    Rule = "nothing new to a server that drains or is gone, after the grace"
	ColdServer Rule = "no cold server pushed over"
)

// Breach is one case of a broken rule.
type Breach struct {
	Rule    Rule     `json:"rule"`
	At      float64  `json:"at_s"`
	Sidecar int      `json:"sidecar"` // -1 = not one alone
	Request uint32   `json:"request"` // the sidecar's number of it; 0 = none
	Server  uint32   `json:"server"`  // 0 = none
	What    string   `json:"what"`
	Steps   []string `json:"steps"` // what led to it
}

// step is a line of a request's story.
type step struct {
	time   policy.Ms
	what   string
	server policy.ServerID
	status policy.Status
}

var statusNames = [...]string{"ok", "failed", "full", "timed out", "no connection", "reset", "cancelled", "not sent"}

func (s step) String() string {
	line := fmt.Sprintf("%.4f s %s", (s.time-lead)/1000, s.what)
	if s.server != 0 {
		line += fmt.Sprintf(" server %d", s.server)
	}
	if s.what == "ended" {
		line += ": " + statusNames[s.status]
	}
	return line
}

func (j *judge) steps(r *request) []string {
	out := []string{fmt.Sprintf("class %s, try %d", j.world.cfg.Classes[r.origin.class].Name, r.number)}
	for _, s := range r.log {
		out = append(out, s.String())
	}
	return out
}

// servedFraction is how much was requested, by weight, and how much of that was answered in time.
type servedFraction struct{ requested, served float64 }

func (s servedFraction) ratio() float64 {
	if s.requested == 0 {
		return 1
	}
	return s.served / s.requested
}

// judge sees every event, checks the rules and counts.
type judge struct {
	world    *world
	breaches []Breach
	broken   map[Rule]int
	timeline []string

	all           servedFraction
	seconds       []servedFraction // by the second of the arrival
	inTime        []servedFraction // the same, each request counting for one
	classes       []servedFraction
	tenants       []servedFraction // within their shares
	quota         []bucket
	rows          []Row
	tally         Row // of the second that runs
	late          int
	left          int
	lost          int
	servedCount   int
	requestCount  int
	inObjective   int
	took          float64 // sum over what was served, from the first try on
	workDone      float64
	workUsed      float64
	workRequested float64
	waits         float64
	begun         int

	attempts, crossZone, probes, handshakes, rejected, jams, falls int
}

// bucket is a tenant's share: a second's quota may come at once.
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
		j.quota[t] = bucket{max(5, w.cfg.quota(t)), lead}
	}
	return j
}

func (j *judge) breach(rule Rule, sc *sidecar, r *request, server policy.ServerID, steps []string, format string,
	args ...any,
) {
	if j.broken[rule]++; j.broken[rule] > breachesKept {
		return
	}
	b := Breach{
		Rule: rule, At: (j.world.now - lead) / 1000, Sidecar: -1, Server: uint32(server), Steps: steps,
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

// ---- What is requested and served.

// requestArrived notes a first try and says whether it is within its tenant's share.
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
	j.inTime[int((a.arrivedAt-lead)/1000)].requested++
	j.addOutcome(a, func(p *servedFraction, worth float64) { p.requested += worth })
	return withinQuota
}

// addOutcome does do for all that a request counts to.
func (j *judge) addOutcome(a *clientRequest, do func(p *servedFraction, weight float64)) {
	weight := j.world.cfg.Classes[a.class].PriorityWeight
	if !a.withinQuota {
		weight *= j.world.cfg.Rules.OverQuotaWeight
	}
	do(&j.all, weight)
	do(&j.classes[a.class], weight)
	do(&j.seconds[int((a.arrivedAt-lead)/1000)], weight)
	if a.tenant >= 0 && a.withinQuota {
		do(&j.tenants[a.tenant], weight)
	}
}

// served notes the answer that a client got for its request.
func (j *judge) served(r *request) {
	a := r.origin
	class := &j.world.cfg.Classes[a.class]
	took := j.world.now - a.arrivedAt
	if took > class.DeadlineMs {
		return
	}
	j.servedCount++
	j.took += took
	j.workUsed += r.work
	fraction := 1.0
	if took > class.LatencyObjectiveMs {
		j.late++
		j.tally.Late++
		fraction = class.LateWeight
	} else {
		j.inObjective++
		j.tally.InObjective++
		j.inTime[int((a.arrivedAt-lead)/1000)].served++
	}
	j.addOutcome(a, func(p *servedFraction, worth float64) { p.served += worth * fraction })
}

func (j *judge) waited(ms float64) {
	j.waits += ms
	j.begun++
}

func (j *judge) probed() {
	j.probes++
	j.tally.Probes++
}

func (j *judge) worked(work float64) { j.workDone += work }

// ---- The rules.

func (j *judge) arrived(r *request) {
	j.log(r, step{what: "taken"})
}

func (j *judge) log(r *request, s step) {
	s.time = j.world.now
	r.log = append(r.log, s)
}

// sent is the policy's Send, before it is carried out.
func (j *judge) sent(sc *sidecar, a *policy.Action, r *request) {
	if r == nil {
		j.breach(OneAnswer, sc, nil, a.Server, nil, "request %d is sent, but it has ended", a.Request)
		return
	}
	j.log(r, step{what: "sent to", server: a.Server})
	switch {
	case r.answered:
		j.breach(OneAnswer, sc, r, a.Server, j.steps(r), "sent after its final answer")
	case r.attemptsInFlight > 0:
		j.breach(OneAttempt, sc, r, a.Server, j.steps(r), "sent while an attempt is out")
	case r.mayRun && j.world.cfg.Classes[r.origin.class].NonIdempotent:
		j.breach(NoRerun, sc, r, a.Server, j.steps(r), "sent again, though an attempt may have run")
	}
	j.attempts++
	j.tally.Attempts++
	if k := sc.known[a.Server]; k != nil {
		j.drained(sc, r, k, "it is sent")
		if k.machine.zone != sc.zone {
			j.crossZone++
		}
	}
}

// drained looks at a send, both when it is decided and when its first byte goes out.
func (j *judge) drained(sc *sidecar, r *request, k *knownServer, what string) {
	if late := j.world.now - k.notifiedAt - j.world.cfg.Rules.DrainGrace; k.health != policy.Ready && late > slackMs {
		notified := step{time: k.notifiedAt, what: "told to leave", server: k.machine.id}
		j.breach(Drained, sc, r, k.machine.id, append([]string{notified.String()}, j.steps(r)...),
			"%s %.0f ms after the grace", what, late)
	}
}

func (j *judge) ended(a *attempt, s policy.Status) {
	j.log(a.request, step{what: "ended", server: a.machine.id, status: s})
	if s == policy.TimedOut {
		j.tally.TimedOut++
	}
}

// answer is the policy's Refuse or Fail, before it is carried out.
func (j *judge) answer(sc *sidecar, id policy.RequestID, r *request, kind policy.ActionKind) {
	if r == nil {
		j.breach(OneAnswer, sc, nil, 0, nil, "request %d is answered again, though it has ended", id)
		return
	}
	what := "failed"
	if kind == policy.RejectRequest {
		what = "refused"
	}
	j.log(r, step{what: what})
	switch {
	case r.answered:
		j.breach(OneAnswer, sc, r, 0, j.steps(r), "answered a second time")
		return
	case kind == policy.RejectRequest && (r.mayRun || r.attemptsInFlight > 0) && j.world.cfg.Classes[r.origin.class].NonIdempotent:
		j.breach(NoRerun, sc, r, 0, j.steps(r), "refused, though an attempt may have run: its client will ask again")
	}
	if kind == policy.RejectRequest {
		j.tally.Rejected++
	} else {
		j.tally.Failed++
	}
}

// overdue is a request without an answer when its try is over.
func (j *judge) overdue(sc *sidecar, r *request) {
	j.breach(OneAnswer, sc, r, 0, j.steps(r), "no answer %.0f ms after its time", j.world.cfg.Rules.AnswerSlack)
}

// fallen is a cold server that got too much. The rule is broken where two thirds of it came from sidecars that had been
// told of its start.
func (j *judge) fallen(m *machine) {
	j.falls++
	notifiedWork := 0.0
	for _, p := range m.arrivals {
		if p.notified {
			notifiedWork += p.work
		}
	}
	j.world.note("server %d is pushed over: %.0f ms of work in %.1f s at %.2f of its capacity", m.id, m.arrivedWork,
		j.world.cfg.Rules.OverloadWindow/1000, m.slowStartFraction())
	if notifiedWork < notifiedPart*m.arrivedWork {
		return
	}
	var lines []string
	for _, p := range m.arrivals[max(0, len(m.arrivals)-pushesShown):] {
		lines = append(lines, fmt.Sprintf("%.4f s sidecar %d brings %.1f ms of work", (p.time-lead)/1000, p.from.number,
			p.work))
	}
	j.breach(ColdServer, nil, nil, m.id, lines,
		"started %.2f s ago, %.0f ms of work in %.1f s where %.0f fell it, by %d sends",
		(j.world.now-m.startedAt)/1000, m.arrivedWork, j.world.cfg.Rules.OverloadWindow/1000,
		j.world.cfg.Rules.OverloadMultiple*m.capacity()*j.world.cfg.Rules.OverloadWindow, len(m.arrivals))
}
