package main

import (
	"fmt"
	"log"
	"maps"
	"plankrouter/internal/metrics"
	"plankrouter/internal/outcome"
	"slices"
	"strings"
)

// report prints the counters.
func (p *program) report() {
	counts, frontend, watch, values := p.dispatcher.Counts(), p.frontend, p.watch, p.metrics.Read()
	log.Printf("name=%s counters=core taken=%d conflicts=%d consumer_gone=%d sent=%d probes=%d lists=%d served=%d "+
		"refused=%d failed=%d", p.cfg.Name, counts.Accepted, counts.Conflicts, counts.ClientsGone, values.Dispatches, counts.Probes, counts.EndpointUpdates,
		metrics.Sum(values.Success), metrics.Sum(values.Overload), metrics.Sum(values.Error))
	for _, why := range slices.Sorted(maps.Keys(counts.UnservedByReason)) {
		log.Printf("name=%s counters=unserved why=%s requests=%d", p.cfg.Name, why, counts.UnservedByReason[why])
	}
	for _, class := range slices.Sorted(maps.Keys(values.Success)) {
		log.Printf("name=%s counters=requests class=%s success=%d overload=%d error=%d", p.cfg.Name, class, values.Success[class],
			values.Overload[class], values.Error[class])
	}
	log.Printf("name=%s counters=front connections=%d adopted=%d not_taken=%d sockets=%d",
		p.cfg.Name, frontend.Connections.Load(), frontend.Adopted.Load(), frontend.NotTaken.Load(), p.budget.Used())
	log.Printf("name=%s counters=directory answers=%d failures=%d doubts=%d", p.cfg.Name, watch.Answers.Load(), watch.Failures.Load(),
		watch.FullRefreshes.Load())
	if writer := p.snapshotWriter; writer != nil {
		log.Printf("name=%s counters=snapshots written=%d failed=%d skipped=%d", p.cfg.Name, writer.Written.Load(), writer.Failed.Load(),
			writer.Skipped.Load())
	}
	for _, counts := range p.invariants.Counts() {
		if counts.Prevented+counts.Violations > 0 {
			log.Printf("name=%s counters=rules rule=%s held_back=%d broken=%d", p.cfg.Name, counts.Rule, counts.Prevented, counts.Violations)
		}
	}
	for _, e := range []struct {
		of     string
		counts outcome.Counts
	}{{"calls", counts.AttemptOutcomes}, {"probes", counts.ProbeOutcomes}, {"idle_connections", p.backend.Idle()}, {"consumers", frontend.Endings()}} {
		var b strings.Builder
		e.counts.Each(func(how outcome.Kind, n int) { fmt.Fprintf(&b, " %s=%d", how, n) })
		log.Printf("name=%s counters=ended of=%s%s", p.cfg.Name, e.of, b.String())
	}
}
