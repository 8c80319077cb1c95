package frontend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter/internal/config"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/metrics"
	"plankrouter/internal/request"
	"plankrouter/internal/streaming"
)

// immediateDispatcher is a dispatcher that responds immediately.
type immediateDispatcher struct{ manualDispatcher }

func (d *immediateDispatcher) Submit(r *request.Request) bool {
	d.manualDispatcher.Submit(r)
	go d.respondAll()
	return true
}

// gatedListener is a listener whose Accept waits until the gate opens.
type gatedListener struct {
	*net.TCPListener
	reached, gate chan struct{}
	once          sync.Once
}

func (g *gatedListener) Accept() (net.Conn, error) {
	g.once.Do(func() { close(g.reached) })
	<-g.gate
	return g.TCPListener.Accept()
}

// serveBehindGate starts a server for at most sockets sockets, which accepts once the gate opens. It returns the server, its
// listener, and a channel with the error that Serve returns.
func serveBehindGate(t *testing.T, dispatcher request.Dispatcher, sockets int) (*Server, *gatedListener, <-chan error) {
	t.Helper()
	plain, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l := &gatedListener{TCPListener: plain, reached: make(chan struct{}), gate: make(chan struct{})}
	cfg := &config.Config{}
	cfg.Settings.Classes = []config.Class{{Name: "tile", HardLimitMs: 2500, Repeat: config.Pure}}
	s := New(cfg, dispatcher, connlimit.NewBudget(sockets, nil), new(metrics.Registry), streaming.New(1<<20, sockets))
	done := make(chan error, 1)
	go func() { done <- s.Serve(t.Context(), l) }()
	<-l.reached
	return s, l, done
}

// A request in the backlog when Drain is called gets its response, however late Serve accepts the connection; later
// connections are refused.
func TestDrainServesTheBacklog(t *testing.T) {
	for _, late := range []time.Duration{0, 15 * time.Millisecond} {
		plain, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		l := &gatedListener{TCPListener: plain, reached: make(chan struct{}), gate: make(chan struct{})}
		cfg := &config.Config{}
		cfg.Settings.Classes = []config.Class{{Name: "tile", HardLimitMs: 2500, Repeat: config.Pure}}
		s := New(cfg, new(immediateDispatcher), connlimit.NewBudget(16, nil), new(metrics.Registry), streaming.New(1<<20, 16))
		done := make(chan error, 1)
		go func() { done <- s.Serve(t.Context(), l) }()
		<-l.reached
		var clients []net.Conn
		for i := range 3 {
			c, err := net.Dial("tcp", plain.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\n\r\n", i)
			clients = append(clients, c)
		}
		s.Drain(l)
		time.Sleep(late)
		close(l.gate)
		for i, c := range clients {
			c.SetDeadline(time.Now().Add(10 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != 200 || !resp.Close {
				t.Errorf("accepted %s after Drain, connection %d: %v, %v", late, i, resp, err)
			}
			c.Close()
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		if c, err := net.Dial("tcp", plain.Addr().String()); err == nil {
			c.Close()
			t.Error("the listener is still open")
		}
	}
}

// deadlinePipes is a pipeListener with a deadline for Accept, like a TCP listener.
type deadlinePipes struct {
	*pipeListener
	mu       sync.Mutex
	deadline time.Time
}

func (d *deadlinePipes) SetDeadline(at time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadline = at
	time.AfterFunc(time.Until(at), func() { d.conns <- nil }) // makes a blocked Accept return
	return nil
}

func (d *deadlinePipes) Accept() (net.Conn, error) {
	for {
		d.mu.Lock()
		over := !d.deadline.IsZero() && !time.Now().Before(d.deadline)
		d.mu.Unlock()
		if over {
			return nil, os.ErrDeadlineExceeded
		}
		if c, err := d.pipeListener.Accept(); c != nil || err != nil {
			return c, err
		}
	}
}

// A connection that waits in the backlog is accepted once the connections that Drain closes free a slot, and never beyond the
// limit.
func TestDrainWaitsForASlot(t *testing.T) {
	for occupied, want := range map[int]int{0: 200, 1: 0} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cfg := &config.Config{}
			cfg.Settings.Classes = []config.Class{{Name: "tile", HardLimitMs: 2500, Repeat: config.Pure}}
			l := &deadlinePipes{pipeListener: newPipeListener()}
			budget := connlimit.NewBudget(4, nil) // two of them are for clients
			s := &testServer{Server: New(cfg, new(immediateDispatcher), budget, new(metrics.Registry), streaming.New(1<<20, 16)), listener: l.pipeListener, done: make(chan error, 1)}
			for range occupied {
				budget.ReserveBeyondLimit(connlimit.Inbound)
			}
			go func() { s.done <- s.Serve(ctx, l) }()
			for range 2 - occupied {
				c := s.connect()
				c.sendRequest("a")
				if got := c.readStatus(); got != "200" {
					t.Fatal(got)
				}
			}
			if occupied > 0 {
				budget.ReserveBeyondLimit(connlimit.Inbound) // occupies the last slot, which Drain can't free
			}
			serverEnd, clientEnd := net.Pipe()
			l.conns <- serverEnd
			go fmt.Fprint(clientEnd, "GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: b\r\n\r\n")
			began := time.Now()
			s.Drain(l)
			clientEnd.SetReadDeadline(time.Now().Add(time.Second))
			got := 0
			if resp, err := http.ReadResponse(bufio.NewReader(clientEnd), nil); err == nil {
				got = resp.StatusCode
			} else if !errors.Is(err, os.ErrDeadlineExceeded) && want > 0 {
				t.Error(err)
			}
			if got != want {
				t.Errorf("%d occupied: %d, want %d", occupied, got, want)
			}
			clientEnd.Close()
			if err := <-s.done; err != nil || time.Since(began) > 2*time.Second {
				t.Errorf("ended after %s: %v", time.Since(began), err)
			}
			serverEnd.Close()
			cancel()
		})
	}
}

// failingListener is a gatedListener whose Accept fails failuresLeft times once its gate is open.
type failingListener struct {
	*gatedListener
	err          error
	failuresLeft int
}

func (f *failingListener) Accept() (net.Conn, error) {
	f.once.Do(func() { close(f.reached) })
	<-f.gate
	if f.failuresLeft--; f.failuresLeft >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", f.err)}
	}
	return f.TCPListener.Accept()
}

