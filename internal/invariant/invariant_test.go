package invariant

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestBook(t *testing.T) {
	var lines []string
	b := &Book{Logf: func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }}
	b.Held(DrainGrace)
	b.Held(DrainGrace)
	b.Broken(Effect, "request=%q", "r-1")
	if c := b.Counts(); c[DrainGrace].Held != 2 || c[DrainGrace].Broken != 0 || c[Effect].Broken != 1 || len(c) != int(count) {
		t.Errorf("%v", c)
	}
	if diff := cmp.Diff([]string{`rule=effect state=broken request="r-1"`}, lines); diff != "" {
		t.Error(diff)
	}
	var none *Book
	none.Held(Answer)
	none.Broken(Answer, "")
	for _, c := range none.Counts() {
		if c.Held+c.Broken != 0 {
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
		"none":        {LimitAt(time.Time{}, time.Second), at, false, false},
		"in time":     {LimitAt(at, time.Second), at, false, false},
		"held back":   {LimitAt(at, time.Second), at.Add(1), true, false},
		"just passed": {LimitAt(at, time.Second), at.Add(time.Second), true, false},
		"broken":      {LimitAt(at, time.Second), at.Add(time.Second + 1), true, true},
	} {
		if over, broken := row.limit.Over(row.done), row.limit.BrokenAt(row.done); over != row.over || broken != row.broken {
			t.Errorf("%s: over %t, broken %t", name, over, broken)
		}
	}
}
