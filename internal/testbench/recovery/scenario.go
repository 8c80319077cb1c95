package recovery

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"plankrouter/internal/testbench/fakes"
)

const (
	loseResponsesEvery = 500 * time.Millisecond // interval at which releaseHidden loses responses
	silentFor          = 4 * time.Second        // how long silence makes servers unreachable
	downFor            = 8 * time.Second        // how long discoveryDown takes discovery down
	snapshotName       = "learned.snapshot"
	snapshotMs         = 500 // interval between snapshots, in milliseconds

	// Between SIGTERM and SIGKILL the platform grants the longest deadline, capped at maxDeadline, plus killAfter.
	maxDeadline = 3 * time.Second
	killAfter   = 700 * time.Millisecond
)

// Scenario is an event that affects a fleet or a sidecar.
type Scenario struct {
	Name  string
	About string // short description

	event   func(context.Context, *rig) error
	after   time.Duration                         // duration of load from the event on
	prepare func(*rig)                            // called before the load; nil = none
	edit    func(dir string) func(map[string]any) // returns a change of the configuration; nil = none
	strict  bool                                  // no request may be lost
}

// Scenarios returns all scenarios, in the order of the report.
func Scenarios() []Scenario {
	return []Scenario{
		{
			Name: "release-hidden", About: "every provider is replaced while open connections to the directory lose responses",
			event: releaseHidden, after: 11 * time.Second,
		},
		{Name: "release-told", About: "the same, while the directory sends all changes", event: releaseAnnounced, after: 11 * time.Second},
		{
			Name: "silence", About: "a quarter of the machines vanish for 4 s and come back cold",
			event: silence, after: 8 * time.Second,
		},
		{
			Name: "restart", About: "SIGTERM; the next process starts when the first one may be killed",
			event: restart, after: 7 * time.Second,
		},
		{Name: "crash", About: "SIGKILL; the next process starts at once", event: crash, after: 4 * time.Second},
		{
			Name: "handover", About: "SIGUSR2: a successor takes over",
			event: handOver, after: 4 * time.Second, strict: true,
		},
		{
			Name: "start-cold", About: "a crash while some providers fail; the next process has no snapshot",
			event: startCold, after: 4 * time.Second, prepare: failSomeServers, edit: enableSnapshot,
		},
		{
			Name: "start-from-snapshot", About: "the same; the next process has a snapshot",
			event: crash, after: 4 * time.Second, prepare: failSomeServers, edit: enableSnapshot,
		},
		{
			Name: "directory-down", About: "the directory is down for 8 s during a release, then lists all changes",
			event: discoveryDown, after: 11 * time.Second,
		},
	}
}

// releaseAnnounced performs a release while discovery works.
func releaseAnnounced(ctx context.Context, r *rig) error { return r.release(ctx, r.setup.Servers) }

// releaseHidden performs a release during which, every loseResponsesEvery, the connections to discovery that are open then
// lose all further responses. New connections work until the next time.
func releaseHidden(ctx context.Context, r *rig) error {
	released := make(chan error, 1)
	go func() { released <- r.release(ctx, r.setup.Servers) }()
	for {
		r.fleet.Discovery.DropResponsesOnOpenConns()
		select {
		case err := <-released:
			return err
		case <-time.After(loseResponsesEvery):
		}
	}
}

// silence makes the faulty servers unreachable for silentFor, and then restarts them.
func silence(ctx context.Context, r *rig) error {
	for _, p := range r.faultyServers() {
		if err := p.SetSilent(true); err != nil {
			return err
		}
	}
	if err := fakes.Pause(ctx, silentFor); err != nil {
		return err
	}
	var back []fakes.Endpoint
	for _, p := range r.faultyServers() {
		p.Kill()
		if err := p.Start(""); err != nil {
			return err
		}
		back = append(back, p.Endpoint())
	}
	r.fleet.Discovery.Change(back...)
	return nil
}

// restart terminates the sidecar and starts the next process when the platform may kill the first one.
func restart(ctx context.Context, r *rig) error {
	var longest time.Duration
	for _, c := range r.setup.classes() {
		longest = max(longest, c.Deadline)
	}
	if err := r.processes.main.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("signal process %d: %w", r.processes.main.Pid, err)
	}
	if err := fakes.Pause(ctx, min(longest, maxDeadline)+killAfter); err != nil {
		return err
	}
	return crash(ctx, r) // the next process starts only now even if the first one exited earlier
}

// crash kills the sidecar and starts another process at once.
func crash(ctx context.Context, r *rig) error {
	r.processes.main.kill()
	if err := awaitExit(ctx, r.processes.main); err != nil {
		return err
	}
	return r.startAgain(ctx)
}

// startCold is like crash, without a snapshot for the next process.
func startCold(ctx context.Context, r *rig) error {
	r.processes.main.kill()
	if err := awaitExit(ctx, r.processes.main); err != nil {
		return err
	}
	if err := os.Remove(filepath.Join(r.setup.Dir, snapshotName)); err != nil && !os.IsNotExist(err) {
		return err
	}
	return r.startAgain(ctx)
}

// handOver performs a hot restart.
func handOver(ctx context.Context, r *rig) error {
	_, err := r.processes.handOver(ctx)
	return err
}

// discoveryDown takes discovery down for downFor, and replaces the first quarter of the servers during that time.
func discoveryDown(ctx context.Context, r *rig) error {
	if err := r.fleet.Discovery.SetDown(true); err != nil {
		return err
	}
	back := time.Now().Add(downFor)
	if err := fakes.Pause(ctx, time.Second); err != nil {
		return err
	}
	if err := r.release(ctx, len(r.faultyServers())); err != nil {
		return err
	}
	if err := fakes.Pause(ctx, time.Until(back)); err != nil {
		return err
	}
	return r.fleet.Discovery.SetDown(false)
}

// failSomeServers makes a quarter of the servers fail nine of ten requests, and respond quickly. A sidecar learns of the
// failures only by sending requests.
func failSomeServers(r *rig) {
	for _, p := range r.faultyServers() {
		p.SetBehaviour(fakes.Behaviour{FailFraction: 0.9, Slowdown: 0.3})
	}
}

// enableSnapshot returns a change of the configuration that enables snapshots.
func enableSnapshot(dir string) func(map[string]any) {
	return func(document map[string]any) {
		snapshot := map[string]any{"path": filepath.Join(dir, snapshotName), "every_ms": snapshotMs}
		document["plankrouter"] = map[string]any{"snapshot": snapshot}
	}
}
