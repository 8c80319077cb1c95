package loadgen

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"encoding/xml"
	"fmt"
	"image/png"
	"maps"
	"math"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"plankrouter/internal/testbench/fakes"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wcharczuk/go-chart/v2"
)

const workVariable = "PLANKROUTER_LOAD_TEST_WORK"

func TestMain(m *testing.M) {
	if os.Getenv(workVariable) != "" {
		if err := Work(context.Background(), os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func ok(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func shaped(text string) (s Shape) {
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		panic(err)
	}
	return s
}

func constant(rate float64) Shape { return Shape{Kind: "constant", Rate: rate} }

// tiles is a checked plan of one class and one stream.
func tiles(t *testing.T, shape Shape, spacing string, forS float64) *Plan {
	t.Helper()
	p := &Plan{
		Seed: 1, ForS: forS, Streams: []Stream{{Shape: shape, Spacing: spacing}},
		Classes: []Class{{Name: "tile", LatencyObjectiveMs: 500, DeadlineMs: 5000}},
	}
	ok(t, p.Check())
	return p
}

// inBubble runs a plan in simulated time against a handler that is told the start.
func inBubble(t *testing.T, p *Plan, o Options, h func(time.Time, http.ResponseWriter, *http.Request)) *Result {
	t.Helper()
	var result *Result
	synctest.Test(t, func(t *testing.T) {
		n := fakes.NewMemory()
		n.SetDelay(0, 0)
		l, err := n.Listen("")
		ok(t, err)
		start := time.Now()
		var busy sync.WaitGroup // also with requests that nobody waits for any more
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			busy.Add(1)
			defer busy.Done()
			h(start, w, r)
		})}
		go func() { _ = s.Serve(l) }() // until Close
		defer busy.Wait()
		defer s.Close()
		o.Dialer, o.Address = n, cmp.Or(o.Address, l.Addr().String())
		if o.Pause == nil {
			o.Pause = time.Sleep
		}
		result, err = Run(t.Context(), p, o)
		ok(t, err)
	})
	return result
}

var shapes = []string{
	`{"kind":"constant","rate":50}`,
	`{"kind":"step","rate":50,"to":150,"at_s":20}`,
	`{"kind":"ramp","rate":10,"to":150,"at_s":5,"over_s":30}`,
	`{"kind":"spike","rate":30,"times":10,"at_s":20,"hold_s":5,"back_s":10}`,
	`{"kind":"sine","rate":80,"swing":1,"period_s":30,"at_s":10}`,
	`{"kind":"sum","of":[{"kind":"constant","rate":40},{"kind":"ramp","to":50,"over_s":60}]}`,
	`{"kind":"sequence","of":[{"kind":"constant","rate":100,"for_s":10},{"kind":"constant","for_s":10},
		{"kind":"sine","rate":90,"swing":0.5,"period_s":7}]}`,
}

// What is expected in a time is the area below the rate, and the time of each number of arrivals is found again.
func TestShapes(t *testing.T) {
	for _, text := range shapes {
		s := shaped(text)
		ok(t, s.check("shape", false, 1))
		c := s.curve()
		const step = 5e-3
		area := 0.0
		for t0 := 0.0; t0 < 60; t0 += step {
			area += c.rate(t0+step/2) * step
			if total := c.total(t0 + step); math.Abs(total-area) > 1 {
				t.Fatalf("%s: %v arrivals until %v s, the area is %v", text, total, t0+step, area)
			}
		}
		for target := 0.5; target < area-1; target += 7.3 {
			if at, found := invert(c, target, 0, 60); !found || math.Abs(c.total(at)-target) > 1e-6 {
				t.Fatalf("%s: arrival %v at %v (%t), where %v are expected", text, target, at, found, c.total(at))
			}
		}
	}
	s := shaped(shapes[3])
	spike := s.curve()
	if got := []float64{
		spike.rate(20), spike.rate(20.5), spike.rate(21), spike.rate(26), spike.rate(31),
		spike.rate(99),
	}; !slices.Equal(got, []float64{30, 165, 300, 300, 165, 30}) {
		t.Errorf("the spike has the rates %v", got)
	}
}

