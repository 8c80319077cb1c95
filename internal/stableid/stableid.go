// Package stableid gives named things numbers that outlive a change of what is named. It reads no clock.
package stableid

import "time"

// none stands for no number.
const none = -1

// Table gives out numbers to things with rules of type R. The zero value has given out none.
type Table[R comparable] struct{ entries []entry[R] }

// entry is what a number stands for.
type entry[R comparable] struct {
	name          string
	rules         R
	live          bool      // named at present
	reservedUntil time.Time // when it may get another meaning, once it is not live
}

// Mapping is the result of a change.
type Mapping struct {
	ByPosition    []int // the numbers of what is named, in the order of the names
	PredecessorOf []int // by number: whose past is also this one's; its own where nothing changed; -1 = nobody's
}

// Apply names things anew. What keeps its name and rules keeps its number, or has it again. What has new rules gets another number and the
// past of its name. A number whose name or rules are gone stands for them for another keepFor: whoever has it may still use it.
func (t *Table[R]) Apply(now time.Time, keepFor time.Duration, names []string, rules []R) Mapping {
	mapping := Mapping{ByPosition: make([]int, len(names)), PredecessorOf: make([]int, len(t.entries))}
	named := map[int]bool{}
	for i, name := range names {
		n := t.numberOf(name, rules[i])
		mapping.ByPosition[i] = n
		named[n] = true
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
		if mapping.ByPosition[i] != none {
			continue
		}
		predecessor := t.lastNumberOf(name, before)
		n := t.freeNumber(now)
		if n == len(t.entries) {
			t.entries = append(t.entries, entry[R]{})
			mapping.PredecessorOf = append(mapping.PredecessorOf, none)
		}
		t.entries[n] = entry[R]{name: name, rules: rules[i], live: true}
		mapping.ByPosition[i] = n
		mapping.PredecessorOf[n] = predecessor
	}
	return mapping
}

// numberOf returns the number of that name and those rules, or none.
func (t *Table[R]) numberOf(name string, rules R) int {
	for n, e := range t.entries {
		if e.name == name && e.rules == rules {
			return n
		}
	}
	return none
}

// lastNumberOf returns the number below limit that the name had last, if it had several, or none.
func (t *Table[R]) lastNumberOf(name string, limit int) int {
	last := none
	for n, e := range t.entries[:limit] {
		if e.name == name && (last == none || e.reservedUntil.After(t.entries[last].reservedUntil)) {
			last = n
		}
	}
	return last
}

// freeNumber returns a number that nobody can have any more, or the next new one.
func (t *Table[R]) freeNumber(now time.Time) int {
	for n, e := range t.entries {
		if !e.live && !e.reservedUntil.IsZero() && !now.Before(e.reservedUntil) {
			return n
		}
	}
	return len(t.entries)
}

// Len returns how many numbers are given out.
func (t *Table[R]) Len() int { return len(t.entries) }

// Rules returns what the number stands for, and whether it is named at present.
func (t *Table[R]) Rules(n int) (name string, rules R, live bool) {
	e := t.entries[n]
	return e.name, e.rules, e.live
}
