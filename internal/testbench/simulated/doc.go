// Package simulated plays a fleet of hollow sidecars, some hundreds to a process, to see what thousands of them cost and how soon
// a change is in force at the last one.
//
// A hollow sidecar has the real configuration, core, decision module, freshness and watch of the directory, on a real loopback
// socket to a stand-in discovery. It has no consumers' front and no connections to tile servers: calls are drawn in the process,
// and attempts and probes are answered in memory, after a fixed time. Also missing: the parser and writer of HTTP towards
// consumers and tile servers, what is learned of connections (package reuse), snapshots, handover, operators' address and log.
// Compare measures one of each side by side, which says what that leaves out.
//
// The fleet is a few processes, Parts, each either discovery or sidecars, that one process orders about over pipes.
package simulated
