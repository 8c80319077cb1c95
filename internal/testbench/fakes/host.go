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

// host is the base of Discovery and Server: a listener that can be stopped and started again, connections that carry one
// request at a time, and a machine that can become unreachable.
type host struct {
	network     Network
	handle      func(*hostConn, *message) bool // responds to a request; false = close the connection
	idleTimeout time.Duration                  // idle time after which a connection is closed; 0 = never

	mutex          sync.Mutex
	address        string
	listener       Listener
	conns          map[*hostConn]struct{}
	accepted       int
	reachableAgain chan struct{} // closed when the machine is reachable again; nil = it is reachable
	running        sync.WaitGroup
}

// message is one fully read request.
type message struct {
	*http.Request
	body                []byte
	firstByte, lastByte time.Time     // when its first and last byte were received
	arrivedAt           time.Time     // when the first byte arrived, even if the machine was unreachable then
	idle                time.Duration // time for which its connection was idle before it
}

// hostConn is one accepted connection.
type hostConn struct {
	net.Conn
	host           *host
	number         int
	messages       chan *message
	clientDone     chan struct{} // closed when the client has closed its sending side
	closed         chan struct{} // closed when this side has closed the connection
	closeOnce      sync.Once
	idleSince      time.Time // when it was accepted or the last response was sent
	requestsServed int       // number of requests before the current one
	marked         bool      // selected by markOpenConns for a fault; guarded by host.mutex
}

func newHost(n Network, address string, idle time.Duration) host {
	return host{network: n, address: address, idleTimeout: idle, conns: map[*hostConn]struct{}{}}
}

// startListening starts the listener, at the previous address if there is one.
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

// resetAll closes the listener and resets all connections. It makes a silent machine reachable again, but only after the
// connections are reset, so that nothing is sent on them.
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
		c.closeConn(true)
	}
	_ = h.setSilent(false)
}

// stop closes the listener and all connections and waits for the goroutines to end.
func (h *host) stop() {
	h.resetAll()
	h.running.Wait()
}

// markOpenConns marks the connections that are open now, so that isMarked reports true for them.
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

// setSilent makes the machine unreachable, or reachable again with its process and connections unchanged.
func (h *host) setSilent(on bool) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case on == (h.reachableAgain != nil):
		return nil
	case on && h.listener == nil:
		return fmt.Errorf("make %q unreachable: it is not listening; start it first", h.address)
	case on:
		h.reachableAgain = make(chan struct{})
	default:
		close(h.reachableAgain)
		h.reachableAgain = nil
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
			closed: make(chan struct{}), idleSince: time.Now(),
		}
		h.mutex.Lock()
		h.accepted++
		c.number = h.accepted
		h.conns[c] = struct{}{}
		stale := h.listener != l // the connection was accepted while resetAll ran, which did not reset it
		h.mutex.Unlock()
		if stale {
			c.closeConn(true)
		}
		h.running.Go(c.readLoop)
		h.running.Go(c.serveLoop)
	}
}

// currentAddress returns host:port of the current or last listener.
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

// waitWhileSilent waits until the machine is reachable: data sent to it, and the end of a connection, arrive only then.
func (c *hostConn) waitWhileSilent() {
	for {
		c.host.mutex.Lock()
		reachableAgain := c.host.reachableAgain
		c.host.mutex.Unlock()
		if reachableAgain == nil {
			return
		}
		select {
		case <-reachableAgain:
		case <-c.closed:
			return
		}
	}
}

// readLoop reads the requests of a connection, and detects that the client closes it while a request is being served.
func (c *hostConn) readLoop() {
	defer close(c.clientDone)
	br := bufio.NewReader(c)
	for {
		_, err := br.Peek(1)
		sent := time.Now()
		c.waitWhileSilent()
		m := &message{firstByte: time.Now(), arrivedAt: sent}
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
		m.lastByte = time.Now()
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
		if c.host.idleTimeout > 0 {
			tooLong = time.After(c.host.idleTimeout)
		}
		select {
		case m := <-c.messages:
			m.idle = max(0, m.firstByte.Sub(c.idleSince))
			if !c.host.handle(c, m) || m.Close {
				return
			}
			c.requestsServed++
			c.idleSince = time.Now()
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
	c.closeConn(false)
	c.host.mutex.Lock()
	defer c.host.mutex.Unlock()
	delete(c.host.conns, c)
}

// closeConn closes the connection, with a reset if asked. Only the first call has an effect.
func (c *hostConn) closeConn(reset bool) {
	c.closeOnce.Do(func() {
		close(c.closed)
		if reset {
			Abort(c.Conn)
		} else {
			c.Close()
		}
	})
}

// wait waits for d. It returns false at once if this side closes the connection.
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

// waitForClient is like wait, but also returns false once the client has closed its sending side.
func (c *hostConn) waitForClient(d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.clientDone:
	case <-c.closed:
	}
	return false
}

// waitForClose waits until either side has closed the connection and returns false.
func (c *hostConn) waitForClose() bool {
	select {
	case <-c.clientDone:
	case <-c.closed:
	}
	return false
}

// write writes b once the machine is reachable and reports whether that succeeded.
func (c *hostConn) write(b []byte) bool {
	c.waitWhileSilent()
	_, err := c.Write(b)
	return err == nil
}

// encodeResponse returns an encoded response; head has further header lines.
func encodeResponse(status int, head string, body []byte) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), head, len(body), body)
}
