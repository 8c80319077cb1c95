package simulated

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"plankrouter/internal/testbench/fakes"
)

const (
	maxQueueTime = 2 * time.Second  // for which a call that needs a slot waits for it, before it is rejected
	maxPollTime  = 60 * time.Second // for which a call is held
)

// Traffic is what discovery has seen. Bytes are those of TCP's payload.
type Traffic struct {
	Calls, Complete, Rejected, Connections int64
	BytesIn, BytesOut                      int64
}

func (t Traffic) minus(o Traffic) Traffic {
	return Traffic{
		t.Calls - o.Calls, t.Complete - o.Complete, t.Rejected - o.Rejected, t.Connections - o.Connections,
		t.BytesIn - o.BytesIn, t.BytesOut - o.BytesOut,
	}
}

func (t Traffic) plus(o Traffic) Traffic { return t.minus(Traffic{}.minus(o)) }

// discoveryServer is a stand-in: one service for all, or, with several listeners, an agent for each sidecar that the list is pushed
// to. It speaks the platform's protocol and shares no code with the program.
type discoveryServer struct {
	rate float64 // calls a second that get a slot: those for the whole list, and the first of a connection; 0 = all at once

	mutex        sync.Mutex
	revision     uint64
	lines        []line
	lineIndex    map[string]int // in lines
	changed      chan struct{}  // closed with the next revision
	complete     []byte         // the whole list as of now; nil = not encoded yet
	nextFreeSlot time.Time      // the next free slot

	server                         http.Server
	calls, completeCalls, rejected atomic.Int64
	count                          fakes.Counter
	addresses                      []string
}

// line is the last that is known of a server.
type line struct {
	fakes.Endpoint
	revision uint64
}

// newDiscovery listens at so many addresses of 127.0.0.0/8 with a first revision.
func newDiscovery(listeners int, rate float64, endpoints []fakes.Endpoint) (*discoveryServer, error) {
	d := &discoveryServer{rate: rate, lineIndex: map[string]int{}, changed: make(chan struct{})}
	d.change(endpoints)
	d.server.Handler = d
	d.server.ConnContext = withFirst
	network := d.count.Wrap(fakes.Loopback())
	for range listeners {
		l, err := network.Listen("")
		if err != nil {
			d.close()
			return nil, fmt.Errorf("discovery: %w", err)
		}
		d.addresses = append(d.addresses, l.Addr().String())
		go func() { _ = d.server.Serve(l) }()
	}
	return d, nil
}

func (d *discoveryServer) close() { d.server.Close() }

func (d *discoveryServer) traffic() Traffic {
	return Traffic{
		d.calls.Load(), d.completeCalls.Load(), d.rejected.Load(), d.count.Accepted.Load(), d.count.In.Load(),
		d.count.Out.Load(),
	}
}

// change replaces or adds lines in a new revision, which it returns, and wakes all that wait.
func (d *discoveryServer) change(endpoints []fakes.Endpoint) uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.revision++
	for _, m := range endpoints {
		i, known := d.lineIndex[m.ID]
		if !known {
			i = len(d.lines)
			d.lineIndex[m.ID] = i
			d.lines = append(d.lines, line{})
		}
		d.lines[i] = line{m, d.revision}
	}
	d.complete = nil
	close(d.changed)
	d.changed = make(chan struct{})
	return d.revision
}

// update returns what a poll gets, and whether there is anything; changed is closed when there is.
func (d *discoveryServer) update(complete bool, after uint64) (raw []byte, available bool, changed <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if complete && d.complete != nil {
		return d.complete, true, nil
	}
	l := fakes.List{Revision: d.revision, Complete: complete, Endpoints: []fakes.Endpoint{}}
	for _, e := range d.lines {
		if complete && e.Phase != fakes.Deleted || !complete && e.revision > after {
			l.Endpoints = append(l.Endpoints, e.Endpoint)
		}
	}
	raw, _ = json.Marshal(l) // plain structs of strings and numbers
	if complete {
		d.complete = raw
	}
	return raw, complete || d.revision > after, d.changed
}

// reserveSlot returns how long a call waits for its slot; false = it is rejected.
func (d *discoveryServer) reserveSlot(now time.Time) (time.Duration, bool) {
	if d.rate <= 0 {
		return 0, true
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.nextFreeSlot.Before(now) {
		d.nextFreeSlot = now
	}
	wait := d.nextFreeSlot.Sub(now)
	if wait > maxQueueTime {
		return 0, false
	}
	d.nextFreeSlot = d.nextFreeSlot.Add(time.Duration(float64(time.Second) / d.rate))
	return wait, true
}

// ServeHTTP answers a call.
func (d *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.calls.Add(1)
	query := r.URL.Query()
	complete := !query.Has("index")
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	ms, _ := strconv.ParseUint(query.Get("wait"), 10, 32)
	if first := isFirst(r.Context()); complete || first {
		wait, ok := d.reserveSlot(time.Now())
		if !ok {
			d.rejected.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if wait > 0 && !pause(r, wait) {
			return
		}
	}
	if complete {
		d.completeCalls.Add(1)
	}
	until := time.NewTimer(min(maxPollTime, time.Duration(ms)*time.Millisecond))
	defer until.Stop()
	for expired := ms == 0; ; {
		raw, is, changed := d.update(complete, after)
		if is || expired {
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
			_, _ = w.Write(raw) // a client that has closed the connection polls again
			return
		}
		select {
		case <-changed:
		case <-until.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func pause(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

type firstKey struct{}

// withFirst marks a connection of which no call has come yet.
func withFirst(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, firstKey{}, new(atomic.Bool))
}

// isFirst reports whether it is the first call of its connection.
func isFirst(ctx context.Context) bool {
	called, _ := ctx.Value(firstKey{}).(*atomic.Bool)
	return called != nil && called.CompareAndSwap(false, true)
}
