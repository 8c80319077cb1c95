// Package upstreamtest is the conformance suite for implementations of upstream.Upstream, of any protocol. It simulates
// servers that respond, refuse connections, hang, reset and drain, in simulated time, and checks what they receive and which
// results are reported.
package upstreamtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
)

// Harness is the part of the suite that depends on the protocol.
type Harness struct {
	// New returns an Upstream whose connections are opened by dial and closed when ctx ends; wait waits for its last goroutine.
	New func(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error)) (u upstream.Upstream, wait func())
	// Read reads one whole request and returns its id, or "" for a probe.
	Read func(net.Conn) (id string, err error)
	// The responses of a server to a request: served with the body "ok", failed, declined, and malformed; and Load, its
	// response to a probe while 3 requests are in flight.
	Served, Failed, Declined, Garbage, Load []byte
}

// result is the result of a scenario: Ends has the results of the attempts, in the order in which they were reported, and
// Conns has what was received on each connection, in the order in which they were opened. Attempts without a reported result
// are missing.
type result struct {
	Ends  []string
	Conns []string
}

// scenario is the state of one scenario.
type scenario struct {
	t           *testing.T
	harness     Harness
	endpoint    upstream.Endpoint
	connections connectMode // how connections are established
	serverConns []net.Conn
	reports     chan report
	got         result
	ended       map[int]bool
	lastRequest *request.Request // the last request that was started
	clientGone  atomic.Bool      // the client of lastRequest is gone, which only Request.CheckClientGone finds out
}

// connectMode is how connections are established.
type connectMode uint8

const (
	immediate connectMode = iota
	refused
	delayed // by connectDelay
)

const connectDelay = 100 * time.Millisecond

// report is the result that was reported for an attempt.
type report struct {
	number int
	upstream.Result
}

func (s *scenario) dial(ctx context.Context, _ string) (net.Conn, error) {
	switch s.connections {
	case refused:
		return nil, errors.New("refused")
	case delayed:
		select {
		case <-time.After(connectDelay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	clientEnd, serverEnd := net.Pipe()
	s.serverConns = append(s.serverConns, serverEnd)
	s.got.Conns = append(s.got.Conns, "")
	return clientEnd, nil
}

// start starts the attempt with the given number; number 0 is a probe.
func (s *scenario) start(number int, startBy time.Time) upstream.Attempt {
	return s.startExpiring(number, startBy, time.Time{})
}

// startExpiring is start for an attempt that expires at a given time.
func (s *scenario) startExpiring(number int, startBy, expires time.Time) upstream.Attempt {
	options := upstream.AttemptOptions{
		Timeout: time.Second, StartBy: startBy, Expires: expires,
		OnEnd: func(r upstream.Result) { s.reports <- report{number, r} },
	}
	if number > 0 {
		s.lastRequest = &request.Request{
			ID: fmt.Sprint("id", number), Method: "POST", Target: "/order/1", Body: []byte("x"),
			ClientGone: s.clientGone.Load,
		}
		options.Request = s.lastRequest
	}
	return s.endpoint.Start(options)
}

// read reads a request on the n-th connection, as the server, and records its id.
func (s *scenario) read(n int) {
	synctest.Wait()
	if n >= len(s.serverConns) {
		s.t.Errorf("connection %d was not opened", n)
		return
	}
	s.serverConns[n].SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	id, err := s.harness.Read(s.serverConns[n])
	if err != nil {
		id = "nothing"
	} else if id == "" {
		id = "probe"
	}
	s.got.Conns[n] += id + " "
}

func (s *scenario) write(n int, b []byte) {
	if n >= len(s.serverConns) {
		return // read has reported an error
	}
	s.serverConns[n].SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := s.serverConns[n].Write(b); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, io.ErrClosedPipe) {
		s.t.Errorf("connection %d: %v", n, err) // with the excluded errors the client no longer reads
	}
	synctest.Wait()
}

// recordReports records the results that have been reported.
func (s *scenario) recordReports() {
	synctest.Wait()
	for len(s.reports) > 0 {
		r := <-s.reports
		s.record(r.number, r.Outcome, r.Result)
	}
}

func (s *scenario) record(number int, kind outcome.Kind, r upstream.Result) {
	if s.ended[number] {
		s.t.Errorf("attempt %d has ended twice, the second time as %s", number, kind)
	}
	s.ended[number] = true
	end := fmt.Sprintf("%d %s", number, kind)
	if kind == outcome.Served && number > 0 {
		end += " " + string(r.Body)
	}
	if r.Report.HasRIF {
		end += fmt.Sprintf(" load %g", r.Report.RIF)
	}
	s.got.Ends = append(s.got.Ends, end)
}

// cancel cancels the attempt, which has number 1, and checks that it can't be cancelled again.
func (s *scenario) cancel(attempt upstream.Attempt, reason outcome.Kind) {
	if kind, cancelled := attempt.Cancel(reason); cancelled {
		s.record(1, kind, upstream.Result{})
	}
	if _, again := attempt.Cancel(reason); again {
		s.t.Error("an ended attempt was cancelled again")
	}
}

// withdraw withdraws the attempt, which has number 1, and checks that it can't be withdrawn again.
func (s *scenario) withdraw(attempt upstream.Attempt) {
	if kind, withdrawn := attempt.Withdraw(outcome.Cancelled); withdrawn {
		s.record(1, kind, upstream.Result{})
	}
	if _, again := attempt.Withdraw(outcome.Cancelled); again {
		s.t.Error("an ended attempt was withdrawn again")
	}
}

// Test runs the suite.
func Test(t *testing.T, h Harness) {
	for name, tc := range scenarios {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := &scenario{t: t, harness: h, reports: make(chan report, 16), ended: map[int]bool{}}
				u, wait := h.New(ctx, s.dial)
				if s.endpoint = u.Endpoint("p1", "p1:1"); s.endpoint.Address() != "p1:1" {
					t.Errorf("address %q", s.endpoint.Address())
				}
				tc.run(s)
				if diff := cmp.Diff(tc.want, s.got); diff != "" {
					t.Error(diff)
				}
				cancel()
				wait()
				for _, conn := range s.serverConns {
					conn.Close()
				}
			})
		})
	}
	t.Run("state", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			u, wait := h.New(ctx, func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") })
			state, err := u.State(time.Now())
			if err != nil || len(state) > 64<<10 {
				t.Errorf("state of %d bytes: %v", len(state), err)
			}
			if state != nil {
				if err := u.Restore(time.Now(), state, time.Second); err != nil {
					t.Errorf("restore of its own state: %v", err)
				}
				if u.Restore(time.Now(), state[:len(state)/2], time.Second) == nil {
					t.Error("a truncated state is accepted")
				}
			}
			u.Forget("nobody")
			cancel()
			wait()
		})
	})
}
