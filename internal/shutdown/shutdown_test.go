package shutdown

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// NewSchedule computes the schedule for the platform's kill, for an early configured kill and for a late one.
func TestNewSchedule(t *testing.T) {
	for _, c := range []struct{ longest, kill, lastForward, lastResponse, killed time.Duration }{
		{2500 * ms, 0, 2550 * ms, 2700 * ms, 3200 * ms},
		{10 * time.Second, 0, 3050 * ms, 3200 * ms, 3700 * ms},
		{300 * ms, 0, 350 * ms, 500 * ms, 1000 * ms},
		{2500 * ms, 90 * time.Second, 89350 * ms, 89500 * ms, 90 * time.Second},
		{2500 * ms, 500 * ms, 125 * ms, 250 * ms, 500 * ms},
	} {
		schedule := NewSchedule(c.longest, c.kill)
		if want := (Schedule{c.lastForward, c.lastResponse, c.killed}); schedule != want {
			t.Errorf("longest %s, kill %s: %+v, want %+v", c.longest, c.kill, schedule, want)
		}
		if err := schedule.Check(); err != nil {
			t.Error(err)
		}
	}
	if NewSchedule(time.Second, 400*ms).Check() == nil {
		t.Error("a kill after 400 ms is accepted")
	}
}

// Each lead is long enough for a stall at every step that follows it: connections are closed, a last request is read and
// rejected, and open requests fail and get their responses before the kill, with any number of connections.
func TestLeadsCoverStalls(t *testing.T) {
	for longest := 250 * ms; longest < 6*time.Second; longest += 70 * ms { // with shorter deadlines few new clients are accepted
		for _, connections := range []int{0, 10, 100, 300, 1000, 10000} {
			schedule := NewSchedule(longest, 0).ForConnections(connections)
			work := min(time.Duration(connections)*CloseTimePerConnection, schedule.Kill/10)
			if closedAt := schedule.LastForward + MaxStall; closedAt+3*MaxStall+work > schedule.Kill {
				t.Errorf("longest %s, %d connections: a request that arrives at %s is rejected after the kill at %s", longest, connections, closedAt, schedule.Kill)
			}
			if failedAt := schedule.LastResponse + 2*MaxStall; failedAt+MaxStall+work > schedule.Kill {
				t.Errorf("longest %s, %d connections: a request that fails at %s gets its response after the kill at %s", longest, connections, failedAt, schedule.Kill)
			}
			if schedule.LastForward <= 0 || schedule.LastResponse < schedule.LastForward {
				t.Errorf("longest %s, %d connections: %+v", longest, connections, schedule)
			}
		}
	}
}

// The response to a request is due before the kill whenever it arrives, with time for two stalls: before the deadline is
// noticed and before the response is written.
func TestWaitLimit(t *testing.T) {
	schedule := NewSchedule(2500*ms, 0)
	for _, c := range []struct{ received, timeout, want time.Duration }{
		{-2 * time.Second, 8 * time.Second, 4700 * ms}, // a reload has dropped the class of the request
		{-time.Second, 3700 * ms, 3700 * ms},
		{-time.Second, 4201 * ms, 3700 * ms},
		{0, 2500 * ms, 2500 * ms},
		{650 * ms, 8 * time.Second, 2050 * ms},
		{699 * ms, 2500 * ms, 2001 * ms},
		{700 * ms, 2500 * ms, 2000 * ms},
		{time.Second, 400 * ms, 400 * ms},
		{2540 * ms, 400 * ms, 160 * ms},
		{5 * time.Second, 400 * ms, 0},
	} {
		if got := schedule.WaitLimit(c.received, c.timeout); got != c.want {
			t.Errorf("at %s with %s: %s, want %s", c.received, c.timeout, got, c.want)
		}
	}
	for longest := 100 * ms; longest < 6*time.Second; longest += 170 * ms {
		schedule := NewSchedule(longest, []time.Duration{0, 700 * ms, time.Second, 3 * time.Second}[longest/(170*ms)%4])
		for received := -longest; received <= schedule.LastForward; received += 10 * ms {
			for _, timeout := range []time.Duration{10 * ms, longest / 2, longest, 2 * longest} {
				if end := received + schedule.WaitLimit(received, timeout); end > schedule.Kill-2*MaxStall && received+timeout > schedule.Kill-2*MaxStall {
					t.Fatalf("longest %s: received at %s with timeout %s, response due at %s, killed at %s", longest, received, timeout, end, schedule.Kill)
				}
			}
		}
	}
}

// Earlier returns the schedule with the earlier kill.
func TestEarlier(t *testing.T) {
	early, late := NewSchedule(300*ms, 0), NewSchedule(time.Second, 0)
	if late.Earlier(early) != early || early.Earlier(late) != early {
		t.Error("Earlier returns the schedule with the later kill")
	}
}
