package connlimit

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
	if err != nil || !b.Reserve(Outward) {
		t.Fatal(err)
	}
	s := b.Adopt(in, Outward)
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
		if !b.Reserve(Outward) {
			t.Fatal("no place under the limit")
		}
		sockets = append(sockets, b.Adopt(c, Outward))
	}
	if b.Reserve(Outward) {
		t.Error("a place beyond the limit")
	}
	sockets[0].Idle(time.Hour) // too lately used
	sockets[1].Idle(0)
	sockets[2].Idle(0)
	if !b.Reserve(Outward) || sockets[0].Leaving() || !sockets[1].Leaving() || sockets[2].Leaving() {
		t.Error("not the one idle for longest has left")
	}
	if _, err := sockets[1].Read(make([]byte, 1)); err == nil {
		t.Error("its reader was not woken")
	}
	if !sockets[2].Busy() || b.Reserve(Outward) || b.Used() != 3 {
		t.Errorf("a busy one has left; %d used", b.Used())
	}
	for _, s := range sockets {
		s.Close()
		s.Close()
	}
	b.Release(Outward)
	if b.Used() != 0 {
		t.Errorf("%d places are still taken", b.Used())
	}
}

// Connections that have brought nothing make room before any other, and for one another once they hold their part.
// Those from consumers leave half of the places to those that calls need.
func TestStrangersMakeRoomFirst(t *testing.T) {
	b := NewBudget(12, nil)
	open := func(side Side) *Socket {
		c, _ := net.Pipe()
		if !b.Reserve(side) {
			t.Fatal("no place under the limit")
		}
		return b.Adopt(c, side)
	}
	known, provider := open(Inward), open(Outward)
	known.Idle(time.Hour)
	provider.Idle(0) // for longer than any other
	var strangers []*Socket
	for range 3 {
		s := open(Inward)
		s.Stranger(time.Hour)
		strangers = append(strangers, s)
	}
	if b.Reserve(Inward) {
		t.Error("a fourth stranger beyond a quarter of twelve")
	}
	strangers[1].Stranger(0)
	if open(Inward); !strangers[1].Leaving() || known.Leaving() {
		t.Error("not the stranger that may be closed has left")
	}
	open(Inward)
	open(Inward)
	known.Idle(0)
	if open(Inward); !known.Leaving() || provider.Leaving() {
		t.Error("not the idle one of their own has left for a seventh of them")
	}
	if b.Reserve(Inward) {
		t.Error("consumers hold more than half")
	}
	strangers[0].Stranger(0)
	for range 5 {
		open(Outward)
	}
	if open(Outward); !strangers[0].Leaving() || provider.Leaving() {
		t.Error("one that has been useful has left before a stranger")
	}
	if strangers[0].Extend(time.Now()) || !provider.Extend(time.Now()) {
		t.Error("one that is to leave may stay, or the other way round")
	}
}

// Consumers' idle connections make room early, the oldest first: a consumer may hold as many as it can, all but one of
// them idle, and could not open another to make the room that it waits for. Busy ones are not in the way.
func TestIdleConsumersMakeRoomEarly(t *testing.T) {
	b := NewBudget(16, nil)
	var got []bool
	var first *Socket
	for i := range 6 {
		if !b.Reserve(Inward) {
			t.Fatal("no place under the limit")
		}
		c, _ := net.Pipe()
		s := b.Adopt(c, Inward)
		if i == 0 {
			first = s
			s.Idle(0)
		}
		got = append(got, first.Leaving())
	}
	for i, want := range []bool{false, false, false, false, true, true} {
		if got[i] != want {
			t.Errorf("with %d connections: the idle one leaves: %t", i+1, got[i])
		}
	}
	if b.Scarce() {
		t.Error("5 of 16 are scarce")
	}
	for range 4 {
		b.Reserve(Outward)
	}
	if !b.Scarce() {
		t.Error("9 of 16 are plenty")
	}
}

// BenchmarkLeft measures the look at whether a consumer has left, one for each attempt at least.
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
	s := NewBudget(1, nil).Adopt(mine, Inward)
	b.ReportAllocs()
	for b.Loop() {
		if s.Left() {
			b.Fatal("it is there")
		}
	}
}

// Idle connections to providers make room for consumers up to these's part, and calls keep the last places: neither consumers nor
// probes take them. Seen on the bench: providers' idle connections held all places, and consumers waited in the backlog.
func TestIdleProvidersMakeRoomForConsumers(t *testing.T) {
	pipe := func(context.Context, string) (net.Conn, error) { c, _ := net.Pipe(); return c, nil }
	b := NewBudget(16, pipe)
	var idle []*Socket
	for range 16 {
		s, err := b.Dial(t.Context(), "", time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		s.Idle(0)
		idle = append(idle, s)
	}
	for i := range 8 { // half of the places
		if !b.Reserve(Inward) || !idle[i].Leaving() {
			t.Fatalf("consumer %d waits for idle connections to providers", i+1)
		}
		idle[i].Close()
	}
	if b.Reserve(Inward) {
		t.Error("consumers hold more than half")
	}
	for _, s := range idle[8:] {
		s.Close()
	}
	for b.Used() < 14 {
		if s, err := b.DialSpare(t.Context(), "", time.Hour); err != nil || s.Leaving() {
			t.Fatal(err)
		}
	}
	b.Release(Inward)
	b.Reserve(Outward) // in its place
	if b.Reserve(Inward) {
		t.Error("a consumer takes a place that is left to calls")
	}
	if _, err := b.DialSpare(t.Context(), "", time.Hour); err != ErrNone {
		t.Errorf("a probe takes a place that is left to calls: %v", err)
	}
	for range 2 {
		if _, err := b.Dial(t.Context(), "", time.Hour); err != nil {
			t.Errorf("a call finds no place: %v", err)
		}
	}
	if _, err := b.Dial(t.Context(), "", time.Hour); err != ErrNone {
		t.Errorf("a call beyond the limit: %v", err)
	}
}
