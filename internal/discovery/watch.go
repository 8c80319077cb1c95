// Package discovery follows the directory's list of providers by its watch.
package discovery

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/http1"
	"plankrouter/internal/shutdown"
	"plankrouter/internal/staleness"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout     = 1 * time.Second
	maxTransferTime = 5 * time.Second // of an answer, from its first byte
)

var (
	errRejected        = errors.New("turned away") // the directory is there and has no room for the call
	errUnexpectedBytes = errors.New("the connection has ended, or brought what no call had asked for")
)

// Watch is the standing call to the directory. What to ask and how long to wait for it is decided by staleness.Keeper.
type Watch struct {
	options Options

	Answers, Failures, FullRefreshes atomic.Int64 // Doubts: whole lists asked for because providers spoke against the list

	mu          sync.Mutex
	scheduler   *staleness.Scheduler
	address     string             // where the next call goes
	cancelPoll  context.CancelFunc // ends the present one; nil = none
	source      string             // of the list that was told last
	firstUpdate chan struct{}      // closed by the first answer

	polledAddress string // where the present call goes
	revision      uint64
	conn          *sourceConn
	reader        *bufio.Reader
}

// Options are what a watch is told.
type Options struct {
	Address        string // host:port of the directory
	Watch          staleness.Settings
	Seed           uint64
	Initial        endpoints.List // what it begins with; if it is empty, the first call asks for the whole list,
	IgnoreRevision bool           // and if the revision of Known is not one that the directory has told
	MaxListBytes   int64          // bytes of an answer, at most; 0 = MaxListBytes of no memory told
	Budget         *connlimit.Budget
	OnUpdate       func(l endpoints.List, at time.Time) // takes each answer that tells anything, in order, and when its first byte came
	OnValidity     func(staleness.Validity)             // as a call or a pause before it begins; nil = nobody asks
	Logf           func(format string, args ...any)     // nil = nothing is logged
	Trace          func(format string, args ...any)     // logs a line for every call; nil = none
}

// New returns a watch that Run begins.
func New(o Options) (*Watch, error) {
	keeper, err := staleness.New(o.Watch, o.Seed, o.IgnoreRevision || len(o.Initial.Endpoints) == 0)
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
		options: o, scheduler: keeper, revision: o.Initial.Revision, address: o.Address, polledAddress: o.Address,
		source: o.Address, firstUpdate: make(chan struct{}),
	}
	known := o.Initial
	known.Complete = true
	w.updateListed(known)
	return w, nil
}

// SetAddress sends the watch to address, at once: what another directory counts as told is not what this one does, so the
// first call there asks for the whole list.
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

// arrivalTime is when what has just been read from the directory came, at the earliest: this process may have been held up before it read that.
func arrivalTime(s *connlimit.Socket) time.Time {
	now := time.Now()
	since, known := s.SinceArrival()
	if !known {
		since = shutdown.MaxStall
	}
	return now.Add(-since)
}

// Address is the directory that told the present list.
func (w *Watch) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.source
}

// FirstUpdate is closed by the first answer.
func (w *Watch) FirstUpdate() <-chan struct{} { return w.firstUpdate }

// Observe takes a sign of a provider from whoever calls it. Where several speak against the list at once the present call is
// given up for one that asks for the whole list. It is safe for concurrent use and does not block.
func (w *Watch) Observe(provider string, sign staleness.Evidence) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.scheduler.Observe(time.Now(), provider, sign) {
		return
	}
	w.FullRefreshes.Add(1)
	if w.cancelPoll != nil {
		w.cancelPoll()
	}
}

// nextPoll returns the next call, a context that ends when it is to be left, and what the list is worth.
func (w *Watch) nextPoll(ctx context.Context) (context.Context, staleness.Poll, staleness.Validity) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, w.cancelPoll = context.WithCancel(ctx)
	if w.polledAddress != w.address {
		w.closeConn()
		w.scheduler.SourceChanged()
		w.polledAddress = w.address
	}
	c := w.scheduler.Next(time.Now())
	return ctx, c, w.scheduler.Validity()
}

// Run watches until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	defer w.closeConn()
	for ctx.Err() == nil {
		here, c, trust := w.nextPoll(ctx)
		w.options.OnValidity(trust)
		select {
		case <-here.Done():
		case <-time.After(c.Delay): // none after an answer: a watch goes on only if the next call comes within 200 ms
			if here.Err() == nil {
				w.poll(here, c)
			}
		}
		w.cancelPoll()
	}
	return nil
}

