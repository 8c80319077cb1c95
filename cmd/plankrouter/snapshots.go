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

// restoreState returns the usable part of the state of an earlier process: of the predecessor or, if there is none or it has
// handed over no state, of the stored snapshot. It returns nil if this process starts from its configuration alone.
func (p *program) restoreState(predecessor *hotrestart.Successor, now time.Time) *snapshot.Restored {
	p.snapshotWriter = p.newSnapshotWriter()
	var stored *snapshot.Snapshot
	var err error
	origin := p.cfg.Extensions.Snapshot.Path
	switch {
	case predecessor != nil && len(predecessor.State()) > 0:
		origin = "predecessor"
		stored, err = snapshot.Decode(predecessor.State())
	case p.snapshotWriter != nil:
		stored, err = p.snapshotWriter.Store.Read()
	default:
		return nil
	}
	if errors.Is(err, fs.ErrNotExist) { // at the first start
		return nil
	}
	if err != nil {
		log.Printf("name=%s snapshot=%q state=not_used err=%q", p.cfg.Name, origin, err)
		return nil
	}
	known := snapshot.FromEndpoints(p.cfg.Known, p.cfg.Discovery, now)
	restored, dropped := snapshot.Restore(stored, known, now, p.validityRules())
	log.Printf("name=%s snapshot=%q state=used age=%s servers=%d learned_servers=%d dropped=%d %s", p.cfg.Name, origin,
		now.Sub(stored.TakenAt).Round(time.Millisecond), len(restored.List.Members), len(restored.Learned.Servers), len(dropped),
		snapshot.Summary(dropped))
	return &restored
}

// newSnapshotWriter returns the writer of snapshots, nil if the configuration names no file for them.
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
		Take:     p.takeSnapshot,
		Interval: p.cfg.SnapshotInterval,
		Seed:     p.cfg.Seed,
	}
}

// validityRules returns the rules for what this process accepts from a snapshot.
func (p *program) validityRules() snapshot.ValidityRules {
	rules := snapshot.DefaultValidityRules()
	rules.Program = p.cfg.Name
	rules.Deployment = snapshot.Fingerprint(&p.cfg.Settings)
	rules.Discovery = p.cfg.Discovery
	rules.Classes = len(p.cfg.Settings.Classes)
	rules.Tenants = len(p.cfg.Settings.Realms)
	return rules
}

// snapshotFaults maps the steps of writing a snapshot to the faults that soak tests inject there.
var snapshotFaults = map[snapshot.Step]faultinjection.Op{
	snapshot.StepLock: faultinjection.WriteFile, snapshot.StepListLeftovers: faultinjection.ReadFile,
	snapshot.StepRemoveLeftover: faultinjection.WriteFile, snapshot.StepCreate: faultinjection.WriteFile, snapshot.StepWrite: faultinjection.WriteFile,
	snapshot.StepSync: faultinjection.SyncFile, snapshot.StepRename: faultinjection.WriteFile, snapshot.StepSyncDir: faultinjection.SyncFile,
}

// startSnapshots writes snapshots from now on, if they are configured, until writeLastSnapshot is called, which writes one
// more. A disk error is logged and stops nothing.
func (p *program) startSnapshots(ctx context.Context, group *errgroup.Group) {
	if p.snapshotWriter == nil {
		return
	}
	ctx, end := context.WithCancel(ctx)
	done := make(chan struct{})
	group.Go(func() error {
		defer close(done)
		// The writer logs all other errors, and the next snapshot may succeed.
		if err := p.snapshotWriter.Run(ctx); errors.Is(err, snapshot.ErrLastWriteTimeout) {
			log.Printf("name=%s snapshot=%q state=late err=%q", p.cfg.Name, p.snapshotWriter.Store.Path, err)
		}
		return nil
	})
	p.snapshotMu.Lock()
	defer p.snapshotMu.Unlock()
	p.stopSnapshots = func() { end(); <-done }
}

// writeLastSnapshot writes the last snapshot, and returns when that is done or has timed out.
func (p *program) writeLastSnapshot() {
	p.snapshotMu.Lock()
	defer p.snapshotMu.Unlock()
	if p.stopSnapshots != nil {
		p.stopSnapshots()
		p.stopSnapshots = nil
	}
}

// takeSnapshot returns the state that the sidecar has learned. It returns nil if the dispatcher has stopped, and during a
// handover: the successor writes the snapshot file then.
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
