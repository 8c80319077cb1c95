package capacity

import (
	"container/heap"
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"plankrouter/policy"
)

// ModulePoint is what the policy alone costs, with one size of the list.
type ModulePoint struct {
	Servers    int     `json:"servers"`
	IdleMs     float64 `json:"idle_ms_per_s"`  // CPU of a second without requests: the looks at what moves by itself
	RequestUs  float64 `json:"us_per_request"` // CPU of a request with its probes and outcomes, beyond that
	ProbesEach float64 `json:"probes_per_request"`
}

const (
	moduleLeft  = 2500 // ms until a client gives up
	modulePath  = 1    // ms that a probe takes
	moduleRound = 5    // ms
)

// module plays a module with so many servers for so long, in virtual time, with requests at an even pace and probes and
// attempts that are answered after their time.
func module(of Point, seconds float64) (used time.Duration, probes, requests int, err error) {
	b, err := policy.New(policy.Config{
		Classes: []policy.Class{{LatencyObjective: 750, Deadline: 2500, PriorityWeight: 1}}, Instances: of.Instances,
		Probes: true, Cancel: true, MaxAttempts: 3, Round: moduleRound, StartCapacity: 0.3, WarmUpTime: 8000, OverloadMultiple: 4,
		OverloadWindow: 3000, CrossZoneCost: 0.01, WastedWorkCost: 0.1, ProbeCost: of.Price, ProbeValidity: 550,
	}, 7)
	if err != nil {
		return 0, 0, 0, err
	}
	list := make([]policy.ServerInfo, of.Servers)
	for i := range list {
		list[i] = policy.ServerInfo{ID: policy.ServerID(i + 1), Health: policy.Ready, Cell: i / 2}
	}
	var due schedule
	const origin = 1e6
	end := origin + seconds*1000
	due.at(origin, policy.Event{Kind: policy.Started})
	due.at(origin, policy.Event{Kind: policy.EndpointsUpdated, Complete: true, Servers: list})
	for n := 1; of.Rate > 0; n++ {
		at := origin + float64(n)*1000/of.Rate
		if at > end {
			break
		}
		requests++
		due.at(at, policy.Event{Kind: policy.RequestArrived, Request: policy.RequestID(n), TimeLeft: moduleLeft})
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var acts []policy.Action
	began, err := threadCPU()
	if err != nil {
		return 0, 0, 0, err
	}
	for d, ok := due.next(end); ok; d, ok = due.next(end) {
		acts = b.Handle(d.when, &d.event, acts[:0])
		for _, a := range acts {
			switch report := (policy.Report{HasRIF: true, HasLatency: true, Latency: float64(meanServiceTime) / 1e6}); a.Kind {
			case policy.SetTimer:
				due.at(d.when+max(a.After, moduleRound), policy.Event{Kind: policy.TimerFired, Timer: a.Timer})
			case policy.SendProbe:
				probes++
				due.at(d.when+modulePath, policy.Event{
					Kind: policy.ProbeEnded, Server: a.Server, Elapsed: modulePath, ProbeSentAt: d.when,
					Report: report,
				})
			case policy.StartAttempt:
				took := float64(meanServiceTime) / 1e6
				due.at(d.when+took, policy.Event{
					Kind: policy.AttemptEnded, Request: a.Request, Attempt: a.Attempt, Server: a.Server,
					Elapsed: took, Final: true,
				})
			}
		}
	}
	ended, err := threadCPU()
	return ended - began, probes, requests, err
}

// measureModule measures the module at one size, by the difference that requests make.
func measureModule(of Point, seconds float64) (ModulePoint, error) {
	quiet := of
	quiet.Rate = 0
	idle, _, _, err := module(quiet, seconds)
	if err != nil {
		return ModulePoint{}, fmt.Errorf("the module with %d servers: %w", of.Servers, err)
	}
	busy, probes, requests, err := module(of, seconds)
	if err != nil {
		return ModulePoint{}, fmt.Errorf("the module with %d servers: %w", of.Servers, err)
	}
	n := float64(max(1, requests))
	return ModulePoint{
		of.Servers, float64(idle.Microseconds()) / 1000 / seconds, float64((busy - idle).Microseconds()) / n,
		float64(probes) / n,
	}, nil
}

// threadCPU is the processor time of the calling thread.
func threadCPU() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

type entry struct {
	when  float64
	order int
	event policy.Event
}

// schedule is what is to happen, the soonest first; what is due at the same time keeps the order in which it was added.
type schedule struct {
	entries   []entry
	scheduled int
}

func (s *schedule) at(when float64, e policy.Event) {
	s.scheduled++
	heap.Push(s, entry{when, s.scheduled, e})
}

// next takes the soonest, if it is due by end.
func (s *schedule) next(end float64) (e entry, ok bool) {
	if len(s.entries) == 0 || s.entries[0].when > end {
		return e, false
	}
	return heap.Pop(s).(entry), true
}

func (s *schedule) Len() int { return len(s.entries) }
func (s *schedule) Less(i, j int) bool {
	x, y := &s.entries[i], &s.entries[j]
	return x.when < y.when || x.when == y.when && x.order < y.order
}
func (s *schedule) Swap(i, j int) { s.entries[i], s.entries[j] = s.entries[j], s.entries[i] }
func (s *schedule) Push(x any)    { s.entries = append(s.entries, x.(entry)) }
func (s *schedule) Pop() any {
	last := len(s.entries) - 1
	e := s.entries[last]
	s.entries = s.entries[:last]
	return e
}