// poll makes a call. One that is left has not failed, but its connection may still bring the answer: it is done with.
func (w *Watch) poll(ctx context.Context, c staleness.Poll) {
	began := time.Now()
	list, heard, err := w.fetch(ctx, c)
	if w.options.Trace != nil {
		w.options.Trace("trace=list whole=%t wait_ms=%d took_ms=%.1f lines=%d ok=%t full=%t", c.Complete, c.Wait.Milliseconds(),
			time.Since(began).Seconds()*1e3, len(list.Endpoints), err == nil, errors.Is(err, errRejected))
	}
	switch {
	case err == nil:
		w.mu.Lock()
		w.scheduler.Responded(c, max(0, heard.Sub(began))) // what follows its first byte may take long and says nothing of the directory
		w.updateListed(list)
		w.source = w.polledAddress
		w.mu.Unlock()
		if w.Answers.Add(1) == 1 {
			close(w.firstUpdate)
		}
		if ctx.Err() != nil { // left as it answered: the connection is closed
			w.closeConn()
		}
		w.revision = list.Revision
		if list.Complete || len(list.Endpoints) > 0 {
			w.options.OnUpdate(list, heard) // not under the lock: it may wait for one who wants to tell what it saw
		}
	case ctx.Err() != nil:
		w.closeConn()
	default:
		w.Failures.Add(1)
		silent := w.conn != nil && heard.IsZero() && errors.Is(err, os.ErrDeadlineExceeded)
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
		w.options.Logf("directory=%s state=failed whole=%t err=%q", w.polledAddress, c.Complete, err)
	}
}

// updateListed lets the keeper know what the list says.
func (w *Watch) updateListed(l endpoints.List) {
	ready := map[string]float64{}
	for _, m := range l.Endpoints {
		if m.Phase == endpoints.Serving {
			ready[m.ID] = m.StartedAt
		}
		if !l.Complete {
			w.scheduler.SetListed(m.ID, m.Phase == endpoints.Serving, m.StartedAt)
		}
	}
	if l.Complete {
		w.scheduler.ReplaceListed(ready)
	}
}

func (w *Watch) closeConn() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// requestTarget words the call.
func (w *Watch) requestTarget(c staleness.Poll) string {
	if c.Complete {
		return http1.PathList
	}
	return http1.PathList + "?index=" + strconv.FormatUint(w.revision, 10) +
		"&wait=" + strconv.FormatInt(c.Wait.Milliseconds(), 10)
}

// sourceConn is the connection to the directory. A read lasts until due; within an answer no longer than a pause may.
type sourceConn struct {
	*connlimit.Socket
	deadline time.Time
	maxPause time.Duration // 0 = no answer has begun
}

func (l *sourceConn) Read(p []byte) (int, error) {
	due := l.deadline
	if by := time.Now().Add(l.maxPause); l.maxPause > 0 && by.Before(due) {
		due = by
	}
	l.SetReadDeadline(due)
	return l.Socket.Read(p)
}

// fetch makes the call and takes what it brings; heard is the first byte of that.
func (w *Watch) fetch(ctx context.Context, c staleness.Poll) (list endpoints.List, heard time.Time, err error) {
	kept := w.conn != nil
	raw, heard, err := w.exchange(ctx, c)
	if err != nil {
		return list, heard, err
	}
	list, faults, err := parse(raw)
	if err != nil {
		return list, heard, err
	}
	for _, fault := range faults { // one bad line must not hide the others
		w.options.Logf("directory=%s state=line_skipped err=%q", w.polledAddress, fault)
	}
	switch {
	case c.Complete && !list.Complete:
		err = errors.New("asked for the whole list, got a part")
	case list.Revision < w.revision && (kept || !list.Complete):
		// The process that has told the newer one may have meant another call, another process counts anew. A whole list on a
		// new connection has it right in either case.
		err = fmt.Errorf("revision %d after %d: the directory counts anew, or answers another call", list.Revision, w.revision)
	}
	return list, heard, err
}

// exchange makes the call and reads the whole of its answer.
func (w *Watch) exchange(ctx context.Context, c staleness.Poll) (raw []byte, heard time.Time, err error) {
	if w.conn != nil && (w.reader.Buffered() > 0 || !w.conn.Quiet()) { // it would pass for the answer to this call
		return nil, heard, errUnexpectedBytes
	}
	if w.conn == nil {
		socket, err := w.options.Budget.Dial(ctx, w.polledAddress, min(dialTimeout, c.StallTimeout))
		if err != nil {
			return nil, heard, err
		}
		w.conn = &sourceConn{Socket: socket}
		w.reader = http1.NewReader(w.conn)
	}
	conn, due := w.conn, time.Now().Add(c.Timeout)
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := conn.SetWriteDeadline(due); err != nil {
		return nil, heard, err
	}
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", w.requestTarget(c), w.polledAddress, nil, nil)); err != nil {
		return nil, heard, err
	}
	conn.deadline, conn.maxPause = due, 0
	begun := func(begun bool) { // a long list is no silence, and an interim answer none that counts
		if conn.deadline, conn.maxPause = due, 0; begun {
			heard = arrivalTime(conn.Socket)
			conn.deadline, conn.maxPause = heard.Add(maxTransferTime), c.StallTimeout
		}
	}
	resp, err := http1.ReadLong(w.reader, false, begun, func(int) bool { return false }) // body has it all
	if err != nil {
		return nil, heard, err
	}
	switch resp.Status {
	case 200:
	case 429, 503:
		return nil, heard, fmt.Errorf("%w: status %d", errRejected, resp.Status)
	default:
		return nil, heard, fmt.Errorf("status %d", resp.Status)
	}
	conn.deadline, conn.maxPause = heard.Add(maxTransferTime), c.StallTimeout
	if raw, err = readBody(resp, w.options.MaxListBytes); err == nil && resp.Close {
		w.closeConn()
	}
	return raw, heard, err
}