// An accept that fails temporarily while draining does not lose the connections in the backlog.
func TestDrainRetriesAFailingAccept(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS} {
		plain, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		l := &failingListener{&gatedListener{TCPListener: plain, reached: make(chan struct{}), gate: make(chan struct{})}, errno, 2}
		cfg := &config.Config{}
		cfg.Settings.Classes = []config.Class{{Name: "tile", HardLimitMs: 2500, Repeat: config.Pure}}
		s := New(cfg, new(immediateDispatcher), connlimit.NewBudget(16, nil), new(metrics.Registry), streaming.New(1<<20, 16))
		done := make(chan error, 1)
		go func() { done <- s.Serve(t.Context(), l) }()
		<-l.reached
		c, err := net.Dial("tcp", plain.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, "GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\n\r\n")
		s.Drain(l)
		time.Sleep(11 * time.Millisecond) // the backlog has to be checked for the last time
		close(l.gate)
		c.SetDeadline(time.Now().Add(10 * time.Second))
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Errorf("accept fails twice with %v: %v, %v", errno, resp, err)
		}
		c.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// While draining, a request gets its response even if many connections that send nothing, or an incomplete request, are ahead
// of it in the backlog.
func TestDrainServesBacklogBehindUnusedConnections(t *testing.T) {
	for name, sent := range map[string]string{"silent": "", "incomplete request": "POST /order/1 HTTP/1.1\r\nHost: x\r\nContent-Le"} {
		t.Run(name, func(t *testing.T) { testDrainBehindOthers(t, sent) })
	}
}

func testDrainBehindOthers(t *testing.T, sent string) {
	s, l, done := serveBehindGate(t, new(immediateDispatcher), 48) // 12 of them for unused connections
	for range 24 {
		other, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
		fmt.Fprint(other, sent)
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\n\r\n")
	s.Drain(l)
	close(l.gate)
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("behind unused connections: %v, %v", resp, err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
