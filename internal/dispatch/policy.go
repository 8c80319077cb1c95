package dispatch

import (
	"container/heap"
	"time"

	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/staleness"
	"plankrouter/policy"
)

// handle gives the policy an event and carries out its actions. Carrying one out may end an attempt at once; that event waits until
// all actions that were decided before are done.
func (d *Dispatcher) handle(e policy.Event) {
	d.policyEvents = append(d.policyEvents, e)
	if d.handling {
		return
	}
	d.handling = true
	for len(d.policyEvents) > 0 {
		next := d.policyEvents[0]
		d.policyEvents = d.policyEvents[1:]
		d.eventTime = time.Now()
		if pending := d.requests[next.Request]; next.Kind == policy.RequestArrived && pending != nil {
			next.TimeLeft = millis(d.timeLeft(pending.request, d.eventTime)) // as of the time from which the policy counts it
		}
		d.actions = d.balancer.Handle(d.clock.at(d.eventTime), &next, d.actions[:0])
		for i := range d.actions {
			d.execute(&d.actions[i])
		}
	}
	d.handling = false
}

// execute carries out one of the policy's actions.
func (d *Dispatcher) execute(action *policy.Action) {
	switch action.Kind {
	case policy.StartAttempt:
		d.startAttempt(action)
	case policy.CancelAttempt:
		if pending := d.requests[action.Request]; pending != nil && pending.underWay() && action.Attempt == pending.attempts-1 {
			d.cancelAttempt(pending.attempt, outcome.Cancelled)
		}
	case policy.RejectRequest:
		d.countUnserved(action)
		d.respond(action.Request, request.Response{Kind: request.Rejected, RetryAfter: duration(action.After)})
	case policy.FailRequest:
		d.countUnserved(action)
		d.respond(action.Request, request.Response{Kind: request.Failed})
	case policy.SendProbe:
		if server := d.servers[action.Server]; server != nil {
			d.counts.Probes++
			d.launch(server, nil, &attemptRecord{isProbe: true, server: action.Server}, probeTimeout)
		}
	case policy.SetTimer:
		heap.Push(&d.timers, &timer{fireAt: d.eventTime.Add(duration(action.After)), handle: action.Timer})
	case policy.Subscribe: // the list is watched all the time
	case policy.Log:
		d.options.Logf("decision=%q", action.Text)
	}
}

// withProbeValidity adds to the policy's settings for how long a probe stands for a list that is stale.
func withProbeValidity(cfg policy.Config, grace time.Duration) policy.Config {
	pickFor, _ := staleness.DrainLimits(grace)
	cfg.ProbeValidity = millis(pickFor)
	return cfg
}
