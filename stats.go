package plankrouter

import "plankrouter/internal/outcome"

// Stats are counts since New, except Connections, which is a current number.
type Stats struct {
	Accepted        int // requests that the dispatcher accepted
	Served          int
	Rejected        int
	Failed          int
	Cancelled       int
	Duplicates      int
	Attempts        int
	Probes          int
	EndpointUpdates int            // updates of the endpoint list
	AttemptOutcomes map[string]int // by name, as in the daemon's log
	ProbeOutcomes   map[string]int // by name, as in the daemon's log
	Connections     int            // open under the ConnectionLimit, those of other balancers that share it included
	LogLinesLost    int            // log lines dropped because the logger was slow, or lost in a handler that panicked
}

// Stats returns the current counts. It may be called after Close.
func (b *Balancer) Stats() Stats {
	counts := b.dispatcher.Counts()
	return Stats{
		Accepted:        counts.Accepted,
		Served:          counts.Served,
		Rejected:        counts.Rejected,
		Failed:          counts.Failed,
		Cancelled:       int(b.cancelled.Load()),
		Duplicates:      counts.Duplicates,
		Attempts:        counts.Attempts,
		Probes:          counts.Probes,
		EndpointUpdates: counts.EndpointUpdates,
		AttemptOutcomes: countsByName(counts.AttemptOutcomes),
		ProbeOutcomes:   countsByName(counts.ProbeOutcomes),
		Connections:     b.options.ConnectionLimit.budget.Used(),
		LogLinesLost:    int(b.log.lost.Load()),
	}
}

func countsByName(counts outcome.Counts) map[string]int {
	byName := map[string]int{}
	counts.Each(func(kind outcome.Kind, n int) { byName[kind.String()] = n })
	return byName
}
