package frontend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// taken is how many requests it holds.
func (c *holding) taken() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held)
}

// ask sends the listener a request of that number on a new connection.
func ask(t *testing.T, l net.Listener, number int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\n\r\n", number)
	return c
}

// Clients of a busy process had their requests answered long after they had stopped waiting, as it ended: more clients than it has places for,
// all at work, so that the others' connections lay in the kernel's backlog, where a request counts as taken. Found by the soak (run 3001: 150
// clients at a process of 96 descriptors, answered 0.54 s after their deadlines). What finds no place is refused while there is time to say so.
func TestACrowdBeyondAllPlacesIsRefused(t *testing.T) {
	const places = 16 // eight of them for clients
	core := new(holding)
	s, l, done := behindGate(t, core, places)
	close(l.gate)
	var all []net.Conn
	defer func() {
		for _, c := range all {
			c.Close()
		}
		s.Drain(l)
		<-done
	}()
	ask := func(i int) net.Conn {
		c := ask(t, l, i)
		all = append(all, c)
		return c
	}
	for i := range places / 2 {
		ask(i)
	}
	for began := time.Now(); core.taken() < places/2; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%d of %d requests are taken", core.taken(), places/2)
		}
	}
	began := time.Now()
	var beyond []net.Conn
	for i := range 3 * places {
		beyond = append(beyond, ask(places+i))
	}
	for i, c := range beyond {
		c.SetDeadline(began.Add(2500 * time.Millisecond)) // the deadline
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Fatalf("request %d beyond all places: %v, %v", i, resp, err)
		}
	}
	if n := core.taken(); n != places/2 {
		t.Errorf("%d requests are taken, %d have a place", n, places/2)
	}
}

// Clients that find no place after a quiet time wait in the backlog for a moment, since one may come free: they are not refused for the time in
// which nobody came.
func TestNobodyIsRefusedAtOnceAfterAQuietTime(t *testing.T) {
	const places = 8 // four of them for clients
	core := new(holding)
	s, l, done := behindGate(t, core, places)
	close(l.gate)
	var all []net.Conn
	for i := range places/2 + 1 {
		if i == places/2-1 {
			time.Sleep(2 * maxBacklogWait) // nobody comes
		}
		c := ask(t, l, i)
		defer c.Close()
		for began := time.Now(); i < places/2 && core.taken() < i+1; time.Sleep(time.Millisecond) {
			if time.Since(began) > 10*time.Second {
				t.Fatalf("request %d is not taken", i)
			}
		}
		all = append(all, c)
	}
	began := time.Now()
	last := all[len(all)-1]
	last.SetReadDeadline(began.Add(10 * time.Second))
	if _, err := http.ReadResponse(bufio.NewReader(last), nil); err != nil || time.Since(began) < maxBacklogWait/2 {
		t.Errorf("the one without a place is told so after %s: %v", time.Since(began), err)
	}
	s.Drain(l)
	core.answer()
	for _, c := range all {
		c.Close()
	}
	<-done
}
