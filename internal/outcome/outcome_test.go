package outcome

import (
	"testing"

	"plankrouter/policy"
)

// Whether an attempt never ran decides whether what is not idempotent may be sent again: no kind may slip over to the other side.
func TestKindsThatNeverRan(t *testing.T) {
	neverRan := map[Kind]bool{
		Declined: true, ConnectionLimit: true, LocalError: true, ConnectRefused: true, ConnectTimeout: true, ServerDraining: true, Expired: true,
		PartlyWritten: true, Withdrawn: true, NoLoadReport: true,
	} // the last is of probes alone
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
			t.Errorf("kind %d is called %q", kind, kind)
		}
		names[kind.String()] = true
	}
	for _, kind := range []Kind{ResetByPeer, Malformed, TimedOut, Cancelled} {
		if !kind.Unsent().Status().NeverRan() {
			t.Errorf("%s before the last byte: %s", kind, kind.Unsent())
		}
	}
}
