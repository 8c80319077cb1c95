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

// server is what a directory and a provider have in common: a listener that can go and come back, connections that
// carry one request at a time, and a machine that can fall silent.
type server struct {
	network Network
	handle  func(*peerConn, *message) bool // answers; false = the connection is to end
	idle    time.Duration                  // after which a connection is closed; 0 = never

	mu       sync.Mutex
	address  string
	listener Listener
	conns    map[*peerConn]struct{}
	accepted int
	silence  chan struct{} // closed when it ends; nil = none
	wg       sync.WaitGroup
}

// message is one request, read to its end.
type message struct {
	*http.Request
	body        []byte
	first, last time.Time     // when its first and last byte came
	sent        time.Time     // when the first byte was there to be read, also where the machine had vanished
	idle        time.Duration // of its connection before it
}

// peerConn is one accepted connection.
type peerConn struct {
	net.Conn
	server  *server
	number  int
	reqs    chan *message
	gone    chan struct{} // closed when the caller sends no more
	over    chan struct{} // closed when this side has ended it
	once    sync.Once
	freeAt  time.Time // when it was last answered or accepted
	carried int       // requests before the present one
	marked  bool      // for a fault that is to befall it; guarded by server.mu
}

func newServer(n Network, address string, idle time.Duration) server {
	return server{network: n, address: address, idle: idle, conns: map[*peerConn]struct{}{}}
}

// up listens, where it did before if it did.
func (s *server) up() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	l, err := s.network.Listen(s.address)
	if err != nil {
		return fmt.Errorf("listen on %q: %w", s.address, err)
	}
	s.listener, s.address = l, l.Addr().String()
	s.wg.Go(func() { s.accept(l) })
	return nil
}

// down refuses new connections and resets all others. A silence ends with it, but only once nobody can say anything.
func (s *server) down() {
	s.mu.Lock()
	l := s.listener
	s.listener = nil
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	if l != nil {
		l.Close()
	}
	for _, c := range conns {
		c.drop(true)
	}
	_ = s.hush(false)
}

// close is down for good.
func (s *server) close() {
	s.down()
	s.wg.Wait()
}

// mark marks the connections that are open now.
func (s *server) mark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.marked = true
	}
}

func (s *server) isMarked(c *peerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.marked
}

// hush makes the machine vanish, or come back with its process and connections as they were.
func (s *server) hush(on bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on == (s.silence != nil):
		return nil
	case on && s.listener == nil:
		return fmt.Errorf("vanish: nobody listens at %q: start it first", s.address)
	case on:
		s.silence = make(chan struct{})
	default:
		close(s.silence)
		s.silence = nil
	}
	if s.listener == nil {
		return nil
	}
	return s.listener.Freeze(on)
}

func (s *server) accept(l Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		c := &peerConn{
			Conn: nc, server: s, reqs: make(chan *message), gone: make(chan struct{}),
			over: make(chan struct{}), freeAt: time.Now(),
		}
		s.mu.Lock()
		s.accepted++
		c.number = s.accepted
		s.conns[c] = struct{}{}
		stale := s.listener != l // down has not seen it
		s.mu.Unlock()
		if stale {
			c.drop(true)
		}
		s.wg.Go(c.read)
		s.wg.Go(c.serve)
	}
}

// where is host:port, also while nobody listens there.
func (s *server) where() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// counts returns how many connections have been accepted and how many are open.
func (s *server) counts() (accepted, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, len(s.conns)
}

// heard waits until the machine is not silent: what was sent to it, ends included, arrives only then.
func (c *peerConn) heard() {
	for {
		c.server.mu.Lock()
		silence := c.server.silence
		c.server.mu.Unlock()
		if silence == nil {
			return
		}
		select {
		case <-silence:
		case <-c.over:
			return
		}
	}
}

// read reads one request after another, and the caller's end while one is being answered.
func (c *peerConn) read() {
	defer close(c.gone)
	br := bufio.NewReader(c)
	for {
		_, err := br.Peek(1)
		sent := time.Now()
		c.heard()
		m := &message{first: time.Now(), sent: sent}
		if err == nil {
			m.Request, err = http.ReadRequest(br)
		}
		if err == nil {
			m.body, err = io.ReadAll(m.Body)
			c.heard()
		}
		if err != nil {
			return
		}
		m.last = time.Now()
		select {
		case c.reqs <- m:
		case <-c.over:
			return
		}
	}
}

func (c *peerConn) serve() {
	defer c.end()
	for {
		var tooLong <-chan time.Time
		if c.server.idle > 0 {
			tooLong = time.After(c.server.idle)
		}
		select {
		case m := <-c.reqs:
			m.idle = max(0, m.first.Sub(c.freeAt))
			if !c.server.handle(c, m) || m.Close {
				return
			}
			c.carried++
			c.freeAt = time.Now()
		case <-tooLong:
			c.heard()
			return
		case <-c.gone:
			return
		case <-c.over:
			return
		}
	}
}

func (c *peerConn) end() {
	c.drop(false)
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	delete(c.server.conns, c)
}

// drop ends the connection, with a reset or in order. Only the first call counts.
func (c *peerConn) drop(reset bool) {
	c.once.Do(func() {
		close(c.over)
		if reset {
			Abort(c.Conn)
		} else {
			c.Conn.Close()
		}
	})
}

// wait waits for d and reports whether the connection has not been ended from this side meanwhile.
func (c *peerConn) wait(d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.over:
		return false
	}
}

// forever waits until either side has ended the connection.
func (c *peerConn) forever() bool {
	select {
	case <-c.gone:
	case <-c.over:
	}
	return false
}

// say writes once the machine may speak, and reports whether that went well.
func (c *peerConn) say(b []byte) bool {
	c.heard()
	_, err := c.Write(b)
	return err == nil
}

// answer words an answer.
func answer(status int, head string, body []byte) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), head, len(body), body)
}
