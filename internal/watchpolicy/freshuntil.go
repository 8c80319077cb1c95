package watchpolicy

import (
	"time"

	"plankrouter/internal/staleness"
)

// When a change of the list takes effect, whether or not it has arrived here: the platform's protocol.
const (
	effectiveAfterWait         = 2 * time.Second // after the end of a poll's wait
	effectiveAfterSourceChange = 4 * time.Second // after the request to poll another source
	// maxPropagationDelay bounds how long discovery may hold back a change from an open watch.
	maxPropagationDelay = 2 * time.Second
)

// Validity returns that of the list as the last poll or pause began. A list that is polled for may lack changes of up to 6 s: a server may
// have gone and be back under its id, unseen, at any time after the list was sent, and while the change that it has gone comes before
// the one that it is back, nothing may go there. Where polls queue at one service, an instance that starts in a herd may not be answered
// for long and has no connection from before: a server that leaves after the start remains for its grace, so that another process takes
// longer to be there.
func (s *Scheduler) Validity() staleness.Validity {
	switch {
	case s.settings.Pushed:
		return staleness.Validity{ListUntil: s.freshUntil, ProcessUntil: s.freshUntil}
	case s.listAsOf.IsZero():
		return staleness.Validity{ListUntil: s.freshUntil, ProcessUntil: s.freshUntil.Add(s.settings.DrainGrace)}
	}
	return staleness.Validity{ListUntil: s.freshUntil, ProcessUntil: s.listAsOf.Add(-maxPropagationDelay)}
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
