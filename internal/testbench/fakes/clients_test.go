package fakes

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter/internal/config"
)

// TestResults checks that clients classify each kind of response or fault of a server as the matching Result.
func TestResults(t *testing.T) {
	slowly := Class{Name: "slowly", Idempotent: true, Deadline: time.Second, LatencyObjective: 30 * time.Millisecond}
	tile, order := TileClass(), OrderClass()
	tile.LatencyObjective, order.Deadline = tile.Deadline, tile.Deadline
	broken := func(after int) Behaviour { return Behaviour{Truncate: &Truncation{After: after}} }
	for name, test := range map[string]struct {
		how   Behaviour
		class Class
		retry Retry
		want  string // expected text of the tally after "41 requests, "
	}{
		"served":           {Behaviour{}, tile, Retry{}, "41 within objective, served 41"},
		"above objective":  {Behaviour{Slowdown: 9}, slowly, Retry{}, "0 within objective, served 41"},
		"timed out":        {Behaviour{Stall: true}, slowly, Retry{}, "0 within objective, timed out 41"},
		"refused":          {Behaviour{Drain: true}, order, Retry{}, "0 within objective, refused 41"},
		"retried":          {Behaviour{Drain: true}, order, Retry{MaxRetries: 2}, "0 within objective, refused 123"},
		"no time to retry": {Behaviour{Drain: true}, slowly, Retry{2 * time.Second, 2}, "0 within objective, refused 41"},
		"failed orders":    {Behaviour{FailFraction: 1}, order, Retry{MaxRetries: 2}, "0 within objective, failed 41"},
		"failed tiles":     {Behaviour{FailFraction: 1}, tile, Retry{MaxRetries: 2}, "0 within objective, failed 123"},
		"truncated":        {broken(20), order, Retry{}, "0 within objective, failed 41"},
		"lost":             {broken(0), order, Retry{}, "0 within objective, lost 41"},
		"wrong":            {Behaviour{ReplaceWith: encodeResponse(200, "", []byte("x\n"))}, tile, Retry{}, "0 within objective, wrong 41"},
	} {
		t.Run(name, func(t *testing.T) {
			onBothNetworks(t, func(t *testing.T, n Network) {
				p, err := NewServer(n, ServerOptions{Cores: 100, Default: Service{10 * time.Millisecond, true, 0}})
				ok(t, err)
				defer p.Close()
				p.SetBehaviour(test.how)
				start := time.Now()
				load := Load{
					Network: n, Address: p.Address(), Seed: 1, Duration: 200 * time.Millisecond, Retry: test.retry,
					Streams: []Stream{{Class: test.class, Tenant: "acme", Rate: 200}},
				}
				attempts := NewClients(load).Run(t.Context())
				if got := Tally(attempts, start, 0); len(got) != 1 || got[0].String() != "41 requests, "+test.want {
					t.Errorf("%v, want %s", got, test.want)
				}
			})
		})
	}
}

// TestRequestSentDuringClose checks that a request sent on a reused connection while the server closes it is sent once more
// and executed once.
func TestRequestSentDuringClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewMemory()
		n.SetDelay(20*time.Millisecond, 0)
		p, err := NewServer(n, ServerOptions{MaxIdle: 100 * time.Millisecond, Cores: 9})
		ok(t, err)
		defer p.Close()
		attempts := NewClients(Load{
			Network: n, Address: p.Address(), Seed: 1, Duration: time.Minute,
			Streams: []Stream{{Class: OrderClass(), Rate: 5}},
		}).Run(t.Context())
		resent := 0
		for _, attempt := range attempts {
			if attempt.Result != Served || p.RunCount(attempt.ID) != 1 {
				t.Errorf("%+v ran %d times", attempt, p.RunCount(attempt.ID))
			}
			if attempt.Resent {
				resent++
			}
		}
		for _, r := range p.Requests() {
			if r.Method != "POST" || r.Body != "take "+r.ID {
				t.Errorf("%+v", r)
			}
		}
		if resent == 0 {
			t.Error("no request was sent again")
		}
	})
}

