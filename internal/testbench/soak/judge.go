package soak

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// What the rules allow, measured at clients and servers.
const (
	answerSlack     = 500 * time.Millisecond // an answer that comes later is as good as none
	drainSlack      = 50 * time.Millisecond
	goneSlack       = 100 * time.Millisecond
	deadlineSlack   = 150 * time.Millisecond
	maxNotifyDelay  = 6 * time.Second // of a change, while the watch is silent
	badClientWithin = 3 * time.Second
	stallNear       = 300 * time.Millisecond // of a moment, in which a stall of this process blurs it
)

// Rule is one that the judge looks at.
type Rule string

// The rules.
const (
	Lost           Rule = "lost"      // a request without its final answer
	RunTwice       Rule = "twice"     // an order that may have run goes out again
	FalseRejection Rule = "promise"   // a refusal of an order that may have run
	RetryWindow    Rule = "window"    // a repeat with a token beyond its window
	ClientGone     Rule = "gone"      // an attempt for a client that has left
	Deadline       Rule = "deadline"  // an attempt carries more time than its client has left
	Drain          Rule = "drain"     // an attempt at a server that drains or is gone
	Order          Rule = "order"     // an attempt at a server that operators have taken out
	SlowStart      Rule = "slowstart" // too much for a cold server
	WrongResponse  Rule = "foreign"   // an answer of another request
	BadClient      Rule = "badclient" // half a request without an error or an end
	Process        Rule = "process"   // a crash, a late start, or what a sidecar logs of its own guards
)

// Violation is a rule that was broken.
type Violation struct {
	Rule   Rule
	At     time.Duration // from the run's start
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%-9s at %8.3fs  %s", v.Rule, v.At.Seconds(), v.Detail)
}

// learnedServer is a sidecar and a server.
type learnedServer struct {
	sidecar int
	server  string
}

// attempt is a request as a server has seen it.
type attempt struct {
	fakes.Request
	sidecar int
}

// drainingServer is a server that drains or is gone.
type drainingServer struct {
	server string
	since  time.Time // discovery had it
}

// order is an operator's order that a sidecar has acknowledged.
type order struct {
	sidecar                   int
	server                    string
	acknowledgedAt, revokedAt time.Time // to: it was taken back; zero = it was not
}

// outage is a time in which discovery did not send its changes.
type outage struct {
	kind     Kind
	from, to time.Time
}

// record is what a run has left behind.
type record struct {
	start             time.Time
	window            time.Duration // of repeats with a token
	onRequest         bool          // discovery is polled on request: its changes count as known later
	slack             time.Duration // by which the machine's load blurs what is measured at the other end of a socket
	stalls            []span        // in which this process itself was stalled
	requests          []*request
	attempts          []attempt
	draining          []drainingServer
	outages           []outage
	orders            []order
	starts            map[string][]time.Time        // of servers' processes that were cold, by id
	processStarts     map[int][]time.Time           // of sidecars' processes, by number
	learnedAt         map[learnedServer][]time.Time // when a sidecar has logged that a server leaves
	killed            func(sidecar int, from, to time.Time) bool
	shutdowns         map[int][]span // from SIGTERM to the kill in its time, by sidecar
	longStalls        int            // stalls that this process made longer than they were to be
	unansweredPartial int            // clients that sent half a request and had neither answer nor end
	faults            map[string][]string
}

