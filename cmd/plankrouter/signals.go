package main

import (
	"context"
	"log"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"plankrouter/internal/shutdown"
)

// signalQueues are the signals that were received and are not handled yet. Each kind has a queue of its own, so that none
// displaces another. A signal that finds its queue full is dropped: handling those in the queue covers it.
type signalQueues struct {
	stop       chan receivedSignal // holds two: the second expedites the shutdown
	reload     chan receivedSignal
	report     chan os.Signal
	handOver   chan os.Signal
	lastReload *atomic.Pointer[receivedSignal] // the last reload signal, handled or not; holds nil if there was none
}

// receivedSignal is a signal with bounds of the time at which it was sent. The sender counts from then, however late the
// signal is read or handled.
type receivedSignal struct {
	os.Signal
	earliestSent time.Time // the earliest time at which it can have been sent
	readAt       time.Time // when it was read, which is after it was sent
	killAt       time.Time // time of the kill as reported by the predecessor that forwarded a stop signal; zero = received directly
}

// isForwarded reports whether a predecessor has forwarded the signal.
func (s receivedSignal) isForwarded() bool { return !s.killAt.IsZero() }

func newSignalQueues() signalQueues {
	return signalQueues{
		stop: make(chan receivedSignal, 2), reload: make(chan receivedSignal, 1), report: make(chan os.Signal, 1),
		handOver: make(chan os.Signal, 1), lastReload: new(atomic.Pointer[receivedSignal]),
	}
}

// listen queues this process's signals from now on.
func (q signalQueues) listen() {
	reload, stop := make(chan os.Signal, cap(q.reload)), make(chan os.Signal, cap(q.stop))
	signal.Notify(reload, syscall.SIGHUP) // first: SIGHUP ends a process that neither handles it nor was started with it ignored
	signal.Notify(q.report, syscall.SIGUSR1)
	signal.Notify(q.handOver, syscall.SIGUSR2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go q.timestamp(reload, stop, shutdown.NewHeartbeat(time.Now()))
}

// timestamp queues each stop or reload signal with the bounds of the time at which it was sent.
func (q signalQueues) timestamp(reload, stop <-chan os.Signal, heartbeat *shutdown.Heartbeat) {
	beat := time.NewTicker(shutdown.HeartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case s := <-reload:
			q.addReload(receivedSignal{Signal: s, earliestSent: heartbeat.EarliestSignal(), readAt: time.Now()})
		case s := <-stop:
			enqueue(q.stop, receivedSignal{Signal: s, earliestSent: heartbeat.EarliestSignal(), readAt: time.Now()})
		case <-beat.C:
			if len(reload)+len(stop) == 0 {
				heartbeat.Beat(time.Now())
			}
		}
	}
}

// addReload queues a reload signal, and stores it as the last one.
func (q signalQueues) addReload(s receivedSignal) {
	q.lastReload.Store(&s)
	enqueue(q.reload, s)
}

// enqueue adds a signal to the queue, or drops it if the queue is full.
func enqueue(queue chan<- receivedSignal, s receivedSignal) {
	select {
	case queue <- s:
	default:
	}
}

// handleSignals handles all signals except stop signals until ctx ends.
func (p *program) handleSignals(ctx context.Context, group *errgroup.Group) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.signals.report:
			p.report()
		case s := <-p.signals.reload:
			p.reload(ctx, time.Now(), s.earliestSent)
		case <-p.signals.handOver:
			if p.lifecycle.current() < shuttingDown {
				group.Go(func() error { p.handOver(p.stopRequested); return nil })
			} else {
				log.Printf("name=%s handover=refused err=%q", p.cfg.Name, "this process has received a stop signal")
			}
		}
	}
}
