// Package stableid gives named things numbers that outlive a change of what is named. It reads no clock.
package stableid

import "time"

// Table gives out numbers to things with rules of type R. The zero value has given out none.
type Table[R comparable] struct{ slots []slot[R] }

type slot[R comparable] struct {
	name  string
	rules R
	live  bool
	until time.Time // when it may get another meaning, once it is not live
}

// Mapping is what a change comes to.
type Mapping struct {
	ByPosition    []int // the numbers of what is named, in the order of the names
	PredecessorOf []int // by number: whose past is also this one's; its own where nothing changed; -1 = nobody's
}

// Apply names things anew. What keeps its name and rules keeps its number, or has it again. What has new rules gets another
// number and the past of its name. A number whose name or rules are gone stands for them for another hold: who has
// it may still use it.
func (t *Table[R]) Apply(now time.Time, hold time.Duration, names []string, rules []R) Mapping {
	p := Mapping{ByPosition: make([]int, len(names)), PredecessorOf: make([]int, len(t.slots))}
	named := map[int]bool{}
	for i, name := range names {
		p.ByPosition[i] = -1
		for n := range t.slots {
			if t.slots[n].name == name && t.slots[n].rules == rules[i] {
				p.ByPosition[i], named[n] = n, true
				break
			}
		}
	}
	for n := range t.slots {
		p.PredecessorOf[n] = n
		if t.slots[n].live && !named[n] {
			t.slots[n].until = now.Add(hold)
		}
		t.slots[n].live = named[n] // also where it was dropped before: nobody else may get it now
	}
	before := len(t.slots)
	for i, name := range names {
		if p.ByPosition[i] < 0 {
			from := -1
			for n, s := range t.slots[:before] { // the one that it had last, if it had several
				if s.name == name && (from < 0 || s.until.After(t.slots[from].until)) {
					from = n
				}
			}
			n := t.free(now)
			if n == len(t.slots) {
				t.slots, p.PredecessorOf = append(t.slots, slot[R]{}), append(p.PredecessorOf, -1)
			}
			t.slots[n] = slot[R]{name: name, rules: rules[i], live: true}
			p.ByPosition[i], p.PredecessorOf[n] = n, from
		}
	}
	return p
}

// free returns a number that nobody can have any more, or the next new one.
func (t *Table[R]) free(now time.Time) int {
	for n, s := range t.slots {
		if !s.live && !s.until.IsZero() && !now.Before(s.until) {
			return n
		}
	}
	return len(t.slots)
}

// Len is how many numbers are given out.
func (t *Table[R]) Len() int { return len(t.slots) }

// Rules returns what the number stands for, and whether it is named at present.
func (t *Table[R]) Rules(n int) (name string, rules R, live bool) {
	s := t.slots[n]
	return s.name, s.rules, s.live
}
