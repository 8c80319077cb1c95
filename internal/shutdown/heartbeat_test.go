package shutdown

import (
	"testing"
	"time"
)

// A signal that is read after beats counts from the last one that proves that it had not been sent, and never from much earlier than
// that.
func TestHeartbeat(t *testing.T) {
	start := time.Now()
	for name, row := range map[string]struct {
		beats []int // ms from the start
		want  int
	}{
		"none":                            {nil, 0},
		"one":                             {[]int{40}, 0},
		"in time":                         {[]int{40, 80, 120}, 80},
		"held up, then read at once":      {[]int{40, 80}, 40},
		"held up, a beat before the read": {[]int{40, 80, 270}, 40},
		"and one more":                    {[]int{40, 80, 270, 310}, 270},
		"held up twice":                   {[]int{40, 80, 270, 460}, 80},
		"held up all the time":            {[]int{40, 80, 270, 460, 650, 840}, 460},
	} {
		h := NewHeartbeat(start)
		for _, b := range row.beats {
			h.Beat(start.Add(time.Duration(b) * ms))
		}
		if got := h.EarliestSignal().Sub(start); got != time.Duration(row.want)*ms {
			t.Errorf("%s: sent after %s, want %d ms", name, got, row.want)
		}
	}
}
