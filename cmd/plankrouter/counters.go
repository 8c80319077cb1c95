package main

import (
	"fmt"
	"log"
	"maps"
	"slices"
	"strings"

	"plankrouter/internal/dispatch"
	"plankrouter/internal/metrics"
	"plankrouter/internal/outcome"
)

// report logs the counters.
func (p *program) report() {
	counts := p.dispatcher.Counts()
	p.reportRequests(counts, p.metrics.Read())
	log.Printf("name=%s counters=front connections=%d adopted=%d not_taken=%d sockets=%d", p.cfg.Name,
		p.frontend.Connections.Load(), p.frontend.Adopted.Load(), p.frontend.Rejected.Load(), p.budget.Used())
	log.Printf("name=%s counters=directory answers=%d failures=%d doubts=%d", p.cfg.Name,
		p.watch.Responses.Load(), p.watch.Failures.Load(), p.watch.FullRefreshes.Load())
	if writer := p.snapshotWriter; writer != nil {
		log.Printf("name=%s counters=snapshots written=%d failed=%d skipped=%d", p.cfg.Name,
			writer.Written.Load(), writer.Failed.Load(), writer.Skipped.Load())
	}
	for _, rule := range p.invariants.Counts() {
		if rule.Prevented+rule.Violations > 0 {
			log.Printf("name=%s counters=rules rule=%s held_back=%d broken=%d", p.cfg.Name, rule.Rule, rule.Prevented, rule.Violations)
		}
	}
	p.reportOutcomes("calls", counts.AttemptOutcomes)
	p.reportOutcomes("probes", counts.ProbeOutcomes)
	p.reportOutcomes("idle_connections", p.backend.IdleOutcomes())
	p.reportOutcomes("consumers", p.frontend.Outcomes())
}

// reportRequests logs the counts of requests by result, in total, by reason and by class.
func (p *program) reportRequests(counts dispatch.Counts, values metrics.Values) {
	log.Printf("name=%s counters=core taken=%d conflicts=%d consumer_gone=%d sent=%d probes=%d lists=%d served=%d "+
		"refused=%d failed=%d", p.cfg.Name, counts.Accepted, counts.Duplicates, counts.ClientsGone, values.Dispatches, counts.Probes,
		counts.EndpointUpdates, metrics.Sum(values.Success), metrics.Sum(values.Overload), metrics.Sum(values.Error))
	for _, reason := range slices.Sorted(maps.Keys(counts.UnservedByReason)) {
		log.Printf("name=%s counters=unserved why=%s requests=%d", p.cfg.Name, reason, counts.UnservedByReason[reason])
	}
	for _, class := range slices.Sorted(maps.Keys(values.Success)) {
		log.Printf("name=%s counters=requests class=%s success=%d overload=%d error=%d", p.cfg.Name, class, values.Success[class],
			values.Overload[class], values.Error[class])
	}
}

// reportOutcomes logs the outcomes of the attempts, probes or connections of one kind.
func (p *program) reportOutcomes(kind string, counts outcome.Counts) {
	var text strings.Builder
	counts.Each(func(how outcome.Kind, n int) { fmt.Fprintf(&text, " %s=%d", how, n) })
	log.Printf("name=%s counters=ended of=%s%s", p.cfg.Name, kind, text.String())
}