// Seen in expected arrivals instead of seconds, Poisson arrivals are independent and exponential whatever the shape,
// and even ones are 1 apart. The bound is that of Kolmogorov and Smirnov for one seed in a thousand.
func TestSpacing(t *testing.T) {
	for _, text := range shapes {
		for _, spacing := range []string{Poisson, Even} {
			p := tiles(t, shaped(text), spacing, 60)
			c := p.Streams[0].Shape.curve()
			var gaps []float64
			last := 0.0
			for q, err := range p.Requests() {
				ok(t, err)
				gaps = append(gaps, c.total(q.At.Seconds())-last)
				last += gaps[len(gaps)-1]
			}
			n := float64(len(gaps))
			if want := c.total(60); math.Abs(n-want) > 4*math.Sqrt(want) {
				t.Errorf("%s, %s: %v requests, %v are expected", text, spacing, n, want)
			}
			if spacing == Even {
				for _, g := range gaps[1:] {
					if math.Abs(g-1) > 1e-4 {
						t.Errorf("%s: a gap of %v", text, g)
					}
				}
				continue
			}
			serial := 0.0 // of neighbours
			for i := range gaps[1:] {
				serial += (gaps[i] - 1) * (gaps[i+1] - 1) / n
			}
			slices.Sort(gaps)
			worst := 0.0
			for i, g := range gaps {
				worst = max(worst, math.Abs(1-math.Exp(-g)-(float64(i)+0.5)/n))
			}
			if worst > 1.95/math.Sqrt(n) || math.Abs(serial) > 4/math.Sqrt(n) {
				t.Errorf("%s: gaps are not exponential (%v) or not independent (%v), of %v", text, worst, serial, n)
			}
		}
	}
}

// mixed is a plan with all that a request can have.
func mixed(t *testing.T) *Plan {
	t.Helper()
	p := &Plan{
		Seed: 5, ForS: 50, Tenants: []string{"acme", "beta", "gamma"},
		Classes: []Class{
			{Name: "tile", LatencyObjectiveMs: 100, DeadlineMs: 500, Keys: Keys{1000, 1.2}},
			{Name: "order", Method: "POST", BodyBytes: 300, LatencyObjectiveMs: 100, DeadlineMs: 500},
			{Name: "look", Path: "/look?of={key}", LatencyObjectiveMs: 100, DeadlineMs: 500, Keys: Keys{Count: 4}},
		},
		Streams: []Stream{
			{
				Shape: constant(300), Mix: map[string]float64{"tile": 8, "order": 1, "look": 1},
				Tenants: map[string]float64{"acme": 3, "beta": 1},
			},
			{Shape: constant(100), Spacing: Even, Mix: map[string]float64{"look": 1}},
		},
	}
	ok(t, p.Check())
	return p
}

func TestMix(t *testing.T) {
	counts := map[string]float64{}
	n, last := uint64(0), time.Duration(0)
	for q, err := range mixed(t).Requests() {
		ok(t, err)
		if q.Index != n || q.At < last {
			t.Fatalf("%+v after %v", q, last)
		}
		n, last = n+1, q.At
		for _, key := range []string{q.Class, q.Tenant, q.Class + " " + q.Key, q.Method + " " + q.Path} {
			counts[key]++
		}
	}
	for key, want := range map[string]float64{
		"tile": 12000, "order": 1500, "look": 6500, "acme": 11250, "beta": 3750,
		"": 5000, "look 1": 1625, "look 4": 1625, "POST /order/1": 1500, "GET /look?of=2": 1625,
		"tile 2": counts["tile 1"] / math.Pow(2, 1.2), "tile 10": counts["tile 1"] / math.Pow(10, 1.2),
	} {
		if math.Abs(counts[key]-want) > 4*math.Sqrt(want) {
			t.Errorf("%q: %v, want some %v", key, counts[key], want)
		}
	}
}

// near reports whether a duration is the one wanted, as exactly as the histogram holds it.
func near(t *testing.T, what string, ms *float64, want float64) {
	t.Helper()
	if ms == nil || math.Abs(*ms-want) > 0.001+want/1000 {
		t.Errorf("%s: %s ms, want %v", what, text(ms), want)
	}
}

