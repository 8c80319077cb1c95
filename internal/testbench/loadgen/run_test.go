package loadgen

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wcharczuk/go-chart/v2"

	"plankrouter/internal/testbench/fakes"
)

// checkMs fails the test if a duration differs from the wanted one by more than the histogram's precision.
func checkMs(t *testing.T, what string, ms *float64, want float64) {
	t.Helper()
	if ms == nil || math.Abs(*ms-want) > 0.001+want/1000 {
		t.Errorf("%s: %s ms, want %v", what, formatMs(ms), want)
	}
}

// TestServerPause guards against coordinated omission. At 100 evenly spaced requests per second, the server pauses for 2 s, from
// 5 ms before a request is due. The i-th longest of the 1000 latencies is 1995 - 10(i-1) ms up to i = 200, and the others are 0.
// Quantile q has rank 1000q from below, so i = 1001-1000q. With one connection, as in a closed-loop tool, latency from the due
// time is the same, and latency from the send shows one slow request.
func TestServerPause(t *testing.T) {
	for name, test := range map[string]struct {
		connections int
		held        uint64
		sent        [5]float64
	}{
		"open":   {10000, 0, [5]float64{0, 995, 1895, 1985, 1995}},
		"closed": {1, 199, [5]float64{0, 0, 0, 0, 1995}},
	} {
		t.Run(name, func(t *testing.T) {
			p := constantPlan(t, constant(100), Even, 10)
			p.Connections = test.connections
			r := inBubble(t, p, Options{}, func(start time.Time, _ http.ResponseWriter, _ *http.Request) {
				if at := time.Since(start) - 3995*time.Millisecond; at >= 0 && at < 2*time.Second {
					time.Sleep(2*time.Second - at)
				}
			})
			report := NewReport(p, r, "", 1)
			row := report.Classes[0]
			if row.Requests != 1000 || row.Outcomes["served"] != 1000 || row.InObjective != 850 || row.Goodput != 85 ||
				!report.Valid {
				t.Errorf("%+v", row)
			}
			if report.ConnWaits != test.held {
				t.Errorf("%d attempts waited for a connection", report.ConnWaits)
			}
			for i, q := range quantiles {
				expected := 0.0
				if i := 1001 - 1000*q; i <= 200 {
					expected = 1995 - 10*(i-1)
				}
				checkMs(t, fmt.Sprint("from due, ", q), row.Due[i], expected)
				checkMs(t, fmt.Sprint("from send, ", q), row.Sent[i], test.sent[i])
			}
			if s := report.Seconds; s[4].Requests != 100 || math.Abs(*s[4].Due[4]-1995) > 20 || *s[3].Due[4] != 0 {
				t.Errorf("seconds 3 and 4: %+v", s[3:5])
			}
		})
	}
}

// TestGeneratorDelay checks that a generator that is delayed for 300 ms reports the run as invalid.
// Requests due during the delay are sent late, but all
// are sent. Second attempts that are on time make no difference.
func TestGeneratorDelay(t *testing.T) {
	p := constantPlan(t, constant(100), Even, 3)
	p.Classes[0].Retry.MaxRetries = 1
	calls := 0
	r := inBubble(t, p, Options{Pause: func(d time.Duration) {
		if calls++; calls == 100 { // 2 ms before the request at 1 s is due
			d = 300 * time.Millisecond
		}
		time.Sleep(d)
	}}, func(_ time.Time, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Req-Retry") == "" {
			w.WriteHeader(503)
		}
	})
	report := NewReport(p, r, "", 1)
	if report.Valid || len(report.Invalid) != 2 || report.Classes[0].Outcomes["served"] != 300 {
		t.Errorf("%+v", report)
	}
	checkMs(t, "late at most", report.LateMs[4], 298)
	checkMs(t, "late, p99", report.LateMs[2], 298-3*10)
	checkMs(t, "from due", report.Classes[0].Due[4], 298)
	checkMs(t, "from send", report.Classes[0].Sent[4], 0)

	r = newResult(1)
	r.Stall = 51 * time.Millisecond // a stall at a time when no requests are due
	if report := NewReport(p, r, "", 1); report.Valid || !strings.Contains(report.Invalid[0], "delayed") {
		t.Errorf("%+v", report)
	}
}

