package wallclock

import "testing"

const (
	start  = 1.8e12 // initial time of the wall clock and of the timeline
	minute = 60e3
	hour   = 60 * minute
)

// A date written before or after a clock step is placed at the time it was written, or later where the offset is ambiguous.
func TestPlace(t *testing.T) {
	for name, row := range map[string]struct {
		steps   []float64 // steps of the wall clock, a minute apart
		age     float64   // age of the date, two minutes after the last step
		written int       // number of steps before the date was written
		younger float64   // most by which the date may be placed too late
	}{
		"no step":                              {nil, 1000, 0, 0},
		"stepped back, written after":          {[]float64{-hour}, 1000, 1, 0},
		"stepped back, written before":         {[]float64{-hour}, 3 * minute, 0, 0},
		"stepped forward, written after":       {[]float64{hour}, 1000, 1, 0},
		"stepped forward, written before":      {[]float64{hour}, 3 * minute, 0, 0},
		"stepped forward a little, after":      {[]float64{5000}, 1000, 1, 0},
		"stepped forward a little, long after": {[]float64{5000}, 10000, 1, 5000},
		"stepped back a little, after":         {[]float64{-5000}, 1000, 1, 0},
		"stepped back a little, long before":   {[]float64{-5000}, 4 * minute, 0, 5000},
		"back and forth, written between":      {[]float64{-hour, hour}, 2*minute + 30e3, 1, 0},
		"twice, written between":               {[]float64{hour, -5000}, 2*minute + 30e3, 1, 5000},
	} {
		var l Timeline
		now, offset := start, 0.0
		offsets := []float64{0}
		for _, s := range row.steps {
			now += minute
			offset += s
			offsets = append(offsets, offset)
			if got := l.Observe(now, now+offset); got != s {
				t.Errorf("%s: step of %g observed as %g", name, s, got)
			}
		}
		now += 2 * minute
		if got := l.Observe(now, now+offset+1); got != 0 {
			t.Errorf("%s: no step observed as %g", name, got)
		}
		l.Observe(now, now+offset)
		at := now - row.age
		got := l.Place(at+offsets[row.written], now)
		if got < at || got > at+row.younger {
			t.Errorf("%s: placed %g ms too late, want 0 to %g", name, got-at, row.younger)
		}
	}
}

// A date in the future counts as now, and a missing date stays missing.
func TestPlaceFuture(t *testing.T) {
	var l Timeline
	for date, want := range map[float64]float64{start + hour: start, start + 200: start, start: start, 0: 0, -1: 0} {
		if got := l.Place(date, start); got != want {
			t.Errorf("%g ms in the future: placed at %g, want %g", date-start, got, want)
		}
	}
}

// The memory for offsets is bounded, however often the clock is stepped.
func TestStepsAreBounded(t *testing.T) {
	var l Timeline
	for i := range 10 * maxSteps {
		l.Observe(start, start+float64(i)*1000)
	}
	if len(l.earlier) > maxSteps {
		t.Errorf("%d offsets are kept", len(l.earlier))
	}
}
