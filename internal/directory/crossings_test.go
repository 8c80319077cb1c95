package directory

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"plankrouter/internal/freshness"
	"plankrouter/internal/http1"
	"plankrouter/internal/lab/peers"
	"plankrouter/internal/members"
	"plankrouter/internal/sockets"
)

// script is a directory whose every byte the test writes.
type script struct {
	*testing.T
	net.Listener
}

func scripted(t *testing.T, n peers.Network) *script {
	l, err := n.Listen("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &script{t, l}
}

// turn is one connection to it.
type turn struct {
	*testing.T
	net.Conn
	br *bufio.Reader
}

func (s *script) turn() *turn {
	s.Helper()
	c, err := s.Accept()
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { c.Close() })
	return &turn{s.T, c, bufio.NewReader(c)}
}

// asked is what the next call on the connection asks for; "" = it has ended.
func (c *turn) asked() string {
	r, err := http1.ReadRequest(c.br)
	if err != nil {
		return ""
	}
	return strings.TrimPrefix(r.Target, http1.PathList)
}

func (c *turn) say(pieces ...string) {
	for _, p := range pieces {
		c.Write([]byte(p)) // who has hung up does not read it
	}
}

// wording words a list: of a revision, whole or not, of lines like "a=SERVING".
func wording(revision int, whole bool, lines ...string) string {
	var all []string
	for _, l := range lines {
		id, phase, _ := strings.Cut(l, "=")
		all = append(all, fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:9","phase":%q}`, id, phase))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, whole, strings.Join(all, ","))
}

func answer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// An answer that has begun and falls silent is given up as soon as one that has not, wherever it stops, and the whole list
// is asked for anew, within the grace of a drain. One that keeps coming is taken, for as long as an answer may last.
func TestSilenceWithinAnAnswer(t *testing.T) {
	const grace, head = 750 * time.Millisecond, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"
	const chunked, interim = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"
	list := wording(7, true, "a=SERVING")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(list), list)
	for name, c := range map[string]struct {
		pieces []string // 300 ms apart
		taken  bool
	}{
		"nothing":            {nil, false},
		"a byte":             {[]string{"H"}, false},
		"in the head":        {[]string{"HTTP/1.1 200 OK\r\nContent-", "Length:"}, false},
		"an interim answer":  {[]string{interim}, false},
		"in an interim one":  {[]string{interim[:9]}, false},
		"a head behind one":  {[]string{interim + head}, false},
		"a head":             {[]string{head}, false},
		"in the body":        {[]string{head, `{"revision"`, ":7"}, false},
		"in a chunk":         {[]string{chunked + chunk[:9]}, false},
		"between chunks":     {[]string{chunked, chunk}, false},
		"in the last chunk":  {[]string{chunked + chunk, "0\r\n"}, false},
		"up to its close":    {[]string{"HTTP/1.1 200 OK\r\n\r\n" + list}, false},
		"slow":               {strings.SplitAfter(answer(list), ":"), true},
		"slow and in chunks": {[]string{chunked, chunk[:1], chunk[1:9], chunk[9:60], chunk[60:], "0\r\n", "\r\n"}, true},
		"slow behind one":    {[]string{interim + "HTTP", answer(list)[4:50], answer(list)[50:]}, true},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, 0, func(r *rig) {
				d := scripted(t, r.network)
				set := r.watch.set
				set.Address, set.Watch = d.Addr().String(), freshness.Agent(grace)
				r.watch, _ = New(set)
				defer r.run()()
				first := d.turn()
				first.asked()
				at := time.Now()
				for i, p := range c.pieces {
					if i > 0 {
						time.Sleep(300 * time.Millisecond)
					}
					first.say(p)
					at = time.Now()
				}
				if c.taken {
					if asked := first.asked(); !strings.HasPrefix(asked, "?index=7&") || r.watch.Failures.Load() != 0 {
						t.Errorf("afterwards it asks %q: %q", asked, r.lines)
					}
					return
				}
				if asked := d.turn().asked(); asked != "" || time.Since(at) > 460*time.Millisecond || len(r.phases) > 0 {
					t.Errorf("it asks %q %s later, told %v", asked, time.Since(at), r.phases)
				}
			})
		})
	}
}

// Bytes that never end, and connections that never come up, hold the watch no longer than an answer and a pause may last.
func TestNoEndAndNoBeginning(t *testing.T) {
	play(t, 0, func(r *rig) {
		d, set := scripted(t, r.network), r.watch.set
		set.Address, set.Watch = d.Addr().String(), freshness.Agent(750*time.Millisecond)
		dials := make(chan time.Time, 100)
		set.Budget = sockets.NewBudget(8, func(ctx context.Context, address string) (net.Conn, error) {
			if dials <- time.Now(); len(dials) == 1 {
				return r.network.Dial(ctx, address)
			}
			<-ctx.Done()
			return nil, ctx.Err()
		})
		r.watch, _ = New(set)
		defer r.run()()
		first := d.turn()
		first.asked()
		for first.say("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"); len(dials) == 1; r.wait(300 * time.Millisecond) {
			first.say(" ")
		}
		r.wait(3 * time.Second)
		began, again := <-dials, <-dials
		<-dials
		if given, twice := again.Sub(began), (<-dials).Sub(again); given < transferMost || given > transferMost+100*time.Millisecond ||
			twice > 1100*time.Millisecond {
			t.Errorf("dialled anew after %s, and twice within %s", given, twice)
		}
	})
}

// What a list is worth once it is heard counts from the first byte: what follows that may come slowly.
func TestSlowNewsAreOfTheirFirstByte(t *testing.T) {
	play(t, 0, func(r *rig) {
		d, set := scripted(t, r.network), r.watch.set
		set.Address = d.Addr().String()
		var sure time.Time
		set.Trust = func(t freshness.Trust) { sure = t.Sure }
		set.Told = func(l members.List, at time.Time) {
			if r.told(l, at); l.Revision == 8 {
				r.watch.Move("e:1")
			}
		}
		r.watch, _ = New(set)
		defer r.run()()
		c := d.turn()
		c.asked()
		c.say(answer(wording(7, true, "a=SERVING")))
		c.asked()
		news, asked := answer(wording(8, false, "a=DRAINING")), time.Now()
		for i := range 6 { // each well within the pause, and in all well beyond the wait
			time.Sleep(500 * time.Millisecond)
			c.say(news[i*15 : i*15+15])
		}
		c.say(news[90:])
		r.wait(time.Millisecond)
		if left := sure.Sub(asked); left > 6*time.Second || left < 5900*time.Millisecond || r.phases["a"] != members.Draining {
			t.Errorf("sure until %s after the call that brought %v", left, r.phases)
		}
	})
}