// TestRetries checks that each request counts once, with all its attempts, from its due time.
func TestRetries(t *testing.T) {
	get := Class{Name: "tile", LatencyObjectiveMs: 150, DeadlineMs: 1000, Retry: Retry{MaxRetries: 2, WaitMs: 100}}
	post := get
	post.Method = "POST"
	immediate, retryAfter, impatient, short := get, get, get, get
	immediate.Retry.WaitMs = 0
	retryAfter.Retry.MaxRetryAfterMs = 400
	impatient.TimeoutMs, impatient.Retry.On = 50, []string{"timed_out"}
	short.DeadlineMs = 150
	respond := func(code int) func(http.ResponseWriter, int) {
		return func(w http.ResponseWriter, attempt int) {
			if attempt < 2 {
				w.Header().Set("Retry-After", "0.3")
				w.WriteHeader(code)
			}
		}
	}
	late := func(_ http.ResponseWriter, attempt int) {
		time.Sleep([]time.Duration{200, 30, 0}[attempt] * time.Millisecond)
	}
	lost := func(http.ResponseWriter, int) { panic(http.ErrAbortHandler) }
	noListener := "10.9.9.9:9"
	for name, test := range map[string]struct {
		class    Class
		respond  func(http.ResponseWriter, int)
		address  string
		want     string // requests, attempts, requests in objective, outcomes, outcomes of attempts
		due, end float64
	}{
		"refused":       {get, respond(503), "", "10 30 0 map[served:10] map[refused:20 served:10]", 200, 0},
		"no delay":      {immediate, respond(429), "", "10 30 10 map[served:10] map[refused:20 served:10]", 0, 0},
		"Retry-After":   {retryAfter, respond(503), "", "10 30 0 map[served:10] map[refused:20 served:10]", 600, 0},
		"no time left":  {short, respond(503), "", "10 20 0 map[refused:10] map[refused:20]", -1, -1},
		"failed":        {get, respond(500), "", "10 30 0 map[served:10] map[failed:20 served:10]", 200, 0},
		"failed orders": {post, respond(500), "", "10 10 0 map[failed:10] map[failed:10]", -1, -1},
		"timed out":     {impatient, late, "", "10 20 0 map[served:10] map[served:10 timed_out:10]", 180, 30},
		"lost":          {get, lost, "", "10 30 0 map[lost:10] map[lost:30]", -1, -1},
		"unreachable":   {post, lost, noListener, "10 30 0 map[unreachable:10] map[unreachable:30]", -1, -1},
	} {
		t.Run(name, func(t *testing.T) {
			p := constantPlan(t, constant(10), Even, 1)
			p.Classes = []Class{test.class}
			ok(t, p.Check())
			attempts := map[string]int{} // by id
			for q, err := range p.Requests() {
				ok(t, err)
				for n := range 3 {
					attempts[q.id(p.Seed, n)] = n
				}
			}
			o := Options{Address: test.address}
			r := inBubble(t, p, o, func(_ time.Time, w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get("Req-Id")
				n, known := attempts[id]
				if again := r.Header.Get("Req-Retry") == "1"; !known || again != (n > 0) {
					t.Errorf("id %q, again: %t", id, again)
				}
				test.respond(w, n)
			})
			row := NewReport(p, r, "", 1).Classes[0]
			maps.DeleteFunc(row.Outcomes, func(_ string, n uint64) bool { return n == 0 })
			maps.DeleteFunc(row.AttemptOutcomes, func(_ string, n uint64) bool { return n == 0 })
			if got := fmt.Sprint(row.Requests, row.Attempts, row.InObjective, row.Outcomes, row.AttemptOutcomes); got != test.want {
				t.Errorf("%s, want %s", got, test.want)
			}
			if test.due >= 0 {
				checkMs(t, "from due", row.Due[0], test.due)
				checkMs(t, "from send", row.Sent[0], test.end)
			} else if row.Due[0] != nil {
				t.Errorf("served after %v ms", *row.Due[0])
			}
		})
	}
}

// TestShortRuns checks that an interrupted run returns a partial result and that a run without requests ends at once.
func TestShortRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 1450*time.Millisecond)
		defer cancel()
		r, err := Run(ctx, constantPlan(t, constant(10), Even, 100), Options{
			Dialer: fakes.NewMemory(), Address: "10.0.0.1:1",
			Pause: time.Sleep,
		})
		if err != nil || !r.Partial || r.Classes[0].Outcomes[Unreachable] != 15 {
			t.Errorf("%+v, %v", r, err)
		}
		p := constantPlan(t, constant(0), Poisson, 100)
		r, err = Run(t.Context(), p, Options{Dialer: fakes.NewMemory(), Address: "10.0.0.1:1"})
		var out bytes.Buffer
		report := NewReport(p, r, "", 1)
		if err != nil || r.Partial || r.Ran != 0 || !report.Valid || report.Write(&out) != nil {
			t.Errorf("%+v, %v: %s", r, err, out.String())
		}
		if report.Plot(&out, chart.SVG) == nil {
			t.Error("a plot of no seconds was drawn without an error")
		}
	})
}

// TestRequestSentDuringClose checks that a request sent on a reused connection while the server closes it is sent once more,
// without delay.
func TestRequestSentDuringClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fakes.NewMemory()
		n.SetDelay(20*time.Millisecond, 0)
		server, err := fakes.NewServer(n, fakes.ServerOptions{MaxIdle: 100 * time.Millisecond, Cores: 9})
		ok(t, err)
		defer server.Close()
		p := constantPlan(t, constant(5), Poisson, 60)
		r, err := Run(t.Context(), p, Options{Dialer: n, Address: server.Address(), Pause: time.Sleep})
		ok(t, err)
		c := r.Classes[0]
		if seen := uint64(len(server.Requests())); c.Outcomes[Served] != c.Requests || c.Attempts != c.Requests || c.Resent == 0 ||
			seen != c.Requests {
			t.Errorf("%d requests, outcomes %v, %d resent, %d received", c.Requests, c.Outcomes, c.Resent, seen)
		}
	})
}
