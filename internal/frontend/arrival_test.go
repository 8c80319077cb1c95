package frontend

import (
	"fmt"
	"net"
	"testing"
	"time"

	"plankrouter/internal/request"
)

// recordingDispatcher is a dispatcher that sends the submitted requests to a channel.
type recordingDispatcher struct {
	manualDispatcher
	requests chan *request.Request
}

func (d *recordingDispatcher) Submit(r *request.Request) bool {
	d.requests <- r
	return true
}

// A request's timeout starts when the request arrived, not when this process accepted its connection or read it.
func TestTimeoutRunsFromArrival(t *testing.T) {
	const (
		unread    = 300 * time.Millisecond // how long the request stays unread in the kernel
		tolerance = 30 * time.Millisecond  // for the resolution of the kernel's timestamps
	)
	dispatcher := &recordingDispatcher{requests: make(chan *request.Request, 1)}
	s, l, done := serveBehindGate(t, dispatcher, 16)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	before := time.Now()
	fmt.Fprint(c, "GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\n\r\n")
	after := time.Now()
	time.Sleep(unread)
	close(l.gate)
	r := <-dispatcher.requests
	if r.SentAt.Before(before.Add(-tolerance)) || r.SentAt.After(after.Add(tolerance)) {
		t.Errorf("sent %s before it was read; SentAt is %s before that", time.Since(after), time.Since(r.SentAt))
	}
	c.Close()
	s.Drain(l)
	if err := <-done; err != nil {
		t.Error(err)
	}
}
