package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// writeSlowly writes p in pieces, with a pause before each.
func writeSlowly(w io.Writer, p []byte, piece int, pause time.Duration) {
	for len(p) > 0 {
		time.Sleep(pause)
		n, err := w.Write(p[:min(piece, len(p))])
		if err != nil {
			return
		}
		p = p[n:]
	}
}

var longBody = bytes.Repeat([]byte("0123456789abcdef"), 20<<10) // 320 KiB

// flusher flushes after each write.
type flusher struct{ http.ResponseWriter }

func (f flusher) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	return n, errors.Join(err, http.NewResponseController(f.ResponseWriter).Flush())
}

// Long bodies arrive complete with each HTTP framing, however slowly clients and servers send.
func TestLongBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := fakes.NewMemory()
		_, discovery := fakeServers(t, m, 2, func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			if strings.HasSuffix(r.URL.Path, "/sized") {
				w.Header().Set("Content-Length", fmt.Sprint(len(longBody)))
			}
			w.WriteHeader(200)
			switch {
			case r.Method == "POST":
				_, _ = w.Write(body)
			case strings.HasSuffix(r.URL.Path, "/slow"):
				writeSlowly(flusher{w}, longBody, 9000, 90*time.Millisecond) // over 3 s, beyond its deadline
			case strings.HasSuffix(r.URL.Path, "/broken"):
				_, _ = w.Write(longBody[:200<<10])
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			default:
				_, _ = w.Write(longBody)
			}
		})
		s := start(t, m, discovery, nil)
		sendRequest := func(head string, body []byte, piece int, pause time.Duration) (int, []byte, error) {
			c, err := m.Dial(t.Context(), s.front)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			go func() {
				writeSlowly(c, []byte(head+"Host: x\r\nReq-Id: "+nextID()+"\r\nReq-Deadline: 1.0\r\n\r\n"), 40, pause/10)
				writeSlowly(c, body, piece, pause)
			}()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return 0, nil, err
			}
			got, err := io.ReadAll(resp.Body)
			return resp.StatusCode, got, err
		}
		for _, path := range []string{"sized", "chunked", "slow"} {
			status, got, err := sendRequest("GET /tile/"+path+" HTTP/1.1\r\n", nil, 1, 0)
			if status != 200 || err != nil || !bytes.Equal(got, longBody) {
				t.Errorf("%s: %d, %d bytes, %v", path, status, len(got), err)
			}
		}
		if _, got, err := sendRequest("GET /tile/broken HTTP/1.1\r\n", nil, 1, 0); err == nil || len(got) == 0 {
			t.Errorf("truncated response: %d bytes, %v", len(got), err)
		}
		if _, got, err := sendRequest("GET /tile/broken HTTP/1.0\r\n", nil, 1, 0); err == nil && len(got) >= len(longBody) {
			t.Errorf("truncated response to an HTTP/1.0 client: %d bytes", len(got))
		}
		chunks := fmt.Appendf(nil, "%x;ext=1\r\n%s\r\n%x\r\n%s\r\n0\r\nX-Trailer: y\r\n\r\n", 200<<10, longBody[:200<<10],
			len(longBody)-200<<10, longBody[200<<10:])
		for what, tc := range map[string]struct {
			head  string
			body  []byte
			piece int
			pause time.Duration
		}{
			"at once":        {fmt.Sprintf("Content-Length: %d\r\n", len(longBody)), longBody, len(longBody), 0},
			"in chunks":      {"Transfer-Encoding: chunked\r\n", chunks, 30000, 0},
			"at 64 kB/s":     {fmt.Sprintf("Content-Length: %d\r\n", len(longBody)), longBody, 32 << 10, 500 * time.Millisecond},
			"small and slow": {"Content-Length: 3000\r\n", longBody[:3000], 1000, 400 * time.Millisecond},
		} {
			status, got, err := sendRequest("POST /order/1 HTTP/1.1\r\n"+tc.head, tc.body, tc.piece, tc.pause)
			if want := longBody[:min(len(longBody), len(got))]; status != 200 || err != nil || len(got) < 3000 || !bytes.Equal(got, want) {
				t.Errorf("sent %s: %d, %d bytes, %v", what, status, len(got), err)
			}
		}
		f := s.counters()
		if f.Success["tile"] != 3 || f.Error["tile"] != 2 || f.Success["order"] != 4 || f.Concurrent != 0 {
			t.Errorf("%+v", f)
		}
		s.stop()
	})
}

// A long request whose server resets the connection before the last byte of the request is written has not run: it is
// rejected, although it is not idempotent. After the last byte it fails. Nothing of it is sent twice.
func TestServerResetsLongRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := fakes.NewMemory()
		all, discovery := fakeServers(t, m, 2, func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/early") {
				_, _ = io.ReadFull(r.Body, make([]byte, 100<<10))
				c, _, _ := http.NewResponseController(w).Hijack() // else the server drains the body before it closes
				c.Close()
			} else {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			panic(http.ErrAbortHandler)
		})
		s := start(t, m, discovery, nil)
		for path, want := range map[string]int{"early": 503, "late": 502} {
			c, err := m.Dial(t.Context(), s.front)
			if err != nil {
				t.Fatal(err)
			}
			go writeSlowly(c, fmt.Appendf(nil, "POST /order/%s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nContent-Length: %d\r\n\r\n%s", path, path,
				len(longBody), longBody), 20000, 10*time.Millisecond)
			br := bufio.NewReader(c)
			resp, err := http.ReadResponse(br, nil)
			if err != nil || resp.StatusCode != want {
				t.Errorf("%s: %v %v", path, resp, err)
			}
			if n := all[0].seen[path] + all[1].seen[path]; n != 1 {
				t.Errorf("%s: sent %d times", path, n)
			}
			time.Sleep(second)
			_, _ = io.WriteString(c, "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n") // the connection is usable after the body
			if resp, err := http.ReadResponse(br, nil); err != nil || resp.StatusCode != 404 {
				t.Errorf("after %s: %v %v", path, resp, err)
			}
			c.Close()
		}
		s.stop()
	})
}