// A server that pauses for 2 s, from 5 ms before a request on, in a run of 10 s with 100 requests a second, evenly
// spaced. By hand: the i-th longest of the 1000 waits is 1995 - 10(i-1) ms for i up to 200, and the others are nothing;
// the quantile q is the one of rank 1000q from below, i = 1001 - 1000q. Counted from when requests were due that is
// what is reported, whether each went out at once or one connection made them wait for each other, as a tool does that
// waits for answers. Such a tool counts from the send, and sees one slow request.
func TestPause(t *testing.T) {
	for name, test := range map[string]struct {
		connections int
		held        uint64
		sent        [5]float64
	}{
		"open":   {10000, 0, [5]float64{0, 995, 1895, 1985, 1995}},
		"closed": {1, 199, [5]float64{0, 0, 0, 0, 1995}},
	} {
		t.Run(name, func(t *testing.T) {
			p := tiles(t, constant(100), Even, 10)
			p.Connections = test.connections
			r := inBubble(t, p, Options{}, func(start time.Time, _ http.ResponseWriter, _ *http.Request) {
				if at := time.Since(start) - 3995*time.Millisecond; at >= 0 && at < 2*time.Second {
					time.Sleep(2*time.Second - at)
				}
			})
			report := NewReport(p, r, "", 1)
			row := report.Classes[0]
			if row.Requests != 1000 || row.Ends["served"] != 1000 || row.InObjective != 850 || row.Goodput != 85 ||
				!report.Valid {
				t.Errorf("%+v", row)
			}
			if report.Held != test.held {
				t.Errorf("%d waited for a connection", report.Held)
			}
			for i, q := range quantiles {
				byHand := 0.0
				if i := 1001 - 1000*q; i <= 200 {
					byHand = 1995 - 10*(i-1)
				}
				near(t, fmt.Sprint("from due, ", q), row.Due[i], byHand)
				near(t, fmt.Sprint("from send, ", q), row.Sent[i], test.sent[i])
			}
			if s := report.Seconds; s[4].Requests != 100 || math.Abs(*s[4].Due[4]-1995) > 20 || *s[3].Due[4] != 0 {
				t.Errorf("seconds 3 and 4: %+v", s[3:5])
			}
		})
	}
}

// A generator that is held up for 300 ms says so: it makes the run invalid, and does not blame the server. What is due
// then goes out late, but all of it goes out. That second tries are on time makes no difference.
func TestHeldUp(t *testing.T) {
	p := tiles(t, constant(100), Even, 3)
	p.Classes[0].Retry.MaxRetries = 1
	calls := 0
	r := inBubble(t, p, Options{Pause: func(d time.Duration) {
		if calls++; calls == 100 { // 2 ms before the request of second 1 is due
			d = 300 * time.Millisecond
		}
		time.Sleep(d)
	}}, func(_ time.Time, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Req-Retry") == "" {
			w.WriteHeader(503)
		}
	})
	report := NewReport(p, r, "", 1)
	if report.Valid || len(report.Invalid) != 2 || report.Classes[0].Ends["served"] != 300 {
		t.Errorf("%+v", report)
	}
	near(t, "late at most", report.LateMs[4], 298)
	near(t, "late, p99", report.LateMs[2], 298-3*10)
	near(t, "from due", report.Classes[0].Due[4], 298)
	near(t, "from send", report.Classes[0].Sent[4], 0)

	r = newResult(1)
	r.Stall = 51 * time.Millisecond // with nothing due
	if report := NewReport(p, r, "", 1); report.Valid || !strings.Contains(report.Invalid[0], "held up") {
		t.Errorf("%+v", report)
	}
}

