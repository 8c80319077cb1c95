package frontend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"plankrouter/internal/config"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/metrics"
	"plankrouter/internal/request"
	"plankrouter/internal/streaming"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// holding is a core that answers when it is told to.
type holding struct {
	mu   sync.Mutex
	held []*request.Request
}

func (c *holding) Submit(r *request.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = append(c.held, r)
	return true
}
func (c *holding) ClientGone(*request.Request) {}
func (c *holding) Ready() bool                 { return true }

func (c *holding) answer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.held {
		r.Respond(request.Response{Kind: request.Served, Body: []byte("ok")})
	}
	c.held = nil
}

// pipes is a listener that can be paused by a deadline, as a TCP listener.
type pipes struct {
	conns  chan net.Conn
	mu     sync.Mutex
	paused chan struct{} // closed while accepting must fail
	closed chan struct{}
	once   sync.Once
}

func newPipes() *pipes {
	return &pipes{conns: make(chan net.Conn, 8), paused: make(chan struct{}), closed: make(chan struct{})}
}

func (p *pipes) pause(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		close(p.paused)
	} else {
		p.paused = make(chan struct{})
	}
}

func (p *pipes) Accept() (net.Conn, error) {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	select {
	case <-paused:
		return nil, errors.New("past the deadline")
	case <-p.closed:
		return nil, net.ErrClosed
	default:
	}
	select {
	case c := <-p.conns:
		return c, nil
	case <-paused:
		return nil, errors.New("past the deadline")
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// testServer is a front with its listener and core.
type testServer struct {
	*Server
	core *holding
	l    *pipes
	done chan error
}

func newTestServer(t *testing.T, ctx context.Context) *testServer {
	t.Helper()
	cfg := &config.Config{}
	cfg.Settings.Classes = []config.Class{{Name: "tile", HardLimitMs: 2500, Repeat: config.Pure}}
	h := &testServer{core: new(holding), l: newPipes(), done: make(chan error, 1)}
	h.Server = New(cfg, h.core, connlimit.NewBudget(16, nil), new(metrics.Registry), streaming.New(1<<20, 16))
	go func() { h.done <- h.Serve(ctx, h.l) }()
	return h
}

// shared is a connection of which two processes may have a copy: it is closed when both are.
type shared struct {
	net.Conn
	copies atomic.Int32
}

func (s *shared) Close() error {
	if s.copies.Add(-1) == 0 {
		return s.Conn.Close()
	}
	return nil
}

// client is a consumer's end.
type client struct {
	net.Conn
	br *bufio.Reader
}

func (h *testServer) connect() *client {
	mine, theirs := net.Pipe()
	one := &shared{Conn: mine}
	one.copies.Store(1)
	h.l.conns <- one
	synctest.Wait()
	return &client{theirs, bufio.NewReader(theirs)}
}

func (c *client) ask(id string) {
	c.SetDeadline(time.Now().Add(time.Second))
	c.Write([]byte("GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\n\r\n"))
	synctest.Wait()
}

// gets is what the consumer gets: an answer's status, "closed", or "nothing".
func (c *client) gets() string {
	synctest.Wait()
	c.SetReadDeadline(time.Now().Add(time.Millisecond))
	r, err := http.ReadResponse(c.br, nil)
	var late net.Error
	switch {
	case err == nil:
		word := r.Status[:3]
		if r.Close {
			word += " last"
		}
		b := make([]byte, r.ContentLength)
		r.Body.Read(b)
		return word
	case errors.As(err, &late) && late.Timeout():
		return "nothing"
	}
	return "closed"
}

// Connections go to a successor one by one, between two messages, with what they have brought so far, and serve on there;
// one whose request is under way goes with its answer, and no more comes in here.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		old, next := newTestServer(t, ctx), newTestServer(t, ctx)
		fresh, idle, busy := old.connect(), old.connect(), old.connect()
		idle.ask("a")
		old.core.answer()
		if got := idle.gets(); got != "200" {
			t.Fatalf("before: %s", got)
		}
		busy.ask("b")
		done := next.Expect()
		var mu sync.Mutex
		notes := map[string]int{}
		left := old.HandOver(func(c net.Conn, note []byte) error {
			mu.Lock()
			defer mu.Unlock()
			notes[string(note)]++
			c.(*shared).copies.Add(1)
			next.Adopt(c, note)
			return nil
		})
		late := old.connect() // it had knocked before the listener was stopped
		old.l.pause(true)
		synctest.Wait()
		select {
		case <-left:
			t.Error("nothing is left, with a request under way")
		default:
		}
		time.Sleep(3 * time.Second) // one that had brought something may be idle for longer than one that has not
		for _, c := range []*client{fresh, late} {
			if got := c.gets(); got != "closed" {
				t.Errorf("one that brings nothing: %s", got)
			}
		}
		if !old.Passing() || notes[""] != 2 || notes[noteHasSentRequest] != 1 || len(notes) != 2 {
			t.Errorf("passing %t, with notes %v", old.Passing(), notes)
		}
		idle.ask("c")
		next.core.answer()
		if got := idle.gets(); got != "200" {
			t.Errorf("one that had brought something, at the successor: %s", got)
		}
		old.core.answer()
		if got := busy.gets(); got != "200" {
			t.Errorf("the request under way: %s", got)
		}
		synctest.Wait()
		select {
		case <-left:
		default:
			t.Error("connections are left")
		}
		busy.ask("e")
		next.core.answer()
		if got := busy.gets(); got != "200" || notes[noteHasSentRequest] != 2 || next.Adopted.Load() != 4 {
			t.Errorf("after its answer: %s, with notes %v", got, notes)
		}
		// Told to stop, the successor ends what it has adopted with its last answer, and waits for what may still come.
		next.Drain(next.l)
		if got := idle.gets(); got != "closed" {
			t.Errorf("an idle one: %s", got)
		}
		mine, theirs := net.Pipe()
		c := &client{theirs, bufio.NewReader(theirs)}
		go c.Write([]byte("GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: f\r\n\r\n"))
		synctest.Wait()
		next.Adopt(mine, []byte(noteHasSentRequest))
		synctest.Wait()
		next.core.answer()
		if got := c.gets(); got != "200 last" && got != "closed" {
			t.Errorf("one that came late: %s", got)
		}
		select {
		case <-next.done:
			t.Error("the successor's front has ended while more may come")
		default:
		}
		done()
		time.Sleep(time.Second)
		if err := <-next.done; err != nil {
			t.Error(err)
		}
		cancel()
		<-old.done
	})
}

