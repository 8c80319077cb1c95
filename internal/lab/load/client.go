package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Dialer opens connections.
type Dialer interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the Dialer of real connections.
type TCP struct{}

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
}

// client sends requests: one at a time on each connection, on the idle one most lately used, and on a further one when
// all are busy. Up to a limit: then requests wait for their turn. It is safe for concurrent use.
type client struct {
	dialer   Dialer
	address  string
	plan     *Plan
	limit    int
	recorder *recorder
	bodies   []byte // what bodies are cut from
	readers  sync.WaitGroup

	mu      sync.Mutex
	idle    []*conn // most lately used last
	open    int     // or coming up
	waiters []chan *conn
}

// request sends q, due at a moment, as often as its class wants, and takes down how that ended.
func (c *client) request(q Request, due time.Time) {
	class := &c.plan.Classes[q.class]
	d := done{class: q.class, due: due, aim: milliseconds(class.AimMs)}
	until := due.Add(milliseconds(class.DeadlineMs))
	for try, at := 0, due; ; try++ {
		t := c.try(&q, class, try, at, until)
		if try == 0 {
			d.late = t.late
		}
		d.tries++
		d.tryEnds[t.end]++
		if t.resent {
			d.resent++
		}
		d.last, d.sent, d.end = t.end, t.sentAt, time.Now()
		at = d.end.Add(class.Retry.wait(t.advice))
		if try >= class.Retry.Most || !slices.Contains(class.Retry.On, t.end.String()) || !at.Before(until) {
			break
		}
		time.Sleep(time.Until(at))
	}
	c.recorder.done(&d)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// wait is how long a client waits before it asks again, by its own habit and the advice that it was given.
func (r *Retry) wait(advice time.Duration) time.Duration {
	return max(milliseconds(r.WaitMs), min(advice, milliseconds(r.AdviceMs)))
}

// try is how one try went.
type try struct {
	sentAt time.Time // before its first byte
	late   time.Duration
	end    End
	resent bool
	advice time.Duration // from Retry-After
}

// try sends one try, due at a moment.
func (c *client) try(q *Request, class *Class, number int, at, until time.Time) (t try) {
	if class.PatienceMs > 0 {
		if patient := at.Add(milliseconds(class.PatienceMs)); patient.Before(until) {
			until = patient
		}
	}
	for {
		asked := time.Now()
		k, err := c.connect(until, t.resent)
		if !t.resent {
			t.sentAt = time.Now()
			t.late = asked.Sub(at)
		}
		if err != nil {
			if t.end = Unreachable; errors.Is(err, errBusy) {
				t.end = TimedOut
			}
			return t
		}
		r := k.ask(c.message(q, number, until), until)
		if r.resp != nil {
			t.judge(r.resp)
			k.free(!r.resp.Close)
			return t
		}
		again := k.carried > 0 && !t.resent && k.crossed(&r)
		k.hangUp()
		if again {
			t.resent = true
			continue
		}
		t.end = r.end()
		return t
	}
}

func (t *try) judge(resp *http.Response) {
	switch resp.StatusCode {
	case http.StatusOK:
		t.end = Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		t.end = Refused
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 1e6 {
			t.advice = time.Duration(s * float64(time.Second))
		}
	default:
		t.end = Failed
	}
}

// message words a try with the platform's headers.
func (c *client) message(q *Request, number int, until time.Time) []byte {
	b := make([]byte, 0, 256+q.Size)
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\nReq-Id: %s\r\nReq-Deadline: %.3f\r\n", q.Method, q.Path,
		c.address, q.id(c.plan.Seed, number), max(0.001, time.Until(until).Seconds()))
	if q.Tenant != "" {
		b = fmt.Appendf(b, "Req-Owner: %s\r\n", q.Tenant)
	}
	if number > 0 {
		b = append(b, "Req-Retry: 1\r\n"...)
	}
	if q.Method != http.MethodGet {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", q.Size)
	}
	b = append(b, "\r\n"...)
	for left := q.Size; left > 0; left -= len(c.bodies) {
		b = append(b, c.bodies[:min(left, len(c.bodies))]...)
	}
	return b
}

var errBusy = errors.New("every connection that is allowed is busy")

// connect takes an idle connection, or opens one, or waits for its turn until a moment.
func (c *client) connect(until time.Time, fresh bool) (*conn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return k, nil
	}
	if c.open < c.limit {
		c.open++
		c.mu.Unlock()
		return c.dial(until)
	}
	turn := make(chan *conn, 1)
	c.waiters = append(c.waiters, turn)
	c.mu.Unlock()
	k, err := c.wait(turn, until)
	switch {
	case err != nil:
		return nil, err
	case k == nil:
		return c.dial(until)
	case fresh:
		k.hangUp()
		return c.connect(until, fresh)
	}
	return k, nil
}

