package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of fault: of sidecars, of their system calls and clocks, of servers, of discovery and of the proxy.
const (
	Terminate             Kind = "terminate"       // SIGTERM, SIGKILL once killAfter has passed, and a new process
	ShutdownFaults        Kind = "aimed_end"       // Terminate with other faults around it: see shutdownfaults.go
	Crash                 Kind = "crash"           // SIGKILL and a new process
	Reload                Kind = "reload"          // SIGHUP, with another discovery or other targets
	ReloadBurst           Kind = "reload_burst"    // several reloads in a row
	HandOver              Kind = "hand_over"       // SIGUSR2
	Pause                 Kind = "pause"           // SIGSTOP for a short time
	CordonOrder           Kind = "operators_order" // operators cordon a server and uncordon it
	AcceptFails           Kind = "accept_fails"
	ConnectFails          Kind = "connect_fails"
	SlowConnects          Kind = "slow_connects" // connections to servers are established late
	Interrupted           Kind = "interrupted"   // polls end with EINTR
	DiskFails             Kind = "disk_fails"
	ConfigFails           Kind = "config_fails" // the configuration can't be read on SIGHUP
	ClockStep             Kind = "clock_step"   // the wall clocks of all sidecars are stepped
	Restart               Kind = "restart"      // a server process ends and a cold one starts under the same id
	Replace               Kind = "replace"      // a server drains and ends, and another starts
	Vanish                Kind = "vanish"
	ResetOpenConns        Kind = "reset_kept"
	Stall                 Kind = "stall"
	Decline               Kind = "decline"
	ProbesFail            Kind = "probes_fail"
	Slow                  Kind = "slow"
	Silent                Kind = "discovery_silent"
	Down                  Kind = "discovery_down"
	Late                  Kind = "discovery_late"
	CutAnswers            Kind = "cut_answers" // the proxy resets connections within a response
	Dribble               Kind = "dribble"     // the proxy forwards responses in small pieces
	DisconnectDuringStall Kind = "leave_held"  // clients disconnect while their sidecar is stopped and connects to servers
	Pieces                Kind = "pieces"      // a server writes long responses in pieces
	Pauses                Kind = "pauses"      // servers begin long responses at once, and pause for up to 1.5 s
	Uploads               Kind = "uploads"     // many clients send long bodies slowly at once
	Disconnect            Kind = "leave"       // many clients disconnect
	Flood                 Kind = "flood"       // many connections that send nothing or a partial request
)

// kindWeight is the relative frequency of a kind of fault, and the range of its duration.
type kindWeight struct {
	kind                 Kind
	weight               float64
	minLength, maxLength time.Duration
}

const (
	// faultInterval is the mean interval between the beginnings of faults per five sidecars. With it, two or three faults overlap.
	faultInterval = 700 * time.Millisecond
	// quietEnd is the last part of a run, in which no fault begins, so that running faults can end.
	quietEnd = 3 * time.Second
	// quietStart is the first part of a run, in which no fault begins, so that load and open connections exist before the first.
	quietStart = 1500 * time.Millisecond
)

// kindWeights lists all kinds. Accept failures are short, as the operators' terms require: a connection that stays in the
// kernel's accept queue until its client has timed out, or until the process is killed, can't be answered.
var kindWeights = []kindWeight{
	{Terminate, 2, 0, 0},
	{ShutdownFaults, 5, 0, 0},
	{SlowConnects, 3, 300 * time.Millisecond, 1500 * time.Millisecond},
	{DisconnectDuringStall, 3, 0, 0},
	{Crash, 2, 0, 0},
	{Reload, 2, 0, 0},
	{ReloadBurst, 1, 0, 0},
	{HandOver, 2, 0, 0},
	{Pause, 2, 50 * time.Millisecond, 150 * time.Millisecond},
	{CordonOrder, 3, time.Second, 3 * time.Second},
	{AcceptFails, 4, 5 * time.Millisecond, 60 * time.Millisecond},
	{ConnectFails, 2, 20 * time.Millisecond, 600 * time.Millisecond},
	{Interrupted, 2, 500 * time.Millisecond, 3 * time.Second},
	{DiskFails, 2, 500 * time.Millisecond, 4 * time.Second},
	{ConfigFails, 1, 200 * time.Millisecond, time.Second},
	{ClockStep, 2, 0, 0},
	{Restart, 3, 100 * time.Millisecond, time.Second},
	{Replace, 3, 1500 * time.Millisecond, 2500 * time.Millisecond},
	{Vanish, 1, 500 * time.Millisecond, 3 * time.Second},
	{ResetOpenConns, 2, 0, 0},
	{Stall, 1, 500 * time.Millisecond, 2 * time.Second},
	{Decline, 1, 500 * time.Millisecond, 2 * time.Second},
	{ProbesFail, 1, 500 * time.Millisecond, 2 * time.Second},
	{Slow, 1, time.Second, 3 * time.Second},
	{Silent, 2, time.Second, 5 * time.Second},
	{Down, 2, 500 * time.Millisecond, 4 * time.Second},
	{Late, 1, time.Second, 3 * time.Second},
	{CutAnswers, 2, 500 * time.Millisecond, 2 * time.Second},
	{Dribble, 1, 500 * time.Millisecond, 3 * time.Second},
	{Disconnect, 3, 200 * time.Millisecond, time.Second},
	{Pieces, 2, 500 * time.Millisecond, 3 * time.Second},
	{Pauses, 3, 500 * time.Millisecond, 3 * time.Second},
	{Uploads, 2, 0, 0},
	{Flood, 1, 500 * time.Millisecond, 2 * time.Second},
}

// Fault is a fault with its time in a run.
type Fault struct {
	At, For time.Duration // At is the time since the start of the run
	Kind    Kind
	Target  int     // number of a sidecar or a server, taken modulo the number of sidecars or servers
	Draw    float64 // random number in [0, 1) that determines the variant of the fault
}

// Draw returns the faults of a run of the given duration, sorted by their beginning; only restricts their kinds (none = all).
func Draw(seed uint64, duration time.Duration, sidecars, servers int, only []Kind) (all []Fault) {
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
	for at := quietStart; at < duration-quietEnd; at += time.Duration(every * rng.ExpFloat64()) {
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
