// Package admin is the HTTP front end for operators. It listens on an address of its own, serves one request per connection, and
// carries requests out by calling Operations.
package admin

import (
	"container/list"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"plankrouter/internal/http1"
	"plankrouter/internal/metrics"
)

const (
	// MaxConns is the usual limit on open connections, not counting the listener; callers may pass a lower one to New.
	MaxConns = 16

	requestTimeout   = 2 * time.Second        // for reading the whole request
	writeTimeout     = 800 * time.Millisecond // for writing the response: operators wait for 1 s
	lingerTimeout    = 200 * time.Millisecond // after the response, for a client that is still sending to end, before the close
	acceptRetryDelay = 5 * time.Millisecond   // delay before accepting again after an error
	minConns         = 2                      // minimum limit on open connections: see New
)

// Operations are the operations that operators may request. None of them may block on the network.
type Operations interface {
	Ready() bool // reports whether a client's request could be served now
	Metrics() metrics.Values
	Cordon(id string) error   // returns cordon.ErrUnknownServer if the server is neither listed nor cordoned
	Uncordon(id string) error // returns cordon.ErrUnknownServer in the same case
}

// Server is the front end for operators.
type Server struct {
	operations Operations
	maxServed  int // limit on open connections, without the one that waits for capacity

	mu      sync.Mutex
	open    int
	reading list.List     // the connections (net.Conn) whose request has not been received in full, oldest first
	freed   chan struct{} // receives an element after a connection has been closed
	running errgroup.Group
}

// New returns a front end with at most conns open connections. One of them is reserved for a connection that was accepted and
// waits until another one is closed. The minimum is therefore 2; a smaller conns counts as 2.
func New(operations Operations, conns int) *Server {
	return &Server{operations: operations, maxServed: max(minConns, conns) - 1, freed: make(chan struct{}, 1)}
}

// Serve accepts connections and serves their requests until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	defer func() { _ = s.running.Wait() }() // its goroutines return no error
	for {
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				conn.Close()
			}
			return nil
		case err != nil:
			log.Printf("admin=%s state=accept_failed err=%q", l.Addr(), err)
			select {
			case <-time.After(acceptRetryDelay):
			case <-ctx.Done():
				return nil
			}
			continue
		}
		s.waitForCapacity(ctx)
		s.mu.Lock()
		s.open++
		position := s.reading.PushBack(conn)
		s.mu.Unlock()
		s.running.Go(func() error {
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			defer s.release(conn, position)
			s.serve(conn, position)
			return nil
		})
	}
}

// waitForCapacity returns once another connection may be served. If the limit is reached, it closes the connection whose
// request has been incomplete for longest. If all requests are complete, it waits for a response to be sent, which is limited
// by writeTimeout.
func (s *Server) waitForCapacity(ctx context.Context) {
	for {
		s.mu.Lock()
		full, oldest := s.open >= s.maxServed, s.reading.Front()
		if full && oldest != nil {
			s.reading.Remove(oldest).(net.Conn).Close()
		}
		s.mu.Unlock()
		if !full {
			return
		}
		select {
		case <-s.freed:
		case <-ctx.Done():
			return
		}
	}
}

// release closes a connection, no longer counts it as open, and notifies waitForCapacity.
func (s *Server) release(conn net.Conn, position *list.Element) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading.Remove(position)
	s.open--
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// serve reads the request of a connection and writes the response.
func (s *Server) serve(conn net.Conn, position *list.Element) {
	conn.SetDeadline(time.Now().Add(requestTimeout))
	br := http1.NewReader(conn)
	defer http1.FreeReader(br)
	req, err := http1.ReadRequest(br)
	if err == nil && req.WantsContinue() {
		_, err = conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if err == nil {
		err = req.ReadBody(br)
	}
	s.mu.Lock()
	s.reading.Remove(position)
	s.mu.Unlock()
	var resp http1.Response
	switch {
	case err == nil:
		resp = s.handle(req)
	case errors.Is(err, http1.ErrMalformed):
		resp = textResponse(400, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded) && br.Buffered() > 0:
		resp = textResponse(408, "timed out before the whole request was received")
	default:
		return
	}
	resp.Close = true
	conn.SetDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(http1.AppendResponse(nil, &resp, false)); err != nil {
		return
	}
	if halfCloser, ok := conn.(interface{ CloseWrite() error }); ok { // Close alone could reset it before the response arrives
		_ = halfCloser.CloseWrite() // the connection is closed anyway
		conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, br, http1.MaxBody) // an error does not matter: the connection is closed next
	}
}
