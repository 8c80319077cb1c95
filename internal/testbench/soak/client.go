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

// class is a request class that clients send.
type class struct {
	name        string
	method      string
	idempotency string // as in the settings: pure, token or side_effect
	deadline    time.Duration
	fraction    float64 // fraction of all requests
}

// classesFor returns the request classes of a deployment whose longest deadline is longestDeadline.
func classesFor(longestDeadline time.Duration) []class {
	return []class{
		{"tile", "GET", "pure", longestDeadline, 0.6},
		{"claim", "POST", "token", longestDeadline * 4 / 5, 0.2},
		{"order", "POST", "side_effect", longestDeadline * 2 / 3, 0.2},
	}
}

// behaviour is how a client sends a request and waits for its response.
type behaviour uint8

const (
	waitsForResponse   behaviour = iota
	closesEarly                  // closes its connection before the response
	resetsEarly                  // resets its connection before the response
	sendsInPieces                // sends the request slowly, in pieces
	sendsLongBody                // sends a long body in pieces, at a rate that has to be served
	stopsInBody                  // stops in the middle of a long body and stays
	writesHeadSlowly             // rests on a new connection, and then writes its request over up to 1.8 s
	leavesAndReturns             // leaves before the response, and sends the request again on a new connection
	sendsLastBytesLate           // sends the last bytes at lastBytesAt, unless the sidecar responds or closes the connection first
)

// request is a request and its result as seen by its client.
type request struct {
	id             string
	class          class
	sidecar        int
	behaviour      behaviour
	newConnection  bool          // the last attempt used a new connection
	resent         bool          // the request was sent again because its connection was closed without a response
	dialedAt       time.Time     // when its new connection was established; zero = sent on a reused connection
	firstSend      span          // from the first send until the first connection was closed; zero = not sent twice
	disconnectAt   time.Time     // when a client with closesEarly disconnects; zero = after a random delay
	lastBytesAt    time.Time     // with sendsLastBytesLate: when its last bytes are sent
	seed           uint64        // seed of the random choices while sending
	startedAt      time.Time     // when its first byte was sent, or with sendsLastBytesLate its last bytes
	sentAt         time.Time     // when its last byte was written; zero = not written
	disconnectedAt time.Time     // when the client closed its connection; zero = it did not
	inOnePiece     bool          // with sendsLongBody: the request was written at once
	leftAt         time.Time     // with leavesAndReturns: when it left
	respondedAt    time.Time     // of a long response: when its first bytes arrived
	stoppedAt      time.Time     // with stopsInBody: when its last byte was written; zero = not written
	stopNoticed    time.Duration // with stopsInBody: from stoppedAt until the sidecar responded or closed the connection
	status         int           // 0 = no complete response
	unreachable    bool          // no connection could be established
	err            string
	truncated      bool // the response ended before the end that its framing announced
}

// clients are the clients of one sidecar.
type clients struct {
	sidecar *sidecar
	rate    float64 // requests per second
	classes []class

	mutex         sync.Mutex
	rng           *rand.Rand
	idle          []*clientConn
	all           []*request
	count         int
	pending       sync.WaitGroup
	allDisconnect bool // each new request gets closesEarly
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func newClients(s *sidecar, seed uint64, rate float64, classes []class) *clients {
	return &clients{sidecar: s, rng: rand.New(rand.NewPCG(seed, uint64(s.number))), rate: rate, classes: classes}
}

// run sends requests until ctx is done, and returns once all requests have finished.
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

// sendSteadily has number clients send one request after another until the given time, with a pause after each response.
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

// sendAndDisconnectAt has number clients send a request at once, and disconnect at the given time.
func (c *clients) sendAndDisconnectAt(number int, at time.Time) {
	var all sync.WaitGroup
	for range number {
		all.Go(func() {
			r, _ := c.draw()
			r.behaviour, r.disconnectAt = closesEarly, at
			c.send(r)
		})
	}
	all.Wait()
}

// sendLastBytesAt has a client send a request on a new connection, and its last bytes at the given time.
func (c *clients) sendLastBytesAt(at time.Time) {
	r, _ := c.draw()
	r.behaviour, r.lastBytesAt = sendsLastBytesLate, at
	c.send(r)
}

// draw returns the next request, drawn at random, and the pause after it.
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
	case c.allDisconnect || p < 0.06:
		r.behaviour = closesEarly
	case p < 0.09:
		r.behaviour = resetsEarly
	case p < 0.12:
		r.behaviour = sendsInPieces
	case p < 0.15 && r.class.method == http.MethodPost:
		r.behaviour = sendsLongBody
	case p < 0.17 && r.class.method == http.MethodPost:
		r.behaviour = stopsInBody
	case p < 0.19:
		r.behaviour = writesHeadSlowly
	case p < 0.24 && r.class.idempotency == "side_effect":
		r.behaviour = leavesAndReturns
	}
	c.all = append(c.all, r)
	return r, time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second))
}

