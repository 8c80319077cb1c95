// Package simulated plays a fleet of simulated sidecars, some hundreds to a process, to see what thousands of them cost and how
// soon a change of the endpoint list is in force at the last one.
//
// A simulated sidecar has the real configuration, dispatcher, policy, staleness and watch of discovery, the last over real
// loopback connections to a fake discovery. It has no front end and no connections to servers: requests are drawn in the process,
// and attempts and probes are answered in memory after a fixed time. Also missing are the parser and writer of HTTP, what is
// learned of kept connections (package keepalive), snapshots, hot restarts, and the operators' address and log. Compare measures
// a real and a simulated one side by side, which shows what that leaves out.
//
// The fleet is a few processes, Parts, each with either discovery or sidecars. One process controls them over pipes.
package simulated
