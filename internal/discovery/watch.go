// Package discovery follows the list of servers by a watch of the discovery service. It is the edge to that protocol: the list's JSON and
// its requests are known here alone.
package discovery

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/staleness"
	"plankrouter/internal/watchpolicy"
)

// Watch is the standing request to discovery. What to ask and how long to wait for the answer is decided by a watchpolicy.Scheduler.
type Watch struct {
	options Options

	Answers, Failures, FullRefreshes atomic.Int64 // FullRefreshes: complete lists asked for because servers contradict the list

	mu         sync.Mutex
	scheduler  *watchpolicy.Scheduler
	address    string             // where the next poll goes
	cancelPoll context.CancelFunc // ends the present one; nil = none
	source     string             // of the last list
	answered   chan struct{}      // closed by the first answer

	// Of Run alone.
	polledAddress string // where the present poll goes
	revision      uint64
	conn          *sourceConn // nil = none
	reader        *bufio.Reader
}

// Options configure a Watch.
type Options struct {
	Address        string // host:port of discovery
	Watch          watchpolicy.Settings
	Seed           uint64
	Initial        endpoints.List // what it begins with; if it is empty, the first poll asks for the complete list,
	IgnoreRevision bool           // and if the revision of Initial is not one of discovery's
	MaxListBytes   int64          // of an answer; 0 = MaxListBytes(0)
	Budget         *connlimit.Budget
	OnUpdate       func(l endpoints.List, at time.Time) // takes each answer with a complete list or changes, in order, and when its first byte came
	OnValidity     func(staleness.Validity)             // as a poll or a pause before it begins; nil = it is dropped
	Logf           func(format string, args ...any)     // nil = nothing is logged
	Trace          func(format string, args ...any)     // logs a line for every poll; nil = none
}

// New returns a watch that Run begins.
func New(o Options) (*Watch, error) {
	scheduler, err := watchpolicy.New(o.Watch, o.Seed, o.IgnoreRevision || len(o.Initial.Endpoints) == 0)
	if err != nil {
		return nil, fmt.Errorf("watch: %w", err)
	}
	o.MaxListBytes = cmp.Or(o.MaxListBytes, MaxListBytes(0))
	if o.Logf == nil {
		o.Logf = func(string, ...any) {}
	}
	if o.OnValidity == nil {
		o.OnValidity = func(staleness.Validity) {}
	}
	w := &Watch{
		options: o, scheduler: scheduler, answered: make(chan struct{}),
		revision: o.Initial.Revision, address: o.Address, polledAddress: o.Address, source: o.Address,
	}
	initial := o.Initial
	initial.Complete = true
	w.updateListed(initial)
	return w, nil
}

// SetAddress moves the watch to another source, at once. Changes take effect there that this one does not know, so the first poll there
// asks for the complete list.
func (w *Watch) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	w.address = address
	if w.cancelPoll != nil {
		w.cancelPoll()
	}
}

// Address returns the source of the present list.
func (w *Watch) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.source
}

// FirstUpdate is closed by the first answer.
func (w *Watch) FirstUpdate() <-chan struct{} { return w.answered }

// Observe takes evidence of a server. Where several contradict the list at once the present poll is given up for one that asks for the
// complete list. It is safe for concurrent use and does not block.
func (w *Watch) Observe(server string, evidence staleness.Evidence) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.scheduler.Observe(time.Now(), server, evidence) {
		return
	}
	w.FullRefreshes.Add(1)
	if w.cancelPoll != nil {
		w.cancelPoll()
	}
}

// Run watches until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	defer w.closeConn()
	for ctx.Err() == nil {
		pollCtx, poll, validity := w.nextPoll(ctx)
		w.options.OnValidity(validity)
		select {
		case <-pollCtx.Done():
		case <-time.After(poll.Delay): // none after an answer: a watch goes on only if the next poll comes within 200 ms
			if pollCtx.Err() == nil {
				w.poll(pollCtx, poll)
			}
		}
		w.cancelPoll()
	}
	return nil
}

// nextPoll returns the next poll, a context that ends when it is to be given up, and until when the list may be relied on.
func (w *Watch) nextPoll(ctx context.Context) (context.Context, watchpolicy.Poll, staleness.Validity) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, w.cancelPoll = context.WithCancel(ctx)
	if w.polledAddress != w.address {
		w.closeConn()
		w.scheduler.SourceChanged()
		w.polledAddress = w.address
	}
	poll := w.scheduler.Next(time.Now())
	return ctx, poll, w.scheduler.Validity()
}

// poll makes a poll and takes its answer. One that is given up has not failed, but its connection may still bring the answer: it is closed.
func (w *Watch) poll(ctx context.Context, poll watchpolicy.Poll) {
	startedAt := time.Now()
	list, firstByteAt, err := w.fetch(ctx, poll)
	if w.options.Trace != nil {
		w.options.Trace("trace=list whole=%t wait_ms=%d took_ms=%.1f lines=%d ok=%t full=%t", poll.Complete, poll.Wait.Milliseconds(),
			time.Since(startedAt).Seconds()*1e3, len(list.Endpoints), err == nil, errors.Is(err, errRejected))
	}
	switch {
	case err == nil:
		w.handleAnswer(ctx, poll, list, startedAt, firstByteAt)
	case ctx.Err() != nil:
		w.closeConn()
	default:
		w.handleFailure(poll, firstByteAt, err)
	}
}

// handleAnswer notes an answer and passes the list on.
func (w *Watch) handleAnswer(ctx context.Context, poll watchpolicy.Poll, list endpoints.List, startedAt, firstByteAt time.Time) {
	w.mu.Lock()
	w.scheduler.Responded(poll, max(0, firstByteAt.Sub(startedAt))) // what follows its first byte may take long and says nothing of discovery
	w.updateListed(list)
	w.source = w.polledAddress
	w.mu.Unlock()
	if w.Answers.Add(1) == 1 {
		close(w.answered)
	}
	if ctx.Err() != nil { // given up as it was answered: the connection is closed
		w.closeConn()
	}
	w.revision = list.Revision
	if list.Complete || len(list.Endpoints) > 0 {
		w.options.OnUpdate(list, firstByteAt) // not under the lock: it may wait for a goroutine that calls Observe
	}
}

// handleFailure notes a poll that has failed; firstByteAt is zero if nothing was answered.
func (w *Watch) handleFailure(poll watchpolicy.Poll, firstByteAt time.Time, err error) {
	w.Failures.Add(1)
	silent := w.conn != nil && firstByteAt.IsZero() && errors.Is(err, os.ErrDeadlineExceeded)
	w.closeConn()
	w.mu.Lock()
	switch {
	case errors.Is(err, errRejected):
		w.scheduler.Rejected()
	case silent:
		w.scheduler.TimedOut()
	default:
		w.scheduler.Failed()
	}
	w.mu.Unlock()
	w.options.Logf("discovery=%s state=failed complete=%t err=%q", w.polledAddress, poll.Complete, err)
}

// updateListed passes on to the scheduler what the list says.
func (w *Watch) updateListed(list endpoints.List) {
	ready := map[string]float64{}
	for _, endpoint := range list.Endpoints {
		isReady := endpoint.Phase == endpoints.Serving
		if isReady {
			ready[endpoint.ID] = endpoint.StartedAt
		}
		if !list.Complete {
			w.scheduler.SetListed(endpoint.ID, isReady, endpoint.StartedAt)
		}
	}
	if list.Complete {
		w.scheduler.ReplaceListed(ready)
	}
}
