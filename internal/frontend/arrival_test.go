package frontend

import (
	"fmt"
	"net"
	"plankrouter/internal/request"
	"testing"
	"time"
)

// taking is a core that shows what it takes.
type taking struct {
	holding
	took chan *request.Request
}

func (c *taking) Submit(r *request.Request) bool {
	c.took <- r
	return true
}

// A client's time runs from when its request arrived, not from when this process came to accept its connection or to read it.
func TestTimeRunsFromArrival(t *testing.T) {
	const (
		unread  = 300 * time.Millisecond // for which the request lies in the kernel
		blurred = 30 * time.Millisecond  // by the kernel's ticks
	)
	core := &taking{took: make(chan *request.Request, 1)}
	s, l, done := behindGate(t, core, 16)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	before := time.Now()
	fmt.Fprint(c, "GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\n\r\n")
	after := time.Now()
	time.Sleep(unread)
	close(l.gate)
	r := <-core.took
	if r.SentAt.Before(before.Add(-blurred)) || r.SentAt.After(after.Add(blurred)) {
		t.Errorf("sent %s before it was read; its time runs from %s before that", time.Since(after), time.Since(r.SentAt))
	}
	c.Close()
	s.Drain(l)
	if err := <-done; err != nil {
		t.Error(err)
	}
}
