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

// body is a request body that counts the calls of Close.
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

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("can't be read") }

// RoundTrip closes the request's body, whatever its outcome, and does not change the request.
func TestTransportClosesBodies(t *testing.T) {
	p := startServers(t, "s-1")[0]
	b := newBalancer(t, baseOptions(p))
	closed := newBalancer(t, baseOptions(p))
	must(t, closed.Close(t.Context()))
	empty := newBalancer(t, baseOptions())
	p.ownActions.add(action{name: "reset"}, 1) // for the first request
	for _, row := range []struct {
		name      string
		transport plankrouter.Transport
		reader    io.Reader
		edit      func(*http.Request)
		want      string // text that the error must contain; "" = no error
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
		{name: "unreadable", transport: plankrouter.Transport{Balancer: b}, reader: failingReader{}, want: "can't be read"},
		{
			name: "no URL", transport: plankrouter.Transport{Balancer: b}, edit: func(r *http.Request) { r.URL = nil },
			want: "URL",
		},
		{
			name: "https", transport: plankrouter.Transport{Balancer: b}, edit: func(r *http.Request) { r.URL.Scheme = "https" },
			want: "https",
		},
		{
			name: "invalid header field", transport: plankrouter.Transport{Balancer: b},
			edit: func(r *http.Request) { r.Header.Set("X-A", "1\r\nX-B: 2") }, want: "X-A",
		},
		{
			name: "invalid method", transport: plankrouter.Transport{Balancer: b},
			edit: func(r *http.Request) { r.Method = "GET /x HTTP/1.1\r\n" }, want: "Method",
		},
		{
			name: "context cancelled", transport: plankrouter.Transport{Balancer: b},
			edit: func(r *http.Request) { *r = *r.WithContext(cancelledContext()) }, want: "canceled",
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
				t.Error("the request's body was not closed")
			}
			if row.want != "" && row.want != "failed" && len(p.seen()) > seen {
				t.Error("the request was sent")
			}
			after := req.Clone(req.Context())
			after.Body, before.Body = nil, nil
			if !reflect.DeepEqual(before, after) {
				t.Errorf("the request was changed from %+v to %+v", before, after)
			}
		})
	}
}

// RoundTrip returns when its context is cancelled even if a read of the request's body blocks and closing the body does not
// unblock it.
func TestTransportCancelWhileReadingBody(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, baseOptions(startServers(t, "s-1")...))
	ctx, cancel := context.WithCancel(t.Context())
	read, write := io.Pipe()
	defer func() { _ = write.Close() }()               // never fails for a pipe
	var blocking io.Reader = struct{ io.Reader }{read} // without a Close method, so that closing it can't unblock a Read
	req, err := http.NewRequestWithContext(ctx, "POST", "http://orders.internal/", blocking)
	must(t, err)
	done := runAsync(t, func() error {
		_, err := (&plankrouter.Transport{Balancer: b}).RoundTrip(req)
		return err
	})
	_, err = write.Write([]byte("first half"))
	must(t, err)
	cancel()
	if err := done(); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
}

// Responses to concurrent requests may be read after the balancer is closed, in part or not at all, without effect on others.
func TestTransportResponses(t *testing.T) {
	p := startServers(t, "s-1")[0]
	b := newBalancer(t, baseOptions(p))
	tr := &plankrouter.Transport{Balancer: b, Class: "order"}
	client := &http.Client{Transport: tr}
	var wait sync.WaitGroup
	var mu sync.Mutex
	unread := map[string]*http.Response{}
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
				unread[target] = resp // read after Close
				mu.Unlock()
			case 1:
				resp.Body.Close()
			case 2:
				if _, err := resp.Body.Read(make([]byte, 3)); err != nil {
					t.Error(err)
				}
			case 3: // neither read nor closed
			}
		})
	}
	wait.Wait()
	must(t, b.Close(t.Context()))
	for target, resp := range unread {
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

// http.Client follows redirects. A redirect that would resend a request of a non-idempotent class fails; others are followed.
func TestTransportRedirects(t *testing.T) {
	for _, c := range []struct {
		class  string
		status int
		seen   int // number of requests at the server
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
			p := startServers(t, "s-1")[0]
			b := newBalancer(t, baseOptions(p))
			p.ownActions.add(parseAction([]string{"answer", fmt.Sprint("status=", c.status), "header=Location: /order/again"}), 1)
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
				t.Errorf("the server received %+v", seen)
			}
		})
	}
}

// A request of a non-idempotent class that fails on a reused connection is not resent, neither by the Transport nor by
// http.Client.
func TestTransportSendsOnce(t *testing.T) {
	p := startServers(t, "s-1")[0]
	b := newBalancer(t, baseOptions(p))
	client := &http.Client{Transport: &plankrouter.Transport{Balancer: b, Class: "order"}}
	post := func() error {
		req, err := http.NewRequest("POST", "http://orders.internal/order/7", strings.NewReader("print"))
		must(t, err)
		req.Header.Set("Idempotency-Key", "7") // with it, http.Transport would resend the request
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	n := 15
	for range n { // fills the retry budget
		must(t, post())
	}
	p.ownActions.add(action{name: "reset", kept: true}, 1)
	var failed *plankrouter.FailedError
	must(t, await(t.Context(), func() bool { // until a request is sent on a reused connection
		n++
		return errors.As(post(), &failed)
	}))
	if seen := len(p.seen()); seen != n || !failed.MayHaveRun {
		t.Errorf("%d requests, the server received %d; last error: %v", n, seen, failed)
	}
}

// The class and the tenant in the request's context take precedence over those of the Transport.
func TestTransportContext(t *testing.T) {
	t.Parallel()
	p := startServers(t, "s-1")[0]
	o := baseOptions(p)
	o.Classes[1].Deadline, o.Classes[1].LatencyObjective = time.Second, time.Second
	b := newBalancer(t, o)
	p.ownActions.add(action{name: "silent"}, 1)
	ctx := plankrouter.WithTenant(plankrouter.WithClass(t.Context(), "order"), "acme")
	to := &url.URL{Scheme: "http", Host: "orders.internal", Path: "/order/7"}
	req := (&http.Request{Method: "POST", URL: to}).WithContext(ctx)
	_, err := (&plankrouter.Transport{Balancer: b, Class: "tile"}).RoundTrip(req)
	var failed *plankrouter.FailedError
	if !errors.As(err, &failed) { // at the deadline of "order", long before that of "tile"
		t.Errorf("%v", err)
	}
	if plankrouter.ClassOf(ctx) != "order" || plankrouter.TenantOf(ctx) != "acme" ||
		plankrouter.ClassOf(t.Context()) != "" {
		t.Error("the context does not have the class and tenant that were put into it")
	}
	o = baseOptions()
	o.MaxRetryAfter, o.Tenants = 2100*time.Millisecond, []plankrouter.Tenant{{Name: "acme", QuotaPerSecond: 1e-6}}
	tr := &plankrouter.Transport{Balancer: newBalancer(t, o), Class: "tile"}
	var rejected *plankrouter.RejectedError
	for range 6 { // the first five use up the quota
		_, err = tr.RoundTrip((&http.Request{URL: to}).WithContext(plankrouter.WithTenant(t.Context(), "acme")))
	}
	if !errors.As(err, &rejected) || rejected.RetryAfter != o.MaxRetryAfter {
		t.Errorf("request beyond the tenant's quota: %v", err)
	}
}
