package loadgen

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
)

// Shape is a request rate over time. It is one of
//
//   - constant: Rate;
//   - step: Rate, and To from AtS on;
//   - ramp: Rate until AtS, then linearly to To within OverS;
//   - spike: Rate until AtS, then up to Rate*Times within OverS (0 = 1 s), held for HoldS, and back within BackS (0 = 1 s);
//   - sine: a mean of Rate, an amplitude of Rate*Swing and a period of PeriodS; it rises through Rate at AtS;
//   - sum: the sum of the shapes in Of;
//   - sequence: the shapes in Of one after another, each for its ForS, the last one until the end of the run.
//
// Rates are in requests per second; times are in seconds, AtS from the start of the shape.
type Shape struct {
	Kind    string  `json:"kind"`
	Rate    float64 `json:"rate,omitempty"`
	To      float64 `json:"to,omitempty"`
	Times   float64 `json:"times,omitempty"`
	Swing   float64 `json:"swing,omitempty"`
	AtS     float64 `json:"at_s,omitempty"`
	OverS   float64 `json:"over_s,omitempty"`
	HoldS   float64 `json:"hold_s,omitempty"`
	BackS   float64 `json:"back_s,omitempty"`
	PeriodS float64 `json:"period_s,omitempty"`
	ForS    float64 `json:"for_s,omitempty"`
	Of      []Shape `json:"of,omitempty"`
}

// shapeKinds lists, by kind of shape, the allowed keys (takes) and those of them that must be above 0
// (needs).
var shapeKinds = map[string]struct{ takes, needs []string }{
	"constant": {[]string{"rate"}, nil},
	"step":     {[]string{"rate", "to", "at_s"}, nil},
	"ramp":     {[]string{"rate", "to", "at_s", "over_s"}, []string{"over_s"}},
	"spike":    {[]string{"rate", "times", "at_s", "over_s", "hold_s", "back_s"}, []string{"rate", "times"}},
	"sine":     {[]string{"rate", "swing", "period_s", "at_s"}, []string{"rate", "period_s"}},
	"sum":      {[]string{"of"}, nil},
	"sequence": {[]string{"of"}, nil},
}

const (
	maxRate           = 1e6 // limit on the rate of one shape, in requests per second
	defaultSpikeRampS = 1.0 // default seconds for a spike to rise, and to fall
	maxShapeDepth     = 8   // limit on the levels of nested shapes
)

func (s *Shape) numericValues() map[string]float64 {
	return map[string]float64{
		"rate": s.Rate, "to": s.To, "times": s.Times, "swing": s.Swing, "at_s": s.AtS,
		"over_s": s.OverS, "hold_s": s.HoldS, "back_s": s.BackS, "period_s": s.PeriodS, "for_s": s.ForS,
	}
}

// check returns an error for an invalid shape. The error names key, the place of the shape in the plan. inner says that the
// shape is followed by another one in a sequence, so that it must end.
func (s *Shape) check(key string, inner bool, depth int) error {
	_, known := shapeKinds[s.Kind]
	switch {
	case !known:
		return fmt.Errorf("%s.kind: unknown kind %q; want %s", key, s.Kind,
			strings.Join(slices.Sorted(maps.Keys(shapeKinds)), ", "))
	case depth > maxShapeDepth:
		return fmt.Errorf("%s: shapes are nested deeper than %d; write them side by side", key, maxShapeDepth)
	case inner && s.ForS <= 0:
		return fmt.Errorf("%s.for_s: %v; a sequence needs the duration of each shape but the last: want more than 0", key,
			s.ForS)
	}
	if err := s.checkNumbers(key, inner); err != nil {
		return err
	}
	switch {
	case max(s.Rate, s.To, s.Rate*s.Times) > maxRate:
		return fmt.Errorf("%s: more than %v requests a second; lower rate, to or times", key, maxRate)
	case s.Swing > 1:
		return fmt.Errorf("%s.swing: %v; want at most 1, or the rate would fall below 0", key, s.Swing)
	}
	return s.checkInner(key, depth)
}

// checkNumbers checks each number against the allowed and required keys of the shape's kind.
func (s *Shape) checkNumbers(key string, inner bool) error {
	kind, numbers := shapeKinds[s.Kind], s.numericValues()
	for _, name := range slices.Sorted(maps.Keys(numbers)) {
		v := numbers[name]
		switch {
		case name == "for_s" && inner:
		case v != 0 && !slices.Contains(kind.takes, name):
			return fmt.Errorf("%s.%s: is not a key of a %s; remove it (it takes %s)", key, name, s.Kind,
				strings.Join(kind.takes, ", "))
		case v < 0 || math.IsNaN(v) || math.IsInf(v, 0):
			return fmt.Errorf("%s.%s: %v; want 0 or more", key, name, v)
		case v == 0 && slices.Contains(kind.needs, name):
			return fmt.Errorf("%s.%s: required by a %s; want more than 0", key, name, s.Kind)
		}
	}
	return nil
}

func (s *Shape) checkInner(key string, depth int) error {
	composed := s.Kind == "sum" || s.Kind == "sequence"
	switch {
	case composed && len(s.Of) == 0:
		return fmt.Errorf("%s.of: a %s needs one shape or more", key, s.Kind)
	case !composed && len(s.Of) > 0:
		return fmt.Errorf("%s.of: is not a key of a %s; remove it", key, s.Kind)
	}
	for i := range s.Of {
		ends := s.Kind == "sequence" && i < len(s.Of)-1
		if err := s.Of[i].check(fmt.Sprintf("%s.of[%d]", key, i), ends, depth+1); err != nil {
			return err
		}
	}
	return nil
}

