package main

import (
	"context"
	"errors"
	"log"
	"net"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"plankrouter/internal/hotrestart"
	"plankrouter/internal/snapshot"
)

// firstListTimeout is how long discovery has, before a successor takes over with the list that it was given.
const firstListTimeout = 2 * time.Second

// takeOver makes this process a predecessor's successor: once discovery has answered, or has had its time, it says that it is
// ready, and when it may serve it takes the connections that come. Without a predecessor it may serve at once.
func (p *program) takeOver(ctx context.Context, group *errgroup.Group, predecessor *hotrestart.Successor) error {
	if predecessor == nil {
		notify("READY=1")
		p.lifecycle.on(mayServe)
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
		p.lifecycle.on(mayServe)
		p.serveAlone(ctx, group)
		return nil
	} else if err != nil {
		return err
	}
	log.Printf("name=%s handover=taken_over predecessor=%q", p.cfg.Name, predecessor.Hello().Name)
	p.lifecycle.on(mayServe)
	p.dispatcher.SetOpenInPredecessor(predecessor.Open())
	if predecessor.TookOver() {
		p.budget.Limit(p.shares.conns - p.shares.conns/standbyDivisor)
	}
	predecessor.Stopped = func(stop hotrestart.Stop) {
		enqueue(p.signals.stop, receivedSignal{Signal: syscall.SIGTERM, earliestSent: stop.At, readAt: time.Now(), killAt: stop.Kill})
	}
	predecessor.Reloaded = func(reload hotrestart.Reload) {
		p.signals.addReload(receivedSignal{Signal: syscall.SIGHUP, earliestSent: reload.At, readAt: time.Now()})
	}
	received := p.frontend.ExpectAdoptions()
	group.Go(func() error {
		defer received()
		p.receiveConnections(ctx, group, predecessor)
		return nil
	})
	return nil
}

// receiveConnections serves the predecessor's connections as they come, until it has passed all or is lost.
func (p *program) receiveConnections(ctx context.Context, group *errgroup.Group, predecessor *hotrestart.Successor) {
	err := predecessor.ReceiveConns(ctx, func(c *net.TCPConn, note []byte) { p.frontend.Adopt(c, note) })
	switch {
	case ctx.Err() != nil: // this process is at its end, whatever the other does
	case err == nil || errors.Is(err, hotrestart.ErrGone):
		log.Printf("name=%s handover=complete adopted=%d err=%v", p.cfg.Name, p.frontend.Adopted.Load(), err)
		p.serveAlone(ctx, group)
	case predecessor.TookOver(): // the other is as it is, and the platform ends it
		log.Printf("name=%s handover=broken err=%q", p.cfg.Name, err)
		_ = predecessor.Close() // nothing is left to be done about it
		p.serveAlone(ctx, group)
	default: // the two have lost each other: the one that has most of it serves on
		log.Printf("name=%s handover=broken err=%q", p.cfg.Name, err)
		p.retire(predecessor)
	}
}

// retire leaves the listener and all further connections to the predecessor, which serves on.
func (p *program) retire(predecessor *hotrestart.Successor) {
	p.lifecycle.on(predecessorServesOn)
	_ = predecessor.Close() // the predecessor takes the end of the process for the same
	p.frontend.Drain(p.listener)
}

// prepareSuccessor gives a successor the listener and the options, and returns once it may serve.
type prepareSuccessor func(*net.TCPListener, hotrestart.Options) (*hotrestart.Predecessor, error)

// handOver starts a successor and gives it everything, or goes on as if nothing had been.
func (p *program) handOver(ctx context.Context) {
	p.handOverWith(func(l *net.TCPListener, o hotrestart.Options) (*hotrestart.Predecessor, error) {
		return p.coordinator.Start(ctx, l, o)
	})
}

