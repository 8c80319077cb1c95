// Package soak searches for rare bugs by fault injection. It runs a few real sidecars on loopback against fake servers, some
// of them behind a proxy that injects faults, with clients that misbehave and discovery that fails. Faults drawn from a seed
// overlap in time: processes are terminated, killed, reloaded, stopped briefly and hot restarted; their system calls and
// disks fail and the wall clock is stepped (by package faultinjection, in a program built with its tag); servers restart,
// drain, vanish and reset connections. Afterwards a judge checks the records of clients, servers and processes against the
// rules.
//
// The seed determines the faults, but not the machine's scheduling: two runs with one seed inject the same faults, but
// differ in detail.
package soak
