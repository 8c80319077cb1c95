// Package upstreamtest is the suite that every upstream.Upstream has to pass, whatever its protocol. It plays servers that answer, refuse,
// hang, break off and drain, in simulated time, and checks what reaches them and what is reported.
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

// Harness is what the suite has to know of a protocol.
type Harness struct {
	// New returns an Upstream whose connections are opened by dial and end with ctx. wait returns when its last goroutine has.
	New func(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error)) (u upstream.Upstream, wait func())
	// Read reads one whole request and returns its id, or "" for a probe.
	Read func(net.Conn) (id string, err error)
	// What a server answers to a request: that it is served with the body "ok", has failed, is declined, or something that is no answer;
	// and, to a probe, that it has 3 requests in flight.
	Served, Failed, Declined, Garbage, Load []byte
}

// result is how each attempt of a scenario ended, and what each connection got, in the order in which they were opened. Attempts that were
// never reported are missing.
type result struct {
	Ends  []string
	Conns []string
}

// scenario is the state of one scenario.
type scenario struct {
	t           *testing.T
	harness     Harness
	endpoint    upstream.Endpoint
	connections connectMode // how connections come up
	serverConns []net.Conn
	reports     chan report
	got         result
	ended       map[int]bool
	lastRequest *request.Request // that was started
	clientGone  atomic.Bool      // its client is, and nobody has reported it
}

// connectMode is how connections come up.
type connectMode uint8

const (
	atOnce connectMode = iota
	refused
	late // after connectDelay
)

const connectDelay = 100 * time.Millisecond

type report struct {
	number int
	upstream.Result
}

func (s *scenario) dial(ctx context.Context, _ string) (net.Conn, error) {
	switch s.connections {
	case refused:
		return nil, errors.New("refused")
	case late:
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

// start begins an attempt by its number; 0 is a probe.
func (s *scenario) start(number int, startBy time.Time) upstream.Attempt {
	return s.startExpiring(number, startBy, time.Time{})
}

// startExpiring is start for an attempt that expires.
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

// read reads a request on the n-th connection, as the server.
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
		return // read has reported it
	}
	s.serverConns[n].SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := s.serverConns[n].Write(b); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, io.ErrClosedPipe) {
		s.t.Errorf("connection %d: %v", n, err) // else nobody reads any more
	}
	synctest.Wait()
}

// recordReports records what has been reported.
func (s *scenario) recordReports() {
	synctest.Wait()
	for len(s.reports) > 0 {
		r := <-s.reports
		s.record(r.number, r.Outcome, r.Result)
	}
}

func (s *scenario) record(number int, how outcome.Kind, r upstream.Result) {
	if s.ended[number] {
		s.t.Errorf("attempt %d has ended twice, as %s", number, how)
	}
	s.ended[number] = true
	end := fmt.Sprintf("%d %s", number, how)
	if how == outcome.Served && number > 0 {
		end += " " + string(r.Body)
	}
	if r.Report.HasRIF {
		end += fmt.Sprintf(" load %g", r.Report.RIF)
	}
	s.got.Ends = append(s.got.Ends, end)
}

// cancel cancels the first attempt.
func (s *scenario) cancel(attempt upstream.Attempt, why outcome.Kind) {
	if how, cancelled := attempt.Cancel(why); cancelled {
		s.record(1, how, upstream.Result{})
	}
	if _, again := attempt.Cancel(why); again {
		s.t.Error("the attempt was cancelled twice")
	}
}

// withdraw withdraws the first attempt.
func (s *scenario) withdraw(attempt upstream.Attempt) {
	if how, withdrawn := attempt.Withdraw(outcome.Cancelled); withdrawn {
		s.record(1, how, upstream.Result{})
	}
	if _, again := attempt.Withdraw(outcome.Cancelled); again {
		s.t.Error("the attempt was withdrawn twice")
	}
}

// Test plays the suite.
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
				tc.play(s)
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
					t.Errorf("its own state: %v", err)
				}
				if u.Restore(time.Now(), state[:len(state)/2], time.Second) == nil {
					t.Error("half a state is accepted")
				}
			}
			u.Forget("nobody")
			cancel()
			wait()
		})
	})
}
