// Package admin is the front end for operators: it listens at an address of their own, reads one request from each connection and
// answers it. It decides nothing; what operators ask goes through Operations.
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
	// MaxConns is the number of connections that this front end normally has, beside its listener.
	MaxConns = 16

	requestTimeout = 2 * time.Second        // until the whole request was read
	writeTimeout   = 800 * time.Millisecond // for writing the answer: operators wait for a second
	lingerTime     = 200 * time.Millisecond // until a connection is closed whose client goes on sending
	acceptPause    = 5 * time.Millisecond   // after an error of accept
	minConns       = 2                      // see New
)

// Operations are what operators may ask for. None may wait for the network.
type Operations interface {
	Ready() bool // a request would be served
	Metrics() metrics.Values
	Cordon(id string) error   // cordons that server; cordon.ErrUnknownServer
	Uncordon(id string) error // uncordons it; cordon.ErrUnknownServer
}

// Server is the front end.
type Server struct {
	operations Operations
	maxOpen    int // connections that are read from or answered

	mu      sync.Mutex
	open    int
	reading list.List     // of net.Conn whose request is not read whole yet, the oldest first
	freed   chan struct{} // gets an element when a connection is closed
	running errgroup.Group
}

// New returns a front end with conns connections at most, of which one has just been accepted and waits for the room that another makes;
// below 2 counts as 2.
func New(operations Operations, conns int) *Server {
	return &Server{operations: operations, maxOpen: max(minConns, conns) - 1, freed: make(chan struct{}, 1)}
}

// Serve answers requests until ctx ends.
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
			case <-time.After(acceptPause):
			case <-ctx.Done():
				return nil
			}
			continue
		}
		s.waitForRoom(ctx)
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

// waitForRoom returns once there is room for another connection. It closes the one whose request is incomplete for longest; all others
// are being answered, which takes a moment.
func (s *Server) waitForRoom(ctx context.Context) {
	for {
		s.mu.Lock()
		full, oldest := s.open >= s.maxOpen, s.reading.Front()
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

// release closes a connection and makes room for another.
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

// serve reads the connection's request and answers it.
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
		resp = s.answer(req)
	case errors.Is(err, http1.ErrMalformed):
		resp = textResponse(400, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded) && br.Buffered() > 0:
		resp = textResponse(408, "no whole call came in time")
	default:
		return
	}
	resp.Close = true
	conn.SetDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(http1.AppendResponse(nil, &resp, false)); err != nil {
		return
	}
	if halfCloser, ok := conn.(interface{ CloseWrite() error }); ok { // a plain close may overtake the answer as a reset
		_ = halfCloser.CloseWrite() // the connection is closed anyway
		conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, br, http1.MaxBody) // likewise
	}
}
