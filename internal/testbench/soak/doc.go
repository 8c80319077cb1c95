// Package soak hunts rare faults. It runs a few real sidecars on loopback, with fake servers behind a proxy that injects faults,
// clients that misbehave and a discovery that fails, while faults drawn from a seed overlap in time: processes are terminated,
// killed, reloaded, stopped for a moment and hot restarted; their system calls and disks fail and the wall clock is stepped
// (package faultinjection, in a program built with its tag); servers restart, drain, vanish and reset connections. Afterwards a
// judge compares what clients, servers and processes have recorded with the rules.
//
// A run is drawn from its seed, but the machine's scheduling is not: the same seed plays the same faults, not the same run.
package soak
