package capacity

import "math"

// Line is a least-squares line through measured points.
type Line struct {
	Slope     float64 `json:"slope"`     // change of the metric per unit of the size
	Intercept float64 `json:"intercept"` // value of the metric at size 0
	Residual  float64 `json:"residual"`  // root mean square of the residuals, in the unit of the metric
}

// Fit returns the least-squares line through the points (x[i], y[i]). Its slope is NaN if all x are the same.
func Fit(x, y []float64) Line {
	n := float64(len(x))
	var meanX, meanY, sumXX, sumXY float64
	for i := range x {
		meanX, meanY = meanX+x[i]/n, meanY+y[i]/n
	}
	for i := range x {
		sumXX, sumXY = sumXX+(x[i]-meanX)*(x[i]-meanX), sumXY+(x[i]-meanX)*(y[i]-meanY)
	}
	if sumXX == 0 {
		return Line{math.NaN(), meanY, 0}
	}
	l := Line{Slope: sumXY / sumXX}
	l.Intercept = meanY - l.Slope*meanX
	var meanSquare float64
	for i := range x {
		d := y[i] - l.Intercept - l.Slope*x[i]
		meanSquare += d * d / n
	}
	l.Residual = math.Sqrt(meanSquare)
	return l
}
