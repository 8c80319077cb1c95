package main

import (
	"context"
	"errors"
	"log"
	"path/filepath"
	"time"

	"plankrouter/internal/config"
	"plankrouter/internal/cordon"
	"plankrouter/internal/faultinjection"
)

const (
	cordonReadPause   = 20 * time.Millisecond // between two attempts to read the file at the start
	cordonReadTimeout = time.Second           // bounds these attempts: after that the process serves without the cordons
)

// newCordonStore returns the store of operators' cordons: a file in TMPDIR, the folder that the platform gives the sidecar's
// processes. Without such a folder or an admin address, the set is kept only in memory.
func newCordonStore(cfg *config.Config, getenv func(string) string) *cordon.Store {
	if folder := getenv("TMPDIR"); folder != "" && cfg.AdminAddr != "" {
		return &cordon.Store{
			Path:       filepath.Join(folder, "plankrouter-bans.json"),
			BeforeStep: func(step cordon.Step, _ string) error { return faultinjection.Inject(cordonFaults[step]) },
		}
	}
	return &cordon.Store{}
}

// cordonFaults maps the steps of reading and writing the cordons' file to the faults that soak tests inject there.
var cordonFaults = map[cordon.Step]faultinjection.Op{
	cordon.StepOpen: faultinjection.ReadFile, cordon.StepRead: faultinjection.ReadFile,
	cordon.StepLock: faultinjection.WriteFile, cordon.StepWrite: faultinjection.WriteFile, cordon.StepSync: faultinjection.SyncFile,
	cordon.StepRename: faultinjection.WriteFile,
}

// readInitialCordons returns the operators' cordons at the start: without them the process sends requests to cordoned
// servers. A file that can't be read delays the start by no more than cordonReadTimeout.
func (p *program) readInitialCordons(ctx context.Context) cordon.Set {
	for startedAt := time.Now(); ; {
		set, _, err := p.cordons.Read()
		if err == nil {
			return set
		}
		if errors.Is(err, cordon.ErrMalformedFile) || time.Since(startedAt) >= cordonReadTimeout {
			log.Printf("name=%s state=cordons_not_used err=%q", p.cfg.Name, err)
			return set
		}
		select {
		case <-time.After(cordonReadPause):
		case <-ctx.Done():
			return set
		}
	}
}

// watchCordons applies cordons that operators set through another process of this sidecar, until ctx ends.
func (p *program) watchCordons(ctx context.Context) {
	p.cordons.Watch(ctx, p.applyCordons, func(err error) { log.Printf("name=%s state=cordons_not_used err=%q", p.cfg.Name, err) })
}

// applyCordons reads the stored set and puts it in force. The mutex keeps an earlier set from replacing a later one.
func (p *program) applyCordons() {
	p.cordonMu.Lock()
	defer p.cordonMu.Unlock()
	if set, _, err := p.cordons.Read(); err == nil {
		p.dispatcher.SetCordons(set)
	}
}

// changeCordons changes the cordons, and returns once the change is in force in this process.
func (p *program) changeCordons(operation, id string, change func(*cordon.Set, string, float64, bool) error) error {
	listed := p.dispatcher.IsListed(id)
	now := config.Millis(time.Duration(faultinjection.Wall().UnixNano()))
	set, err := p.cordons.Update(func(s *cordon.Set) error { return change(s, id, now, listed) })
	if err != nil {
		log.Printf("name=%s cordon=%s server=%q state=refused err=%q", p.cfg.Name, operation, id, err)
		return err
	}
	p.applyCordons()
	log.Printf("name=%s cordon=%s server=%q state=done cordoned=%d", p.cfg.Name, operation, id, len(set.Cordoned))
	return nil
}
