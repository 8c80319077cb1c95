package main

import (
	"context"
	"errors"
	"log"
	"net"
	"os"
	"plankrouter/internal/hotrestart"
	"plankrouter/internal/snapshot"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// firstListTimeout is how long the directory has, before a successor takes over with the list that it was given.
const firstListTimeout = 2 * time.Second

// takeOver makes this process a predecessor's successor: once the directory has answered, or has had its time, it says that
// it is ready, and when it may serve it takes the connections that come.
func (p *program) takeOver(ctx context.Context, group *errgroup.Group, predecessor *hotrestart.Successor) error {
	if predecessor == nil {
		notify("READY=1")
		p.serveAlone(ctx, group)
		return nil
	}
	select {
	case <-p.watch.FirstUpdate():
	case <-time.After(firstListTimeout):
	case <-predecessor.Cancelled():
	case <-ctx.Done():
	}
	if err := predecessor.Ready(); err != nil && predecessor.TookOver() {
		log.Printf("name=%s handover=alone err=%q", p.cfg.Name, err)
		p.serveAlone(ctx, group)
		return nil
	} else if err != nil {
		return err
	}
	log.Printf("name=%s handover=taken_over predecessor=%q", p.cfg.Name, predecessor.Hello().Name)
	p.dispatcher.SetOpenInPredecessor(predecessor.Open())
	if predecessor.TookOver() {
		p.budget.Limit(p.shares.conns - p.shares.conns/standbyShare)
	}
	predecessor.Stopped = func(word hotrestart.Stop) {
		enqueue(p.signals.stop, receivedSignal{Signal: syscall.SIGTERM, earliestSent: word.At, readAt: time.Now(), killAt: word.Kill})
	}
	predecessor.Reloaded = func(word hotrestart.Reload) {
		p.signals.addReload(receivedSignal{Signal: syscall.SIGHUP, earliestSent: word.At, readAt: time.Now()})
	}
	done := p.frontend.Expect()
	group.Go(func() error {
		defer done()
		err := predecessor.ReceiveConns(ctx, func(c *net.TCPConn, note []byte) { p.frontend.Adopt(c, note) })
		switch {
		case ctx.Err() != nil: // this process is at its end, whatever the other does
		case err == nil || errors.Is(err, hotrestart.ErrGone):
			log.Printf("name=%s handover=complete adopted=%d err=%v", p.cfg.Name, p.frontend.Adopted.Load(), err)
			p.serveAlone(ctx, group)
		case predecessor.TookOver(): // the other is as it is, and the platform ends it
			log.Printf("name=%s handover=broken err=%q", p.cfg.Name, err)
			predecessor.Close()
			p.serveAlone(ctx, group)
		default: // the two have lost each other: the one that has most of it serves on
			log.Printf("name=%s handover=broken err=%q", p.cfg.Name, err)
			predecessor.Close()
			p.frontend.Drain(p.listener)
		}
		return nil
	})
	return nil
}

// handOver starts a successor and gives it everything, or goes on as if nothing had been.
func (p *program) handOver(ctx context.Context) {
	p.handOverWith(ctx, func(l *net.TCPListener, o hotrestart.Options) (*hotrestart.Predecessor, error) {
		return p.coordinator.Start(ctx, l, o)
	})
}

// handOverWith gives everything to the successor that begin makes ready.
func (p *program) handOverWith(ctx context.Context, prepare func(*net.TCPListener, hotrestart.Options) (*hotrestart.Predecessor, error)) {
	l, ok := p.listener.(*net.TCPListener)
	snap := p.takeSnapshot()
	if !ok || snap == nil {
		log.Printf("name=%s handover=refused err=%q", p.cfg.Name, "one is under way, or this process is at its end")
		return
	}
	state, err := snapshot.Encode(snap, 0)
	if err != nil {
		log.Printf("name=%s handover=without_state err=%q", p.cfg.Name, err)
	}
	log.Printf("name=%s handover=begun state_bytes=%d", p.cfg.Name, len(state))
	startedAt := time.Now()
	successor, err := prepare(l, hotrestart.Options{
		ReadyWithin: p.cfg.ReadyWithin, Name: p.cfg.Name, Address: p.cfg.Listen,
		State: state, Env: p.successorEnvironment(), Open: p.dispatcher.OpenRequests,
	})
	if err != nil {
		log.Printf("name=%s handover=failed err=%q", p.cfg.Name, err)
		return
	}
	log.Printf("name=%s handover=passing successor=%d", p.cfg.Name, successor.Pid())
	if rendezvousFolder(p.getenv) != "" {
		p.budget.Limit(p.shares.conns / standbyShare)
		defer p.budget.Limit(p.shares.conns) // if it serves on
	}
	connectionsPassed := p.frontend.HandOver(func(c net.Conn, note []byte) error { return successor.TransferConn(c.(syscall.Conn), note) })
	l.SetDeadline(time.Unix(1, 0)) // accepts no more, but keeps the listener
	stopForwarded := p.forwardStop(successor, l)
	select {
	case <-connectionsPassed:
		p.forwardReload(successor, startedAt)
		if err := successor.Complete(); err == nil {
			log.Printf("name=%s handover=done successor=%d", p.cfg.Name, successor.Pid())
			stopForwarded()
			p.stop()
			return
		}
	case <-successor.Lost():
	}
	log.Printf("name=%s handover=lost successor=%d", p.cfg.Name, successor.Pid())
	l.SetDeadline(time.Time{})
	p.frontend.Resume()
}

// forwardStop has the successor told of a word to stop that comes when it is too late to call the handover off: the service is meant. The
// listener is the successor's alone from then on: as long as this process kept a copy, what came after the successor has closed its own
// would be accepted by the kernel, and by nobody else. What forwardStop returns is called once the handover is done, and sees to it that a
// word that has come by then has got through.
func (p *program) forwardStop(successor *hotrestart.Predecessor, l net.Listener) (done func()) {
	if rendezvousFolder(p.getenv) != "" { // the platform tells each process by itself
		return func() {}
	}
	ended := make(chan struct{})
	cancel := context.AfterFunc(p.stopRequested, func() {
		defer close(ended)
		stop := p.forwardableStop.Load()
		if stop == nil { // the process ends without having been told to
			return
		}
		err := successor.Stop(hotrestart.Stop{At: stop.sent, Kill: stop.kill})
		log.Printf("name=%s handover=told_to_stop successor=%d err=%v", p.cfg.Name, successor.Pid(), err)
		if err != nil { // it reads no more of this process: it counts from when it gets the signal
			syscall.Kill(successor.Pid(), syscall.SIGTERM)
			return
		}
		l.Close()
	})
	return func() {
		if !cancel() {
			<-ended
		}
	}
}

// forwardReload has the successor read its configuration, if this process was told to since the handover began: the successor may have read
// it before.
func (p *program) forwardReload(successor *hotrestart.Predecessor, startedAt time.Time) {
	last := p.signals.lastReload.Load()
	if rendezvousFolder(p.getenv) != "" || last == nil || last.readAt.Before(startedAt) { // the platform tells each process by itself
		return
	}
	log.Printf("name=%s handover=told_to_reload successor=%d err=%v", p.cfg.Name, successor.Pid(), successor.Reload(hotrestart.Reload{At: last.earliestSent}))
}

// successorEnvironment is the successor's: this process's, but for a directory that a reload has replaced.
func (p *program) successorEnvironment() []string {
	env := os.Environ()
	if p.discoveryMoved.Load() {
		env = slices.DeleteFunc(env, func(kv string) bool { return strings.HasPrefix(kv, "GW_DISCOVERY=") })
	}
	return env
}

// notify tells the service manager, where there is one.
func notify(state string) {
	if err := hotrestart.Notify(state); err != nil {
		log.Printf("notify=%q err=%q", state, err)
	}
}
