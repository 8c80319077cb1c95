package conformance

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"plankrouter"
)

// body is a request's that takes note of its end.
type body struct {
	io.Reader
	closed atomic.Int32
}

func (b *body) Close() error {
	b.closed.Add(1)
	if c, ok := b.Reader.(io.Closer); ok {
		c.Close()
	}
	return nil
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("it can't be read") }

// The body of a request is closed whatever becomes of it, and the request is as it was.
func TestTransportClosesBodies(t *testing.T) {
	p := servers(t, "s-1")[0]
	b := balancer(t, usual(p))
	closed := balancer(t, usual(p))
	must(t, closed.Close(t.Context()))
	empty := balancer(t, usual())
	p.ownDeeds.add(deed{name: "reset"}, 1) // of the first that comes
	for _, row := range []struct {
		name      string
		transport plankrouter.Transport
		reader    io.Reader
		edit      func(*http.Request)
		want      string // in the error; "" = none
	}{
		{name: "reset", transport: plankrouter.Transport{Balancer: b, Class: "order"}, want: "failed"},
		{name: "served", transport: plankrouter.Transport{Balancer: b, Class: "order"}},
		{name: "unknown class", transport: plankrouter.Transport{Balancer: b, Class: "fax"}, want: "fax"},
		{
			name: "too large", transport: plankrouter.Transport{Balancer: b}, reader: bytes.NewReader(pattern(65537)),
			want: "larger",
		},
		{
			name: "too large of unknown length", transport: plankrouter.Transport{Balancer: b},
			reader: io.MultiReader(bytes.NewReader(pattern(65537))), want: "larger",
		},
		{name: "unreadable", transport: plankrouter.Transport{Balancer: b}, reader: failing{}, want: "can't be read"},
		{
			name: "no URL", transport: plankrouter.Transport{Balancer: b}, edit: func(r *http.Request) { r.URL = nil },
			want: "URL",
		},
		{
			name: "https", transport: plankrouter.Transport{Balancer: b}, edit: func(r *http.Request) { r.URL.Scheme = "https" },
			want: "https",
		},
		{
			name: "a field that can't be sent", transport: plankrouter.Transport{Balancer: b},
			edit: func(r *http.Request) { r.Header.Set("X-A", "1\r\nX-B: 2") }, want: "X-A",
		},
		{
			name: "a method that can't be sent", transport: plankrouter.Transport{Balancer: b},
			edit: func(r *http.Request) { r.Method = "GET /x HTTP/1.1\r\n" }, want: "Method",
		},
		{
			name: "given up", transport: plankrouter.Transport{Balancer: b},
			edit: func(r *http.Request) { *r = *r.WithContext(ended()) }, want: "canceled",
		},
		{name: "closed", transport: plankrouter.Transport{Balancer: closed}, want: "closed"},
		{name: "rejected", transport: plankrouter.Transport{Balancer: empty}, want: "rejected"},
	} {
		t.Run(row.name, func(t *testing.T) {
			if row.reader == nil {
				row.reader = strings.NewReader("a body")
			}
			sent := &body{Reader: row.reader}
			req, err := http.NewRequest("POST", "http://orders.internal/order/7?x=1#y", sent)
			must(t, err)
			if row.name == "too large" {
				req.ContentLength = 65537
			}
			req.Header.Set("X-A", "1")
			if row.edit != nil {
				row.edit(req)
			}
			before := req.Clone(req.Context())
			seen := len(p.seen())
			resp, err := row.transport.RoundTrip(req)
			if (err == nil) != (row.want == "") || err != nil && !strings.Contains(err.Error(), row.want) ||
				(resp == nil) != (err != nil) {
				t.Errorf("%v, %v", resp, err)
			}
			if sent.closed.Load() == 0 {
				t.Error("its body is open")
			}
			if row.want != "" && row.want != "failed" && len(p.seen()) > seen {
				t.Error("it was sent all the same")
			}
			after := req.Clone(req.Context())
			after.Body, before.Body = nil, nil
			if !reflect.DeepEqual(before, after) {
				t.Errorf("it has been changed from %+v to %+v", before, after)
			}
		})
	}
}

// A body that goes on coming when its request is given up keeps nobody waiting.
func TestTransportHeedsContextWhileReading(t *testing.T) {
	t.Parallel()
	b := balancer(t, usual(servers(t, "s-1")...))
	ctx, cancel := context.WithCancel(t.Context())
	read, write := io.Pipe()
	defer func() { _ = write.Close() }()           // of a pipe: it never fails
	var deaf io.Reader = struct{ io.Reader }{read} // closing it ends nothing
	req, err := http.NewRequestWithContext(ctx, "POST", "http://orders.internal/", deaf)
	must(t, err)
	done := later(t, func() error {
		_, err := (&plankrouter.Transport{Balancer: b}).RoundTrip(req)
		return err
	})
	_, err = write.Write([]byte("half of it"))
	must(t, err)
	cancel()
	if err := done(); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
}

