package fakes

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// host is what discovery and a server have in common: a listener that can go and come back, connections that
// carry one request at a time, and a machine that can fall silent.
type host struct {
	network Network
	handle  func(*hostConn, *message) bool // answers; false = the connection is to end
	idle    time.Duration                  // after which a connection is closed; 0 = never

	mutex    sync.Mutex
	address  string
	listener Listener
	conns    map[*hostConn]struct{}
	accepted int
	silence  chan struct{} // closed when it ends; nil = none
	running  sync.WaitGroup
}

// message is one request, read to its end.
type message struct {
	*http.Request
	body        []byte
	first, last time.Time     // when its first and last byte came
	sent        time.Time     // when the first byte was there to be read, also where the machine had vanished
	idle        time.Duration // of its connection before it
}

// hostConn is one accepted connection.
type hostConn struct {
	net.Conn
	host       *host
	number     int
	messages   chan *message
	clientDone chan struct{} // closed when the caller sends no more
	closed     chan struct{} // closed when this side has ended it
	closeOnce  sync.Once
	freeAt     time.Time // when it was last answered or accepted
	carried    int       // requests before the present one
	marked     bool      // for a fault that is to befall it; guarded by server.mu
}

func newHost(n Network, address string, idle time.Duration) host {
	return host{network: n, address: address, idle: idle, conns: map[*hostConn]struct{}{}}
}

// startListening listens, where it did before if it did.
func (h *host) startListening() error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.listener != nil {
		return nil
	}
	l, err := h.network.Listen(h.address)
	if err != nil {
		return fmt.Errorf("listen on %q: %w", h.address, err)
	}
	h.listener, h.address = l, l.Addr().String()
	h.running.Go(func() { h.acceptLoop(l) })
	return nil
}

// resetAll refuses new connections and resets all others. A silence ends with it, but only once nobody can say anything.
func (h *host) resetAll() {
	h.mutex.Lock()
	l := h.listener
	h.listener = nil
	conns := slices.Collect(maps.Keys(h.conns))
	h.mutex.Unlock()
	if l != nil {
		l.Close()
	}
	for _, c := range conns {
		c.drop(true)
	}
	_ = h.setSilent(false)
}

// stop is down for good.
func (h *host) stop() {
	h.resetAll()
	h.running.Wait()
}

// markOpenConns marks the connections that are open now.
func (h *host) markOpenConns() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for c := range h.conns {
		c.marked = true
	}
}

func (h *host) isMarked(c *hostConn) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return c.marked
}

// setSilent makes the machine vanish, or come back with its process and connections as they were.
func (h *host) setSilent(on bool) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case on == (h.silence != nil):
		return nil
	case on && h.listener == nil:
		return fmt.Errorf("vanish: nobody listens at %q: start it first", h.address)
	case on:
		h.silence = make(chan struct{})
	default:
		close(h.silence)
		h.silence = nil
	}
	if h.listener == nil {
		return nil
	}
	return h.listener.Freeze(on)
}

func (h *host) acceptLoop(l Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		c := &hostConn{
			Conn: nc, host: h, messages: make(chan *message), clientDone: make(chan struct{}),
			closed: make(chan struct{}), freeAt: time.Now(),
		}
		h.mutex.Lock()
		h.accepted++
		c.number = h.accepted
		h.conns[c] = struct{}{}
		stale := h.listener != l // down has not seen it
		h.mutex.Unlock()
		if stale {
			c.drop(true)
		}
		h.running.Go(c.readLoop)
		h.running.Go(c.serveLoop)
	}
}

// currentAddress is host:port, also while nobody listens there.
func (h *host) currentAddress() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.address
}

// connectionCounts returns how many connections have been accepted and how many are open.
func (h *host) connectionCounts() (accepted, open int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.accepted, len(h.conns)
}

// waitWhileSilent waits until the machine is not silent: what was sent to it, ends included, arrives only then.
func (c *hostConn) waitWhileSilent() {
	for {
		c.host.mutex.Lock()
		silence := c.host.silence
		c.host.mutex.Unlock()
		if silence == nil {
			return
		}
		select {
		case <-silence:
		case <-c.closed:
			return
		}
	}
}

// readLoop reads one request after another, and the caller's end while one is being answered.
func (c *hostConn) readLoop() {
	defer close(c.clientDone)
	br := bufio.NewReader(c)
	for {
		_, err := br.Peek(1)
		sent := time.Now()
		c.waitWhileSilent()
		m := &message{first: time.Now(), sent: sent}
		if err == nil {
			m.Request, err = http.ReadRequest(br)
		}
		if err == nil {
			m.body, err = io.ReadAll(m.Body)
			c.waitWhileSilent()
		}
		if err != nil {
			return
		}
		m.last = time.Now()
		select {
		case c.messages <- m:
		case <-c.closed:
			return
		}
	}
}

func (c *hostConn) serveLoop() {
	defer c.finish()
	for {
		var tooLong <-chan time.Time
		if c.host.idle > 0 {
			tooLong = time.After(c.host.idle)
		}
		select {
		case m := <-c.messages:
			m.idle = max(0, m.first.Sub(c.freeAt))
			if !c.host.handle(c, m) || m.Close {
				return
			}
			c.carried++
			c.freeAt = time.Now()
		case <-tooLong:
			c.waitWhileSilent()
			return
		case <-c.clientDone:
			return
		case <-c.closed:
			return
		}
	}
}

func (c *hostConn) finish() {
	c.drop(false)
	c.host.mutex.Lock()
	defer c.host.mutex.Unlock()
	delete(c.host.conns, c)
}

// drop ends the connection, with a reset or in order. Only the first call counts.
func (c *hostConn) drop(reset bool) {
	c.closeOnce.Do(func() {
		close(c.closed)
		if reset {
			Abort(c.Conn)
		} else {
			c.Close()
		}
	})
}

// wait waits for d and reports whether the connection has not been ended from this side meanwhile.
func (c *hostConn) wait(d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.closed:
		return false
	}
}

// waitForClose waits until either side has ended the connection.
func (c *hostConn) waitForClose() bool {
	select {
	case <-c.clientDone:
	case <-c.closed:
	}
	return false
}

// write writes once the machine may speak, and reports whether that went well.
func (c *hostConn) write(b []byte) bool {
	c.waitWhileSilent()
	_, err := c.Write(b)
	return err == nil
}

// encodeResponse returns a response's bytes.
func encodeResponse(status int, head string, body []byte) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), head, len(body), body)
}
