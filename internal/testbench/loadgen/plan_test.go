package loadgen

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// mixedPlan returns a checked plan that uses all properties of requests.
func mixedPlan(t *testing.T) *Plan {
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
	for q, err := range mixedPlan(t).Requests() {
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
			t.Errorf("%q: %v, want about %v", key, counts[key], want)
		}
	}
}

// goodPlan is the valid plan that TestBadPlans modifies.
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
		{`"seed": 1,`, `"seed": 1`, `:2: invalid character '"' after object key:value pair; fix the JSON`},
		{`"seed": 1`, `"seed": "x"`, ":2: seed: a string; want a whole number of 0 or more"},
		{`"rate": 10`, `"rate": "x"`, ":7: streams.shape.rate: a string; want a number"},
		{`"zipf"`, `"zap"`, ":4: zap: unknown key; fix its name or remove it"},
		{"\n}", "", ":9: the file ends in the middle of the plan; it is incomplete"},
		{"\n}", "}{", ":9: trailing data after the plan; remove it"},
		{`"for_s": 10`, `"for_s": 0`, ": for_s: 0; want the number of seconds"},
		{`"for_s": 10`, `"for_s": 1e9`, ": for_s: 1e+09; want from 0 to 1e+06 seconds"},
		{`"streams"`, `"trace": {"file": "x"}, "streams"`, ": streams, trace: want one of the two"},
		{`"for_s"`, `"connections": -1, "for_s"`, ": connections: -1; want"},
		{`"for_s"`, `"lateness": {"p99_ms": -1}, "for_s"`, ": lateness: below 0; want"},
		{`["acme"]`, `["a b"]`, `: tenants[0]: "a b"; want`},
		{`"name": "tile"`, `"name": "t/x"`, `: classes[0].name: "t/x"; want`},
		{`"name": "order"`, `"name": "tile"`, `: classes[1].name: "tile" is used twice; rename one`},
		{`"aim_ms": 100`, `"aim_ms": 0`, ": classes[0].aim_ms: 0; want from 1 to 600000 ms"},
		{`"aim_ms": 100`, `"aim_ms": 900`, ": classes[0].aim_ms: 900 is above deadline_ms, which is 500; lower it"},
		{`"count": 10`, `"count": -1`, ": classes[0].keys.count: -1; want from 1 to 1000000"},
		{`"zipf": 1`, `"zipf": -1`, ": classes[0].keys.zipf: -1; want from 0 to 10"},
		{`"most": 1`, `"most": 101`, ": classes[1].retry.most: 101; want from 0 to 100"},
		{`"most": 1`, `"on": ["served"]`, `: classes[1].retry.on[0]: "served"; want one of refused, failed, lost`},
		{`"POST"`, `"GET"`, ": classes[1]: a GET has no body"},
		{`"POST"`, `"POST", "path": "x"`, `: classes[1]: path "x"; want`},
		{`"POST"`, `"HEAD"`, `: classes[1]: method "HEAD"; want one of GET, POST, PUT, PATCH, DELETE`},
		{`_bytes": 10`, `_bytes": 9999999`, ": classes[1]: a body of 9999999 bytes; want from 0 to 1048576"},
		{`"mix": {"tile": 3`, `"mix": {"tea": 3`, `: streams[0].mix: unknown class "tea"; add it to classes`},
		{`"tile": 3`, `"tile": -3`, ": streams[0].mix.tile: a weight of -3; want more than 0"},
		{`, "mix": {"tile": 1}`, "", ": streams[1].mix: none, but there are several classes"},
		{`{"acme": 1}`, `{"beta": 1}`, `: streams[0].tenants: unknown tenant "beta"; add it to tenants`},
		{`"mix"`, `"spacing": "odd", "mix"`, `: streams[0].spacing: "odd"; want poisson or even`},
		{`"step"`, `"steps"`, `: streams[0].shape.kind: unknown kind "steps"; want constant, ramp, sequence, sine,`},
		{`"at_s": 5`, `"over_s": 5`, ": streams[0].shape.over_s: is not a key of a step; remove it (it takes"},
		{`"rate": 10`, `"rate": -10`, ": streams[0].shape.rate: -10; want 0 or more"},
		{`"rate": 10`, `"rate": 1e7`, ": streams[0].shape: more than 1e+06 requests a second; lower rate, to or times"},
		{`"step", "rate": 10, "to": 20`, `"ramp"`, ": streams[0].shape.over_s: required by a ramp; want more than 0"},
		{`"step", "rate": 10, "to": 20`, `"sine", "rate": 1, "swing": 2, "period_s": 1`, ".swing: 2; want at most 1"},
		{`"at_s": 5`, `"of": [{"kind": "sum"}]`, ": streams[0].shape.of: is not a key of a step; remove it"},
		{`[{"kind": "constant", "rate": 5}]`, `[]`, ": streams[1].shape.of: a sum needs one shape or more"},
		{`"sum", "of": [`, `"sequence", "of": [{"kind": "constant"}, `, ".of[0].for_s: 0; a sequence needs the duration"},
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
