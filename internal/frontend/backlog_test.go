package frontend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"plankrouter/internal/config"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/metrics"
	"plankrouter/internal/request"
	"plankrouter/internal/streaming"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// quick is a core that answers at once.
type quick struct{ holding }

func (c *quick) Submit(r *request.Request) bool {
	c.holding.Submit(r)
	go c.answer()
	return true
}

// gated is a listener whose Accept is held until the gate opens.
type gated struct {
	*net.TCPListener
	at, gate chan struct{}
	once     sync.Once
}

func (g *gated) Accept() (net.Conn, error) {
	g.once.Do(func() { close(g.at) })
	<-g.gate
	return g.TCPListener.Accept()
}

// behindGate returns a front with so many places that is about to accept, as soon as the gate opens, and where its end is told.
func behindGate(t *testing.T, core request.Dispatcher, places int) (*Server, *gated, <-chan error) {
	t.Helper()
	plain, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l := &gated{TCPListener: plain, at: make(chan struct{}), gate: make(chan struct{})}
	cfg := &config.Config{}
	cfg.Settings.Classes = []config.Class{{Name: "tile", HardLimitMs: 2500, Repeat: config.Pure}}
	s := New(cfg, core, connlimit.NewBudget(places, nil), new(metrics.Registry), streaming.New(1<<20, places))
	done := make(chan error, 1)
	go func() { done <- s.Serve(t.Context(), l) }()
	<-l.at
	return s, l, done
}

// What the kernel has accepted when the front is closed is answered, however late Serve comes to it; what knocks after that
// finds nobody.
func TestDrainTakesTheBacklog(t *testing.T) {
	for _, late := range []time.Duration{0, 15 * time.Millisecond} {
		plain, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		l := &gated{TCPListener: plain, at: make(chan struct{}), gate: make(chan struct{})}
		cfg := &config.Config{}
		cfg.Settings.Classes = []config.Class{{Name: "tile", HardLimitMs: 2500, Repeat: config.Pure}}
		s := New(cfg, new(quick), connlimit.NewBudget(16, nil), new(metrics.Registry), streaming.New(1<<20, 16))
		done := make(chan error, 1)
		go func() { done <- s.Serve(t.Context(), l) }()
		<-l.at
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
			t.Error("it still listens")
		}
	}
}

// until is pipes with a deadline, past which even what is there is not accepted, as of a TCP listener.
type until struct {
	*pipes
	mu sync.Mutex
	at time.Time
}

func (u *until) SetDeadline(at time.Time) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.at = at
	time.AfterFunc(time.Until(at), func() { u.pipes.conns <- nil }) // wakes who waits
	return nil
}

func (u *until) Accept() (net.Conn, error) {
	for {
		u.mu.Lock()
		over := !u.at.IsZero() && !time.Now().Before(u.at)
		u.mu.Unlock()
		if over {
			return nil, os.ErrDeadlineExceeded
		}
		if c, err := u.pipes.Accept(); c != nil || err != nil {
			return c, err
		}
	}
}

// A connection that waits for room is taken when Drain's own closes make it, and no later than that; never over the limit.
func TestDrainWaitsForRoom(t *testing.T) {
	for held, want := range map[int]int{0: 200, 1: 0} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cfg := &config.Config{}
			cfg.Settings.Classes = []config.Class{{Name: "tile", HardLimitMs: 2500, Repeat: config.Pure}}
			l := &until{pipes: newPipes()}
			budget := connlimit.NewBudget(4, nil) // two of them are for consumers
			h := &testServer{Server: New(cfg, new(quick), budget, new(metrics.Registry), streaming.New(1<<20, 16)), l: l.pipes, done: make(chan error, 1)}
			for range held {
				budget.ReserveBeyondLimit(connlimit.Inward)
			}
			go func() { h.done <- h.Serve(ctx, l) }()
			for range 2 - held {
				c := h.connect()
				c.ask("a")
				if got := c.gets(); got != "200" {
					t.Fatal(got)
				}
			}
			if held > 0 {
				budget.ReserveBeyondLimit(connlimit.Inward) // which nothing makes room for
			}
			mine, theirs := net.Pipe()
			l.conns <- mine
			go fmt.Fprint(theirs, "GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: b\r\n\r\n")
			began := time.Now()
			h.Drain(l)
			theirs.SetReadDeadline(time.Now().Add(time.Second))
			got := 0
			if resp, err := http.ReadResponse(bufio.NewReader(theirs), nil); err == nil {
				got = resp.StatusCode
			} else if !errors.Is(err, os.ErrDeadlineExceeded) && want > 0 {
				t.Error(err)
			}
			if got != want {
				t.Errorf("%d held: %d, want %d", held, got, want)
			}
			theirs.Close()
			if err := <-h.done; err != nil || time.Since(began) > 2*time.Second {
				t.Errorf("ended after %s: %v", time.Since(began), err)
			}
			mine.Close()
			cancel()
		})
	}
}

// faulty is a listener whose Accept fails so many times once its gate is open.
type faulty struct {
	*gated
	err   error
	times int
}

func (f *faulty) Accept() (net.Conn, error) {
	f.once.Do(func() { close(f.at) })
	<-f.gate
	if f.times--; f.times >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", f.err)}
	}
	return f.TCPListener.Accept()
}

// An accept that fails for a moment as the front is closed does not end what lies in the backlog.
func TestDrainOutlastsAFailingAccept(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS} {
		plain, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		l := &faulty{&gated{TCPListener: plain, at: make(chan struct{}), gate: make(chan struct{})}, errno, 2}
		cfg := &config.Config{}
		cfg.Settings.Classes = []config.Class{{Name: "tile", HardLimitMs: 2500, Repeat: config.Pure}}
		s := New(cfg, new(quick), connlimit.NewBudget(16, nil), new(metrics.Registry), streaming.New(1<<20, 16))
		done := make(chan error, 1)
		go func() { done <- s.Serve(t.Context(), l) }()
		<-l.at
		c, err := net.Dial("tcp", plain.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, "GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\n\r\n")
		s.Drain(l)
		time.Sleep(11 * time.Millisecond) // the last look is due
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

// A crowd that says nothing, or half of something, does not keep a request in the backlog from its answer as the front is closed.
func TestDrainOutlastsACrowd(t *testing.T) {
	for name, says := range map[string]string{"silent": "", "half a request": "POST /order/1 HTTP/1.1\r\nHost: x\r\nContent-Le"} {
		t.Run(name, func(t *testing.T) { drainBehind(t, says) })
	}
}

func drainBehind(t *testing.T, says string) {
	s, l, done := behindGate(t, new(quick), 48) // 12 of them for strangers
	for range 24 {
		one, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer one.Close()
		fmt.Fprint(one, says)
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
		t.Errorf("behind a crowd: %v, %v", resp, err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
