package watchpolicy

import (
	"maps"
	"time"

	"plankrouter/internal/staleness"
)

const (
	evidenceTTL = 3 * time.Second // how long evidence against the list counts unless it is repeated
	// contradictedDivisor and minContradicted set how many servers must contradict the list to cause a refresh: one in
	// contradictedDivisor of those listed, and at least minContradicted, or all of them if fewer are listed.
	contradictedDivisor = 10
	minContradicted     = 2
)

// contradiction is evidence that a server is not in service although the list names it as in service.
type contradiction struct {
	lastSeen  time.Time // time of the latest evidence
	rechecked bool      // a complete list received since the first evidence still names the server as in service
}

// SetListed records whether the list now names server as in service, and the start time of its process in Unix milliseconds.
// It drops evidence against the list that concerns an earlier process of the server.
func (s *Scheduler) SetListed(server string, ready bool, startedAt float64) {
	before, listed := s.listed[server]
	if !ready || listed && before != startedAt {
		delete(s.contradictions, server)
	}
	delete(s.listed, server)
	if ready {
		s.listed[server] = startedAt
	}
}

// ReplaceListed records the servers that a complete list names as in service, each with the start time of its process in Unix
// milliseconds. Servers that still contradict the list count as rechecked.
func (s *Scheduler) ReplaceListed(ready map[string]float64) {
	if !maps.Equal(s.listed, ready) {
		s.refreshes = 0
	}
	for server := range s.listed {
		if _, remains := ready[server]; !remains {
			s.SetListed(server, false, 0)
		}
	}
	for server, startedAt := range ready {
		s.SetListed(server, true, startedAt)
	}
	for _, c := range s.contradictions {
		c.rechecked = true
	}
	s.refreshWanted = s.refreshOutstanding
	s.refreshOutstanding = false
}

// countContradictions returns the number of servers with recent evidence against the list that no complete list has rechecked.
func (s *Scheduler) countContradictions(now time.Time) (n int) {
	for _, c := range s.contradictions {
		if !c.rechecked && now.Sub(c.lastSeen) <= evidenceTTL {
			n++
		}
	}
	return n
}

// mustKeepWatch reports whether a refresh must wait because other instances poll the same source and the response to the
// current watch is not overdue. All instances see the same evidence at the same time. An instance that abandons its watch
// for the complete list loses the change that is about to arrive and joins the end of the queue. With 32 instances, four
// servers that refuse connections would leave most instances without any list for 10 to 20 s.
func (s *Scheduler) mustKeepWatch(now time.Time) bool {
	return s.settings.Instances > 1 && now.Before(s.overdueAt)
}

// Observe records evidence about a server. It returns true if enough servers contradict the list at the same time for a
// refresh: the caller cancels a poll in progress and requests the complete list now. There is at most one refresh per
// Settings.RefreshInterval, with an exponential backoff while discovery confirms its list. There is no refresh while
// discovery rejects polls, or while several instances poll it and the watch is not overdue. A server whose entry discovery
// has confirmed does not count again until it has responded or restarted. Evidence never removes a server from the list: a
// fault of this instance can make all servers look unreachable.
func (s *Scheduler) Observe(now time.Time, server string, evidence staleness.Evidence) bool {
	if _, listed := s.listed[server]; !listed {
		return false
	}
	if evidence == staleness.Alive {
		delete(s.contradictions, server)
		return false
	}
	c := s.contradictions[server]
	if c == nil {
		c = new(contradiction)
		s.contradictions[server] = c
	}
	c.lastSeen = now
	if c.rechecked || !s.mayRefresh(now) {
		return false
	}
	s.refreshes++
	interval := retryDelay(2*s.settings.RefreshInterval, s.settings.MaxRefreshInterval, s.refreshes, s.rng.Float64())
	s.nextRefreshAt = now.Add(max(s.settings.RefreshInterval, interval))
	s.refreshWanted = true
	s.abandonedWatch = now.Before(s.overdueAt) && !s.settings.Pushed
	return true
}

// mayRefresh reports whether a refresh may be made at now: enough servers contradict the list, and the limits allow a refresh.
func (s *Scheduler) mayRefresh(now time.Time) bool {
	needed := max(min(minContradicted, len(s.listed)), len(s.listed)/contradictedDivisor)
	return !s.refreshWanted && !s.sourceOverloaded && !now.Before(s.nextRefreshAt) && s.countContradictions(now) >= needed && !s.mustKeepWatch(now)
}
