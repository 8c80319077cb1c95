package shutdown

import (
	"testing"
	"time"
)

// A signal counts as sent at the last beat that proves that it had not been sent before, or at the third last beat if every
// beat is late.
func TestHeartbeat(t *testing.T) {
	start := time.Now()
	for name, row := range map[string]struct {
		beats []int // ms from the start
		want  int
	}{
		"no beat":                          {nil, 0},
		"one beat":                         {[]int{40}, 0},
		"all on time":                      {[]int{40, 80, 120}, 80},
		"stall, then read at once":         {[]int{40, 80}, 40},
		"stall, one beat before the read":  {[]int{40, 80, 270}, 40},
		"stall, two beats before the read": {[]int{40, 80, 270, 310}, 270},
		"two stalls":                       {[]int{40, 80, 270, 460}, 80},
		"stalls all the time":              {[]int{40, 80, 270, 460, 650, 840}, 460},
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
