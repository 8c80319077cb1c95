package stopping

import "time"

// BeatEvery is the time between two calls of Quiet.Beat.
const BeatEvery = 40 * time.Millisecond

// beatLate is the time from one beat to the next beyond which the process was held up in between.
const beatLate = BeatEvery * 3 / 2

// Quiet knows since when a signal that is read now may have been sent. The kernel does not tell that, and whoever sent it counts from
// then, however long the process is held up before it reads it. So the process beats as long as no signal waits. The first beat after
// a hold-up proves nothing: a signal that was sent meanwhile may be on its way through the runtime.
type Quiet struct {
	last, proof time.Time
	before      [2]time.Time // the beats before last
}

// NewQuiet returns the Quiet of a process that starts now.
func NewQuiet(now time.Time) *Quiet {
	return &Quiet{last: now, proof: now, before: [2]time.Time{now, now}}
}

// Beat notes that no signal waits at now.
func (q *Quiet) Beat(now time.Time) {
	if now.Sub(q.last) <= beatLate {
		q.proof = q.last // one beat back: the signal that this one has just missed was sent after that
	}
	q.before = [2]time.Time{q.last, q.before[0]}
	q.last = now
}

// Since is the earliest moment at which a signal that is read now can have been sent. Where the process is held up all the time, so that no
// beat is in time, it is the third last beat.
func (q *Quiet) Since() time.Time {
	if q.before[1].After(q.proof) {
		return q.before[1]
	}
	return q.proof
}
