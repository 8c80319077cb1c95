package emulator

import "plankrouter/policy"

// event is a function that is scheduled for a time.
type event struct {
	time policy.Ms
	seq  uint64 // order of scheduling, by which events of the same time run
	act  func()
}

func (e *event) before(o *event) bool { return e.time < o.time || e.time == o.time && e.seq < o.seq }

// schedule is the virtual clock and the queue of events in order of time. It does not use container/heap, which would
// allocate for every event. The heap is 4-ary, since it holds some 100,000 events, most of them timers that have become
// irrelevant when they are due.
type schedule struct {
	now       policy.Ms
	seq       uint64
	processed uint64 // number of events so far
	heap      []event
}

// at schedules do for time t, or for the present time if t has passed.
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

// next removes the earliest event, sets the clock to its time and returns its function.
func (s *schedule) next() func() {
	h := s.heap
	first, last := h[0], h[len(h)-1]
	h[len(h)-1] = event{} // releases the closure for garbage collection
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