// TestClosedUnread checks that closedUnread distinguishes a connection closed before the request was read from one closed
// afterwards.
func TestClosedUnread(t *testing.T) {
	for name, read := range map[string]bool{"read": true, "unread": false} {
		t.Run(name, func(t *testing.T) {
			onBothNetworks(t, func(t *testing.T, n Network) {
				a, b := connPair(t, n)
				if read {
					send(t, a, "order")
					_, err := io.ReadFull(b, make([]byte, 5))
					ok(t, err)
				}
				ok(t, b.Close())
				if !read {
					send(t, a, "order")
				}
				_, err := a.Read(make([]byte, 1))
				if k := (&clientConn{Conn: a}); k.closedUnread(&exchangeResult{err: err}) == read {
					t.Errorf("the connection ended with %v, and the request counts as read: %t", err, !read)
				}
			})
		})
	}
}

func TestMaxConns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewMemory()
		p, err := NewServer(n, ServerOptions{Cores: 9, Default: Service{Mean: time.Second, Fixed: true}})
		ok(t, err)
		defer p.Close()
		start := time.Now()
		attempts := NewClients(Load{
			Network: n, Address: p.Address(), Seed: 1, Duration: 20 * time.Second, MaxConns: 2,
			Streams: []Stream{{Class: TileClass(), Rate: 2}, {Class: OrderClass(), Rate: 2}},
		}).Run(t.Context())
		late := slices.ContainsFunc(attempts, func(t Attempt) bool { return t.Result == Served && t.Took() > 3*time.Second/2 })
		unsent := slices.ContainsFunc(attempts, func(t Attempt) bool { return t.Result == TimedOut && t.SentAt.IsZero() })
		if !late || !unsent {
			t.Errorf("no request waited for a connection, or none timed out while waiting: %s", Tally(attempts, start, 0)[0])
		}
		for _, a := range attempts {
			out := 0
			for _, b := range attempts {
				if !b.SentAt.IsZero() && !a.SentAt.Before(b.SentAt) && a.SentAt.Before(b.EndedAt) {
					out++
				}
			}
			if out > 2 {
				t.Errorf("%d requests were in flight %s after the start", out, a.SentAt.Sub(start))
			}
		}
	})
}

// relay is a minimal sidecar: it has a fixed endpoint list and forwards each request to an endpoint chosen by its id.
func relay(n Network, endpoints []Endpoint) http.Handler {
	return &httputil.ReverseProxy{
		Transport: &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.Dial(ctx, address)
		}, MaxIdleConnsPerHost: 100},
		Rewrite: func(r *httputil.ProxyRequest) {
			id := r.In.Header.Get(headerID)
			r.SetURL(&url.URL{Scheme: "http", Host: endpoints[int(id[0]+id[1])%len(endpoints)].Address})
		},
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// TestFleetRunIsReproducible takes one server of a fleet behind a relay down for a second. Then it replaces all servers, which
// the relay's fixed list does not reflect. Service must recover from the first fault and not from the second, and a second run
// must give the same result.
func TestFleetRunIsReproducible(t *testing.T) {
	var runs [2][]Window
	for i := range runs {
		synctest.Test(t, func(t *testing.T) {
			n := NewMemory()
			f, err := NewFleet(n, 4, ServerOptions{Cores: 4, Queue: 9, Default: Service{Mean: 10 * time.Millisecond}})
			ok(t, err)
			defer f.Close()
			l, err := n.Listen("")
			ok(t, err)
			handler := relay(n, f.Endpoints())
			server := http.Server{Handler: handler}
			go func() { _ = server.Serve(l) }() // until Close
			defer server.Close()
			defer handler.(*httputil.ReverseProxy).Transport.(*http.Transport).CloseIdleConnections()
			start := time.Now()
			go Timeline{
				{4 * time.Second, "release", func() {
					ok(t, f.Release(t.Context(), Release{Batch: 3, Grace: time.Second, Down: time.Second, NewAddresses: true}))
				}},
				{time.Second, "down", f.Servers[0].Kill},
				{2 * time.Second, "up", func() { ok(t, f.Servers[0].Start("")) }},
			}.Play(t.Context(), start)
			attempts := NewClients(Load{
				Network: n, Address: l.Addr().String(), Seed: 1, Duration: 11 * time.Second,
				Streams: []Stream{{Class: TileClass(), Rate: 100}, {Class: OrderClass(), Rate: 50}},
			}).Run(t.Context())
			runs[i] = Tally(attempts, start, time.Second)
			took, well := RecoveryTime(attempts, start.Add(time.Second), 1, 200*time.Millisecond)
			if !well || took != time.Second {
				t.Errorf("recovered: %t, after %s", well, took)
			}
			if took, well = RecoveryTime(attempts, start.Add(4*time.Second), 1, 200*time.Millisecond); well {
				t.Errorf("recovered from the release after %s", took)
			}
			if ids := RequestsRunTwice("order", f.Servers...); len(ids) > 0 {
				t.Errorf("run twice: %v", ids)
			}
			if n := f.Discovery.Revision(); n != 5 {
				t.Errorf("revision %d, want 5", n)
			}
			now := f.Endpoints()
			if d := f.Discovery.Endpoints(); !slices.Equal(d, now) || now[3].ID != "s-4.2" || now[3].UpSince == 0 {
				t.Errorf("listed %v, running %v", d, now)
			}
		})
	}
	if !slices.Equal(runs[0], runs[1]) {
		t.Errorf("first run %v, second run %v", runs[0], runs[1])
	}
}

