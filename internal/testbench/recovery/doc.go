// Package recovery measures how long service takes to recover from an event. It starts the sidecar's program as a process on
// loopback, between the fakes of package fakes, under a load whose arrivals don't wait for responses, triggers an event
// and counts the requests by result.
//
//	recovery.AdoptOrphans()
//	report, err := recovery.Run(ctx, scenario, recovery.Setup{Program: "bin/plankrouter", Servers: 8, Rate: 400,
//		Seed: 1, Dir: dir}) // for each of recovery.Scenarios()
//	report, err := recovery.Handovers(ctx, recovery.HandoverPlan{Setup: setup, Restarts: 200})
//
// All times are real time: run it on an otherwise idle machine, and compare only figures from runs that alternated on the
// same machine. Whether a rule is violated does not depend on the machine's speed.
//
// The program's processes are children of this one, or of one another. The id of each is found in its parent's log or
// through the parent's id in /proc, never by a name. Linux only.
package recovery
