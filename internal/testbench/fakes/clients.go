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
	Name          string
	Safe          bool // to repeat: sent by GET, else by POST
	Aim, Deadline time.Duration
	Worth         float64
}

// Tile is a class that is safe to repeat.
func Tile() Class {
	return Class{Name: "tile", Safe: true, Aim: 750 * time.Millisecond, Deadline: 2500 * time.Millisecond, Worth: 1}
}

// Order is a class that must not run twice.
func Order() Class {
	return Class{Name: "order", Aim: 300 * time.Millisecond, Deadline: time.Second, Worth: 5}
}

// Flow is the requests of one class and owner.
type Flow struct {
	Class Class
	Owner string
	Rate  float64 // a second, Poisson
}

// Retry is what clients do about an answer that is not the one they asked for: after a refusal, or where they could not
// connect, they ask again; after a failure, or a lost answer, only where the class is safe.
type Retry struct {
	Wait time.Duration // before each
	Most int           // for each request
}

// Load is what clients send.
type Load struct {
	Network  Network
	Address  string // of the sidecar
	Seed     uint64 // of arrivals and ids
	Flows    []Flow
	For      time.Duration // from the first moment to the last arrival
	Retry    Retry         // zero = never
	MaxConns int           // a request waits when all are busy; 0 = no limit
}

// Result is how a try ended, as its client has seen it.
type Result uint8

// The results. Each try has exactly one.
const (
	Served      Result = iota // 200 and the body made for this request
	Refused                   // 429 or 503
	Failed                    // any other answer, or one that ended too early
	Lost                      // the connection ended without an answer
	TimedOut                  // nothing came before the deadline; SentAt is zero where it waited for a connection
	Unreachable               // no connection came up
	Wrong                     // 200 with a body that was not made for this request
	results
)

var resultNames = [results]string{"served", "refused", "failed", "lost", "timed out", "unreachable", "wrong"}

func (r Result) String() string { return resultNames[r] }

// Try is one sending of a request.
type Try struct {
	ID      string
	First   string // id of the request's first try
	Class   Class
	Owner   string
	Again   int       // tries of the request before this one
	AskedAt time.Time // when the first try was due
	At      time.Time // when this one was due
	SentAt  time.Time // its first byte
	EndedAt time.Time
	Conn    int   // the connection's number, from 1; 0 = none
	Resent  bool  // it crossed the close of a kept connection and went out again on a new one
	Status  int   // of the answer; 0 = none
	Err     error // that there was none
	Result  Result
}

// Took is the time from the moment when the try was due.
func (t *Try) Took() time.Duration { return t.EndedAt.Sub(t.At) }

// InAim reports whether the try served its request within the latency objective, counted from when the request was first due.
func (t *Try) InAim() bool { return t.Result == Served && t.EndedAt.Sub(t.AskedAt) <= t.Class.Aim }

// Consumers are a sidecar's clients, which share the connections of one Client. Arrivals don't wait for answers. Its
// methods are safe for concurrent use.
type Consumers struct {
	load   Load
	client Client

	mutex sync.Mutex
	tries []Try
}

// NewConsumers returns clients that Run sets going.
func NewConsumers(l Load) *Consumers {
	return &Consumers{
		load:   l,
		client: Client{Dial: l.Network.Dial, Address: l.Address, MaxConns: l.MaxConns, Read: readResponse},
	}
}

// arrival is a request drawn ahead.
type arrival struct {
	after time.Duration
	flow  Flow
	id    string
}

func (l *Load) arrivals() (all []arrival) {
	for i, f := range l.Flows {
		draw := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		for at := 0.0; f.Rate > 0; {
			at += draw.ExpFloat64() / f.Rate
			if at > l.For.Seconds() {
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
func (c *Consumers) Run(ctx context.Context) []Try {
	start := time.Now()
	var requests sync.WaitGroup
	for _, a := range c.load.arrivals() {
		at := start.Add(a.after)
		if Pause(ctx, time.Until(at)) != nil {
			break
		}
		requests.Go(func() {
			c.sendRequest(Try{ID: a.id, First: a.id, Class: a.flow.Class, Owner: a.flow.Owner, AskedAt: at, At: at})
		})
	}
	requests.Wait()
	c.client.Close()
	return c.Tries()
}

// Tries returns those that have ended so far, in the order in which they were due.
func (c *Consumers) Tries() []Try {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	tries := slices.Clone(c.tries)
	slices.SortStableFunc(tries, func(a, b Try) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID)) })
	return tries
}

// sendRequest makes its first try and those that follow.
func (c *Consumers) sendRequest(t Try) {
	until := t.AskedAt.Add(t.Class.Deadline)
	for {
		c.sendTry(&t, until)
		t.EndedAt = time.Now()
		c.mutex.Lock()
		c.tries = append(c.tries, t)
		c.mutex.Unlock()
		at := t.EndedAt.Add(c.load.Retry.Wait)
		switch {
		case t.Again >= c.load.Retry.Most || at.After(until):
			return
		case t.Result == Refused, t.Result == Unreachable:
		case t.Class.Safe && (t.Result == Failed || t.Result == Lost):
		default:
			return
		}
		time.Sleep(time.Until(at))
		t = Try{
			ID: repeatID(t.First, t.Again+1), First: t.First, Class: t.Class, Owner: t.Owner, Again: t.Again + 1,
			AskedAt: t.AskedAt, At: at,
		}
	}
}

func repeatID(first string, again int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", first, again)
	return fmt.Sprintf("%016x", h.Sum64())
}

// sendTry sends the request and says how that ended.
func (c *Consumers) sendTry(t *Try, until time.Time) {
	x := c.client.Send(func() []byte { return t.encode(until) }, until)
	t.SentAt, t.Conn, t.Resent, t.Err, t.Result = x.SentAt, x.Conn, x.Resent, x.Err, x.Result
	if x.Answer != nil {
		t.Status = x.Answer.StatusCode
	}
	if t.Result == Served && !strings.HasPrefix(string(x.Body), t.ID+"\n") {
		t.Result = Wrong
	}
}

// encode returns the request's bytes.
func (t *Try) encode(until time.Time) []byte {
	method, body := "GET", ""
	if !t.Class.Safe {
		method, body = "POST", "take "+t.First
	}
	b := fmt.Appendf(nil, "%s /%s/%s HTTP/1.1\r\nHost: api.internal\r\n%s: %s\r\nReq-Deadline: %.3f\r\n",
		method, t.Class.Name, t.First[:4], headerID, t.ID, max(0.001, time.Until(until).Seconds()))
	if t.Owner != "" {
		b = fmt.Appendf(b, "Req-Owner: %s\r\n", t.Owner)
	}
	if t.Again > 0 {
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

// Ready waits until the sidecar at address answers GET /up with 200, or for the end of ctx.
func Ready(ctx context.Context, n Network, address string) error {
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
