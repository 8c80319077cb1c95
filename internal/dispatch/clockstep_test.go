package dispatch

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter/internal/cordon"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/snapshot"
	"plankrouter/internal/upstream"
	"plankrouter/policy"
)

// servingUpstream is an upstream whose servers respond to each attempt after 5 ms. It counts attempts by address.
type servingUpstream struct {
	refusingUpstream
	attemptsByAddress map[string]int
}

func (c servingUpstream) Endpoint(_, address string) upstream.Endpoint {
	return &servingEndpoint{refusingEndpoint(address), c.attemptsByAddress}
}

type servingEndpoint struct {
	refusingEndpoint
	attemptsByAddress map[string]int
}

func (e *servingEndpoint) Start(t upstream.AttemptOptions) upstream.Attempt {
	e.attemptsByAddress[e.Address()]++
	time.AfterFunc(5*time.Millisecond, func() { t.OnEnd(upstream.Result{Outcome: outcome.Served, StatusCode: 200}) })
	return refusedAttempt{}
}

// steppedClock is a wall clock that tests can step.
type steppedClock struct{ offset atomic.Int64 }

func (w *steppedClock) now() time.Time {
	return time.Now().Round(0).Add(time.Duration(w.offset.Load()))
}
func (w *steppedClock) step(by time.Duration)       { w.offset.Add(int64(by)) }
func (w *steppedClock) ms() float64                 { return unixMs(w.now()) }
func (w *steppedClock) ago(d time.Duration) float64 { return w.ms() - millis(d) }

// options returns dispatcher options with a slow start of 8 s.
func options(wall *steppedClock, counts map[string]int) Options {
	return Options{
		Policy: policy.Config{
			MaxAttempts: 1, Cancel: true, Instances: 1, StartCapacity: 0.3, WarmUpTime: 8000,
			OverloadMultiple: 4, Classes: []policy.Class{{LatencyObjective: 500, Deadline: 1000, PriorityWeight: 1}},
		}, Upstream: servingUpstream{attemptsByAddress: counts},
		WallClock: wall.now, DrainGrace: 750 * time.Millisecond,
	}
}

// sendRequests sends 100 requests/s to a running dispatcher, for two seconds.
func sendRequests(d *Dispatcher) {
	for i := range 200 {
		d.Submit(&request.Request{
			ID: fmt.Sprint(i), SentAt: time.Now(), Timeout: time.Second,
			Respond: func(request.Response) {},
		})
		time.Sleep(10 * time.Millisecond)
	}
}

// attemptsDuringSlowStart sends requests for two seconds to a dispatcher that has one warm server and the one that list adds,
// and returns the number of attempts that the latter got.
func attemptsDuringSlowStart(t *testing.T, list func(*steppedClock, *Dispatcher)) (attempts int) {
	synctest.Test(t, func(t *testing.T) {
		wall, counts := new(steppedClock), map[string]int{}
		d, err := New(options(wall, counts))
		if err != nil {
			t.Fatal(err)
		}
		ctx, end := context.WithCancel(t.Context())
		running := make(chan error, 1)
		go func() { running <- d.Run(ctx) }()
		d.UpdateEndpoints(endpoints.List{Revision: 1, Complete: true, Endpoints: []endpoints.Endpoint{{
			ID: "old", Address: "old:1",
			Phase: endpoints.Serving,
		}}}, time.Now())
		time.Sleep(time.Second)
		list(wall, d)
		sendRequests(d)
		end()
		if err := <-running; err != nil {
			t.Error(err)
		}
		attempts = counts["new:1"]
	})
	return attempts
}

// listNewServer adds a server that started at that date, in Unix milliseconds; 0 = unknown.
func listNewServer(d *Dispatcher, startedAt float64) {
	d.UpdateEndpoints(endpoints.List{Revision: 2, Endpoints: []endpoints.Endpoint{{
		ID: "new", Address: "new:1", Phase: endpoints.Serving,
		StartedAt: startedAt,
	}}}, time.Now())
}