// curve is an arrival rate over time, in seconds from 0.
type curve interface {
	rate(t float64) float64  // arrivals per second at t
	total(t float64) float64 // arrivals expected in [0, t)
}

func (s *Shape) curve() curve {
	switch s.Kind {
	case "constant":
		return newPiecewiseLinear(breakpoint{0, s.Rate})
	case "step":
		return newPiecewiseLinear(breakpoint{0, s.Rate}, breakpoint{s.AtS, s.Rate}, breakpoint{s.AtS, s.To})
	case "ramp":
		return newPiecewiseLinear(breakpoint{0, s.Rate}, breakpoint{s.AtS, s.Rate}, breakpoint{s.AtS + s.OverS, s.To})
	case "spike":
		up, down := s.OverS, s.BackS
		if up == 0 {
			up = defaultSpikeRampS
		}
		if down == 0 {
			down = defaultSpikeRampS
		}
		top, full := s.Rate*s.Times, s.AtS+up
		return newPiecewiseLinear(breakpoint{0, s.Rate}, breakpoint{s.AtS, s.Rate}, breakpoint{full, top}, breakpoint{full + s.HoldS, top},
			breakpoint{full + s.HoldS + down, s.Rate})
	case "sine":
		return sine{s.Rate, s.Swing, 2 * math.Pi / s.PeriodS, s.AtS}
	case "sum":
		return sum(curves(s.Of))
	default:
		return newSequence(s.Of)
	}
}

func curves(shapes []Shape) (all []curve) {
	for i := range shapes {
		all = append(all, shapes[i].curve())
	}
	return all
}

// breakpoint is a point where two straight segments meet.
type breakpoint struct{ time, rate float64 }

// piecewiseLinear is a curve of straight segments between points. After the last point it keeps that point's rate. Two points at
// the same time are a jump.
type piecewiseLinear struct {
	points         []breakpoint
	arrivalsBefore []float64 // arrivals expected before each point
}

func newPiecewiseLinear(points ...breakpoint) piecewiseLinear {
	before := make([]float64, len(points))
	for i := 1; i < len(points); i++ {
		a, b := points[i-1], points[i]
		before[i] = before[i-1] + (b.time-a.time)*(a.rate+b.rate)/2
	}
	return piecewiseLinear{points, before}
}

// indexAt returns the index of the last point at or before t.
func (l piecewiseLinear) indexAt(t float64) int {
	return max(0, sort.Search(len(l.points), func(i int) bool { return l.points[i].time > t })-1)
}

func (l piecewiseLinear) rate(t float64) float64 {
	i := l.indexAt(t)
	if i == len(l.points)-1 {
		return l.points[i].rate
	}
	a, b := l.points[i], l.points[i+1]
	return a.rate + (b.rate-a.rate)*(t-a.time)/(b.time-a.time)
}

func (l piecewiseLinear) total(t float64) float64 {
	i := l.indexAt(t)
	return l.arrivalsBefore[i] + (t-l.points[i].time)*(l.points[i].rate+l.rate(t))/2
}

// sine is a sine curve around a mean with the amplitude swing; frequency is the angular frequency, 2π over the period.
type sine struct{ mean, swing, frequency, risesAt float64 }

func (s sine) rate(t float64) float64 {
	return s.mean * (1 + s.swing*math.Sin(s.frequency*(t-s.risesAt)))
}

func (s sine) total(t float64) float64 {
	return s.mean * (t + s.swing/s.frequency*(math.Cos(-s.frequency*s.risesAt)-math.Cos(s.frequency*(t-s.risesAt))))
}

// sum is the sum of several curves.
type sum []curve

func (s sum) rate(t float64) (all float64) {
	for _, c := range s {
		all += c.rate(t)
	}
	return all
}

func (s sum) total(t float64) (all float64) {
	for _, c := range s {
		all += c.total(t)
	}
	return all
}

// sequence is several curves one after another.
type sequence struct {
	curves         []curve
	from           []float64 // start time of each curve
	arrivalsBefore []float64 // arrivals expected before each start
}

func newSequence(shapes []Shape) sequence {
	s := sequence{curves: curves(shapes), from: make([]float64, len(shapes)), arrivalsBefore: make([]float64, len(shapes))}
	for i := 1; i < len(shapes); i++ {
		length := shapes[i-1].ForS
		s.from[i] = s.from[i-1] + length
		s.arrivalsBefore[i] = s.arrivalsBefore[i-1] + s.curves[i-1].total(length)
	}
	return s
}

func (s sequence) indexAt(t float64) int {
	return max(0, sort.Search(len(s.from), func(i int) bool { return s.from[i] > t })-1)
}

func (s sequence) rate(t float64) float64 {
	i := s.indexAt(t)
	return s.curves[i].rate(t - s.from[i])
}

func (s sequence) total(t float64) float64 {
	i := s.indexAt(t)
	return s.arrivalsBefore[i] + s.curves[i].total(t-s.from[i])
}

const (
	arrivalTolerance = 1e-8
	timeTolerance    = 1e-11
)

// invert returns the time between lo and hi until which target arrivals are expected, or false if there is none. It uses
// Newton's method within a shrinking bracket, with bisection as the fallback.
func invert(c curve, target, lo, hi float64) (float64, bool) {
	if c.total(hi) <= target {
		return 0, false
	}
	t, a, b := lo, lo, hi
	for b-a > timeTolerance {
		off := c.total(t) - target
		switch {
		case math.Abs(off) < arrivalTolerance:
			return t, true
		case off < 0:
			a = t
		default:
			b = t
		}
		if t -= off / c.rate(t); !(t > a && t < b) { // with a rate of 0 the step leaves the bracket
			t = (a + b) / 2
		}
	}
	return t, true
}
