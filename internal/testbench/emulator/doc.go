// Package emulator is a discrete-event simulation of a fleet in virtual time: clients, sidecars, a network, discovery and
// servers. Each sidecar hosts a policy (package policy) or a baseline policy directly, without sockets, so that
// thousands of sidecars and hundreds of servers fit on one machine.
//
// Run simulates one run, which reports call a day, and returns a Report; Compare simulates the same days with two
// settings. A run uses one goroutine and is determined by its Config: the same Config gives the same report, byte for
// byte, whatever GOMAXPROCS is. Times are policy.Ms, or seconds where a name or key says so; work is in ms of a core of
// speed 1. docs/design/emulator.md describes the model and its limits, docs/operate/emulator.md the command.
package emulator