// Each request counts once, with all its tries, from when it was first due.
func TestRetries(t *testing.T) {
	get := Class{Name: "tile", LatencyObjectiveMs: 150, DeadlineMs: 1000, Retry: Retry{MaxRetries: 2, WaitMs: 100}}
	post := get
	post.Method = "POST"
	hasty, advised, impatient, short := get, get, get, get
	hasty.Retry.WaitMs = 0
	advised.Retry.MaxRetryAfterMs = 400
	impatient.TimeoutMs, impatient.Retry.On = 50, []string{"timed_out"}
	short.DeadlineMs = 150
	answer := func(code int) func(http.ResponseWriter, int) {
		return func(w http.ResponseWriter, try int) {
			if try < 2 {
				w.Header().Set("Retry-After", "0.3")
				w.WriteHeader(code)
			}
		}
	}
	late := func(_ http.ResponseWriter, try int) { time.Sleep([]time.Duration{200, 30, 0}[try] * time.Millisecond) }
	lost := func(http.ResponseWriter, int) { panic(http.ErrAbortHandler) }
	nobody := "10.9.9.9:9"
	for name, test := range map[string]struct {
		class    Class
		answer   func(http.ResponseWriter, int)
		address  string
		want     string // asked, tries, in aim, ends, ends of tries
		due, end float64
	}{
		"refused":       {get, answer(503), "", "10 30 0 map[served:10] map[refused:20 served:10]", 200, 0},
		"at once":       {hasty, answer(429), "", "10 30 10 map[served:10] map[refused:20 served:10]", 0, 0},
		"advised":       {advised, answer(503), "", "10 30 0 map[served:10] map[refused:20 served:10]", 600, 0},
		"no time":       {short, answer(503), "", "10 20 0 map[refused:10] map[refused:20]", -1, -1},
		"failed":        {get, answer(500), "", "10 30 0 map[served:10] map[failed:20 served:10]", 200, 0},
		"failed orders": {post, answer(500), "", "10 10 0 map[failed:10] map[failed:10]", -1, -1},
		"timed out":     {impatient, late, "", "10 20 0 map[served:10] map[served:10 timed_out:10]", 180, 30},
		"lost":          {get, lost, "", "10 30 0 map[lost:10] map[lost:30]", -1, -1},
		"unreachable":   {post, lost, nobody, "10 30 0 map[unreachable:10] map[unreachable:30]", -1, -1},
	} {
		t.Run(name, func(t *testing.T) {
			p := tiles(t, constant(10), Even, 1)
			p.Classes = []Class{test.class}
			ok(t, p.Check())
			tries := map[string]int{} // by id
			for q, err := range p.Requests() {
				ok(t, err)
				for n := range 3 {
					tries[q.id(p.Seed, n)] = n
				}
			}
			o := Options{Address: test.address}
			r := inBubble(t, p, o, func(_ time.Time, w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get("Req-Id")
				n, known := tries[id]
				if again := r.Header.Get("Req-Retry") == "1"; !known || again != (n > 0) {
					t.Errorf("id %q, again: %t", id, again)
				}
				test.answer(w, n)
			})
			row := NewReport(p, r, "", 1).Classes[0]
			maps.DeleteFunc(row.Ends, func(_ string, n uint64) bool { return n == 0 })
			maps.DeleteFunc(row.AttemptEnds, func(_ string, n uint64) bool { return n == 0 })
			if got := fmt.Sprint(row.Requests, row.Attempts, row.InObjective, row.Ends, row.AttemptEnds); got != test.want {
				t.Errorf("%s, want %s", got, test.want)
			}
			if test.due >= 0 {
				near(t, "from due", row.Due[0], test.due)
				near(t, "from send", row.Sent[0], test.end)
			} else if row.Due[0] != nil {
				t.Errorf("served after %v ms", *row.Due[0])
			}
		})
	}
}

// A trace of what was due is played as it was, and written again to the same bytes.
func TestTraceRoundTrip(t *testing.T) {
	plan := mixed(t)
	for _, form := range []string{".csv", ".jsonl"} {
		var first, again bytes.Buffer
		ok(t, WriteTrace(&first, form, plan.Requests()))
		file := filepath.Join(t.TempDir(), "trace"+form)
		ok(t, os.WriteFile(file, first.Bytes(), 0o600))
		played := &Plan{Classes: plan.Classes, Tenants: plan.Tenants, Trace: &TraceSource{File: file}}
		ok(t, played.Check())
		ok(t, WriteTrace(&again, form, played.Requests()))
		if n := bytes.Count(first.Bytes(), []byte("\n")); n < 15000 || !bytes.Equal(first.Bytes(), again.Bytes()) {
			t.Errorf("%s: %d lines, written differently the second time", form, n)
		}
	}
}

// traced is a plan that plays a trace.
func traced(t *testing.T, name, text string, s TraceSource) (*Plan, error) {
	s.File = filepath.Join(t.TempDir(), name)
	ok(t, os.WriteFile(s.File, []byte(text), 0o600))
	p := &Plan{Tenants: []string{"acme"}, Trace: &s, Classes: []Class{
		{Name: "tile", LatencyObjectiveMs: 100, DeadlineMs: 500}, {Name: "order", Method: "POST", LatencyObjectiveMs: 100, DeadlineMs: 500},
	}}
	return p, p.Check()
}

