package fakes

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Window has the counts of the requests and attempts that were due in a time window.
type Window struct {
	From        time.Time
	Requests    int          // number of requests whose first attempt was due in the window
	InObjective int          // number of these requests that any attempt served within the latency objective
	Counts      [results]int // number of attempts due in the window, by Result
}

// ServedFraction returns the fraction of requests served within the latency objective, or 1 if there were none.
func (w Window) ServedFraction() float64 {
	if w.Requests == 0 {
		return 1
	}
	return float64(w.InObjective) / float64(w.Requests)
}

// String returns the request counts and the nonzero attempt counts.
func (w Window) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests, %d within objective", w.Requests, w.InObjective)
	for r, n := range w.Counts {
		if n > 0 {
			fmt.Fprintf(&b, ", %s %d", Result(r), n)
		}
	}
	return b.String()
}

// Tally counts attempts in consecutive windows of the given width, starting at from. Attempts due before from are left
// out. A width of 0 puts all in one window.
func Tally(attempts []Attempt, from time.Time, width time.Duration) (windows []Window) {
	inObjective := map[string]bool{}
	for i := range attempts {
		if attempts[i].InObjective() {
			inObjective[attempts[i].RequestID] = true
		}
	}
	for i := range attempts {
		t := &attempts[i]
		if t.DueAt.Before(from) {
			continue
		}
		at := 0
		if width > 0 {
			at = int(t.DueAt.Sub(from) / width)
		}
		for len(windows) <= at {
			windows = append(windows, Window{From: from.Add(time.Duration(len(windows)) * width)})
		}
		w := &windows[at]
		if w.Counts[t.Result]++; t.Number == 0 {
			w.Requests++
			if inObjective[t.RequestID] {
				w.InObjective++
			}
		}
	}
	return windows
}

// Criteria of RecoveryTime.
const (
	RecoveredFraction = 0.95        // least served fraction after a recovery, as a fraction of the normal one
	RecoveredFor      = time.Second // least time for which the served fraction must stay that high
)

// RecoveryTime returns the time from the event until the fraction of requests served within their latency objective is at
// least 95% of normal in every window for at least a second. normal is a fraction from 0 to 1, as ServedFraction returns
// it for a period without faults. False means that service did not recover. The time is a multiple of the window width,
// which must cover about twenty requests, so that a single failure by chance does not hide a recovery.
func RecoveryTime(attempts []Attempt, event time.Time, normal float64, width time.Duration) (time.Duration, bool) {
	windows := Tally(attempts, event, width)
	if len(windows) > 0 { // the last window may be incomplete, because the load ends within it
		windows = windows[:len(windows)-1]
	}
	need := int((RecoveredFor + width - 1) / width)
	for i, recovered := 0, 0; i < len(windows); i++ {
		if recovered++; windows[i].ServedFraction() < RecoveredFraction*normal {
			recovered = 0
		}
		if recovered == need {
			return time.Duration(i+1-need) * width, true
		}
	}
	return 0, false
}

// RequestsRunTwice returns the ids of requests of a class whose execution was started more than once on these servers.
func RequestsRunTwice(class string, servers ...*Server) (ids []string) {
	runs := map[string]int{}
	for _, p := range servers {
		for _, r := range p.Requests() {
			if r.Class == class && r.Started {
				runs[r.ID]++
			}
		}
	}
	for id, n := range runs {
		if n > 1 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
