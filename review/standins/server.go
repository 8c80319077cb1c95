package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for a tile server. The hook handles each request; false closes the connection.
type server struct {
	name     string
	listener net.Listener
	record   *record
	hook     func(*serverConn, *message) bool
	readRate atomic.Int64 // bytes of a body that it reads in a second; 0 = as they come

	mu     sync.Mutex
	active int
	runs   map[string]int // requests run, by id
	meanMs float64
}

// serverConn is one connection of a sidecar.
type serverConn struct {
	net.Conn
	server *server
	writes sync.Mutex
}

func newServer(name string, r *record, hook func(*serverConn, *message) bool) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{name: name, listener: l, record: r, hook: hook, runs: map[string]int{}, meanMs: 20}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(&serverConn{Conn: c, server: s})
		}
	}()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) serve(c *serverConn) {
	defer c.Close()
	if tcp, ok := c.Conn.(*net.TCPConn); ok && s.readRate.Load() > 0 {
		_ = tcp.SetReadBuffer(64 << 10) // a server that reads slowly doesn't hold megabytes that it has not read
	}
	reader := bufio.NewReaderSize(c, 64<<10)
	for {
		m, err := readHead(reader)
		if err == nil {
			err = readBody(reader, m, s.pauses())
		}
		if err != nil {
			return
		}
		switch target := m.target(); {
		case target == "/alive" || target == "/metrics/load":
			s.mu.Lock()
			load := fmt.Sprintf(`{"active":%d,"avg_ms":%.1f}`, s.active, s.meanMs)
			s.mu.Unlock()
			c.respond(200, "", load)
			continue
		case m.id() == "":
			c.respond(404, "", "no id")
			continue
		}
		s.mu.Lock()
		s.active++
		s.mu.Unlock()
		keep := s.hook(c, m)
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
		if !keep {
			return
		}
	}
}

// pauses returns what waits after each piece of a body, nil if nothing does.
func (s *server) pauses() func(int) {
	rate := s.readRate.Load()
	if rate == 0 {
		return nil
	}
	return func(n int) { time.Sleep(time.Duration(n) * time.Second / time.Duration(rate)) }
}

// run runs the request.
func (s *server) run(m *message, work time.Duration) {
	time.Sleep(work)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[m.id()]++
	s.meanMs += 0.1 * (float64(work.Milliseconds()) - s.meanMs)
	s.record.line("ran       %s at %s", m.id(), s.name)
}

// responseOf returns a whole answer with a Content-Length.
func responseOf(status int, header, body string) []byte {
	reason := map[int]string{200: "OK", 404: "Not Found", 500: "Internal Server Error", 503: "Service Unavailable"}[status]
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, reason, header, len(body), body)
}

// respond writes a whole answer.
func (c *serverConn) respond(status int, header, body string) bool {
	c.writes.Lock()
	defer c.writes.Unlock()
	_, err := c.Write(responseOf(status, header, body))
	return err == nil
}

// className returns the request's class, the first segment of its path.
func (m *message) className() string {
	name, _, _ := strings.Cut(strings.TrimPrefix(m.target(), "/"), "/")
	return name
}
