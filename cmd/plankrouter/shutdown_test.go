package main

// Guards against requests without a response, of which users saw dozens whenever a process was shut down on a busy machine.
// These requests were accepted late in the shutdown, forwarded to slow servers, and still open at the kill: the process
// stalled for 0.15 s around SIGTERM and counted its schedule from when it read the signal. It failed the open requests 0.1 s
// before its estimate of the kill, in several steps that may stall too, and was killed first.
//
// Each row stops a real process at one point of its shutdown. With the code before the fix, every stop at the signal or in
// the last 0.15 s lost requests that servers had received, and no other stop did.

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	pauseLength     = 150 * time.Millisecond // length of each stop of the process
	maxPauseLength  = 165 * time.Millisecond // a run with a longer stop is invalid: the test's own machine has stalled
	defaultDeadline = 400 * time.Millisecond // longest class deadline of rows without their own
	killMargin      = 700 * time.Millisecond // SIGKILL is sent this long after SIGTERM plus the longest deadline
	maxRowAttempts  = 5                      // runs of a row, until one has stops of the right length
)

// pause is a time at which the process is stopped for pauseLength: the duration at after SIGTERM or, if beforeKill, before the
// kill.
type pause struct {
	at         time.Duration
	beforeKill bool
}

// justBeforeSignal stops the process while SIGTERM is sent, so that it reads the signal late.
var justBeforeSignal = pause{at: -5 * time.Millisecond}

func beforeKill(at time.Duration) pause { return pause{at: at, beforeKill: true} }

// earlierSignal is a signal that is sent ahead of SIGTERM; before is the time between the two.
type earlierSignal struct {
	syscall.Signal
	before time.Duration
}

// shutdownCase is a row: the stops, signals and clients of one shutdown.
type shutdownCase struct {
	pauses           []pause
	before           []earlierSignal  // other signals that are sent before SIGTERM
	signalGroup      bool             // SIGTERM is sent to the process group, since the process may have handed over
	reloadedDeadline time.Duration    // longest deadline of the configuration that is written before a SIGHUP; 0 = unchanged
	after            []syscall.Signal // other signals that are sent just after SIGTERM
	partialRequests  bool             // some clients send the rest of a request late
	clients          int              // number of clients; 0 = 24
	serviceTime      time.Duration    // service time of the servers; 0 = 250 ms
	lateServiceTime  time.Duration    // service time from SIGTERM on; 0 = unchanged
	deadline         time.Duration    // longest class deadline; 0 = defaultDeadline
}

// TestShutdownLosesNoRequest shuts a real process down while clients keep sending on their open connections until the
// earliest SIGKILL. The process is stopped at critical times, and receives other signals shortly before or after SIGTERM.
func TestShutdownLosesNoRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("real processes")
	}
	for name, row := range map[string]shutdownCase{
		"no stall":                                           {},
		"stall at SIGTERM":                                   {pauses: []pause{justBeforeSignal}},
		"stall 0.55 s before the kill":                       {pauses: []pause{beforeKill(550 * time.Millisecond)}},
		"stall 0.4 s before the kill":                        {pauses: []pause{beforeKill(400 * time.Millisecond)}},
		"stall 0.3 s before the kill":                        {pauses: []pause{beforeKill(300 * time.Millisecond)}},
		"stall 0.25 s before the kill":                       {pauses: []pause{beforeKill(250 * time.Millisecond)}},
		"stall 0.2 s before the kill":                        {pauses: []pause{beforeKill(200 * time.Millisecond)}},
		"stall across the kill":                              {pauses: []pause{beforeKill(120 * time.Millisecond)}},
		"stall until just before the kill":                   {pauses: []pause{beforeKill(160 * time.Millisecond)}},
		"stalls at SIGTERM and before the kill":              {pauses: []pause{justBeforeSignal, beforeKill(250 * time.Millisecond)}},
		"three stalls in a row":                              {pauses: []pause{beforeKill(530 * time.Millisecond), beforeKill(360 * time.Millisecond), beforeKill(180 * time.Millisecond)}},
		"long deadlines":                                     {deadline: 1500 * time.Millisecond, serviceTime: 700 * time.Millisecond, pauses: []pause{justBeforeSignal, beforeKill(200 * time.Millisecond)}},
		"300 clients":                                        {clients: 300, pauses: []pause{justBeforeSignal, beforeKill(250 * time.Millisecond)}},
		"partial requests":                                   {partialRequests: true},
		"partial requests, stall until just before the kill": {partialRequests: true, pauses: []pause{beforeKill(160 * time.Millisecond)}},
		"partial requests, stall 0.3 s before the kill":      {partialRequests: true, pauses: []pause{beforeKill(300 * time.Millisecond)}},
		"reload with a shorter deadline":                     {deadline: 1200 * time.Millisecond, serviceTime: 700 * time.Millisecond, reloadedDeadline: defaultDeadline, before: []earlierSignal{{syscall.SIGHUP, time.Millisecond}}},
		"reload with a shorter deadline, stall at SIGTERM": {
			deadline: 1200 * time.Millisecond, serviceTime: 700 * time.Millisecond, reloadedDeadline: defaultDeadline,
			before: []earlierSignal{{syscall.SIGHUP, time.Millisecond}}, pauses: []pause{justBeforeSignal},
		},
		"reload after SIGTERM":    {after: []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2}, pauses: []pause{justBeforeSignal}},
		"handover has just begun": {before: []earlierSignal{{syscall.SIGUSR2, 5 * time.Millisecond}}},
		"reload during a handover": {
			deadline: 1200 * time.Millisecond, serviceTime: 150 * time.Millisecond, reloadedDeadline: defaultDeadline, signalGroup: true, lateServiceTime: 900 * time.Millisecond,
			before: []earlierSignal{{syscall.SIGUSR2, 300 * time.Millisecond}, {syscall.SIGHUP, 280 * time.Millisecond}},
		},
		"handover transfers connections of 300 clients": {clients: 300, partialRequests: true, before: []earlierSignal{{syscall.SIGUSR2, 120 * time.Millisecond}}},
		"handover transfers connections":                {before: []earlierSignal{{syscall.SIGUSR2, 120 * time.Millisecond}}},
		"handover, reload and report": {before: []earlierSignal{
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
			t.Skipf("each run had a stop of %s or longer, by a stall of this machine", maxPauseLength)
		})
	}
}
