// Package policy decides for one load-balancing sidecar: where each request goes, when it is tried
// again, and when it is refused. It does no input or output and reads no clock.
//
// config.go, events.go, actions.go and state.go are the interface; the other files hold a decision each.
// It is asynchronous Prequal: probes sent along with requests fill a small pool of fresh loads, from which
// the hot-cold rule picks. See docs/design.md.
package policy
