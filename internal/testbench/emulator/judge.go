package emulator

import (
	"fmt"
	"math"
	"plankrouter/policy"
)

const (
	breachesKept = 20 // of each rule; all are counted
	pushesShown  = 12 // of those that felled a server
	toldPart     = 2.0 / 3
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
	at     policy.Ms
	what   string
	server policy.ServerID
	status policy.Status
}

var statusNames = [...]string{"ok", "failed", "full", "timed out", "no connection", "reset", "cancelled", "not sent"}

func (s step) String() string {
	line := fmt.Sprintf("%.4f s %s", (s.at-lead)/1000, s.what)
	if s.server != 0 {
		line += fmt.Sprintf(" server %d", s.server)
	}
	if s.what == "ended" {
		line += ": " + statusNames[s.status]
	}
	return line
}

func (j *judge) steps(r *request) []string {
	out := []string{fmt.Sprintf("class %s, try %d", j.w.cfg.Classes[r.ask.class].Name, r.number)}
	for _, s := range r.log {
		out = append(out, s.String())
	}
	return out
}

// part is worth: how much was asked for and how much of that was answered in time.
type part struct{ asked, got float64 }

func (p part) share() float64 {
	if p.asked == 0 {
		return 1
	}
	return p.got / p.asked
}

// judge sees every event, checks the rules and counts.
type judge struct {
	w        *world
	breaches []Breach
	broken   map[Rule]int
	timeline []string

	all      part
	seconds  []part // by the second of the arrival
	inTime   []part // the same, each request counting for one
	classes  []part
	tenants  []part // within their shares
	quota    []bucket
	rows     []Row
	tally    Row // of the second that runs
	late     int
	left     int
	lost     int
	servedN  int
	askedN   int
	inAim    int
	took     float64 // sum over what was served, from the first try on
	workDone float64
	workUsed float64
	workAsk  float64
	waits    float64
	begun    int

	attempts, crossings, probes, handshakes, turnedAway, jams, falls int
}

// bucket is a tenant's share: a second's quota may come at once.
type bucket struct {
	v  float64
	at policy.Ms
}