// A successor that is lost, or does not take a connection, leaves everything as it was.
func TestHandOverLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newTestServer(t, ctx)
		fresh, idle := h.connect(), h.connect()
		idle.ask("a")
		h.core.answer()
		idle.gets()
		var tried atomic.Int32
		left := h.HandOver(func(net.Conn, []byte) error { tried.Add(1); return errors.New("lost") })
		h.l.pause(true)
		synctest.Wait()
		h.l.pause(false)
		h.Resume()
		if synctest.Wait(); tried.Load() != 2 || h.Passing() {
			t.Errorf("%d tries, passing %t", tried.Load(), h.Passing())
		}
		select {
		case <-left:
			t.Error("nothing is left")
		default:
		}
		for i, c := range []*client{idle, fresh, h.connect()} {
			c.ask([]string{"b", "c", "d"}[i])
			h.core.answer()
			if got := c.gets(); got != "200" {
				t.Errorf("connection %d: %s", i, got)
			}
		}
		cancel()
		<-h.done
	})
}

// While the process waits for its end, connections that are kept stay, however long they are idle and however scarce
// sockets are.
func TestStay(t *testing.T) {
	for stay, want := range map[bool]string{true: "200", false: "closed"} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			h := newTestServer(t, ctx)
			for range 9 { // more than half of the places
				h.budget.Reserve(connlimit.Outward)
			}
			c := h.connect()
			c.ask("a")
			h.core.answer()
			c.gets()
			if stay {
				h.Stay()
			}
			time.Sleep(3 * idleCheckInterval)
			c.ask("b")
			h.core.answer()
			if got := c.gets(); got != want {
				t.Errorf("stay %t: %s, want %s", stay, got, want)
			}
			cancel()
			<-h.done
		})
	}
}

func TestDrainEndsAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestServer(t, t.Context())
		left := h.HandOver(func(net.Conn, []byte) error { return nil })
		synctest.Wait()
		select {
		case <-left:
			t.Error("nothing is left, while connections may still come in")
		default:
		}
		h.l.pause(true)
		<-left
		h.Drain(h.l)
		if err := <-h.done; err != nil {
			t.Error(err)
		}
	})
}
