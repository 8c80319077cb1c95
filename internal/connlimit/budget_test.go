package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// A connection with an unread request must not count as idle, since it would be closed.
func TestUnreadBytesAreReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	b := NewBudget(2, DialTCP)
	out, err := b.Dial(context.Background(), l.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	in, err := l.Accept()
	if err != nil || !b.Reserve(Outbound) {
		t.Fatal(err)
	}
	s := b.Adopt(in, Outbound)
	defer func() { _ = s.Close() }()
	if _, err := out.Write([]byte("ab")); err != nil {
		t.Fatal(err)
	}
	var one [1]byte
	for _, nothingUnread := range []bool{false, true} { // both bytes arrived together
		if _, err := io.ReadFull(s, one[:]); err != nil || s.HasNothingUnread() != nothingUnread {
			t.Errorf("after %q: nothing unread %t, %v", one, s.HasNothingUnread(), err)
		}
	}
}

func TestLeastRecentlyUsedIsEvicted(t *testing.T) {
	b := NewBudget(3, nil)
	var sockets []*Socket
	for range 3 {
		c, _ := net.Pipe()
		if !b.Reserve(Outbound) {
			t.Fatal("no slot under the limit")
		}
		sockets = append(sockets, b.Adopt(c, Outbound))
	}
	if b.Reserve(Outbound) {
		t.Error("a slot beyond the limit")
	}
	sockets[0].MarkIdle(time.Hour) // not evictable yet
	sockets[1].MarkIdle(0)
	sockets[2].MarkIdle(0)
	if !b.Reserve(Outbound) || sockets[0].IsEvicted() || !sockets[1].IsEvicted() || sockets[2].IsEvicted() {
		t.Error("the least recently used evictable connection was not evicted, or another one was")
	}
	if _, err := sockets[1].Read(make([]byte, 1)); err == nil {
		t.Error("the reader of the evicted connection was not woken")
	}
	if !sockets[2].MarkBusy() || b.Reserve(Outbound) || b.Used() != 3 {
		t.Errorf("a busy connection was evicted; %d used", b.Used())
	}
	for _, s := range sockets {
		for range 2 {
			if err := s.Close(); err != nil {
				t.Error(err)
			}
		}
	}
	b.Release(Outbound)
	if b.Used() != 0 {
		t.Errorf("%d slots are still in use", b.Used())
	}
}

// Unused connections are evicted before idle ones, and only for one another once they have their share. Inbound
// connections leave half of the slots to connections of attempts.
func TestUnusedConnectionsAreEvictedFirst(t *testing.T) {
	b := NewBudget(12, nil)
	open := func(side Side) *Socket {
		c, _ := net.Pipe()
		if !b.Reserve(side) {
			t.Fatal("no slot under the limit")
		}
		return b.Adopt(c, side)
	}
	idleInbound, idleOutbound := open(Inbound), open(Outbound)
	idleInbound.MarkIdle(time.Hour)
	idleOutbound.MarkIdle(0) // least recently used
	var unused []*Socket
	for range 3 {
		s := open(Inbound)
		s.MarkUnused(time.Hour)
		unused = append(unused, s)
	}
	if b.Reserve(Inbound) {
		t.Error("a fourth unused connection exceeds a quarter of 12 slots")
	}
	unused[1].MarkUnused(0)
	if open(Inbound); !unused[1].IsEvicted() || idleInbound.IsEvicted() {
		t.Error("the evictable unused connection was not evicted, or another one was")
	}
	open(Inbound)
	open(Inbound)
	idleInbound.MarkIdle(0)
	if open(Inbound); !idleInbound.IsEvicted() || idleOutbound.IsEvicted() {
		t.Error("the idle inbound connection was not evicted for the seventh, or an outbound one was")
	}
	if b.Reserve(Inbound) {
		t.Error("inbound connections have more than half of the slots")
	}
	unused[0].MarkUnused(0)
	for range 5 {
		open(Outbound)
	}
	if open(Outbound); !unused[0].IsEvicted() || idleOutbound.IsEvicted() {
		t.Error("an idle connection was evicted before an unused one")
	}
	if unused[0].ExtendReadDeadline(time.Now()) || !idleOutbound.ExtendReadDeadline(time.Now()) {
		t.Error("the deadline of an evicted connection can be extended, or that of another one can't")
	}
}

