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
	maxSlotWait = 2 * time.Second  // longest wait for a slot; a poll that would wait longer is rejected
	maxPollTime = 60 * time.Second // longest time for which a poll is held open
)

// Traffic counts the polls of discovery, those for the complete list, those rejected, connections, and bytes of TCP payload.
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

// discoveryServer is a fake discovery: one service that all sidecars poll or, with several listeners, one agent per sidecar,
// each of which has the list pushed to it. It implements the platform's protocol and shares no code with the sidecar's
// program.
type discoveryServer struct {
	rate float64 // slots per second, for polls of the complete list and the first poll of a connection; 0 = unlimited

	mutex        sync.Mutex
	revision     uint64
	entries      []entry
	entryIndex   map[string]int // index in entries, by server id
	changed      chan struct{}  // closed when the next revision is available
	complete     []byte         // current complete list as JSON; nil = not encoded yet
	nextFreeSlot time.Time      // when the next slot is free

	server                         http.Server
	calls, completeCalls, rejected atomic.Int64
	count                          fakes.Counter
	addresses                      []string
}

// entry is the latest state of a server, and the revision that last changed it.
type entry struct {
	fakes.Endpoint
	revision uint64
}

// newDiscovery starts a discovery server that listens on the given number of addresses in 127.0.0.0/8, with revision 1.
func newDiscovery(listeners int, rate float64, endpoints []fakes.Endpoint) (*discoveryServer, error) {
	d := &discoveryServer{rate: rate, entryIndex: map[string]int{}, changed: make(chan struct{})}
	d.change(endpoints)
	d.server.Handler = d
	d.server.ConnContext = markNewConnection
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

// change updates or adds endpoints in a new revision, which it returns, and wakes all waiting polls.
func (d *discoveryServer) change(endpoints []fakes.Endpoint) uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.revision++
	for _, m := range endpoints {
		i, known := d.entryIndex[m.ID]
		if !known {
			i = len(d.entries)
			d.entryIndex[m.ID] = i
			d.entries = append(d.entries, entry{})
		}
		d.entries[i] = entry{m, d.revision}
	}
	d.complete = nil
	close(d.changed)
	d.changed = make(chan struct{})
	return d.revision
}

// update returns the response to a poll, and whether it contains anything new; changed is closed at the next revision.
func (d *discoveryServer) update(complete bool, after uint64) (raw []byte, available bool, changed <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if complete && d.complete != nil {
		return d.complete, true, nil
	}
	l := fakes.List{Revision: d.revision, Complete: complete, Endpoints: []fakes.Endpoint{}}
	for _, e := range d.entries {
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

// reserveSlot returns how long a poll has to wait for its slot; false = it is rejected.
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
	if wait > maxSlotWait {
		return 0, false
	}
	d.nextFreeSlot = d.nextFreeSlot.Add(time.Duration(float64(time.Second) / d.rate))
	return wait, true
}

// ServeHTTP handles a poll.
func (d *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.calls.Add(1)
	query := r.URL.Query()
	complete := !query.Has("index")
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	ms, _ := strconv.ParseUint(query.Get("wait"), 10, 32)
	if first := isFirstPoll(r.Context()); complete || first {
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
		raw, available, changed := d.update(complete, after)
		if available || expired {
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

// pause waits for d, and reports whether the client stayed connected.
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

// newConnectionKey is the context key of the mark of markNewConnection.
type newConnectionKey struct{}

// markNewConnection marks a new connection, which has had no poll yet.
func markNewConnection(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, new(atomic.Bool))
}

// isFirstPoll reports whether this is the first poll on its connection.
func isFirstPoll(ctx context.Context) bool {
	called, _ := ctx.Value(newConnectionKey{}).(*atomic.Bool)
	return called != nil && called.CompareAndSwap(false, true)
}
