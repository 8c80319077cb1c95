package recovery

import (
	"slices"
	"time"

	"plankrouter/internal/testbench/fakes"
)

const (
	afterRestartWindow = 2 * time.Second        // after a restart, for which AfterRestart is computed
	minCountTime       = 2 * time.Second        // shortest time after the event for which probes and polls of discovery are counted
	minWidth           = 250 * time.Millisecond // least width of a window, which also spans requestsPerWindow requests on average
	requestsPerWindow  = 50
	noticeTolerance    = 50 * time.Millisecond // by which the test bench may record an arrival late
)

// Metrics holds the results of a run. Seconds count from the event. Results of attempts count if they ended after the event;
// ExtraRuns and Late count over the whole run.
type Metrics struct {
	Requests     int      `json:"requests"`   // of the whole run
	Normal       float64  `json:"normal"`     // share served within the latency objective before the event
	Recovery     *float64 `json:"back_s"`     // until 95% of normal is reached for a second; nil = never
	Below        float64  `json:"below_s"`    // total time below that
	Worst        float64  `json:"worst"`      // served share in the worst window
	AfterRestart *float64 `json:"first_2s"`   // served share in the first 2 s after a restart; nil = no restart
	Lost         int      `json:"lost"`       // connection closed without a response, or response to another request
	Unanswered   int      `json:"unanswered"` // no response before the client's deadline
	Failed       int      `json:"failed"`     // an error or an invalid response
	Rejected     int      `json:"refused"`
	Unreachable  int      `json:"unreachable"`      // no connection was established
	ExtraRuns    int      `json:"twice"`            // extra runs of requests that must run only once
	Late         int      `json:"late"`             // requests sent to a server after its drain grace
	Probes       float64  `json:"probes_per_s"`     // per second from the event until recovery, at least over minCountTime
	Lists        float64  `json:"list_calls_per_s"` // likewise
	Stall        float64  `json:"stall_s"`          // longest stall of the test bench itself
}

// isLost reports whether the sidecar received the request, or may have, and its client got no response to it.
func isLost(t *fakes.Attempt) bool {
	return t.Result == fakes.Lost || t.Result == fakes.Wrong || t.Result == fakes.TimedOut && !t.SentAt.IsZero()
}

// count counts the result of an attempt.
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

// servedFraction returns the fraction of the requests due in [from, to) that was served within the latency objective.
func servedFraction(attempts []fakes.Attempt, from, to time.Time) float64 {
	early := slices.DeleteFunc(slices.Clone(attempts), func(t fakes.Attempt) bool { return !t.RequestedAt.Before(to) })
	for _, all := range fakes.Tally(early, from, 0) {
		return all.ServedFraction()
	}
	return 1
}

// windowWidth returns the width of windows for a load of rate requests per second.
func windowWidth(rate float64) time.Duration {
	return max(minWidth, time.Duration(requestsPerWindow/rate*float64(time.Second)))
}

// degradation describes how an event degraded service.
type degradation struct {
	recoveryTime time.Duration // from the event until service recovered; 0 = it never degraded
	recovered    bool          // false = service was still degraded at the end
	below        time.Duration // total width of windows below 95% of normal
	worst        float64       // served share in the worst window
}

// degradationAfter searches for the first window after the event that is below 95% of normal, since service may degrade
// late: after SIGTERM, for example, it stays normal for a while. From that window on, fakes.RecoveryTime determines when
// service has recovered. A degradation that begins in the last second only adds to below, since the load ends before its
// recovery can be observed.
func degradationAfter(attempts []fakes.Attempt, event time.Time, normal float64, width time.Duration) degradation {
	out := degradation{recovered: true, worst: 1}
	windows := fakes.Tally(attempts, event, width)
	windows = windows[:max(0, len(windows)-1)] // the last one may be incomplete
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
		out.recoveryTime, out.recovered = fakes.RecoveryTime(attempts, event.Add(begin), normal, width)
		out.recoveryTime += begin
	}
	return out
}

// extraRuns counts the runs of requests that must not run twice, beyond the first run of each.
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

// notifiedAt returns when discovery first sent each drain to a sidecar; drains holds the revision that lists it, by server id.
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

// lateSends counts the requests whose first byte reached a server after its drain grace.
func lateSends(notifiedAt map[string]time.Time, requests []fakes.Request) (n int) {
	for _, q := range requests {
		if at, drained := notifiedAt[q.Server]; drained && q.FirstByte.After(at.Add(drainGrace+noticeTolerance)) {
			n++
		}
	}
	return n
}

// metrics computes the metrics of a run whose load has ended.
func (r *rig) metrics(event time.Time) Metrics {
	w := windowWidth(r.setup.Rate)
	f := Metrics{Stall: r.stall.Seconds(), Normal: servedFraction(r.attempts, event.Add(-baselineFrom), event.Add(-baselineTo))}
	t := degradationAfter(r.attempts, event, f.Normal, w)
	f.Below, f.Worst = t.below.Seconds(), t.worst
	until := r.attempts[len(r.attempts)-1].DueAt
	if t.recovered {
		back := t.recoveryTime.Seconds()
		f.Recovery = &back
		until = event.Add(max(minCountTime, t.recoveryTime))
	}
	if !r.restartedAt.IsZero() {
		first := servedFraction(r.attempts, r.restartedAt, r.restartedAt.Add(afterRestartWindow))
		f.AfterRestart = &first
	}
	for i := range r.attempts {
		if t := &r.attempts[i]; t.Number == 0 {
			f.Requests++
		}
		if r.attempts[i].EndedAt.After(event) {
			f.count(&r.attempts[i])
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
