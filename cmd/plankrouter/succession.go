package main

import (
	"context"
	"errors"
	"io/fs"
	"log"
	"net"
	"os"
	"plankrouter/internal/faultinjection"
	"plankrouter/internal/hotrestart"
	"plankrouter/internal/snapshot"
	"plankrouter/internal/transient"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// meetAgain is the pause after an accept that has failed.
const meetAgain = 20 * time.Millisecond

// meetWithin bounds the wait for a meeting place that can't be had for a moment.
const meetWithin = 2 * time.Second

// firstListWithin is how long the directory has, before a successor takes over with the list that it was given.
const firstListWithin = 2 * time.Second

// before returns what this process can go by from an earlier one: the predecessor's state, or the snapshot that was
// kept if it has handed over none. Nil says that there is nothing but the configuration.
func (p *program) before(from *hotrestart.Successor, now time.Time) *snapshot.Restored {
	cfg := p.cfg
	if cfg.Own.Snapshot.Path != "" {
		p.writer = &snapshot.Writer{
			Store: &snapshot.Store{
				Path:   cfg.Own.Snapshot.Path,
				Before: func(step snapshot.Step, _ string) error { return faultinjection.Inject(snapshotFaults[step]) },
			}, Take: p.take, Every: cfg.SnapshotEvery,
			Seed: cfg.Seed,
		}
	}
	var snap *snapshot.Snapshot
	var err error
	origin := cfg.Own.Snapshot.Path
	switch {
	case from != nil && len(from.State()) > 0:
		origin = "predecessor"
		snap, err = snapshot.Decode(from.State())
	case p.writer != nil:
		snap, err = p.writer.Store.Read()
	default:
		return nil
	}
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) { // the first start has none
			log.Printf("name=%s snapshot=%q state=not_used err=%q", cfg.Name, origin, err)
		}
		return nil
	}
	rules := snapshot.DefaultValidityRules()
	rules.Program, rules.Deployment, rules.Directory = cfg.Name, snapshot.Fingerprint(&cfg.Settings), cfg.Discovery
	rules.Classes, rules.Tenants = len(cfg.Settings.Classes), len(cfg.Settings.Realms)
	begin, dropped := snapshot.Restore(snap, snapshot.FromConfig(cfg.Known, cfg.Discovery, now), now, rules)
	log.Printf("name=%s snapshot=%q state=used age=%s providers=%d learned_of=%d left_out=%d %s", cfg.Name, origin,
		now.Sub(snap.TakenAt).Round(time.Millisecond), len(begin.List.Members), len(begin.Learned.Servers), len(dropped),
		snapshot.Summary(dropped))
	return &begin
}

// snapshotFaults are the faults that befall the steps of writing a snapshot in a soak.
var snapshotFaults = map[snapshot.Step]faultinjection.Op{
	snapshot.StepLock: faultinjection.WriteFile, snapshot.StepList: faultinjection.ReadFile,
	snapshot.StepSweep: faultinjection.WriteFile, snapshot.StepCreate: faultinjection.WriteFile, snapshot.StepFill: faultinjection.WriteFile,
	snapshot.StepSync: faultinjection.SyncFile, snapshot.StepRename: faultinjection.WriteFile, snapshot.StepSyncDir: faultinjection.SyncFile,
}

