package fakes

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// onBothNetworks runs a test in a bubble on the Memory network and in real time on loopback.
func onBothNetworks(t *testing.T, test func(t *testing.T, n Network)) {
	t.Parallel()
	for name, delay := range map[string]time.Duration{"memory": 0, "delayed": 3 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := NewMemory()
				n.SetDelay(delay, 0)
				test(t, n)
			})
		})
	}
	t.Run("loopback", func(t *testing.T) { test(t, Loopback()) })
}

// ok fails the test at once if any of errs is not nil.
func ok(t *testing.T, errs ...error) {
	t.Helper()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
}

// connPair returns both ends of a connection.
func connPair(t *testing.T, n Network) (a, b net.Conn) {
	t.Helper()
	l, err := n.Listen("")
	ok(t, err)
	defer l.Close()
	a, err = n.Dial(t.Context(), l.Addr().String())
	ok(t, err)
	b, err = l.Accept()
	ok(t, err)
	for _, c := range []net.Conn{a, b} {
		t.Cleanup(func() { c.Close() })
		ok(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	}
	return a, b
}

func send(t *testing.T, c net.Conn, s string) {
	t.Helper()
	_, err := io.WriteString(c, s)
	ok(t, err)
}

// expectRead reads to the end and checks the data and the error that ends it; end is nil for a graceful close.
func expectRead(t *testing.T, c net.Conn, want string, end error) {
	t.Helper()
	got, err := io.ReadAll(c)
	if string(got) != want || !errors.Is(err, end) {
		t.Errorf("got %q, %v; want %q, %v", got, err, want, end)
	}
	var op *net.OpError
	if err != nil && !errors.As(err, &op) {
		t.Errorf("%v is not a *net.OpError", err)
	}
}

// failingWrite writes until a write fails, and returns the error.
func failingWrite(c net.Conn) error {
	for {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

func TestConnections(t *testing.T) {
	for name, test := range map[string]func(t *testing.T, a, b net.Conn){
		"data and a close": func(t *testing.T, a, b net.Conn) {
			send(t, b, "ab")
			ok(t, b.Close())
			expectRead(t, a, "ab", nil)
		},
		"half close": func(t *testing.T, a, b net.Conn) {
			send(t, a, "ab")
			ok(t, a.(interface{ CloseWrite() error }).CloseWrite())
			if _, err := a.Write([]byte("c")); !errors.Is(err, syscall.EPIPE) {
				t.Errorf("a write after the half close: %v", err)
			}
			expectRead(t, b, "ab", nil)
			send(t, b, "cd")
			ok(t, b.Close())
			expectRead(t, a, "cd", nil)
		},
		"reset after data": func(t *testing.T, a, b net.Conn) {
			send(t, b, "ab")
			_, err := io.ReadFull(a, make([]byte, 1))
			ok(t, err)
			Abort(b)
			expectRead(t, a, "b", syscall.ECONNRESET)
		},
		"writes after a reset": func(t *testing.T, a, b net.Conn) {
			Abort(b)
			if err := failingWrite(a); !errors.Is(err, syscall.ECONNRESET) {
				t.Error(err)
			}
		},
		"closed with unread data": func(t *testing.T, a, b net.Conn) {
			send(t, a, "ab")
			_, err := io.ReadFull(b, make([]byte, 1))
			ok(t, err, b.Close())
			expectRead(t, a, "", syscall.ECONNRESET)
		},
		"write after the close": func(t *testing.T, a, b net.Conn) {
			ok(t, b.Close())
			expectRead(t, a, "", nil)
			send(t, a, "x") // the first write succeeds and triggers a reset
			if err := failingWrite(a); !errors.Is(err, syscall.EPIPE) {
				t.Error(err)
			}
			expectRead(t, a, "", nil)
		},
		"read deadline, then cleared": func(t *testing.T, a, b net.Conn) {
			start := time.Now()
			ok(t, a.SetReadDeadline(start.Add(20*time.Millisecond)))
			expectRead(t, a, "", os.ErrDeadlineExceeded)
			if time.Since(start) < 20*time.Millisecond {
				t.Error("too early")
			}
			ok(t, a.SetReadDeadline(time.Time{}))
			send(t, b, "ab")
			ok(t, b.Close())
			expectRead(t, a, "ab", nil)
		},
		"deadline set during a read": func(t *testing.T, a, _ net.Conn) {
			time.AfterFunc(10*time.Millisecond, func() { a.SetReadDeadline(time.Unix(1, 0)) })
			expectRead(t, a, "", os.ErrDeadlineExceeded)
		},
		"write deadline": func(t *testing.T, a, _ net.Conn) {
			much := make([]byte, 32<<20)
			ok(t, a.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
			n, err := a.Write(much)
			if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%d, %v", n, err)
			}
		},
		"write blocked by a full window": func(t *testing.T, a, b net.Conn) {
			done := make(chan error)
			go func() { _, err := a.Write(make([]byte, 32<<20)); a.Close(); done <- err }()
			n, err := io.Copy(io.Discard, b)
			if ok(t, err, <-done); n != 32<<20 {
				t.Error(n)
			}
		},
		"close during a read": func(t *testing.T, a, _ net.Conn) {
			time.AfterFunc(10*time.Millisecond, func() { a.Close() })
			expectRead(t, a, "", net.ErrClosed)
			if a.Close() == nil {
				t.Error("closed twice")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			onBothNetworks(t, func(t *testing.T, n Network) {
				a, b := connPair(t, n)
				test(t, a, b)
			})
		})
	}
}

func TestListeners(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, n Network) {
		l, err := n.Listen("")
		ok(t, err)
		address := l.Addr().String()
		dial := func(within time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), within)
			defer cancel()
			c, err := n.Dial(ctx, address)
			if err == nil {
				send(t, c, "x")
				c.Close()
			}
			return err
		}
		accept := func() {
			c, err := l.Accept()
			ok(t, err)
			expectRead(t, c, "x", nil)
			c.Close()
		}
		if _, err := n.Listen(address); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("second listener at the same address: %v", err)
		}
		ok(t, dial(10*time.Second))
		accept()
		ok(t, l.Freeze(true), l.Freeze(true))
		var timeout net.Error
		if err := dial(60 * time.Millisecond); !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Errorf("frozen: %v", err)
		}
		ok(t, l.Freeze(false), dial(10*time.Second))
		accept() // accepts the new connection only, and none of those that filled the queue
		ok(t, l.Freeze(true))
		time.AfterFunc(10*time.Millisecond, func() { l.Close() })
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("closed: %v", err)
		}
		if err := dial(10 * time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("closed: %v", err)
		}
		l, err = n.Listen(address)
		ok(t, err)
		ok(t, dial(10*time.Second), l.Close())
	})
}
