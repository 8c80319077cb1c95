package capacity

import (
	"container/heap"
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"plankrouter/policy"
)

// ModulePoint is the cost of the policy alone for one size of the endpoint list.
type ModulePoint struct {
	Servers    int     `json:"servers"`
	IdleMs     float64 `json:"idle_ms_per_s"`  // CPU ms per second without requests, for periodic work
	RequestUs  float64 `json:"us_per_request"` // additional CPU us per request, with its probes and outcomes
	ProbesEach float64 `json:"probes_per_request"`
}

const (
	moduleTimeLeft  = 2500 // ms until a client gives up
	moduleProbeTime = 1    // ms that a probe takes
	moduleRound     = 5    // Config.Round, and the least delay of a timer, in ms
)

// runModule runs a policy.Balancer in virtual time for some seconds, with the servers and evenly spaced requests of point. Probes
// and attempts succeed after moduleProbeTime and meanServiceTime. It returns the CPU time used.
func runModule(point Point, seconds float64) (used time.Duration, probes, requests int, err error) {
	b, err := policy.New(policy.Config{
		Classes: []policy.Class{{LatencyObjective: 750, Deadline: 2500, PriorityWeight: 1}}, Instances: point.Instances,
		Probes: true, Cancel: true, MaxAttempts: 3, Round: moduleRound, StartCapacity: 0.3, WarmUpTime: 8000, OverloadMultiple: 4,
		OverloadWindow: 3000, CrossZoneCost: 0.01, WastedWorkCost: 0.1, ProbeCost: point.Price, ProbeValidity: 550,
	}, 7)
	if err != nil {
		return 0, 0, 0, err
	}
	list := make([]policy.ServerInfo, point.Servers)
	for i := range list {
		list[i] = policy.ServerInfo{ID: policy.ServerID(i + 1), Health: policy.Ready, Cell: i / 2}
	}
	var events schedule
	const origin = 1e6
	end := origin + seconds*1000
	events.at(origin, policy.Event{Kind: policy.Started})
	events.at(origin, policy.Event{Kind: policy.EndpointsUpdated, Complete: true, Servers: list})
	for n := 1; point.Rate > 0; n++ {
		at := origin + float64(n)*1000/point.Rate
		if at > end {
			break
		}
		requests++
		events.at(at, policy.Event{Kind: policy.RequestArrived, Request: policy.RequestID(n), TimeLeft: moduleTimeLeft})
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var acts []policy.Action
	before, err := threadCPU()
	if err != nil {
		return 0, 0, 0, err
	}
	for e, ok := events.next(end); ok; e, ok = events.next(end) {
		acts = b.Handle(e.dueAt, &e.event, acts[:0])
		for _, a := range acts {
			switch report := (policy.Report{HasRIF: true, HasLatency: true, Latency: float64(meanServiceTime) / 1e6}); a.Kind {
			case policy.SetTimer:
				events.at(e.dueAt+max(a.After, moduleRound), policy.Event{Kind: policy.TimerFired, Timer: a.Timer})
			case policy.SendProbe:
				probes++
				events.at(e.dueAt+moduleProbeTime, policy.Event{
					Kind: policy.ProbeEnded, Server: a.Server, Elapsed: moduleProbeTime, ProbeSentAt: e.dueAt,
					Report: report,
				})
			case policy.StartAttempt:
				took := float64(meanServiceTime) / 1e6
				events.at(e.dueAt+took, policy.Event{
					Kind: policy.AttemptEnded, Request: a.Request, Attempt: a.Attempt, Server: a.Server,
					Elapsed: took, Final: true,
				})
			}
		}
	}
	after, err := threadCPU()
	return after - before, probes, requests, err
}

// measureModule measures the policy for one point, by the difference between runs with and without requests.
func measureModule(point Point, seconds float64) (ModulePoint, error) {
	idlePoint := point
	idlePoint.Rate = 0
	idle, _, _, err := runModule(idlePoint, seconds)
	if err != nil {
		return ModulePoint{}, fmt.Errorf("the module with %d servers: %w", point.Servers, err)
	}
	busy, probes, requests, err := runModule(point, seconds)
	if err != nil {
		return ModulePoint{}, fmt.Errorf("the module with %d servers: %w", point.Servers, err)
	}
	n := float64(max(1, requests))
	return ModulePoint{
		point.Servers, float64(idle.Microseconds()) / 1000 / seconds, float64((busy - idle).Microseconds()) / n,
		float64(probes) / n,
	}, nil
}

// threadCPU returns the CPU time of the calling thread.
func threadCPU() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// entry is an event that is scheduled for a time.
type entry struct {
	dueAt float64 // ms
	seq   int     // order of scheduling
	event policy.Event
}

// schedule is a heap of events by time; events of the same time keep the order in which they were added.
type schedule struct {
	entries []entry
	added   int
}

// at schedules e for dueAt, in ms.
func (s *schedule) at(dueAt float64, e policy.Event) {
	s.added++
	heap.Push(s, entry{dueAt, s.added, e})
}

// next removes and returns the earliest event, if it is due by end.
func (s *schedule) next(end float64) (e entry, ok bool) {
	if len(s.entries) == 0 || s.entries[0].dueAt > end {
		return e, false
	}
	return heap.Pop(s).(entry), true
}

func (s *schedule) Len() int { return len(s.entries) }
func (s *schedule) Less(i, j int) bool {
	x, y := &s.entries[i], &s.entries[j]
	return x.dueAt < y.dueAt || x.dueAt == y.dueAt && x.seq < y.seq
}
func (s *schedule) Swap(i, j int) { s.entries[i], s.entries[j] = s.entries[j], s.entries[i] }
func (s *schedule) Push(x any)    { s.entries = append(s.entries, x.(entry)) }
func (s *schedule) Pop() any {
	last := len(s.entries) - 1
	e := s.entries[last]
	s.entries = s.entries[:last]
	return e
}
