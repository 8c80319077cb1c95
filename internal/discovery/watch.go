// Package discovery keeps the endpoint list up to date by a watch of the discovery service. It alone implements the
// protocol of that service: no other package knows its requests and the JSON format of the list.
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

// Watch polls a discovery service for the endpoint list and its changes. A watchpolicy.Scheduler decides what each poll
// requests and how long to wait for the response.
type Watch struct {
	options Options

	Responses, Failures, FullRefreshes atomic.Int64 // FullRefreshes: complete lists requested because servers contradict the list

	mu         sync.Mutex
	scheduler  *watchpolicy.Scheduler
	address    string             // of the source for the next poll
	cancelPoll context.CancelFunc // cancels the current poll; nil = none
	source     string             // address of the source of the last list
	responded  chan struct{}      // closed by the first response

	// Used by Run alone.
	polledAddress string // of the source for the current poll
	revision      uint64
	conn          *sourceConn // nil = none
	reader        *bufio.Reader
}

// Options configure a Watch.
type Options struct {
	Address        string // host:port of discovery
	Watch          watchpolicy.Settings
	Seed           uint64
	Initial        endpoints.List // the list to begin with; if it is empty, the first poll requests the complete list
	IgnoreRevision bool           // the revision of Initial is not from discovery: the first poll requests the complete list
	MaxListBytes   int64          // maximum size of a response; 0 = MaxListBytes(0)
	Budget         *connlimit.Budget
	OnUpdate       func(l endpoints.List, at time.Time) // receives lists and changes, in order; at = arrival of the first byte
	OnValidity     func(staleness.Validity)             // called before each poll and the delay before it; nil = not called
	Logf           func(format string, args ...any)     // nil = nothing is logged
	Trace          func(format string, args ...any)     // logs one line per poll; nil = nothing is logged
}

// New returns a Watch that sends its first poll in Run, or an error if the settings in o.Watch are invalid.
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
		options: o, scheduler: scheduler, responded: make(chan struct{}),
		revision: o.Initial.Revision, address: o.Address, polledAddress: o.Address, source: o.Address,
	}
	initial := o.Initial
	initial.Complete = true
	w.updateListed(initial)
	return w, nil
}

// SetAddress switches the watch to the source at address, at once. The new source may have changes that the old one does not
// know, so that the first poll there requests the complete list.
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

// Address returns the address of the source of the current list.
func (w *Watch) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.source
}

// FirstResponse returns a channel that is closed by the first valid response, even one without changes.
func (w *Watch) FirstResponse() <-chan struct{} { return w.responded }

// Observe records evidence about a server. If enough servers contradict the list at the same time, it cancels the current
// poll and the next one requests the complete list. It is safe for concurrent use and does not block.
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

// Run polls until ctx is done, and returns nil.
func (w *Watch) Run(ctx context.Context) error {
	defer w.closeConn()
	for ctx.Err() == nil {
		pollCtx, poll, validity := w.nextPoll(ctx)
		w.options.OnValidity(validity)
		select {
		case <-pollCtx.Done():
		case <-time.After(poll.Delay): // 0 after a response: discovery continues a watch only if the next poll arrives within 200 ms
			if pollCtx.Err() == nil {
				w.poll(pollCtx, poll)
			}
		}
		w.cancelPoll()
	}
	return nil
}

// nextPoll returns the next poll, a context whose end cancels it, and how long the list may be relied on.
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

// poll sends poll and handles its result. A cancelled poll does not count as failed, but its connection is closed, since the
// response might still arrive on it.
func (w *Watch) poll(ctx context.Context, poll watchpolicy.Poll) {
	startedAt := time.Now()
	list, firstByteAt, err := w.fetch(ctx, poll)
	if w.options.Trace != nil {
		w.options.Trace("trace=list whole=%t wait_ms=%d took_ms=%.1f lines=%d ok=%t full=%t", poll.Complete, poll.Wait.Milliseconds(),
			time.Since(startedAt).Seconds()*1e3, len(list.Endpoints), err == nil, errors.Is(err, errRejected))
	}
	switch {
	case err == nil:
		w.handleResponse(ctx, poll, list, startedAt, firstByteAt)
	case ctx.Err() != nil:
		w.closeConn()
	default:
		w.handleFailure(poll, firstByteAt, err)
	}
}

// handleResponse records the response to poll and passes list to OnUpdate.
func (w *Watch) handleResponse(ctx context.Context, poll watchpolicy.Poll, list endpoints.List, startedAt, firstByteAt time.Time) {
	w.mu.Lock()
	w.scheduler.Responded(poll, max(0, firstByteAt.Sub(startedAt))) // the transfer after the first byte is not part of the lateness
	w.updateListed(list)
	w.source = w.polledAddress
	w.mu.Unlock()
	if w.Responses.Add(1) == 1 {
		close(w.responded)
	}
	if ctx.Err() != nil { // cancelled as the response arrived
		w.closeConn()
	}
	w.revision = list.Revision
	if list.Complete || len(list.Endpoints) > 0 {
		w.options.OnUpdate(list, firstByteAt) // not under the lock: it may wait for a goroutine that calls Observe
	}
}

// handleFailure records and logs the failure of poll; firstByteAt is zero if no byte of a response arrived.
func (w *Watch) handleFailure(poll watchpolicy.Poll, firstByteAt time.Time, err error) {
	w.Failures.Add(1)
	timedOut := w.conn != nil && firstByteAt.IsZero() && errors.Is(err, os.ErrDeadlineExceeded)
	w.closeConn()
	w.mu.Lock()
	switch {
	case errors.Is(err, errRejected):
		w.scheduler.Rejected()
	case timedOut:
		w.scheduler.TimedOut()
	default:
		w.scheduler.Failed()
	}
	w.mu.Unlock()
	w.options.Logf("discovery=%s state=failed complete=%t err=%q", w.polledAddress, poll.Complete, err)
}

// updateListed reports to the scheduler which servers list names as in service.
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
