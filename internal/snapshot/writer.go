package snapshot

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	jitterShare      = 0.1 // of an interval, by which it may be longer or shorter: sidecars must not all write at once
	maxBackoff       = 16  // intervals between two attempts while the disk fails
	lastWriteTimeout = time.Second
)

// errNothingToWrite is what write says when there was nothing to write.
var errNothingToWrite = errors.New("nothing to write")

// ErrLastWriteTimeout means that the last snapshot was not written in time. The disk may still be at it.
var ErrLastWriteTimeout = errors.New("snapshot: the last one was not written in time")

// Writer writes a snapshot now and then. Fields are set before Run.
type Writer struct {
	Store    *Store
	Take     func() *Snapshot // called by a goroutine of the Writer's, one at a time; nil = nothing to write
	Interval time.Duration    // between two, more than 0
	Seed     uint64
	Logf     func(string, ...any) // nil = log.Printf

	Written, Failed, Skipped atomic.Int64 // Skipped: the earlier one was still being written

	rng      *rand.Rand
	failures int // in a row
}

// Run takes and writes snapshots until ctx ends, then a last one, whose error it returns. It returns ErrLate if that
// takes longer than a second, or is not begun by then because the disk hangs in an earlier one; the goroutine that waits
// for the disk is then left behind. The first failure is logged, and the first success after it.
func (w *Writer) Run(ctx context.Context) error {
	if w.Interval <= 0 {
		return fmt.Errorf("snapshot: Writer.Every: %v is not positive", w.Interval)
	}
	w.rng = rand.New(rand.NewPCG(w.Seed, 0x51a95707))
	done, busy := make(chan error, 1), false
	write := func() {
		busy = true
		go func() { done <- w.write() }()
	}
	alarm := time.NewTimer(w.nextInterval())
	defer alarm.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case err := <-done:
			busy = false
			if w.record(err) != nil {
				alarm.Reset(w.nextInterval())
			}
		case <-alarm.C:
			if alarm.Reset(w.nextInterval()); busy {
				w.Skipped.Add(1)
				continue
			}
			write()
		}
	}
	limit := time.NewTimer(lastWriteTimeout)
	defer limit.Stop()
	for last := false; ; last = true {
		if busy {
			select {
			case err := <-done:
				if err = w.record(err); last {
					return err
				}
			case <-limit.C:
				return ErrLastWriteTimeout
			}
		}
		write()
	}
}

// nextInterval is the time to the next snapshot, twice as long after each failure.
func (w *Writer) nextInterval() time.Duration {
	every := float64(w.Interval) * float64(min(maxBackoff, 1<<min(w.failures, 10)))
	return time.Duration(every * (1 + jitterShare*(2*w.rng.Float64()-1)))
}

func (w *Writer) write() error {
	s := w.Take()
	if s == nil {
		return errNothingToWrite
	}
	if err := w.Store.Write(s); err != nil {
		return err
	}
	w.Written.Add(1)
	return nil
}

// record counts an outcome, logs it if it is a change, and returns it if it is an error.
func (w *Writer) record(err error) error {
	if errors.Is(err, errNothingToWrite) {
		return nil
	}
	logf := w.Logf
	if logf == nil {
		logf = log.Printf
	}
	if err != nil {
		w.Failed.Add(1)
		if w.failures++; w.failures == 1 {
			logf("snapshot=%s state=failed err=%q", w.Store.Path, err)
		}
		return err
	}
	if w.failures > 0 {
		logf("snapshot=%s state=written_again failures=%d", w.Store.Path, w.failures)
	}
	w.failures = 0
	return nil
}