func TestTraceScaled(t *testing.T) {
	const text = `{"at_s":1,"class":"tile","key":"7"}
{"at_s":3.5,"class":"order","size":9,"path":"/o"}
`
	for want, test := range map[string]TraceSource{
		"1s 3.5s":                         {},
		"500ms 1.75s":                     {Speed: 2},
		"2s 7s 16s 21s 30s 35s":           {Speed: 0.5, Repeat: 3},
		"1s 3.5s 11s 13.5s":               {Repeat: 2, EveryS: 10},
		"1ms 3.5ms 5ms 7.5ms 9ms 11.5ms ": {Speed: 1000, Repeat: 3, EveryS: 4},
	} {
		p, err := traced(t, "a.jsonl", text, test)
		ok(t, err)
		got, paths := []string{}, []string{}
		for q, err := range p.Requests() {
			ok(t, err)
			got, paths = append(got, q.At.String()), append(paths, q.Method+" "+q.Path)
		}
		if strings.Join(got, " ") != strings.TrimSpace(want) || paths[0] != "GET /tile/7" || paths[1] != "POST /o" {
			t.Errorf("%+v: %s, %s", test, got, paths)
		}
	}
}

func TestBadTraces(t *testing.T) {
	const head = traceHead + "\n"
	for _, test := range []struct{ name, text, message string }{
		{"a.txt", "", "a.txt: a trace is .csv or .jsonl; rename it"},
		{"a.csv", "time,class\n", `a.csv:1: "time,class\n"; want ` + traceHead},
		{
			"a.csv", head + "0,tile,,GET,/a,0,\n2,tile,,GET,/a,0,\n1.5,tile,,GET,/a,0,\n",
			"a.csv:4: 1.5 s comes after 2 s; sort the trace by time",
		},
		{"a.csv", head + "0,tile,,GET,/a,0\n", "a.csv:2: 6 fields; want 7: " + traceHead},
		{"a.csv", head + "0,tile,,GET,/a,0,", "a.csv:2: the line has no end, so that the trace seems to be cut"},
		{"a.csv", head + "0,\"tile,,GET,/a,0,\n", "a.csv:2: no CSV"},
		{"a.csv", head + "0,tea,,GET,/a,0,\n", `a.csv:2: class: there is no "tea" in the plan; add it to classes`},
		{"a.csv", head + "0,tile,beta,GET,/a,0,\n", `a.csv:2: tenant: there is no tenant "beta"; add it to tenants`},
		{"a.csv", head + "-1,tile,,GET,/a,0,\n", `a.csv:2: at_s: "-1"; want seconds from the start, such as 12.5`},
		{"a.csv", head + "1m,tile,,GET,/a,0,\n", `at_s: "1m"`},
		{"a.csv", head + "0,tile,,GET,/a,x,\n", `a.csv:2: size: "x"; want a whole number of bytes`},
		{"a.csv", head + "0,tile,,GET,/a,3,\n", "a.csv:2: request: a GET has no body"},
		{"a.csv", head + "0,tile,,GET,a b,0,\n", `a.csv:2: request: path "a b"; want`},
		{"a.csv", head + "0,tile,,GRAB,/a,0,\n", `a.csv:2: request: method "GRAB"; want one of GET, POST`},
		{"a.csv", head + strings.Repeat("9", 70000) + "\n", "a.csv:2: the line is longer than 64 KB"},
		{"a.jsonl", `{"at_s":0,"class":"tile"}` + "\n" + `{"at_s":0,"cl`, "a.jsonl:2: the line has no end"},
		{"a.jsonl", `{"at_s":0,"class":"tile","work":3}` + "\n", `a.jsonl:1: json: unknown field "work"; want`},
	} {
		if _, err := traced(t, test.name, test.text, TraceSource{}); err == nil ||
			!strings.Contains(err.Error(), test.message) {
			t.Errorf("%q: %v, want %s", test.text, err, test.message)
		}
	}
	for message, s := range map[string]TraceSource{
		"trace.every_s: 1; the trace is 2 s long": {Repeat: 2, EveryS: 1},
		"trace: speed -1, repeat 1":               {Speed: -1},
	} {
		_, err := traced(t, "a.csv", head+"2,tile,,GET,/a,0,\n", s)
		if err == nil || !strings.Contains(err.Error(), message) {
			t.Errorf("%v, want %s", err, message)
		}
	}
}

