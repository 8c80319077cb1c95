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

// Class is a class of requests.
type Class struct {
	Name                       string
	Idempotent                 bool // to repeat: sent by GET, else by POST
	LatencyObjective, Deadline time.Duration
	PriorityWeight             float64
}

// TileClass is a class that is safe to repeat.
func TileClass() Class {
	return Class{Name: "tile", Idempotent: true, LatencyObjective: 750 * time.Millisecond, Deadline: 2500 * time.Millisecond, PriorityWeight: 1}
}

// OrderClass is a class that must not run twice.
func OrderClass() Class {
	return Class{Name: "order", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second, PriorityWeight: 5}
}

// Stream is the requests of one class and owner.
type Stream struct {
	Class  Class
	Tenant string
	Rate   float64 // a second, Poisson
}

// Retry is what clients do about an answer that is not the one they asked for: after a refusal, or where they could not
// connect, they ask again; after a failure, or a lost answer, only where the class is safe.
type Retry struct {
	Wait       time.Duration // before each
	MaxRetries int           // for each request
}

// Load is what clients send.
type Load struct {
	Network  Network
	Address  string // of the sidecar
	Seed     uint64 // of arrivals and ids
	Streams  []Stream
	Duration time.Duration // from the first moment to the last arrival
	Retry    Retry         // zero = never
	MaxConns int           // a request waits when all are busy; 0 = no limit
}

// Result is how a try ended, as its client has seen it.
type Result uint8

// The results. Each try has exactly one.
const (
	Served      Result = iota // 200 and the body made for this request
	Rejected                  // 429 or 503
	Failed                    // any other answer, or one that ended too early
	Lost                      // the connection ended without an answer
	TimedOut                  // nothing came before the deadline; SentAt is zero where it waited for a connection
	Unreachable               // no connection came up
	Wrong                     // 200 with a body that was not made for this request
	results
)

var resultNames = [results]string{"served", "refused", "failed", "lost", "timed out", "unreachable", "wrong"}

func (r Result) String() string { return resultNames[r] }

// Attempt is one sending of a request.
type Attempt struct {
	ID          string
	RequestID   string // id of the request's first try
	Class       Class
	Tenant      string
	Number      int       // tries of the request before this one
	RequestedAt time.Time // when the first try was due
	DueAt       time.Time // when this one was due
	SentAt      time.Time // its first byte
	EndedAt     time.Time
	Conn        int   // the connection's number, from 1; 0 = none
	Resent      bool  // it crossed the close of a kept connection and went out again on a new one
	Status      int   // of the answer; 0 = none
	Err         error // that there was none
	Result      Result
}

// Took is the time from the moment when the try was due.
func (t *Attempt) Took() time.Duration { return t.EndedAt.Sub(t.DueAt) }

// InObjective reports whether the try served its request within the latency objective, counted from when the request was first due.
func (t *Attempt) InObjective() bool {
	return t.Result == Served && t.EndedAt.Sub(t.RequestedAt) <= t.Class.LatencyObjective
}

// Clients are a sidecar's clients, which share the connections of one Client. Arrivals don't wait for answers. Its
// methods are safe for concurrent use.
type Clients struct {
	load   Load
	client ConnPool

	mutex sync.Mutex
	tries []Attempt
}

// NewClients returns clients that Run sets going.
func NewClients(l Load) *Clients {
	return &Clients{
		load:   l,
		client: ConnPool{Dial: l.Network.Dial, Address: l.Address, MaxConns: l.MaxConns, Read: readResponse},
	}
}

// arrival is a request drawn ahead.
type arrival struct {
	after time.Duration
	flow  Stream
	id    string
}

func (l *Load) arrivals() (all []arrival) {
	for i, f := range l.Streams {
		draw := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		for at := 0.0; f.Rate > 0; {
			at += draw.ExpFloat64() / f.Rate
			if at > l.Duration.Seconds() {
				break
			}
			after := time.Duration(at * float64(time.Second))
			all = append(all, arrival{after, f, fmt.Sprintf("%016x", draw.Uint64())})
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.after, b.after) })
	return all
}

// Run sends all requests and returns every try, in the order in which they were due, once the last has ended. The end
// of ctx is the end of arrivals.
func (c *Clients) Run(ctx context.Context) []Attempt {
	start := time.Now()
	var requests sync.WaitGroup
	for _, a := range c.load.arrivals() {
		at := start.Add(a.after)
		if Pause(ctx, time.Until(at)) != nil {
			break
		}
		requests.Go(func() {
			c.sendRequest(Attempt{ID: a.id, RequestID: a.id, Class: a.flow.Class, Tenant: a.flow.Tenant, RequestedAt: at, DueAt: at})
		})
	}
	requests.Wait()
	c.client.Close()
	return c.Attempts()
}

// Attempts returns those that have ended so far, in the order in which they were due.
func (c *Clients) Attempts() []Attempt {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	tries := slices.Clone(c.tries)
	slices.SortStableFunc(tries, func(a, b Attempt) int { return cmp.Or(a.DueAt.Compare(b.DueAt), cmp.Compare(a.ID, b.ID)) })
	return tries
}

// sendRequest makes its first try and those that follow.
func (c *Clients) sendRequest(t Attempt) {
	until := t.RequestedAt.Add(t.Class.Deadline)
	for {
		c.sendTry(&t, until)
		t.EndedAt = time.Now()
		c.mutex.Lock()
		c.tries = append(c.tries, t)
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
			ID: repeatID(t.RequestID, t.Number+1), RequestID: t.RequestID, Class: t.Class, Tenant: t.Tenant, Number: t.Number + 1,
			RequestedAt: t.RequestedAt, DueAt: at,
		}
	}
}

func repeatID(first string, again int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", first, again)
	return fmt.Sprintf("%016x", h.Sum64())
}

// sendTry sends the request and says how that ended.
func (c *Clients) sendTry(t *Attempt, until time.Time) {
	x := c.client.Send(func() []byte { return t.encode(until) }, until)
	t.SentAt, t.Conn, t.Resent, t.Err, t.Result = x.SentAt, x.Conn, x.Resent, x.Err, x.Result
	if x.Response != nil {
		t.Status = x.Response.StatusCode
	}
	if t.Result == Served && !strings.HasPrefix(string(x.Body), t.ID+"\n") {
		t.Result = Wrong
	}
}

// encode returns the request's bytes.
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

// readResponse reads an answer and keeps its body.
func readResponse(br *bufio.Reader) (*http.Response, []byte, error) {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// AwaitReady waits until the sidecar at address answers GET /up with 200, or for the end of ctx.
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