// Guards against a step of the wall clock that shortens or prolongs a server's slow start: the start of its process is a date,
// the time to warm up is a duration.
func TestSlowStartUnaffectedByClockStep(t *testing.T) {
	usual := attemptsDuringSlowStart(t, func(w *steppedClock, d *Dispatcher) { listNewServer(d, w.ms()) })
	warm := attemptsDuringSlowStart(t, func(w *steppedClock, d *Dispatcher) { listNewServer(d, w.ago(time.Hour)) })
	if usual == 0 || warm < 2*usual {
		t.Fatalf("no slow start: %d attempts to a new server, %d to a warm one", usual, warm)
	}
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		for name, do := range map[string]func(*steppedClock, *Dispatcher){
			"started after the step": func(w *steppedClock, d *Dispatcher) {
				w.step(step)
				listNewServer(d, w.ms())
			},
			"started before the step, listed after it": func(w *steppedClock, d *Dispatcher) {
				started := w.ms()
				w.step(step)
				listNewServer(d, started)
			},
			"listed before the step and again after it": func(w *steppedClock, d *Dispatcher) {
				started := w.ms()
				listNewServer(d, started)
				w.step(step)
				listNewServer(d, started)
			},
			"uncordoned after the step": func(w *steppedClock, d *Dispatcher) {
				w.step(step)
				listNewServer(d, 0)
				d.SetCordons(cordon.Set{Cordoned: map[string]float64{"new": w.ms()}})
				d.SetCordons(cordon.Set{Uncordoned: map[string]float64{"new": w.ms()}})
			},
		} {
			if got := attemptsDuringSlowStart(t, do); got > usual+1 || got < usual-1 {
				t.Errorf("clock stepped by %s, %s: %d attempts in two seconds, %d without a step", step, name, got, usual)
			}
		}
	}
}

// Guards against a new slow start of a warm server when the clock is stepped and the server is listed again.
func TestWarmServerStaysWarmAfterClockStep(t *testing.T) {
	warm := attemptsDuringSlowStart(t, func(w *steppedClock, d *Dispatcher) { listNewServer(d, w.ago(time.Hour)) })
	for _, step := range []time.Duration{-time.Hour, 5 * time.Second, time.Hour} {
		got := attemptsDuringSlowStart(t, func(w *steppedClock, d *Dispatcher) {
			started := w.ms()
			listNewServer(d, started)
			time.Sleep(10 * time.Second)
			w.step(step)
			listNewServer(d, started)
		})
		if got < warm-5 {
			t.Errorf("clock stepped by %s: %d attempts in two seconds, %d without a step", step, got, warm)
		}
	}
}

// Guards against passing a server's start to the successor as a date only: if the clock was stepped since that start, the
// successor would compute another age from it.
func TestSlowStartUnaffectedByClockStepAndHotRestart(t *testing.T) {
	restarted := func(step time.Duration) (attempts int) {
		synctest.Test(t, func(t *testing.T) {
			wall, counts := new(steppedClock), map[string]int{}
			first, err := New(options(wall, counts))
			if err != nil {
				t.Fatal(err)
			}
			first.applyEndpoints(endpoints.List{Revision: 1, Complete: true, Endpoints: []endpoints.Endpoint{{
				ID: "old", Address: "old:1",
				Phase: endpoints.Serving,
			}, {ID: "new", Address: "new:1", Phase: endpoints.Serving, StartedAt: wall.ms()}}})
			time.Sleep(time.Second)
			wall.step(step)
			first.applyEndpoints(endpoints.List{Revision: 2})
			raw, err := snapshot.Encode(first.snapshot(time.Now()), 0)
			if err != nil {
				t.Fatal(err)
			}
			snap, err := snapshot.Decode(raw)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			restored, _ := snapshot.Restore(snap, snapshot.List{}, wall.now(), snapshot.DefaultValidityRules())
			o := options(wall, counts)
			o.Restored = &restored
			next, err := New(o)
			if err != nil {
				t.Fatal(err)
			}
			ctx, end := context.WithCancel(t.Context())
			running := make(chan error, 1)
			go func() { running <- next.Run(ctx) }()
			sendRequests(next)
			end()
			if err := <-running; err != nil {
				t.Error(err)
			}
			attempts = counts["new:1"]
		})
		return attempts
	}
	usual := restarted(0)
	if usual == 0 || usual > 60 {
		t.Fatalf("no slow start: %d attempts to a new server", usual)
	}
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		if got := restarted(step); got > usual+1 || got < usual-1 {
			t.Errorf("clock stepped by %s before a hot restart: %d attempts in two seconds, %d without a step", step, got, usual)
		}
	}
}
