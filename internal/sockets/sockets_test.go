package sockets

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// A connection whose request has come in but is not read yet must not be taken for idle and closed.
func TestUnreadBytesAreNotQuiet(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	b := NewBudget(2, TCP)
	out, err := b.Dial(context.Background(), l.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	in, err := l.Accept()
	if err != nil || !b.Reserve() {
		t.Fatal(err)
	}
	s := b.Adopt(in)
	defer s.Close()
	if _, err := out.Write([]byte("ab")); err != nil {
		t.Fatal(err)
	}
	var one [1]byte
	for _, quiet := range []bool{false, true} { // both bytes came together
		if _, err := io.ReadFull(s, one[:]); err != nil || s.Quiet() != quiet {
			t.Errorf("after %q: quiet %t, %v", one, s.Quiet(), err)
		}
	}
}

func TestTheOneIdleForLongestLeaves(t *testing.T) {
	b := NewBudget(3, nil)
	var sockets []*Socket
	for range 3 {
		c, _ := net.Pipe()
		if !b.Reserve() {
			t.Fatal("no place under the limit")
		}
		sockets = append(sockets, b.Adopt(c))
	}
	if b.Reserve() {
		t.Error("a place beyond the limit")
	}
	sockets[0].Idle(time.Hour) // too lately used
	sockets[1].Idle(0)
	sockets[2].Idle(0)
	if !b.Reserve() || sockets[0].Leaving() || !sockets[1].Leaving() || sockets[2].Leaving() {
		t.Error("not the one idle for longest has left")
	}
	if _, err := sockets[1].Read(make([]byte, 1)); err == nil {
		t.Error("its reader was not woken")
	}
	if !sockets[2].Busy() || b.Reserve() || b.Used() != 3 {
		t.Errorf("a busy one has left; %d used", b.Used())
	}
	for _, s := range sockets {
		s.Close()
		s.Close()
	}
	b.Release()
	if b.Used() != 0 {
		t.Errorf("%d places are still taken", b.Used())
	}
}
