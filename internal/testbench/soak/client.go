package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// class is one of the requests that clients send.
type class struct {
	name        string
	method      string
	idempotency string // in the settings
	deadline    time.Duration
	fraction    float64 // of all requests
}

// classesFor are the classes of a deployment whose longest deadline is that.
func classesFor(longest time.Duration) []class {
	return []class{
		{"tile", "GET", "pure", longest, 0.6},
		{"claim", "POST", "token", longest * 4 / 5, 0.2},
		{"order", "POST", "side_effect", longest * 2 / 3, 0.2},
	}
}

// behaviour is how a client sends a request and waits for its answer.
type behaviour uint8

const (
	waitsForResponse   behaviour = iota
	closesEarly                  // ends its connection before the answer
	resetsEarly                  // likewise, with a reset
	sendsInPieces                // sends it slowly, in pieces
	sendsLastBytesLate           // sends its last bytes at a given moment, unless it has an answer or an end by then
)

// request is one as its client has seen it.
type request struct {
	id            string
	class         class
	sidecar       int
	behaviour     behaviour
	newConnection bool      // on a new connection, at last
	resent        bool      // sent once more, behind a kept connection that was closed
	dialedAt      time.Time // its new connection was up; zero = it went out on a kept one
	firstSend     span      // from when it was first sent until that connection ended; zero = it was not sent twice
	leaveAt       time.Time // when a client that leaves does; zero = after a while
	lastBytesAt   time.Time // with sendsLastBytesLate: of its last bytes
	seed          uint64    // of how it is sent
	begunAt       time.Time // its first byte
	sentAt        time.Time // its last byte was written; zero = it was not
	leftAt        time.Time // the client ended its connection; zero = it did not
	answeredAt    time.Time
	status        int // 0 = no whole answer
	unreachable   bool
	err           string
	truncated     bool // the answer began and did not end as its framing says
}

// clients are those of one sidecar.
type clients struct {
	sidecar *sidecar
	rate    float64
	classes []class

	mutex    sync.Mutex
	rng      *rand.Rand
	idle     []*clientConn
	all      []*request
	count    int
	pending  sync.WaitGroup
	allLeave bool // all that wait leave
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func newClients(s *sidecar, seed uint64, rate float64, classes []class) *clients {
	return &clients{sidecar: s, rng: rand.New(rand.NewPCG(seed, uint64(s.number))), rate: rate, classes: classes}
}

// run sends requests until ctx ends, and returns once all are answered.
func (c *clients) run(ctx context.Context) {
	for ctx.Err() == nil {
		r, pause := c.draw()
		c.pending.Go(func() { c.send(r) })
		if fakes.Pause(ctx, pause) != nil {
			break
		}
	}
	c.pending.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, k := range c.idle {
		k.Close()
	}
}

// sendSteadily has so many clients send one request after another with a pause, each on a connection that it keeps, until then.
func (c *clients) sendSteadily(number int, pause time.Duration, until time.Time) {
	var all sync.WaitGroup
	for range number {
		all.Go(func() {
			for time.Now().Before(until) {
				r, _ := c.draw()
				r.behaviour = waitsForResponse
				c.send(r)
				time.Sleep(pause)
			}
		})
	}
	all.Wait()
}

// sendAndLeaveAt has so many clients send a request at once and leave at that moment.
func (c *clients) sendAndLeaveAt(number int, at time.Time) {
	var all sync.WaitGroup
	for range number {
		all.Go(func() {
			r, _ := c.draw()
			r.behaviour, r.leaveAt = closesEarly, at
			c.send(r)
		})
	}
	all.Wait()
}

// sendLastBytesAt has a client send a request on a new connection, its last bytes at that moment.
func (c *clients) sendLastBytesAt(at time.Time) {
	r, _ := c.draw()
	r.behaviour, r.lastBytesAt = sendsLastBytesLate, at
	c.send(r)
}

// draw makes the next request, and the pause after it.
func (c *clients) draw() (r *request, pause time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.count++
	r = &request{id: fmt.Sprintf("%s-%d", c.sidecar.name, c.count), sidecar: c.sidecar.number, seed: c.rng.Uint64()}
	p := c.rng.Float64()
	for _, k := range c.classes {
		if r.class = k; p < k.fraction {
			break
		}
		p -= k.fraction
	}
	switch p := c.rng.Float64(); {
	case c.allLeave || p < 0.06:
		r.behaviour = closesEarly
	case p < 0.09:
		r.behaviour = resetsEarly
	case p < 0.12:
		r.behaviour = sendsInPieces
	}
	c.all = append(c.all, r)
	return r, time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second))
}

