// Package invariant is the book of the rules that a sidecar keeps at run time. Each rule has one guard, next to the act that it
// forbids, which asks just before and holds the act back; and a check just after, which sees what got past all the same, as
// where the process was held up between the two. Both count here: what is held back is usual, what got past is a fault.
package invariant

import (
	"sync/atomic"
	"time"
)

// Rule is one of the rules.
type Rule uint8

// The rules. The comment says what is forbidden.
const (
	ClientGone   Rule = iota // a byte of an attempt later than ClientGoneGrace after its client has gone
	DrainGrace               // a first byte to a server that drains or is gone, beyond the grace
	RepeatWindow             // a repeat of a request with a token, beyond its window
	Deadline                 // telling a server a deadline that exceeds the client's by more than DeadlineSlack
	OneAttempt               // a second attempt while one is out
	Effect                   // repeating or refusing what may have run, where its class forbids that
	Answer                   // ending a connection without the answer to a request that was read from it
	ruleCount
)

var ruleNames = [ruleCount]string{"client_gone", "drain_grace", "repeat_window", "deadline", "one_attempt", "effect", "answer"}

func (r Rule) String() string { return ruleNames[r] }

// What the operators allow beyond a limit, measured at the other end of the socket.
const (
	ClientGoneGrace = 100 * time.Millisecond
	DeadlineSlack   = 150 * time.Millisecond
	SocketSlack     = 50 * time.Millisecond // of every other time limit
)

// Recorder counts. It is safe for concurrent use, and a nil Book counts nothing.
type Recorder struct {
	// Logf logs a line of key=value pairs for each act that got past its guard; nil = nothing is logged.
	Logf func(format string, args ...any)

	prevented, violated [ruleCount]atomic.Int64
}

// Prevented counts an act that the rule's guard has held back.
func (r *Recorder) Prevented(rule Rule) {
	if r != nil {
		r.prevented[rule].Add(1)
	}
}

// Violated counts an act that got past the rule's guard, and logs what is known of it as key=value pairs.
func (r *Recorder) Violated(rule Rule, format string, args ...any) {
	if r == nil {
		return
	}
	r.violated[rule].Add(1)
	if r.Logf != nil {
		r.Logf("rule=%s state=broken "+format, append([]any{rule}, args...)...)
	}
}

// Count is how often a rule's guard has held an act back, and how often one got past it.
type Count struct {
	Rule                  Rule
	Prevented, Violations int64
}

// Counts are those of all rules, in a fixed order.
func (r *Recorder) Counts() (all []Count) {
	for rule := range ruleCount {
		one := Count{Rule: rule}
		if r != nil {
			one.Prevented, one.Violations = r.prevented[rule].Load(), r.violated[rule].Load()
		}
		all = append(all, one)
	}
	return all
}

// Limit is a time limit on an act: past Own its guard holds the act back, past Rule the rule is broken. The zero value is no
// limit.
type Limit struct{ GuardAt, ViolationAt time.Time }

// NewLimit is the limit on an act that its guard lets pass until own, and the rule for so long after that.
func NewLimit(own time.Time, slack time.Duration) Limit {
	if own.IsZero() {
		return Limit{}
	}
	return Limit{own, own.Add(slack)}
}

// GuardPassed reports whether the guard has to hold the act back.
func (l Limit) GuardPassed(now time.Time) bool { return !l.GuardAt.IsZero() && now.After(l.GuardAt) }

// ViolatedAt reports whether the act, done by then, has broken the rule.
func (l Limit) ViolatedAt(done time.Time) bool {
	return !l.ViolationAt.IsZero() && done.After(l.ViolationAt)
}
