package recovery

import (
	"slices"
	"time"

	"plankrouter/internal/testbench/fakes"
)

const (
	firstSpan  = 2 * time.Second        // of a second life
	minSpan    = 2 * time.Second        // in which probes and calls are counted
	minWidth   = 250 * time.Millisecond // of a window, which also holds windowAsked requests
	windowWith = 50
	noticeIn   = 50 * time.Millisecond // in which the test bench may notice what has come
)

// Metrics is what a run has shown. Seconds count from the event. What became of tries is counted of those that ended
// after it, twice and late sends of the whole run.
type Metrics struct {
	Requests     int      `json:"requests"`   // of the whole run
	Normal       float64  `json:"normal"`     // share served within the latency objective before the event
	Recovery     *float64 `json:"back_s"`     // until 95% of normal holds for a second; nil = never
	Below        float64  `json:"below_s"`    // spent below that, in all
	Worst        float64  `json:"worst"`      // share in the worst window
	AfterRestart *float64 `json:"first_2s"`   // share in the first 2 s of a second life; nil = there was none
	Lost         int      `json:"lost"`       // the connection ended without an answer, or brought another's
	Unanswered   int      `json:"unanswered"` // nothing came while the client waited
	Failed       int      `json:"failed"`     // an error or a broken answer
	Rejected     int      `json:"refused"`
	Unreachable  int      `json:"unreachable"`      // no connection came up
	ExtraRuns    int      `json:"twice"`            // runs of what must not run twice beyond the first
	Late         int      `json:"late"`             // sends to a server after the grace of its drain
	Probes       float64  `json:"probes_per_s"`     // during the fault
	Lists        float64  `json:"list_calls_per_s"` // likewise
	Stall        float64  `json:"stall_s"`          // the longest time for which the test bench itself was stalled
}

// isLost reports whether the sidecar had the request, or might have, and its client was left without an answer.
func isLost(t *fakes.Attempt) bool {
	return t.Result == fakes.Lost || t.Result == fakes.Wrong || t.Result == fakes.TimedOut && !t.SentAt.IsZero()
}

// count adds what became of a try.
func (m *Metrics) count(t *fakes.Attempt) {
	switch {
	case t.Result == fakes.Failed:
		m.Failed++
	case t.Result == fakes.Rejected:
		m.Rejected++
	case t.Result == fakes.Unreachable:
		m.Unreachable++
	case isLost(t) && t.Result == fakes.TimedOut:
		m.Unanswered++
	case isLost(t):
		m.Lost++
	}
}

// servedFraction is the part of the requests due in a span that was served within the latency objective.
func servedFraction(tries []fakes.Attempt, from, to time.Time) float64 {
	early := slices.DeleteFunc(slices.Clone(tries), func(t fakes.Attempt) bool { return !t.RequestedAt.Before(to) })
	for _, all := range fakes.Tally(early, from, 0) {
		return all.ServedFraction()
	}
	return 1
}

// width is that of windows for a load of rate requests a second.
func width(rate float64) time.Duration {
	return max(minWidth, time.Duration(windowWith/rate*float64(time.Second)))
}

// degradation is what an event did to service.
type degradation struct {
	back      time.Duration // from the event until service is back; 0 = it was never away
	recovered bool          // it came back
	below     time.Duration // in windows below 95% of normal
	worst     float64       // share of the worst window
}

// faultAfter looks for the first window after the event that is below 95% of normal: after SIGTERM,
// for example, service stays normal for a while. From there on it is fakes.Recovered that says when service is back. A fault that begins
// in the last second is only counted: how it ends can't be seen.
func faultAfter(tries []fakes.Attempt, event time.Time, normal float64, width time.Duration) degradation {
	out := degradation{recovered: true, worst: 1}
	windows := fakes.Tally(tries, event, width)
	windows = windows[:max(0, len(windows)-1)] // the last may be cut short
	seen := len(windows) - int(fakes.RecoveredFor/width)
	first := -1
	for i, w := range windows {
		out.worst = min(out.worst, w.ServedFraction())
		if w.ServedFraction() < fakes.RecoveredFraction*normal {
			out.below += width
			if first < 0 && i < seen {
				first = i
			}
		}
	}
	if first >= 0 {
		begin := time.Duration(first) * width
		out.back, out.recovered = fakes.RecoveryTime(tries, event.Add(begin), normal, width)
		out.back += begin
	}
	return out
}

// extraRuns counts how often requests that must not run twice were run beyond the first time.
func (r *rig) extraRuns() (n int) {
	for _, c := range r.setup.classes() {
		if c.Idempotent {
			continue
		}
		for _, id := range fakes.RequestsRunTwice(c.Name, r.fleet.Servers...) {
			for _, p := range r.fleet.Servers {
				n += p.RunCount(id)
			}
			n-- // the first
		}
	}
	return n
}

// notifiedAt returns when each drain was first sent to a sidecar, given the revisions that list them.
func notifiedAt(drains map[string]uint64, calls []fakes.DiscoveryRequest) map[string]time.Time {
	notifiedAt := map[string]time.Time{}
	for id, revision := range drains {
		for _, c := range calls {
			before, known := notifiedAt[id]
			if c.Responded && c.Revision >= revision && (!known || c.RespondedAt.Before(before)) {
				notifiedAt[id] = c.RespondedAt
			}
		}
	}
	return notifiedAt
}

// lateSends counts the requests whose first byte came to a server after the grace of its drain.
func lateSends(notifiedAt map[string]time.Time, requests []fakes.Request) (n int) {
	for _, q := range requests {
		if at, drained := notifiedAt[q.Server]; drained && q.FirstByte.After(at.Add(drainGrace+noticeIn)) {
			n++
		}
	}
	return n
}

// metrics measures a run whose load has ended.
func (r *rig) metrics(event time.Time) Metrics {
	w := width(r.setup.Rate)
	f := Metrics{Stall: r.stall.Seconds(), Normal: servedFraction(r.tries, event.Add(-calmFrom), event.Add(-calmTo))}
	t := faultAfter(r.tries, event, f.Normal, w)
	f.Below, f.Worst = t.below.Seconds(), t.worst
	until := r.tries[len(r.tries)-1].DueAt
	if t.recovered {
		back := t.back.Seconds()
		f.Recovery = &back
		until = event.Add(max(minSpan, t.back))
	}
	if !r.restartedAt.IsZero() {
		first := servedFraction(r.tries, r.restartedAt, r.restartedAt.Add(firstSpan))
		f.AfterRestart = &first
	}
	for i := range r.tries {
		if t := &r.tries[i]; t.Number == 0 {
			f.Requests++
		}
		if r.tries[i].EndedAt.After(event) {
			f.count(&r.tries[i])
		}
	}
	f.ExtraRuns = r.extraRuns()
	calls := r.fleet.Discovery.Requests()
	notifiedAt := notifiedAt(r.drains, calls)
	within := func(at time.Time) float64 {
		if at.Before(event) || at.After(until) {
			return 0
		}
		return 1 / until.Sub(event).Seconds()
	}
	for _, p := range r.fleet.Servers {
		f.Late += lateSends(notifiedAt, p.Requests())
		for _, probe := range p.Probes() {
			f.Probes += within(probe.At)
		}
	}
	for _, c := range calls {
		f.Lists += within(c.At)
	}
	return f
}
