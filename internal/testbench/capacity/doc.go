// Package capacity measures what a sidecar costs as its world grows: it starts the program as it is installed, on loopback,
// between discovery and servers that count every message and byte, and changes one size at a time. A least-squares line
// through each set of sizes gives the cost for each server in the list, call, probe, change, reload and client connection.
//
//	report, err := capacity.Run(ctx, capacity.Setup{Program: "bin/plankrouter", Dir: dir}, capacity.Full())
//
// CPU times are those of the sidecar's process alone; on a busy machine they still say something, while times by the clock
// (latencies, the time until ready) say little. Linux only.
package capacity
