// Package simulated runs fleets of simulated sidecars, several hundred per process. It measures the resources that thousands
// of them use, and how long it takes until a change of the endpoint list is in force at the last one.
//
// A simulated sidecar has the real configuration, dispatcher, policy, staleness and watch of discovery, the last over real
// loopback connections to a fake discovery. It has no front end and no connections to servers: requests are generated in the
// process, and attempts and probes get their responses in memory after a fixed time. It also lacks the HTTP parser and writer,
// the idle timeouts learned from servers (package keepalive), snapshots, hot restarts, the admin interface and the log. Compare
// runs a real and a simulated sidecar under the same load, which shows what the simulation leaves out.
//
// A fleet consists of a few processes, Parts, each with either discovery or sidecars. One process controls them over pipes.
package simulated
