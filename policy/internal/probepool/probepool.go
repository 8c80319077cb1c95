// Package probepool keeps the probe pool of asynchronous Prequal: the servers whose load was reported last, each for a
// limited time and a limited number of uses. What the loads are, and which server is better, its caller knows. It does no
// input or output, reads no clock and draws no random numbers; times are in milliseconds from any fixed origin.
package probepool

import "slices"

// Size is the most entries that a pool holds: the paper's m.
const Size = 16

const minEntries = 2 // entries that removal leaves: with fewer a request can't choose

// Pool is a probe pool over servers of type S. The zero value is an empty one. It is not safe for concurrent use.
type Pool[S comparable] struct {
	entries     []entry[S] // in order of receipt
	removalsDue float64    // removals
	dropWorst   bool       // by the next removal, rather than the oldest
}

// entry is one report.
type entry[S comparable] struct {
	server     S
	receivedAt float64 // of receipt
	usesLeft   int     // that are left
}

// Len is the number of entries.
func (p *Pool[S]) Len() int { return len(p.entries) }

// Add takes a report of the server's that came in at now and that may be used so many times. It replaces an earlier one of the
// same server, and the oldest one where the pool is full.
func (p *Pool[S]) Add(server S, now float64, uses int) {
	p.Remove(server)
	if len(p.entries) >= Size {
		p.entries = slices.Delete(p.entries, 0, 1)
	}
	p.entries = append(p.entries, entry[S]{server, now, uses})
}

// Remove drops the server's entry, if there is one.
func (p *Pool[S]) Remove(server S) {
	p.entries = slices.DeleteFunc(p.entries, func(e entry[S]) bool { return e.server == server })
}

// Expire drops the entries that are older than age at now.
func (p *Pool[S]) Expire(now, age float64) {
	p.entries = slices.DeleteFunc(p.entries, func(e entry[S]) bool { return now-e.receivedAt > age })
}

// Trim removes the oldest and the worst entry in turn, on average as many as due says: bad servers must not collect in the
// pool.
func (p *Pool[S]) Trim(due float64, better func(x, y S) bool) {
	for p.removalsDue += due; p.removalsDue >= 1; p.removalsDue-- {
		if len(p.entries) <= minEntries {
			continue
		}
		at := 0
		if p.dropWorst {
			at = p.worst(better)
		}
		p.entries = slices.Delete(p.entries, at, at+1)
		p.dropWorst = !p.dropWorst
	}
}

// worst is the place of the entry that every other one is better than.
func (p *Pool[S]) worst(better func(x, y S) bool) int {
	at := 0
	for i := range p.entries {
		if better(p.entries[at].server, p.entries[i].server) {
			at = i
		}
	}
	return at
}

// Best is the best server among the usable entries, and how many of those there are; with none it is the zero S.
func (p *Pool[S]) Best(usable func(S) bool, better func(x, y S) bool) (best S, usables int) {
	for _, e := range p.entries {
		if !usable(e.server) {
			continue
		}
		usables++
		if usables == 1 || better(e.server, best) {
			best = e.server
		}
	}
	return best, usables
}

// Use counts a use of the server's entry, which leaves with the last one.
func (p *Pool[S]) Use(server S) {
	for i := range p.entries {
		e := &p.entries[i]
		if e.server != server {
			continue
		}
		if e.usesLeft--; e.usesLeft <= 0 {
			p.Remove(server)
		}
		return
	}
}
