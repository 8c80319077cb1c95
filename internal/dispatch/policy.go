package dispatch

import (
	"container/heap"
	"time"

	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/staleness"
	"plankrouter/policy"
)

// handle passes an event to the policy and executes the resulting actions. An action may end an attempt at once; the event of
// that end is queued until the earlier actions have been executed.
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
			next.TimeLeft = millis(d.timeLeft(pending.request, d.eventTime)) // relative to the time of the event
			next.BodyPending = pending.request.Remainder != nil
		}
		d.actions = d.balancer.Handle(d.clock.at(d.eventTime), &next, d.actions[:0])
		for i := range d.actions {
			d.execute(&d.actions[i])
		}
	}
	d.handling = false
}

// execute executes one action of the policy.
func (d *Dispatcher) execute(action *policy.Action) {
	switch action.Kind {
	case policy.StartAttempt:
		d.startAttempt(action)
	case policy.CancelAttempt:
		if pending := d.requests[action.Request]; pending != nil && pending.inFlight() && action.Attempt == pending.attemptsStarted-1 {
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
	case policy.Subscribe: // nothing to do: the list is always watched
	case policy.Log:
		d.options.Logf("decision=%q", action.Text)
	}
}

// withProbeValidity returns the policy's settings with ProbeValidity, the time for which a probe allows requests to its server
// while the list is stale, derived from the drain grace.
func withProbeValidity(cfg policy.Config, grace time.Duration) policy.Config {
	pickWindow, _ := staleness.DrainLimits(grace)
	cfg.ProbeValidity = millis(pickWindow)
	return cfg
}
