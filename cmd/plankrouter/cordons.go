package main

import (
	"context"
	"errors"
	"log"
	"path/filepath"
	"plankrouter/internal/config"
	"plankrouter/internal/cordon"
	"plankrouter/internal/faultinjection"
	"time"
)

const (
	cordonReadPause   = 20 * time.Millisecond // between two attempts to read a file that can't be read at the start,
	cordonReadTimeout = time.Second           // which has so long: then service comes first
)

// newCordonStore returns where operators' bans are kept: in the folder that the platform gives the sidecar's processes, where there
// is one.
func newCordonStore(cfg *config.Config, getenv func(string) string) *cordon.Store {
	if folder := getenv("TMPDIR"); folder != "" && cfg.AdminAddr != "" {
		return &cordon.Store{
			Path:       filepath.Join(folder, "plankrouter-bans.json"),
			BeforeStep: func(step cordon.Step, _ string) error { return faultinjection.Inject(cordonFaults[step]) },
		}
	}
	return &cordon.Store{}
}

// cordonFaults are the faults that befall the steps of the bans' file in a soak.
var cordonFaults = map[cordon.Step]faultinjection.Op{
	cordon.StepOpen: faultinjection.ReadFile, cordon.StepRead: faultinjection.ReadFile,
	cordon.StepLock: faultinjection.WriteFile, cordon.StepWrite: faultinjection.WriteFile, cordon.StepSync: faultinjection.SyncFile,
	cordon.StepRename: faultinjection.WriteFile,
}

// readInitialCordons are the operators' orders at the start. A process that serves without them sends to servers that they have taken out.
func (p *program) readInitialCordons(ctx context.Context) cordon.Set {
	for began := time.Now(); ; {
		set, _, err := p.cordons.Read()
		if err == nil {
			return set
		}
		if errors.Is(err, cordon.ErrMalformedFile) || time.Since(began) >= cordonReadTimeout {
			log.Printf("name=%s state=bans_not_used err=%q", p.cfg.Name, err)
			return set
		}
		select {
		case <-time.After(cordonReadPause):
		case <-ctx.Done():
			return set
		}
	}
}

// watchCordons obeys what another process of this sidecar has been told, until ctx ends.
func (p *program) watchCordons(ctx context.Context) {
	p.cordons.Watch(ctx, p.applyCordons, func(err error) { log.Printf("name=%s state=bans_not_used err=%q", p.cfg.Name, err) })
}

// applyCordons puts the present set in force. Only one at a time may: the later set must not be followed by the earlier one.
func (p *program) applyCordons() {
	p.cordonMu.Lock()
	defer p.cordonMu.Unlock()
	if set, _, err := p.cordons.Read(); err == nil {
		p.dispatcher.SetCordons(set)
	}
}

// changeCordons changes the bans, and returns once the change is in force here.
func (p *program) changeCordons(operation, id string, change func(*cordon.Set, string, float64, bool) error) error {
	listed, now := p.dispatcher.IsListed(id), config.Millis(time.Duration(faultinjection.Wall().UnixNano()))
	set, err := p.cordons.Update(func(s *cordon.Set) error { return change(s, id, now, listed) })
	if err != nil {
		log.Printf("name=%s operators=%s target=%q state=refused err=%q", p.cfg.Name, operation, id, err)
		return err
	}
	p.applyCordons()
	log.Printf("name=%s operators=%s target=%q state=done out=%d", p.cfg.Name, operation, id, len(set.Cordoned))
	return nil
}