// Idle inbound connections are evicted before the limit is reached, the least recently used first: a client that has all
// its sockets open to this process, all but one of them idle, can't open another to cause an eviction. Busy connections
// don't prevent it.
func TestIdleInboundConnectionsAreEvictedEarly(t *testing.T) {
	b := NewBudget(16, nil)
	var evicted []bool
	var first *Socket
	for i := range 6 {
		if !b.Reserve(Inbound) {
			t.Fatal("no slot under the limit")
		}
		c, _ := net.Pipe()
		s := b.Adopt(c, Inbound)
		if i == 0 {
			first = s
			s.MarkIdle(0)
		}
		evicted = append(evicted, first.IsEvicted())
	}
	for i, want := range []bool{false, false, false, false, true, true} {
		if evicted[i] != want {
			t.Errorf("with %d connections: the idle one is evicted: %t", i+1, evicted[i])
		}
	}
	if b.IsOverHalfUsed() {
		t.Error("5 of 16 slots count as over half")
	}
	for range 4 {
		b.Reserve(Outbound)
	}
	if !b.IsOverHalfUsed() {
		t.Error("9 of 16 slots don't count as over half")
	}
}

// BenchmarkHasPeerClosed measures the check whether a client has closed, which runs at least once per attempt.
func BenchmarkHasPeerClosed(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer peer.Close()
	conn, err := l.Accept()
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	s := NewBudget(1, nil).Adopt(conn, Inbound)
	b.ReportAllocs()
	for b.Loop() {
		if s.HasPeerClosed() {
			b.Fatal("an open connection counts as closed by the peer")
		}
	}
}

// Idle connections to servers are evicted for inbound ones up to the share of inbound connections, so that clients don't
// wait in the backlog while idle connections occupy all slots. The last slots are left to attempts: neither clients nor
// probes take them.
func TestIdleOutboundConnectionsAreEvictedForInbound(t *testing.T) {
	pipe := func(context.Context, string) (net.Conn, error) { c, _ := net.Pipe(); return c, nil }
	b := NewBudget(16, pipe)
	var idle []*Socket
	for range 16 {
		s, err := b.Dial(t.Context(), "", time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		s.MarkIdle(0)
		idle = append(idle, s)
	}
	for i := range 8 { // half of the slots
		if !b.Reserve(Inbound) || !idle[i].IsEvicted() {
			t.Fatalf("inbound connection %d did not evict an idle one to a server", i+1)
		}
		_ = idle[i].Close()
	}
	if b.Reserve(Inbound) {
		t.Error("inbound connections have more than half of the slots")
	}
	for _, s := range idle[8:] {
		_ = s.Close()
	}
	for b.Used() < 14 {
		if s, err := b.DialOptional(t.Context(), "", time.Hour); err != nil || s.IsEvicted() {
			t.Fatal(err)
		}
	}
	b.Release(Inbound)
	b.Reserve(Outbound) // takes the released slot
	if b.Reserve(Inbound) {
		t.Error("an inbound connection takes a slot that is left to attempts")
	}
	if _, err := b.DialOptional(t.Context(), "", time.Hour); !errors.Is(err, ErrLimitReached) {
		t.Errorf("a probe takes a slot that is left to attempts: %v", err)
	}
	for range 2 {
		if _, err := b.Dial(t.Context(), "", time.Hour); err != nil {
			t.Errorf("no slot for an attempt: %v", err)
		}
	}
	if _, err := b.Dial(t.Context(), "", time.Hour); !errors.Is(err, ErrLimitReached) {
		t.Errorf("an attempt beyond the limit: %v", err)
	}
}
