package peers

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"plankrouter/internal/testbench/fakes"
)

const (
	dialTimeout       = 2 * time.Second
	answerTimeout     = 30 * time.Second // for a whole response
	neighbourInterval = 20 * time.Millisecond
	neighbourTimeout  = 3 * time.Second
)

// head returns the head of a request; framing is a header line without its end, or "".
func head(c class, id, framing string) []byte {
	b := fmt.Appendf(nil, "%s /%s/1 HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Owner: %s\r\nReq-Deadline: %.3f\r\n", c.method, c.Name, id, tenant, c.Deadline.Seconds())
	if framing != "" {
		b = append(append(b, framing...), "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// small returns a whole request with a short body, if its class has one.
func small(c class, id string) []byte {
	if c.method == http.MethodGet {
		return head(c, id, "")
	}
	return append(head(c, id, "Content-Length: 2"), "ok"...)
}

// replaceFirst returns raw with the first occurrence of a text replaced by another.
func replaceFirst(raw []byte, text, by string) []byte {
	return bytes.Replace(raw, []byte(text), []byte(by), 1)
}

// answer is what a client got for a request.
type answer struct {
	status      int
	bytes       int
	err         error // the response is not whole
	first, last time.Duration
	closes      bool // the connection can't be used again
}

func (a answer) isWhole() bool { return a.status == http.StatusOK && a.err == nil }

// name returns how the request ended, for counts.
func (a answer) name() string {
	switch {
	case a.status == 0:
		return "unanswered"
	case a.err != nil:
		return "cut_off"
	case a.status == http.StatusOK:
		return "whole"
	}
	return fmt.Sprint(a.status)
}

// dial opens a client's connection.
func (r *rig) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return r.network.Dial(ctx, r.address)
}

// send sends raw on a connection of its own and returns the response to it.
func (r *rig) send(raw []byte) answer {
	c, err := r.dial()
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	return exchange(c, bufio.NewReader(c), raw, answerTimeout)
}

// exchange sends raw on the connection and reads the response.
func exchange(c net.Conn, reader *bufio.Reader, raw []byte, timeout time.Duration) (a answer) {
	sentAt := time.Now()
	c.SetDeadline(sentAt.Add(timeout))
	if _, a.err = c.Write(raw); a.err != nil {
		return a
	}
	return readAnswer(reader, sentAt)
}

func readAnswer(reader *bufio.Reader, sentAt time.Time) (a answer) {
	response, err := http.ReadResponse(reader, nil)
	a.first = time.Since(sentAt)
	if err != nil {
		a.err = err
		return a
	}
	body, err := io.ReadAll(response.Body)
	a.last = time.Since(sentAt)
	a.status, a.bytes, a.err = response.StatusCode, len(body), err
	a.closes = response.Close
	return a
}

// Tally is what an ordinary client got.
type Tally struct {
	Statuses  map[string]int
	durations []time.Duration
}

func (t *Tally) add(a answer) {
	if t.Statuses == nil {
		t.Statuses = map[string]int{}
	}
	t.Statuses[a.name()]++
	t.durations = append(t.durations, a.last)
}

func (t *Tally) String() string {
	if len(t.durations) == 0 {
		return "no neighbour"
	}
	sorted := slices.Sorted(slices.Values(t.durations))
	var b bytes.Buffer
	fmt.Fprintf(&b, "neighbour: %d sent, p50 %d ms, p99 %d ms, longest %d ms,", len(sorted), sorted[len(sorted)/2].Milliseconds(),
		sorted[len(sorted)*99/100].Milliseconds(), sorted[len(sorted)-1].Milliseconds())
	fmt.Fprintf(&b, " %v", t.Statuses)
	return b.String()
}

// record adds what the ordinary client got.
func (r *rig) record(a answer) {
	r.tallyMutex.Lock()
	defer r.tallyMutex.Unlock()
	r.tally.add(a)
}

// neighbour is an ordinary client: it sends a small request at a time on a kept connection until ctx ends.
func (r *rig) neighbour(ctx context.Context) {
	var c net.Conn
	var reader *bufio.Reader
	for fakes.Pause(ctx, neighbourInterval) == nil {
		if c == nil {
			var err error
			if c, err = r.dial(); err != nil {
				r.record(answer{err: err})
				continue
			}
			reader = bufio.NewReader(c)
		}
		a := exchange(c, reader, small(classes()["tile"], r.nextID()), neighbourTimeout)
		r.record(a)
		if a.err != nil || a.closes {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}
