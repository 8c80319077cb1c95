package loadgen

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// TestParts checks that three parts of a plan send each request once, and that their merged result is that of one process.
func TestParts(t *testing.T) {
	p := mixedPlan(t)
	p.ForS = 2
	sum := func(r *Result) string {
		report := NewReport(p, r, "", 1)
		rows, err := json.Marshal([]any{report.Classes, report.Seconds, r.Late.Count()})
		ok(t, err)
		return string(rows)
	}
	respond := func(_ time.Time, w http.ResponseWriter, r *http.Request) {
		switch id := r.Header.Get("Req-Id"); {
		case id[0] == '0':
			w.WriteHeader(500)
		case id[0] < '4':
			time.Sleep(time.Duration(id[1]) * time.Millisecond)
		}
	}
	undivided := inBubble(t, p, Options{}, respond)
	var parts []*Result
	for i := range 3 {
		raw, err := json.Marshal(inBubble(t, p, Options{Part: i, Parts: 3}, respond))
		ok(t, err)
		parts = append(parts, &Result{})
		ok(t, json.Unmarshal(raw, parts[i]))
	}
	merged, err := Merge(parts...)
	ok(t, err)
	if a, b := sum(undivided), sum(merged); a != b {
		t.Errorf("one process: %s\nthree: %s", a, b)
	}
}

// TestSpread tests RunDistributed and RunWorker with processes on loopback, from the job to the merged result.
func TestSpread(t *testing.T) {
	n := fakes.Loopback()
	server, err := fakes.NewServer(n, fakes.ServerOptions{
		Cores:   100,
		Default: fakes.Service{Mean: time.Millisecond, Fixed: true},
	})
	ok(t, err)
	defer server.Close()
	self, err := os.Executable()
	ok(t, err)
	p := constantPlan(t, constant(100), Even, 0.5)
	workers := func() (all []*exec.Cmd) {
		for range 2 {
			cmd := exec.Command(self)
			cmd.Env = append(os.Environ(), workerEnv+"=1")
			all = append(all, cmd)
		}
		return all
	}
	r, err := RunDistributed(t.Context(), p, server.Address(), workers())
	ok(t, err)
	if c := r.Classes[0]; c.Requests != 50 || c.Outcomes[Served] != 50 || r.Partial || len(server.Requests()) != 50 {
		t.Errorf("%+v", r)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p.ForS = 1000 // s; the interrupted run must not wait for the end of the plan
	if r, err := RunDistributed(ctx, p, server.Address(), workers()); err != nil || !r.Partial {
		t.Errorf("interrupted: %+v, %v", r, err)
	}
	for _, name := range []string{"/bin/true", "/bin/cat", "/nowhere"} {
		if _, err := RunDistributed(t.Context(), p, "", []*exec.Cmd{exec.Command(name)}); err == nil {
			t.Errorf("%s was accepted as a worker", name)
		}
	}
}