// send sends the request and waits for the answer. It sends it once more on a new connection if a kept connection ended without an answer, or a
// new one that the sidecar closed before it read the request.
func (c *clients) send(r *request) {
	rng := rand.New(rand.NewPCG(r.seed, 1))
	until := time.Now().Add(r.class.deadline)
	var k *clientConn
	if r.behaviour != sendsLastBytesLate {
		k = c.takeIdle()
	}
	r.newConnection = k == nil
	if k == nil {
		k = c.dial(r, until)
	}
	if k == nil {
		return
	}
	end := c.attempt(r, k, until, rng)
	mayResend := end == endedUnread || end == endedUnanswered && !r.newConnection
	if !mayResend || c.sidecar.wasKilled(r.begunAt, time.Now()) {
		return
	}
	if !r.sentAt.IsZero() { // it crossed the end of its connection, or was lost with it: see judgeResent
		r.firstSend = span{r.sentAt, time.Now()}
	}
	if k = c.dial(r, until); k != nil {
		r.newConnection, r.resent, r.err, r.sentAt = true, true, "", time.Time{}
		c.attempt(r, k, until, rng)
	}
}

func (c *clients) takeIdle() *clientConn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	k := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return k
}

func (c *clients) dial(r *request, until time.Time) *clientConn {
	nc, err := (&net.Dialer{Deadline: until, KeepAlive: -1}).Dial("tcp", c.sidecar.address)
	if err != nil {
		r.unreachable, r.err = true, err.Error()
		return nil
	}
	r.dialedAt = time.Now()
	return &clientConn{nc, bufio.NewReader(nc)}
}

// connectionEnd is what a connection came to while it carried a request.
type connectionEnd uint8

const (
	notEnded        connectionEnd = iota // by the sidecar, before the answer began
	endedUnanswered                      // without a byte of an answer
	endedUnread                          // likewise, and before the sidecar read the request
)

// attempt sends the request over the connection.
func (c *clients) attempt(r *request, k *clientConn, until time.Time, rng *rand.Rand) connectionEnd {
	keep := false
	defer func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if keep {
			c.idle = append(c.idle, k)
			return
		}
		k.Close()
	}()
	left := time.Until(until)
	r.begunAt = time.Now()
	k.SetDeadline(until.Add(answerSlack + time.Second))
	if err := c.write(r, k, left, rng); err != nil {
		r.err = err.Error()
		return r.endAfter(k, err)
	}
	r.sentAt = time.Now()
	if r.behaviour == closesEarly || r.behaviour == resetsEarly {
		if r.leaveAt.IsZero() {
			time.Sleep(time.Duration(rng.Float64() * float64(left) / 3))
		}
		time.Sleep(time.Until(r.leaveAt))
		if r.behaviour == resetsEarly {
			k.Conn.(*net.TCPConn).SetLinger(0)
		}
		r.leftAt = time.Now()
		return notEnded
	}
	resp, err := http.ReadResponse(k.reader, &http.Request{Method: r.class.method})
	if err != nil {
		r.err = err.Error()
		return r.endAfter(k, err)
	}
	body, err := io.ReadAll(resp.Body)
	r.answeredAt = time.Now()
	if err != nil {
		r.truncated, r.err = true, err.Error()
		return notEnded
	}
	r.status = resp.StatusCode
	if r.status == http.StatusOK && !strings.HasPrefix(string(body), r.id+"\n") {
		r.err = fmt.Sprintf("an answer of another request: %.40q", body)
	}
	keep = !resp.Close && k.reader.Buffered() == 0
	return notEnded
}

