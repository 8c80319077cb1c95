package policy_test

import (
	"fmt"
	"plankrouter/policy"
)

// A sidecar feeds events and carries out the actions that come back.
func Example() {
	b, err := policy.New(policy.Config{
		Classes: []policy.Class{{Aim: 200, Deadline: 1000, Worth: 1, Repeat: policy.Safe}},
		Probes:  true, MaxAttempts: 2, Round: 1,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 0.0
	acts := b.Handle(now, &policy.Event{Kind: policy.Started}, nil)
	acts = b.Handle(now, &policy.Event{Kind: policy.List, Full: true, Servers: []policy.ServerInfo{
		{ID: 7, Health: policy.Ready},
	}}, acts[:0])
	acts = b.Handle(now+1, &policy.Event{Kind: policy.Arrival, Request: 1, Left: 500}, acts[:0])
	for _, a := range acts {
		switch a.Kind {
		case policy.Probe:
			fmt.Println("probe", a.Server)
		case policy.Send:
			fmt.Println("send request", a.Request, "to", a.Server)
		}
	}
	// Output:
	// probe 7
	// send request 1 to 7
}
