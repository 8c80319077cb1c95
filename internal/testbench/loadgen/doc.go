// Package loadgen generates load whose arrivals do not wait for answers.
//
// A tool that sends its next request when the last one was answered slows down with the server that it measures, and
// what it reports leaves out just the requests that would have had to wait (coordinated omission). Here each request
// has a moment at which it is due, drawn ahead from a Plan or read from a recorded trace, and goes out at that moment
// whatever has become of the others. Latency counts from it, not from the send. The generator says by how much it was
// late itself, and beyond a bound the run is invalid: it would be a report on the generator.
//
// A Plan says what is asked for: streams with a Shape of arrivals over time, a mix of classes and tenants, and keys by
// popularity, or a trace. Plan.Requests is that plan as a sequence, the same each time it is walked. Run sends it, or
// one part of it in each of several processes (Spread, Work), and returns a Result; Merge adds Results up; NewReport
// makes of one what people and plots want to see.
//
// Memory grows with the length of a run in seconds and with the requests that are out, not with all that were sent.
package loadgen