// keepSnapshots writes snapshots from now on, if they are to be kept, until lastSnapshot is called, which writes one more. A
// disk that fails is logged and ends nothing.
func (p *program) keepSnapshots(ctx context.Context, group *errgroup.Group) {
	if p.writer == nil {
		return
	}
	ctx, end := context.WithCancel(ctx)
	done := make(chan struct{})
	group.Go(func() error {
		defer close(done)
		if err := p.writer.Run(ctx); errors.Is(err, snapshot.ErrLate) {
			log.Printf("name=%s snapshot=%q state=late err=%q", p.cfg.Name, p.writer.Store.Path, err)
		}
		return nil
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endSnapshots = func() { end(); <-done }
}

// lastSnapshot returns when the last one has been written, or has had its time.
func (p *program) lastSnapshot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endSnapshots != nil {
		p.endSnapshots()
		p.endSnapshots = nil
	}
}

// take returns what the sidecar has learned, or nil if it has stopped or a successor has taken over its file.
func (p *program) take() *snapshot.Snapshot {
	if p.front.Passing() {
		return nil
	}
	snap := p.core.Snapshot()
	if snap != nil {
		snap.Directory = p.watch.Address()
	}
	return snap
}

// inherit makes this process a predecessor's successor: once the directory has answered, or has had its time, it says that
// it is ready, and when it may serve it takes the connections that come.
func (p *program) inherit(ctx context.Context, group *errgroup.Group, from *hotrestart.Successor) error {
	if from == nil {
		notify("READY=1")
		p.succeed(ctx, group)
		return nil
	}
	select {
	case <-p.watch.FirstUpdate():
	case <-time.After(firstListWithin):
	case <-from.Cancelled():
	case <-ctx.Done():
	}
	if err := from.Ready(); err != nil && from.TookOver() {
		log.Printf("name=%s handover=alone err=%q", p.cfg.Name, err)
		p.succeed(ctx, group)
		return nil
	} else if err != nil {
		return err
	}
	log.Printf("name=%s handover=taken_over predecessor=%q", p.cfg.Name, from.Hello().Name)
	p.core.SetOpenInPredecessor(from.Open())
	if from.TookOver() {
		p.budget.Limit(p.share.places - p.share.places/shareIdle)
	}
	from.Stopped = func(word hotrestart.Stop) {
		put(p.signals.stop, received{Signal: syscall.SIGTERM, earliest: word.At, read: time.Now(), kill: word.Kill})
	}
	from.Reloaded = func(word hotrestart.Reload) {
		p.signals.addReload(received{Signal: syscall.SIGHUP, earliest: word.At, read: time.Now()})
	}
	done := p.front.Expect()
	group.Go(func() error {
		defer done()
		err := from.ReceiveConns(ctx, func(c *net.TCPConn, note []byte) { p.front.Adopt(c, note) })
		switch {
		case ctx.Err() != nil: // this process is at its end, whatever the other does
		case err == nil || errors.Is(err, hotrestart.ErrGone):
			log.Printf("name=%s handover=complete adopted=%d err=%v", p.cfg.Name, p.front.Adopted.Load(), err)
			p.succeed(ctx, group)
		case from.TookOver(): // the other is as it is, and the platform ends it
			log.Printf("name=%s handover=broken err=%q", p.cfg.Name, err)
			from.Close()
			p.succeed(ctx, group)
		default: // the two have lost each other: the one that has most of it serves on
			log.Printf("name=%s handover=broken err=%q", p.cfg.Name, err)
			from.Close()
			p.front.Drain(p.listener)
		}
		return nil
	})
	return nil
}

// handOver starts a successor and gives it everything, or goes on as if nothing had been.
func (p *program) handOver(ctx context.Context) {
	p.handOverBy(ctx, func(l *net.TCPListener, o hotrestart.Options) (*hotrestart.Predecessor, error) {
		return p.line.Start(ctx, l, o)
	})
}

// handOverBy gives everything to the successor that begin makes ready.
func (p *program) handOverBy(ctx context.Context, begin func(*net.TCPListener, hotrestart.Options) (*hotrestart.Predecessor, error)) {
	l, ok := p.listener.(*net.TCPListener)
	snap := p.take()
	if !ok || snap == nil {
		log.Printf("name=%s handover=refused err=%q", p.cfg.Name, "one is under way, or this process is at its end")
		return
	}
	state, err := snapshot.Encode(snap, 0)
	if err != nil {
		log.Printf("name=%s handover=without_state err=%q", p.cfg.Name, err)
	}
	log.Printf("name=%s handover=begun state_bytes=%d", p.cfg.Name, len(state))
	begun := time.Now()
	to, err := begin(l, hotrestart.Options{
		ReadyWithin: p.cfg.ReadyWithin, Name: p.cfg.Name, Address: p.cfg.Listen,
		State: state, Env: p.environment(), Open: p.core.OpenRequests,
	})
	if err != nil {
		log.Printf("name=%s handover=failed err=%q", p.cfg.Name, err)
		return
	}
	log.Printf("name=%s handover=passing successor=%d", p.cfg.Name, to.Pid())
	if meeting(p.getenv) != "" {
		p.budget.Limit(p.share.places / shareIdle)
		defer p.budget.Limit(p.share.places) // if it serves on
	}
	left := p.front.HandOver(func(c net.Conn, note []byte) error { return to.TransferConn(c.(syscall.Conn), note) })
	l.SetDeadline(time.Unix(1, 0)) // accepts no more, but keeps the listener
	passed := p.passStopOn(to, l)
	select {
	case <-left:
		p.passReloadOn(to, begun)
		if err := to.Complete(); err == nil {
			log.Printf("name=%s handover=done successor=%d", p.cfg.Name, to.Pid())
			passed()
			p.stop()
			return
		}
	case <-to.Lost():
	}
	log.Printf("name=%s handover=lost successor=%d", p.cfg.Name, to.Pid())
	l.SetDeadline(time.Time{})
	p.front.Resume()
}

// passStopOn has the successor told of a word to stop that comes when it is too late to call the handover off: the service is meant. The
// listener is the successor's alone from then on: as long as this process kept a copy, what came after the successor has closed its own
// would be accepted by the kernel, and by nobody else. What passStopOn returns is called once the handover is done, and sees to it that a
// word that has come by then has got through.
func (p *program) passStopOn(to *hotrestart.Predecessor, l net.Listener) (done func()) {
	if meeting(p.getenv) != "" { // the platform tells each process by itself
		return func() {}
	}
	ended := make(chan struct{})
	cancel := context.AfterFunc(p.told, func() {
		defer close(ended)
		word := p.stopOrder.Load()
		if word == nil { // the process ends without having been told to
			return
		}
		err := to.Stop(hotrestart.Stop{At: word.at, Kill: word.kill})
		log.Printf("name=%s handover=told_to_stop successor=%d err=%v", p.cfg.Name, to.Pid(), err)
		if err != nil { // it reads no more of this process: it counts from when it gets the signal
			syscall.Kill(to.Pid(), syscall.SIGTERM)
			return
		}
		l.Close()
	})
	return func() {
		if !cancel() {
			<-ended
		}
	}
}

// passReloadOn has the successor read its configuration, if this process was told to since the handover began: the successor may have read
// it before.
func (p *program) passReloadOn(to *hotrestart.Predecessor, begun time.Time) {
	last := p.signals.lastReload.Load()
	if meeting(p.getenv) != "" || last == nil || last.read.Before(begun) { // the platform tells each process by itself
		return
	}
	log.Printf("name=%s handover=told_to_reload successor=%d err=%v", p.cfg.Name, to.Pid(), to.Reload(hotrestart.Reload{At: last.earliest}))
}

// environment is the successor's: this process's, but for a directory that a reload has replaced.
func (p *program) environment() []string {
	env := os.Environ()
	if p.moved.Load() {
		env = slices.DeleteFunc(env, func(kv string) bool { return strings.HasPrefix(kv, "GW_DISCOVERY=") })
	}
	return env
}

// notify tells the service manager, where there is one.
func notify(state string) {
	if err := hotrestart.Notify(state); err != nil {
		log.Printf("notify=%q err=%q", state, err)
	}
}

// shareIdle: of two processes the one that does not serve has one in so many of the sockets.
const shareIdle = 4

// meeting is the folder in which two processes of this sidecar meet, where the platform starts the second one; "" = it does not.
func meeting(getenv func(string) string) string {
	if getenv(hotrestart.ListenVariable) == "" {
		return ""
	}
	return getenv("TMPDIR")
}

// succeed makes this process the sidecar's only one, and the one that a second process finds.
func (p *program) succeed(ctx context.Context, group *errgroup.Group) {
	p.budget.Limit(p.share.places)
	p.core.SetOpenInPredecessor(nil)
	folder := meeting(p.getenv)
	if folder == "" {
		return
	}
	var l *net.UnixListener
	err := transient.Retry(meetWithin, func() (err error) {
		l, err = hotrestart.Listen(folder)
		return err
	})
	if err != nil {
		log.Printf("name=%s handover=not_found_by_others err=%q", p.cfg.Name, err)
		return
	}
	group.Go(func() error {
		defer context.AfterFunc(ctx, func() { l.Close() })()
		acceptMeetings(ctx, l.AcceptUnix, func(c *net.UnixConn) {
			p.handOverBy(ctx, func(own *net.TCPListener, o hotrestart.Options) (*hotrestart.Predecessor, error) {
				live, cancel := context.WithCancel(ctx)
				defer cancel()
				defer context.AfterFunc(p.told, cancel)() // a word to stop calls off what is not ready
				p.budget.Limit(p.share.places - p.share.places/shareIdle)
				to, err := p.line.Meet(live, c, own, o)
				if err != nil {
					p.budget.Limit(p.share.places)
				}
				return to, err
			})
			c.Close()
		})
		return nil
	})
}

// acceptMeetings hands each process that has found this one to meet, until ctx ends.
func acceptMeetings(ctx context.Context, accept func() (*net.UnixConn, error), meet func(*net.UnixConn)) {
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
			case <-time.After(meetAgain):
			case <-ctx.Done():
			}
		}
	}
}