func TestRecoveryTime(t *testing.T) {
	start := time.Unix(1e9, 0)
	for script, want := range map[string]string{ // served of 20 requests in each 250 ms window; the last window is ignored
		"20 20 20 20 20":                 "0s true",
		"9 9 20 20 19 20 20":             "500ms true",
		"9 20 20 20 9 20 20 20 20 20 20": "1.25s true",
		"9 20 20 20 20":                  "0s false",
		"18 18 18 18 18":                 "0s false",
	} {
		var attempts []Attempt
		for i, word := range strings.Fields(script) {
			served, err := strconv.Atoi(word)
			ok(t, err)
			for j := range 20 {
				at := start.Add(time.Duration(i) * 250 * time.Millisecond)
				attempt := Attempt{RequestID: fmt.Sprint(i, j), Class: TileClass(), RequestedAt: at, DueAt: at, EndedAt: at, Result: Rejected}
				if j < served { // served by a second attempt
					attempts = append(attempts, attempt)
					attempt.Number, attempt.Result = 1, Served
				}
				attempts = append(attempts, attempt)
			}
		}
		took, well := RecoveryTime(attempts, start, 1, 250*time.Millisecond)
		if got := fmt.Sprint(took, well); got != want {
			t.Errorf("%s: %s, want %s", script, got, want)
		}
	}
}

func TestConfigLoads(t *testing.T) {
	raw, err := Config(SidecarConfig{
		Name: "n1", Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2", Seed: 77,
		Known:   List{Revision: 3, Endpoints: []Endpoint{{ID: "a", Address: "127.0.0.1:3", Phase: Serving}}},
		Tenants: []string{"acme"}, DrainGrace: time.Second,
		Edit: func(d map[string]any) { d["limits"].(map[string]any)["sockets"] = 99 },
	})
	ok(t, err)
	path := filepath.Join(t.TempDir(), "config.json")
	ok(t, os.WriteFile(path, raw, 0o600))
	c, err := config.Load(func(key string) string { return map[string]string{"GW_CONFIG": path}[key] })
	ok(t, err)
	if c.Seed != 77 || c.Limits.Sockets != 99 || c.DrainGrace != time.Second || len(c.Known.Endpoints) != 1 ||
		len(c.Settings.Classes) != 2 || c.Settings.Classes[1].Repeat != "side_effect" || len(c.Settings.Realms) != 1 {
		t.Errorf("%+v", c)
	}
}
