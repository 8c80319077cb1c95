package capacity

import "math"

// Line is a least-squares line through measured points.
type Line struct {
	Slope     float64 `json:"slope"`     // of the figure's unit for one of the size's
	Intercept float64 `json:"intercept"` // of the figure's unit
	Residual  float64 `json:"residual"`  // root of the mean square of what the line leaves, in the figure's unit
}

// Fit returns the line through (x[i], y[i]). Where all x are the same there is none, and its slope is NaN.
func Fit(x, y []float64) Line {
	n := float64(len(x))
	var mx, my, xx, xy float64
	for i := range x {
		mx, my = mx+x[i]/n, my+y[i]/n
	}
	for i := range x {
		xx, xy = xx+(x[i]-mx)*(x[i]-mx), xy+(x[i]-mx)*(y[i]-my)
	}
	if xx == 0 {
		return Line{math.NaN(), my, 0}
	}
	l := Line{Slope: xy / xx}
	l.Intercept = my - l.Slope*mx
	var left float64
	for i := range x {
		d := y[i] - l.Intercept - l.Slope*x[i]
		left += d * d / n
	}
	l.Residual = math.Sqrt(left)
	return l
}
