package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"plankrouter/internal/connlimit"
)

// A client leaves while its request waits, wherever that is, whether or not attempts may be cancelled and however it goes:
// nothing of the request reaches a server from then on, and what is counted comes out even.
func TestWhatNobodyWaitsForIsNotSent(t *testing.T) {
	leave := map[string]func(*net.TCPConn){
		"FIN":   func(c *net.TCPConn) { _ = c.CloseWrite() },
		"reset": func(c *net.TCPConn) { c.SetLinger(0); _ = c.Close() },
	}
	cases := []struct {
		name    string
		message string
		probes  bool
		before  int  // requests that are served before
		decline bool // the first attempt comes to nothing
		taken   bool
	}{
		{name: "in the module", message: getRequest("a"), probes: true, taken: true},
		{name: "in the backlog", message: getRequest("a")},
		{name: "while its connection comes up", message: getRequest("a"), taken: true},
		{name: "between two attempts", message: getRequest("a"), before: 12, decline: true, taken: true},
		{name: "with its body half sent", message: "POST /order/1 HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nContent-Length: 200000\r\n\r\n" +
			strings.Repeat("x", 120000), taken: true},
		{name: "with a blank line behind it", message: getRequest("a") + "\r\n", taken: true},
		{name: "with another request behind it", message: getRequest("a") + getRequest("b"), taken: true},
		{name: "with much behind it", message: getRequest("a") + strings.Repeat(getRequest("b"), 300), taken: true},
	}
	for _, tc := range cases {
		for how, goes := range leave {
			for _, mayCancel := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s by %s cancel=%t", tc.name, how, mayCancel), func(t *testing.T) {
					t.Parallel()
					backlog := !tc.taken
					r := newRig(t, 2, backlog, func(settings map[string]any) {
						limits := settings["Limits"].(map[string]any)
						limits["MayCancel"], limits["Probes"] = mayCancel, tc.probes
					})
					want := []string{"z"}
					if tc.probes {
						r.probes = make(chan struct{})
					}
					stop := r.allowDials(tc.probes || tc.before > 0)
					for i := range tc.before {
						r.expectServed(fmt.Sprint(i))
						want = append(want, fmt.Sprint(i))
						wait(r, "the end of a connection", r.closed)
					}
					if tc.decline {
						want = append(want, "a")
						r.decline(tc.before+1, stop)
					}
					c := r.client(tc.message)
					var held chan struct{}
					switch {
					case backlog:
						nc := wait(r, "the connection", r.accepts)
						goes(c)
						for s := connlimit.NewBudget(1, nil).Adopt(nc, connlimit.Inbound); !s.HasPeerClosed(); {
							time.Sleep(time.Millisecond)
						}
						r.pass <- nc
					case tc.probes:
						wait(r, "a probe", r.probed)
						goes(c)
					default:
						held = wait(r, "the connection to a provider", r.pendingDials)
						goes(c)
					}
					wait(r, "the end of a connection whose consumer has left", r.closed)
					if held != nil {
						close(held)
					}
					words := 2
					if tc.probes { // until the wait in the module would be over
						words = 1
						close(r.probes)
					}
					if backlog {
						go func() { r.pass <- <-r.accepts }()
					}
					r.allowDials(true)
					r.expectServed("z")
					counts := r.end(words)
					gone := 0
					if tc.taken {
						gone = 1
					}
					r.checkCounts(want, counts, gone, tc.before+1)
				})
			}
		}
	}
}

// A client leaves with something unread behind its request, so that its end can't be read, in the very moment before its attempt's
// connection comes up: the attempt looks once more, and nothing of it is written, however long ago anybody else has looked.
func TestLeftJustBeforeTheFirstByte(t *testing.T) {
	long := "POST /order/1 HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nContent-Length: 120000\r\n\r\n"
	for name, tc := range map[string]struct {
		message string
		before  int // requests that are served before; then its first attempt comes to nothing
	}{
		"with a blank line behind it":      {getRequest("a") + "\r\n", 0},
		"with another request behind it":   {getRequest("a") + getRequest("b"), 0},
		"between two attempts":             {getRequest("a") + "\r\n", 12},
		"with its long body half sent":     {long + strings.Repeat("x", 90000), 0},
		"with its long body sent and more": {long + strings.Repeat("x", 120002), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 2, true, func(settings map[string]any) { settings["Limits"].(map[string]any)["Probes"] = false })
			accepted := make(chan net.Conn, 64)
			go func() {
				for {
					select {
					case c := <-r.accepts:
						accepted <- c
						r.pass <- c
					case <-r.Context().Done():
						return
					}
				}
			}()
			want := []string{"z"}
			stop := r.allowDials(tc.before > 0)
			for i := range tc.before {
				r.expectServed(fmt.Sprint(i))
				want = append(want, fmt.Sprint(i))
				<-accepted
				wait(r, "the end of a connection", r.closed)
			}
			if tc.before > 0 {
				want = append(want, "a")
				r.decline(tc.before+1, stop)
			}
			c := r.client(tc.message)
			s := connlimit.NewBudget(1, nil).Adopt(wait(r, "the connection", accepted), connlimit.Inbound)
			held := wait(r, "the connection to a provider", r.pendingDials)
			_ = c.CloseWrite()
			for !s.HasPeerClosed() {
				time.Sleep(time.Millisecond)
			}
			close(held)
			wait(r, "the end of a connection whose consumer has left", r.closed)
			r.allowDials(true)
			r.expectServed("z")
			counts := r.end(2)
			r.checkCounts(want, counts, 1, tc.before+1)
		})
	}
}
