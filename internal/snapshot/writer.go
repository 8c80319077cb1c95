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
	jitterFraction   = 0.1         // fraction by which an interval varies, so that sidecars don't all write at once
	maxBackoff       = 16          // maximum number of intervals between two attempts while writes fail
	lastWriteTimeout = time.Second // for the last snapshot, written when Run ends
)

// errNothingToWrite is returned by write if Take returned nil.
var errNothingToWrite = errors.New("nothing to write")

// ErrLastWriteTimeout means that the last snapshot was not written in time. The write may still be in progress.
var ErrLastWriteTimeout = errors.New("snapshot: the last snapshot was not written in time")

// Writer writes snapshots periodically. Exported fields are set before Run.
type Writer struct {
	Store    *Store
	Take     func() *Snapshot // returns the snapshot to write, nil = none; called from one goroutine at a time
	Interval time.Duration    // time between two snapshots, more than 0
	Seed     uint64
	Logf     func(string, ...any) // nil = log.Printf

	Written, Failed, Skipped atomic.Int64 // Skipped: not taken because the previous one was still being written

	rng      *rand.Rand
	failures int // consecutive
}

// Run takes and writes snapshots until ctx ends, then a last one, whose error it returns. It returns ErrLastWriteTimeout if
// that takes longer than lastWriteTimeout or can't start within it because the previous write hangs; the goroutine blocked on
// the disk is then abandoned. Run logs the first of consecutive failures and the first success after them.
func (w *Writer) Run(ctx context.Context) error {
	if w.Interval <= 0 {
		return fmt.Errorf("snapshot: Writer.Every: %v is not positive", w.Interval)
	}
	w.rng = rand.New(rand.NewPCG(w.Seed, 0x51a95707))
	done, writing := make(chan error, 1), false
	write := func() {
		writing = true
		go func() { done <- w.write() }()
	}
	timer := time.NewTimer(w.nextInterval())
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case err := <-done:
			writing = false
			if w.recordResult(err) != nil {
				timer.Reset(w.nextInterval())
			}
		case <-timer.C:
			if timer.Reset(w.nextInterval()); writing {
				w.Skipped.Add(1)
				continue
			}
			write()
		}
	}
	limit := time.NewTimer(lastWriteTimeout)
	defer limit.Stop()
	for last := false; ; last = true {
		if writing {
			select {
			case err := <-done:
				if err = w.recordResult(err); last {
					return err
				}
			case <-limit.C:
				return ErrLastWriteTimeout
			}
		}
		write()
	}
}

// nextInterval returns the time to the next snapshot, with jitter and doubled after each failure up to maxBackoff.
func (w *Writer) nextInterval() time.Duration {
	every := float64(w.Interval) * float64(min(maxBackoff, 1<<min(w.failures, 10)))
	return time.Duration(every * (1 + jitterFraction*(2*w.rng.Float64()-1)))
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

// recordResult counts the result of a write, logs a change between success and failure, and returns the error.
func (w *Writer) recordResult(err error) error {
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
