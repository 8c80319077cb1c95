package emulator

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
)

// Comparison is the result of the same days simulated with two settings.
type Comparison struct {
	A       string       `json:"a"` // name of the first policy; B is the name of the second
	B       string       `json:"b"`
	Days    int          `json:"days"`
	Metrics []Difference `json:"figures"`
	BrokenA int          `json:"broken_a"` // days on which a rule was broken with the first policy; BrokenB: with the second
	BrokenB int          `json:"broken_b"`
}

// Difference compares one metric of the two settings. Median is the median of the differences of each day, which may differ from
// B - A, the difference of the medians.
type Difference struct {
	Name        string     `json:"name"`
	A           float64    `json:"a"` // median over the days with the first setting; B: with the second
	B           float64    `json:"b"`
	SpreadA     float64    `json:"spread_a"` // interquartile range of the values whose median is A; SpreadB: of B
	SpreadB     float64    `json:"spread_b"`
	Median      float64    `json:"median"`      // of B minus A of the same day
	Quartiles   [2]float64 `json:"quartiles"`   // of B minus A of the same day
	More        int        `json:"more"`        // days on which B is higher
	Less        int        `json:"less"`        // days on which B is lower
	Discernible bool       `json:"discernible"` // a two-sided sign test rejects at 5% that higher and lower are equally likely
}

// comparedMetrics lists the metrics of a comparison and how to read them from a report.
var comparedMetrics = []struct {
	name  string
	value func(*Report) float64
}{
	{"service", func(r *Report) float64 { return r.Service }},
	{"worst 10 s", func(r *Report) float64 { return r.WorstWindow }},
	{"worst class", func(r *Report) float64 { return r.WorstClass }},
	{"worst tenant", func(r *Report) float64 { return r.WorstTenant }},
	{"mean ms", func(r *Report) float64 { return r.MeanMs }},
	{"waste", func(r *Report) float64 { return r.Waste }},
	{"attempts", func(r *Report) float64 { return r.Attempts }},
	{"crossings", func(r *Report) float64 { return r.CrossZone }},
	{"probes", func(r *Report) float64 { return r.Probes }},
	{"connections", func(r *Report) float64 { return r.ConnsMean }},
	{"jams", func(r *Report) float64 { return float64(r.Jams) }},
}

// Compare simulates a number of days, with consecutive seeds from a.Seed on, each with a and with b, in up to workers
// goroutines. Load, servers and faults of a day are the same for both where their settings are the same.
func Compare(ctx context.Context, a, b Config, days, workers int) (*Comparison, error) {
	reports := make([][2]*Report, days)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, workers))
	for day := range days {
		for side, cfg := range []Config{a, b} {
			cfg.Seed = a.Seed + uint64(day)
			g.Go(func() (err error) {
				reports[day][side], err = Run(ctx, cfg, Options{})
				return err
			})
		}
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	c := &Comparison{A: a.Policy, B: b.Policy, Days: days}
	for _, r := range reports {
		if !r[0].Ok() {
			c.BrokenA++
		}
		if !r[1].Ok() {
			c.BrokenB++
		}
	}
	for _, m := range comparedMetrics {
		var as, bs []float64
		for _, r := range reports {
			as, bs = append(as, m.value(r[0])), append(bs, m.value(r[1]))
		}
		c.Metrics = append(c.Metrics, newDifference(m.name, as, bs))
	}
	return c, nil
}

// newDifference compares the values of setting A (parameter as) with those of setting B (bs), paired by index.
func newDifference(name string, as, bs []float64) Difference {
	d := Difference{Name: name}
	var diffs []float64
	for i := range as {
		diff := bs[i] - as[i]
		diffs = append(diffs, diff)
		if diff > 0 {
			d.More++
		} else if diff < 0 {
			d.Less++
		}
	}
	spread := func(v []float64) float64 { return quantile(v, 0.75) - quantile(v, 0.25) }
	d.A, d.B, d.SpreadA, d.SpreadB = quantile(as, 0.5), quantile(bs, 0.5), spread(as), spread(bs)
	d.Median, d.Quartiles = quantile(diffs, 0.5), [2]float64{quantile(diffs, 0.25), quantile(diffs, 0.75)}
	d.Discernible = pairedSignTest(d.More, d.Less) < 0.05
	return d
}

// quantile returns the q-quantile of v, interpolated between the two nearest values.
func quantile(v []float64, q float64) float64 {
	v = slices.Sorted(slices.Values(v))
	at := q * float64(len(v)-1)
	low := int(at)
	if low+1 >= len(v) {
		return v[len(v)-1]
	}
	return v[low] + (at-float64(low))*(v[low+1]-v[low])
}

// pairedSignTest returns the two-sided p-value of a sign test: the probability of a split at least as uneven if both signs are
// equally likely.
func pairedSignTest(more, less int) float64 {
	n, smaller := more+less, min(more, less)
	sum := 0.0
	for k := range smaller + 1 {
		logFactorial := func(x int) float64 { v, _ := math.Lgamma(float64(x + 1)); return v }
		sum += math.Exp(logFactorial(n) - logFactorial(k) - logFactorial(n-k) - float64(n)*math.Ln2)
	}
	return min(1, 2*sum)
}

// WriteJSON writes the comparison as JSON.
func (c *Comparison) WriteJSON(out io.Writer) error { return writeJSON(out, c) }

// Write writes the comparison as a table.
func (c *Comparison) Write(out io.Writer) error {
	fmt.Fprintf(out, "%d days; a = %s, b = %s; medians, and in brackets the interquartile range\n", c.Days, c.A,
		c.B)
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "figure\ta\tb\tb-a, by days\tquartiles\tb more/less\tdiscernible\t")
	for _, d := range c.Metrics {
		fmt.Fprintf(t, "%s\t%.4f (%.4f)\t%.4f (%.4f)\t%+.4f\t%+.4f to %+.4f\t%d/%d\t%t\t\n", d.Name, d.A, d.SpreadA,
			d.B, d.SpreadB, d.Median, d.Quartiles[0], d.Quartiles[1], d.More, d.Less, d.Discernible)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "days with a broken rule: a %d, b %d\n", c.BrokenA, c.BrokenB)
	return err
}
