package backend

import (
	"context"
	"io"
	"net"
	"path/filepath"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
	"testing"
	"time"
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
	budget := connlimit.NewBudget(1, nil)
	budget.Reserve(connlimit.Outward)
	at := &endpoint{client: new(Caller), address: "p1:1"}
	conn := newConn(budget.Adopt(out, connlimit.Outward), at)
	defer conn.close()
	if _, err := in.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nmap")); err != nil {
		t.Fatal(err)
	}
	conn.idleUntil = time.Now().Add(time.Hour)
	if !conn.offer(at.encode(upstream.AttemptOptions{})) {
		t.Fatal("an idle connection takes no call")
	}
	call, how := conn.waitForAttempt()
	if call == nil || how != outcome.UnexpectedBytes {
		t.Errorf("taken from idle: call %v, %s", call, how)
	}
	c := at.encode(upstream.AttemptOptions{Request: &request.Request{ID: "a", Method: "POST", Body: make([]byte, chunkSize)}, Timeout: time.Second})
	go io.Copy(io.Discard, in)
	if r, again := conn.exchange(c); r.Outcome != outcome.PartlyWritten || again || r.Body != nil {
		t.Errorf("carried: %s, %q, again %t", r.Outcome, r.Body, again)
	}
}

// A call that follows from the end of another, as a further attempt does, finds the connection that this one leaves.
func TestNextCallFindsTheConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	opened := make(chan net.Conn, 2)
	budget := connlimit.NewBudget(8, func(context.Context, string) (net.Conn, error) {
		mine, theirs := net.Pipe()
		opened <- theirs
		return mine, nil
	})
	v, err := New(ctx, budget, Settings{Figures: Figures{Connect: time.Second, ConnIdle: time.Hour}})
	if err != nil {
		t.Fatal(err)
	}
	defer v.Wait()
	defer cancel()
	at, ends := v.Endpoint("p1", "p1:1").(*endpoint), make(chan outcome.Kind, 2)
	next := at.encode(upstream.AttemptOptions{OnEnd: func(r upstream.Result) { ends <- r.Outcome }})
	first := at.encode(upstream.AttemptOptions{OnEnd: func(r upstream.Result) { ends <- r.Outcome; v.start(next, fixed(0)) }})
	v.start(first, fixed(0))
	for kept, i := <-opened, 0; i < 2; i++ {
		kept.SetDeadline(time.Now().Add(5 * time.Second)) // on a connection of its own the next never comes here
		if _, err := io.ReadFull(kept, make([]byte, len(first.message))); err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
		io.WriteString(kept, answer)
		if how := <-ends; how != outcome.Served {
			t.Errorf("call %d: %s", i, how)
		}
	}
}
