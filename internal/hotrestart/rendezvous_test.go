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

// testListener is a listener on loopback.
func testListener(t *testing.T) *net.TCPListener {
	l := must(net.Listen("tcp", "127.0.0.1:0")).(*net.TCPListener)
	t.Cleanup(func() { l.Close() })
	return l
}

// Two processes that the platform has started find each other; state, open ids and connections go over, and a third then
// finds the second. A folder with a long name does as well.
func TestMeet(t *testing.T) {
	for _, folder := range []string{t.TempDir(), filepath.Join(t.TempDir(), strings.Repeat("long", 40))} {
		if err := os.MkdirAll(folder, 0o700); err != nil {
			t.Fatal(err)
		}
		if s, err := FindPredecessor(folder); s != nil || err != nil {
			t.Fatalf("found %v, %v where nobody is", s, err)
		}
		var first, second Coordinator
		var ids []string
		for i := range 9000 { // more than one message holds
			ids = append(ids, "request-"+strconv.Itoa(i))
		}
		place, own := must(ListenForSuccessor(folder)), testListener(t)
		ended := make(chan error, 1)
		go func() {
			p, err := first.HandOverTo(t.Context(), must(place.AcceptUnix()), own,
				Options{Name: "n1", State: state, OpenRequests: func() []string { return ids }})
			if err == nil {
				err = errors.Join(p.TransferConn(client(t, own.Addr().String()), []byte("known")), p.Complete())
			}
			ended <- err
		}()
		s := must(FindPredecessor(folder))
		if second.Inherited = s; string(s.State()) != string(state) || !s.StartedByPlatform() || second.claim() {
			t.Errorf("a state of %d bytes, met %t", len(s.State()), s.StartedByPlatform())
		}
		must(0, s.Ready())
		if len(s.OpenRequests()) != len(ids) || s.OpenRequests()[8999] != ids[8999] {
			t.Errorf("%d open ids, want %d", len(s.OpenRequests()), len(ids))
		}
		notes := ""
		must(0, s.ReceiveConns(t.Context(), func(c *net.TCPConn, note []byte) { notes += string(note); _ = c.Close() }))
		if err := <-ended; err != nil || notes != "known" {
			t.Errorf("%v, %q", err, notes)
		}
		place.Close()
		next := must(ListenForSuccessor(folder))
		go func() {
			_, err := second.HandOverTo(t.Context(), must(next.AcceptUnix()), own, Options{})
			ended <- err
		}()
		third := must(FindPredecessor(folder))
		must(0, third.Ready())
		if err := <-ended; err != nil {
			t.Error(err)
		}
		next.Close()
	}
}

// A process that finds no sound predecessor goes on alone, and one whose successor fails serves on.
func TestMeetingThatFails(t *testing.T) {
	folder := t.TempDir()
	place, own := must(ListenForSuccessor(folder)), testListener(t)
	defer place.Close()
	for what, old := range map[string]func(c *control){
		"another version": func(c *control) {
			_ = c.sendConn(message{kind: kindHello, body: must(cbor.Marshal(Hello{Version: Version - 1}))}, own)
		},
		"dies at once": func(c *control) { _ = c.Close() },
		"no hello":     func(c *control) { _ = c.send(message{kind: kindDone}, noDescriptor) },
	} {
		go func() { old(&control{UnixConn: must(place.AcceptUnix())}) }()
		if s, err := FindPredecessor(folder); s != nil || err == nil {
			t.Errorf("%s: %v, %v", what, s, err)
		}
	}
	go func() { // dies before it lets the other serve
		c := &control{UnixConn: must(place.AcceptUnix())}
		_ = c.sendConn(message{kind: kindHello, body: must(cbor.Marshal(Hello{Version: Version}))}, own)
		_, _, _ = c.receive()
		_ = c.Close()
	}()
	s := must(FindPredecessor(folder))
	alone := Coordinator{Inherited: s}
	if err := s.Ready(); !errors.Is(err, ErrCancelled) || !alone.claim() {
		t.Errorf("%v; it must hand over to others as if nothing had been", err)
	}

	var line Coordinator
	for what, young := range map[string]func(s *Successor){
		"refuses":      func(s *Successor) { _ = s.Reject("bad configuration") },
		"ends at once": func(s *Successor) { _ = s.Close() },
	} {
		go func() { young(must(FindPredecessor(folder))) }()
		if p, err := line.HandOverTo(t.Context(), must(place.AcceptUnix()), own, Options{}); p != nil || err == nil {
			t.Errorf("%s: %v", what, err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var found atomic.Pointer[Successor]
	go func() { found.Store(must(FindPredecessor(folder))); cancel() }() // cancelled before the other is ready
	if p, err := line.HandOverTo(ctx, must(place.AcceptUnix()), own, Options{}); p != nil || !errors.Is(err, context.Canceled) {
		t.Errorf("told to stop: %v", err)
	}

	// What was passed to one that is silent is nobody's: its copy is closed, and this process serves on.
	c := make(chan *Successor, 1)
	go func() {
		s := must(FindPredecessor(folder))
		must(0, s.Ready())
		c <- s
	}()
	p := must(line.HandOverTo(t.Context(), must(place.AcceptUnix()), own, Options{}))
	silent := <-c
	if err := p.TransferConn(client(t, own.Addr().String()), nil); err != nil {
		t.Errorf("without an answer: %v", err)
	}
	<-p.Lost()
	if err := p.Complete(); !errors.Is(err, ErrSuccessorLost) || !line.claim() {
		t.Errorf("it is to serve on: %v", err)
	}
	_ = silent.Close()
}

// The platform's listener is checked for what it is, and outlives its copies.
func TestHeldListener(t *testing.T) {
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
	another := must(syscall.Dup(int(f.Fd()))) // which Held takes over
	if _, err := PlatformListener(env(strconv.Itoa(another)), "127.0.0.1:1"); err == nil || !strings.Contains(err.Error(), "listen says") {
		t.Errorf("another address: %v", err)
	}
	another = must(syscall.Dup(int(f.Fd())))
	mine := must(PlatformListener(env(strconv.Itoa(another)), l.Addr().String()))
	mine.Close()
	c := must(net.Dial("tcp", l.Addr().String())) // the platform's own is still open
	c.Close()
	if mine, err := PlatformListener(env(""), ""); mine != nil || err != nil {
		t.Errorf("without the variable: %v, %v", mine, err)
	}
}
