// Package emulator is a fleet in virtual time: clients, sidecars, a network, discovery and servers, played as a
// discrete-event world. Each sidecar hosts a policy (package policy) or a textbook policy directly, without
// sockets, so that thousands of sidecars and hundreds of servers fit on one machine.
//
// Run plays one world and returns a Report; Compare plays the same days with two settings. A world is one goroutine and
// everything in it follows from its Config: the same Config gives the same bytes, whatever GOMAXPROCS is. Times are
// policy.Ms, or seconds where a name or key says so; work is in ms of a core of speed 1. docs/design/emulator.md
// describes the model and its limits, docs/operate/emulator.md the command.
package emulator
