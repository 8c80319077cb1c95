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
	muffleEvery  = 500 * time.Millisecond
	silentFor    = 4 * time.Second
	downFor      = 8 * time.Second
	snapshotName = "learned.snapshot"
	snapshotMs   = 500

	// What the platform grants between SIGTERM and SIGKILL: the longest deadline, or this if that is longer, and a bit.
	maxDeadline = 3 * time.Second
	killAfter   = 700 * time.Millisecond
)

// Scenario is something that happens to a fleet or a sidecar.
type Scenario struct {
	Name  string
	About string // in a few words

	event   func(context.Context, *rig) error
	after   time.Duration                         // of load, from the event on
	prepare func(*rig)                            // before the load; nil = nothing
	edit    func(dir string) func(map[string]any) // of the configuration; nil = none
	strict  bool                                  // nothing may be lost
}

// Scenarios returns all of them, in the order in which they are worth reading.
func Scenarios() []Scenario {
	return []Scenario{
		{
			Name: "release-hidden", About: "every provider is replaced while connections to the directory go silent",
			event: releaseHidden, after: 11 * time.Second,
		},
		{Name: "release-told", About: "the same, told", event: releaseAnnounced, after: 11 * time.Second},
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
			Name: "start-cold", About: "a crash with providers that fail; the next process knows nothing",
			event: startCold, after: 4 * time.Second, prepare: someFail, edit: keepSnapshot,
		},
		{
			Name: "start-from-snapshot", About: "the same; the next process has a snapshot",
			event: crash, after: 4 * time.Second, prepare: someFail, edit: keepSnapshot,
		},
		{
			Name: "directory-down", About: "the directory is down for 8 s, misses a release and then tells all",
			event: discoveryDown, after: 11 * time.Second,
		},
	}
}

func releaseAnnounced(ctx context.Context, r *rig) error { return r.release(ctx, r.setup.Servers) }

// releaseHidden loses the answers on every connection that has been open for a moment. New ones are fine.
func releaseHidden(ctx context.Context, r *rig) error {
	released := make(chan error, 1)
	go func() { released <- r.release(ctx, r.setup.Servers) }()
	for {
		r.fleet.Discovery.DropResponsesOnOpenConns()
		select {
		case err := <-released:
			return err
		case <-time.After(muffleEvery):
		}
	}
}

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

func restart(ctx context.Context, r *rig) error {
	var longest time.Duration
	for _, c := range r.setup.classes() {
		longest = max(longest, c.Deadline)
	}
	if err := r.line.main.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("signal process %d: %w", r.line.main.Pid, err)
	}
	if err := fakes.Pause(ctx, min(longest, maxDeadline)+killAfter); err != nil {
		return err
	}
	return crash(ctx, r) // however early the first one has ended, the next one starts only now
}

func crash(ctx context.Context, r *rig) error {
	r.line.main.kill()
	if err := ended(ctx, r.line.main); err != nil {
		return err
	}
	return r.again(ctx)
}

func startCold(ctx context.Context, r *rig) error {
	r.line.main.kill()
	if err := ended(ctx, r.line.main); err != nil {
		return err
	}
	if err := os.Remove(filepath.Join(r.setup.Dir, snapshotName)); err != nil && !os.IsNotExist(err) {
		return err
	}
	return r.again(ctx)
}

func handOver(ctx context.Context, r *rig) error {
	_, err := r.line.handOver(ctx)
	return err
}

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

// someFail makes a part of the fleet answer nine of ten requests with an error, and quickly: only a sidecar that has sent requests knows.
func someFail(r *rig) {
	for _, p := range r.faultyServers() {
		p.SetBehaviour(fakes.Behaviour{FailFraction: 0.9, Slowdown: 0.3})
	}
}

func keepSnapshot(dir string) func(map[string]any) {
	return func(document map[string]any) {
		kept := map[string]any{"path": filepath.Join(dir, snapshotName), "every_ms": snapshotMs}
		document["plankrouter"] = map[string]any{"snapshot": kept}
	}
}
