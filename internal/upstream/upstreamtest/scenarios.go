package upstreamtest

import (
	"time"

	"plankrouter/internal/outcome"
)

// scenarios are the suite's scenarios, with their expected results.
var scenarios = map[string]struct {
	run  func(*scenario)
	want result
}{
	"answers": {func(s *scenario) {
		for i, response := range [][]byte{s.harness.Served, s.harness.Failed, s.harness.Declined} {
			s.start(i+1, time.Time{})
			s.read(0)
			s.write(0, response)
			s.recordReports()
		}
	}, result{[]string{"1 served ok", "2 server_error", "3 declined"}, []string{"id1 id2 id3 "}}},
	"two concurrent attempts": {func(s *scenario) {
		s.start(1, time.Time{})
		s.read(0)
		s.start(2, time.Time{})
		s.read(1)
		s.write(1, s.harness.Served)
		s.recordReports()
		s.write(0, s.harness.Served)
		s.recordReports()
	}, result{[]string{"2 served ok", "1 served ok"}, []string{"id1 ", "id2 "}}},
	"probe": {func(s *scenario) {
		s.start(0, time.Time{})
		s.read(0)
		s.write(0, s.harness.Load)
		s.recordReports()
	}, result{[]string{"0 served load 3"}, []string{"probe "}}},
	"refused": {func(s *scenario) {
		s.connections = refused
		s.start(1, time.Time{})
		s.recordReports()
	}, result{[]string{"1 refused"}, nil}},
	"cancelled while connecting": {func(s *scenario) {
		s.connections = delayed
		attempt := s.start(1, time.Time{})
		time.Sleep(50 * time.Millisecond)
		s.cancel(attempt, outcome.Cancelled)
		time.Sleep(time.Second)
		s.recordReports()
	}, result{[]string{"1 withdrawn"}, nil}},
	"withdrawn while connecting": {func(s *scenario) {
		s.connections = delayed
		attempt := s.start(1, time.Time{})
		time.Sleep(50 * time.Millisecond)
		s.withdraw(attempt)
		time.Sleep(time.Second)
		s.recordReports()
	}, result{[]string{"1 withdrawn"}, nil}},
	"withdrawn when it may have run": {func(s *scenario) {
		attempt := s.start(1, time.Time{})
		s.read(0)
		s.withdraw(attempt)
		s.write(0, s.harness.Served)
		s.recordReports()
		s.withdraw(attempt)
	}, result{[]string{"1 served ok"}, []string{"id1 "}}},
	"client gone while connecting, marked but not cancelled": {func(s *scenario) {
		s.connections = delayed
		s.start(1, time.Time{})
		time.Sleep(50 * time.Millisecond)
		s.lastRequest.MarkClientGone()
		time.Sleep(time.Second)
		s.recordReports()
		s.read(0)
	}, result{[]string{"1 withdrawn"}, []string{"nothing "}}},
	"client gone while connecting, unnoticed": {func(s *scenario) {
		s.connections = delayed
		s.start(1, time.Time{})
		time.Sleep(50 * time.Millisecond)
		s.clientGone.Store(true)
		time.Sleep(time.Second)
		s.recordReports()
		s.read(0)
		if !s.lastRequest.IsClientGone() {
			s.t.Error("the request is not marked as client gone")
		}
	}, result{[]string{"1 withdrawn"}, []string{"nothing "}}},
	"timed out while connecting": {func(s *scenario) {
		s.connections = delayed
		attempt := s.start(1, time.Time{})
		time.Sleep(50 * time.Millisecond)
		s.cancel(attempt, outcome.TimedOut)
		time.Sleep(time.Second)
		s.recordReports()
	}, result{[]string{"1 unwritten"}, nil}},
	"drain grace ends while connecting": {func(s *scenario) {
		s.connections = delayed
		s.start(1, time.Now().Add(50*time.Millisecond))
		time.Sleep(time.Second)
		s.recordReports()
		s.read(0)
	}, result{[]string{"1 drained"}, []string{"nothing "}}},
	"drain starts while connecting": {func(s *scenario) {
		s.connections = delayed
		attempt := s.start(1, time.Time{})
		attempt.StartBy(time.Now().Add(time.Hour))
		attempt.StartBy(time.Now().Add(50 * time.Millisecond)) // the earliest limit applies, in any order
		attempt.StartBy(time.Now().Add(time.Hour))
		time.Sleep(time.Second)
		s.recordReports()
		s.read(0)
	}, result{[]string{"1 drained"}, []string{"nothing "}}},
	"expired while connecting": {func(s *scenario) {
		s.connections = delayed
		s.startExpiring(1, time.Time{}, time.Now().Add(50*time.Millisecond))
		time.Sleep(time.Second)
		s.recordReports()
		s.read(0)
	}, result{[]string{"1 expired"}, []string{"nothing "}}},
	"sent before it expires": {func(s *scenario) {
		s.connections = delayed
		s.startExpiring(1, time.Time{}, time.Now().Add(150*time.Millisecond))
		time.Sleep(time.Second)
		s.read(0)
		s.write(0, s.harness.Served)
		s.recordReports()
	}, result{[]string{"1 served ok"}, []string{"id1 "}}},
	"silence": {func(s *scenario) {
		attempt := s.start(1, time.Time{})
		s.read(0)
		time.Sleep(time.Second)
		s.cancel(attempt, outcome.TimedOut)
		s.recordReports()
		s.write(0, s.harness.Served) // the connection is closed
		s.start(2, time.Time{})
		s.read(1)
		s.write(1, s.harness.Served)
		s.recordReports()
	}, result{[]string{"1 timed_out", "2 served ok"}, []string{"id1 ", "id2 "}}},
	"cancelled": {func(s *scenario) {
		attempt := s.start(1, time.Time{})
		s.read(0)
		s.cancel(attempt, outcome.Cancelled)
		s.recordReports()
	}, result{[]string{"1 called_off"}, []string{"id1 "}}},
	"cancelled after its end": {func(s *scenario) {
		attempt := s.start(1, time.Time{})
		s.read(0)
		s.write(0, s.harness.Served)
		s.cancel(attempt, outcome.TimedOut)
		s.recordReports()
		s.start(2, time.Time{}) // the connection is still usable
		s.read(0)
		s.write(0, s.harness.Served)
		s.recordReports()
	}, result{[]string{"1 served ok", "2 served ok"}, []string{"id1 id2 "}}},
	"closed after the request": {func(s *scenario) {
		s.start(1, time.Time{})
		s.read(0)
		s.serverConns[0].Close()
		s.recordReports()
	}, result{[]string{"1 reset"}, []string{"id1 "}}},
	"closed within the response": {func(s *scenario) {
		s.start(1, time.Time{})
		s.read(0)
		s.write(0, s.harness.Served[:len(s.harness.Served)-1])
		s.serverConns[0].Close()
		s.recordReports()
	}, result{[]string{"1 reset"}, []string{"id1 "}}},
	"malformed response": {func(s *scenario) {
		s.start(1, time.Time{})
		s.read(0)
		s.write(0, s.harness.Garbage)
		s.recordReports()
		s.start(2, time.Time{}) // the connection must not be reused
		s.read(1)
		s.write(1, s.harness.Served)
		s.recordReports()
	}, result{[]string{"1 malformed", "2 served ok"}, []string{"id1 ", "id2 "}}},
	"closed while idle": {func(s *scenario) {
		s.start(1, time.Time{})
		s.read(0)
		s.write(0, s.harness.Served)
		s.recordReports()
		s.serverConns[0].Close()
		s.start(2, time.Time{})
		s.read(1)
		s.write(1, s.harness.Served)
		s.recordReports()
	}, result{[]string{"1 served ok", "2 served ok"}, []string{"id1 ", "id2 "}}},
	"bytes while idle": {func(s *scenario) {
		s.start(1, time.Time{})
		s.read(0)
		s.write(0, s.harness.Served)
		s.recordReports()
		s.write(0, s.harness.Served) // an unsolicited response must not be taken for that of the next attempt
		s.start(2, time.Time{})
		s.read(1)
		s.write(1, s.harness.Served)
		s.recordReports()
	}, result{[]string{"1 served ok", "2 served ok"}, []string{"id1 ", "id2 "}}},
	"endpoint closed": {func(s *scenario) {
		s.start(1, time.Time{})
		s.read(0)
		s.endpoint.Close() // the attempt in flight continues, and its connection is not reused
		s.write(0, s.harness.Served)
		s.recordReports()
		s.start(2, time.Time{})
		s.read(1)
		s.write(1, s.harness.Served)
		s.recordReports()
	}, result{[]string{"1 served ok", "2 served ok"}, []string{"id1 ", "id2 "}}},
}
