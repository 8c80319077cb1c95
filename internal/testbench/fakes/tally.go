package fakes

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Window is what became of the requests and tries that were due in a span of time.
type Window struct {
	From        time.Time
	Requests    int          // requests
	InObjective int          // of these, served within the latency objective, by whichever try
	Counts      [results]int // of tries, by Result
}

// ServedFraction is the part of the requests that were served within the latency objective; 1 where there were none.
func (w Window) ServedFraction() float64 {
	if w.Requests == 0 {
		return 1
	}
	return float64(w.InObjective) / float64(w.Requests)
}

// String lists the counts that are not zero.
func (w Window) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "asked %d, in aim %d", w.Requests, w.InObjective)
	for r, n := range w.Counts {
		if n > 0 {
			fmt.Fprintf(&b, ", %s %d", Result(r), n)
		}
	}
	return b.String()
}

// Tally sorts tries into windows that follow one another from a moment on. What was due before it is left out. A width
// of 0 makes one window of all.
func Tally(tries []Attempt, from time.Time, width time.Duration) (windows []Window) {
	inObjective := map[string]bool{}
	for i := range tries {
		if tries[i].InObjective() {
			inObjective[tries[i].RequestID] = true
		}
	}
	for i := range tries {
		t := &tries[i]
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

// What is well, for Recovered.
const (
	RecoveredFraction = 0.95        // of the normal share
	RecoveredFor      = time.Second // that it has to last
)

// RecoveryTime returns the time from the event until the share of requests served within their latency objective is 95% or more of
// normal in every window for at least a second; normal is a share from 0 to 1, as Window.Share gives it for a quiet
// time. False means that the tries show no such second. The time is a multiple of the window's width, which must be
// wide enough for some twenty requests, since one that fails by chance must not hide a recovery.
func RecoveryTime(tries []Attempt, event time.Time, normal float64, width time.Duration) (time.Duration, bool) {
	windows := Tally(tries, event, width)
	if len(windows) > 0 { // the last may be cut short by the end of the load
		windows = windows[:len(windows)-1]
	}
	need := int((RecoveredFor + width - 1) / width)
	for i, well := 0, 0; i < len(windows); i++ {
		if well++; windows[i].ServedFraction() < RecoveredFraction*normal {
			well = 0
		}
		if well == need {
			return time.Duration(i+1-need) * width, true
		}
	}
	return 0, false
}

// RequestsRunTwice returns the ids of a class's requests that servers have begun more than once.
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
