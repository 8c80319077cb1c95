package main

import (
	"context"
	"errors"
	"log"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"plankrouter/internal/hotrestart"
	"plankrouter/internal/transient"
)

const (
	// standbyDivisor: of two processes the one that does not serve has one in so many of the sockets.
	standbyDivisor = 4
	// rendezvousTimeout bounds the wait for a rendezvous socket that can't be had for a moment.
	rendezvousTimeout = 2 * time.Second
	// acceptRetryPause is the pause after an accept that has failed.
	acceptRetryPause = 20 * time.Millisecond
)

// rendezvousFolder is the folder in which two processes of this sidecar meet, where the platform starts the second one; "" = it does not.
func rendezvousFolder(getenv func(string) string) string {
	if getenv(hotrestart.ListenVariable) == "" {
		return ""
	}
	return getenv("TMPDIR")
}

// serveAlone makes this process the sidecar's only one, and the one that a second process finds.
func (p *program) serveAlone(ctx context.Context, group *errgroup.Group) {
	p.budget.Limit(p.shares.conns)
	p.dispatcher.SetOpenInPredecessor(nil)
	folder := rendezvousFolder(p.getenv)
	if folder == "" {
		return
	}
	var l *net.UnixListener
	err := transient.Retry(rendezvousTimeout, func() (err error) {
		l, err = hotrestart.ListenForSuccessor(folder)
		return err
	})
	if err != nil {
		log.Printf("name=%s handover=not_found_by_others err=%q", p.cfg.Name, err)
		return
	}
	group.Go(func() error {
		defer context.AfterFunc(ctx, func() { _ = l.Close() })()
		acceptSuccessors(ctx, l.AcceptUnix, func(c *net.UnixConn) { p.handOverTo(ctx, c) })
		return nil
	})
}

// handOverTo gives everything to the process that has found this one, over its connection.
func (p *program) handOverTo(ctx context.Context, c *net.UnixConn) {
	p.handOverWith(func(own *net.TCPListener, options hotrestart.Options) (*hotrestart.Predecessor, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(p.stopRequested, cancel)() // a signal to stop calls off what is not ready
		p.budget.Limit(p.shares.conns - p.shares.conns/standbyDivisor)
		successor, err := p.coordinator.HandOverTo(ctx, c, own, options)
		if err != nil {
			p.budget.Limit(p.shares.conns)
		}
		return successor, err
	})
	_ = c.Close() // the handover may have closed it
}

// acceptSuccessors hands each process that has found this one to meet, until ctx ends.
func acceptSuccessors(ctx context.Context, accept func() (*net.UnixConn, error), meet func(*net.UnixConn)) {
	for ctx.Err() == nil {
		c, err := accept()
		switch {
		case err == nil:
			meet(c)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			log.Printf("handover=accept_failed err=%q", err)
			select {
			case <-time.After(acceptRetryPause):
			case <-ctx.Done():
			}
		}
	}
}
