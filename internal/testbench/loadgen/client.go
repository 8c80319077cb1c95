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
	conns       fakes.ConnPool
	plan        *Plan
	recorder    *recorder
	bodyPattern []byte // pattern that fills request bodies
}

// sendRequest sends q at its due time, with the retries that its class allows, and records the outcome.
func (c *client) sendRequest(q Request, due time.Time) {
	class := &c.plan.Classes[q.class]
	d := completion{class: q.class, due: due, latencyObjective: milliseconds(class.LatencyObjectiveMs)}
	until := due.Add(milliseconds(class.DeadlineMs))
	for number, at := 0, due; ; number++ {
		t := c.sendAttempt(&q, class, number, at, until)
		if number == 0 {
			d.late = t.late
		}
		d.attempts++
		outcome := Outcome(t.Result)
		d.attemptOutcomes[outcome]++
		if t.Resent {
			d.resent++
		}
		d.outcome, d.sentAt, d.endedAt = outcome, t.SentAt, time.Now()
		at = d.endedAt.Add(class.Retry.wait(t.retryAfter))
		if number >= class.Retry.MaxRetries || !slices.Contains(class.Retry.On, outcome.String()) || !at.Before(until) {
			break
		}
		time.Sleep(time.Until(at))
	}
	c.recorder.recordCompletion(&d)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// wait returns the delay before a retry: WaitMs, or the response's Retry-After if that is longer, up to
// MaxRetryAfterMs.
func (r *Retry) wait(retryAfter time.Duration) time.Duration {
	return max(milliseconds(r.WaitMs), min(retryAfter, milliseconds(r.MaxRetryAfterMs)))
}

// attempt is the outcome of one attempt.
type attempt struct {
	fakes.Exchange
	late       time.Duration // delay of the generator from the due time until it asks for a connection
	retryAfter time.Duration // value of the Retry-After header; 0 = none
}

// sendAttempt sends one attempt, which is due at the time at, waits for its response until the time until, and returns the
// outcome.
func (c *client) sendAttempt(q *Request, class *Class, number int, at, until time.Time) (t attempt) {
	if class.TimeoutMs > 0 {
		if timeout := at.Add(milliseconds(class.TimeoutMs)); timeout.Before(until) {
			until = timeout
		}
	}
	t.late = time.Since(at)
	t.Exchange = c.conns.Send(func() []byte { return c.encodeRequest(q, number, until) }, until)
	if t.Result == fakes.Rejected {
		s, err := strconv.ParseFloat(t.Response.Header.Get("Retry-After"), 64)
		if err == nil && s > 0 && s < 1e6 {
			t.retryAfter = time.Duration(s * float64(time.Second))
		}
	}
	return t
}

// encodeRequest encodes an attempt with the platform's headers.
func (c *client) encodeRequest(q *Request, number int, until time.Time) []byte {
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
	for left := q.Size; left > 0; left -= len(c.bodyPattern) {
		b = append(b, c.bodyPattern[:min(left, len(c.bodyPattern))]...)
	}
	return b
}

// readResponse reads a response, and discards its body and any 1xx responses before it. The returned body is nil.
func readResponse(br *bufio.Reader) (*http.Response, []byte, error) {
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
