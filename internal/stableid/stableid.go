// Package stableid gives named things numbers that outlive a change of what is named. It reads no clock.
package stableid

import "time"

// Table gives out numbers to things with rules of type R. The zero value has given out none.
type Table[R comparable] struct{ entries []entry[R] }

type entry[R comparable] struct {
	name          string
	rules         R
	live          bool
	reservedUntil time.Time // when it may get another meaning, once it is not live
}

// Mapping is what a change comes to.
type Mapping struct {
	ByPosition    []int // the numbers of what is named, in the order of the names
	PredecessorOf []int // by number: whose past is also this one's; its own where nothing changed; -1 = nobody's
}

// Apply names things anew. What keeps its name and rules keeps its number, or has it again. What has new rules gets another
// number and the past of its name. A number whose name or rules are gone stands for them for another hold: who has
// it may still use it.
func (t *Table[R]) Apply(now time.Time, keepFor time.Duration, names []string, rules []R) Mapping {
	mapping := Mapping{ByPosition: make([]int, len(names)), PredecessorOf: make([]int, len(t.entries))}
	named := map[int]bool{}
	for i, name := range names {
		mapping.ByPosition[i] = -1
		for n := range t.entries {
			if t.entries[n].name == name && t.entries[n].rules == rules[i] {
				mapping.ByPosition[i], named[n] = n, true
				break
			}
		}
	}
	for n := range t.entries {
		mapping.PredecessorOf[n] = n
		if t.entries[n].live && !named[n] {
			t.entries[n].reservedUntil = now.Add(keepFor)
		}
		t.entries[n].live = named[n] // also where it was dropped before: nobody else may get it now
	}
	before := len(t.entries)
	for i, name := range names {
		if mapping.ByPosition[i] < 0 {
			from := -1
			for n, s := range t.entries[:before] { // the one that it had last, if it had several
				if s.name == name && (from < 0 || s.reservedUntil.After(t.entries[from].reservedUntil)) {
					from = n
				}
			}
			n := t.freeNumber(now)
			if n == len(t.entries) {
				t.entries, mapping.PredecessorOf = append(t.entries, entry[R]{}), append(mapping.PredecessorOf, -1)
			}
			t.entries[n] = entry[R]{name: name, rules: rules[i], live: true}
			mapping.ByPosition[i], mapping.PredecessorOf[n] = n, from
		}
	}
	return mapping
}

// freeNumber returns a number that nobody can have any more, or the next new one.
func (t *Table[R]) freeNumber(now time.Time) int {
	for n, s := range t.entries {
		if !s.live && !s.reservedUntil.IsZero() && !now.Before(s.reservedUntil) {
			return n
		}
	}
	return len(t.entries)
}

// Len is how many numbers are given out.
func (t *Table[R]) Len() int { return len(t.entries) }

// Rules returns what the number stands for, and whether it is named at present.
func (t *Table[R]) Rules(n int) (name string, rules R, live bool) {
	s := t.entries[n]
	return s.name, s.rules, s.live
}
