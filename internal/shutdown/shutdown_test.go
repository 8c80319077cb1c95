package shutdown

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// The timetable for what the platform grants, for a kill that comes soon and for one that comes late.
func TestFor(t *testing.T) {
	for _, c := range []struct{ longest, kill, last, answer, end time.Duration }{
		{2500 * ms, 0, 2550 * ms, 2700 * ms, 3200 * ms},
		{10 * time.Second, 0, 3050 * ms, 3200 * ms, 3700 * ms},
		{300 * ms, 0, 350 * ms, 500 * ms, 1000 * ms},
		{2500 * ms, 90 * time.Second, 89350 * ms, 89500 * ms, 90 * time.Second},
		{2500 * ms, 500 * ms, 125 * ms, 250 * ms, 500 * ms},
	} {
		p := NewSchedule(c.longest, c.kill)
		if want := (Schedule{c.last, c.answer, c.end}); p != want {
			t.Errorf("longest %s, kill %s: %+v, want %+v", c.longest, c.kill, p, want)
		}
		if err := p.Check(); err != nil {
			t.Error(err)
		}
	}
	if NewSchedule(time.Second, 400*ms).Check() == nil {
		t.Error("a kill after 400 ms is taken")
	}
}

// Each lead bears a hold-up at every step that follows it: connections are closed, a last request is read and refused, and what is open is
// given up and answered before the kill, with as many connections as there may be.
func TestLeadsBearTheirSteps(t *testing.T) {
	for longest := 250 * ms; longest < 6*time.Second; longest += 70 * ms { // below, a new client would hardly be let in
		for _, connections := range []int{0, 10, 100, 300, 1000, 10000} {
			p := NewSchedule(longest, 0).ForConnections(connections)
			work := min(time.Duration(connections)*CloseTimePerConnection, p.Kill/10)
			if closed := p.LastForward + MaxStall; closed+3*MaxStall+work > p.Kill {
				t.Errorf("longest %s, %d connections: a request that comes at %s is refused after the kill at %s", longest, connections, closed, p.Kill)
			}
			if given := p.LastAnswer + 2*MaxStall; given+MaxStall+work > p.Kill {
				t.Errorf("longest %s, %d connections: what is given up at %s is answered after the kill at %s", longest, connections, given, p.Kill)
			}
			if p.LastForward <= 0 || p.LastAnswer < p.LastForward {
				t.Errorf("longest %s, %d connections: %+v", longest, connections, p)
			}
		}
	}
}

// Whatever comes in when, its answer is due before the kill, with time for a hold-up before it is seen to be due and one before it is
// written.
func TestPatience(t *testing.T) {
	p := NewSchedule(2500*ms, 0)
	for _, c := range []struct{ since, patience, want time.Duration }{
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
		if got := p.WaitLimit(c.since, c.patience); got != c.want {
			t.Errorf("at %s with %s: %s, want %s", c.since, c.patience, got, c.want)
		}
	}
	for longest := 100 * ms; longest < 6*time.Second; longest += 170 * ms {
		p := NewSchedule(longest, []time.Duration{0, 700 * ms, time.Second, 3 * time.Second}[longest/(170*ms)%4])
		for since := -longest; since <= p.LastForward; since += 10 * ms {
			for _, patience := range []time.Duration{10 * ms, longest / 2, longest, 2 * longest} {
				if end := since + p.WaitLimit(since, patience); end > p.Kill-2*MaxStall && since+patience > p.Kill-2*MaxStall {
					t.Fatalf("longest %s: taken at %s for %s, answered by %s, killed at %s", longest, since, patience, end, p.Kill)
				}
			}
		}
	}
}

// Of two plans the one goes whose kill comes first.
func TestSooner(t *testing.T) {
	soon, late := NewSchedule(300*ms, 0), NewSchedule(time.Second, 0)
	if late.Earlier(soon) != soon || soon.Earlier(late) != soon {
		t.Error("the later kill goes before the sooner one")
	}
}
