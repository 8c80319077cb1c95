// Package loadgen is an open-loop load generator: arrivals do not wait for responses.
//
// A closed-loop tool sends its next request when it has the response to the last one, so it slows down with the server. Its
// results then leave out exactly those requests that would have had to wait (coordinated omission). Here each request has a due
// time, generated from a Plan or read from a recorded trace, and is sent at that time regardless of the others. Latency
// counts from the due time, not from the send. The generator also records its own delay; if this delay exceeds a bound, the
// run is invalid, since its results would describe the generator, not the server.
//
// A Plan describes the load: streams with a Shape of arrivals over time, a mix of classes and tenants, and keys by
// popularity, or a trace. Plan.Requests returns its requests as a sequence, the same on each iteration. Run sends them, or
// one part of them in each of several processes (RunDistributed, RunWorker), and returns a Result; Merge adds up Results;
// NewReport turns one into a report that can be printed, plotted or written as CSV.
//
// Memory use grows with the length of a run in seconds and with the requests in flight, not with the number sent.
package loadgen
