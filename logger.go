package plankrouter

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
)

// maxQueuedLines is the largest number of log lines that are queued for an application's logger; further lines are dropped.
const maxQueuedLines = 256

// logger passes log lines to an application's *slog.Logger from a goroutine of its own, so that a handler that is slow, panics
// or calls the Balancer blocks nothing else.
type logger struct {
	lines chan string  // nil = logging is off
	lost  atomic.Int64 // number of lines dropped, or lost in a handler that panicked
}

func newLogger(ctx context.Context, to *slog.Logger, name string) *logger {
	l := new(logger)
	if to == nil {
		return l
	}
	if name != "" {
		to = to.With("balancer", name)
	}
	l.lines = make(chan string, maxQueuedLines)
	go l.run(ctx, to)
	return l
}

func (l *logger) run(ctx context.Context, to *slog.Logger) {
	ended := false
	defer func() {
		if !ended { // the application's handler called runtime.Goexit, as testing's FailNow does
			l.lost.Add(1)
			go l.run(ctx, to)
		}
	}()
	for {
		select {
		case line := <-l.lines:
			l.deliver(to, line)
		case <-ctx.Done():
			ended = true
			return
		}
	}
}

func (l *logger) deliver(to *slog.Logger, line string) {
	defer func() {
		if recover() != nil {
			l.lost.Add(1)
		}
	}()
	to.Info(line)
}

func (l *logger) printf(format string, args ...any) {
	if l.lines == nil {
		return
	}
	select {
	case l.lines <- fmt.Sprintf(format, args...):
	default:
		l.lost.Add(1)
	}
}
