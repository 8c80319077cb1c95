// Package upstreamtest is the suite that every upstream.Caller has to pass, whatever its protocol. It plays providers that answer,
// refuse, hang, break off and drain, in simulated time, and looks at what reaches them and at what is reported.
package upstreamtest

import (
	"context"
	"errors"
	"fmt"
	"net"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Harness is what the suite has to know of a protocol.
type Harness struct {
	// New returns a Caller whose connections are opened by dial and end with ctx. wait returns when its last goroutine has.
	New func(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error)) (c upstream.Upstream, wait func())
	// Read reads one whole request and returns the invocation's id, or "" for a probe.
	Read func(net.Conn) (id string, err error)
	// What a provider answers to a request: that it is served with the body "ok", has failed, is turned away unseen, or
	// something that is no answer; and, to a probe, that it has 3 in flight.
	Served, Failed, Declined, Garbage, Load []byte
}

// seen is what came of a scenario: how each attempt ended, and what each connection got, in the order in which they were
// opened. Attempts that were never reported are missing.
type seen struct {
	Ends  []string
	Conns []string
}

// stage is the world of one scenario.
type stage struct {
	t       *testing.T
	h       Harness
	at      upstream.Endpoint
	dialed  string // what becomes of connections: "" = they come up, else "refused", or "late": after 100 ms
	peers   []net.Conn
	reports chan report
	got     seen
	ended   map[int]bool
	last    *request.Request // that was begun
	gone    atomic.Bool      // its consumer is gone, and nobody has been told
}

type report struct {
	number int
	upstream.Result
}

