package staleness

import (
	"fmt"
	"testing"
	"time"
)

// line is a directory that serves a new watch or a whole list in a turn, keeps a line of so long, and turns away what comes beyond.
// A watch that goes on costs it nothing, and it has no news.
type line struct {
	turn, most time.Duration
	freeAt     time.Time

	refused, whole, given int // given up by the caller: their turns are spent all the same
}

// waiter is one of its callers.
type waiter struct {
	*Scheduler
	call   Poll
	sentAt time.Time // of the call; zero = it is not out yet
	next   time.Time // when the call is made, or ends
	ends   func()
	goesOn bool // the next call continues a watch
	first  time.Time
	heard  time.Time // lately
	gap    time.Duration
}

// ask has the waiter decide on its next call.
func (w *waiter) ask(now time.Time) {
	w.call = w.Next(now)
	w.sentAt, w.next = time.Time{}, now.Add(w.call.Delay)
}

// step makes the call, or ends it.
func (l *line) step(w *waiter) {
	now := w.next
	if !w.sentAt.IsZero() {
		w.ends()
		w.ask(now)
		return
	}
	w.sentAt = now
	at := now.Add(w.call.Wait)
	if l.whole += one(w.call.Complete); w.call.Complete || !w.goesOn {
		w.goesOn = false
		served := now.Add(l.turn)
		if l.freeAt.After(now) {
			served = l.freeAt.Add(l.turn)
		}
		if served.Sub(now) > l.most {
			w.next, w.ends = now.Add(10*ms), func() { l.refused++; w.Rejected() }
			return
		}
		if l.freeAt = served; w.call.Complete || served.After(at) {
			at = served
		}
	}
	if giveUp := now.Add(w.call.Timeout); at.After(giveUp) {
		w.next, w.ends = giveUp, func() { l.given++; w.goesOn = false; w.TimedOut() }
		return
	}
	w.next, w.ends = at, func() {
		w.Responded(w.call, at.Sub(now))
		if w.call.Complete {
			w.ReplaceListed(named(12))
		}
		if w.goesOn = !w.call.Complete; w.first.IsZero() {
			w.first = at
		} else {
			w.gap = max(w.gap, at.Sub(w.heard))
		}
		w.heard = at
	}
}

func one(is bool) int {
	if is {
		return 1
	}
	return 0
}

// Many start at once at a directory that bears a few calls a second, and later all see the same servers refuse for ten seconds, which
// its list goes on to name: each is heard about as soon as there are turns for all, nobody loses the watch that it has, nobody
// asks for the whole list, and what is turned away is bounded.
func TestAllAreHeardInLine(t *testing.T) {
	for _, c := range []struct {
		callers, refused int
		heard            time.Duration
	}{{1, 0, time.Second}, {4, 0, 1500 * ms}, {12, 6, 3 * time.Second}, {32, 85, 9 * time.Second}, {80, 330, 25 * time.Second}} {
		for seed := range uint64(5) {
			start := time.Unix(1e9, 0)
			l, all := &line{turn: 200 * ms, most: 2 * time.Second}, []*waiter{}
			for i := range c.callers {
				set := usual
				set.Instances = c.callers
				k, err := New(set, seed*1000+uint64(i), false)
				if err != nil {
					t.Fatal(err)
				}
				k.ReplaceListed(named(12))
				w := &waiter{Scheduler: k}
				w.ask(start)
				all = append(all, w)
			}
			for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(5 * ms) {
				for _, w := range all {
					for !w.next.After(now) {
						l.step(w)
					}
					if s := now.Sub(start); c.callers > 1 && s > 45*time.Second && s < 55*time.Second && s%(100*ms) == 0 {
						if w.Observe(now, "p1", ConnectRefused); w.Observe(now, "p2", ConnectRefused) { // it leaves the present call
							w.goesOn = false
							w.ask(now)
						}
					}
				}
			}
			last, gap := time.Duration(0), time.Duration(0)
			for _, w := range all {
				if w.first.IsZero() {
					w.first = start.Add(time.Hour)
				}
				last, gap = max(last, w.first.Sub(start)), max(gap, w.gap)
			}
			what := fmt.Sprintf("%d callers, seed %d: the last heard after %s, nothing heard for %s, %d turned away, %d given up, %d whole lists",
				c.callers, seed, last, gap, l.refused, l.given, l.whole)
			if t.Log(what); last > c.heard || gap > 1500*ms || l.refused > c.refused || l.whole > 0 {
				t.Error(what)
			}
		}
	}
}
