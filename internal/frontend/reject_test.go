package frontend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// pendingCount returns the number of requests without a response.
func (m *manualDispatcher) pendingCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.pending)
}

// dialAndSend opens a connection to the listener and sends a request with the number as its id.
func dialAndSend(t *testing.T, l net.Listener, number int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\n\r\n", number)
	return c
}

// While all sockets for clients are busy, further connections wait in the kernel's backlog, where a request counts as
// accepted. They are rejected before their deadline, rather than served long after their clients have stopped waiting.
func TestConnectionsBeyondLimitAreRejected(t *testing.T) {
	const sockets = 16 // eight of them for clients
	dispatcher := new(manualDispatcher)
	s, l, done := serveBehindGate(t, dispatcher, sockets)
	close(l.gate)
	var all []net.Conn
	defer func() {
		for _, c := range all {
			c.Close()
		}
		s.Drain(l)
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	connect := func(i int) net.Conn {
		c := dialAndSend(t, l, i)
		all = append(all, c)
		return c
	}
	for i := range sockets / 2 {
		connect(i)
	}
	for began := time.Now(); dispatcher.pendingCount() < sockets/2; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%d of %d requests are submitted", dispatcher.pendingCount(), sockets/2)
		}
	}
	began := time.Now()
	var beyond []net.Conn
	for i := range 3 * sockets {
		beyond = append(beyond, connect(sockets+i))
	}
	for i, c := range beyond {
		c.SetDeadline(began.Add(2500 * time.Millisecond)) // the client's deadline
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Fatalf("request %d beyond the limit: %v, %v", i, resp, err)
		}
	}
	if n := dispatcher.pendingCount(); n != sockets/2 {
		t.Errorf("%d requests are submitted, want %d", n, sockets/2)
	}
}

// A client that finds no free slot after a time without new clients waits in the backlog for maxBacklogWait, since a slot may
// become free: the time without clients does not count as waiting for a slot.
func TestNoImmediateRejectionAfterIdlePeriod(t *testing.T) {
	const sockets = 8 // four of them for clients
	dispatcher := new(manualDispatcher)
	s, l, done := serveBehindGate(t, dispatcher, sockets)
	close(l.gate)
	var all []net.Conn
	for i := range sockets/2 + 1 {
		if i == sockets/2-1 {
			time.Sleep(2 * maxBacklogWait) // no client connects
		}
		c := dialAndSend(t, l, i)
		defer c.Close()
		for began := time.Now(); i < sockets/2 && dispatcher.pendingCount() < i+1; time.Sleep(time.Millisecond) {
			if time.Since(began) > 10*time.Second {
				t.Fatalf("request %d is not submitted", i)
			}
		}
		all = append(all, c)
	}
	began := time.Now()
	last := all[len(all)-1]
	last.SetReadDeadline(began.Add(10 * time.Second))
	if _, err := http.ReadResponse(bufio.NewReader(last), nil); err != nil || time.Since(began) < maxBacklogWait/2 {
		t.Errorf("the connection beyond the limit is rejected after %s: %v", time.Since(began), err)
	}
	s.Drain(l)
	dispatcher.respondAll()
	for _, c := range all {
		c.Close()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
