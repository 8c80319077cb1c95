package staleness

import (
	"plankrouter/internal/shutdown"
	"time"
)

// When a change of the list takes effect, whether or not it has arrived here: the platform's protocol.
const (
	effectiveAfterWait         = 2 * time.Second // after the end of a poll's wait
	effectiveAfterSourceChange = 4 * time.Second // after the request to poll another source
	// maxPropagationDelay bounds how long discovery may hold back a change from an open watch.
	maxPropagationDelay = 2 * time.Second
)

// FirstByteLead is the time in which a first byte that is about to be written goes out: the process may stall there, and it has a part of
// a core. A connection usually comes up within it, too.
const FirstByteLead = shutdown.MaxStall + 50*time.Millisecond

// A grace that is hardly longer than FirstByteLead leaves one part in shortGraceDivisor for first bytes, and one no longer than
// minFirstByteLead none.
const (
	shortGraceDivisor = 4
	minFirstByteLead  = 100 * time.Millisecond
)

// Validity is until when the list in force may be relied on.
type Validity struct {
	// ListUntil is the time until which no change has taken effect that the list does not show. After that a server that it names as in
	// service may have begun to drain, and that may take effect as soon as the change would have arrived, although it never did: the
	// watch has been silent for so long that it counts as broken. Liveness takes the list's place then.
	ListUntil time.Time
	// ProcessUntil is the time until which the process that answers at a server's address is the one that the list names.
	ProcessUntil time.Time
}

// StartBy returns until when a first byte may go to a server whose drain would have that grace; zero = at any time, since the list never
// becomes stale.
func (v Validity) StartBy(l Liveness, grace time.Duration) time.Time {
	if v.ListUntil.IsZero() {
		return time.Time{}
	}
	validUntil := v.ListUntil
	if l.ProbedAt.After(validUntil) {
		validUntil = l.ProbedAt
	}
	_, writeFor := DrainLimits(grace)
	return validUntil.Add(writeFor)
}

// DrainLimits returns for how long after a drain, which has that grace, a server may still be picked and a first byte still be written. The
// same goes for a drain that may have taken effect unseen: from Validity.ListUntil on, or since the server was last probed. A connection
// that comes up too late is not written to.
func DrainLimits(grace time.Duration) (pickFor, writeFor time.Duration) {
	limit := max(0, grace-FirstByteLead, min(grace/shortGraceDivisor, grace-minFirstByteLead))
	return limit, limit
}

// Validity returns that of the list as the last poll or pause began. A list that is polled for may lack changes of up to 6 s: a server may
// have gone and be back under its id, unseen, at any time after the list was sent, and while the change that it has gone comes before
// the one that it is back, nothing may go there. Where polls queue at one service, an instance that starts in a herd may not be answered
// for long and has no connection from before: a server that leaves after the start remains for its grace, so that another process takes
// longer to be there.
func (s *Scheduler) Validity() Validity {
	switch {
	case s.settings.Pushed:
		return Validity{ListUntil: s.freshUntil, ProcessUntil: s.freshUntil}
	case s.listAsOf.IsZero():
		return Validity{ListUntil: s.freshUntil, ProcessUntil: s.freshUntil.Add(s.settings.DrainGrace)}
	}
	return Validity{ListUntil: s.freshUntil, ProcessUntil: s.listAsOf.Add(-maxPropagationDelay)}
}

// updateFreshUntil notes until when the list is fresh, now that poll is made. The first poll that was not answered decides, or the first
// pause.
func (s *Scheduler) updateFreshUntil(now time.Time, poll Poll) {
	until := s.freshUntilAfter(now, poll)
	if latest := now.Add(effectiveAfterSourceChange); s.sourceChanged && latest.Before(until) {
		until = latest
	}
	if s.freshUntil.IsZero() || until.Before(s.freshUntil) {
		s.freshUntil = until
	}
	s.leftWatchInTime = false
}

// freshUntilAfter returns until when the list is fresh if poll is not answered.
func (s *Scheduler) freshUntilAfter(now time.Time, poll Poll) time.Time {
	pausedAgent := poll.Delay > 0 && s.settings.Pushed // it may have had a change since it was polled last
	switch {
	case pausedAgent || s.listAsOf.IsZero(): // nobody knows the age of the list to begin with
		return now
	case s.leftWatchInTime: // it would have brought the changes
		return now
	case (poll.Delay > 0 || poll.Complete) && !s.settings.Pushed:
		return s.listAsOf.Add(max(0, s.settings.EffectiveBy-maxPropagationDelay))
	}
	return s.pollStart.Add(poll.Wait + effectiveAfterWait)
}
