// Package metrics counts what a sidecar does, once, where it happens, for whoever wants to read it. It does no input or
// output and reads no clock.
package metrics

import (
	"maps"
	"sync"
)

// Outcome is how a request that was taken has ended.
type Outcome uint8

// The outcomes. Of one that its consumer left nothing is counted but that it is over.
const (
	Left Outcome = iota
	Success
	Overload
	Error
)

// Values are the counts, in the form in which operators read them. The first three are by class.
type Values struct {
	Success         map[string]int `json:"success"`
	Overload        map[string]int `json:"overload"`
	Error           map[string]int `json:"error"`
	Dispatches      int            `json:"dispatches"` // attempts written whole to providers
	Concurrent      int            `json:"concurrent"` // requests taken and not ended
	Targets         int            `json:"targets"`    // providers in the list
	TargetsDisabled int            `json:"targets_disabled"`
	ReloadSuccess   int            `json:"reload_success"`
	ReloadFailure   int            `json:"reload_failure"`
}

// Registry is where they are counted. It is safe for concurrent use; the zero value counts.
type Registry struct {
	mu  sync.Mutex
	now Values
}

// Classes makes sure that these classes have counts, if only 0. Those of others stay.
func (b *Registry) Classes(names ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, counts := range []*map[string]int{&b.now.Success, &b.now.Overload, &b.now.Error} {
		if *counts == nil {
			*counts = map[string]int{}
		}
		for _, name := range names {
			(*counts)[name] += 0
		}
	}
}

// Request is one that was taken.
type Request struct {
	book  *Registry
	class string
	once  sync.Once
}

// RequestStarted counts a request of that class, which is under way until End.
func (b *Registry) RequestStarted(class string) *Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now.Concurrent++
	return &Request{book: b, class: class}
}

// End counts how the request has ended. Only the first call counts.
func (r *Request) End(how Outcome) {
	r.once.Do(func() {
		b := r.book
		b.mu.Lock()
		defer b.mu.Unlock()
		b.now.Concurrent--
		switch how {
		case Success:
			b.now.Success[r.class]++
		case Overload:
			b.now.Overload[r.class]++
		case Error:
			b.now.Error[r.class]++
		}
	})
}

// AttemptSent counts an attempt whose last byte is written.
func (b *Registry) AttemptSent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now.Dispatches++
}

// SetTargets notes how many providers the list has, and how many of those are left out.
func (b *Registry) SetTargets(listed, disabled int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now.Targets, b.now.TargetsDisabled = listed, disabled
}

// ConfigReloaded counts a file that was taken, or turned down.
func (b *Registry) ConfigReloaded(taken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if taken {
		b.now.ReloadSuccess++
	} else {
		b.now.ReloadFailure++
	}
}

// Read returns a copy of the figures as they are.
func (b *Registry) Read() Values {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.now
	out.Success, out.Overload, out.Error = maps.Clone(out.Success), maps.Clone(out.Overload), maps.Clone(out.Error)
	return out
}

// Sum adds up a count over its classes.
func Sum(byClass map[string]int) (n int) {
	for _, k := range byClass {
		n += k
	}
	return n
}
