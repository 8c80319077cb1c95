package recovery

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// Victim is which of the two processes of a hot restart is killed.
type Victim string

// The victims.
const (
	Nobody      Victim = ""
	Successor   Victim = "successor"
	Predecessor Victim = "predecessor"
)

// KillPhase is the part of a hot restart in which a process is killed.
type KillPhase string

// The moments.
const (
	AtStart KillPhase = "start"   // while the successor gets ready
	Passing KillPhase = "passing" // while it is given the connections
)

// What a kill turned out to have met: whoever is about to be killed goes on meanwhile.
const (
	beforeReady  = "before the successor was ready"
	whilePassing = "while connections were passed"
	afterDone    = "after the handover was done"
)

// kill is what became of a hot restart of which one process was killed.
type kill struct {
	phase      string
	noSurvivor bool      // nobody was left, so that another process was started
	killedAt   time.Time // of the kill
	until      time.Time // then one process served alone
}

// handOverKilling starts a hot restart and kills one of its two processes a while after the moment's begin. It returns
// when one process serves: the other one, or, if that does not serve, one that is started as a service manager would.
func (l *line) handOverKilling(ctx context.Context, v Victim, m KillPhase, after time.Duration) (k kill, err error) {
	from, old := l.log.mark(), l.main
	if err := old.Signal(syscall.SIGUSR2); err != nil {
		return k, fmt.Errorf("signal process %d: %w", old.Pid, err)
	}
	if _, err := l.log.await(ctx, from, old, "handover=begun"); err != nil {
		return k, err
	}
	next, err := l.successorOf(ctx, from, old)
	if err != nil {
		return k, err
	}
	if m == Passing {
		if _, err := l.log.await(ctx, from, old, "handover=passing"); err != nil {
			return k, err
		}
	}
	if err := fakes.Pause(ctx, after); err != nil {
		return k, err
	}
	k.killedAt = time.Now()
	if v == Successor {
		next.kill()
		err = l.withoutSuccessor(ctx, from, next, &k)
	} else {
		old.kill()
		err = l.withoutPredecessor(ctx, from, next, &k)
	}
	if err == nil && k.noSurvivor {
		err = l.start(ctx)
	}
	k.until = time.Now()
	return k, err
}

// successorOf waits for the successor that p, asked at a mark in the log, starts. It has no word of its own in the log
// before it is ready, so it is looked for among p's children.
func (l *line) successorOf(ctx context.Context, from int, p *process) (*process, error) {
	for until := time.Now().Add(maxAwait); time.Now().Before(until); {
		if pid := childOf(p.Pid); pid != 0 {
			return l.byPid(pid)
		}
		if text, ok := l.log.look(from, "handover=passing"); ok { // all may be over by now
			return l.successor(text)
		}
		if err := fakes.Pause(ctx, time.Millisecond); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("process %d (%s) has started no successor", p.Pid, p.fate())
}

// withoutSuccessor sees the predecessor go on, unless it had been done.
func (l *line) withoutSuccessor(ctx context.Context, from int, next *process, k *kill) error {
	old := l.main
	text, err := l.log.await(ctx, from, old, "handover=failed", "handover=lost")
	switch {
	case err == nil && strings.Contains(text, "handover=failed"):
		k.phase = beforeReady
	case err == nil:
		k.phase = whilePassing
	case old.running() || old.fault() != nil:
		return err
	default:
		k.phase, k.noSurvivor = afterDone, true
		next.watch(l.log)
		return ended(ctx, next)
	}
	return nil
}

// withoutPredecessor sees the successor go on alone, if it had been ready.
func (l *line) withoutPredecessor(ctx context.Context, from int, next *process, k *kill) error {
	if err := ended(ctx, l.main); err != nil {
		return err
	}
	next.watch(l.log)
	completion, err := l.log.await(ctx, from, next, "handover=complete")
	switch {
	case completion != "":
		l.take(next)
		k.phase = whilePassing
		if _, done := l.log.look(from, "handover=done"); done {
			k.phase = afterDone
		}
	case next.running():
		return err
	default: // it has ended without its predecessor, which it needed until it was ready
		k.phase, k.noSurvivor = beforeReady, true
	}
	return nil
}