// goodPlan is what TestBadPlans spoils.
const goodPlan = `{
"seed": 1, "for_s": 10, "tenants": ["acme"],
"classes": [
	{"name": "tile", "aim_ms": 100, "deadline_ms": 500, "keys": {"count": 10, "zipf": 1}},
	{"name": "order", "method": "POST", "body_bytes": 10, "aim_ms": 100, "deadline_ms": 500, "retry": {"most": 1}}],
"streams": [
	{"shape": {"kind": "step", "rate": 10, "to": 20, "at_s": 5}, "mix": {"tile": 3, "order": 1},
	 "tenants": {"acme": 1}},
	{"shape": {"kind": "sum", "of": [{"kind": "constant", "rate": 5}]}, "mix": {"tile": 1}}]
}`

func TestBadPlans(t *testing.T) {
	file := filepath.Join(t.TempDir(), "plan.json")
	read := func(text string) error {
		ok(t, os.WriteFile(file, []byte(text), 0o600))
		_, err := Read(file)
		return err
	}
	ok(t, read(goodPlan))
	for _, test := range []struct{ old, new, message string }{
		{`"seed": 1,`, `"seed": 1`, `:2: invalid character '"' after object key:value pair; mend the JSON`},
		{`"seed": 1`, `"seed": "x"`, ":2: seed: a string; want a whole number of 0 or more"},
		{`"rate": 10`, `"rate": "x"`, ":7: streams.shape.rate: a string; want a number"},
		{`"zipf"`, `"zap"`, ":4: zap: there is no such key; mend its name or leave it out"},
		{"\n}", "", ":9: the file ends in the middle of the plan; write it whole"},
		{"\n}", "}{", ":9: something follows the plan; leave it out"},
		{`"for_s": 10`, `"for_s": 0`, ": for_s: 0; say for how many seconds"},
		{`"for_s": 10`, `"for_s": 1e9`, ": for_s: 1e+09; want from 0 to 1e+06 seconds"},
		{`"streams"`, `"trace": {"file": "x"}, "streams"`, ": streams, trace: want one of the two"},
		{`"for_s"`, `"connections": -1, "for_s"`, ": connections: -1; want"},
		{`"for_s"`, `"lateness": {"p99_ms": -1}, "for_s"`, ": lateness: below 0; want"},
		{`["acme"]`, `["a b"]`, `: tenants[0]: "a b"; want`},
		{`"name": "tile"`, `"name": "t/x"`, `: classes[0].name: "t/x"; want`},
		{`"name": "order"`, `"name": "tile"`, `: classes[1].name: "tile" is there twice; rename one`},
		{`"aim_ms": 100`, `"aim_ms": 0`, ": classes[0].aim_ms: 0; want from 1 to 600000 ms"},
		{`"aim_ms": 100`, `"aim_ms": 900`, ": classes[0].aim_ms: 900 is beyond deadline_ms, which is 500; lower it"},
		{`"count": 10`, `"count": -1`, ": classes[0].keys.count: -1; want from 1 to 1000000"},
		{`"zipf": 1`, `"zipf": -1`, ": classes[0].keys.zipf: -1; want from 0 to 10"},
		{`"most": 1`, `"most": 101`, ": classes[1].retry.most: 101; want from 0 to 100"},
		{`"most": 1`, `"on": ["served"]`, `: classes[1].retry.on[0]: "served"; want one of refused, failed, lost`},
		{`"POST"`, `"GET"`, ": classes[1]: a GET has no body"},
		{`"POST"`, `"POST", "path": "x"`, `: classes[1]: path "x"; want`},
		{`"POST"`, `"HEAD"`, `: classes[1]: method "HEAD"; want one of GET, POST, PUT, PATCH, DELETE`},
		{`_bytes": 10`, `_bytes": 9999999`, ": classes[1]: a body of 9999999 bytes; want from 0 to 1048576"},
		{`"mix": {"tile": 3`, `"mix": {"tea": 3`, `: streams[0].mix: there is no class "tea"; add it to classes`},
		{`"tile": 3`, `"tile": -3`, ": streams[0].mix.tile: a weight of -3; want more than 0"},
		{`, "mix": {"tile": 1}`, "", ": streams[1].mix: none, and there are several classes"},
		{`{"acme": 1}`, `{"beta": 1}`, `: streams[0].tenants: there is no tenant "beta"; add it to tenants`},
		{`"mix"`, `"spacing": "odd", "mix"`, `: streams[0].spacing: "odd"; want poisson or even`},
		{`"step"`, `"steps"`, `: streams[0].shape.kind: there is no "steps"; want constant, ramp, sequence, sine,`},
		{`"at_s": 5`, `"over_s": 5`, ": streams[0].shape.over_s: does not belong to a step; leave it out (it takes"},
		{`"rate": 10`, `"rate": -10`, ": streams[0].shape.rate: -10; want 0 or more"},
		{`"rate": 10`, `"rate": 1e7`, ": streams[0].shape: more than 1e+06 requests a second; lower rate, to or times"},
		{`"step", "rate": 10, "to": 20`, `"ramp"`, ": streams[0].shape.over_s: a ramp needs it; want more than 0"},
		{`"step", "rate": 10, "to": 20`, `"sine", "rate": 1, "swing": 2, "period_s": 1`, ".swing: 2; want at most 1"},
		{`"at_s": 5`, `"of": [{"kind": "sum"}]`, ": streams[0].shape.of: does not belong to a step; leave it out"},
		{`[{"kind": "constant", "rate": 5}]`, `[]`, ": streams[1].shape.of: a sum needs one shape or more"},
		{`"sum", "of": [`, `"sequence", "of": [{"kind": "constant"}, `, ".of[0].for_s: 0; a sequence must know"},
		{
			`[{"kind": "constant", "rate": 5}]`,
			strings.Repeat(`[{"kind": "sum", "of": `, 9) + "[]" + strings.Repeat(`}]`, 9), "shapes are nested deeper",
		},
	} {
		err := read(strings.Replace(goodPlan, test.old, test.new, 1))
		if err == nil || !strings.Contains(err.Error(), file) || !strings.Contains(err.Error(), test.message) {
			t.Errorf("%s for %s: %v, want %s", test.new, test.old, err, test.message)
		}
	}
}

