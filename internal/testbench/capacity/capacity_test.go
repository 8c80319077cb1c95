package capacity

import (
	"bytes"
	"encoding/json"
	"math"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestFit(t *testing.T) {
	for _, test := range []struct {
		x, y []float64
		want Line
	}{
		{[]float64{0, 1, 2, 3}, []float64{1, 3, 5, 7}, Line{2, 1, 0}},
		{[]float64{0, 1, 2, 3}, []float64{0, 2, 0, 2}, Line{0.4, 0.4, math.Sqrt(0.8)}},
	} {
		got := Fit(test.x, test.y)
		for i, d := range []float64{got.Slope - test.want.Slope, got.Intercept - test.want.Intercept, got.Residual - test.want.Residual} {
			if math.Abs(d) > 1e-9 {
				t.Errorf("%v, %v: got %+v, want %+v (%d)", test.x, test.y, got, test.want, i)
			}
		}
	}
	if l := Fit([]float64{2, 2}, []float64{1, 3}); !math.IsNaN(l.Slope) {
		t.Errorf("the line through a single size has a slope: %+v", l)
	}
}

// TestModule checks that a run of the policy alone is deterministic: it is in virtual time, so that only its CPU time varies.
func TestModule(t *testing.T) {
	point := Point{Servers: 60, Instances: fleetSize, Rate: usualRate, Price: lowProbePrice}
	_, probes, requests, err := runModule(point, 2)
	if err != nil {
		t.Fatal(err)
	}
	_, again, _, err := runModule(point, 2)
	if err != nil {
		t.Fatal(err)
	}
	if requests != 80 || probes != again || probes < requests {
		t.Errorf("%d requests, %d probes, in a second run %d", requests, probes, again)
	}
}

// buildProgram builds the sidecar program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "plankrouter")
	if out, err := exec.Command("go", "build", "-o", file, "plankrouter/cmd/plankrouter").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return file
}

// TestRun runs a small plan with the real program. Its checks do not depend on the speed of the machine.
func TestRun(t *testing.T) {
	plan := Quick()
	plan.Sweeps = plan.Sweeps[:0]
	for _, s := range Quick().Sweeps {
		for _, name := range []string{"calls, price 0.0046", "client connections", "changes of configuration", "on request"} {
			if strings.Contains(s.Name, name) {
				s.Points = s.Points[2:] // two of four
				plan.Sweeps = append(plan.Sweeps, s)
			}
		}
	}
	r, err := Run(t.Context(), Setup{Program: buildProgram(t), Dir: t.TempDir(), Core: -1}, plan)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Sweeps) != 4 || len(r.Module) == 0 {
		t.Fatalf("%d sweeps, %d of the module", len(r.Sweeps), len(r.Module))
	}
	for _, s := range r.Sweeps {
		for i, p := range s.Points {
			m := p.Measured
			if m.CPU <= 0 || m.RSS <= 0 || m.ScrapeBytes == 0 || m.ClientsOpen != p.Clients {
				t.Errorf("%s, %d: %+v", s.Name, i, p)
			}
			if p.Unknown && m.StartCompleteLists == 0 {
				t.Errorf("%s, %d: ready without a complete list", s.Name, i)
			}
			if m.Served > m.Requests || p.Rate == 0 && m.Requests > 0 {
				t.Errorf("%s, %d: served %d of %d", s.Name, i, m.Served, m.Requests)
			}
		}
	}
	var out bytes.Buffer
	if err := r.Write(&out); err != nil || !strings.Contains(out.String(), "lines by least squares") {
		t.Errorf("%v: %s", err, out.String())
	}
	if _, err := json.Marshal(r); err != nil {
		t.Error(err)
	}
}
