package policy_test

import (
	"fmt"

	"plankrouter/policy"
)

// A sidecar passes events to a Balancer and carries out the actions that it returns.
func Example() {
	b, err := policy.New(policy.Config{
		Classes: []policy.Class{{LatencyObjective: 200, Deadline: 1000, PriorityWeight: 1, Idempotency: policy.Idempotent}},
		Probes:  true, MaxAttempts: 2, Round: 1,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 0.0
	acts := b.Handle(now, &policy.Event{Kind: policy.Started}, nil)
	acts = b.Handle(now, &policy.Event{Kind: policy.EndpointsUpdated, Complete: true, Servers: []policy.ServerInfo{
		{ID: 7, Health: policy.Ready},
	}}, acts[:0])
	acts = b.Handle(now+1, &policy.Event{Kind: policy.RequestArrived, Request: 1, TimeLeft: 500}, acts[:0])
	for _, a := range acts {
		switch a.Kind {
		case policy.SendProbe:
			fmt.Println("probe", a.Server)
		case policy.StartAttempt:
			fmt.Println("send request", a.Request, "to", a.Server)
		}
	}
	// Output:
	// probe 7
	// send request 1 to 7
}
