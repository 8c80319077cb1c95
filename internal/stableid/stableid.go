// Package stableid assigns numbers to named items that stay the same when the set of items changes. It reads no clock.
package stableid

import "time"

// noNumber means that no number is assigned.
const noNumber = -1

// Table assigns numbers to items, each of which has a name and rules of type R. The zero value has assigned no number.
type Table[R comparable] struct{ entries []entry[R] }

// entry is the item that a number is assigned to.
type entry[R comparable] struct {
	name          string
	rules         R
	live          bool      // in the current set of items
	reservedUntil time.Time // when the number may be reassigned, if not live; zero = never set
}

// Mapping is the result of Table.Apply.
type Mapping struct {
	ByPosition    []int // number of each item, in the order of the names
	PredecessorOf []int // by number: the number whose state this one inherits; its own if nothing changed; -1 = none
}

// Apply replaces the set of items. An item with the same name and rules as before keeps its number; one that had been dropped
// gets its old number again if that was not reassigned. An item with new rules gets another number, whose predecessor is the
// last number of its name. A number that Apply drops is not reassigned within keepFor from now, because those who hold it may
// still use it.
func (t *Table[R]) Apply(now time.Time, keepFor time.Duration, names []string, rules []R) Mapping {
	mapping := Mapping{ByPosition: make([]int, len(names)), PredecessorOf: make([]int, len(t.entries))}
	current := map[int]bool{}
	for i, name := range names {
		n := t.numberOf(name, rules[i])
		mapping.ByPosition[i] = n
		current[n] = true
	}
	for n := range t.entries {
		mapping.PredecessorOf[n] = n
		if t.entries[n].live && !current[n] {
			t.entries[n].reservedUntil = now.Add(keepFor)
		}
		t.entries[n].live = current[n] // also for a number used again, so that it is not reassigned below
	}
	before := len(t.entries)
	for i, name := range names {
		if mapping.ByPosition[i] != noNumber {
			continue
		}
		predecessor := t.lastNumberOf(name, before)
		n := t.freeNumber(now)
		if n == len(t.entries) {
			t.entries = append(t.entries, entry[R]{})
			mapping.PredecessorOf = append(mapping.PredecessorOf, noNumber)
		}
		t.entries[n] = entry[R]{name: name, rules: rules[i], live: true}
		mapping.ByPosition[i] = n
		mapping.PredecessorOf[n] = predecessor
	}
	return mapping
}

// numberOf returns the number of the item with that name and those rules, or noNumber.
func (t *Table[R]) numberOf(name string, rules R) int {
	for n, e := range t.entries {
		if e.name == name && e.rules == rules {
			return n
		}
	}
	return noNumber
}

// lastNumberOf returns the number below limit that was assigned to name last, or noNumber.
func (t *Table[R]) lastNumberOf(name string, limit int) int {
	last := noNumber
	for n, e := range t.entries[:limit] {
		if e.name == name && (last == noNumber || e.reservedUntil.After(t.entries[last].reservedUntil)) {
			last = n
		}
	}
	return last
}

// freeNumber returns a number whose reservation has ended, or else the next new one.
func (t *Table[R]) freeNumber(now time.Time) int {
	for n, e := range t.entries {
		if !e.live && !e.reservedUntil.IsZero() && !now.Before(e.reservedUntil) {
			return n
		}
	}
	return len(t.entries)
}

// Len returns how many numbers are assigned or reserved.
func (t *Table[R]) Len() int { return len(t.entries) }

// Rules returns the name and the rules of number n, and whether they are in the current set of items.
func (t *Table[R]) Rules(n int) (name string, rules R, live bool) {
	e := t.entries[n]
	return e.name, e.rules, e.live
}
