// Package probepool is the probe pool of asynchronous Prequal: the servers that have reported their load most recently,
// each for a limited time and a limited number of uses. The loads themselves, and the order of servers by them, are left to
// the caller. The package does no input or output, reads no clock and draws no random numbers; times are in milliseconds from
// any fixed origin.
package probepool

import "slices"

// Size is the maximum number of entries in a pool; m in the Prequal paper.
const Size = 16

const minEntries = 2 // entries that Trim leaves in the pool: with fewer there is no choice

// Pool is a probe pool of servers of type S. The zero value is an empty pool. It is not safe for concurrent use.
type Pool[S comparable] struct {
	entries     []entry[S] // in order of receipt
	removalsDue float64    // entries that Trim still has to remove; the fraction carries over to the next call
	dropWorst   bool       // the next removal by Trim is of the worst entry instead of the oldest
}

// entry is one load report.
type entry[S comparable] struct {
	server     S
	receivedAt float64 // time of receipt
	usesLeft   int     // number of requests that may still use it
}

// Len returns the number of entries.
func (p *Pool[S]) Len() int { return len(p.entries) }

// Add adds an entry for a report that was received from the server at now and may be used the given number of times. It
// replaces the server's earlier entry, if there is one, and otherwise the oldest entry if the pool is full.
func (p *Pool[S]) Add(server S, now float64, uses int) {
	p.Remove(server)
	if len(p.entries) >= Size {
		p.entries = slices.Delete(p.entries, 0, 1)
	}
	p.entries = append(p.entries, entry[S]{server, now, uses})
}

// Remove removes the server's entry, if there is one.
func (p *Pool[S]) Remove(server S) {
	p.entries = slices.DeleteFunc(p.entries, func(e entry[S]) bool { return e.server == server })
}

// Expire removes the entries that are older than age at now.
func (p *Pool[S]) Expire(now, age float64) {
	p.entries = slices.DeleteFunc(p.entries, func(e entry[S]) bool { return now-e.receivedAt > age })
}

// Trim removes due entries on average, alternately the oldest and the worst, so that bad servers do not accumulate in the pool.
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

// worst returns the index of the worst entry.
func (p *Pool[S]) worst(better func(x, y S) bool) int {
	at := 0
	for i := range p.entries {
		if better(p.entries[at].server, p.entries[i].server) {
			at = i
		}
	}
	return at
}

// Best returns the best server among the usable entries, or the zero S if there is none, and the number of usable entries.
func (p *Pool[S]) Best(usable func(S) bool, better func(x, y S) bool) (best S, count int) {
	for _, e := range p.entries {
		if !usable(e.server) {
			continue
		}
		count++
		if count == 1 || better(e.server, best) {
			best = e.server
		}
	}
	return best, count
}

// Use counts a use of the server's entry, and removes the entry after its last use.
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
