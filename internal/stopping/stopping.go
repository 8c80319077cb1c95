// Package stopping decides what a sidecar that has been told to stop does when. It reads no clock: all times count from the
// moment of that word.
//
// The platform's word is SIGTERM, and this is the arithmetic of what follows, with L the longest deadline of a class, or
// 3 s where that is longer:
//
//	0 to 0.4 s    new connections still come in
//	0.7 s         what is taken from here on must be answered before the kill; before, its deadline may end by itself in time
//	L + 0.7 s     the kill may come
//
// The successor starts only after the kill, however early this process ends, and consumers go on using the connections that
// stay open. So every moment from the end of this process to the kill is one in which nobody serves them: it stays as long
// as it can answer all that it takes.
package stopping

import (
	"fmt"
	"time"
)

const (
	deadlineMost = 3 * time.Second        // counted of the longest deadline
	afterLongest = 700 * time.Millisecond // from there to the kill
	acceptLeast  = 500 * time.Millisecond // new connections are taken for at least so long
	answerLead   = 100 * time.Millisecond // of the last answer before the kill: it has to be written, the process to end
	lastLead     = 50 * time.Millisecond  // of the last request before that: the module turns away what takes longer
	lastPart     = 4                      // or one part in so many, where the whole time is short
)

// Plan is the timetable from the word to stop on.
type Plan struct {
	Last   time.Duration // then nothing more is taken: the listener and idle connections are closed
	Answer time.Duration // by then all that was taken is answered
	Kill   time.Duration // then the process may be killed
	Early  time.Duration // what is taken before keeps its own deadline if that ends before the kill
}

// For returns the plan for classes whose longest deadline is longest and a kill that comes no sooner than kill after the
// word; 0 = as the platform does it. Where the kill is given it need not leave a deadline its time: then what was taken
// before the word is given up at Answer, too.
func For(longest, kill time.Duration) Plan {
	p := Plan{Kill: kill}
	if kill <= 0 {
		kill = min(longest, deadlineMost) + afterLongest
		p.Kill, p.Early = kill, afterLongest
	}
	p.Answer = max(kill-answerLead, kill/2)
	p.Last = max(p.Answer-lastLead, p.Answer-p.Answer/lastPart, min(acceptLeast, p.Answer))
	return p
}

// Check says why nothing sensible follows from the plan.
func (p Plan) Check() error {
	if p.Kill < acceptLeast {
		return fmt.Errorf("kill_after_ms: %s leaves no time to answer what is taken; want %s or more", p.Kill, acceptLeast)
	}
	return nil
}

// Patience is how long an invocation may take that comes in at since, which is negative before the word, and whose consumer
// waits for patience. One that comes so early that its own deadline ends before the kill keeps that; any other is answered by
// Answer, also where a deadline is beyond what the platform counts of it, or was before the settings changed.
func (p Plan) Patience(since, patience time.Duration) time.Duration {
	if since < p.Early && since+patience <= p.Kill {
		return patience
	}
	return min(patience, max(0, p.Answer-since))
}
