package loadgen

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"plankrouter/internal/testbench/fakes"
)

// Options are the parameters of a run besides its plan.
type Options struct {
	Address string // host:port of the server
	Dialer  Dialer // nil = TCP
	Start   time.Time
	Part    int // number of the part of the plan to send, from 0
	Parts   int // number of parts; 0 = 1

	// Pause sleeps for up to the given time before a request is due. nil = as precisely as the machine allows; a run in a
	// testing/synctest bubble needs time.Sleep.
	Pause func(time.Duration)
}

const (
	preciseWait        = 2 * time.Millisecond // last part of a wait, by Pause, since the runtime's timers are up to 1 ms late
	timerCheckInterval = 5 * time.Millisecond // interval at which the delay of timers is measured
)

// Run sends the plan's requests, each at its due time, counted from Options.Start or, if that has passed, from now.
// The plan must have passed Check. Run returns when the last request has ended. When ctx ends, no further requests are sent
// and the result is partial. An error means that the plan could not be sent completely.
func Run(ctx context.Context, p *Plan, o Options) (*Result, error) {
	setDefault(&o.Parts, 1)
	setDefault(&o.Dialer, Dialer(fakes.Loopback()))
	if o.Pause == nil {
		a, err := newKernelTimer()
		if err != nil {
			return nil, err
		}
		defer a.timerFile.Close()
		o.Pause = a.sleep
	}
	if now := time.Now(); o.Start.Before(now) {
		o.Start = now
	}
	rec := &recorder{start: o.Start, result: newResult(len(p.Classes))}
	c := &client{plan: p, recorder: rec, bodyPattern: make([]byte, 4096), conns: fakes.ConnPool{
		Dial:    o.Dialer.Dial,
		Address: o.Address, MaxConns: (p.Connections + o.Parts - 1) / o.Parts, Read: readResponse,
	}}
	for i := range c.bodyPattern {
		c.bodyPattern[i] = 'a' + byte(i%26)
	}
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { rec.watchTimers(stop) })
	err := c.sendAll(ctx, o)
	used := c.conns.Close()
	close(stop)
	watch.Wait()
	rec.result.ConnsOpened, rec.result.ConnWaits, rec.result.LongestConnWait = uint64(used.Opened), used.Waits, used.LongestWait
	rec.result.Partial = ctx.Err() != nil || err != nil
	rec.result.Ran = time.Since(o.Start)
	return rec.result, err
}

// sendAll sends each request of this part at its due time and waits for all of them to end.
func (c *client) sendAll(ctx context.Context, o Options) error {
	var out sync.WaitGroup
	defer out.Wait()
	for q, err := range c.plan.Requests() {
		switch {
		case err != nil:
			return fmt.Errorf("read the requests of the plan: %w", err)
		case q.Index%uint64(o.Parts) != uint64(o.Part):
			continue
		}
		due := o.Start.Add(q.At)
		if !pauseUntil(ctx, due, o.Pause) {
			return nil
		}
		out.Go(func() { c.sendRequest(q, due) })
	}
	return nil
}

// pauseUntil waits until t, or returns false if ctx ends first.
func pauseUntil(ctx context.Context, t time.Time, pause func(time.Duration)) bool {
	if left := time.Until(t) - preciseWait; left > 0 {
		timer := time.NewTimer(left)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	for ctx.Err() == nil {
		left := time.Until(t)
		if left <= 0 {
			return true
		}
		pause(left)
	}
	return false
}

// kernelTimer sleeps on a timerfd, which is about 50 us late, while the runtime's timers are 1 ms late. It is polled like
// a socket, because a thread blocked in a sleep would delay other goroutines, by some ms on a machine with one core.
type kernelTimer struct {
	fd        int
	timerFile *os.File
}

func newKernelTimer() (*kernelTimer, error) {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("timerfd_create: %w", err)
	}
	return &kernelTimer{fd, os.NewFile(uintptr(fd), "timer")}, nil
}

// sleep sleeps for d, which must be positive. It returns early if the timer can't be set.
func (a *kernelTimer) sleep(d time.Duration) {
	var times [8]byte
	if unix.TimerfdSettime(a.fd, 0, &unix.ItimerSpec{Value: unix.NsecToTimespec(int64(d))}, nil) == nil {
		_, _ = a.timerFile.Read(times[:])
	}
}

// watchTimers records by how much timers of this process are late, even while no request is due, because late timers mean that
// responses are read late, too.
func (r *recorder) watchTimers(stop <-chan struct{}) {
	for {
		at := time.Now().Add(timerCheckInterval)
		select {
		case <-time.After(timerCheckInterval):
			r.recordStall(time.Since(at))
		case <-stop:
			return
		}
	}
}
