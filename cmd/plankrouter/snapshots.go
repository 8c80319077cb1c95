package main

import (
	"context"
	"errors"
	"io/fs"
	"log"
	"time"

	"golang.org/x/sync/errgroup"

	"plankrouter/internal/faultinjection"
	"plankrouter/internal/hotrestart"
	"plankrouter/internal/snapshot"
)

// restoreState returns what this process can go by from an earlier one: the predecessor's state, or the snapshot that was
// kept if it has handed over none. Nil says that there is nothing but the configuration.
func (p *program) restoreState(predecessor *hotrestart.Successor, now time.Time) *snapshot.Restored {
	p.snapshotWriter = p.newSnapshotWriter()
	var taken *snapshot.Snapshot
	var err error
	origin := p.cfg.Extensions.Snapshot.Path
	switch {
	case predecessor != nil && len(predecessor.State()) > 0:
		origin = "predecessor"
		taken, err = snapshot.Decode(predecessor.State())
	case p.snapshotWriter != nil:
		taken, err = p.snapshotWriter.Store.Read()
	default:
		return nil
	}
	if errors.Is(err, fs.ErrNotExist) { // the first start has none
		return nil
	}
	if err != nil {
		log.Printf("name=%s snapshot=%q state=not_used err=%q", p.cfg.Name, origin, err)
		return nil
	}
	known := snapshot.FromConfig(p.cfg.Known, p.cfg.Discovery, now)
	restored, dropped := snapshot.Restore(taken, known, now, p.validityRules())
	log.Printf("name=%s snapshot=%q state=used age=%s servers=%d learned_servers=%d dropped=%d %s", p.cfg.Name, origin,
		now.Sub(taken.TakenAt).Round(time.Millisecond), len(restored.List.Members), len(restored.Learned.Servers), len(dropped),
		snapshot.Summary(dropped))
	return &restored
}

// newSnapshotWriter returns what keeps snapshots, nil where the configuration names no file for them.
func (p *program) newSnapshotWriter() *snapshot.Writer {
	path := p.cfg.Extensions.Snapshot.Path
	if path == "" {
		return nil
	}
	return &snapshot.Writer{
		Store: &snapshot.Store{
			Path:       path,
			BeforeStep: func(step snapshot.Step, _ string) error { return faultinjection.Inject(snapshotFaults[step]) },
		},
		Take:  p.takeSnapshot,
		Every: p.cfg.SnapshotInterval,
		Seed:  p.cfg.Seed,
	}
}

// validityRules say what this process accepts of a snapshot.
func (p *program) validityRules() snapshot.ValidityRules {
	rules := snapshot.DefaultValidityRules()
	rules.Program = p.cfg.Name
	rules.Deployment = snapshot.Fingerprint(&p.cfg.Settings)
	rules.Discovery = p.cfg.Discovery
	rules.Classes = len(p.cfg.Settings.Classes)
	rules.Tenants = len(p.cfg.Settings.Realms)
	return rules
}

// snapshotFaults are the faults that befall the steps of writing a snapshot in a soak.
var snapshotFaults = map[snapshot.Step]faultinjection.Op{
	snapshot.StepLock: faultinjection.WriteFile, snapshot.StepList: faultinjection.ReadFile,
	snapshot.StepSweep: faultinjection.WriteFile, snapshot.StepCreate: faultinjection.WriteFile, snapshot.StepFill: faultinjection.WriteFile,
	snapshot.StepSync: faultinjection.SyncFile, snapshot.StepRename: faultinjection.WriteFile, snapshot.StepSyncDir: faultinjection.SyncFile,
}

// startSnapshots writes snapshots from now on, if they are to be kept, until writeLastSnapshot is called, which writes one more. A
// disk that fails is logged and ends nothing.
func (p *program) startSnapshots(ctx context.Context, group *errgroup.Group) {
	if p.snapshotWriter == nil {
		return
	}
	ctx, end := context.WithCancel(ctx)
	done := make(chan struct{})
	group.Go(func() error {
		defer close(done)
		// The writer logs all other errors, and the next snapshot may succeed.
		if err := p.snapshotWriter.Run(ctx); errors.Is(err, snapshot.ErrLate) {
			log.Printf("name=%s snapshot=%q state=late err=%q", p.cfg.Name, p.snapshotWriter.Store.Path, err)
		}
		return nil
	})
	p.snapshotMu.Lock()
	defer p.snapshotMu.Unlock()
	p.stopSnapshots = func() { end(); <-done }
}

// writeLastSnapshot returns when the last one has been written, or has had its time.
func (p *program) writeLastSnapshot() {
	p.snapshotMu.Lock()
	defer p.snapshotMu.Unlock()
	if p.stopSnapshots != nil {
		p.stopSnapshots()
		p.stopSnapshots = nil
	}
}

// takeSnapshot returns what the sidecar has learned, or nil if it has stopped or a successor has taken over its file.
func (p *program) takeSnapshot() *snapshot.Snapshot {
	if p.frontend.IsHandingOver() {
		return nil
	}
	taken := p.dispatcher.Snapshot()
	if taken != nil {
		taken.Discovery = p.watch.Address()
	}
	return taken
}
