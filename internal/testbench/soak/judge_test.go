package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"plankrouter/internal/testbench/fakes"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func after(n int) time.Time { return epoch.Add(ms(n)) }

// validRecord returns a record without violations: a request with side effects, served by s1.
func validRecord() *record {
	return &record{
		start: epoch, slack: ms(10), retryWindow: ms(900),
		requests: []*request{{id: "n0-1", class: classesFor(1500 * time.Millisecond)[2], startedAt: after(100), sentAt: after(101), respondedAt: after(130), status: 200}},
		attempts: []attempt{{fakes.Request{ID: "n0-1", Server: "s1", Sent: after(103), Deadline: "0.997", Outcome: fakes.Responded}, 0}},
		starts:   map[string][]time.Time{}, processStarts: map[int][]time.Time{0: {epoch}}, learnedAt: map[serverAtSidecar][]time.Time{},
		killed: func(int, time.Time, time.Time) bool { return false }, faults: map[string][]string{},
	}
}

// addAttemptAtS2 adds an answered attempt at a second server, sent at the given number of milliseconds after the record's start.
func (r *record) addAttemptAtS2(at int) {
	r.attempts = append(r.attempts, attempt{fakes.Request{ID: "n0-1", Server: "s2", Sent: after(at), Deadline: "0.1", Outcome: fakes.Responded}, 0})
}

