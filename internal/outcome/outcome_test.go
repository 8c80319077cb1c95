package outcome

import (
	"plankrouter/policy"
	"testing"
)

// What proves that an invoker call never ran decides whether an order may be sent again: no ending may slip over to
// the other side.
func TestKindsThatNeverRan(t *testing.T) {
	never := map[Kind]bool{
		Declined: true, ConnectionLimit: true, LocalError: true, ConnectRefused: true, ConnectTimeout: true, ServerDraining: true, Expired: true,
		PartlyWritten: true, Withdrawn: true, NoLoadReport: true,
	} // the last is of probes alone
	names := map[string]bool{}
	for e := Served; e < kindCount; e++ {
		if e.Status().NeverRan() != never[e] {
			t.Errorf("%s: status %d", e, e.Status())
		}
		if e == Served != (e.Status() == policy.OK) {
			t.Errorf("%s: status %d", e, e.Status())
		}
	}
	for e := Open; e < kindCount; e++ {
		if e.String() == "" || names[e.String()] {
			t.Errorf("ending %d is called %q", e, e)
		}
		names[e.String()] = true
	}
	for _, e := range []Kind{ResetByPeer, Malformed, TimedOut, Cancelled} {
		if !e.Unsent().Status().NeverRan() {
			t.Errorf("%s before the last byte: %s", e, e.Unsent())
		}
	}
}
