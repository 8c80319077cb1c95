// Package capacity measures the resource use of a sidecar as its fleet and load grow: it runs the sidecar program on loopback
// with fake discovery and fake servers that count every message and byte, and varies one size at a time. A least-squares line
// through each set of sizes gives the cost per listed server, request, probe, endpoint change, reload and client connection.
//
//	report, err := capacity.Run(ctx, capacity.Setup{Program: "bin/plankrouter", Dir: dir}, capacity.Full())
//
// CPU times are those of the sidecar's process alone and remain meaningful on a busy machine; wall-clock times (latencies and
// the time until ready) do not. Linux only.
package capacity
