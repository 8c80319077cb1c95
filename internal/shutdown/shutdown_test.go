package shutdown

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// The timetable for what the platform grants, for a kill that comes soon and for one that comes late.
func TestNewSchedule(t *testing.T) {
	for _, c := range []struct{ longest, kill, lastForward, lastAnswer, killed time.Duration }{
		{2500 * ms, 0, 2550 * ms, 2700 * ms, 3200 * ms},
		{10 * time.Second, 0, 3050 * ms, 3200 * ms, 3700 * ms},
		{300 * ms, 0, 350 * ms, 500 * ms, 1000 * ms},
		{2500 * ms, 90 * time.Second, 89350 * ms, 89500 * ms, 90 * time.Second},
		{2500 * ms, 500 * ms, 125 * ms, 250 * ms, 500 * ms},
	} {
		schedule := NewSchedule(c.longest, c.kill)
		if want := (Schedule{c.lastForward, c.lastAnswer, c.killed}); schedule != want {
			t.Errorf("longest %s, kill %s: %+v, want %+v", c.longest, c.kill, schedule, want)
		}
		if err := schedule.Check(); err != nil {
			t.Error(err)
		}
	}
	if NewSchedule(time.Second, 400*ms).Check() == nil {
		t.Error("a kill after 400 ms is taken")
	}
}

// Each lead bears a stall at every step that follows it: connections are closed, a last request is read and refused, and what is open is
// given up and answered before the kill, with as many connections as there may be.
func TestLeadsBearTheirSteps(t *testing.T) {
	for longest := 250 * ms; longest < 6*time.Second; longest += 70 * ms { // below, a new client would hardly be let in
		for _, connections := range []int{0, 10, 100, 300, 1000, 10000} {
			schedule := NewSchedule(longest, 0).ForConnections(connections)
			work := min(time.Duration(connections)*CloseTimePerConnection, schedule.Kill/10)
			if closed := schedule.LastForward + MaxStall; closed+3*MaxStall+work > schedule.Kill {
				t.Errorf("longest %s, %d connections: a request that comes at %s is refused after the kill at %s", longest, connections, closed, schedule.Kill)
			}
			if given := schedule.LastAnswer + 2*MaxStall; given+MaxStall+work > schedule.Kill {
				t.Errorf("longest %s, %d connections: what is given up at %s is answered after the kill at %s", longest, connections, given, schedule.Kill)
			}
			if schedule.LastForward <= 0 || schedule.LastAnswer < schedule.LastForward {
				t.Errorf("longest %s, %d connections: %+v", longest, connections, schedule)
			}
		}
	}
}

// Whatever comes in when, its answer is due before the kill, with time for a stall before it is seen to be due and one before it is
// written.
func TestWaitLimit(t *testing.T) {
	schedule := NewSchedule(2500*ms, 0)
	for _, c := range []struct{ received, timeout, want time.Duration }{
		{-2 * time.Second, 8 * time.Second, 4700 * ms}, // of a class that was dropped since
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
					t.Fatalf("longest %s: taken at %s for %s, answered by %s, killed at %s", longest, received, timeout, end, schedule.Kill)
				}
			}
		}
	}
}

// Of two schedules the one counts whose kill comes first.
func TestEarlier(t *testing.T) {
	soon, late := NewSchedule(300*ms, 0), NewSchedule(time.Second, 0)
	if late.Earlier(soon) != soon || soon.Earlier(late) != soon {
		t.Error("the later kill goes before the earlier one")
	}
}
