package peers

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
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

// Load is what consumers ask for.
type Load struct {
	Network  Network
	Address  string // of the sidecar
	Seed     uint64 // of arrivals and ids
	Flows    []Flow
	For      time.Duration // from the first moment to the last arrival
	Retry    Retry         // zero = never
	MaxConns int           // a request waits when all are busy; 0 = no limit
}

// Result is how a try ended, as its consumer has seen it.
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

// InAim reports whether the try served its request within the aim, counted from when the request was first due.
func (t *Try) InAim() bool { return t.Result == Served && t.EndedAt.Sub(t.AskedAt) <= t.Class.Aim }

// Consumers are a sidecar's clients. Arrivals don't wait for answers; connections are kept, and a further one is
// opened when all are busy. A request on a kept connection that the sidecar has closed without reading it is sent once
// more, on a new one. Its methods are safe for concurrent use.
type Consumers struct {
	load Load
	wg   sync.WaitGroup

	mu      sync.Mutex
	idle    []*callerConn // most lately used last
	open    int           // or coming up
	opened  int
	waiters []chan *callerConn // nil is sent for a place in which to open a connection
	tries   []Try
}

// NewConsumers returns clients that Run sets going.
func NewConsumers(l Load) *Consumers { return &Consumers{load: l} }

// arrival is a request drawn ahead.
type arrival struct {
	after time.Duration
	flow  Flow
	id    string
}

func (l *Load) plan() (all []arrival) {
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
	for _, a := range c.load.plan() {
		at := start.Add(a.after)
		if pause(ctx, time.Until(at)) != nil {
			break
		}
		requests.Go(func() {
			c.request(Try{ID: a.id, First: a.id, Class: a.flow.Class, Owner: a.flow.Owner, AskedAt: at, At: at})
		})
	}
	requests.Wait()
	c.mu.Lock()
	idle := slices.Clone(c.idle)
	c.mu.Unlock()
	for _, k := range idle {
		k.hangUp()
	}
	c.wg.Wait()
	return c.Tries()
}

// Tries returns those that have ended so far, in the order in which they were due.
func (c *Consumers) Tries() []Try {
	c.mu.Lock()
	defer c.mu.Unlock()
	tries := slices.Clone(c.tries)
	slices.SortStableFunc(tries, func(a, b Try) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID)) })
	return tries
}

// request makes its first try and those that follow.
func (c *Consumers) request(t Try) {
	until := t.AskedAt.Add(t.Class.Deadline)
	for {
		c.try(&t, until)
		t.EndedAt = time.Now()
		c.mu.Lock()
		c.tries = append(c.tries, t)
		c.mu.Unlock()
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
		t = Try{ID: repeatID(t.First, t.Again+1), First: t.First, Class: t.Class, Owner: t.Owner, Again: t.Again + 1,
			AskedAt: t.AskedAt, At: at}
	}
}

func repeatID(first string, again int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", first, again)
	return fmt.Sprintf("%016x", h.Sum64())
}

// try sends the request and says how that ended.
func (c *Consumers) try(t *Try, until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	for {
		k, err := c.connect(ctx, t.Resent)
		if err != nil {
			if t.Err, t.Result = err, Unreachable; errors.Is(err, errBusy) {
				t.Result = TimedOut
			}
			return
		}
		if t.SentAt.IsZero() {
			t.SentAt = time.Now()
		}
		t.Conn = k.number
		r := k.ask(ctx, t.message(until), until)
		if r.resp != nil {
			t.judge(&r)
			k.free(!r.resp.Close)
			return
		}
		again := k.carried > 0 && !t.Resent && k.crossed(&r)
		k.hangUp()
		switch {
		case again:
			t.Resent = true
			continue
		case r.timedOut:
			t.Result = TimedOut
		case r.begun:
			t.Result = Failed
		default:
			t.Result = Lost
		}
		t.Err = r.err
		return
	}
}

// message words the request.
func (t *Try) message(until time.Time) []byte {
	verb, body := "GET", ""
	if !t.Class.Safe {
		verb, body = "POST", "take "+t.First
	}
	b := fmt.Appendf(nil, "%s /%s/%s HTTP/1.1\r\nHost: api.internal\r\n%s: %s\r\nReq-Deadline: %.3f\r\n",
		verb, t.Class.Name, t.First[:4], headerID, t.ID, max(0.001, time.Until(until).Seconds()))
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

func (t *Try) judge(r *reply) {
	t.Status = r.resp.StatusCode
	switch {
	case t.Status == 200 && strings.HasPrefix(string(r.body), t.ID+"\n"):
		t.Result = Served
	case t.Status == 200:
		t.Result = Wrong
	case t.Status == 429 || t.Status == 503:
		t.Result = Refused
	default:
		t.Result = Failed
	}
}

var errBusy = errors.New("every connection that the consumers may have is busy")

// connect takes the idle connection most lately used, or opens one.
func (c *Consumers) connect(ctx context.Context, fresh bool) (*callerConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return k, nil
	}
	if c.load.MaxConns == 0 || c.open < c.load.MaxConns {
		c.open++
		c.mu.Unlock()
		return c.dial(ctx)
	}
	turn := make(chan *callerConn, 1)
	c.waiters = append(c.waiters, turn)
	c.mu.Unlock()
	select {
	case k := <-turn:
		switch {
		case k == nil:
			return c.dial(ctx)
		case fresh:
			k.hangUp()
			return c.connect(ctx, fresh)
		}
		return k, nil
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.waiters, turn); i >= 0 {
		c.waiters = slices.Delete(c.waiters, i, i+1)
	} else if k := <-turn; k == nil {
		c.leave()
	} else {
		c.offer(k)
	}
	return nil, errBusy
}

