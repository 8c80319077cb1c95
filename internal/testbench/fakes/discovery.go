package fakes

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The phases of a member.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Endpoint is one line of discovery's list.
type Endpoint struct {
	ID       string `json:"id"`
	Address  string `json:"host_port"`
	Locality string `json:"locality"`
	Phase    string `json:"phase"`
	UpSince  int64  `json:"up_since_ms"` // Unix milliseconds; 0 = long ago
}

// List is what discovery answers.
type List struct {
	Revision  uint64     `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []Endpoint `json:"members"`
}

const (
	listPath        = "/discovery/hosts"
	maxWait         = 60 * time.Second
	lateAnswerDelay = time.Millisecond // after the caller has hung up
)

// DiscoveryRequest is one call as discovery has seen it.
type DiscoveryRequest struct {
	At          time.Time // of its last byte
	Conn        int       // the connection's number, from 1
	Complete    bool      // the whole list was asked for
	Index       uint64
	Wait        time.Duration
	Responded   bool
	RespondedAt time.Time
	Revision    uint64 // that it was answered with
	Endpoints   int    // lines of the answer
}

// entry is the last that is known of one id.
type entry struct {
	Endpoint
	revision uint64
}

// discoveryFaults are those that act on an answer.
type discoveryFaults struct {
	loseAnswers, answerLate, wholeForWatch, partForWhole bool
	indented, chunked                                    bool
	delay                                                time.Duration
	replacement                                          []byte
	muted                                                chan struct{} // closed when it ends; nil = none
}

// Discovery serves the list of servers, in whole and by a watch, and misbehaves on request. It is safe for
// concurrent use; each method acts at once.
type Discovery struct {
	host

	state    sync.Mutex
	revision uint64
	since    uint64 // the oldest revision from which changes are known
	entries  []entry
	changed  chan struct{} // closed with the next revision
	faults   discoveryFaults
	calls    []DiscoveryRequest
}

// NewDiscovery starts discovery at address (see Network.Listen) whose first revision holds the members.
func NewDiscovery(n Network, address string, endpoints ...Endpoint) (*Discovery, error) {
	d := &Discovery{host: newHost(n, address, 0), revision: 1, since: 1, changed: make(chan struct{})}
	d.handle = d.serveCall
	for _, m := range endpoints {
		d.put(m)
	}
	return d, d.startListening()
}

// Close ends it and waits for all that it has under way.
func (d *Discovery) Close() { d.stop() }

// Address is host:port.
func (d *Discovery) Address() string { return d.currentAddress() }

// Set replaces the whole list in a new revision, which it returns.
func (d *Discovery) Set(endpoints ...Endpoint) uint64 {
	d.state.Lock()
	defer d.state.Unlock()
	d.revision++
	for _, e := range d.entries {
		if !slices.ContainsFunc(endpoints, func(m Endpoint) bool { return m.ID == e.ID }) && e.Phase != Deleted {
			e.Phase = Deleted
			d.put(e.Endpoint)
		}
	}
	for _, m := range endpoints {
		d.put(m)
	}
	return d.publish()
}

// Change replaces or adds members in a new revision, which it returns. Those with phase Deleted are gone.
func (d *Discovery) Change(endpoints ...Endpoint) uint64 {
	d.state.Lock()
	defer d.state.Unlock()
	d.revision++
	for _, m := range endpoints {
		d.put(m)
	}
	return d.publish()
}

// put notes what is new of a member in the present revision.
func (d *Discovery) put(m Endpoint) {
	i := slices.IndexFunc(d.entries, func(e entry) bool { return e.ID == m.ID })
	if i < 0 {
		i = len(d.entries)
		d.entries = append(d.entries, entry{})
	}
	if d.entries[i].Endpoint != m {
		d.entries[i] = entry{Endpoint: m, revision: d.revision}
	}
}

func (d *Discovery) publish() uint64 {
	close(d.changed)
	d.changed = make(chan struct{})
	return d.revision
}

// Revision is the present one.
func (d *Discovery) Revision() uint64 {
	d.state.Lock()
	defer d.state.Unlock()
	return d.revision
}

// Endpoints returns the whole list.
func (d *Discovery) Endpoints() []Endpoint {
	d.state.Lock()
	defer d.state.Unlock()
	return d.list(true, 0).Endpoints
}

// list returns the complete list or the changes after a revision.
func (d *Discovery) list(complete bool, after uint64) List {
	l := List{Revision: d.revision, Complete: complete, Endpoints: []Endpoint{}}
	for _, e := range d.entries {
		if complete && e.Phase != Deleted || !complete && e.revision > after {
			l.Endpoints = append(l.Endpoints, e.Endpoint)
		}
	}
	return l
}

// DropResponses takes calls and never answers them, those under way included; their connections stay open and silent.
// Calls that come after it has been switched off are answered.
func (d *Discovery) DropResponses(on bool) {
	d.setFault(func(f *discoveryFaults) { f.loseAnswers = on })
}

// DropResponsesOnOpenConns loses the answers to all calls on connections that are open now, for good. New connections are fine.
func (d *Discovery) DropResponsesOnOpenConns() { d.markOpenConns() }

// HoldResponses takes connections and calls and says nothing until it is switched off. Then it answers all that still wait.
func (d *Discovery) HoldResponses(on bool) {
	d.setFault(func(f *discoveryFaults) {
		if f.muted != nil {
			close(f.muted)
			f.muted = nil
		}
		if on {
			f.muted = make(chan struct{})
		}
	})
}

// SetDown refuses connections, after resetting those that are open, until it is switched off.
func (d *Discovery) SetDown(on bool) error {
	if on {
		d.resetAll()
		return nil
	}
	return d.startListening()
}

// SetSilent is the end of its machine, or its return: nothing is answered, refused or reset, and connections hang.
func (d *Discovery) SetSilent(on bool) error { return d.setSilent(on) }

// SetDelay sends each answer so much later than it is made.
func (d *Discovery) SetDelay(by time.Duration) { d.setFault(func(f *discoveryFaults) { f.delay = by }) }

// RespondAfterClose answers a call only a moment after its caller has hung up, or has ended its sending.
func (d *Discovery) RespondAfterClose(on bool) {
	d.setFault(func(f *discoveryFaults) { f.answerLate = on })
}

// CompleteForWatch answers watches with the whole list.
func (d *Discovery) CompleteForWatch(on bool) {
	d.setFault(func(f *discoveryFaults) { f.wholeForWatch = on })
}

// PartialForComplete answers calls for the whole list with the first half of it, as changes.
func (d *Discovery) PartialForComplete(on bool) {
	d.setFault(func(f *discoveryFaults) { f.partForWhole = on })
}

// SetEncoding encodes answers indented, and in chunks.
func (d *Discovery) SetEncoding(indented, chunked bool) {
	d.setFault(func(f *discoveryFaults) { f.indented, f.chunked = indented, chunked })
}

// ReplaceResponses sends these bytes in place of each answer; nil = no longer.
func (d *Discovery) ReplaceResponses(with []byte) {
	d.setFault(func(f *discoveryFaults) { f.replacement = with })
}

// RestartAt ends all connections with a reset and starts anew, at the same address, with the list at another revision,
// which may be lower. It no longer knows what was deleted or changed before.
func (d *Discovery) RestartAt(revision uint64) error {
	d.resetAll()
	d.state.Lock()
	d.revision, d.since = revision, revision
	d.entries = slices.DeleteFunc(d.entries, func(e entry) bool { return e.Phase == Deleted })
	for i := range d.entries {
		d.entries[i].revision = revision
	}
	d.state.Unlock()
	return d.startListening()
}

// Move ends all connections with a reset and goes on at another address, which it returns.
func (d *Discovery) Move() (string, error) {
	d.resetAll()
	d.mutex.Lock()
	d.address = ""
	d.mutex.Unlock()
	err := d.startListening()
	return d.Address(), err
}

// Requests returns all calls so far.
func (d *Discovery) Requests() []DiscoveryRequest {
	d.state.Lock()
	defer d.state.Unlock()
	return slices.Clone(d.calls)
}

func (d *Discovery) setFault(set func(*discoveryFaults)) {
	d.state.Lock()
	defer d.state.Unlock()
	set(&d.faults)
}

func (d *Discovery) currentFaults() discoveryFaults {
	d.state.Lock()
	defer d.state.Unlock()
	return d.faults
}

// serveCall records a call and answers it, as the faults have it.
func (d *Discovery) serveCall(c *hostConn, m *message) bool {
	if m.URL.Path != listPath || m.Method != "GET" {
		return c.write(encodeResponse(404, "", nil))
	}
	query := m.URL.Query()
	call := DiscoveryRequest{At: m.last, Conn: c.number, Complete: !query.Has("index")}
	call.Index, _ = strconv.ParseUint(query.Get("index"), 10, 64)
	ms, _ := strconv.ParseUint(query.Get("wait"), 10, 32)
	call.Wait = min(maxWait, time.Duration(ms)*time.Millisecond)
	d.state.Lock()
	d.calls = append(d.calls, call)
	index, lost := len(d.calls)-1, d.faults.loseAnswers
	d.state.Unlock()

	list, ok := d.awaitList(c, &call)
	if !ok {
		return false
	}
	faults := d.currentFaults()
	if faults.delay > 0 && !c.wait(faults.delay) {
		return false
	}
	if lost || d.currentFaults().loseAnswers || d.isMarked(c) {
		return c.waitForClose()
	}
	raw := faults.replacement
	if raw == nil {
		raw = faults.encode(list)
	}
	if faults.answerLate {
		c.waitForClose()
		c.wait(lateAnswerDelay)
	}
	c.waitWhileSilent()
	d.state.Lock()
	record := &d.calls[index]
	record.Responded, record.RespondedAt, record.Revision, record.Endpoints = true, time.Now(), list.Revision, len(list.Endpoints)
	d.state.Unlock()
	return c.write(raw)
}

// encode returns the answer's bytes.
func (f *discoveryFaults) encode(l List) []byte {
	const kind = "Content-Type: application/json\r\n"
	body, _ := json.Marshal(l)
	if f.indented {
		body, _ = json.MarshalIndent(l, "", "    ")
	}
	if !f.chunked {
		return encodeResponse(200, kind, body)
	}
	raw := []byte("HTTP/1.1 200 OK\r\n" + kind + "Transfer-Encoding: chunked\r\n\r\n")
	for piece := range slices.Chunk(body, 1000) {
		raw = fmt.Appendf(raw, "%x\r\n%s\r\n", len(piece), piece)
	}
	return append(raw, "0\r\n\r\n"...)
}

// awaitList waits for what the call asks for. False means that its connection has ended.
func (d *Discovery) awaitList(c *hostConn, call *DiscoveryRequest) (List, bool) {
	until := time.NewTimer(call.Wait)
	defer until.Stop()
	for pollExpired := call.Complete; ; {
		d.state.Lock()
		faults, changed := d.faults, d.changed
		forgot := call.Index > d.revision || call.Index < d.since // it can't say what has changed since then
		l := d.list(call.Complete || forgot || faults.wholeForWatch, call.Index)
		if call.Complete && faults.partForWhole {
			l.Complete, l.Endpoints = false, l.Endpoints[:len(l.Endpoints)/2]
		}
		changedSinceIndex := pollExpired || forgot || d.revision > call.Index
		d.state.Unlock()
		if faults.muted != nil {
			changed = faults.muted
		} else if changedSinceIndex {
			return l, true
		}
		select {
		case <-changed:
		case <-until.C:
			pollExpired = true
		case <-c.clientDone:
			return l, faults.answerLate
		case <-c.closed:
			return l, false
		}
	}
}
