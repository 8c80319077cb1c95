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

// An open request keeps the rules that it was taken under, whichever way its class turns meanwhile, and so it does when its
// class is dropped or attempts get fewer.
func TestOpenRequestsKeepTheirRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := fakes.NewMemory()
		release := make(chan bool)
		all, discovery := fakeServers(t, m, 3, func(w http.ResponseWriter, r *http.Request) {
			first := strings.HasSuffix(r.URL.Path, "/first")
			if first {
				<-release
				panic(http.ErrAbortHandler) // reset: it may have run
			}
			fmt.Fprint(w, "done")
		})
		s := start(t, m, discovery, nil)
		for i := range 60 { // earns attempts
			s.send(s.front, fmt.Sprintf("GET /tile/%d HTTP/1.1\r\nHost: x\r\nReq-Id: warm-%d\r\nConnection: close\r\n\r\n", i, i))
		}
		ask := func(verb, class, id string) chan int {
			out := make(chan int, 1)
			go func() {
				status, _ := parse(t, s.send(s.front, fmt.Sprintf("%s /%s/first HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nConnection: close\r\n\r\n",
					verb, class, id)))
				out <- status
			}()
			time.Sleep(50 * time.Millisecond)
			return out
		}
		tile, order := ask("GET", "tile", "t1"), ask("POST", "order", "o1")
		nowUnsafe, nowPure := fakes.TileClass(), fakes.OrderClass()
		nowUnsafe.Idempotent, nowPure.Idempotent = false, true
		extra := fakes.TileClass()
		extra.Name = "extra"
		s.sidecar.Classes = []fakes.Class{nowPure, nowUnsafe, extra}
		s.sidecar.MaxAttempts = 1
		s.write()
		s.reload()
		tileNew, orderNew, added := ask("POST", "tile", "t2"), ask("GET", "order", "o2"), ask("GET", "extra", "e1")
		s.sidecar.Classes = []fakes.Class{extra}
		s.write()
		s.reload()
		if status := <-ask("GET", "tile", "t3"); status != 404 {
			t.Errorf("a class that was dropped: %d", status)
		}
		time.Sleep(100 * time.Millisecond)
		close(release)
		for _, tc := range []struct {
			what      string
			got       int
			want      int
			id        string
			ranAtMost int
		}{
			{"the old tile, which may be tried again", <-tile, 503, "t1", 3},
			{"the old order, which may not", <-order, 502, "o1", 1},
			{"the new tile, which may not", <-tileNew, 502, "t2", 1},
			{"the new order, which may be refused", <-orderNew, 503, "o2", 1},
			{"the class that was added", <-added, 503, "e1", 1},
		} {
			ran := 0
			for _, h := range all {
				ran += h.seen[tc.id]
			}
			if tc.got != tc.want || ran > tc.ranAtMost || tc.id == "t1" && ran < 2 {
				t.Errorf("%s: %d, want %d; sent %d times", tc.what, tc.got, tc.want, ran)
			}
		}
		s.stop()
	})
}