// Three processes send the plan between them, each request once; what they report is the same as that of one.
func TestParts(t *testing.T) {
	p := mixed(t)
	p.ForS = 2
	sum := func(r *Result) string {
		report := NewReport(p, r, "", 1)
		rows, err := json.Marshal([]any{report.Classes, report.Seconds, r.Late.Count()})
		ok(t, err)
		return string(rows)
	}
	answer := func(_ time.Time, w http.ResponseWriter, r *http.Request) {
		switch id := r.Header.Get("Req-Id"); {
		case id[0] == '0':
			w.WriteHeader(500)
		case id[0] < '4':
			time.Sleep(time.Duration(id[1]) * time.Millisecond)
		}
	}
	whole := inBubble(t, p, Options{}, answer)
	var parts []*Result
	for i := range 3 {
		raw, err := json.Marshal(inBubble(t, p, Options{Part: i, Parts: 3}, answer))
		ok(t, err)
		parts = append(parts, &Result{})
		ok(t, json.Unmarshal(raw, parts[i]))
	}
	merged, err := Merge(parts...)
	ok(t, err)
	if a, b := sum(whole), sum(merged); a != b {
		t.Errorf("one process: %s\nthree: %s", a, b)
	}
}

// Real processes on loopback, from the job to the merged result.
func TestSpread(t *testing.T) {
	n := fakes.Loopback()
	provider, err := fakes.NewProvider(n, fakes.ProviderOptions{
		Cores:   100,
		Default: fakes.Service{Mean: time.Millisecond, Fixed: true},
	})
	ok(t, err)
	defer provider.Close()
	self, err := os.Executable()
	ok(t, err)
	p := tiles(t, constant(100), Even, 0.5)
	workers := func() (all []*exec.Cmd) {
		for range 2 {
			cmd := exec.Command(self)
			cmd.Env = append(os.Environ(), workVariable+"=1")
			all = append(all, cmd)
		}
		return all
	}
	r, err := Spread(t.Context(), p, provider.Address(), workers())
	ok(t, err)
	if c := r.Classes[0]; c.Requests != 50 || c.Ends[Served] != 50 || r.Partial || len(provider.Requests()) != 50 {
		t.Errorf("%+v", r)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p.ForS = 1000 // none of which is waited for
	if r, err := Spread(ctx, p, provider.Address(), workers()); err != nil || !r.Partial {
		t.Errorf("interrupted: %+v, %v", r, err)
	}
	for _, name := range []string{"/bin/true", "/bin/cat", "/nowhere"} {
		if _, err := Spread(t.Context(), p, "", []*exec.Cmd{exec.Command(name)}); err == nil {
			t.Errorf("%s got ready", name)
		}
	}
}

// Interrupted, a run keeps what it has; with nothing due, it is over at once.
func TestShortRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 1450*time.Millisecond)
		defer cancel()
		r, err := Run(ctx, tiles(t, constant(10), Even, 100), Options{
			Dialer: fakes.NewMemory(), Address: "10.0.0.1:1",
			Pause: time.Sleep,
		})
		if err != nil || !r.Partial || r.Classes[0].Ends[Unreachable] != 15 {
			t.Errorf("%+v, %v", r, err)
		}
		p := tiles(t, constant(0), Poisson, 100)
		r, err = Run(t.Context(), p, Options{Dialer: fakes.NewMemory(), Address: "10.0.0.1:1"})
		var out bytes.Buffer
		report := NewReport(p, r, "", 1)
		if err != nil || r.Partial || r.Ran != 0 || !report.Valid || report.Write(&out) != nil {
			t.Errorf("%+v, %v: %s", r, err, out.String())
		}
		if report.Plot(&out, chart.SVG) == nil {
			t.Error("nothing was drawn without a word")
		}
	})
}

