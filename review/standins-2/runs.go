package main

import (
	"strings"
	"sync"
	"time"
)

// runs counts how often each order has run.
type runs struct {
	rig  *rig
	work time.Duration

	mu    sync.Mutex
	count map[string]int
}

func newRuns(r *rig, work time.Duration) *runs {
	return &runs{rig: r, work: work, count: map[string]int{}}
}

// service is a tile server's: a cancel stops nothing.
func (r *runs) service(s *tileServer, a arrival) string {
	if strings.HasPrefix(a.id, "order") {
		r.mu.Lock()
		r.count[a.id]++
		n := r.count[a.id]
		r.mu.Unlock()
		r.rig.note("run %s at %s, run %d", a.id, s.id, n)
	}
	time.Sleep(r.work)
	return "done " + a.id
}

// judge returns broken if an order has run twice.
func (r *runs) judge() (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	twice := 0
	for _, n := range r.count {
		if n > 1 {
			twice++
		}
	}
	r.rig.note("orders that ran: %d, more than once: %d", len(r.count), twice)
	if twice > 0 {
		return broken, nil
	}
	return held, nil
}
