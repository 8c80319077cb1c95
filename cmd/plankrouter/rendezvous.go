package main

import (
	"context"
	"errors"
	"log"
	"net"
	"plankrouter/internal/hotrestart"
	"plankrouter/internal/transient"
	"time"

	"golang.org/x/sync/errgroup"
)

// standbyShare: of two processes the one that does not serve has one in so many of the sockets.
const standbyShare = 4

// rendezvousFolder is the folder in which two processes of this sidecar meet, where the platform starts the second one; "" = it does not.
func rendezvousFolder(getenv func(string) string) string {
	if getenv(hotrestart.ListenVariable) == "" {
		return ""
	}
	return getenv("TMPDIR")
}

// rendezvousTimeout bounds the wait for a meeting place that can't be had for a moment.
const rendezvousTimeout = 2 * time.Second

// acceptRetryPause is the pause after an accept that has failed.
const acceptRetryPause = 20 * time.Millisecond

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
		l, err = hotrestart.Listen(folder)
		return err
	})
	if err != nil {
		log.Printf("name=%s handover=not_found_by_others err=%q", p.cfg.Name, err)
		return
	}
	group.Go(func() error {
		defer context.AfterFunc(ctx, func() { l.Close() })()
		acceptSuccessors(ctx, l.AcceptUnix, func(c *net.UnixConn) {
			p.handOverWith(ctx, func(own *net.TCPListener, o hotrestart.Options) (*hotrestart.Predecessor, error) {
				live, cancel := context.WithCancel(ctx)
				defer cancel()
				defer context.AfterFunc(p.stopRequested, cancel)() // a word to stop calls off what is not ready
				p.budget.Limit(p.shares.conns - p.shares.conns/standbyShare)
				to, err := p.coordinator.Meet(live, c, own, o)
				if err != nil {
					p.budget.Limit(p.shares.conns)
				}
				return to, err
			})
			c.Close()
		})
		return nil
	})
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
