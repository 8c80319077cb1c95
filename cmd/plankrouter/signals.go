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

// signalQueues are the signals that have come and are not handled yet. Each kind waits at a place of its own, so that none keeps out
// another; one that finds no room there is covered by what waits.
type signalQueues struct {
	stop       chan receivedSignal // two of them say more than one
	reload     chan receivedSignal
	report     chan os.Signal
	handOver   chan os.Signal
	lastReload *atomic.Pointer[receivedSignal] // handled or not; nil in it = there was none
}

// receivedSignal is a signal with the time in which it was sent: whoever sent it counts from then, however late it is read or handled.
type receivedSignal struct {
	os.Signal
	earliestSent time.Time // that it can have been sent
	readAt       time.Time // by which it had been
	killAt       time.Time // that the predecessor goes by that has passed a signal to stop on; zero = it came directly
}

// isForwarded reports whether a predecessor has passed the signal on.
func (s receivedSignal) isForwarded() bool { return !s.killAt.IsZero() }

func newSignalQueues() signalQueues {
	return signalQueues{
		stop: make(chan receivedSignal, 2), reload: make(chan receivedSignal, 1), report: make(chan os.Signal, 1),
		handOver: make(chan os.Signal, 1), lastReload: new(atomic.Pointer[receivedSignal]),
	}
}

// listen takes this process's signals from now on.
func (q signalQueues) listen() {
	reload, stop := make(chan os.Signal, cap(q.reload)), make(chan os.Signal, cap(q.stop))
	signal.Notify(reload, syscall.SIGHUP) // first: it would end the process, and is ignored until here where the deploy file has it so
	signal.Notify(q.report, syscall.SIGUSR1)
	signal.Notify(q.handOver, syscall.SIGUSR2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go q.timestamp(reload, stop, shutdown.NewHeartbeat(time.Now()))
}

// timestamp notes of each signal to stop or to reload since when it can have been sent.
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

// addReload adds a signal to reload.
func (q signalQueues) addReload(s receivedSignal) {
	q.lastReload.Store(&s)
	enqueue(q.reload, s)
}

// enqueue adds a signal unless those that wait cover it.
func enqueue(queue chan<- receivedSignal, s receivedSignal) {
	select {
	case queue <- s:
	default:
	}
}

// handleSignals acts on all signals but those to stop until ctx ends.
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
				log.Printf("name=%s handover=refused err=%q", p.cfg.Name, "this process has been told to stop")
			}
		}
	}
}
