package provider

import (
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"

	"plankrouter/internal/ending"
	"plankrouter/internal/invocation"
	"plankrouter/internal/sockets"
)

// What the provider sent before a call's last byte was written belongs to nobody: the call fails as one that never ran,
// and nothing of it is served. Found while the connection is idle, it sends the call elsewhere.
func TestUnreadBytesAreNoAnswer(t *testing.T) {
	l, err := net.Listen("unix", filepath.Join(t.TempDir(), "provider"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	out, err := net.Dial("unix", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	in, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	budget := sockets.NewBudget(1, nil)
	budget.Reserve(sockets.Outward)
	pool := &Pool{Address: "p1:1"}
	conn := newConn(budget.Adopt(out, sockets.Outward), pool)
	defer conn.Close()
	if _, err := in.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nmap")); err != nil {
		t.Fatal(err)
	}
	if !conn.offer(NewProbe(pool)) {
		t.Fatal("an idle connection takes no call")
	}
	call, how := conn.idle()
	if call == nil || how != ending.Unasked {
		t.Errorf("taken from idle: call %v, %s", call, how)
	}
	c := NewCall(pool, &invocation.Invocation{ID: "a", Verb: "POST", Body: make([]byte, lump)}, time.Second)
	go io.Copy(io.Discard, in)
	if r, again := conn.carry(c); r.Ending != ending.Unwritten || again || r.Body != nil {
		t.Errorf("carried: %s, %q, again %t", r.Ending, r.Body, again)
	}
}
