package loadgen

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"
)

// Dimensions of a plot, and limits of its latency axis.
const (
	plotWidth, plotHeight = 1200, 600
	minMs                 = 0.1 // start of the latency axis, in ms
	unservedMs            = 1e6 // placeholder in ms for the latency of requests that were never served, above all real latencies
)

// PlotFormat returns the renderer for a file name extension, .svg or .png.
func PlotFormat(extension string) (chart.RendererProvider, error) {
	switch extension {
	case ".svg":
		return chart.SVG, nil
	case ".png":
		return chart.PNG, nil
	}
	return nil, fmt.Errorf("a plot is .svg or .png, not %q; rename it", extension)
}

// plotLine is one line of a plot, with a value per second.
type plotLine struct {
	name  string
	color drawing.Color
	value func(*SecondRow) *float64
	merge func(a, b float64) float64 // merges the values of several classes

	seconds, values []float64
}

func plotLines() (latencies, rates []plotLine) {
	line := func(name, color string, merge func(a, b float64) float64, v func(*SecondRow) *float64) plotLine {
		return plotLine{name: name, color: drawing.ColorFromHex(color), value: v, merge: merge}
	}
	larger := func(a, b float64) float64 { return max(a, b) }
	add := func(a, b float64) float64 { return a + b }
	count := func(n uint64) *float64 { f := float64(n); return &f }
	latencies = []plotLine{
		line("p50 from due", "6baed6", larger, func(s *SecondRow) *float64 { return s.Due[0] }),
		line("p99 from due", "08519c", larger, func(s *SecondRow) *float64 { return s.Due[2] }),
		line("p99 from send", "e6550d", larger, func(s *SecondRow) *float64 { return s.Sent[2] }),
		line("generator late", "999999", larger, func(s *SecondRow) *float64 { return &s.LateMs }),
	}
	rates = []plotLine{
		line("asked/s", "31a354", add, func(s *SecondRow) *float64 { return count(s.Requests) }),
		line("in aim/s", "a1d99b", add, func(s *SecondRow) *float64 { return count(s.InObjective) }),
	}
	return latencies, rates
}

// Plot draws the run by second: the latency of the worst class on the right axis, which is logarithmic, and the rates of
// all classes on the left axis. A latency at the top of the plot means that too few requests were served.
func (r *Report) Plot(w io.Writer, form chart.RendererProvider) error {
	if len(r.Seconds) == 0 {
		return errors.New("no requests were due, so there is nothing to plot")
	}
	c := chart.Chart{
		Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: 60, Left: 10, Right: 10, Bottom: 10}},
		XAxis: chart.XAxis{
			Name:  "second in which requests were due",
			Ticks: secondTicks(r.Seconds[len(r.Seconds)-1].Second),
		},
		YAxisSecondary: chart.YAxis{ValueFormatter: chart.IntValueFormatter},
	}
	latencies, rates := plotLines()
	longestMs, highestRate := minMs, 1.0
	for i := range latencies {
		for _, y := range latencies[i].fillValues(r) {
			if y < unservedMs {
				longestMs = max(longestMs, y)
			}
		}
	}
	top := math.Floor(math.Log10(longestMs)) + 1
	for i := range latencies {
		for j, y := range latencies[i].values { // the library's logarithmic range only supports values above 1
			latencies[i].values[j] = min(top, math.Log10(max(minMs, y)))
		}
		c.Series = append(c.Series, latencies[i].series(chart.YAxisPrimary))
	}
	for i := range rates {
		highestRate = max(highestRate, slices.Max(rates[i].fillValues(r)))
		c.Series = append(c.Series, rates[i].series(chart.YAxisSecondary))
	}
	for power := math.Log10(minMs); power <= top; power++ {
		label := fmt.Sprintf("%.4g ms", math.Pow(10, power))
		c.YAxis.Ticks = append(c.YAxis.Ticks, chart.Tick{Value: power, Label: label})
	}
	c.YAxisSecondary.Range = &chart.ContinuousRange{Max: highestRate * 1.05}
	c.Elements = []chart.Renderable{chart.LegendThin(&c)}
	return c.Render(form, w)
}

// secondTicks returns about ten ticks at whole seconds, from 0 to the last second or slightly beyond.
func secondTicks(last int) (ticks []chart.Tick) {
	step := max(1, (last+9)/10)
	for s := 0; s < max(1, last)+step; s += step {
		ticks = append(ticks, chart.Tick{Value: float64(s), Label: strconv.Itoa(s)})
	}
	return ticks
}

func (p *plotLine) series(axis chart.YAxisType) chart.Series {
	return chart.ContinuousSeries{
		Name: p.name, XValues: p.seconds, YValues: p.values, YAxis: axis,
		Style: chart.Style{StrokeColor: p.color, StrokeWidth: 2},
	}
}

// fillValues computes and returns a value for each second in which requests were due, merged over the classes.
func (p *plotLine) fillValues(r *Report) []float64 {
	for i := range r.Seconds {
		s := &r.Seconds[i]
		y := unservedMs
		if v := p.value(s); v != nil {
			y = *v
		}
		if n := len(p.seconds); n > 0 && p.seconds[n-1] == float64(s.Second) {
			p.values[n-1] = p.merge(p.values[n-1], y)
			continue
		}
		p.seconds, p.values = append(p.seconds, float64(s.Second)), append(p.values, y)
	}
	if len(p.seconds) == 1 { // a line needs two points
		p.seconds, p.values = append(p.seconds, p.seconds[0]+1), append(p.values, p.values[0])
	}
	return p.values
}