func TestReport(t *testing.T) {
	p := tiles(t, constant(10), Even, 2)
	r := newResult(1)
	rec := recorder{start: time.Now(), result: r}
	for i := range 20 {
		due := rec.start.Add(time.Duration(i) * 100 * time.Millisecond)
		d := done{
			due: due, sent: due.Add(10 * time.Millisecond), end: due.Add(600 * time.Millisecond), tries: 1,
			late: 2 * time.Millisecond, aim: 500 * time.Millisecond,
		}
		if i >= 17 {
			d.last = Refused
		}
		rec.done(&d)
	}
	report := NewReport(p, r, "here", 2)
	report.Partial = true
	var text, rows bytes.Buffer
	ok(t, report.Write(&text))
	ok(t, report.WriteCSV(&rows))
	for _, want := range []string{
		"2.0 s of load on here, seed 1; processes: 2", "PARTIAL", "INVALID: requests were",
		"due  600.063  never  never", "send  590.335  never",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%s\nhas no %s", text.String(), want)
		}
	}
	if want := "1,tile,10,10,0,7,3,0,0,0,0,602.111,,,,,593.919,,,,,2.000\n"; !strings.HasSuffix(rows.String(), want) {
		t.Errorf("%s\ndoes not end with %s", rows.String(), want)
	}
	for ending, check := range map[string]func([]byte) error{
		".svg": func(b []byte) error { return xml.Unmarshal(b, new(any)) },
		".png": func(b []byte) error { _, err := png.Decode(bytes.NewReader(b)); return err },
	} {
		var plot bytes.Buffer
		form, err := PlotForm(ending)
		ok(t, err)
		ok(t, report.Plot(&plot, form))
		ok(t, check(plot.Bytes()))
	}
}

// A request that crosses the close of a kept connection goes out once more, at once.
func TestRequestMeetsClosingConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fakes.NewMemory()
		n.SetDelay(20*time.Millisecond, 0)
		provider, err := fakes.NewProvider(n, fakes.ProviderOptions{IdleMost: 100 * time.Millisecond, Cores: 9})
		ok(t, err)
		defer provider.Close()
		p := tiles(t, constant(5), Poisson, 60)
		r, err := Run(t.Context(), p, Options{Dialer: n, Address: provider.Address(), Pause: time.Sleep})
		ok(t, err)
		c := r.Classes[0]
		if seen := uint64(len(provider.Requests())); c.Ends[Served] != c.Requests || c.Attempts != c.Requests || c.Resent == 0 ||
			seen != c.Requests {
			t.Errorf("asked %d, ends %v, resent %d, seen %d", c.Requests, c.Ends, c.Resent, seen)
		}
	})
}
