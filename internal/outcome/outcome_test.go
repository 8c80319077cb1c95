package outcome

import (
	"testing"

	"plankrouter/policy"
)

// A non-idempotent request is retried only after an attempt whose kind proves that it has not run. The test therefore lists
// each kind that proves this.
func TestKindsThatNeverRan(t *testing.T) {
	neverRan := map[Kind]bool{
		Declined: true, ConnectionLimit: true, LocalError: true, ConnectRefused: true, ConnectTimeout: true, ServerDraining: true, Expired: true,
		PartlyWritten: true, Withdrawn: true, NoLoadReport: true,
	} // only probes end with NoLoadReport
	names := map[string]bool{}
	for kind := Served; kind < kindCount; kind++ {
		if kind.Status().NeverRan() != neverRan[kind] {
			t.Errorf("%s: status %d", kind, kind.Status())
		}
		if kind == Served != (kind.Status() == policy.OK) {
			t.Errorf("%s: status %d", kind, kind.Status())
		}
	}
	for kind := Open; kind < kindCount; kind++ {
		if kind.String() == "" || names[kind.String()] {
			t.Errorf("kind %d has the name %q", kind, kind)
		}
		names[kind.String()] = true
	}
	for _, kind := range []Kind{ResetByPeer, Malformed, TimedOut, Cancelled} {
		if !kind.Unsent().Status().NeverRan() {
			t.Errorf("%s before the last byte: %s", kind, kind.Unsent())
		}
	}
}
