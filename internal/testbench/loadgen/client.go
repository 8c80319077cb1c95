package loadgen

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// Dialer opens connections.
type Dialer interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// client sends a plan's requests. It is safe for concurrent use.
type client struct {
	conns    fakes.ConnPool
	plan     *Plan
	recorder *recorder
	bodies   []byte // what bodies are cut from
}

// request sends q, due at a moment, as often as its class wants, and takes down how that ended.
func (c *client) request(q Request, due time.Time) {
	class := &c.plan.Classes[q.class]
	d := done{class: q.class, due: due, latencyObjective: milliseconds(class.LatencyObjectiveMs)}
	until := due.Add(milliseconds(class.DeadlineMs))
	for try, at := 0, due; ; try++ {
		t := c.try(&q, class, try, at, until)
		if try == 0 {
			d.late = t.late
		}
		d.tries++
		end := Outcome(t.Result)
		d.tryEnds[end]++
		if t.Resent {
			d.resent++
		}
		d.last, d.sent, d.end = end, t.SentAt, time.Now()
		at = d.end.Add(class.Retry.wait(t.advice))
		if try >= class.Retry.MaxRetries || !slices.Contains(class.Retry.On, end.String()) || !at.Before(until) {
			break
		}
		time.Sleep(time.Until(at))
	}
	c.recorder.done(&d)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// wait is how long a client waits before it retries, by the plan and the Retry-After of the answer.
func (r *Retry) wait(advice time.Duration) time.Duration {
	return max(milliseconds(r.WaitMs), min(advice, milliseconds(r.MaxRetryAfterMs)))
}

// try is how one try went.
type try struct {
	fakes.Exchange
	late   time.Duration // on its way to a connection
	advice time.Duration // from Retry-After
}

// try sends one try, due at a moment.
func (c *client) try(q *Request, class *Class, number int, at, until time.Time) (t try) {
	if class.TimeoutMs > 0 {
		if patient := at.Add(milliseconds(class.TimeoutMs)); patient.Before(until) {
			until = patient
		}
	}
	t.late = time.Since(at)
	t.Exchange = c.conns.Send(func() []byte { return c.message(q, number, until) }, until)
	if t.Result == fakes.Rejected {
		s, err := strconv.ParseFloat(t.Response.Header.Get("Retry-After"), 64)
		if err == nil && s > 0 && s < 1e6 {
			t.advice = time.Duration(s * float64(time.Second))
		}
	}
	return t
}

// message encodes a try with the platform's headers.
func (c *client) message(q *Request, number int, until time.Time) []byte {
	b := make([]byte, 0, 256+q.Size)
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\nReq-Id: %s\r\nReq-Deadline: %.3f\r\n", q.Method, q.Path,
		c.conns.Address, q.id(c.plan.Seed, number), max(0.001, time.Until(until).Seconds()))
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

// answer reads an answer and drops its body, and interim answers before it.
func answer(br *bufio.Reader) (*http.Response, []byte, error) {
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return nil, nil, err
		}
		if _, err = io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode >= 200 {
			return resp, nil, err
		}
	}
}