// leave gives a place to the next who waits. Its caller holds the mutex, as that of offer does.
func (c *Consumers) leave() {
	if len(c.waiters) == 0 {
		c.open--
		return
	}
	c.waiters[0] <- nil
	c.waiters = c.waiters[1:]
}

// offer gives a connection to the next who waits.
func (c *Consumers) offer(k *callerConn) {
	switch {
	case k.gone:
	case len(c.waiters) == 0:
		c.idle = append(c.idle, k)
	default:
		c.waiters[0] <- k
		c.waiters = c.waiters[1:]
	}
}

func (c *Consumers) dial(ctx context.Context) (*callerConn, error) {
	nc, err := c.load.Network.Dial(ctx, c.load.Address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.leave()
		return nil, err
	}
	c.opened++
	k := &callerConn{Conn: nc, of: c, number: c.opened, replies: make(chan reply), done: make(chan struct{})}
	c.wg.Go(k.read)
	return k, nil
}

// callerConn is one connection to the sidecar.
type callerConn struct {
	net.Conn
	of      *Consumers
	number  int
	carried int // requests answered
	replies chan reply
	done    chan struct{} // closed when nobody asks any more

	gone bool // guarded by of.mu
}

// reply is an answer, or how the connection ended without one.
type reply struct {
	resp     *http.Response // nil = none
	body     []byte
	begun    bool // its first byte came
	timedOut bool
	err      error
	unsent   bool // the request could not be written
}

// read reads answers until the connection ends. Whatever comes while nobody asks is the end of it.
func (k *callerConn) read() {
	br := bufio.NewReader(k)
	for {
		var r reply
		_, r.err = br.Peek(1)
		k.forget()
		if r.err == nil {
			r.begun = true
			r.resp, r.err = http.ReadResponse(br, nil)
		}
		if r.err == nil {
			r.body, r.err = io.ReadAll(r.resp.Body)
		}
		if r.err != nil {
			r.resp = nil
		}
		select {
		case k.replies <- r:
		case <-k.done:
			return
		}
	}
}

// forget ends the connection if it is idle.
func (k *callerConn) forget() {
	c := k.of
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.idle, k); i >= 0 {
		c.idle = slices.Delete(c.idle, i, i+1)
		k.end()
	}
}

// end closes the connection and leaves its place. Its caller holds the mutex.
func (k *callerConn) end() {
	if k.gone {
		return
	}
	k.gone = true
	close(k.done)
	k.Conn.Close()
	k.of.leave()
}

func (k *callerConn) hangUp() {
	k.of.mu.Lock()
	defer k.of.mu.Unlock()
	k.end()
}

// free ends the connection's request; it may carry another if it is to be kept.
func (k *callerConn) free(keep bool) {
	k.of.mu.Lock()
	defer k.of.mu.Unlock()
	if k.carried++; keep {
		k.of.offer(k)
	} else {
		k.end()
	}
}

// ask sends a request and waits for what comes.
func (k *callerConn) ask(ctx context.Context, message []byte, until time.Time) reply {
	k.SetWriteDeadline(until)
	_, err := k.Write(message)
	select {
	case r := <-k.replies:
		r.unsent = err != nil
		return r
	case <-ctx.Done():
		return reply{timedOut: true, err: ctx.Err()}
	}
}

// crossed reports whether the sidecar had closed the connection before it read the request: then the request was
// answered with a reset, and so is what is written next. Else the sidecar has read it, and whether it ran is not known.
func (k *callerConn) crossed(r *reply) bool {
	if r.begun || r.timedOut {
		return false
	}
	if r.unsent || errors.Is(r.err, syscall.ECONNRESET) {
		return true
	}
	_, err := k.Write([]byte("\n"))
	return err != nil
}

// Ready waits until the sidecar at address answers GET /up with 200, or for the end of ctx.
func Ready(ctx context.Context, n Network, address string) error {
	for {
		err := up(ctx, n, address)
		if err == nil {
			return nil
		}
		if pause(ctx, 10*time.Millisecond) != nil {
			return fmt.Errorf("sidecar at %s: not ready: %w", address, err)
		}
	}
}

func up(ctx context.Context, n Network, address string) error {
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
