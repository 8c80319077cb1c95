package watchpolicy

import (
	"time"

	"plankrouter/internal/staleness"
)

// When a change of the list takes effect according to the platform's protocol, whether or not this instance has received it.
const (
	effectiveAfterWait         = 2 * time.Second // after the end of a poll's wait
	effectiveAfterSourceChange = 4 * time.Second // after the request to poll another source
	// maxPropagationDelay bounds how long discovery may hold back a change from an open watch.
	maxPropagationDelay = 2 * time.Second
)

// Validity returns how long the list may be relied on, as computed when the last poll, or the delay before it, began. A
// polled list may lack the changes of the last 6 s: at any time after the list was sent, a server may have stopped and
// another process may have started under its id. No request may be sent to that process between the change that reports the
// stop and the one that reports the start.
//
// Before the first response ProcessUntil is later than ListUntil by the drain grace. Where polls queue at a shared service,
// an instance that starts together with many others may wait long for that response, and it has no older connections. A
// server that begins to drain after the start keeps running for its drain grace, so that no other process can replace it
// earlier.
func (s *Scheduler) Validity() staleness.Validity {
	switch {
	case s.settings.Pushed:
		return staleness.Validity{ListUntil: s.freshUntil, ProcessUntil: s.freshUntil}
	case s.listAsOf.IsZero():
		return staleness.Validity{ListUntil: s.freshUntil, ProcessUntil: s.freshUntil.Add(s.settings.DrainGrace)}
	}
	return staleness.Validity{ListUntil: s.freshUntil, ProcessUntil: s.listAsOf.Add(-maxPropagationDelay)}
}

// updateFreshUntil updates freshUntil for poll, which is made at now. Of the times computed for the polls and delays since
// the last response, the earliest applies.
func (s *Scheduler) updateFreshUntil(now time.Time, poll Poll) {
	until := s.freshUntilAfter(now, poll)
	if latest := now.Add(effectiveAfterSourceChange); s.sourceChanged && latest.Before(until) {
		until = latest
	}
	if s.freshUntil.IsZero() || until.Before(s.freshUntil) {
		s.freshUntil = until
	}
	s.abandonedWatch = false
}

// freshUntilAfter returns the time until which the list is fresh if poll gets no response.
func (s *Scheduler) freshUntilAfter(now time.Time, poll Poll) time.Time {
	pausedAgent := poll.Delay > 0 && s.settings.Pushed // the agent may have received a change since the last poll
	switch {
	case pausedAgent || s.listAsOf.IsZero(): // the age of the initial list is unknown
		return now
	case s.abandonedWatch: // the watch would have delivered any change until now
		return now
	case (poll.Delay > 0 || poll.Complete) && !s.settings.Pushed:
		return s.listAsOf.Add(max(0, s.settings.EffectiveAfter-maxPropagationDelay))
	}
	return s.pollStart.Add(poll.Wait + effectiveAfterWait)
}
