// Package policy makes the decisions of one load-balancing sidecar: to which server each request is sent, when it is
// retried, and when it is rejected. It does no input or output and reads no clock.
//
// config.go, events.go, actions.go and state.go are the interface; each other file implements one decision.
// The algorithm is asynchronous Prequal: probes sent along with requests fill a small pool of recently reported loads,
// from which the hot-cold rule picks a server. See docs/design.md.
package policy