func (s *stage) dial(ctx context.Context, address string) (net.Conn, error) {
	switch s.dialed {
	case "refused":
		return nil, errors.New("refused")
	case "late":
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	mine, theirs := net.Pipe()
	s.peers = append(s.peers, theirs)
	s.got.Conns = append(s.got.Conns, "")
	return mine, nil
}

// start begins an attempt by its number; 0 is a probe.
func (s *stage) start(number int, notAfter time.Time) upstream.Attempt {
	return s.begin(number, notAfter, time.Time{})
}

// begin is start for an attempt that expires.
func (s *stage) begin(number int, notAfter, expires time.Time) upstream.Attempt {
	task := upstream.AttemptOptions{Timeout: time.Second, StartBy: notAfter, Expires: expires, OnEnd: func(r upstream.Result) { s.reports <- report{number, r} }}
	if number > 0 {
		s.last = &request.Request{
			ID: fmt.Sprint("id", number), Method: "POST", Target: "/order/1", Body: []byte("x"),
			ClientGone: s.gone.Load,
		}
		task.Request = s.last
	}
	return s.at.Start(task)
}

// read takes a request on the n-th connection, as the provider.
func (s *stage) read(n int) {
	synctest.Wait()
	if n >= len(s.peers) {
		s.t.Errorf("connection %d was not opened", n)
		return
	}
	s.peers[n].SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	id, err := s.h.Read(s.peers[n])
	if err != nil {
		id = "nothing"
	} else if id == "" {
		id = "probe"
	}
	s.got.Conns[n] += id + " "
}

func (s *stage) write(n int, b []byte) {
	if n >= len(s.peers) {
		return // read has said so
	}
	s.peers[n].SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	s.peers[n].Write(b)
	synctest.Wait()
}

// settle takes note of what has been reported.
func (s *stage) settle() {
	synctest.Wait()
	for len(s.reports) > 0 {
		r := <-s.reports
		s.note(r.number, r.Outcome, r.Result)
	}
}

func (s *stage) note(number int, e outcome.Kind, r upstream.Result) {
	if s.ended[number] {
		s.t.Errorf("attempt %d has ended twice, as %s", number, e)
	}
	s.ended[number] = true
	word := fmt.Sprintf("%d %s", number, e)
	if e == outcome.Served && number > 0 {
		word += " " + string(r.Body)
	}
	if r.Report.HasRIF {
		word += fmt.Sprintf(" load %g", r.Report.RIF)
	}
	s.got.Ends = append(s.got.Ends, word)
}

// stop gives an attempt up.
func (s *stage) stop(number int, c upstream.Attempt, why outcome.Kind) {
	if how, stopped := c.Cancel(why); stopped {
		s.note(number, how, upstream.Result{})
	}
	if _, again := c.Cancel(why); again {
		s.t.Errorf("attempt %d was stopped twice", number)
	}
}

// withdraw gives an attempt up, if it has not been sent.
func (s *stage) withdraw(number int, c upstream.Attempt) {
	if how, withdrawn := c.Withdraw(outcome.Cancelled); withdrawn {
		s.note(number, how, upstream.Result{})
	}
	if _, again := c.Withdraw(outcome.Cancelled); again {
		s.t.Errorf("attempt %d was withdrawn twice", number)
	}
}

var scenarios = map[string]struct {
	play func(*stage)
	want seen
}{
	"answers": {func(s *stage) {
		for i, answer := range [][]byte{s.h.Served, s.h.Failed, s.h.Declined} {
			s.start(i+1, time.Time{})
			s.read(0)
			s.write(0, answer)
			s.settle()
		}
	}, seen{[]string{"1 served ok", "2 server_error", "3 declined"}, []string{"id1 id2 id3 "}}},
	"two at once": {func(s *stage) {
		s.start(1, time.Time{})
		s.read(0)
		s.start(2, time.Time{})
		s.read(1)
		s.write(1, s.h.Served)
		s.settle()
		s.write(0, s.h.Served)
		s.settle()
	}, seen{[]string{"2 served ok", "1 served ok"}, []string{"id1 ", "id2 "}}},
	"probe": {func(s *stage) {
		s.start(0, time.Time{})
		s.read(0)
		s.write(0, s.h.Load)
		s.settle()
	}, seen{[]string{"0 served load 3"}, []string{"probe "}}},
	"refused": {func(s *stage) {
		s.dialed = "refused"
		s.start(1, time.Time{})
		s.settle()
	}, seen{[]string{"1 refused"}, nil}},
	"stopped while connecting": {func(s *stage) {
		s.dialed = "late"
		c := s.start(1, time.Time{})
		time.Sleep(50 * time.Millisecond)
		s.stop(1, c, outcome.Cancelled)
		time.Sleep(time.Second)
		s.settle()
	}, seen{[]string{"1 withdrawn"}, nil}},
	"withdrawn while connecting": {func(s *stage) {
		s.dialed = "late"
		c := s.start(1, time.Time{})
		time.Sleep(50 * time.Millisecond)
		s.withdraw(1, c)
		time.Sleep(time.Second)
		s.settle()
	}, seen{[]string{"1 withdrawn"}, nil}},
	"withdrawn when it may have run": {func(s *stage) {
		c := s.start(1, time.Time{})
		s.read(0)
		s.withdraw(1, c)
		s.write(0, s.h.Served)
		s.settle()
		s.withdraw(1, c)
	}, seen{[]string{"1 served ok"}, []string{"id1 "}}},
	"the consumer has left while connecting, and the word of it waits": {func(s *stage) {
		s.dialed = "late"
		s.start(1, time.Time{})
		time.Sleep(50 * time.Millisecond)
		s.last.MarkClientGone()
		time.Sleep(time.Second)
		s.settle()
		s.read(0)
	}, seen{[]string{"1 withdrawn"}, []string{"nothing "}}},
	"the consumer has left while connecting, and nobody knows": {func(s *stage) {
		s.dialed = "late"
		s.start(1, time.Time{})
		time.Sleep(50 * time.Millisecond)
		s.gone.Store(true)
		time.Sleep(time.Second)
		s.settle()
		s.read(0)
		if !s.last.IsClientGone() {
			s.t.Error("it has not been noted that it left")
		}
	}, seen{[]string{"1 withdrawn"}, []string{"nothing "}}},
	"timed out while connecting": {func(s *stage) {
		s.dialed = "late"
		c := s.start(1, time.Time{})
		time.Sleep(50 * time.Millisecond)
		s.stop(1, c, outcome.TimedOut)
		time.Sleep(time.Second)
		s.settle()
	}, seen{[]string{"1 unwritten"}, nil}},
	"too late for a drain": {func(s *stage) {
		s.dialed = "late"
		s.start(1, time.Now().Add(50*time.Millisecond))
		time.Sleep(time.Second)
		s.settle()
		s.read(0)
	}, seen{[]string{"1 drained"}, []string{"nothing "}}},
	"a drain told while connecting": {func(s *stage) {
		s.dialed = "late"
		c := s.start(1, time.Time{})
		c.StartBy(time.Now().Add(time.Hour))
		c.StartBy(time.Now().Add(50 * time.Millisecond)) // what forbids more counts, whatever came first
		c.StartBy(time.Now().Add(time.Hour))
		time.Sleep(time.Second)
		s.settle()
		s.read(0)
	}, seen{[]string{"1 drained"}, []string{"nothing "}}},
	"expired while connecting": {func(s *stage) {
		s.dialed = "late"
		s.begin(1, time.Time{}, time.Now().Add(50*time.Millisecond))
		time.Sleep(time.Second)
		s.settle()
		s.read(0)
	}, seen{[]string{"1 expired"}, []string{"nothing "}}},
	"sent before it expires": {func(s *stage) {
		s.dialed = "late"
		s.begin(1, time.Time{}, time.Now().Add(150*time.Millisecond))
		time.Sleep(time.Second)
		s.read(0)
		s.write(0, s.h.Served)
		s.settle()
	}, seen{[]string{"1 served ok"}, []string{"id1 "}}},
	"silence": {func(s *stage) {
		c := s.start(1, time.Time{})
		s.read(0)
		time.Sleep(time.Second)
		s.stop(1, c, outcome.TimedOut)
		s.settle()
		s.write(0, s.h.Served) // nobody listens any more
		s.start(2, time.Time{})
		s.read(1)
		s.write(1, s.h.Served)
		s.settle()
	}, seen{[]string{"1 timed_out", "2 served ok"}, []string{"id1 ", "id2 "}}},
	"called off": {func(s *stage) {
		c := s.start(1, time.Time{})
		s.read(0)
		s.stop(1, c, outcome.Cancelled)
		s.settle()
	}, seen{[]string{"1 called_off"}, []string{"id1 "}}},
	"stopped after its end": {func(s *stage) {
		c := s.start(1, time.Time{})
		s.read(0)
		s.write(0, s.h.Served)
		s.stop(1, c, outcome.TimedOut)
		s.settle()
		s.start(2, time.Time{}) // and the connection is still good
		s.read(0)
		s.write(0, s.h.Served)
		s.settle()
	}, seen{[]string{"1 served ok", "2 served ok"}, []string{"id1 id2 "}}},
	"broken after the request": {func(s *stage) {
		s.start(1, time.Time{})
		s.read(0)
		s.peers[0].Close()
		s.settle()
	}, seen{[]string{"1 reset"}, []string{"id1 "}}},
	"broken in the answer": {func(s *stage) {
		s.start(1, time.Time{})
		s.read(0)
		s.write(0, s.h.Served[:len(s.h.Served)-1])
		s.peers[0].Close()
		s.settle()
	}, seen{[]string{"1 reset"}, []string{"id1 "}}},
	"no answer at all": {func(s *stage) {
		s.start(1, time.Time{})
		s.read(0)
		s.write(0, s.h.Garbage)
		s.settle()
		s.start(2, time.Time{}) // the connection is of no further use
		s.read(1)
		s.write(1, s.h.Served)
		s.settle()
	}, seen{[]string{"1 malformed", "2 served ok"}, []string{"id1 ", "id2 "}}},
	"closed while idle": {func(s *stage) {
		s.start(1, time.Time{})
		s.read(0)
		s.write(0, s.h.Served)
		s.settle()
		s.peers[0].Close()
		s.start(2, time.Time{})
		s.read(1)
		s.write(1, s.h.Served)
		s.settle()
	}, seen{[]string{"1 served ok", "2 served ok"}, []string{"id1 ", "id2 "}}},
	"bytes while idle": {func(s *stage) {
		s.start(1, time.Time{})
		s.read(0)
		s.write(0, s.h.Served)
		s.settle()
		s.write(0, s.h.Served) // an answer to nothing must not be taken for the next one
		s.start(2, time.Time{})
		s.read(1)
		s.write(1, s.h.Served)
		s.settle()
	}, seen{[]string{"1 served ok", "2 served ok"}, []string{"id1 ", "id2 "}}},
	"endpoint closed": {func(s *stage) {
		s.start(1, time.Time{})
		s.read(0)
		s.at.Close() // what is under way goes on, and its connection carries nothing else
		s.write(0, s.h.Served)
		s.settle()
		s.start(2, time.Time{})
		s.read(1)
		s.write(1, s.h.Served)
		s.settle()
	}, seen{[]string{"1 served ok", "2 served ok"}, []string{"id1 ", "id2 "}}},
}

// Test plays the suite.
func Test(t *testing.T, h Harness) {
	for name, sc := range scenarios {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := &stage{t: t, h: h, reports: make(chan report, 16), ended: map[int]bool{}}
				c, wait := h.New(ctx, s.dial)
				if s.at = c.Endpoint("p1", "p1:1"); s.at.Address() != "p1:1" {
					t.Errorf("address %q", s.at.Address())
				}
				sc.play(s)
				if diff := cmp.Diff(sc.want, s.got); diff != "" {
					t.Error(diff)
				}
				cancel()
				wait()
				for _, p := range s.peers {
					p.Close()
				}
			})
		})
	}
	t.Run("state", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			c, wait := h.New(ctx, func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") })
			state, err := c.State(time.Now())
			if err != nil || len(state) > 64<<10 {
				t.Errorf("state of %d bytes: %v", len(state), err)
			}
			if state != nil {
				if err := c.Restore(time.Now(), state, time.Second); err != nil {
					t.Errorf("its own state: %v", err)
				}
				if c.Restore(time.Now(), state[:len(state)/2], time.Second) == nil {
					t.Error("half a state is taken")
				}
			}
			c.Forget("nobody")
			cancel()
			wait()
		})
	})
}
