// Package invariant counts how the rules that a sidecar keeps at run time have been kept. Each rule has one guard, next to the act that it
// forbids, which checks just before and prevents the act; and a check just after, which finds a violation all the same, as where the
// process stalls between the two. Both are counted here: a prevented act is usual, a violation is a fault.
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
	RepeatWindow             // a repeat of a request with an idempotency key, beyond its window
	Deadline                 // telling a server a deadline that exceeds the client's by more than DeadlineSlack
	OneAttempt               // a second attempt while one is under way
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

// Recorder counts. It is safe for concurrent use, and a nil Recorder counts nothing.
type Recorder struct {
	// Logf logs a line of key=value pairs for each violation; nil = nothing is logged.
	Logf func(format string, args ...any)

	prevented, violated [ruleCount]atomic.Int64
}

// Prevented counts an act that the rule's guard has prevented.
func (r *Recorder) Prevented(rule Rule) {
	if r != nil {
		r.prevented[rule].Add(1)
	}
}

// Violated counts a violation of the rule, and logs what is known of it as key=value pairs.
func (r *Recorder) Violated(rule Rule, format string, args ...any) {
	if r == nil {
		return
	}
	r.violated[rule].Add(1)
	if r.Logf != nil {
		r.Logf("rule=%s state=broken "+format, append([]any{rule}, args...)...)
	}
}

// Count is how often a rule's guard has prevented an act, and how often the rule was violated.
type Count struct {
	Rule                  Rule
	Prevented, Violations int64
}

// Counts are those of all rules, in a fixed order.
func (r *Recorder) Counts() (counts []Count) {
	for rule := range ruleCount {
		c := Count{Rule: rule}
		if r != nil {
			c.Prevented = r.prevented[rule].Load()
			c.Violations = r.violated[rule].Load()
		}
		counts = append(counts, c)
	}
	return counts
}

// Limit is a time limit on an act: past GuardAt its guard prevents the act, past ViolationAt the rule is violated. The zero value is no
// limit.
type Limit struct{ GuardAt, ViolationAt time.Time }

// NewLimit returns the limit on an act that its guard lets pass until guardAt, and the rule until slack after that.
func NewLimit(guardAt time.Time, slack time.Duration) Limit {
	if guardAt.IsZero() {
		return Limit{}
	}
	return Limit{GuardAt: guardAt, ViolationAt: guardAt.Add(slack)}
}

// GuardPassed reports whether the guard has to prevent the act at now.
func (l Limit) GuardPassed(now time.Time) bool { return !l.GuardAt.IsZero() && now.After(l.GuardAt) }

// ViolatedAt reports whether the act, done by then, has violated the rule.
func (l Limit) ViolatedAt(done time.Time) bool {
	return !l.ViolationAt.IsZero() && done.After(l.ViolationAt)
}
