package invariant

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestBook(t *testing.T) {
	var lines []string
	b := &Recorder{Logf: func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }}
	b.Prevented(DrainGrace)
	b.Prevented(DrainGrace)
	b.Violated(Effect, "request=%q", "r-1")
	if c := b.Counts(); c[DrainGrace].Prevented != 2 || c[DrainGrace].Violations != 0 || c[Effect].Violations != 1 || len(c) != int(ruleCount) {
		t.Errorf("%v", c)
	}
	if diff := cmp.Diff([]string{`rule=effect state=broken request="r-1"`}, lines); diff != "" {
		t.Error(diff)
	}
	var none *Recorder
	none.Prevented(Answer)
	none.Violated(Answer, "")
	for _, c := range none.Counts() {
		if c.Prevented+c.Violations != 0 {
			t.Errorf("%s: a book that is none has counted", c.Rule)
		}
	}
}

func TestLimit(t *testing.T) {
	at := time.Now()
	for name, row := range map[string]struct {
		limit        Limit
		done         time.Time
		over, broken bool
	}{
		"none":        {NewLimit(time.Time{}, time.Second), at, false, false},
		"in time":     {NewLimit(at, time.Second), at, false, false},
		"held back":   {NewLimit(at, time.Second), at.Add(1), true, false},
		"just passed": {NewLimit(at, time.Second), at.Add(time.Second), true, false},
		"broken":      {NewLimit(at, time.Second), at.Add(time.Second + 1), true, true},
	} {
		if over, broken := row.limit.GuardPassed(row.done), row.limit.ViolatedAt(row.done); over != row.over || broken != row.broken {
			t.Errorf("%s: over %t, broken %t", name, over, broken)
		}
	}
}
