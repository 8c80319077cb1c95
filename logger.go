package plankrouter

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
)

// maxWaitingLines is how many log lines may wait for an application's logger.
const maxWaitingLines = 256

// logger passes log lines on to an application's *slog.Logger from a goroutine of its own: one that is slow, panics or calls
// back holds up nothing.
type logger struct {
	lines chan string // nil = nobody listens
	lost  atomic.Int64
}

func newLogger(ctx context.Context, to *slog.Logger, name string) *logger {
	l := new(logger)
	if to == nil {
		return l
	}
	if name != "" {
		to = to.With("balancer", name)
	}
	l.lines = make(chan string, maxWaitingLines)
	go l.run(ctx, to)
	return l
}

func (l *logger) run(ctx context.Context, to *slog.Logger) {
	ended := false
	defer func() {
		if !ended { // the application's handler has ended this goroutine, as a test's FailNow does
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
