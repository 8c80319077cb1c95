// Package invariant counts prevented and actual violations of the rules that a sidecar has to keep at run time. For each rule,
// a guard checks just before the act that the rule forbids, and prevents it; a second check just after the act detects a
// violation that the guard missed, for example because the process stalled in between. Prevented acts are normal, a violation
// is a fault.
package invariant

import (
	"sync/atomic"
	"time"
)

// Rule identifies one of the rules that a sidecar has to keep at run time.
type Rule uint8

// The rules. The comments say what each one forbids.
const (
	ClientGone      Rule = iota // writing a byte of an attempt more than ClientGoneGrace after its client was gone
	DrainGrace                  // writing a first byte to a server after the grace of its drain or deletion
	RepeatWindow                // repeating a request with an idempotency key after the key's window
	Deadline                    // sending a server a deadline that exceeds the client's by more than DeadlineSlack
	OneAttempt                  // starting an attempt of a request while another is in flight
	UnsafeRepeat                // repeating or rejecting a request that may have run, if its class forbids that
	MissingResponse             // closing a connection without a response to a request that was read from it
	ruleCount
)

var ruleNames = [ruleCount]string{"client_gone", "drain_grace", "repeat_window", "deadline", "one_attempt", "effect", "answer"}

func (r Rule) String() string { return ruleNames[r] }

// The tolerances that operators allow beyond each limit, as measured at the other end of the socket.
const (
	ClientGoneGrace = 100 * time.Millisecond
	DeadlineSlack   = 150 * time.Millisecond
	SocketSlack     = 50 * time.Millisecond // for every other time limit
)

// Recorder counts prevented acts and violations by rule. It is safe for concurrent use, and a nil Recorder counts nothing.
type Recorder struct {
	// Logf logs a line of key=value pairs for each violation; nil = nothing is logged.
	Logf func(format string, args ...any)

	prevented, violated [ruleCount]atomic.Int64
}

// Prevented counts an act that the guard of the rule prevented.
func (r *Recorder) Prevented(rule Rule) {
	if r != nil {
		r.prevented[rule].Add(1)
	}
}

// Violated counts a violation of the rule, and logs it with the formatted key=value pairs.
func (r *Recorder) Violated(rule Rule, format string, args ...any) {
	if r == nil {
		return
	}
	r.violated[rule].Add(1)
	if r.Logf != nil {
		r.Logf("rule=%s state=broken "+format, append([]any{rule}, args...)...)
	}
}

// Count holds the numbers of prevented acts and of violations of a rule.
type Count struct {
	Rule                  Rule
	Prevented, Violations int64
}

// Counts returns the counts of all rules, in the order of their constants.
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

// Limit is a time limit on an act: after GuardAt its guard prevents the act, and an act that is done after ViolationAt violates
// the rule. The zero value is no limit.
type Limit struct{ GuardAt, ViolationAt time.Time }

// NewLimit returns the limit on an act that its guard allows until guardAt, and that violates the rule after guardAt+slack. If
// guardAt is zero, there is no limit.
func NewLimit(guardAt time.Time, slack time.Duration) Limit {
	if guardAt.IsZero() {
		return Limit{}
	}
	return Limit{GuardAt: guardAt, ViolationAt: guardAt.Add(slack)}
}

// GuardPassed reports whether GuardAt has passed at now, so that the guard has to prevent the act.
func (l Limit) GuardPassed(now time.Time) bool { return !l.GuardAt.IsZero() && now.After(l.GuardAt) }

// ViolatedAt reports whether an act that was completed at done has violated the rule.
func (l Limit) ViolatedAt(done time.Time) bool {
	return !l.ViolationAt.IsZero() && done.After(l.ViolationAt)
}
