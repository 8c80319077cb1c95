package fakes

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Class is a request class as the clients and the sidecar's configuration have it.
type Class struct {
	Name                       string
	Idempotent                 bool // sent as GET, else as POST
	LatencyObjective, Deadline time.Duration
	PriorityWeight             float64
}

// TileClass returns the class "tile", whose requests are idempotent.
func TileClass() Class {
	return Class{Name: "tile", Idempotent: true, LatencyObjective: 750 * time.Millisecond, Deadline: 2500 * time.Millisecond, PriorityWeight: 1}
}

// OrderClass returns the class "order", whose requests must not be executed twice.
func OrderClass() Class {
	return Class{Name: "order", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second, PriorityWeight: 5}
}

// Stream is the requests of one class and tenant.
type Stream struct {
	Class  Class
	Tenant string
	Rate   float64 // requests per second; they arrive as a Poisson process
}

// Retry is the clients' retry policy. They retry a rejected request and a failed connect in every class, and a failed
// request or a lost response only if the class is idempotent.
type Retry struct {
	Wait       time.Duration // pause before each retry
	MaxRetries int           // highest number of retries of a request
}

// Load describes the requests that clients send.
type Load struct {
	Network  Network
	Address  string // host:port of the sidecar
	Seed     uint64 // seed of arrivals and ids
	Streams  []Stream
	Duration time.Duration // from the start to the last arrival
	Retry    Retry         // zero = no retries
	MaxConns int           // limit on open connections; a request waits when all are busy; 0 = no limit
}

// Result is the outcome of an attempt as its client saw it.
type Result uint8

// The results; each attempt has exactly one.
const (
	Served      Result = iota // 200 with the body generated for this request
	Rejected                  // 429 or 503
	Failed                    // any other status, or an incomplete response
	Lost                      // the connection ended without a response
	TimedOut                  // no response before the deadline; SentAt is zero if the attempt was still waiting for a connection
	Unreachable               // no connection could be established
	Wrong                     // 200 with a body that does not belong to this request
	results
)

var resultNames = [results]string{"served", "refused", "failed", "lost", "timed out", "unreachable", "wrong"}

func (r Result) String() string { return resultNames[r] }

// Attempt is one attempt of a request.
type Attempt struct {
	ID          string
	RequestID   string // id of the request's first attempt
	Class       Class
	Tenant      string
	Number      int       // number of earlier attempts of the request
	RequestedAt time.Time // when the request's first attempt was due
	DueAt       time.Time // when this attempt was due
	SentAt      time.Time // when the first byte was written; zero = not sent
	EndedAt     time.Time
	Conn        int   // the connection's number, from 1; 0 = none
	Resent      bool  // the server closed a reused connection without reading the attempt, which was sent again on a new one
	Status      int   // status of the response; 0 = no response
	Err         error // why there was no response
	Result      Result
}

// Took returns the time from when the attempt was due to its end.
func (t *Attempt) Took() time.Duration { return t.EndedAt.Sub(t.DueAt) }

// InObjective reports whether the attempt served its request within the latency objective, counted from when the request's
// first attempt was due.
func (t *Attempt) InObjective() bool {
	return t.Result == Served && t.EndedAt.Sub(t.RequestedAt) <= t.Class.LatencyObjective
}

// Clients generates open-loop load on a sidecar through one ConnPool: arrivals do not wait for responses. Its methods are
// safe for concurrent use.
type Clients struct {
	load  Load
	conns ConnPool

	mutex    sync.Mutex
	attempts []Attempt
}

// NewClients returns clients that send the load when Run is called.
func NewClients(l Load) *Clients {
	return &Clients{
		load:  l,
		conns: ConnPool{Dial: l.Network.Dial, Address: l.Address, MaxConns: l.MaxConns, Read: readResponse},
	}
}

// arrival is a request generated before the run starts.
type arrival struct {
	offset time.Duration
	stream Stream
	id     string
}

func (l *Load) arrivals() (all []arrival) {
	for i, f := range l.Streams {
		random := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		for at := 0.0; f.Rate > 0; {
			at += random.ExpFloat64() / f.Rate
			if at > l.Duration.Seconds() {
				break
			}
			after := time.Duration(at * float64(time.Second))
			all = append(all, arrival{after, f, fmt.Sprintf("%016x", random.Uint64())})
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.offset, b.offset) })
	return all
}

