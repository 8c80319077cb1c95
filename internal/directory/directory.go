// Package directory follows the directory's list of providers by its watch.
package directory

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"plankrouter/internal/config"
	"plankrouter/internal/http1"
	"plankrouter/internal/sockets"
)

const (
	wait       = 20 * time.Second // for news, as the directory is asked to
	patience   = 4 * time.Second  // beyond that wait, before the call has failed
	dialWithin = 1 * time.Second
	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second
)

// Watch is the standing call to the directory.
type Watch struct {
	Budget *sockets.Budget
	Told   func(config.List) // takes each answer that tells anything, in order

	Answers, Failures atomic.Int64

	mu      sync.Mutex
	address string             // where the next call goes
	leave   context.CancelFunc // ends the present one; nil = none

	at       string // where the present call goes
	revision uint64
	whole    bool // the next call asks for the whole list
	conn     *sockets.Socket
	br       *bufio.Reader
}

// Move sends the watch to address, at once: what another directory counts as told is not what this one does, so the
// first call there asks for the whole list.
func (w *Watch) Move(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	w.address = address
	if w.leave != nil {
		w.leave()
	}
}

// stay returns a context that ends when the watch is to move, having moved it if it was.
func (w *Watch) stay(ctx context.Context) (context.Context, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, w.leave = context.WithCancel(ctx)
	moved := w.at != w.address
	w.at = w.address
	return ctx, moved
}

// Run watches from revision on until ctx ends; Move, called before, says where.
func (w *Watch) Run(ctx context.Context, revision uint64) error {
	w.revision, w.whole, w.at = revision, revision == 0, w.address
	defer w.hangUp()
	for backoff := backoffMin; ctx.Err() == nil; {
		here, moved := w.stay(ctx)
		if moved {
			w.hangUp()
			w.whole, backoff = true, backoffMin
		}
		err := w.call(here)
		if here.Err() == nil && err == nil {
			w.Answers.Add(1)
			backoff = backoffMin
			w.leave()
			continue // at once: a watch goes on only if the next call comes within 200 ms
		}
		if here.Err() == nil {
			w.Failures.Add(1)
			log.Printf("directory=%s state=failed err=%q retry_within=%s", w.at, err, backoff)
			w.hangUp()
			w.whole = true // changes may have been missed
			select {
			case <-here.Done():
			case <-time.After(backoff/2 + rand.N(backoff/2)):
			}
			backoff = min(2*backoff, backoffMax)
		}
		w.leave()
	}
	return nil
}

func (w *Watch) hangUp() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// target is the next call's.
func (w *Watch) target() string {
	if w.whole {
		return http1.PathList
	}
	return http1.PathList + "?index=" + strconv.FormatUint(w.revision, 10) +
		"&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
}

func (w *Watch) call(ctx context.Context) error {
	if w.conn == nil {
		var err error
		if w.conn, err = w.Budget.Dial(ctx, w.at, dialWithin); err != nil {
			w.conn = nil
			return err
		}
		w.br = http1.NewReader(w.conn)
	}
	conn := w.conn
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	within := patience
	if !w.whole {
		within += wait
	}
	if err := w.conn.SetDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	if _, err := w.conn.Write(http1.AppendRequest(nil, "GET", w.target(), w.at, nil, nil)); err != nil {
		return err
	}
	resp, err := http1.ReadResponse(w.br, func(bool) {})
	if err != nil {
		return err
	}
	if resp.Status != 200 {
		return fmt.Errorf("status %d", resp.Status)
	}
	list, faults, err := config.ParseList(resp.Body)
	if err != nil {
		return err
	}
	for _, fault := range faults { // one bad line must not hide the others
		log.Printf("directory=%s state=line_skipped err=%q", w.at, fault)
	}
	if w.whole && !list.Complete {
		return errors.New("asked for the whole list, got a part")
	}
	w.whole, w.revision = false, list.Revision
	if list.Complete || len(list.Members) > 0 {
		w.Told(list)
	}
	if resp.Close {
		w.hangUp()
	}
	return nil
}
