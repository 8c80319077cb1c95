package fakes

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The phases of an endpoint.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID       string `json:"id"`
	Address  string `json:"host_port"`
	Locality string `json:"locality"`
	Phase    string `json:"phase"`
	UpSince  int64  `json:"up_since_ms"` // start time in Unix milliseconds; 0 = started long ago, so not in slow start
}

// List is the body of discovery's responses.
type List struct {
	Revision  uint64     `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []Endpoint `json:"members"`
}

const (
	listPath                = "/discovery/hosts"
	maxWait                 = 60 * time.Second
	responseAfterCloseDelay = time.Millisecond // delay of a response after the client has closed the connection
)

// DiscoveryRequest is one request as discovery received it.
type DiscoveryRequest struct {
	At          time.Time // when its last byte was received
	Conn        int       // number of the connection, from 1
	Complete    bool      // a request for the complete list, not a watch
	Index       uint64
	Wait        time.Duration
	Responded   bool
	RespondedAt time.Time
	Revision    uint64 // revision of the response
	Endpoints   int    // number of endpoints in the response
}

// entry is the latest state of one endpoint and the revision in which it last changed.
type entry struct {
	Endpoint
	revision uint64
}

// discoveryFaults are the faults that affect responses.
type discoveryFaults struct {
	dropResponses, respondAfterClose, completeForWatch, partialForComplete bool
	indented, chunked                                                      bool
	delay                                                                  time.Duration
	replacement                                                            []byte
	held                                                                   chan struct{} // closed when released; nil = not held
}

// Discovery is a fake discovery. It responds to requests for the complete endpoint list and to watches, and its methods inject
// faults. It is safe for concurrent use; each method takes effect at once.
type Discovery struct {
	host

	state       sync.Mutex
	revision    uint64
	oldestKnown uint64 // oldest revision since which all changes are known
	entries     []entry
	changed     chan struct{} // closed when the next revision is published
	faults      discoveryFaults
	requests    []DiscoveryRequest
}

// NewDiscovery starts discovery at address (see Network.Listen) with the given endpoints as revision 1.
func NewDiscovery(n Network, address string, endpoints ...Endpoint) (*Discovery, error) {
	d := &Discovery{host: newHost(n, address, 0), revision: 1, oldestKnown: 1, changed: make(chan struct{})}
	d.handle = d.serveRequest
	for _, m := range endpoints {
		d.put(m)
	}
	return d, d.startListening()
}

// Close resets all connections and waits for the goroutines to end.
func (d *Discovery) Close() { d.stop() }

// Address returns the listening address as host:port.
func (d *Discovery) Address() string { return d.currentAddress() }

// Set replaces the complete list and returns the new revision.
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

// Change adds or replaces endpoints and returns the new revision. An endpoint with phase Deleted is removed from the list.
func (d *Discovery) Change(endpoints ...Endpoint) uint64 {
	d.state.Lock()
	defer d.state.Unlock()
	d.revision++
	for _, m := range endpoints {
		d.put(m)
	}
	return d.publish()
}

// put stores an endpoint; if it differs from the stored one, it counts as changed in the current revision.
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

// Revision returns the current revision.
func (d *Discovery) Revision() uint64 {
	d.state.Lock()
	defer d.state.Unlock()
	return d.revision
}

// Endpoints returns the complete list.
func (d *Discovery) Endpoints() []Endpoint {
	d.state.Lock()
	defer d.state.Unlock()
	return d.list(true, 0).Endpoints
}

// list returns the complete list, or the changes after the given revision.
func (d *Discovery) list(complete bool, after uint64) List {
	l := List{Revision: d.revision, Complete: complete, Endpoints: []Endpoint{}}
	for _, e := range d.entries {
		if complete && e.Phase != Deleted || !complete && e.revision > after {
			l.Endpoints = append(l.Endpoints, e.Endpoint)
		}
	}
	return l
}

// DropResponses makes discovery accept requests and never respond to them or to pending ones; their connections stay open.
// Requests received after DropResponses(false) get a response.
func (d *Discovery) DropResponses(on bool) {
	d.setFault(func(f *discoveryFaults) { f.dropResponses = on })
}

// DropResponsesOnOpenConns permanently drops all responses on connections that are open now. New connections work.
func (d *Discovery) DropResponsesOnOpenConns() { d.markOpenConns() }

// HoldResponses makes discovery accept connections and requests without responding. After HoldResponses(false) it responds to
// all pending requests.
func (d *Discovery) HoldResponses(on bool) {
	d.setFault(func(f *discoveryFaults) {
		if f.held != nil {
			close(f.held)
			f.held = nil
		}
		if on {
			f.held = make(chan struct{})
		}
	})
}

// SetDown resets open connections and refuses new ones, or with false accepts them again.
func (d *Discovery) SetDown(on bool) error {
	if on {
		d.resetAll()
		return nil
	}
	return d.startListening()
}

// SetSilent makes discovery's machine unreachable, or reachable again: packets are dropped, so nothing is answered, refused or
// reset, and connections hang.
func (d *Discovery) SetSilent(on bool) error { return d.setSilent(on) }

// SetDelay delays each response by the given time after it is generated.
func (d *Discovery) SetDelay(by time.Duration) { d.setFault(func(f *discoveryFaults) { f.delay = by }) }

// RespondAfterClose delays each response until 1 ms after the client has closed the connection or its sending side.
func (d *Discovery) RespondAfterClose(on bool) {
	d.setFault(func(f *discoveryFaults) { f.respondAfterClose = on })
}

// CompleteForWatch makes discovery respond to watches with the complete list.
func (d *Discovery) CompleteForWatch(on bool) {
	d.setFault(func(f *discoveryFaults) { f.completeForWatch = on })
}

// PartialForComplete makes discovery respond to requests for the complete list with the first half of it, marked as
// changes.
func (d *Discovery) PartialForComplete(on bool) {
	d.setFault(func(f *discoveryFaults) { f.partialForComplete = on })
}

// SetEncoding selects indented JSON and chunked transfer encoding for responses.
func (d *Discovery) SetEncoding(indented, chunked bool) {
	d.setFault(func(f *discoveryFaults) { f.indented, f.chunked = indented, chunked })
}

// ReplaceResponses makes discovery send the given bytes in place of each response; nil restores normal responses.
func (d *Discovery) ReplaceResponses(with []byte) {
	d.setFault(func(f *discoveryFaults) { f.replacement = with })
}

// RestartAt resets all connections and restarts discovery at the same address with the same list at another revision,
// which may be lower. Deletions and changes from before the restart are no longer known.
func (d *Discovery) RestartAt(revision uint64) error {
	d.resetAll()
	d.state.Lock()
	d.revision, d.oldestKnown = revision, revision
	d.entries = slices.DeleteFunc(d.entries, func(e entry) bool { return e.Phase == Deleted })
	for i := range d.entries {
		d.entries[i].revision = revision
	}
	d.state.Unlock()
	return d.startListening()
}

// Move resets all connections and restarts discovery at another address, which it returns.
func (d *Discovery) Move() (string, error) {
	d.resetAll()
	d.mutex.Lock()
	d.address = ""
	d.mutex.Unlock()
	err := d.startListening()
	return d.Address(), err
}

// Requests returns all requests received so far.
func (d *Discovery) Requests() []DiscoveryRequest {
	d.state.Lock()
	defer d.state.Unlock()
	return slices.Clone(d.requests)
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

// serveRequest records a request and responds to it subject to the active faults.
func (d *Discovery) serveRequest(c *hostConn, m *message) bool {
	if m.URL.Path != listPath || m.Method != "GET" {
		return c.write(encodeResponse(404, "", nil))
	}
	query := m.URL.Query()
	request := DiscoveryRequest{At: m.lastByte, Conn: c.number, Complete: !query.Has("index")}
	request.Index, _ = strconv.ParseUint(query.Get("index"), 10, 64)
	ms, _ := strconv.ParseUint(query.Get("wait"), 10, 32)
	request.Wait = min(maxWait, time.Duration(ms)*time.Millisecond)
	d.state.Lock()
	d.requests = append(d.requests, request)
	index, dropped := len(d.requests)-1, d.faults.dropResponses
	d.state.Unlock()

	list, ok := d.awaitList(c, &request)
	if !ok {
		return false
	}
	faults := d.currentFaults()
	if faults.delay > 0 && !c.wait(faults.delay) {
		return false
	}
	if dropped || d.currentFaults().dropResponses || d.isMarked(c) {
		return c.waitForClose()
	}
	raw := faults.replacement
	if raw == nil {
		raw = faults.encode(list)
	}
	if faults.respondAfterClose {
		c.waitForClose()
		c.wait(responseAfterCloseDelay)
	}
	c.waitWhileSilent()
	d.state.Lock()
	record := &d.requests[index]
	record.Responded, record.RespondedAt, record.Revision, record.Endpoints = true, time.Now(), list.Revision, len(list.Endpoints)
	d.state.Unlock()
	return c.write(raw)
}

// encode returns the encoded response.
func (f *discoveryFaults) encode(l List) []byte {
	const contentType = "Content-Type: application/json\r\n"
	body, _ := json.Marshal(l)
	if f.indented {
		body, _ = json.MarshalIndent(l, "", "    ")
	}
	if !f.chunked {
		return encodeResponse(200, contentType, body)
	}
	raw := []byte("HTTP/1.1 200 OK\r\n" + contentType + "Transfer-Encoding: chunked\r\n\r\n")
	for piece := range slices.Chunk(body, 1000) {
		raw = fmt.Appendf(raw, "%x\r\n%s\r\n", len(piece), piece)
	}
	return append(raw, "0\r\n\r\n"...)
}

// awaitList waits until the list has changed or the request's wait time has passed, and returns the list to send. False means
// that the connection ended first and no response is due.
func (d *Discovery) awaitList(c *hostConn, request *DiscoveryRequest) (List, bool) {
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	for pollExpired := request.Complete; ; {
		d.state.Lock()
		faults, changed := d.faults, d.changed
		revisionUnknown := request.Index > d.revision || request.Index < d.oldestKnown // changes since that revision are not known
		l := d.list(request.Complete || revisionUnknown || faults.completeForWatch, request.Index)
		if request.Complete && faults.partialForComplete {
			l.Complete, l.Endpoints = false, l.Endpoints[:len(l.Endpoints)/2]
		}
		changedSinceIndex := pollExpired || revisionUnknown || d.revision > request.Index
		d.state.Unlock()
		if faults.held != nil {
			changed = faults.held
		} else if changedSinceIndex {
			return l, true
		}
		select {
		case <-changed:
		case <-timer.C:
			pollExpired = true
		case <-c.clientDone:
			return l, faults.respondAfterClose
		case <-c.closed:
			return l, false
		}
	}
}
