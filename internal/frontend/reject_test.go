package frontend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// pendingCount is how many requests have no answer yet.
func (m *manualDispatcher) pendingCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.pending)
}

// dialAndSend sends the listener a request with that number as its id on a new connection.
func dialAndSend(t *testing.T, l net.Listener, number int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\n\r\n", number)
	return c
}

// If a process has more clients than places, all of them busy, the others' connections wait in the kernel's backlog, where a request counts
// as accepted. They are rejected while there is time to say so, not answered long after their clients have stopped waiting.
func TestConnectionsBeyondAllPlacesAreRejected(t *testing.T) {
	const places = 16 // eight of them for clients
	dispatcher := new(manualDispatcher)
	s, l, done := serveBehindGate(t, dispatcher, places)
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
	for i := range places / 2 {
		connect(i)
	}
	for began := time.Now(); dispatcher.pendingCount() < places/2; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%d of %d requests are submitted", dispatcher.pendingCount(), places/2)
		}
	}
	began := time.Now()
	var beyond []net.Conn
	for i := range 3 * places {
		beyond = append(beyond, connect(places+i))
	}
	for i, c := range beyond {
		c.SetDeadline(began.Add(2500 * time.Millisecond)) // the deadline
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Fatalf("request %d beyond all places: %v, %v", i, resp, err)
		}
	}
	if n := dispatcher.pendingCount(); n != places/2 {
		t.Errorf("%d requests are submitted, %d have a place", n, places/2)
	}
}

// Clients that find no place after a quiet time wait in the backlog for a moment, since a place may become free: they are not rejected for
// the time in which nobody came.
func TestNoRejectionAtOnceAfterAQuietTime(t *testing.T) {
	const places = 8 // four of them for clients
	dispatcher := new(manualDispatcher)
	s, l, done := serveBehindGate(t, dispatcher, places)
	close(l.gate)
	var all []net.Conn
	for i := range places/2 + 1 {
		if i == places/2-1 {
			time.Sleep(2 * maxBacklogWait) // nobody comes
		}
		c := dialAndSend(t, l, i)
		defer c.Close()
		for began := time.Now(); i < places/2 && dispatcher.pendingCount() < i+1; time.Sleep(time.Millisecond) {
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
		t.Errorf("the one without a place is rejected after %s: %v", time.Since(began), err)
	}
	s.Drain(l)
	dispatcher.answerAll()
	for _, c := range all {
		c.Close()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
