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

// Bytes that the server sent before an attempt's last byte was written are no response to it: the attempt fails as one that
// never ran, and the bytes are not forwarded. If they are found while the connection is idle, the attempt is not sent on it.
func TestUnsolicitedBytesAreNoResponse(t *testing.T) {
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
	server := &endpoint{client: new(Client), address: "p1:1"}
	conn := newConn(budget.Adopt(out, connlimit.Outbound), server)
	defer conn.close()
	if _, err := in.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nmap")); err != nil {
		t.Fatal(err)
	}
	conn.idleUntil = time.Now().Add(time.Hour)
	if !conn.offer(server.encode(upstream.AttemptOptions{})) {
		t.Fatal("an idle connection does not accept an attempt")
	}
	next, kind := conn.waitForAttempt()
	if next == nil || kind != outcome.UnexpectedBytes {
		t.Errorf("offered while idle: attempt %v, %s", next, kind)
	}
	a := server.encode(upstream.AttemptOptions{Request: &request.Request{ID: "a", Method: "POST", Body: make([]byte, chunkSize)}, Timeout: time.Second})
	go func() { _, _ = io.Copy(io.Discard, in) }()
	if r, reusable := conn.exchange(a); r.Outcome != outcome.PartlyWritten || reusable || r.Body != nil {
		t.Errorf("exchange: %s, %q, reusable %t", r.Outcome, r.Body, reusable)
	}
}

// An attempt that is started by the result of another reuses the other's connection.
func TestNextAttemptReusesTheConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	opened := make(chan net.Conn, 2)
	budget := connlimit.NewBudget(8, func(context.Context, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		opened <- serverConn
		return clientConn, nil
	})
	client, err := New(ctx, budget, Settings{ReloadableSettings: ReloadableSettings{ConnectTimeout: time.Second, ServerIdleTimeout: time.Hour}})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Wait()
	defer cancel()
	server, ends := client.Endpoint("p1", "p1:1").(*endpoint), make(chan outcome.Kind, 2)
	next := server.encode(upstream.AttemptOptions{OnEnd: func(r upstream.Result) { ends <- r.Outcome }})
	first := server.encode(upstream.AttemptOptions{OnEnd: func(r upstream.Result) { ends <- r.Outcome; client.start(next, fixedPause(0)) }})
	client.start(first, fixedPause(0))
	for reused, i := <-opened, 0; i < 2; i++ {
		reused.SetDeadline(time.Now().Add(5 * time.Second)) // if the next attempt uses another connection, nothing arrives here
		if _, err := io.ReadFull(reused, make([]byte, len(first.message))); err != nil {
			t.Fatalf("attempt %d: %v", i, err)
		}
		if _, err := io.WriteString(reused, okResponse); err != nil {
			t.Fatal(err)
		}
		if kind := <-ends; kind != outcome.Served {
			t.Errorf("attempt %d: %s", i, kind)
		}
	}
}