func newJudge(w *world) *judge {
	j := &judge{
		w: w, broken: map[Rule]int{}, classes: make([]part, len(w.cfg.Classes)),
		tenants: make([]part, len(w.cfg.Tenants)), quota: make([]bucket, len(w.cfg.Tenants)),
		seconds: make([]part, int(math.Ceil(w.cfg.Seconds))),
		inTime:  make([]part, int(math.Ceil(w.cfg.Seconds))),
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
		Rule: rule, At: (j.w.now - lead) / 1000, Sidecar: -1, Server: uint32(server), Steps: steps,
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

// ---- What is asked for and served.

// asked notes a first try and says whether it is within its tenant's share.
func (j *judge) asked(a *ask) (inShare bool) {
	inShare = true
	if a.tenant >= 0 {
		q, k := j.w.cfg.quota(a.tenant), &j.quota[a.tenant]
		k.v, k.at = min(max(5, q), k.v+q*(j.w.now-k.at)/1000), j.w.now
		if inShare = k.v >= 1; inShare {
			k.v--
		}
	}
	a.inShare = inShare
	j.askedN++
	j.tally.Asked++
	j.workAsk += a.work
	j.inTime[int((a.at-lead)/1000)].asked++
	j.each(a, func(p *part, worth float64) { p.asked += worth })
	return inShare
}

// each does do for all that a request counts to.
func (j *judge) each(a *ask, do func(p *part, worth float64)) {
	worth := j.w.cfg.Classes[a.class].Worth
	if !a.inShare {
		worth *= j.w.cfg.Rules.OverWorth
	}
	do(&j.all, worth)
	do(&j.classes[a.class], worth)
	do(&j.seconds[int((a.at-lead)/1000)], worth)
	if a.tenant >= 0 && a.inShare {
		do(&j.tenants[a.tenant], worth)
	}
}

// served notes the answer that a client got for its request.
func (j *judge) served(r *request) {
	a := r.ask
	class := &j.w.cfg.Classes[a.class]
	took := j.w.now - a.at
	if took > class.DeadlineMs {
		return
	}
	j.servedN++
	j.took += took
	j.workUsed += r.work
	share := 1.0
	if took > class.AimMs {
		j.late++
		j.tally.Late++
		share = class.LateWorth
	} else {
		j.inAim++
		j.tally.InAim++
		j.inTime[int((a.at-lead)/1000)].got++
	}
	j.each(a, func(p *part, worth float64) { p.got += worth * share })
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
	s.at = j.w.now
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
	case r.out > 0:
		j.breach(OneAttempt, sc, r, a.Server, j.steps(r), "sent while an attempt is out")
	case r.mayRun && j.w.cfg.Classes[r.ask.class].Unsafe:
		j.breach(NoRerun, sc, r, a.Server, j.steps(r), "sent again, though an attempt may have run")
	}
	j.attempts++
	j.tally.Sent++
	if k := sc.known[a.Server]; k != nil {
		j.drained(sc, r, k, "it is sent")
		if k.at.zone != sc.zone {
			j.crossings++
		}
	}
}

// drained looks at a send, both when it is decided and when its first byte goes out.
func (j *judge) drained(sc *sidecar, r *request, k *listed, what string) {
	if late := j.w.now - k.toldAt - j.w.cfg.Rules.Grace; k.health != policy.Ready && late > slackMs {
		told := step{at: k.toldAt, what: "told to leave", server: k.at.id}
		j.breach(Drained, sc, r, k.at.id, append([]string{told.String()}, j.steps(r)...),
			"%s %.0f ms after the grace", what, late)
	}
}

func (j *judge) ended(a *attempt, s policy.Status) {
	j.log(a.req, step{what: "ended", server: a.at.id, status: s})
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
	case kind == policy.RejectRequest && (r.mayRun || r.out > 0) && j.w.cfg.Classes[r.ask.class].Unsafe:
		j.breach(NoRerun, sc, r, 0, j.steps(r), "refused, though an attempt may have run: its client will ask again")
	}
	if kind == policy.RejectRequest {
		j.tally.Refused++
	} else {
		j.tally.Failed++
	}
}

// overdue is a request without an answer when its try is over.
func (j *judge) overdue(sc *sidecar, r *request) {
	j.breach(OneAnswer, sc, r, 0, j.steps(r), "no answer %.0f ms after its time", j.w.cfg.Rules.AnswerSlack)
}

// fallen is a cold server that got too much. The rule is broken where two thirds of it came from sidecars that had been
// told of its start.
func (j *judge) fallen(m *machine) {
	j.falls++
	told := 0.0
	for _, p := range m.pressure {
		if p.told {
			told += p.work
		}
	}
	j.w.note("server %d is pushed over: %.0f ms of work in %.1f s at %.2f of its capacity", m.id, m.pushed,
		j.w.cfg.Rules.TipWindow/1000, m.warmth())
	if told < toldPart*m.pushed {
		return
	}
	var lines []string
	for _, p := range m.pressure[max(0, len(m.pressure)-pushesShown):] {
		lines = append(lines, fmt.Sprintf("%.4f s sidecar %d brings %.1f ms of work", (p.at-lead)/1000, p.from.number,
			p.work))
	}
	j.breach(ColdServer, nil, nil, m.id, lines,
		"started %.2f s ago, %.0f ms of work in %.1f s where %.0f fell it, by %d sends",
		(j.w.now-m.startedAt)/1000, m.pushed, j.w.cfg.Rules.TipWindow/1000,
		j.w.cfg.Rules.TipMultiple*m.capacity()*j.w.cfg.Rules.TipWindow, len(m.pressure))
}