// Answers can be read late, by half or not at all, by many at once, and none is in the way of another.
func TestTransportAnswers(t *testing.T) {
	p := servers(t, "s-1")[0]
	b := balancer(t, usual(p))
	tr := &plankrouter.Transport{Balancer: b, Class: "order"}
	client := &http.Client{Transport: tr}
	var wait sync.WaitGroup
	var mu sync.Mutex
	held := map[string]*http.Response{}
	for i := range 20 {
		wait.Go(func() {
			target := fmt.Sprintf("/order/%d", i)
			resp, err := client.Post("http://orders.internal"+target, "text/plain", strings.NewReader("n"))
			if err != nil {
				t.Error(err)
				return
			}
			switch i % 4 {
			case 0:
				mu.Lock()
				held[target] = resp // read late
				mu.Unlock()
			case 1:
				resp.Body.Close()
			case 2:
				if _, err := resp.Body.Read(make([]byte, 3)); err != nil {
					t.Error(err)
				}
			case 3: // left as it is
			}
		})
	}
	wait.Wait()
	must(t, b.Close(t.Context()))
	for target, resp := range held {
		raw, err := io.ReadAll(resp.Body)
		if want := "POST " + target + ` with "n"`; err != nil || string(raw) != want || resp.Body.Close() != nil ||
			resp.ContentLength != int64(len(want)) || resp.Request == nil || resp.Header == nil {
			t.Errorf("%s: %q, %v, %+v", target, raw, err, resp)
		}
	}
	if n := len(p.seen()); n != 20 || b.Stats().Connections != 0 {
		t.Errorf("%d requests, %+v", n, b.Stats())
	}
}

// What must not run twice is not sent again by http.Client, which follows redirects on its own; what may is.
func TestTransportRedirects(t *testing.T) {
	for _, c := range []struct {
		class  string
		status int
		seen   int // by the server
		fails  bool
	}{
		{"order", 307, 1, true},
		{"order", 308, 1, true},
		{"order", 303, 2, false},
		{"order", 302, 2, false},
		{"tile", 307, 2, false},
		{"tile", 308, 2, false},
	} {
		t.Run(fmt.Sprint(c.class, c.status), func(t *testing.T) {
			p := servers(t, "s-1")[0]
			b := balancer(t, usual(p))
			p.ownDeeds.add(readDeed([]string{"answer", fmt.Sprint("status=", c.status), "header=Location: /order/again"}), 1)
			client := &http.Client{Transport: &plankrouter.Transport{Balancer: b, Class: c.class}}
			resp, err := client.Post("http://orders.internal/order/7", "text/plain", strings.NewReader("print"))
			var failed *plankrouter.FailedError
			if (err != nil) != c.fails || err != nil && (!errors.As(err, &failed) || !failed.MayHaveRun) {
				t.Errorf("%+v, %v", resp, err)
			}
			seen, posts := p.seen(), 0
			for _, s := range seen {
				if s.class == "order" && s.posted {
					posts++
				}
			}
			if len(seen) != c.seen || c.class == "order" && posts != 1 {
				t.Errorf("the server saw %+v", seen)
			}
		})
	}
}

// What meets a dead kept connection, or no answer, is not sent again by http.Client either.
func TestTransportSendsOnce(t *testing.T) {
	p := servers(t, "s-1")[0]
	b := balancer(t, usual(p))
	client := &http.Client{Transport: &plankrouter.Transport{Balancer: b, Class: "order"}}
	post := func() error {
		req, err := http.NewRequest("POST", "http://orders.internal/order/7", strings.NewReader("print"))
		must(t, err)
		req.Header.Set("Idempotency-Key", "7") // net/http's own transport would take it for leave to send it again
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	n := 15
	for range n { // further attempts are saved up
		must(t, post())
	}
	p.ownDeeds.add(deed{name: "reset", kept: true}, 1)
	var failed *plankrouter.FailedError
	must(t, await(t.Context(), func() bool { // the first that goes out on a connection which had carried others
		n++
		return errors.As(post(), &failed)
	}))
	if seen := len(p.seen()); seen != n || !failed.MayHaveRun {
		t.Errorf("%d requests, and the server saw %d; the last: %v", n, seen, failed)
	}
}

// Class, tenant and deadline come from the request's context.
func TestTransportContext(t *testing.T) {
	t.Parallel()
	p := servers(t, "s-1")[0]
	o := usual(p)
	o.Classes[1].Deadline, o.Classes[1].LatencyObjective = time.Second, time.Second
	b := balancer(t, o)
	p.ownDeeds.add(deed{name: "silent"}, 1)
	ctx := plankrouter.WithTenant(plankrouter.WithClass(t.Context(), "order"), "acme")
	to := &url.URL{Scheme: "http", Host: "orders.internal", Path: "/order/7"}
	req := (&http.Request{Method: "POST", URL: to}).WithContext(ctx)
	_, err := (&plankrouter.Transport{Balancer: b, Class: "tile"}).RoundTrip(req)
	var failed *plankrouter.FailedError
	if !errors.As(err, &failed) { // by the deadline of "order": that of "tile" is far away
		t.Errorf("%v", err)
	}
	if plankrouter.ClassOf(ctx) != "order" || plankrouter.TenantOf(ctx) != "acme" ||
		plankrouter.ClassOf(t.Context()) != "" {
		t.Error("the context does not say what it was given")
	}
	o = usual()
	o.MaxRetryAfter, o.Tenants = 2100*time.Millisecond, []plankrouter.Tenant{{Name: "acme", QuotaPerSecond: 1e-6}}
	tr := &plankrouter.Transport{Balancer: balancer(t, o), Class: "tile"}
	var refused *plankrouter.RejectedError
	for range 6 { // its first five use up the share
		_, err = tr.RoundTrip((&http.Request{URL: to}).WithContext(plankrouter.WithTenant(t.Context(), "acme")))
	}
	if !errors.As(err, &refused) || refused.RetryAfter != o.MaxRetryAfter {
		t.Errorf("a tenant beyond its share: %v", err)
	}
}
