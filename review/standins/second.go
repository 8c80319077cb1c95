package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// The disruption: "spoilt answers (a second answer may come some milliseconds late)".
const (
	secondShare    = 0.05 // of the answers to requests come a second time
	secondEarliest = 2 * time.Millisecond
	secondLatest   = 6 * time.Millisecond
)

// declineShare is the part of the requests that find a tile server's queue full, with the disruption and without.
const declineShare = 0.08

// secondAnswer lets some answers of the tile servers come a second time, some milliseconds late. It checks that what a client
// gets with 200 was made for its request, and that no order runs twice.
func secondAnswer(r *record, trouble bool) (broken []string, err error) {
	random := newRandom()
	work := map[string]int{"tile": 60, "record": 40, "order": 20} // ms
	hook := func(c *serverConn, m *message) bool {
		status, header, body := 200, "", fmt.Sprintf("made for %s by %s", m.id(), c.server.name)
		if random.float() < declineShare {
			status, header, body = 503, "Srv-Declined: 1\r\n", ""
			r.line("declined  %s by %s", m.id(), c.server.name)
		} else {
			c.server.run(m, time.Duration(work[m.className()]/2+random.int(work[m.className()]))*time.Millisecond)
		}
		ok := c.respond(status, header, body)
		if trouble && random.float() < secondShare {
			wait := secondEarliest + time.Duration(random.int(int(secondLatest-secondEarliest)))
			time.AfterFunc(wait, func() {
				r.line("again     %d for %s by %s, %.1f ms later", status, m.id(), c.server.name, wait.Seconds()*1e3)
				c.respond(status, header, body)
			})
		}
		return ok
	}
	g, err := startRig(r, 15, hook)
	if err != nil {
		return nil, err
	}
	defer g.stop()
	counts, broken := g.drive(random, 24, 70*time.Second)
	time.Sleep(300 * time.Millisecond)
	for id, n := range g.runs() {
		if n > 1 && strings.HasPrefix(id, "order-") {
			broken = append(broken, fmt.Sprintf("duplicate: %s ran %d times", id, n))
		}
	}
	r.line("answers by status (0 = none): %v", counts)
	if !g.running() {
		return append(broken, "the sidecar has exited"), nil
	}
	if counts[200] < 5000 {
		return nil, fmt.Errorf("only %d requests were served", counts[200])
	}
	return broken, nil
}

// drive lets clients send requests one after another, each on its own connection, and returns the answers by status, and those
// with 200 whose body was not made for their request.
func (g *rig) drive(random *random, clients int, length time.Duration) (counts map[int]int, broken []string) {
	var mu sync.Mutex
	counts = map[int]int{}
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			c := &client{address: g.listen}
			defer c.close()
			for i := 0; time.Now().Before(end); i++ {
				kind := classes[0]
				switch x := random.float(); {
				case x < 0.13:
					kind = classes[2]
				case x < 0.46:
					kind = classes[1]
				}
				id := fmt.Sprintf("%s-%02d-%04d", kind.name, n, i)
				g.record.line("sent      %s", id)
				m, err := c.do(requestOf(kind, id), kind.limit+time.Second)
				status, body := 0, ""
				if err == nil {
					status, body = m.status(), string(m.body)
				}
				g.record.line("answered  %s %d %q %v", id, status, body, err)
				mu.Lock()
				counts[status]++
				if status == 200 && !strings.HasPrefix(body, "made for "+id+" by ") {
					broken = append(broken, fmt.Sprintf("lost: %s was served with %q", id, body))
				}
				mu.Unlock()
				time.Sleep(time.Duration(random.int(20)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return counts, broken
}

// random is a source of random numbers for several goroutines.
type random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRandom() *random { return &random{rng: rand.New(rand.NewPCG(seed, seed))} }

func (r *random) float() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

// int returns a number from 0 to n-1.
func (r *random) int(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}