// judge returns what was broken, in the order of time.
func (r *record) judge() (all []Violation) {
	add := func(rule Rule, at time.Time, format string, args ...any) {
		all = append(all, Violation{rule, at.Sub(r.start), fmt.Sprintf(format, args...)})
	}
	byID := map[string][]attempt{}
	for _, a := range r.attempts {
		byID[a.ID] = append(byID[a.ID], a)
	}
	for _, q := range r.requests {
		tries := byID[q.id]
		slices.SortFunc(tries, func(a, b attempt) int { return a.Sent.Compare(b.Sent) })
		r.judgeAnswer(q, add)
		r.judgeResent(q, tries, add)
		r.judgeEffect(q, tries, add)
		r.judgeTimes(q, tries, add)
	}
	r.judgeDraining(add)
	r.judgeOrders(add)
	r.judgeStarts(add)
	if r.unansweredPartial > 0 {
		add(BadClient, r.start, "%d clients that sent half a request had neither an error nor an end within %s", r.unansweredPartial, badClientWithin)
	}
	for name, lines := range r.faults {
		for _, line := range lines {
			add(Process, r.start, "%s: %s", name, line)
		}
	}
	slices.SortStableFunc(all, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return all
}

type adder func(rule Rule, at time.Time, format string, args ...any)

// judgeAnswer looks for the one final answer.
func (r *record) judgeAnswer(q *request, add adder) {
	latest := q.begunAt.Add(q.class.deadline + answerSlack)
	latest = latest.Add(r.slackAt(latest))
	switch {
	case q.unreachable || q.sentAt.IsZero() || !q.leftAt.IsZero() || r.killed(q.sidecar, q.begunAt, latest):
	case q.status == 0 && !q.truncated:
		add(Lost, q.sentAt, "%s: no answer (%s), new connection %t, sent again %t, %s after it had connected", q.id, q.err, q.newConnection, q.resent,
			q.sentAt.Sub(q.dialedAt))
	case q.answeredAt.After(latest):
		add(Lost, q.sentAt, "%s: answered %s after its deadline", q.id, q.answeredAt.Sub(q.begunAt)-q.class.deadline)
	case q.err != "" && q.status == 200:
		add(WrongResponse, q.answeredAt, "%s: %s", q.id, q.err)
	}
}

// judgeResent looks at a request whose kept connection ended without an answer, so that its client sent it again. It may have crossed the
// end of a connection that was at rest; but what was forwarded had been read, and what was open when its process was killed is lost.
func (r *record) judgeResent(q *request, tries []attempt, add adder) {
	first := q.firstSend
	if first.from.IsZero() || r.killed(q.sidecar, first.from, first.to) {
		return
	}
	for _, a := range tries {
		if a.Sent.Before(first.to) {
			add(Lost, first.from, "%s: forwarded to %s, and its connection ended without an answer %s after it was sent", q.id, a.Server, first.to.Sub(first.from))
			return
		}
	}
	for _, e := range r.shutdowns[q.sidecar] {
		if first.from.Before(e.to) && !first.to.Before(e.to) {
			add(Lost, first.from, "%s: sent %s after the word to end, open as the process was killed", q.id, first.from.Sub(e.from))
			return
		}
	}
}

// slackAt is what is allowed for at a moment: more where this process was stalled then.
func (r *record) slackAt(at time.Time) time.Duration {
	slack := r.slack
	for _, s := range r.stalls {
		if s.from.Before(at.Add(stallNear)) && s.to.After(at.Add(-stallNear)) {
			slack = max(slack, r.slack+2*s.to.Sub(s.from))
		}
	}
	return slack
}

// mayRun reports whether an attempt may have run, as far as its sidecar can tell.
func (a *attempt) mayRun() bool { return a.Outcome != fakes.Declined && a.Outcome != fakes.MissingID }

// judgeEffect looks at what may not run twice.
func (r *record) judgeEffect(q *request, tries []attempt, add adder) {
	var ran []attempt
	for _, a := range tries {
		if a.mayRun() {
			ran = append(ran, a)
		}
	}
	switch {
	case len(ran) == 0 || r.killed(q.sidecar, q.begunAt, q.begunAt.Add(q.class.deadline)):
		return
	case q.class.idempotency == "side_effect":
		if last := tries[len(tries)-1]; last.Sent.After(ran[0].Sent) {
			add(RunTwice, last.Sent, "%s: %s by %s, then sent to %s", q.id, ran[0].Outcome, ran[0].Server, last.Server)
		}
		if q.status == 429 || q.status == 503 {
			add(FalseRejection, q.answeredAt, "%s: refused with %d, %s by %s", q.id, q.status, ran[0].Outcome, ran[0].Server)
		}
	case q.class.idempotency == "token":
		if late := tries[len(tries)-1].Sent.Sub(ran[0].Sent) - r.window; late > drainSlack+r.slackAt(tries[len(tries)-1].Sent) {
			add(RetryWindow, tries[len(tries)-1].Sent, "%s: repeated %s beyond its window", q.id, late)
		}
	}
}

// judgeTimes checks when each attempt was sent, and the deadline that it carries.
func (r *record) judgeTimes(q *request, tries []attempt, add adder) {
	for _, a := range tries {
		if late := a.Sent.Sub(q.leftAt); !q.leftAt.IsZero() && late > goneSlack+r.slackAt(a.Sent) {
			add(ClientGone, a.Sent, "%s: begun %s after its client had left", q.id, late)
		}
		sentDeadline, err := strconv.ParseFloat(a.Deadline, 64)
		left := q.class.deadline - a.Sent.Sub(q.begunAt)
		if over := time.Duration(sentDeadline*float64(time.Second)) - left; err == nil && over > deadlineSlack+r.slackAt(a.Sent) {
			add(Deadline, a.Sent, "%s: %s is told %s, %s are left", q.id, a.Server, a.Deadline, left)
		}
	}
}

// notifiedAt is when everybody counts as notified of a change that discovery has had since at. A watch that falls silent is given its time
// from when it did; a sidecar that was notified before that has logged it, see heard.
func (r *record) notifiedAt(at time.Time) time.Time {
	notified := at
	if r.onRequest {
		notified = at.Add(maxNotifyDelay)
	}
	for _, o := range r.outages { // in the order of their beginnings
		if notified.Before(o.from) || !notified.Before(o.to) {
			continue
		}
		switch o.kind {
		case Down:
			if notified = o.to; r.onRequest {
				notified = notified.Add(maxNotifyDelay)
			}
		case Late:
			notified = notified.Add(listDelay)
		case Silent:
			notified = later(notified, o.from.Add(maxNotifyDelay))
		}
	}
	return notified
}

// processStart is when the sidecar's process began that lived at that moment.
func (r *record) processStart(sidecar int, at time.Time) (born time.Time) {
	for _, b := range r.processStarts[sidecar] {
		if b.Before(at) {
			born = b
		}
	}
	return born
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *record) judgeDraining(add adder) {
	for _, l := range r.draining {
		notified := r.notifiedAt(l.since)
		for _, a := range r.attempts {
			if a.Server != l.server || a.Sent.Before(l.since) {
				continue
			}
			since := notified
			for _, heard := range r.learnedAt[learnedServer{a.sidecar, l.server}] { // by operators' orders, too, before it left
				if !heard.Before(l.since) && heard.Before(since) {
					since = heard
				}
			}
			since = later(since, r.processStart(a.sidecar, a.Sent))
			if late := a.Sent.Sub(since) - drainGrace; late > drainSlack+r.slackAt(a.Sent) {
				add(Drain, a.Sent, "%s: begun at %s %s after the grace", a.ID, a.Server, late)
			}
		}
	}
}

func (r *record) judgeOrders(add adder) {
	for _, o := range r.orders {
		for _, a := range r.attempts {
			late := a.Sent.Sub(o.acknowledgedAt) - drainGrace
			if a.sidecar == o.sidecar && a.Server == o.server && late > drainSlack+r.slackAt(a.Sent) && (o.revokedAt.IsZero() || a.Sent.Before(o.revokedAt)) {
				add(Order, a.Sent, "%s: n%d sends to %s, which operators have taken out %s before", a.ID, o.sidecar, o.server,
					a.Sent.Sub(o.acknowledgedAt))
			}
		}
	}
}

// slowStartBudget is how many requests of mean work a server in slow start may get within fallFor, from age on.
func slowStartBudget(age time.Duration) int {
	steps, sum := 100, 0.0
	for i := range steps {
		t := age + fallFor*time.Duration(i)/time.Duration(steps)
		warmth := min(1, startCapacity+(1-startCapacity)*float64(t)/float64(warmIn))
		sum += warmth * capacity * fallFor.Seconds() / float64(steps)
	}
	n := tipMultiple * sum
	if n < 30 {
		return int(n + 3*math.Sqrt(n) + 3)
	}
	return int(n + 2*math.Sqrt(n) + 2)
}

// arrival is a request that has reached a cold server, and whether its sidecar had been notified of the server's start.
type arrival struct {
	time     time.Time
	notified bool
}

// judgeStarts looks for what is too much for a server in slow start. Sidecars whose watch was silent have not been notified: the
// rule is broken where over two thirds came from those that had.
func (r *record) judgeStarts(add adder) {
	for server, starts := range r.starts {
		for i, began := range starts {
			end := began.Add(warmIn)
			if i+1 < len(starts) && starts[i+1].Before(end) {
				end = starts[i+1]
			}
			notified := r.notifiedAt(began)
			var got []arrival
			for _, a := range r.attempts {
				if a.Server == server && !a.Sent.Before(began) && a.Sent.Before(end) {
					got = append(got, arrival{a.Sent, !a.Sent.Before(notified)})
				}
			}
			slices.SortFunc(got, func(a, b arrival) int { return a.time.Compare(b.time) })
			if w := worstSpan(got, began); w.count > w.allowed && w.notified > w.count*2/3 {
				add(SlowStart, w.start, "%s: %d requests within %s from %s after its start, at most %d; %d by sidecars that were told", server, w.count,
					fallFor, w.start.Sub(began), w.allowed, w.notified)
			}
		}
	}
}

// window is what a cold server got within fallFor, and what it may get.
type window struct {
	start                    time.Time
	count, notified, allowed int
}

// worstSpan is the window in which a cold server got most beyond what it may get.
func worstSpan(got []arrival, began time.Time) (worst window) {
	over := math.MinInt
	for i, from := range got {
		w := window{start: from.time, allowed: slowStartBudget(from.time.Sub(began))}
		for _, a := range got[i:] {
			if a.time.Sub(from.time) >= fallFor {
				break
			}
			if w.count++; a.notified {
				w.notified++
			}
		}
		if w.count-w.allowed > over {
			over, worst = w.count-w.allowed, w
		}
	}
	return worst
}
