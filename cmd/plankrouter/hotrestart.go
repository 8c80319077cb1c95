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

// firstListTimeout bounds how long a successor waits for discovery before it takes over with the endpoint list that it
// started with.
const firstListTimeout = 2 * time.Second

// takeOver makes this process the predecessor's successor. It reports that this process is ready, after the first response of
// discovery or after firstListTimeout, and returns once this process may serve; the predecessor's connections arrive after
// that. Without a predecessor this process may serve at once.
func (p *program) takeOver(ctx context.Context, group *errgroup.Group, predecessor *hotrestart.Successor) error {
	if predecessor == nil {
		notify("READY=1")
		p.lifecycle.on(mayServe)
		p.serveAlone(ctx, group)
		return nil
	}
	select {
	case <-p.watch.FirstResponse():
	case <-time.After(firstListTimeout):
	case <-predecessor.Cancelled():
	case <-ctx.Done():
	}
	if err := predecessor.Ready(); err != nil && predecessor.StartedByPlatform() {
		log.Printf("name=%s handover=alone err=%q", p.cfg.Name, err)
		p.lifecycle.on(mayServe)
		p.serveAlone(ctx, group)
		return nil
	} else if err != nil {
		return err
	}
	log.Printf("name=%s handover=taken_over predecessor=%q", p.cfg.Name, predecessor.Hello().Name)
	p.lifecycle.on(mayServe)
	p.dispatcher.SetOpenInPredecessor(predecessor.OpenRequests())
	if predecessor.StartedByPlatform() {
		p.budget.SetLimit(p.shares.conns - p.shares.conns/standbyDivisor)
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

// receiveConnections serves the predecessor's connections as they arrive, until it has transferred all or the handover fails.
func (p *program) receiveConnections(ctx context.Context, group *errgroup.Group, predecessor *hotrestart.Successor) {
	err := predecessor.ReceiveConns(ctx, func(c *net.TCPConn, note []byte) { p.frontend.Adopt(c, note) })
	switch {
	case ctx.Err() != nil: // this process ends, whatever the predecessor does
	case err == nil || errors.Is(err, hotrestart.ErrPredecessorLost):
		log.Printf("name=%s handover=complete adopted=%d err=%v", p.cfg.Name, p.frontend.Adopted.Load(), err)
		p.serveAlone(ctx, group)
	case predecessor.StartedByPlatform(): // the platform ends the predecessor, in whatever state it is
		log.Printf("name=%s handover=broken err=%q", p.cfg.Name, err)
		_ = predecessor.Close() // an error changes nothing: the handover has failed already
		p.serveAlone(ctx, group)
	default: // the predecessor still has most of the connections, so it continues to serve
		log.Printf("name=%s handover=broken err=%q", p.cfg.Name, err)
		p.retire(predecessor)
	}
}

// retire leaves the listener and all further connections to the predecessor, which continues to serve.
func (p *program) retire(predecessor *hotrestart.Successor) {
	p.lifecycle.on(predecessorResumed)
	_ = predecessor.Close() // if it fails, the predecessor notices when this process exits
	p.frontend.Drain(p.listener)
}

// prepareSuccessor passes a successor the listener and the options, and returns once the successor may serve.
type prepareSuccessor func(*net.TCPListener, hotrestart.Options) (*hotrestart.Predecessor, error)

// handOver starts a successor and hands over to it. If that fails, this process continues to serve.
func (p *program) handOver(ctx context.Context) {
	p.handOverWith(func(l *net.TCPListener, o hotrestart.Options) (*hotrestart.Predecessor, error) {
		return p.coordinator.Start(ctx, l, o)
	})
}

// handOverWith hands state, listener and connections over to the successor that prepare returns. If that fails, this process
// continues to serve.
func (p *program) handOverWith(prepare prepareSuccessor) {
	listener, ok := p.listener.(*net.TCPListener)
	learned := p.takeSnapshot()
	if !ok || learned == nil {
		log.Printf("name=%s handover=refused err=%q", p.cfg.Name, "a handover is in progress, or this process is shutting down")
		return
	}
	state, err := snapshot.Encode(learned, 0)
	if err != nil {
		log.Printf("name=%s handover=without_state err=%q", p.cfg.Name, err)
	}
	log.Printf("name=%s handover=begun state_bytes=%d", p.cfg.Name, len(state))
	startedAt := time.Now()
	successor, err := prepare(listener, hotrestart.Options{
		ReadyTimeout: p.cfg.HandoverReadyTimeout, Name: p.cfg.Name, Address: p.cfg.Listen,
		State: state, Env: p.successorEnvironment(), OpenRequests: p.dispatcher.OpenRequests,
	})
	if err != nil {
		log.Printf("name=%s handover=failed err=%q", p.cfg.Name, err)
		return
	}
	log.Printf("name=%s handover=passing successor=%d", p.cfg.Name, successor.Pid())
	if rendezvousFolder(p.getenv) != "" {
		p.budget.SetLimit(p.shares.conns / standbyDivisor)
		defer p.budget.SetLimit(p.shares.conns) // has an effect only if the handover fails
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

// beginTransfer passes this process's connections to the successor as they become idle. This process accepts no more, but
// keeps the listener. The channel is closed when the successor has all connections.
func (p *program) beginTransfer(successor *hotrestart.Predecessor, listener *net.TCPListener) (transferred <-chan struct{}) {
	p.lifecycle.on(successorReady)
	transferred = p.frontend.HandOver(func(c net.Conn, note []byte) error { return successor.TransferConn(c.(syscall.Conn), note) })
	setDeadline(listener, longAgo)
	return transferred
}

// completeHandover stops this process once the successor has everything.
func (p *program) completeHandover(successor *hotrestart.Predecessor, stopForwarded func()) {
	log.Printf("name=%s handover=done successor=%d", p.cfg.Name, successor.Pid())
	stopForwarded()
	p.lifecycle.on(handoverCompleted)
	p.stop()
}

// resumeServing accepts connections again after the successor is lost.
func (p *program) resumeServing(listener *net.TCPListener) {
	p.lifecycle.on(successorLost)
	setDeadline(listener, time.Time{})
	p.frontend.Resume()
}

// longAgo is a deadline that makes a pending accept return at once.
var longAgo = time.Unix(1, 0)

// setDeadline sets the listener's deadline. That fails only if the listener is closed, by a shutdown or by forwardStop: the
// error doesn't matter then.
func setDeadline(listener *net.TCPListener, deadline time.Time) { _ = listener.SetDeadline(deadline) }

// forwardStop forwards a stop signal to the successor if the signal comes too late to cancel the handover: it is meant
// for the service. This process then closes its copy of the listener: while that is open, the kernel would still establish
// connections after the successor has closed its own, and nobody would accept them. The caller calls done once the handover
// is complete; done waits for a forward in progress.
func (p *program) forwardStop(successor *hotrestart.Predecessor, listener net.Listener) (done func()) {
	if rendezvousFolder(p.getenv) != "" { // the platform signals each process itself
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
		if err != nil { // the successor no longer reads from this process: its schedule counts from when it receives SIGTERM
			_ = syscall.Kill(successor.Pid(), syscall.SIGTERM) // fails only if the successor has exited
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

// forwardReload makes the successor reload its configuration if this process has received a reload signal since the handover
// began: the successor may have read the configuration before that.
func (p *program) forwardReload(successor *hotrestart.Predecessor, startedAt time.Time) {
	last := p.signals.lastReload.Load()
	if rendezvousFolder(p.getenv) != "" || last == nil || last.readAt.Before(startedAt) { // the platform signals each process itself
		return
	}
	err := successor.Reload(hotrestart.Reload{At: last.earliestSent})
	log.Printf("name=%s handover=told_to_reload successor=%d err=%v", p.cfg.Name, successor.Pid(), err)
}

// successorEnvironment returns the successor's environment: that of this process, without a discovery address that a reload
// has replaced.
func (p *program) successorEnvironment() []string {
	env := os.Environ()
	if p.discoveryOverridden.Load() {
		env = slices.DeleteFunc(env, func(kv string) bool { return strings.HasPrefix(kv, "GW_DISCOVERY=") })
	}
	return env
}

// notify reports the state to the service manager, if there is one.
func notify(state string) {
	if err := hotrestart.Notify(state); err != nil {
		log.Printf("notify=%q err=%q", state, err)
	}
}
