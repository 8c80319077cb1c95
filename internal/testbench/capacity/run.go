package capacity

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"
)

const maxStall = 100 * time.Millisecond // longest delay of a timer in a valid run; a point with a longer one is run again

// Setup holds the environment of a run.
type Setup struct {
	Program  string                           // path of the sidecar program
	Dir      string                           // existing directory for configurations and logs
	Core     int                              // CPU core to which the sidecar is pinned; below 0 = none
	Only     string                           // runs only sweeps whose name contains this; "" = all
	Progress func(format string, args ...any) // called after each point; may be nil
}

// SweepReport is the result of a sweep.
type SweepReport struct {
	Name   string          `json:"name"`
	Unit   string          `json:"unit"`
	Points []Point         `json:"points"`
	Sizes  []float64       `json:"sizes"` // size of each point, in Unit; some are measured
	Lines  map[string]Line `json:"lines"` // by name of the metric
	order  []Metric
}

// Report is the result of a run.
type Report struct {
	Began         time.Time     `json:"began"`
	Cores         int           `json:"cores"`
	Core          int           `json:"core"` // to which the sidecar was pinned; -1 = none
	LoadBefore    string        `json:"load_before"`
	LoadAfter     string        `json:"load_after"`
	Sweeps        []SweepReport `json:"sweeps"`
	Module        []ModulePoint `json:"module"`
	ModuleIdle    Line          `json:"module_idle"`    // CPU ms per second and server
	ModuleRequest Line          `json:"module_request"` // CPU us per request and server
}

// Run runs the plan. On an error, or if ctx ends, it returns the results so far with the error.
func Run(ctx context.Context, s Setup, p Plan) (*Report, error) {
	if s.Progress == nil {
		s.Progress = func(string, ...any) {}
	}
	var err error
	if s.Program, err = filepath.Abs(s.Program); err != nil {
		return nil, err
	}
	r := &Report{Began: time.Now(), Cores: runtime.NumCPU(), Core: max(-1, s.Core), LoadBefore: loadAverage()}
	for _, sweep := range p.Sweeps {
		if !strings.Contains(sweep.Name, s.Only) {
			continue
		}
		got := SweepReport{Name: sweep.Name, Unit: sweep.Unit, Lines: map[string]Line{}, order: sweep.Metrics}
		for i, point := range sweep.Points {
			if err := measureUntilCalm(ctx, s, p, &point); err != nil {
				return r, fmt.Errorf("%s, point %d of %d: %w", sweep.Name, i+1, len(sweep.Points), err)
			}
			got.Points = append(got.Points, point)
			got.Sizes = append(got.Sizes, sweep.X(&point))
			m := &point.Measured
			s.Progress("%s: %g %s: cpu %.2f ms/s, rss %.1f MB, probes %.1f/s, served %d of %d, load %.1f, stall %.0f ms, runs %d", sweep.Name, sweep.X(&point),
				sweep.Unit, m.CPU, m.RSS/1024, m.Probes, m.Served, m.Requests, m.Load, m.StallMs, m.Runs)
		}
		for _, f := range sweep.Metrics {
			y := make([]float64, len(got.Points))
			for i := range y {
				y[i] = f.Y(&got.Points[i].Measured)
			}
			if l := Fit(got.Sizes, y); !math.IsNaN(l.Slope) {
				got.Lines[f.Name] = l
			}
		}
		r.Sweeps = append(r.Sweeps, got)
	}
	if strings.Contains("module", s.Only) {
		var x, idle, request []float64
		for _, point := range p.Module {
			m, err := measureModule(point, p.ModuleSeconds)
			if err != nil {
				return r, err
			}
			r.Module = append(r.Module, m)
			x, idle, request = append(x, float64(m.Servers)), append(idle, m.IdleMs), append(request, m.RequestUs)
		}
		r.ModuleIdle, r.ModuleRequest = Fit(x, idle), Fit(x, request)
	}
	r.LoadAfter = loadAverage()
	return r, ctx.Err()
}

// loadAverage returns the machine's load averages of 1, 5 and 15 minutes.
func loadAverage() string {
	raw, _ := os.ReadFile("/proc/loadavg")
	return strings.Join(strings.Fields(string(raw))[:min(3, len(strings.Fields(string(raw))))], " ")
}

// measureUntilCalm measures a point, and repeats that while the machine stalls the test bench, and so the sidecar, for longer
// than maxStall. It keeps the run with the shortest stall.
func measureUntilCalm(ctx context.Context, s Setup, p Plan, point *Point) error {
	for runs := 1; ; runs++ {
		once := *point
		once.Measured = Measured{}
		if err := measure(ctx, s, p, &once); err != nil {
			return err
		}
		if runs == 1 || once.Measured.StallMs < point.Measured.StallMs {
			*point = once
		}
		point.Measured.Runs = runs
		if time.Duration(point.Measured.StallMs*float64(time.Millisecond)) <= maxStall || runs > p.MaxRepeats {
			return nil
		}
	}
}