// send sends the request and waits for the response. It resends the request on a new connection if a reused connection was
// closed without a response, or if the sidecar closed a new one before it read the request.
func (c *clients) send(r *request) {
	rng := rand.New(rand.NewPCG(r.seed, 1))
	if r.behaviour == stopsInBody {
		c.stopInBody(r, rng)
		return
	}
	if r.behaviour == leavesAndReturns {
		c.sendAndLeave(r, rng)
	}
	until := time.Now().Add(r.class.deadline + r.uploadTime())
	var k *clientConn
	if r.behaviour != sendsLastBytesLate && r.behaviour != writesHeadSlowly {
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
	mayResend := end == closedUnread || end == closedUnanswered && !r.newConnection
	if !mayResend || c.sidecar.wasKilled(r.startedAt, time.Now()) {
		return
	}
	if !r.sentAt.IsZero() { // the request was in transit when its connection was closed, or was lost with it: see judgeResent
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

// connectionEnd says whether and how the sidecar closed the connection of a request.
type connectionEnd uint8

const (
	notClosed        connectionEnd = iota // the sidecar did not close it before the response began
	closedUnanswered                      // closed without a byte of a response
	closedUnread                          // closed before the sidecar read the request
)

// attempt sends the request over the connection, waits for the response and returns how the connection was closed.
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
	left := min(time.Until(until), r.class.deadline)
	r.startedAt = time.Now()
	k.SetDeadline(until.Add(responseSlack + time.Second))
	if err := c.write(r, k, left, rng); err != nil {
		r.err = err.Error()
		return r.endAfter(k, err)
	}
	r.sentAt = time.Now()
	if r.behaviour == closesEarly || r.behaviour == resetsEarly {
		if r.disconnectAt.IsZero() {
			time.Sleep(time.Duration(rng.Float64() * float64(left) / 3))
		}
		time.Sleep(time.Until(r.disconnectAt))
		if r.behaviour == resetsEarly {
			k.Conn.(*net.TCPConn).SetLinger(0)
		}
		r.disconnectedAt = time.Now()
		return notClosed
	}
	resp, err := http.ReadResponse(k.reader, &http.Request{Method: r.class.method})
	if err != nil {
		r.err = err.Error()
		return r.endAfter(k, err)
	}
	begunAt := time.Now()
	k.SetReadDeadline(begunAt.Add(maxDownloadTime))
	body, err := io.ReadAll(resp.Body)
	r.respondedAt = time.Now()
	if len(body) > longBody || err != nil { // a response that its server did not complete has failed when it began
		r.respondedAt = begunAt
	}
	if err != nil {
		r.truncated, r.err = true, err.Error()
		return notClosed
	}
	r.status = resp.StatusCode
	if r.status == http.StatusOK && !strings.HasPrefix(string(body), r.id+"\n") {
		r.err = fmt.Sprintf("response to another request: %.40q", body)
	}
	keep = !resp.Close && k.reader.Buffered() == 0
	return notClosed
}

// endAfter returns how the connection k was closed after a write or the first read on it failed with err. If a request written
// in one piece reached a closed connection, the kernel responds to it, or to the next write, with a reset. If a request was
// written in several pieces, the sidecar may have read the first of them.
func (r *request) endAfter(k *clientConn, err error) connectionEnd {
	switch {
	case timedOut(err):
		return notClosed
	case r.behaviour == sendsLongBody && !r.inOnePiece || r.behaviour == sendsInPieces || r.behaviour == sendsLastBytesLate || r.behaviour == writesHeadSlowly:
		return closedUnanswered
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return closedUnread
	}
	if _, err := io.WriteString(k, "\n"); err != nil {
		return closedUnread
	}
	return closedUnanswered
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// head returns the head of the request without its framing; left is the time until its deadline.
func (r *request) head(left time.Duration) string {
	return fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Deadline: %s\r\n", r.class.method, r.class.name, r.id,
		r.id, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
}

// write writes the request according to its behaviour; left is the time until its deadline.
func (c *clients) write(r *request, k *clientConn, left time.Duration, rng *rand.Rand) error {
	body := ""
	if r.class.method == "POST" {
		body = strings.Repeat("x", 1+rng.IntN(300))
	}
	text := r.head(left)
	if r.behaviour == sendsLongBody {
		return r.writeLongBody(k, text, rng)
	}
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	text += "\r\n" + body
	switch r.behaviour {
	case sendsLastBytesLate:
		return c.writeLate(r, k, text)
	case writesHeadSlowly:
		return r.writeHeadSlowly(k, text, rng)
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

// errClosedEarly is returned by writeLate if the rest of the request is not sent.
var errClosedEarly = errors.New("response received or connection closed before the request was complete")

// writeLate writes the request without its last bytes, and the last bytes at lastBytesAt.
func (c *clients) writeLate(r *request, k *clientConn, text string) error {
	const rest = 3
	if _, err := io.WriteString(k, text[:len(text)-rest]); err != nil {
		return err
	}
	k.SetReadDeadline(r.lastBytesAt)
	if _, err := k.reader.Peek(1); !timedOut(err) {
		return errClosedEarly
	}
	k.SetDeadline(r.lastBytesAt.Add(r.class.deadline + responseSlack + time.Second))
	r.startedAt = time.Now()
	_, err := io.WriteString(k, text[len(text)-rest:])
	return err
}

// setAllDisconnect sets whether each request drawn from now on is abandoned by its client (closesEarly).
func (c *clients) setAllDisconnect(on bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.allDisconnect = on
}

// flood opens n connections that send nothing or a partial request, and holds them for the given duration. It returns the
// number of connections with a partial request that got no response and were not closed in time.
func (c *clients) flood(ctx context.Context, n int, duration time.Duration) (unanswered int) {
	type floodConn struct {
		net.Conn
		partial bool // sent a partial request
	}
	var all []floodConn
	for i := range n {
		nc, err := net.DialTimeout("tcp", c.sidecar.address, time.Second)
		if err != nil {
			break
		}
		partial := i%4 == 0
		if partial {
			_, _ = io.WriteString(nc, "POST /order/x HTTP/1.1\r\nHost: api.internal\r\nReq-Id: half\r\nContent-Length: 10\r\n\r\nxx")
		}
		all = append(all, floodConn{nc, partial})
	}
	began := time.Now()
	_ = fakes.Pause(ctx, duration)
	for _, v := range all {
		if v.partial {
			v.SetReadDeadline(began.Add(badClientWithin + time.Second))
			if _, err := io.Copy(io.Discard, v); timedOut(err) {
				unanswered++
			}
		}
		v.Close()
	}
	return unanswered
}

// requests returns all requests drawn so far.
func (c *clients) requests() []*request {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]*request{}, c.all...)
}
