package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// An open request keeps the settings under which it was accepted when a reload makes its class idempotent or not, drops the
// class, or lowers the maximum of attempts.
func TestOpenRequestsKeepTheirSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := fakes.NewMemory()
		release := make(chan bool)
		all, discovery := fakeServers(t, m, 3, func(w http.ResponseWriter, r *http.Request) {
			first := strings.HasSuffix(r.URL.Path, "/first")
			if first {
				<-release
				panic(http.ErrAbortHandler) // resets the connection: the request may have run
			}
			fmt.Fprint(w, "done")
		})
		s := start(t, m, discovery, nil)
		for i := range 60 { // earn retry credit
			s.send(s.front, fmt.Sprintf("GET /tile/%d HTTP/1.1\r\nHost: x\r\nReq-Id: warm-%d\r\nConnection: close\r\n\r\n", i, i))
		}
		sendRequest := func(method, class, id string) chan int {
			out := make(chan int, 1)
			go func() {
				status, _ := parse(t, s.send(s.front, fmt.Sprintf("%s /%s/first HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nConnection: close\r\n\r\n",
					method, class, id)))
				out <- status
			}()
			time.Sleep(50 * time.Millisecond)
			return out
		}
		tile, order := sendRequest("GET", "tile", "t1"), sendRequest("POST", "order", "o1")
		unsafeTile, idempotentOrder := fakes.TileClass(), fakes.OrderClass()
		unsafeTile.Idempotent, idempotentOrder.Idempotent = false, true
		extra := fakes.TileClass()
		extra.Name = "extra"
		s.sidecar.Classes = []fakes.Class{idempotentOrder, unsafeTile, extra}
		s.sidecar.MaxAttempts = 1
		s.write()
		s.reload()
		newTile, newOrder, addedClass := sendRequest("POST", "tile", "t2"), sendRequest("GET", "order", "o2"), sendRequest("GET", "extra", "e1")
		s.sidecar.Classes = []fakes.Class{extra}
		s.write()
		s.reload()
		if status := <-sendRequest("GET", "tile", "t3"); status != 404 {
			t.Errorf("request of a dropped class: %d", status)
		}
		time.Sleep(100 * time.Millisecond)
		close(release)
		for _, tc := range []struct {
			what    string
			got     int
			want    int
			id      string
			maxSent int
		}{
			{"tile before the reload, idempotent: may be retried", <-tile, 503, "t1", 3},
			{"order before the reload: may not be retried", <-order, 502, "o1", 1},
			{"tile after the reload: may not be retried", <-newTile, 502, "t2", 1},
			{"order after the reload, idempotent: may be rejected", <-newOrder, 503, "o2", 1},
			{"class added by the reload", <-addedClass, 503, "e1", 1},
		} {
			sent := 0
			for _, h := range all {
				sent += h.seen[tc.id]
			}
			if tc.got != tc.want || sent > tc.maxSent || tc.id == "t1" && sent < 2 {
				t.Errorf("%s: %d, want %d; sent %d times", tc.what, tc.got, tc.want, sent)
			}
		}
		s.stop()
	})
}