// TestJudge checks that the judge reports each violation, and no violation where the rule is kept.
func TestJudge(t *testing.T) {
	for name, row := range map[string]struct {
		change func(*record)
		want   Rule // "" = no violation
	}{
		"valid":         {func(*record) {}, ""},
		"no response":   {func(r *record) { r.requests[0].status = 0 }, Lost},
		"late response": {func(r *record) { r.requests[0].respondedAt = after(1700) }, Lost},
		"disconnected":  {func(r *record) { r.requests[0].status, r.requests[0].disconnectedAt = 0, after(110) }, ""},
		"process killed": {func(r *record) {
			r.requests[0].status, r.killed = 0, func(int, time.Time, time.Time) bool { return true }
		}, ""},
		"forwarded, and its connection closed": {func(r *record) {
			r.requests[0].firstSend, r.requests[0].unreachable = span{after(101), after(140)}, true
		}, Lost},
		"crossed the close of its connection": {func(r *record) {
			r.requests[0].firstSend, r.attempts[0].Sent = span{after(101), after(102)}, after(103)
		}, ""},
		"open at the kill": {func(r *record) {
			r.requests[0].firstSend, r.requests[0].unreachable, r.attempts = span{after(101), after(140)}, true, nil
			r.shutdowns = map[int][]span{0: {{after(-2000), after(139)}}}
		}, Lost},
		"sent after the kill": {func(r *record) {
			r.requests[0].firstSend, r.requests[0].unreachable, r.attempts = span{after(141), after(142)}, true, nil
			r.shutdowns = map[int][]span{0: {{after(-2000), after(139)}}}
		}, ""},
		"deadline too late, judge stalled": {func(r *record) {
			r.attempts[0].Sent, r.requests[0].respondedAt = after(300), after(310)
			r.stalls = []span{{after(250), after(290)}}
		}, ""},
		"deadline too late, judge stalled long before": {func(r *record) {
			r.start, r.attempts[0].Sent, r.requests[0].respondedAt = after(-2000), after(300), after(310)
			r.stalls = []span{{after(-1000), after(-900)}}
		}, Deadline},
		"of another request":             {func(r *record) { r.requests[0].err = "response to another request" }, WrongResponse},
		"sent twice":                     {func(r *record) { r.addAttemptAtS2(120) }, RunTwice},
		"declined before":                {func(r *record) { r.attempts[0].Outcome = fakes.Declined; r.addAttemptAtS2(120) }, ""},
		"rejected after it may have run": {func(r *record) { r.requests[0].status = 503; r.attempts[0].Outcome = fakes.Reset }, FalseRejection},
		"rejected, unsent":               {func(r *record) { r.requests[0].status = 503; r.attempts = nil }, ""},
		"failed after it may have run":   {func(r *record) { r.requests[0].status = 502; r.attempts[0].Outcome = fakes.Reset }, ""},
		"within the retry window": {func(r *record) {
			r.requests[0].class = classesFor(1500 * time.Millisecond)[1]
			r.addAttemptAtS2(900)
		}, ""},
		"after the retry window": {func(r *record) {
			r.requests[0].class = classesFor(1500 * time.Millisecond)[1]
			r.addAttemptAtS2(1100)
		}, RetryWindow},
		"client disconnected":       {func(r *record) { r.requests[0].disconnectedAt = after(90); r.attempts[0].Sent = after(205) }, ClientGone},
		"client just disconnected":  {func(r *record) { r.requests[0].disconnectedAt = after(90); r.attempts[0].Sent = after(195) }, ""},
		"deadline too late":         {func(r *record) { r.attempts[0].Sent = after(300); r.requests[0].respondedAt = after(310) }, Deadline},
		"drained, within the grace": {func(r *record) { r.draining = []drainingServer{{"s1", after(-700)}} }, ""},
		"drained": {func(r *record) {
			r.draining = []drainingServer{{"s1", after(-710)}}
			r.processStarts[0][0] = after(-2000)
		}, Drain},
		"drained, silent": {func(r *record) {
			r.draining, r.processStarts[0][0] = []drainingServer{{"s1", after(-710)}}, after(-9000)
			r.outages = []outage{{Silent, after(-1000), after(50)}}
		}, ""},
		"drained, silent for long": {func(r *record) {
			r.draining, r.processStarts[0][0] = []drainingServer{{"s1", after(-5000)}}, after(-9000)
			r.outages = []outage{{Silent, after(-6800), after(50)}}
		}, Drain},
		"drained, silent, but learned": {func(r *record) {
			r.draining, r.processStarts[0][0] = []drainingServer{{"s1", after(-1500)}}, after(-9000)
			r.outages = []outage{{Silent, after(-2000), after(50)}}
			r.learnedAt[serverAtSidecar{0, "s1"}] = []time.Time{after(-3000), after(-1000)}
		}, Drain},
		"drained, down": {func(r *record) {
			r.draining, r.processStarts[0][0] = []drainingServer{{"s1", after(-5000)}}, after(-9000)
			r.outages = []outage{{Down, after(-6000), after(-100)}}
		}, ""},
		"drained before the process started": {func(r *record) {
			r.draining = []drainingServer{{"s1", after(-5000)}}
			r.processStarts[0][0] = after(-300)
		}, ""},
		"cordoned":                    {func(r *record) { r.orders = []order{{0, "s1", after(-800), time.Time{}}} }, Order},
		"uncordoned":                  {func(r *record) { r.orders = []order{{0, "s1", after(-800), after(50)}} }, ""},
		"cordoned at another sidecar": {func(r *record) { r.orders = []order{{1, "s1", after(-800), time.Time{}}} }, ""},
		"partial request":             {func(r *record) { r.unansweredPartial = 1 }, BadClient},
		"stopped, told": {func(r *record) {
			r.requests[0].behaviour, r.requests[0].stoppedAt, r.requests[0].stopNoticed = stopsInBody, after(0), 2700*time.Millisecond
			r.requests[0].status = 408
		}, ""},
		"stopped, not told": {func(r *record) {
			r.requests[0].behaviour, r.requests[0].stoppedAt, r.requests[0].stopNoticed = stopsInBody, after(0), 3200*time.Millisecond
			r.requests[0].status = 408
		}, BadClient},
		"long body, served in time after its last byte": {func(r *record) {
			r.requests[0].behaviour = sendsLongBody
			r.requests[0].sentAt, r.requests[0].respondedAt = after(3000), after(3400)
		}, ""},
		"long body, late": {func(r *record) {
			r.requests[0].behaviour = sendsLongBody
			r.requests[0].sentAt, r.requests[0].respondedAt = after(3000), after(9000)
		}, Lost},
		"crash": {func(r *record) { r.faults["n0"] = []string{"exit status 2"} }, Process},
		"cold, over budget": {func(r *record) {
			r.starts["s9"] = []time.Time{after(0)}
			for i := range slowStartBudget(0) + 5 {
				r.attempts = append(r.attempts, attempt{fakes.Request{ID: fmt.Sprint("x", i), Server: "s9", Sent: after(i)}, 0})
			}
		}, SlowStart},
		"cold, over budget, no sidecar notified": {func(r *record) {
			r.starts["s9"] = []time.Time{after(0)}
			r.outages = []outage{{Silent, after(-100), after(2500)}}
			for i := range slowStartBudget(0) + 5 {
				r.attempts = append(r.attempts, attempt{fakes.Request{ID: fmt.Sprint("x", i), Server: "s9", Sent: after(i)}, 0})
			}
		}, ""},
		"cold, over budget, notified": {func(r *record) {
			r.starts["s9"] = []time.Time{after(0)}
			r.outages = []outage{{Down, after(-100), after(20)}}
			for i := range slowStartBudget(0) + 5 {
				r.attempts = append(r.attempts, attempt{fakes.Request{ID: fmt.Sprint("x", i), Server: "s9", Sent: after(i)}, 0})
			}
		}, SlowStart},
		"cold, within budget": {func(r *record) {
			r.starts["s9"] = []time.Time{after(0)}
			for i := range slowStartBudget(0) {
				r.attempts = append(r.attempts, attempt{fakes.Request{ID: fmt.Sprint("x", i), Server: "s9", Sent: after(i)}, 0})
			}
		}, ""},
	} {
		r := validRecord()
		row.change(r)
		var rules []Rule
		for _, v := range r.judge() {
			rules = append(rules, v.Rule)
		}
		rules = slices.Compact(rules)
		if row.want == "" && len(rules) > 0 || row.want != "" && (len(rules) != 1 || rules[0] != row.want) {
			t.Errorf("%s: violations of %v, want %q", name, rules, row.want)
		}
	}
}

// TestDraw checks that one seed always yields the same faults, and that every kind is drawn for some seed.
func TestDraw(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(20) {
		one, two := Draw(seed, 30*time.Second, 12, 8, nil), Draw(seed, 30*time.Second, 12, 8, nil)
		if !slices.Equal(one, two) {
			t.Fatalf("seed %d: two draws of faults differ", seed)
		}
		for _, x := range one {
			seen[x.Kind] = true
			if x.At < quietStart || x.At > 30*time.Second-quietEnd {
				t.Errorf("seed %d: %s begins at %s", seed, x.Kind, x.At)
			}
		}
	}
	for _, s := range kindWeights {
		if !seen[s.kind] {
			t.Errorf("%s is never drawn", s.kind)
		}
	}
	for _, x := range Draw(1, time.Minute, 12, 8, []Kind{Crash}) {
		if x.Kind != Crash {
			t.Errorf("%s was not requested", x.Kind)
		}
	}
}