// handOverWith gives everything to the successor that prepare makes ready.
func (p *program) handOverWith(prepare prepareSuccessor) {
	listener, ok := p.listener.(*net.TCPListener)
	learned := p.takeSnapshot()
	if !ok || learned == nil {
		log.Printf("name=%s handover=refused err=%q", p.cfg.Name, "one is under way, or this process is at its end")
		return
	}
	state, err := snapshot.Encode(learned, 0)
	if err != nil {
		log.Printf("name=%s handover=without_state err=%q", p.cfg.Name, err)
	}
	log.Printf("name=%s handover=begun state_bytes=%d", p.cfg.Name, len(state))
	startedAt := time.Now()
	successor, err := prepare(listener, hotrestart.Options{
		ReadyWithin: p.cfg.ReadyWithin, Name: p.cfg.Name, Address: p.cfg.Listen,
		State: state, Env: p.successorEnvironment(), Open: p.dispatcher.OpenRequests,
	})
	if err != nil {
		log.Printf("name=%s handover=failed err=%q", p.cfg.Name, err)
		return
	}
	log.Printf("name=%s handover=passing successor=%d", p.cfg.Name, successor.Pid())
	if rendezvousFolder(p.getenv) != "" {
		p.budget.Limit(p.shares.conns / standbyDivisor)
		defer p.budget.Limit(p.shares.conns) // if it serves on
	}
	transferred := p.beginTransfer(successor, listener)
	stopForwarded := p.forwardStop(successor, listener)
	select {
	case <-transferred:
		p.forwardReload(successor, startedAt)
		if err := successor.Complete(); err == nil {
			p.completeHandover(successor, stopForwarded)
			return
		}
	case <-successor.Lost():
	}
	log.Printf("name=%s handover=lost successor=%d", p.cfg.Name, successor.Pid())
	p.resumeServing(listener)
}

// beginTransfer gives the successor this process's connections as they become idle. Nothing more is accepted here, but the listener is
// kept. The channel is closed when the successor has all.
func (p *program) beginTransfer(successor *hotrestart.Predecessor, listener *net.TCPListener) (transferred <-chan struct{}) {
	p.lifecycle.on(successorReady)
	transferred = p.frontend.HandOver(func(c net.Conn, note []byte) error { return successor.TransferConn(c.(syscall.Conn), note) })
	setDeadline(listener, longAgo)
	return transferred
}

// completeHandover ends this process's work: the successor has it all.
func (p *program) completeHandover(successor *hotrestart.Predecessor, stopForwarded func()) {
	log.Printf("name=%s handover=done successor=%d", p.cfg.Name, successor.Pid())
	stopForwarded()
	p.lifecycle.on(successorHasAll)
	p.stop()
}

// resumeServing accepts connections again: the successor is lost.
func (p *program) resumeServing(listener *net.TCPListener) {
	p.lifecycle.on(successorLost)
	setDeadline(listener, time.Time{})
	p.frontend.Resume()
}

// longAgo is a deadline that ends an accept at once.
var longAgo = time.Unix(1, 0)

// setDeadline sets the listener's deadline, which fails only on one that is closed: a shutdown or the forwarded signal to stop has
// closed it then.
func setDeadline(listener *net.TCPListener, deadline time.Time) { _ = listener.SetDeadline(deadline) }

// forwardStop sends the successor a signal to stop that comes when it is too late to cancel the handover: the service is meant.
// The listener is the successor's alone from then on: as long as this process kept a copy, what came after the successor has closed its
// own would be accepted by the kernel, and by nobody else. What forwardStop returns is called once the handover is done, and sees to it
// that a signal that has come by then has got through.
func (p *program) forwardStop(successor *hotrestart.Predecessor, listener net.Listener) (done func()) {
	if rendezvousFolder(p.getenv) != "" { // the platform signals each process by itself
		return func() {}
	}
	forwarded := make(chan struct{})
	cancel := context.AfterFunc(p.stopRequested, func() {
		defer close(forwarded)
		stop := p.forwardableStop.Load()
		if stop == nil { // the process ends without a signal
			return
		}
		err := successor.Stop(hotrestart.Stop{At: stop.sent, Kill: stop.kill})
		log.Printf("name=%s handover=told_to_stop successor=%d err=%v", p.cfg.Name, successor.Pid(), err)
		if err != nil { // it reads no more of this process: it counts from when it gets the signal
			_ = syscall.Kill(successor.Pid(), syscall.SIGTERM) // which fails only where it has ended
			return
		}
		_ = listener.Close() // a shutdown may have closed it
	})
	return func() {
		if !cancel() {
			<-forwarded
		}
	}
}

// forwardReload has the successor read its configuration, if this process has got a signal to since the handover began: the successor may
// have read it before.
func (p *program) forwardReload(successor *hotrestart.Predecessor, startedAt time.Time) {
	last := p.signals.lastReload.Load()
	if rendezvousFolder(p.getenv) != "" || last == nil || last.readAt.Before(startedAt) { // the platform signals each process by itself
		return
	}
	err := successor.Reload(hotrestart.Reload{At: last.earliestSent})
	log.Printf("name=%s handover=told_to_reload successor=%d err=%v", p.cfg.Name, successor.Pid(), err)
}

// successorEnvironment is the successor's: this process's, but for a discovery address that a reload has replaced.
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
