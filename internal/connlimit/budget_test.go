package connlimit

import (
	"context"
	"errors"
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
	for _, quiet := range []bool{false, true} { // both bytes came together
		if _, err := io.ReadFull(s, one[:]); err != nil || s.HasNothingUnread() != quiet {
			t.Errorf("after %q: quiet %t, %v", one, s.HasNothingUnread(), err)
		}
	}
}

func TestTheOneIdleForLongestLeaves(t *testing.T) {
	b := NewBudget(3, nil)
	var sockets []*Socket
	for range 3 {
		c, _ := net.Pipe()
		if !b.Reserve(Outbound) {
			t.Fatal("no place under the limit")
		}
		sockets = append(sockets, b.Adopt(c, Outbound))
	}
	if b.Reserve(Outbound) {
		t.Error("a place beyond the limit")
	}
	sockets[0].MarkIdle(time.Hour) // too lately used
	sockets[1].MarkIdle(0)
	sockets[2].MarkIdle(0)
	if !b.Reserve(Outbound) || sockets[0].IsEvicted() || !sockets[1].IsEvicted() || sockets[2].IsEvicted() {
		t.Error("not the one idle for longest has left")
	}
	if _, err := sockets[1].Read(make([]byte, 1)); err == nil {
		t.Error("its reader was not woken")
	}
	if !sockets[2].MarkBusy() || b.Reserve(Outbound) || b.Used() != 3 {
		t.Errorf("a busy one has left; %d used", b.Used())
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
		t.Errorf("%d places are still taken", b.Used())
	}
}

// Connections that have brought nothing make room before any other, and for one another once they have their part.
// Those of clients leave half of the places to those that attempts need.
func TestUnusedConnectionsMakeRoomFirst(t *testing.T) {
	b := NewBudget(12, nil)
	open := func(side Side) *Socket {
		c, _ := net.Pipe()
		if !b.Reserve(side) {
			t.Fatal("no place under the limit")
		}
		return b.Adopt(c, side)
	}
	known, server := open(Inbound), open(Outbound)
	known.MarkIdle(time.Hour)
	server.MarkIdle(0) // for longer than any other
	var unused []*Socket
	for range 3 {
		s := open(Inbound)
		s.MarkUnused(time.Hour)
		unused = append(unused, s)
	}
	if b.Reserve(Inbound) {
		t.Error("a fourth unused connection beyond a quarter of twelve")
	}
	unused[1].MarkUnused(0)
	if open(Inbound); !unused[1].IsEvicted() || known.IsEvicted() {
		t.Error("not the unused one that may be evicted has been")
	}
	open(Inbound)
	open(Inbound)
	known.MarkIdle(0)
	if open(Inbound); !known.IsEvicted() || server.IsEvicted() {
		t.Error("not the idle one of their own has left for a seventh of them")
	}
	if b.Reserve(Inbound) {
		t.Error("clients have more than half")
	}
	unused[0].MarkUnused(0)
	for range 5 {
		open(Outbound)
	}
	if open(Outbound); !unused[0].IsEvicted() || server.IsEvicted() {
		t.Error("one that has been useful has left before an unused one")
	}
	if unused[0].ExtendReadDeadline(time.Now()) || !server.ExtendReadDeadline(time.Now()) {
		t.Error("one that is to leave may stay, or the other way round")
	}
}

// Clients' idle connections make room early, the oldest first: a client may have as many as it can, all but one of
// them idle, and could not open another to make the room that it waits for. Busy ones are not in the way.
func TestIdleClientsMakeRoomEarly(t *testing.T) {
	b := NewBudget(16, nil)
	var got []bool
	var first *Socket
	for i := range 6 {
		if !b.Reserve(Inbound) {
			t.Fatal("no place under the limit")
		}
		c, _ := net.Pipe()
		s := b.Adopt(c, Inbound)
		if i == 0 {
			first = s
			s.MarkIdle(0)
		}
		got = append(got, first.IsEvicted())
	}
	for i, want := range []bool{false, false, false, false, true, true} {
		if got[i] != want {
			t.Errorf("with %d connections: the idle one leaves: %t", i+1, got[i])
		}
	}
	if b.IsOverHalfUsed() {
		t.Error("5 of 16 are scarce")
	}
	for range 4 {
		b.Reserve(Outbound)
	}
	if !b.IsOverHalfUsed() {
		t.Error("9 of 16 are plenty")
	}
}

// BenchmarkLeft measures the look at whether a client has left, one for each attempt at least.
func BenchmarkLeft(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	theirs, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer theirs.Close()
	mine, err := l.Accept()
	if err != nil {
		b.Fatal(err)
	}
	defer mine.Close()
	s := NewBudget(1, nil).Adopt(mine, Inbound)
	b.ReportAllocs()
	for b.Loop() {
		if s.HasPeerClosed() {
			b.Fatal("it is there")
		}
	}
}

// Idle connections to servers make room for clients' up to the part of these, so that clients do not wait in the backlog while idle
// connections have all places. Attempts keep the last places: neither clients nor probes take them.
func TestIdleServersMakeRoomForClients(t *testing.T) {
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
	for i := range 8 { // half of the places
		if !b.Reserve(Inbound) || !idle[i].IsEvicted() {
			t.Fatalf("client %d waits for idle connections to servers", i+1)
		}
		_ = idle[i].Close()
	}
	if b.Reserve(Inbound) {
		t.Error("clients have more than half")
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
	b.Reserve(Outbound) // in its place
	if b.Reserve(Inbound) {
		t.Error("a client takes a place that is left to attempts")
	}
	if _, err := b.DialOptional(t.Context(), "", time.Hour); !errors.Is(err, ErrLimitReached) {
		t.Errorf("a probe takes a place that is left to attempts: %v", err)
	}
	for range 2 {
		if _, err := b.Dial(t.Context(), "", time.Hour); err != nil {
			t.Errorf("an attempt finds no place: %v", err)
		}
	}
	if _, err := b.Dial(t.Context(), "", time.Hour); !errors.Is(err, ErrLimitReached) {
		t.Errorf("an attempt beyond the limit: %v", err)
	}
}
