package logic_test

import (
	"fmt"

	"plankrouter/logic"
)

// A sidecar feeds events and carries out the actions that come back.
func Example() {
	b, err := logic.New(logic.Config{
		Classes: []logic.Class{{Aim: 200, Deadline: 1000, Worth: 1, Repeat: logic.Safe}},
		Probes:  true, MaxAttempts: 2, Round: 1,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 0.0
	acts := b.Handle(now, &logic.Event{Kind: logic.Started}, nil)
	acts = b.Handle(now, &logic.Event{Kind: logic.List, Full: true, Servers: []logic.ServerInfo{
		{ID: 7, Health: logic.Ready},
	}}, acts[:0])
	acts = b.Handle(now+1, &logic.Event{Kind: logic.Arrival, Request: 1, Left: 500}, acts[:0])
	for _, a := range acts {
		switch a.Kind {
		case logic.Probe:
			fmt.Println("probe", a.Server)
		case logic.Send:
			fmt.Println("send request", a.Request, "to", a.Server)
		}
	}
	// Output:
	// probe 7
	// send request 1 to 7
}
