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

// validRecord is a record in which nothing is broken: an order that was served by s1.
func validRecord() *record {
	return &record{
		start: epoch, slack: ms(10), window: ms(900),
		requests: []*request{{id: "n0-1", class: classesFor(1500 * time.Millisecond)[2], begunAt: after(100), sentAt: after(101), answeredAt: after(130), status: 200}},
		attempts: []attempt{{fakes.Request{ID: "n0-1", Server: "s1", Sent: after(103), Deadline: "0.997", Outcome: fakes.Responded}, 0}},
		starts:   map[string][]time.Time{}, processStarts: map[int][]time.Time{0: {epoch}}, learnedAt: map[learnedServer][]time.Time{},
		killed: func(int, time.Time, time.Time) bool { return false }, faults: map[string][]string{},
	}
}

// addAttemptAtS2 adds an answered attempt at a second server, sent so many milliseconds after the record's start.
func (r *record) addAttemptAtS2(at int) {
	r.attempts = append(r.attempts, attempt{fakes.Request{ID: "n0-1", Server: "s2", Sent: after(at), Deadline: "0.1", Outcome: fakes.Responded}, 0})
}

// The judge sees each rule broken, and nothing where it is kept.
func TestJudge(t *testing.T) {
	for name, row := range map[string]struct {
		change func(*record)
		want   Rule // "" = nothing is broken
	}{
		"sound":         {func(*record) {}, ""},
		"no answer":     {func(r *record) { r.requests[0].status = 0 }, Lost},
		"a late answer": {func(r *record) { r.requests[0].answeredAt = after(1700) }, Lost},
		"left":          {func(r *record) { r.requests[0].status, r.requests[0].leftAt = 0, after(110) }, ""},
		"process killed": {func(r *record) {
			r.requests[0].status, r.killed = 0, func(int, time.Time, time.Time) bool { return true }
		}, ""},
		"forwarded, and its connection ended": {func(r *record) {
			r.requests[0].firstSend, r.requests[0].unreachable = span{after(101), after(140)}, true
		}, Lost},
		"crossed the end of its connection": {func(r *record) {
			r.requests[0].firstSend, r.attempts[0].Sent = span{after(101), after(102)}, after(103)
		}, ""},
		"open at the kill": {func(r *record) {
			r.requests[0].firstSend, r.requests[0].unreachable, r.attempts = span{after(101), after(140)}, true, nil
			r.shutdowns = map[int][]span{0: {{after(-2000), after(139)}}}
		}, Lost},
		"sent behind the kill": {func(r *record) {
			r.requests[0].firstSend, r.requests[0].unreachable, r.attempts = span{after(141), after(142)}, true, nil
			r.shutdowns = map[int][]span{0: {{after(-2000), after(139)}}}
		}, ""},
		"told too much, the judge held up": {func(r *record) {
			r.attempts[0].Sent, r.requests[0].answeredAt = after(300), after(310)
			r.stalls = []span{{after(250), after(290)}}
		}, ""},
		"told too much, held up long before": {func(r *record) {
			r.start, r.attempts[0].Sent, r.requests[0].answeredAt = after(-2000), after(300), after(310)
			r.stalls = []span{{after(-1000), after(-900)}}
		}, Deadline},
		"another's":       {func(r *record) { r.requests[0].err = "an answer of another request" }, WrongResponse},
		"sent twice":      {func(r *record) { r.addAttemptAtS2(120) }, RunTwice},
		"declined before": {func(r *record) { r.attempts[0].Outcome = fakes.Declined; r.addAttemptAtS2(120) }, ""},
		"refused after":   {func(r *record) { r.requests[0].status = 503; r.attempts[0].Outcome = fakes.Reset }, FalseRejection},
		"refused, unsent": {func(r *record) { r.requests[0].status = 503; r.attempts = nil }, ""},
		"failed after":    {func(r *record) { r.requests[0].status = 502; r.attempts[0].Outcome = fakes.Reset }, ""},
		"within a window": {func(r *record) {
			r.requests[0].class = classesFor(1500 * time.Millisecond)[1]
			r.addAttemptAtS2(900)
		}, ""},
		"past a window": {func(r *record) {
			r.requests[0].class = classesFor(1500 * time.Millisecond)[1]
			r.addAttemptAtS2(1100)
		}, RetryWindow},
		"for one gone":   {func(r *record) { r.requests[0].leftAt = after(90); r.attempts[0].Sent = after(205) }, ClientGone},
		"just gone":      {func(r *record) { r.requests[0].leftAt = after(90); r.attempts[0].Sent = after(195) }, ""},
		"told too much":  {func(r *record) { r.attempts[0].Sent = after(300); r.requests[0].answeredAt = after(310) }, Deadline},
		"drained, grace": {func(r *record) { r.draining = []drainingServer{{"s1", after(-700)}} }, ""},
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
		"drained, silent, and heard": {func(r *record) {
			r.draining, r.processStarts[0][0] = []drainingServer{{"s1", after(-1500)}}, after(-9000)
			r.outages = []outage{{Silent, after(-2000), after(50)}}
			r.learnedAt[learnedServer{0, "s1"}] = []time.Time{after(-3000), after(-1000)}
		}, Drain},
		"drained, down": {func(r *record) {
			r.draining, r.processStarts[0][0] = []drainingServer{{"s1", after(-5000)}}, after(-9000)
			r.outages = []outage{{Down, after(-6000), after(-100)}}
		}, ""},
		"drained, younger": {func(r *record) {
			r.draining = []drainingServer{{"s1", after(-5000)}}
			r.processStarts[0][0] = after(-300)
		}, ""},
		"out by hand":    {func(r *record) { r.orders = []order{{0, "s1", after(-800), time.Time{}}} }, Order},
		"put back":       {func(r *record) { r.orders = []order{{0, "s1", after(-800), after(50)}} }, ""},
		"out elsewhere":  {func(r *record) { r.orders = []order{{1, "s1", after(-800), time.Time{}}} }, ""},
		"half a request": {func(r *record) { r.unansweredPartial = 1 }, BadClient},
		"a crash":        {func(r *record) { r.faults["n0"] = []string{"exit status 2"} }, Process},
		"cold, a lot": {func(r *record) {
			r.starts["s9"] = []time.Time{after(0)}
			for i := range slowStartBudget(0) + 5 {
				r.attempts = append(r.attempts, attempt{fakes.Request{ID: fmt.Sprint("x", i), Server: "s9", Sent: after(i)}, 0})
			}
		}, SlowStart},
		"cold, a lot, and nobody told": {func(r *record) {
			r.starts["s9"] = []time.Time{after(0)}
			r.outages = []outage{{Silent, after(-100), after(2500)}}
			for i := range slowStartBudget(0) + 5 {
				r.attempts = append(r.attempts, attempt{fakes.Request{ID: fmt.Sprint("x", i), Server: "s9", Sent: after(i)}, 0})
			}
		}, ""},
		"cold, a lot, told": {func(r *record) {
			r.starts["s9"] = []time.Time{after(0)}
			r.outages = []outage{{Down, after(-100), after(20)}}
			for i := range slowStartBudget(0) + 5 {
				r.attempts = append(r.attempts, attempt{fakes.Request{ID: fmt.Sprint("x", i), Server: "s9", Sent: after(i)}, 0})
			}
		}, SlowStart},
		"cold, its part": {func(r *record) {
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
			t.Errorf("%s: broken %v, want %q", name, rules, row.want)
		}
	}
}

// The same seed plays the same faults, and every kind is played by some seed.
func TestDraw(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(20) {
		one, two := Draw(seed, 30*time.Second, 12, 8, nil), Draw(seed, 30*time.Second, 12, 8, nil)
		if !slices.Equal(one, two) {
			t.Fatalf("seed %d: drawn anew, the troubles differ", seed)
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
			t.Errorf("%s was not asked for", x.Kind)
		}
	}
}
