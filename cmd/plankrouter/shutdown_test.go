package main

// Users saw dozens of requests without an answer whenever a process of theirs was stopped while the machine was busy: they had been
// accepted late in the shutdown, forwarded to servers that took their time, and were still open when the process was killed.
//
// The order of events: SIGTERM is sent; the process does not run for 0.15 s and then counts its time from when it reads the signal; 0.1 s
// before the end that it reckons with it gives up what is open, in several steps, each of which may stall again; by then it has been
// killed. The evidence are the rows below, each of which stops a real process at one edge of its shutdown: on the code before, every stop
// that touches the signal or the last 0.15 s leaves requests that servers have seen without an answer, and no other does.

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	pauseLength     = 150 * time.Millisecond // of a process, at any step
	maxPauseLength  = 165 * time.Millisecond // a stop that the test's own machine made longer says nothing
	defaultDeadline = 400 * time.Millisecond // the longest deadline of the rows below
	killMargin      = 700 * time.Millisecond // of SIGKILL after the longest deadline, both from when SIGTERM was sent
	maxRowAttempts  = 5                      // of a row whose stops were not those that it asks for
)

// pause is a moment of the shutdown at which the process is stopped for pauseLength, counted from SIGTERM, or back from the kill.
type pause struct {
	at         time.Duration
	beforeKill bool
}

// justBeforeSignal holds the process up as SIGTERM comes, so that it reads it late.
var justBeforeSignal = pause{at: -5 * time.Millisecond}

func beforeKill(at time.Duration) pause { return pause{at: at, beforeKill: true} }

// earlierSignal is a signal that comes so long before SIGTERM.
type earlierSignal struct {
	syscall.Signal
	before time.Duration
}

// shutdownCase is a row: what befalls a process as it is stopped.
type shutdownCase struct {
	pauses   []pause
	before   []earlierSignal  // other signals, before SIGTERM
	group    bool             // SIGTERM goes to the whole group: the process may have handed over
	shorter  time.Duration    // the longest deadline that a configuration written before them has; 0 = as it was
	after    []syscall.Signal // sent just after SIGTERM
	halves   bool             // clients that send the rest of a request late
	clients  int              // 0 = 24
	service  time.Duration    // of the servers; 0 = 250 ms
	late     time.Duration    // likewise from SIGTERM on; 0 = as before
	deadline time.Duration    // the longest; 0 = defaultDeadline
}

// TestNothingIsLostWhenAProcessEnds stops a real process at the edges of its shutdown, among clients that go on sending on their open
// connections until SIGKILL comes at its earliest, with signals of other kinds close by.
func TestNothingIsLostWhenAProcessEnds(t *testing.T) {
	if testing.Short() {
		t.Skip("real processes")
	}
	for name, row := range map[string]shutdownCase{
		"undisturbed":                      {},
		"the word is seen late":            {pauses: []pause{justBeforeSignal}},
		"held up 0.55 s before the kill":   {pauses: []pause{beforeKill(550 * time.Millisecond)}},
		"held up 0.4 s before the kill":    {pauses: []pause{beforeKill(400 * time.Millisecond)}},
		"held up 0.3 s before the kill":    {pauses: []pause{beforeKill(300 * time.Millisecond)}},
		"held up 0.25 s before the kill":   {pauses: []pause{beforeKill(250 * time.Millisecond)}},
		"held up 0.2 s before the kill":    {pauses: []pause{beforeKill(200 * time.Millisecond)}},
		"held up over the kill":            {pauses: []pause{beforeKill(120 * time.Millisecond)}},
		"held up until the kill":           {pauses: []pause{beforeKill(160 * time.Millisecond)}},
		"seen late, and before the kill":   {pauses: []pause{justBeforeSignal, beforeKill(250 * time.Millisecond)}},
		"held up three times in a row":     {pauses: []pause{beforeKill(530 * time.Millisecond), beforeKill(360 * time.Millisecond), beforeKill(180 * time.Millisecond)}},
		"long deadlines":                   {deadline: 1500 * time.Millisecond, service: 700 * time.Millisecond, pauses: []pause{justBeforeSignal, beforeKill(200 * time.Millisecond)}},
		"a crowd":                          {clients: 300, pauses: []pause{justBeforeSignal, beforeKill(250 * time.Millisecond)}},
		"halves of requests":               {halves: true},
		"halves, held up until the kill":   {halves: true, pauses: []pause{beforeKill(160 * time.Millisecond)}},
		"halves, held up":                  {halves: true, pauses: []pause{beforeKill(300 * time.Millisecond)}},
		"a shorter deadline is in the way": {deadline: 1200 * time.Millisecond, service: 700 * time.Millisecond, shorter: defaultDeadline, before: []earlierSignal{{syscall.SIGHUP, time.Millisecond}}},
		"a shorter deadline, seen late": {
			deadline: 1200 * time.Millisecond, service: 700 * time.Millisecond, shorter: defaultDeadline,
			before: []earlierSignal{{syscall.SIGHUP, time.Millisecond}}, pauses: []pause{justBeforeSignal},
		},
		"a reload comes behind it": {after: []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2}, pauses: []pause{justBeforeSignal}},
		"a handover has begun":     {before: []earlierSignal{{syscall.SIGUSR2, 5 * time.Millisecond}}},
		"a reload within a handover": {
			deadline: 1200 * time.Millisecond, service: 150 * time.Millisecond, shorter: defaultDeadline, group: true, late: 900 * time.Millisecond,
			before: []earlierSignal{{syscall.SIGUSR2, 300 * time.Millisecond}, {syscall.SIGHUP, 280 * time.Millisecond}},
		},
		"a handover is passing to a crowd": {clients: 300, halves: true, before: []earlierSignal{{syscall.SIGUSR2, 120 * time.Millisecond}}},
		"a handover is passing":            {before: []earlierSignal{{syscall.SIGUSR2, 120 * time.Millisecond}}},
		"a handover, a reload, a report": {before: []earlierSignal{
			{syscall.SIGUSR2, 120 * time.Millisecond},
			{syscall.SIGHUP, 80 * time.Millisecond},
			{syscall.SIGUSR1, 40 * time.Millisecond},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range maxRowAttempts {
				lost, valid := row.play(t)
				if !valid {
					continue
				}
				if len(lost) > 0 {
					t.Errorf("%d requests are lost: %s", len(lost), strings.Join(lost[:min(3, len(lost))], "; "))
				}
				return
			}
			t.Skipf("the machine never kept a stop under %s", maxPauseLength)
		})
	}
}
