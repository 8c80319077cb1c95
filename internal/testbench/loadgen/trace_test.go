package loadgen

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestTraceRoundTrip checks that a trace written from a plan, when replayed and written again, gives the same bytes.
func TestTraceRoundTrip(t *testing.T) {
	plan := mixedPlan(t)
	for _, form := range []string{".csv", ".jsonl"} {
		var first, again bytes.Buffer
		ok(t, WriteTrace(&first, form, plan.Requests()))
		file := filepath.Join(t.TempDir(), "trace"+form)
		ok(t, os.WriteFile(file, first.Bytes(), 0o600))
		played := &Plan{Classes: plan.Classes, Tenants: plan.Tenants, Trace: &TraceSource{File: file}}
		ok(t, played.Check())
		ok(t, WriteTrace(&again, form, played.Requests()))
		if n := bytes.Count(first.Bytes(), []byte("\n")); n < 15000 || !bytes.Equal(first.Bytes(), again.Bytes()) {
			t.Errorf("%s: %d lines, not byte-identical the second time", form, n)
		}
	}
}

// tracePlan returns a plan that replays a trace, and the error of its check.
func tracePlan(t *testing.T, name, text string, s TraceSource) (*Plan, error) {
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
		p, err := tracePlan(t, "a.jsonl", text, test)
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
	const head = traceHeader + "\n"
	for _, test := range []struct{ name, text, message string }{
		{"a.txt", "", "a.txt: a trace is .csv or .jsonl; rename it"},
		{"a.csv", "time,class\n", `a.csv:1: "time,class\n"; want ` + traceHeader},
		{
			"a.csv", head + "0,tile,,GET,/a,0,\n2,tile,,GET,/a,0,\n1.5,tile,,GET,/a,0,\n",
			"a.csv:4: 1.5 s follows 2 s; sort the trace by time",
		},
		{"a.csv", head + "0,tile,,GET,/a,0\n", "a.csv:2: 6 fields; want 7: " + traceHeader},
		{"a.csv", head + "0,tile,,GET,/a,0,", "a.csv:2: the line has no line feed, so the trace seems to be truncated"},
		{"a.csv", head + "0,\"tile,,GET,/a,0,\n", "a.csv:2: invalid CSV"},
		{"a.csv", head + "0,tea,,GET,/a,0,\n", `a.csv:2: class: "tea" is not in the plan; add it to classes`},
		{"a.csv", head + "0,tile,beta,GET,/a,0,\n", `a.csv:2: tenant: unknown tenant "beta"; add it to tenants`},
		{"a.csv", head + "-1,tile,,GET,/a,0,\n", `a.csv:2: at_s: "-1"; want seconds from the start, such as 12.5`},
		{"a.csv", head + "1m,tile,,GET,/a,0,\n", `at_s: "1m"`},
		{"a.csv", head + "0,tile,,GET,/a,x,\n", `a.csv:2: size: "x"; want a whole number of bytes`},
		{"a.csv", head + "0,tile,,GET,/a,3,\n", "a.csv:2: request: a GET has no body"},
		{"a.csv", head + "0,tile,,GET,a b,0,\n", `a.csv:2: request: path "a b"; want`},
		{"a.csv", head + "0,tile,,GRAB,/a,0,\n", `a.csv:2: request: method "GRAB"; want one of GET, POST`},
		{"a.csv", head + strings.Repeat("9", 70000) + "\n", "a.csv:2: the line is longer than 64 KB"},
		{"a.jsonl", `{"at_s":0,"class":"tile"}` + "\n" + `{"at_s":0,"cl`, "a.jsonl:2: the line has no line feed"},
		{"a.jsonl", `{"at_s":0,"class":"tile","work":3}` + "\n", `a.jsonl:1: json: unknown field "work"; want`},
	} {
		if _, err := tracePlan(t, test.name, test.text, TraceSource{}); err == nil ||
			!strings.Contains(err.Error(), test.message) {
			t.Errorf("%q: %v, want %s", test.text, err, test.message)
		}
	}
	for message, s := range map[string]TraceSource{
		"trace.every_s: 1; the trace is 2 s long": {Repeat: 2, EveryS: 1},
		"trace: speed -1, repeat 1":               {Speed: -1},
	} {
		_, err := tracePlan(t, "a.csv", head+"2,tile,,GET,/a,0,\n", s)
		if err == nil || !strings.Contains(err.Error(), message) {
			t.Errorf("%v, want %s", err, message)
		}
	}
}
