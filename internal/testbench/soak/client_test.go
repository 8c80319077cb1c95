package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestRequestUnreadOnNewConnectionIsResent closes a client's first connection, which is new, without a response. The client
// must resend the request on another connection if the request was not read, and only then.
func TestRequestUnreadOnNewConnectionIsResent(t *testing.T) {
	for name, test := range map[string]struct {
		read   bool // the request is read before its connection is closed
		resent bool
	}{
		"closed unread":         {read: false, resent: true},
		"read and not answered": {read: true, resent: false},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			c := newClients(&sidecar{address: listener.Addr().String()}, 1, 1, classesFor(time.Second))
			r := &request{id: "n0-1", class: c.classes[0]}
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				c.send(r)
			}()
			first, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := bufio.NewReader(first).Peek(1); err != nil { // the request has arrived
				t.Fatal(err)
			}
			if !test.read {
				first.(*net.TCPConn).SetLinger(0) // resets the connection, as the kernel does if data is unread at the close
			}
			first.Close()
			if test.resent {
				second, err := listener.Accept()
				if err != nil {
					t.Fatal(err)
				}
				defer second.Close()
				if _, err := http.ReadRequest(bufio.NewReader(second)); err != nil {
					t.Fatal(err)
				}
				_, _ = io.WriteString(second, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nn0-1\n")
			}
			<-sent
			if r.resent != test.resent || (r.status == http.StatusOK) != test.resent {
				t.Errorf("resent %t, status %d, %q; want resent %t", r.resent, r.status, r.err, test.resent)
			}
			if crossed := !r.firstSend.from.IsZero(); crossed != test.resent {
				t.Errorf("judged as crossing the close of its connection: %t, want %t", crossed, test.resent)
			}
		})
	}
}
