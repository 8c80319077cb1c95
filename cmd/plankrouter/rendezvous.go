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
	// standbyDivisor divides the socket limit: while two processes run, the one that accepts no connections gets one such part.
	standbyDivisor = 4
	// rendezvousTimeout bounds the retries of a listen on the rendezvous socket that fails temporarily.
	rendezvousTimeout = 2 * time.Second
	// acceptRetryPause is the pause after a failed accept.
	acceptRetryPause = 20 * time.Millisecond
)

// rendezvousFolder returns the folder of the socket by which two processes of this sidecar find each other; "" if the
// platform doesn't start the second one.
func rendezvousFolder(getenv func(string) string) string {
	if getenv(hotrestart.ListenVariable) == "" {
		return ""
	}
	return getenv("TMPDIR")
}

// serveAlone gives this process all sockets of the sidecar, and makes it the one that a second process finds.
func (p *program) serveAlone(ctx context.Context, group *errgroup.Group) {
	p.budget.SetLimit(p.shares.conns)
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

// handOverTo hands over to the process that has connected to the rendezvous socket, over that connection.
func (p *program) handOverTo(ctx context.Context, c *net.UnixConn) {
	p.handOverWith(func(own *net.TCPListener, options hotrestart.Options) (*hotrestart.Predecessor, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(p.stopRequested, cancel)() // a stop signal cancels a handover whose successor is not ready
		p.budget.SetLimit(p.shares.conns - p.shares.conns/standbyDivisor)
		successor, err := p.coordinator.HandOverTo(ctx, c, own, options)
		if err != nil {
			p.budget.SetLimit(p.shares.conns)
		}
		return successor, err
	})
	_ = c.Close() // an error means that the handover has closed it already
}

// acceptSuccessors passes the connection of each process that has found this one to meet, until ctx ends or the listener is
// closed.
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
