package loadgen

import (
	"math"
	"slices"
	"testing"
)

var shapes = []string{
	`{"kind":"constant","rate":50}`,
	`{"kind":"step","rate":50,"to":150,"at_s":20}`,
	`{"kind":"ramp","rate":10,"to":150,"at_s":5,"over_s":30}`,
	`{"kind":"spike","rate":30,"times":10,"at_s":20,"hold_s":5,"back_s":10}`,
	`{"kind":"sine","rate":80,"swing":1,"period_s":30,"at_s":10}`,
	`{"kind":"sum","of":[{"kind":"constant","rate":40},{"kind":"ramp","to":50,"over_s":60}]}`,
	`{"kind":"sequence","of":[{"kind":"constant","rate":100,"for_s":10},{"kind":"constant","for_s":10},
		{"kind":"sine","rate":90,"swing":0.5,"period_s":7}]}`,
}

// TestShapes checks that total is the integral of rate, and invert the inverse of total.
func TestShapes(t *testing.T) {
	for _, text := range shapes {
		s := parseShape(text)
		ok(t, s.check("shape", false, 1))
		c := s.curve()
		const step = 5e-3
		area := 0.0
		for t0 := 0.0; t0 < 60; t0 += step {
			area += c.rate(t0+step/2) * step
			if total := c.total(t0 + step); math.Abs(total-area) > 1 {
				t.Fatalf("%s: %v arrivals until %v s, the integral is %v", text, total, t0+step, area)
			}
		}
		for target := 0.5; target < area-1; target += 7.3 {
			if at, found := invert(c, target, 0, 60); !found || math.Abs(c.total(at)-target) > 1e-6 {
				t.Fatalf("%s: arrival %v at %v (%t), when %v are expected", text, target, at, found, c.total(at))
			}
		}
	}
	s := parseShape(shapes[3])
	spike := s.curve()
	if got := []float64{
		spike.rate(20), spike.rate(20.5), spike.rate(21), spike.rate(26), spike.rate(31),
		spike.rate(99),
	}; !slices.Equal(got, []float64{30, 165, 300, 300, 165, 30}) {
		t.Errorf("the spike has the rates %v", got)
	}
}

// TestSpacing checks, for every shape, the gaps measured in expected arrivals instead of seconds: the gaps of Poisson arrivals
// are independent and exponential, and those of even arrivals are 1.
// The bound is that of the Kolmogorov-Smirnov test at a significance of 0.001.
func TestSpacing(t *testing.T) {
	for _, text := range shapes {
		for _, spacing := range []string{Poisson, Even} {
			p := constantPlan(t, parseShape(text), spacing, 60)
			c := p.Streams[0].Shape.curve()
			var gaps []float64
			last := 0.0
			for q, err := range p.Requests() {
				ok(t, err)
				gaps = append(gaps, c.total(q.At.Seconds())-last)
				last += gaps[len(gaps)-1]
			}
			n := float64(len(gaps))
			if want := c.total(60); math.Abs(n-want) > 4*math.Sqrt(want) {
				t.Errorf("%s, %s: %v requests, want about %v", text, spacing, n, want)
			}
			if spacing == Even {
				for _, g := range gaps[1:] {
					if math.Abs(g-1) > 1e-4 {
						t.Errorf("%s: a gap of %v", text, g)
					}
				}
				continue
			}
			serial := 0.0 // autocorrelation of consecutive gaps
			for i := range gaps[1:] {
				serial += (gaps[i] - 1) * (gaps[i+1] - 1) / n
			}
			slices.Sort(gaps)
			worst := 0.0
			for i, g := range gaps {
				worst = max(worst, math.Abs(1-math.Exp(-g)-(float64(i)+0.5)/n))
			}
			if worst > 1.95/math.Sqrt(n) || math.Abs(serial) > 4/math.Sqrt(n) {
				t.Errorf("%s: gaps are not exponential (%v) or not independent (%v), of %v", text, worst, serial, n)
			}
		}
	}
}