// endAfter says how the connection ended whose write or first read failed with err. A request in one piece that met a closed connection was
// answered with a reset, and so is what is written next; of one in several pieces the sidecar may have read the first.
func (r *request) endAfter(k *clientConn, err error) connectionEnd {
	switch {
	case timedOut(err):
		return notEnded
	case r.behaviour == sendsInPieces || r.behaviour == sendsLastBytesLate:
		return endedUnanswered
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return endedUnread
	}
	if _, err := io.WriteString(k, "\n"); err != nil {
		return endedUnread
	}
	return endedUnanswered
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// write writes the request.
func (c *clients) write(r *request, k *clientConn, left time.Duration, rng *rand.Rand) error {
	body := ""
	if r.class.method == "POST" {
		body = strings.Repeat("x", 1+rng.IntN(300))
	}
	text := fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Deadline: %s\r\n", r.class.method, r.class.name, r.id,
		r.id, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	text += "\r\n" + body
	if r.behaviour == sendsLastBytesLate {
		return c.writeLate(r, k, text)
	}
	if r.behaviour != sendsInPieces {
		_, err := io.WriteString(k, text)
		return err
	}
	for len(text) > 0 {
		n := min(len(text), 1+rng.IntN(60))
		if _, err := io.WriteString(k, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(time.Duration(rng.IntN(8)) * time.Millisecond)
	}
	return nil
}

// errEndedEarly is why a client does not send the rest of its request.
var errEndedEarly = errors.New("answered or ended before it was whole")

// writeLate writes the request but for its last bytes, and those at their moment.
func (c *clients) writeLate(r *request, k *clientConn, text string) error {
	const rest = 3
	if _, err := io.WriteString(k, text[:len(text)-rest]); err != nil {
		return err
	}
	k.SetReadDeadline(r.lastBytesAt)
	if _, err := k.reader.Peek(1); !timedOut(err) {
		return errEndedEarly
	}
	k.SetDeadline(r.lastBytesAt.Add(r.class.deadline + answerSlack + time.Second))
	r.begunAt = time.Now()
	_, err := io.WriteString(k, text[len(text)-rest:])
	return err
}

// setAllLeave has the clients that send from now on leave, until it is called with false.
func (c *clients) setAllLeave(on bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.allLeave = on
}

// flood opens connections that say nothing or half a request, and stay for so long. It returns how many of those that sent half a
// request had neither an answer nor an end in time.
func (c *clients) flood(ctx context.Context, n int, long time.Duration) (unanswered int) {
	type visit struct {
		net.Conn
		half bool
	}
	var all []visit
	for i := range n {
		nc, err := net.DialTimeout("tcp", c.sidecar.address, time.Second)
		if err != nil {
			break
		}
		half := i%4 == 0
		if half {
			_, _ = io.WriteString(nc, "POST /order/x HTTP/1.1\r\nHost: api.internal\r\nReq-Id: half\r\nContent-Length: 10\r\n\r\nxx")
		}
		all = append(all, visit{nc, half})
	}
	began := time.Now()
	_ = fakes.Pause(ctx, long)
	for _, v := range all {
		if v.half {
			v.SetReadDeadline(began.Add(badClientWithin + time.Second))
			if _, err := io.Copy(io.Discard, v); timedOut(err) {
				unanswered++
			}
		}
		v.Close()
	}
	return unanswered
}

// requests returns all so far.
func (c *clients) requests() []*request {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]*request{}, c.all...)
}
