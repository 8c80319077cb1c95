// Package soak hunts rare faults: it plays a handful of real sidecars on loopback, with stand-in servers behind a fault proxy,
// clients that misbehave and a discovery that fails, while troubles drawn from a seed overlap in time: processes are told to end,
// killed, reloaded, stopped for a moment and handed over; their system calls and disks fail and the wall clock is stepped (package
// faults, in a program built with its tag); servers restart, drain, vanish and reset. Afterwards a judge compares what clients,
// servers and processes have recorded with the rules.
//
// A run is drawn from its seed, but the machine's scheduling is not: the same seed plays the same troubles, not the same day.
package soak
