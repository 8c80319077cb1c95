package recovery

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// KillTarget is the process of a hot restart that is killed.
type KillTarget string

// The processes that can be killed.
const (
	NoKill      KillTarget = ""
	Successor   KillTarget = "successor"
	Predecessor KillTarget = "predecessor"
)

// KillPhase is the phase of a hot restart in which a process is killed.
type KillPhase string

// The phases.
const (
	AtStart KillPhase = "start"   // while the successor gets ready
	Passing KillPhase = "passing" // while connections are passed to the successor
)

// When a kill took effect. It may be later than planned, since the process continues until the signal is delivered.
const (
	beforeReady  = "before the successor was ready"
	whilePassing = "while connections were passed"
	afterDone    = "after the handover was done"
)

// kill is the outcome of a hot restart in which one process was killed.
type kill struct {
	phase      string // when it took effect
	noSurvivor bool   // neither process served, so another one was started
	killedAt   time.Time
	until      time.Time // when one process served alone
}

// handOverWithKill starts a hot restart and kills one of its two processes at the given time after the beginning of the
// phase m. It returns when one process serves: the other one, or, if that does not serve, a new one as a service manager
// would start.
func (c *processChain) handOverWithKill(ctx context.Context, v KillTarget, m KillPhase, after time.Duration) (k kill, err error) {
	from, old := c.log.mark(), c.main
	if err := old.Signal(syscall.SIGUSR2); err != nil {
		return k, fmt.Errorf("signal process %d: %w", old.Pid, err)
	}
	if _, err := c.log.await(ctx, from, old, "handover=begun"); err != nil {
		return k, err
	}
	next, err := c.successorOf(ctx, from, old)
	if err != nil {
		return k, err
	}
	if m == Passing {
		if _, err := c.log.await(ctx, from, old, "handover=passing"); err != nil {
			return k, err
		}
	}
	if err := fakes.Pause(ctx, after); err != nil {
		return k, err
	}
	k.killedAt = time.Now()
	if v == Successor {
		next.kill()
		err = c.withoutSuccessor(ctx, from, next, &k)
	} else {
		old.kill()
		err = c.withoutPredecessor(ctx, from, next, &k)
	}
	if err == nil && k.noSurvivor {
		err = c.start(ctx)
	}
	k.until = time.Now()
	return k, err
}

// successorOf waits for the successor that p starts after the signal at position from of the log. The successor logs nothing
// before it is ready, so it is searched for among p's children.
func (c *processChain) successorOf(ctx context.Context, from int, p *process) (*process, error) {
	for until := time.Now().Add(maxAwait); time.Now().Before(until); {
		if pid := childOf(p.Pid); pid != 0 {
			return c.byPid(pid)
		}
		if text, ok := c.log.lookup(from, "handover=passing"); ok { // the handover may already be complete
			return c.successor(text)
		}
		if err := fakes.Pause(ctx, time.Millisecond); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("process %d (%s) has started no successor", p.Pid, p.status())
}

// withoutSuccessor waits until the predecessor serves alone again or, if the handover was done before the kill, until both
// processes have exited.
func (c *processChain) withoutSuccessor(ctx context.Context, from int, next *process, k *kill) error {
	old := c.main
	text, err := c.log.await(ctx, from, old, "handover=failed", "handover=lost")
	switch {
	case err == nil && strings.Contains(text, "handover=failed"):
		k.phase = beforeReady
	case err == nil:
		k.phase = whilePassing
	case old.running() || old.fault() != nil:
		return err
	default:
		k.phase, k.noSurvivor = afterDone, true
		next.watch(c.log)
		return awaitExit(ctx, next)
	}
	return nil
}

// withoutPredecessor waits until the successor serves alone or, if it was not ready at the kill, until both processes have
// exited.
func (c *processChain) withoutPredecessor(ctx context.Context, from int, next *process, k *kill) error {
	if err := awaitExit(ctx, c.main); err != nil {
		return err
	}
	next.watch(c.log)
	completion, err := c.log.await(ctx, from, next, "handover=complete")
	switch {
	case completion != "":
		c.setMain(next)
		k.phase = whilePassing
		if _, done := c.log.lookup(from, "handover=done"); done {
			k.phase = afterDone
		}
	case next.running():
		return err
	default: // it has exited, because it needs its predecessor until it is ready
		k.phase, k.noSurvivor = beforeReady, true
	}
	return nil
}
