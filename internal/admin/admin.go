// Package admin is the front for operators: it listens at an address of their own, reads one call from each connection and
// answers it. It decides nothing; what operators ask goes through Operations.
package admin

import (
	"container/list"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/url"
	"os"
	"plankrouter/internal/cordon"
	"plankrouter/internal/http1"
	"plankrouter/internal/metrics"
	"strings"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
	"golang.org/x/sync/errgroup"
)

const (
	// MostConns are the connections that this front normally holds, beside its listener.
	MostConns = 16

	callWithin   = 2 * time.Second        // for the whole call; who sends half of one is owed nothing
	answerWithin = 800 * time.Millisecond // for writing the answer: operators wait for a second
	lingerFor    = 200 * time.Millisecond
	acceptPause  = 5 * time.Millisecond
)

// Operations are what operators may ask for. None may wait for a peer.
type Operations interface {
	Ready() bool // a request would be served
	Figures() metrics.Values
	Disable(id string) error // nothing more to that provider; cordon.ErrUnknown
	Enable(id string) error  // and put back; cordon.ErrUnknown
}

// Server is the front.
type Server struct {
	ops  Operations
	most int

	mu      sync.Mutex
	open    int
	silent  list.List // of net.Conn that have not brought a whole call, the oldest first
	freed   chan struct{}
	running errgroup.Group
}

// New returns a front for ops that holds conns connections at most, of which one has just been accepted and waits for the room
// that another makes; below 2 counts as 2.
func New(ops Operations, conns int) *Server {
	return &Server{ops: ops, most: max(2, conns) - 1, freed: make(chan struct{}, 1)}
}

// Serve answers calls until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	defer s.running.Wait()
	for {
		c, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				c.Close()
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
		s.room(ctx)
		s.mu.Lock()
		s.open++
		e := s.silent.PushBack(c)
		s.mu.Unlock()
		s.running.Go(func() error {
			defer context.AfterFunc(ctx, func() { c.Close() })()
			s.serve(c, e)
			return nil
		})
	}
}

// room returns once there is a place for another connection. It closes the one that has said nothing whole for longest; all
// others are being answered, which takes a moment.
func (s *Server) room(ctx context.Context) {
	for {
		s.mu.Lock()
		full, oldest := s.open >= s.most, s.silent.Front()
		if full && oldest != nil {
			s.silent.Remove(oldest).(net.Conn).Close()
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

// serve reads the call and answers it.
func (s *Server) serve(c net.Conn, e *list.Element) {
	defer func() {
		c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.silent.Remove(e)
		s.open--
		select {
		case s.freed <- struct{}{}:
		default:
		}
	}()
	c.SetDeadline(time.Now().Add(callWithin))
	br := http1.NewReader(c)
	defer http1.Free(br)
	req, err := http1.ReadRequest(br)
	if err == nil && req.WantsContinue() {
		_, err = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if err == nil {
		err = req.ReadBody(br)
	}
	s.mu.Lock()
	s.silent.Remove(e)
	s.mu.Unlock()
	var resp http1.Response
	switch {
	case err == nil:
		resp = s.answer(req)
	case errors.Is(err, http1.ErrMalformed):
		resp = said(400, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded) && br.Buffered() > 0:
		resp = said(408, "no whole call came in time")
	default:
		return
	}
	resp.Close = true
	c.SetDeadline(time.Now().Add(answerWithin))
	if _, err := c.Write(http1.AppendResponse(nil, &resp, false)); err != nil {
		return
	}
	if half, ok := c.(interface{ CloseWrite() error }); ok { // a plain close may overtake the answer as a reset
		half.CloseWrite()
		c.SetReadDeadline(time.Now().Add(lingerFor))
		io.CopyN(io.Discard, br, http1.MaxBody)
	}
}

// said words an answer.
func said(status int, text string) http1.Response {
	return http1.Response{
		Status: status, Header: http1.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}},
		Body: []byte(text + "\n"),
	}
}

// answer carries out a call.
func (s *Server) answer(req *http1.Request) http1.Response {
	target := req.Target
	if u, err := url.Parse(target); err == nil && u.Host != "" { // the absolute form
		target = u.RequestURI()
	}
	path, query, _ := strings.Cut(target, "?")
	method, act := "GET", (func(string) error)(nil)
	switch path {
	case "/ready", "/metrics":
	case "/tile-servers/disable":
		method, act = "PUT", s.ops.Disable
	case "/tile-servers/enable":
		method, act = "PUT", s.ops.Enable
	default:
		return said(404, "unknown path; there are /ready, /metrics, /tile-servers/disable and /tile-servers/enable")
	}
	if req.Method != method {
		resp := said(405, path+" takes "+method)
		resp.Header = append(resp.Header, http1.Field{Name: "Allow", Value: method})
		return resp
	}
	switch {
	case act != nil:
		return order(query, act)
	case path == "/metrics":
		b, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(s.ops.Figures())
		if err != nil {
			return said(500, err.Error())
		}
		return http1.Response{Status: 200, Header: http1.Header{{Name: "Content-Type", Value: "application/json"}}, Body: b}
	case !s.ops.Ready():
		return said(503, "not ready")
	}
	return said(200, "ready")
}

// order carries out an operator's word on the provider that the query names.
func order(query string, act func(string) error) http1.Response {
	values, err := url.ParseQuery(query)
	if err != nil {
		return said(400, "query: "+err.Error())
	}
	ids := values["target"]
	if len(ids) != 1 || ids[0] == "" {
		return said(400, "target: give the id of one tile server, as ?target=ID")
	}
	switch err := act(ids[0]); {
	case errors.Is(err, cordon.ErrUnknownServer):
		return said(404, "target: "+err.Error())
	case err != nil:
		return said(500, err.Error())
	}
	return said(200, "done")
}
