package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"plankrouter/internal/admin"
	"plankrouter/internal/config"
	"plankrouter/internal/cordon"
	"plankrouter/internal/metrics"
)

// adminListenPause is between two attempts to listen for operators while another process does.
const adminListenPause = 20 * time.Millisecond

// listenAdmin returns the listener for operators, nil where they have no address.
func listenAdmin(cfg *config.Config) (net.Listener, error) {
	if cfg.AdminAddr == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", cfg.AdminAddr)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	return l, nil
}

// serveAdmin answers operators until ctx ends. A process that finds their address taken has no listener before the other has
// ended, as a successor that its predecessor has started: both have the same address. It serves requests meanwhile.
func (p *program) serveAdmin(ctx context.Context, l net.Listener) error {
	for l == nil {
		select {
		case <-time.After(adminListenPause):
		case <-ctx.Done():
			return nil
		}
		l, _ = listenAdmin(p.cfg) // an error says that the address is still taken
	}
	return admin.New(p, p.shares.admin).Serve(ctx, l)
}

// Ready reports whether a request would be served. With Figures, Disable and Enable it makes the program admin.Operations.
func (p *program) Ready() bool { return p.dispatcher.Ready() && p.frontend.IsAccepting() }

// Metrics are the counters of this process.
func (p *program) Metrics() metrics.Values { return p.metrics.Read() }

// Cordon takes a server out, for all processes of this sidecar.
func (p *program) Cordon(id string) error {
	return p.changeCordons("disable", id, (*cordon.Set).Cordon)
}

// Uncordon puts a server back.
func (p *program) Uncordon(id string) error {
	return p.changeCordons("enable", id, (*cordon.Set).Uncordon)
}
