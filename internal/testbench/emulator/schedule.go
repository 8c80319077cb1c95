package emulator

import "plankrouter/policy"

// event is something that is due.
type event struct {
	time policy.Ms
	seq  uint64 // of two for the same moment the one entered first is due first
	act  func()
}

func (e *event) before(o *event) bool { return e.time < o.time || e.time == o.time && e.seq < o.seq }

// schedule is virtual time: what is due, in order. It is a heap of its own, since container/heap would box every event,
// and four wide, since a world holds some 100,000 of them and most are timers that matter no more when they are due.
type schedule struct {
	now       policy.Ms
	seq       uint64
	processed uint64 // events so far
	heap      []event
}

// at schedules act for time t, or for now if that has passed.
func (s *schedule) at(t policy.Ms, do func()) {
	s.seq++
	e := event{max(t, s.now), s.seq, do}
	s.heap = append(s.heap, e)
	h, i := s.heap, len(s.heap)-1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&h[up]) {
			break
		}
		h[i], i = h[up], up
	}
	h[i] = e
}

func (s *schedule) after(d policy.Ms, do func()) { s.at(s.now+d, do) }

// next removes the event that is due first and makes its time the present.
func (s *schedule) next() func() {
	h := s.heap
	first, last := h[0], h[len(h)-1]
	h[len(h)-1] = event{} // else its closure would be kept
	h = h[:len(h)-1]
	s.heap = h
	for i := 0; len(h) > 0; {
		earliest := -1
		for c := 4*i + 1; c < min(4*i+5, len(h)); c++ {
			if earliest < 0 || h[c].before(&h[earliest]) {
				earliest = c
			}
		}
		if earliest < 0 || !h[earliest].before(&last) {
			h[i] = last
			break
		}
		h[i], i = h[earliest], earliest
	}
	s.now = first.time
	s.processed++
	return first.act
}
