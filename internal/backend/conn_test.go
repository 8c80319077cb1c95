package backend

import (
	"context"
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
)

// What the server sent before an attempt's last byte was written belongs to nobody: the attempt fails as one that never ran,
// and nothing of it is served. Found while the connection is idle, it makes the attempt go elsewhere.
func TestUnreadBytesAreNoAnswer(t *testing.T) {
	l, err := net.Listen("unix", filepath.Join(t.TempDir(), "server"))
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
	budget.Reserve(connlimit.Outbound)
	at := &endpoint{client: new(Client), address: "p1:1"}
	conn := newConn(budget.Adopt(out, connlimit.Outbound), at)
	defer conn.close()
	if _, err := in.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nmap")); err != nil {
		t.Fatal(err)
	}
	conn.idleUntil = time.Now().Add(time.Hour)
	if !conn.offer(at.encode(upstream.AttemptOptions{})) {
		t.Fatal("an idle connection takes no attempt")
	}
	next, how := conn.waitForAttempt()
	if next == nil || how != outcome.UnexpectedBytes {
		t.Errorf("taken from idle: attempt %v, %s", next, how)
	}
	c := at.encode(upstream.AttemptOptions{Request: &request.Request{ID: "a", Method: "POST", Body: make([]byte, chunkSize)}, Timeout: time.Second})
	go func() { _, _ = io.Copy(io.Discard, in) }()
	if r, reusable := conn.exchange(c); r.Outcome != outcome.PartlyWritten || reusable || r.Body != nil {
		t.Errorf("exchanged: %s, %q, reusable %t", r.Outcome, r.Body, reusable)
	}
}

// An attempt that follows from the end of another finds the connection that this one leaves.
func TestNextAttemptFindsTheConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	opened := make(chan net.Conn, 2)
	budget := connlimit.NewBudget(8, func(context.Context, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		opened <- serverConn
		return clientConn, nil
	})
	client, err := New(ctx, budget, Settings{ReloadableSettings: ReloadableSettings{Connect: time.Second, ConnIdle: time.Hour}})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Wait()
	defer cancel()
	at, ends := client.Endpoint("p1", "p1:1").(*endpoint), make(chan outcome.Kind, 2)
	next := at.encode(upstream.AttemptOptions{OnEnd: func(r upstream.Result) { ends <- r.Outcome }})
	first := at.encode(upstream.AttemptOptions{OnEnd: func(r upstream.Result) { ends <- r.Outcome; client.start(next, fixed(0)) }})
	client.start(first, fixed(0))
	for kept, i := <-opened, 0; i < 2; i++ {
		kept.SetDeadline(time.Now().Add(5 * time.Second)) // on a connection of its own the next never comes here
		if _, err := io.ReadFull(kept, make([]byte, len(first.message))); err != nil {
			t.Fatalf("attempt %d: %v", i, err)
		}
		if _, err := io.WriteString(kept, answer); err != nil {
			t.Fatal(err)
		}
		if how := <-ends; how != outcome.Served {
			t.Errorf("attempt %d: %s", i, how)
		}
	}
}
