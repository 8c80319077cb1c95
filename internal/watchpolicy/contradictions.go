package watchpolicy

import (
	"maps"
	"time"

	"plankrouter/internal/staleness"
)

const (
	evidenceMemory = 3 * time.Second // in which evidence against the list counts without being repeated
	// contradictedShare and minContradicted: one in so many of the listed servers, and at least so many, must contradict the list.
	contradictedShare = 10
	minContradicted   = 2
)

// contradiction is the evidence that a listed server is not in service.
type contradiction struct {
	lastSeen  time.Time
	rechecked bool // discovery has been asked since, and says that it is
}

// SetListed takes a change of the list about one server: whether the list now names it as in service, and the start of its process. What
// contradicted the list about an earlier process is over.
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

// ReplaceListed takes a complete list: the servers that are in service, with the starts of their processes. Those that still contradict
// it have been rechecked.
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
	s.refreshWanted = s.refreshMissed
	s.refreshMissed = false
}

// countContradictions counts the servers that contradict the list and about which discovery has not been asked since.
func (s *Scheduler) countContradictions(now time.Time) (n int) {
	for _, c := range s.contradictions {
		if !c.rechecked && now.Sub(c.lastSeen) <= evidenceMemory {
			n++
		}
	}
	return n
}

// mustKeepWatch reports whether evidence has to wait, as it does at a source that other instances poll, too, while the watch is in time.
// All see the same then, and whoever leaves a watch for the complete list loses the change that is on its way and goes to the end of the
// queue: with 32 instances, four servers that refuse would cost most of them every list for 10 to 20 s.
func (s *Scheduler) mustKeepWatch(now time.Time) bool {
	return s.settings.Instances > 1 && now.Before(s.overdueAt)
}

// Observe takes evidence of a server. True asks for the complete list now, even while a poll is under way: several servers contradict the
// list at once. It is bounded: never twice within Settings.RefreshInterval, less and less often while discovery confirms its list, not
// while it rejects polls, nor while it answers several instances in time; and a server for which it confirms its list counts no more
// until it has answered or restarted. No evidence removes a server from the list: a fault of this instance makes all look gone.
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
	s.leftWatchInTime = now.Before(s.overdueAt) && !s.settings.Pushed
	return true
}

// mayRefresh reports whether the contradictions are enough, and a refresh is allowed, for one at now.
func (s *Scheduler) mayRefresh(now time.Time) bool {
	needed := max(min(minContradicted, len(s.listed)), len(s.listed)/contradictedShare)
	return !s.refreshWanted && !s.sourceFull && !now.Before(s.nextRefreshAt) && s.countContradictions(now) >= needed && !s.mustKeepWatch(now)
}