// wait waits for a turn: a connection, or nil for a place to open one.
func (c *client) wait(turn chan *conn, until time.Time) (*conn, error) {
	start := time.Now()
	defer func() { c.recorder.held(time.Since(start)) }()
	late := time.NewTimer(time.Until(until))
	defer late.Stop()
	select {
	case k := <-turn:
		return k, nil
	case <-late.C:
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
func (c *client) leave() {
	if len(c.waiters) == 0 {
		c.open--
		return
	}
	c.waiters[0] <- nil
	c.waiters = c.waiters[1:]
}

// offer gives a connection to the next who waits.
func (c *client) offer(k *conn) {
	switch {
	case k.gone:
	case len(c.waiters) == 0:
		c.idle = append(c.idle, k)
	default:
		c.waiters[0] <- k
		c.waiters = c.waiters[1:]
	}
}

func (c *client) dial(until time.Time) (*conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	nc, err := c.dialer.Dial(ctx, c.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.leave()
		return nil, err
	}
	c.recorder.opened()
	k := &conn{Conn: nc, of: c, replies: make(chan reply), done: make(chan struct{})}
	c.readers.Go(k.read)
	return k, nil
}

// close ends idle connections and waits until all readers have ended. Nobody may ask any more.
func (c *client) close() {
	c.mu.Lock()
	idle := slices.Clone(c.idle)
	c.mu.Unlock()
	for _, k := range idle {
		k.hangUp()
	}
	c.readers.Wait()
}

// conn is one connection.
type conn struct {
	net.Conn
	of      *client
	carried int // requests answered
	replies chan reply
	done    chan struct{} // closed when nobody asks any more

	gone bool // guarded by of.mu
}

// reply is an answer, read whole, or how the connection ended without one.
type reply struct {
	resp   *http.Response // nil = none
	begun  bool           // its first byte came
	unsent bool           // the request could not be written
	err    error
}

func (r *reply) timedOut() bool { return errors.Is(r.err, os.ErrDeadlineExceeded) }

func (r *reply) end() End {
	switch {
	case r.timedOut():
		return TimedOut
	case r.begun:
		return Failed
	}
	return Lost
}

// read reads answers until the connection ends. Whatever comes while nobody asks is the end of it.
func (k *conn) read() {
	br := bufio.NewReader(k)
	for {
		var r reply
		_, r.err = br.Peek(1)
		k.forget()
		if r.err == nil {
			r.begun = true
			r.resp, r.err = answer(br)
		}
		if r.err == nil {
			_, r.err = io.Copy(io.Discard, r.resp.Body)
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

// answer reads an answer's head, and drops interim ones before it.
func answer(br *bufio.Reader) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil || resp.StatusCode >= 200 {
			return resp, err
		}
	}
}

// forget ends the connection if it is idle.
func (k *conn) forget() {
	c := k.of
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.idle, k); i >= 0 {
		c.idle = slices.Delete(c.idle, i, i+1)
		k.end()
	}
}

// end closes the connection and leaves its place. Its caller holds the mutex.
func (k *conn) end() {
	if k.gone {
		return
	}
	k.gone = true
	close(k.done)
	k.Conn.Close()
	k.of.leave()
}

func (k *conn) hangUp() {
	k.of.mu.Lock()
	defer k.of.mu.Unlock()
	k.end()
}

// free ends the connection's request; it may carry another if it is to be kept.
func (k *conn) free(keep bool) {
	k.SetDeadline(time.Time{})
	k.of.mu.Lock()
	defer k.of.mu.Unlock()
	if k.carried++; keep {
		k.of.offer(k)
	} else {
		k.end()
	}
}

// ask sends a request and waits for what comes, until a moment.
func (k *conn) ask(message []byte, until time.Time) reply {
	k.SetDeadline(until)
	_, err := k.Write(message)
	r := <-k.replies
	r.unsent = err != nil
	return r
}

// crossed reports whether the other side had closed the connection before it read the request: then the request was
// answered with a reset, and so is what is written next. Else the other side has read it, and may have run it.
func (k *conn) crossed(r *reply) bool {
	if r.begun || r.timedOut() {
		return false
	}
	if r.unsent || errors.Is(r.err, syscall.ECONNRESET) {
		return true
	}
	_, err := k.Write([]byte("\n"))
	return err != nil
}
