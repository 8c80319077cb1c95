package invariant

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestRecorder(t *testing.T) {
	var lines []string
	recorder := &Recorder{Logf: func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }}
	recorder.Prevented(DrainGrace)
	recorder.Prevented(DrainGrace)
	recorder.Violated(UnsafeRepeat, "request=%q", "r-1")
	if c := recorder.Counts(); c[DrainGrace].Prevented != 2 || c[DrainGrace].Violations != 0 || c[UnsafeRepeat].Violations != 1 || len(c) != int(ruleCount) {
		t.Errorf("%v", c)
	}
	if diff := cmp.Diff([]string{`rule=effect state=broken request="r-1"`}, lines); diff != "" {
		t.Error(diff)
	}
	var nilRecorder *Recorder
	nilRecorder.Prevented(MissingResponse)
	nilRecorder.Violated(MissingResponse, "")
	for _, c := range nilRecorder.Counts() {
		if c.Prevented+c.Violations != 0 {
			t.Errorf("%s: nil Recorder counted", c.Rule)
		}
	}
}

func TestLimit(t *testing.T) {
	at := time.Now()
	for name, row := range map[string]struct {
		limit                 Limit
		done                  time.Time
		guardPassed, violated bool
	}{
		"no limit":         {NewLimit(time.Time{}, time.Second), at, false, false},
		"in time":          {NewLimit(at, time.Second), at, false, false},
		"prevented":        {NewLimit(at, time.Second), at.Add(1), true, false},
		"within the slack": {NewLimit(at, time.Second), at.Add(time.Second), true, false},
		"violated":         {NewLimit(at, time.Second), at.Add(time.Second + 1), true, true},
	} {
		guardPassed, violated := row.limit.GuardPassed(row.done), row.limit.ViolatedAt(row.done)
		if guardPassed != row.guardPassed || violated != row.violated {
			t.Errorf("%s: guard passed %t, violated %t", name, guardPassed, violated)
		}
	}
}
