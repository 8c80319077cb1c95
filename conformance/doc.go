// Package conformance tests that the daemon and the library behave alike. Its scenarios are the text files in testdata/. Each
// runs with the same scripted servers on two sides: the daemon, a process on loopback, and the library, a Balancer in the test's
// process. The outcome of every request, the attempts that each server received, and the requests of non-idempotent
// classes that ran must be the same on both sides, and as recorded in the file.
//
// README.md describes the scenario language, how to add a scenario, and where the two sides differ by design. Further tests
// cover what applies to the library only: two balancers in one process, callbacks that panic or call the balancer, and the
// contract of http.RoundTripper.
package conformance
