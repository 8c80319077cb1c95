package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"path/filepath"
	"plankrouter/internal/admin"
	"plankrouter/internal/config"
	"plankrouter/internal/cordon"
	"plankrouter/internal/faultinjection"
	"plankrouter/internal/metrics"
	"time"
)

const (
	listenAgain = 20 * time.Millisecond // for operators, while another process does
	bansAgain   = 20 * time.Millisecond // a look at a file that can't be read at the start,
	bansWithin  = time.Second           // for so long: then service comes first
)

// listenForOperators returns the listener for operators, nil where they have no address.
func listenForOperators(cfg *config.Config) (net.Listener, error) {
	if cfg.AdminAddr == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", cfg.AdminAddr)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	return l, nil
}

// serveOperators answers operators until ctx ends. A process that finds their address taken has no listener before the other has
// ended, as a successor that its predecessor has started: both are told the same address. It serves requests meanwhile.
func (p *program) serveOperators(ctx context.Context, l net.Listener) error {
	for l == nil {
		select {
		case <-time.After(listenAgain):
		case <-ctx.Done():
			return nil
		}
		l, _ = listenForOperators(p.cfg)
	}
	return admin.New(p, p.share.operators).Serve(ctx, l)
}

// bansFor returns where operators' bans are kept: in the folder that the platform gives the sidecar's processes, where there
// is one.
func bansFor(cfg *config.Config, getenv func(string) string) *cordon.Store {
	if folder := getenv("TMPDIR"); folder != "" && cfg.AdminAddr != "" {
		return &cordon.Store{
			Path:       filepath.Join(folder, "plankrouter-bans.json"),
			BeforeStep: func(step cordon.Step, _ string) error { return faultinjection.Inject(bansFaults[step]) },
		}
	}
	return &cordon.Store{}
}

// bansFaults are the faults that befall the steps of the bans' file in a soak.
var bansFaults = map[cordon.Step]faultinjection.Op{
	cordon.StepOpen: faultinjection.ReadFile, cordon.StepRead: faultinjection.ReadFile,
	cordon.StepLock: faultinjection.WriteFile, cordon.StepWrite: faultinjection.WriteFile, cordon.StepSync: faultinjection.SyncFile,
	cordon.StepRename: faultinjection.WriteFile,
}

// firstBans are the operators' orders at the start. A process that serves without them sends to servers that they have taken out.
func (p *program) firstBans(ctx context.Context) cordon.Set {
	for began := time.Now(); ; {
		set, _, err := p.bans.Read()
		if err == nil {
			return set
		}
		if errors.Is(err, cordon.ErrMalformedFile) || time.Since(began) >= bansWithin {
			log.Printf("name=%s state=bans_not_used err=%q", p.cfg.Name, err)
			return set
		}
		select {
		case <-time.After(bansAgain):
		case <-ctx.Done():
			return set
		}
	}
}

// followBans obeys what another process of this sidecar has been told, until ctx ends.
func (p *program) followBans(ctx context.Context) {
	p.bans.Watch(ctx, p.obeyBans, func(err error) { log.Printf("name=%s state=bans_not_used err=%q", p.cfg.Name, err) })
}

// obeyBans puts the present set in force. Only one at a time may: the later set must not be followed by the earlier one.
func (p *program) obeyBans() {
	p.ordering.Lock()
	defer p.ordering.Unlock()
	if set, _, err := p.bans.Read(); err == nil {
		p.core.SetCordons(set)
	}
}

// Ready, Figures, Disable and Enable make the program admin.Operations.
func (p *program) Ready() bool { return p.core.Ready() && p.front.Taking() }

// Figures are those of this process.
func (p *program) Figures() metrics.Values { return p.book.Read() }

// Disable takes a provider out, for all processes of this sidecar.
func (p *program) Disable(id string) error {
	return p.order("disable", id, (*cordon.Set).Cordon)
}

// Enable puts it back.
func (p *program) Enable(id string) error {
	return p.order("enable", id, (*cordon.Set).Uncordon)
}

// order changes the bans, and returns once the change is in force here.
func (p *program) order(what, id string, how func(*cordon.Set, string, float64, bool) error) error {
	listed, now := p.core.IsListed(id), config.Millis(time.Duration(faultinjection.Wall().UnixNano()))
	set, err := p.bans.Update(func(s *cordon.Set) error { return how(s, id, now, listed) })
	if err != nil {
		log.Printf("name=%s operators=%s target=%q state=refused err=%q", p.cfg.Name, what, id, err)
		return err
	}
	p.obeyBans()
	log.Printf("name=%s operators=%s target=%q state=done out=%d", p.cfg.Name, what, id, len(set.Cordoned))
	return nil
}
