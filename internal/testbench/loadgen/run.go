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

// Options are what a run needs besides its plan.
type Options struct {
	Address string // host:port of the server
	Dialer  Dialer // nil = TCP
	Start   time.Time
	Part    int // which part of the plan this is, from 0
	Parts   int // of how many; 0 = 1

	// Pause sleeps for up to the given time before a request is due. nil = as exactly as the machine allows; a run in a
	// bubble of testing/synctest needs time.Sleep.
	Pause func(time.Duration)
}

const (
	exactly = 2 * time.Millisecond // the last part of a wait, which the runtime's timers overrun by up to 1 ms
	beat    = 5 * time.Millisecond // between looks at the own clock
)

// Run sends the plan's requests, each when it is due, from Start on, or from now if that has passed; the plan must have
// passed Check. It returns when the last has ended. The end of ctx calls off the arrivals that are still to come and
// makes the result a partial one. An error says that the plan could not be played to its end.
func Run(ctx context.Context, p *Plan, o Options) (*Result, error) {
	setDefault(&o.Parts, 1)
	setDefault(&o.Dialer, Dialer(fakes.Loopback()))
	if o.Pause == nil {
		a, err := newAlarm()
		if err != nil {
			return nil, err
		}
		defer a.file.Close()
		o.Pause = a.sleep
	}
	if now := time.Now(); o.Start.Before(now) {
		o.Start = now
	}
	rec := &recorder{start: o.Start, result: newResult(len(p.Classes))}
	c := &client{plan: p, recorder: rec, bodies: make([]byte, 4096), conns: fakes.ConnPool{
		Dial:    o.Dialer.Dial,
		Address: o.Address, MaxConns: (p.Connections + o.Parts - 1) / o.Parts, Read: answer,
	}}
	for i := range c.bodies {
		c.bodies[i] = 'a' + byte(i%26)
	}
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { rec.watch(stop) })
	err := c.play(ctx, o)
	used := c.conns.Close()
	close(stop)
	watch.Wait()
	rec.result.ConnsOpened, rec.result.ConnWaits, rec.result.LongestConnWait = uint64(used.Opened), used.Waits, used.LongestWait
	rec.result.Partial = ctx.Err() != nil || err != nil
	rec.result.Ran = time.Since(o.Start)
	return rec.result, err
}

// play sends what is due and waits for all that is out.
func (c *client) play(ctx context.Context, o Options) error {
	var out sync.WaitGroup
	defer out.Wait()
	for q, err := range c.plan.Requests() {
		switch {
		case err != nil:
			return fmt.Errorf("in the middle of the plan: %w", err)
		case q.Index%uint64(o.Parts) != uint64(o.Part):
			continue
		}
		due := o.Start.Add(q.At)
		if !pauseUntil(ctx, due, o.Pause) {
			return nil
		}
		out.Go(func() { c.request(q, due) })
	}
	return nil
}

// pauseUntil waits for a moment, or for the end of ctx: then it returns false.
func pauseUntil(ctx context.Context, t time.Time, pause func(time.Duration)) bool {
	if left := time.Until(t) - exactly; left > 0 {
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

// alarm sleeps by a timer of the kernel, which is some 50 us late where the runtime's timers are 1 ms. It is waited for
// like a socket: a thread that slept would hold up what else there is to run, for some ms where there is one core.
type alarm struct {
	fd   int
	file *os.File
}

func newAlarm() (*alarm, error) {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("timerfd_create: %w", err)
	}
	return &alarm{fd, os.NewFile(uintptr(fd), "timer")}, nil
}

// sleep sleeps for more than nothing. It returns early if the timer can't be set.
func (a *alarm) sleep(d time.Duration) {
	var times [8]byte
	if unix.TimerfdSettime(a.fd, 0, &unix.ItimerSpec{Value: unix.NsecToTimespec(int64(d))}, nil) == nil {
		_, _ = a.file.Read(times[:])
	}
}

// watch notes by how much this process is late where nothing is due: then it reads answers late, too.
func (r *recorder) watch(stop <-chan struct{}) {
	for {
		at := time.Now().Add(beat)
		select {
		case <-time.After(beat):
			r.stall(time.Since(at))
		case <-stop:
			return
		}
	}
}
