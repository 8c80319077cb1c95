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

const maxStall = 100 * time.Millisecond // by which a timer may come late: beyond it a point is measured again

// Setup is what a run needs to know.
type Setup struct {
	Program  string // path of the sidecar's program
	Dir      string // an existing folder for configurations and logs
	Core     int    // of the machine, for the sidecar alone to use; below 0 = it may use all
	Only     string // sweeps whose name holds this; "" = all
	Progress func(format string, args ...any)
}

// SweepReport is a sweep with its points measured.
type SweepReport struct {
	Name   string          `json:"name"`
	Unit   string          `json:"unit"`
	Points []Point         `json:"points"`
	Sizes  []float64       `json:"sizes"` // of the points, as measured
	Lines  map[string]Line `json:"lines"` // by figure
	order  []Figure
}

// Report is a whole run.
type Report struct {
	Began    time.Time     `json:"began"`
	Cores    int           `json:"cores"`
	Core     int           `json:"core"` // that the sidecar was kept to; -1 = none
	LoadFrom string        `json:"load_before"`
	LoadTo   string        `json:"load_after"`
	Sweeps   []SweepReport `json:"sweeps"`
	Module   []ModulePoint `json:"module"`
	PerLook  Line          `json:"module_idle"`    // ms a second for each server
	PerCall  Line          `json:"module_request"` // us a request for each server
}

// Run runs the plan. It returns what it has if ctx ends, with an error.
func Run(ctx context.Context, s Setup, p Plan) (*Report, error) {
	if s.Progress == nil {
		s.Progress = func(string, ...any) {}
	}
	var err error
	if s.Program, err = filepath.Abs(s.Program); err != nil {
		return nil, err
	}
	r := &Report{Began: time.Now(), Cores: runtime.NumCPU(), Core: max(-1, s.Core), LoadFrom: loadAverage()}
	for _, sweep := range p.Sweeps {
		if !strings.Contains(sweep.Name, s.Only) {
			continue
		}
		got := SweepReport{Name: sweep.Name, Unit: sweep.Unit, Lines: map[string]Line{}, order: sweep.Figure}
		for i, point := range sweep.Points {
			if err := measureUntilCalm(ctx, s, p, &point); err != nil {
				return r, fmt.Errorf("%s, point %d of %d: %w", sweep.Name, i+1, len(sweep.Points), err)
			}
			got.Points = append(got.Points, point)
			got.Sizes = append(got.Sizes, sweep.X(&point))
			m := &point.Measured
			s.Progress("%s: %g %s: cpu %.2f ms/s, rss %.1f MB, probes %.1f/s, served %d of %d, load %.1f, stall %.0f ms, tries %d", sweep.Name, sweep.X(&point),
				sweep.Unit, m.CPU, m.RSS/1024, m.Probes, m.Served, m.Requests, m.Load, m.StallMs, m.Tries)
		}
		for _, f := range sweep.Figure {
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
		r.PerLook, r.PerCall = Fit(x, idle), Fit(x, request)
	}
	r.LoadTo = loadAverage()
	return r, ctx.Err()
}

// loadAverage is the machine's, of 1, 5 and 15 minutes.
func loadAverage() string {
	raw, _ := os.ReadFile("/proc/loadavg")
	return strings.Join(strings.Fields(string(raw))[:min(3, len(strings.Fields(string(raw))))], " ")
}

// measureUntilCalm measures a point, again where the machine has stalled the test bench, and so the sidecar, for too long: of those runs the one
// that was stalled least.
func measureUntilCalm(ctx context.Context, s Setup, p Plan, point *Point) error {
	for tries := 1; ; tries++ {
		once := *point
		once.Measured = Measured{}
		if err := measure(ctx, s, p, &once); err != nil {
			return err
		}
		if tries == 1 || once.Measured.StallMs < point.Measured.StallMs {
			*point = once
		}
		point.Measured.Tries = tries
		if time.Duration(point.Measured.StallMs*float64(time.Millisecond)) <= maxStall || tries > p.MaxRepeats {
			return nil
		}
	}
}
