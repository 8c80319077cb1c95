package main

import (
	"context"
	"log"
	"os"
	"os/signal"
	"plankrouter/internal/shutdown"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// signalQueues are the signals that have come and are not obeyed yet. Each kind waits at a place of its own, so that none keeps out
// another; one that finds no room there is covered by what waits.
type signalQueues struct {
	stop             chan received // two of them say more than one
	reload           chan received
	report, handOver chan os.Signal

	lastReload *atomic.Pointer[received] // obeyed or not; nil in it = there was none
}

// received is a signal with the time in which it was sent: whoever sent it counts from then, however late it is read or obeyed.
type received struct {
	os.Signal
	earliest time.Time // that it can have been sent
	read     time.Time // by which it had been
	kill     time.Time // that whoever passed the word to stop on has reckoned with; zero = nobody did
}

func newSignalQueues() signalQueues {
	return signalQueues{
		stop: make(chan received, 2), reload: make(chan received, 1), report: make(chan os.Signal, 1),
		handOver: make(chan os.Signal, 1), lastReload: new(atomic.Pointer[received]),
	}
}

// listen takes this process's signals from now on.
func (w signalQueues) listen() {
	reload, stop := make(chan os.Signal, cap(w.reload)), make(chan os.Signal, cap(w.stop))
	signal.Notify(reload, syscall.SIGHUP) // first: it would end the process, and is ignored until here where the deploy file has it so
	signal.Notify(w.report, syscall.SIGUSR1)
	signal.Notify(w.handOver, syscall.SIGUSR2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go w.date(reload, stop, shutdown.NewHeartbeat(time.Now()))
}

// date notes of each signal to stop or to reload since when it can have been sent.
func (w signalQueues) date(reload, stop <-chan os.Signal, heartbeat *shutdown.Heartbeat) {
	beat := time.NewTicker(shutdown.HeartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case s := <-reload:
			w.addReload(received{Signal: s, earliest: heartbeat.EarliestSignal(), read: time.Now()})
		case s := <-stop:
			put(w.stop, received{Signal: s, earliest: heartbeat.EarliestSignal(), read: time.Now()})
		case <-beat.C:
			if len(reload)+len(stop) == 0 {
				heartbeat.Beat(time.Now())
			}
		}
	}
}

// addReload adds a signal to reload.
func (w signalQueues) addReload(s received) {
	w.lastReload.Store(&s)
	put(w.reload, s)
}

// put adds a signal unless those that wait cover it.
func put(queue chan<- received, s received) {
	select {
	case queue <- s:
	default:
	}
}

// obey acts on all signals but those to stop until ctx ends.
func (p *program) obey(ctx context.Context, group *errgroup.Group, w signalQueues) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.report:
			p.report()
		case s := <-w.reload:
			p.reload(ctx, time.Now(), s.earliest)
		case <-w.handOver:
			if p.told.Err() == nil {
				group.Go(func() error { p.handOver(p.told); return nil })
			} else {
				log.Printf("name=%s handover=refused err=%q", p.cfg.Name, "this process has been told to stop")
			}
		}
	}
}
