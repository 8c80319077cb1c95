package plankrouter

import "plankrouter/internal/outcome"

// Stats are counts since New, and what there is at the moment.
type Stats struct {
	Accepted        int // requests handed to the dispatcher
	Served          int
	Rejected        int
	Failed          int
	Cancelled       int
	Duplicates      int
	Attempts        int
	Probes          int
	EndpointUpdates int            // changes of the endpoints
	AttemptOutcomes map[string]int // by the names of the daemon's log
	ProbeOutcomes   map[string]int // likewise
	Connections     int            // under the limit, those of others who share it included
	LogLinesLost    int            // log lines left out because the logger was slow
}

// Stats returns the present counts, also after Close.
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
