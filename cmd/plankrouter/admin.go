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

// adminListenPause is the pause between two attempts to listen on the admin address while another process uses it.
const adminListenPause = 20 * time.Millisecond

// listenAdmin returns the listener for operators, nil if no admin address is configured.
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

// serveAdmin serves operators until ctx ends. If l is nil, another process uses the address, for example a predecessor with
// the same configuration: serveAdmin retries until that process has exited. Meanwhile this process serves requests of clients.
func (p *program) serveAdmin(ctx context.Context, l net.Listener) error {
	for l == nil {
		select {
		case <-time.After(adminListenPause):
		case <-ctx.Done():
			return nil
		}
		l, _ = listenAdmin(p.cfg) // on an error the address is still in use
	}
	return admin.New(p, p.shares.admin).Serve(ctx, l)
}

// Ready reports whether a request would be served. With Metrics, Cordon and Uncordon it implements admin.Operations.
func (p *program) Ready() bool { return p.dispatcher.Ready() && p.frontend.IsAccepting() }

// Metrics returns the counters of this process.
func (p *program) Metrics() metrics.Values { return p.metrics.Read() }

// Cordon stops this sidecar's processes from sending requests to the server.
func (p *program) Cordon(id string) error {
	return p.changeCordons("disable", id, (*cordon.Set).Cordon)
}

// Uncordon ends the cordon of the server.
func (p *program) Uncordon(id string) error {
	return p.changeCordons("enable", id, (*cordon.Set).Uncordon)
}
