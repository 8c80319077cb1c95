package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds: of sidecars, of their system calls and clocks, of servers, of discovery and of the proxy.
const (
	Terminate      Kind = "terminate"       // SIGTERM, SIGKILL at its time, and a start
	AimedEnd       Kind = "aimed_end"       // likewise, with stalls, failing calls and other signals on the edges: see shutdownfaults.go
	Crash          Kind = "crash"           // SIGKILL and a start
	Reload         Kind = "reload"          // SIGHUP, with another discovery or other targets
	ReloadBurst    Kind = "reload_burst"    // several in a row
	HandOver       Kind = "hand_over"       // SIGUSR2
	Pause          Kind = "pause"           // SIGSTOP for a moment
	OperatorsOrder Kind = "operators_order" // operators cordon a server and put it back
	AcceptFails    Kind = "accept_fails"
	ConnectFails   Kind = "connect_fails"
	SlowConnects   Kind = "slow_connects" // connections to servers come up late
	Interrupted    Kind = "interrupted"   // polls end with EINTR
	DiskFails      Kind = "disk_fails"
	ConfigFails    Kind = "config_fails" // the configuration can't be read as SIGHUP comes
	ClockStep      Kind = "clock_step"   // of all machines
	Restart        Kind = "restart"      // a server ends and is back under its id, cold
	Replace        Kind = "replace"      // a server drains, goes, and another comes
	Vanish         Kind = "vanish"
	ResetKept      Kind = "reset_kept"
	Stall          Kind = "stall"
	Decline        Kind = "decline"
	ProbesFail     Kind = "probes_fail"
	Slow           Kind = "slow"
	Silent         Kind = "discovery_silent"
	Down           Kind = "discovery_down"
	Late           Kind = "discovery_late"
	CutAnswers     Kind = "cut_answers" // the proxy resets connections within an answer
	Dribble        Kind = "dribble"     // it passes answers on in pieces
	LeaveHeld      Kind = "leave_held"  // clients leave while their sidecar is stopped and its connections come up
	Leave          Kind = "leave"       // many clients leave
	Flood          Kind = "flood"       // many connections that say nothing, or half a request
)

// kindWeight is how often a kind is drawn, and for how long it lasts.
type kindWeight struct {
	kind                 Kind
	weight               float64
	minLength, maxLength time.Duration
}

const (
	// A fault begins every so often for each five sidecars, so that two or three overlap.
	faultInterval = 700 * time.Millisecond
	// Nothing begins in the last part of a run: what is under way ends.
	quietEnd = 3 * time.Second
	// Nor before load and connections are there.
	quietStart = 1500 * time.Millisecond
)

// kindWeights are all kinds. Accepts fail for a moment, as the operators' terms have it: what lies in the kernel until its client has long
// stopped waiting, or until its process is killed, can't be answered by anybody.
var kindWeights = []kindWeight{
	{Terminate, 2, 0, 0},
	{AimedEnd, 5, 0, 0},
	{SlowConnects, 3, 300 * time.Millisecond, 1500 * time.Millisecond},
	{LeaveHeld, 3, 0, 0},
	{Crash, 2, 0, 0},
	{Reload, 2, 0, 0},
	{ReloadBurst, 1, 0, 0},
	{HandOver, 2, 0, 0},
	{Pause, 2, 50 * time.Millisecond, 150 * time.Millisecond},
	{OperatorsOrder, 3, time.Second, 3 * time.Second},
	{AcceptFails, 4, 5 * time.Millisecond, 60 * time.Millisecond},
	{ConnectFails, 2, 20 * time.Millisecond, 600 * time.Millisecond},
	{Interrupted, 2, 500 * time.Millisecond, 3 * time.Second},
	{DiskFails, 2, 500 * time.Millisecond, 4 * time.Second},
	{ConfigFails, 1, 200 * time.Millisecond, time.Second},
	{ClockStep, 2, 0, 0},
	{Restart, 3, 100 * time.Millisecond, time.Second},
	{Replace, 3, 1500 * time.Millisecond, 2500 * time.Millisecond},
	{Vanish, 1, 500 * time.Millisecond, 3 * time.Second},
	{ResetKept, 2, 0, 0},
	{Stall, 1, 500 * time.Millisecond, 2 * time.Second},
	{Decline, 1, 500 * time.Millisecond, 2 * time.Second},
	{ProbesFail, 1, 500 * time.Millisecond, 2 * time.Second},
	{Slow, 1, time.Second, 3 * time.Second},
	{Silent, 2, time.Second, 5 * time.Second},
	{Down, 2, 500 * time.Millisecond, 4 * time.Second},
	{Late, 1, time.Second, 3 * time.Second},
	{CutAnswers, 2, 500 * time.Millisecond, 2 * time.Second},
	{Dribble, 1, 500 * time.Millisecond, 3 * time.Second},
	{Leave, 3, 200 * time.Millisecond, time.Second},
	{Flood, 1, 500 * time.Millisecond, 2 * time.Second},
}

// Fault is one that begins at a moment of the run and lasts for a while.
type Fault struct {
	At, For time.Duration
	Kind    Kind
	Target  int     // a sidecar or a server, by its number
	Draw    float64 // decides the rest, from 0 up to 1
}

// Draw returns the faults of a run in the order of their beginning.
func Draw(seed uint64, long time.Duration, sidecars, servers int, only []Kind) (all []Fault) {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	from := slices.Clone(kindWeights)
	if len(only) > 0 {
		from = slices.DeleteFunc(from, func(s kindWeight) bool { return !slices.Contains(only, s.kind) })
	}
	sum := 0.0
	for _, s := range from {
		sum += s.weight
	}
	every := float64(faultInterval) * 5 / float64(max(1, sidecars))
	for at := quietStart; at < long-quietEnd; at += time.Duration(every * rng.ExpFloat64()) {
		pick, chosen := rng.Float64()*sum, from[0]
		for _, s := range from {
			if chosen = s; pick < s.weight {
				break
			}
			pick -= s.weight
		}
		t := Fault{At: at, Kind: chosen.kind, Draw: rng.Float64(), Target: rng.IntN(sidecars * servers)}
		t.For = chosen.minLength + time.Duration(rng.Float64()*float64(chosen.maxLength-chosen.minLength))
		all = append(all, t)
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return all
}
