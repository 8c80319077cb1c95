package hotrestart

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// testListener returns a listener on the loopback address.
func testListener(t *testing.T) *net.TCPListener {
	l := must(net.Listen("tcp", "127.0.0.1:0")).(*net.TCPListener)
	t.Cleanup(func() { l.Close() })
	return l
}

// Of two processes that the platform has started, the second finds the first and receives its state, open request ids and
// connections; a third one then finds the second. This also works in a folder whose path is too long for a socket address.
func TestHandoverBetweenPlatformProcesses(t *testing.T) {
	for _, folder := range []string{t.TempDir(), filepath.Join(t.TempDir(), strings.Repeat("long", 40))} {
		if err := os.MkdirAll(folder, 0o700); err != nil {
			t.Fatal(err)
		}
		if s, err := FindPredecessor(folder); s != nil || err != nil {
			t.Fatalf("found %v, %v where no process listens", s, err)
		}
		var first, second Coordinator
		var ids []string
		for i := range 9000 { // more than fit into one message
			ids = append(ids, "request-"+strconv.Itoa(i))
		}
		rendezvous, own := must(ListenForSuccessor(folder)), testListener(t)
		result := make(chan error, 1)
		go func() {
			p, err := first.HandOverTo(t.Context(), must(rendezvous.AcceptUnix()), own,
				Options{Name: "n1", State: state, OpenRequests: func() []string { return ids }})
			if err == nil {
				err = errors.Join(p.TransferConn(client(t, own.Addr().String()), []byte("known")), p.Complete())
			}
			result <- err
		}()
		s := must(FindPredecessor(folder))
		if second.Inherited = s; string(s.State()) != string(state) || !s.StartedByPlatform() || second.claim() {
			t.Errorf("a state of %d bytes, started by the platform: %t", len(s.State()), s.StartedByPlatform())
		}
		must(0, s.Ready())
		if len(s.OpenRequests()) != len(ids) || s.OpenRequests()[8999] != ids[8999] {
			t.Errorf("%d open ids, want %d", len(s.OpenRequests()), len(ids))
		}
		notes := ""
		must(0, s.ReceiveConns(t.Context(), func(c *net.TCPConn, note []byte) { notes += string(note); _ = c.Close() }))
		if err := <-result; err != nil || notes != "known" {
			t.Errorf("%v, %q", err, notes)
		}
		rendezvous.Close()
		next := must(ListenForSuccessor(folder))
		go func() {
			_, err := second.HandOverTo(t.Context(), must(next.AcceptUnix()), own, Options{})
			result <- err
		}()
		third := must(FindPredecessor(folder))
		must(0, third.Ready())
		if err := <-result; err != nil {
			t.Error(err)
		}
		next.Close()
	}
}

// A process whose predecessor fails during the handover continues alone, and one whose successor fails keeps serving.
func TestFailedRendezvous(t *testing.T) {
	folder := t.TempDir()
	rendezvous, own := must(ListenForSuccessor(folder)), testListener(t)
	defer rendezvous.Close()
	for name, old := range map[string]func(c *control){
		"another version": func(c *control) {
			_ = c.sendConn(message{kind: kindHello, body: must(cbor.Marshal(Hello{Version: Version - 1}))}, own)
		},
		"closes at once": func(c *control) { _ = c.Close() },
		"no hello":       func(c *control) { _ = c.send(message{kind: kindComplete}, noDescriptor) },
	} {
		go func() { old(&control{UnixConn: must(rendezvous.AcceptUnix())}) }()
		if s, err := FindPredecessor(folder); s != nil || err == nil {
			t.Errorf("%s: %v, %v", name, s, err)
		}
	}
	go func() { // closes the connection before the successor may serve
		c := &control{UnixConn: must(rendezvous.AcceptUnix())}
		_ = c.sendConn(message{kind: kindHello, body: must(cbor.Marshal(Hello{Version: Version}))}, own)
		_, _, _ = c.receive()
		_ = c.Close()
	}()
	s := must(FindPredecessor(folder))
	alone := Coordinator{Inherited: s}
	if err := s.Ready(); !errors.Is(err, ErrCancelled) || !alone.claim() {
		t.Errorf("%v; after a failed handover it must be able to hand over itself", err)
	}

	var coordinator Coordinator
	for name, successor := range map[string]func(s *Successor){
		"rejects":        func(s *Successor) { _ = s.Reject("bad configuration") },
		"closes at once": func(s *Successor) { _ = s.Close() },
	} {
		go func() { successor(must(FindPredecessor(folder))) }()
		if p, err := coordinator.HandOverTo(t.Context(), must(rendezvous.AcceptUnix()), own, Options{}); p != nil || err == nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var found atomic.Pointer[Successor]
	go func() { found.Store(must(FindPredecessor(folder))); cancel() }() // cancels before the successor is ready
	if p, err := coordinator.HandOverTo(ctx, must(rendezvous.AcceptUnix()), own, Options{}); p != nil || !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled context: %v", err)
	}

	// A connection sent to a successor that does not respond belongs to neither process: the caller closes its copy and
	// keeps serving.
	c := make(chan *Successor, 1)
	go func() {
		s := must(FindPredecessor(folder))
		must(0, s.Ready())
		c <- s
	}()
	p := must(coordinator.HandOverTo(t.Context(), must(rendezvous.AcceptUnix()), own, Options{}))
	silent := <-c
	if err := p.TransferConn(client(t, own.Addr().String()), nil); err != nil {
		t.Errorf("without a response: %v", err)
	}
	<-p.Lost()
	if err := p.Complete(); !errors.Is(err, ErrSuccessorLost) || !coordinator.claim() {
		t.Errorf("it must keep serving: %v", err)
	}
	_ = silent.Close()
}

// The platform's descriptor is checked to be a listener on the configured address, and stays open when a copy of it is closed.
func TestPlatformListener(t *testing.T) {
	l := testListener(t)
	f := must(l.File())
	defer f.Close()
	env := func(fd string) func(string) string { return func(string) string { return fd } }
	for fd, want := range map[string]string{"x": "not the number", "1": "not the number", "900": "bad file descriptor"} {
		if _, err := PlatformListener(env(fd), l.Addr().String()); err == nil || !strings.Contains(err.Error(), ListenVariable) ||
			!strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", fd, err)
		}
	}
	another := must(syscall.Dup(int(f.Fd()))) // PlatformListener takes ownership of it
	if _, err := PlatformListener(env(strconv.Itoa(another)), "127.0.0.1:1"); err == nil || !strings.Contains(err.Error(), "listen is configured as") {
		t.Errorf("another address: %v", err)
	}
	another = must(syscall.Dup(int(f.Fd())))
	listener := must(PlatformListener(env(strconv.Itoa(another)), l.Addr().String()))
	listener.Close()
	c := must(net.Dial("tcp", l.Addr().String())) // the platform's socket is still open
	c.Close()
	if listener, err := PlatformListener(env(""), ""); listener != nil || err != nil {
		t.Errorf("without the variable: %v, %v", listener, err)
	}
}