// Run sends all requests and, once the last has ended, returns every attempt ordered by due time. When ctx ends, no further
// requests are sent.
func (c *Clients) Run(ctx context.Context) []Attempt {
	start := time.Now()
	var requests sync.WaitGroup
	for _, a := range c.load.arrivals() {
		at := start.Add(a.offset)
		if Pause(ctx, time.Until(at)) != nil {
			break
		}
		requests.Go(func() {
			c.sendRequest(Attempt{ID: a.id, RequestID: a.id, Class: a.stream.Class, Tenant: a.stream.Tenant, RequestedAt: at, DueAt: at})
		})
	}
	requests.Wait()
	c.conns.Close()
	return c.Attempts()
}

// Attempts returns the attempts that have ended so far, ordered by due time.
func (c *Clients) Attempts() []Attempt {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	attempts := slices.Clone(c.attempts)
	slices.SortStableFunc(attempts, func(a, b Attempt) int { return cmp.Or(a.DueAt.Compare(b.DueAt), cmp.Compare(a.ID, b.ID)) })
	return attempts
}

// sendRequest sends t, the first attempt of a request, and the retries that the retry policy allows.
func (c *Clients) sendRequest(t Attempt) {
	until := t.RequestedAt.Add(t.Class.Deadline)
	for {
		c.sendAttempt(&t, until)
		t.EndedAt = time.Now()
		c.mutex.Lock()
		c.attempts = append(c.attempts, t)
		c.mutex.Unlock()
		at := t.EndedAt.Add(c.load.Retry.Wait)
		switch {
		case t.Number >= c.load.Retry.MaxRetries || at.After(until):
			return
		case t.Result == Rejected, t.Result == Unreachable:
		case t.Class.Idempotent && (t.Result == Failed || t.Result == Lost):
		default:
			return
		}
		time.Sleep(time.Until(at))
		t = Attempt{
			ID: retryID(t.RequestID, t.Number+1), RequestID: t.RequestID, Class: t.Class, Tenant: t.Tenant, Number: t.Number + 1,
			RequestedAt: t.RequestedAt, DueAt: at,
		}
	}
}

func retryID(first string, number int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", first, number)
	return fmt.Sprintf("%016x", h.Sum64())
}

// sendAttempt sends the attempt and records its outcome in t.
func (c *Clients) sendAttempt(t *Attempt, until time.Time) {
	x := c.conns.Send(func() []byte { return t.encode(until) }, until)
	t.SentAt, t.Conn, t.Resent, t.Err, t.Result = x.SentAt, x.Conn, x.Resent, x.Err, x.Result
	if x.Response != nil {
		t.Status = x.Response.StatusCode
	}
	if t.Result == Served && !strings.HasPrefix(string(x.Body), t.ID+"\n") {
		t.Result = Wrong
	}
}

// encode returns the bytes of the attempt's HTTP request.
func (t *Attempt) encode(until time.Time) []byte {
	method, body := "GET", ""
	if !t.Class.Idempotent {
		method, body = "POST", "take "+t.RequestID
	}
	b := fmt.Appendf(nil, "%s /%s/%s HTTP/1.1\r\nHost: api.internal\r\n%s: %s\r\nReq-Deadline: %.3f\r\n",
		method, t.Class.Name, t.RequestID[:4], headerID, t.ID, max(0.001, time.Until(until).Seconds()))
	if t.Tenant != "" {
		b = fmt.Appendf(b, "Req-Owner: %s\r\n", t.Tenant)
	}
	if t.Number > 0 {
		b = append(b, "Req-Retry: 1\r\n"...)
	}
	if body != "" {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(body))
	}
	return fmt.Appendf(b, "\r\n%s", body)
}

// readResponse reads a response and returns it with its body.
func readResponse(br *bufio.Reader) (*http.Response, []byte, error) {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// AwaitReady waits until the sidecar at address responds to GET /up with 200. If ctx ends first, it returns
// the last error of a request.
func AwaitReady(ctx context.Context, n Network, address string) error {
	for {
		err := checkUp(ctx, n, address)
		if err == nil {
			return nil
		}
		if Pause(ctx, 10*time.Millisecond) != nil {
			return fmt.Errorf("sidecar at %s: not ready: %w", address, err)
		}
	}
}

func checkUp(ctx context.Context, n Network, address string) error {
	c, err := n.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if _, err := c.Write([]byte("GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")); err != nil {
		return err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil && r.StatusCode != 200 {
		err = fmt.Errorf("GET /up: %s", r.Status)
	}
	return err
}
