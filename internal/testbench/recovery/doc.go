// Package recovery measures how long it takes until service is back. It starts the sidecar's program as a process on
// loopback, between the fakes of package fakes, under a load whose arrivals don't wait for answers, makes an event
// happen and counts what becomes of the requests.
//
//	recovery.AdoptOrphans()
//	report, err := recovery.Run(ctx, scenario, recovery.Setup{Program: "bin/plankrouter", Servers: 8, Rate: 400,
//		Seed: 1, Dir: dir}) // for each of recovery.Scenarios()
//	report, err := recovery.Handovers(ctx, recovery.HandoverPlan{Setup: setup, Restarts: 200})
//
// All times are those of real clocks: run it on a machine that does nothing else, and compare only figures that were
// taken in turn on the same one. What counts as a broken rule does not depend on the clock's pace.
//
// The program's processes are children of this one, or of one another; each is known by its id from its parent's log
// or its parent's number in /proc, never by a name. Linux only.
package recovery