// Requests and responses that would never end are ended: a request body that stalls, and a request or a response with a huge
// content length.
func TestEndlessBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := fakes.NewMemory()
		_, discovery := fakeServers(t, m, 2, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "3221225472")
			for context.Cause(r.Context()) == nil {
				if _, err := w.Write(longBody); err != nil {
					return
				}
			}
		})
		s := start(t, m, discovery, func(p *fakes.SidecarConfig) { p.MaxAttempts = 1 })
		for what, tc := range map[string]struct {
			raw  string
			want int
		}{
			"stalled body":     {"POST /order/1 HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nContent-Length: 70000\r\n\r\nhalf", 408},
			"huge body":        {"POST /order/1 HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nContent-Length: 60000000\r\n\r\n", 413},
			"two body lengths": {"POST /order/1 HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
			"huge response":    {"GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: b\r\nConnection: close\r\n\r\n", 503},
		} {
			startedAt := time.Now()
			if status, _ := parse(t, s.send(s.front, tc.raw)); status != tc.want || time.Since(startedAt) > 3*second {
				t.Errorf("%s: %d, want %d, after %s", what, status, tc.want, time.Since(startedAt))
			}
		}
		s.stop()
	})
}

// The memory of a buffered body is released, whatever the outcome of its request.
func TestBufferedBodiesAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := fakes.NewMemory()
		_, discovery := fakeServers(t, m, 2, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
		s := start(t, m, discovery, func(p *fakes.SidecarConfig) { p.MemoryMB = 8 }) // room for 32 bodies of unknown length
		sendRequest := func(path, rest string) (int, string) {
			return parse(t, s.send(s.front, "POST "+path+" HTTP/1.1\r\nHost: x\r\nReq-Id: "+nextID()+
				"\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"+rest))
		}
		for i := range 40 {
			for path, tc := range map[string]struct {
				rest string
				want int
			}{"/nowhere": {"1\r\nx\r\n0\r\n\r\n", 404}, "/order/1": {"x\r\n", 400}} {
				if got, _ := sendRequest(path, tc.rest); got != tc.want {
					t.Fatalf("%d: %s: %d", i, path, got)
				}
			}
		}
		if got, body := sendRequest("/order/1", "5\r\nhello\r\n0\r\n\r\n"); got != 200 || body != "hello" {
			t.Errorf("after rejected bodies: %d %q", got, body)
		}
		s.stop()
	})
}

// Clients and servers that disconnect during long bodies, in either direction, don't affect other requests.
func TestClientsAndServersDisconnectDuringLongBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := fakes.NewMemory()
		_, discovery := fakeServers(t, m, 3, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == "POST" {
				_, _ = io.CopyN(io.Discard, r.Body, 80<<10)
				if strings.HasSuffix(r.URL.Path, "/early") {
					c, _, _ := http.NewResponseController(w).Hijack()
					c.Close()
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				fmt.Fprint(w, "done")
				return
			}
			writeSlowly(flusher{w}, longBody, 4000, 2*time.Millisecond)
		})
		s := start(t, m, discovery, nil)
		var all sync.WaitGroup
		for i := range 90 {
			all.Go(func() {
				c, err := m.Dial(t.Context(), s.front)
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				leaveAfter := time.Duration(i%10*17) * time.Millisecond // 0 = stays connected
				if leaveAfter > 0 {
					time.AfterFunc(leaveAfter, func() { c.Close() })
				}
				path, body := []string{"early", "late", "down"}[i%3], longBody
				head := "POST /order/"
				if path == "down" {
					head, body = "GET /tile/", nil
				}
				go writeSlowly(c, fmt.Appendf(nil, "%s%s HTTP/1.1\r\nHost: x\r\nReq-Id: l%d\r\nContent-Length: %d\r\n\r\n%s", head, path, i,
					len(body), body), 9000, 3*time.Millisecond)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					if leaveAfter == 0 {
						t.Errorf("%s: %v", path, err)
					}
					return
				}
				got, err := io.ReadAll(resp.Body)
				want := map[string]string{"early": "", "late": "done", "down": string(longBody)}[path]
				if leaveAfter == 0 && resp.StatusCode == 200 && (err != nil || string(got) != want) || err == nil && resp.StatusCode == 200 &&
					string(got) != want {
					t.Errorf("%s: %d bytes that don't match, %v", path, len(got), err)
				}
			})
		}
		all.Wait()
		time.Sleep(10 * second)
		if f := s.counters(); f.Concurrent != 0 || f.Success["tile"] == 0 || f.Success["order"] == 0 {
			t.Errorf("%+v", f)
		}
		s.stop()
	})
}
