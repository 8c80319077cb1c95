// Package conformance is one suite of behaviour that the daemon and the library both have to show. Its scenarios are
// the text files in testdata/; each is played against the real program, started as a process on loopback, and against a
// Balancer in the test's own process, with the same scripted servers around both. What became of every request, which
// attempts each server has seen, and which orders have run must be the same on both sides and as the file says.
//
// README.md describes the language, how to add a scenario, and where the two sides differ by design. Beside the
// scenarios there are tests of what only a library can get wrong: two of them in one process, callbacks that panic or
// call back, and the contract of http.RoundTripper.
package conformance
