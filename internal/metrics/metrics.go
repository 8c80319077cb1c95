// Package metrics counts what a sidecar does, once, where it happens, for whoever wants to read it. It does no input or
// output and reads no clock.
package metrics

import (
	"maps"
	"sync"
)

// Outcome is how an accepted request has ended.
type Outcome uint8

// The outcomes. Of a request whose client has gone nothing is counted but that it is over.
const (
	ClientGone Outcome = iota
	Success
	Overload
	Error
)

// Values are the counts, in the form in which operators read them. The first three are by class.
type Values struct {
	Success         map[string]int `json:"success"`
	Overload        map[string]int `json:"overload"`
	Error           map[string]int `json:"error"`
	Dispatches      int            `json:"dispatches"` // attempts written whole to servers
	Concurrent      int            `json:"concurrent"` // requests accepted and not ended
	Targets         int            `json:"targets"`    // servers in the list
	TargetsDisabled int            `json:"targets_disabled"`
	ReloadSuccess   int            `json:"reload_success"`
	ReloadFailure   int            `json:"reload_failure"`
}

// Registry counts. It is safe for concurrent use; the zero value is ready to use.
type Registry struct {
	mu     sync.Mutex
	values Values
}

// Classes makes sure that these classes have counts, if only 0. Those of others remain.
func (r *Registry) Classes(names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, counts := range []*map[string]int{&r.values.Success, &r.values.Overload, &r.values.Error} {
		if *counts == nil {
			*counts = map[string]int{}
		}
		for _, name := range names {
			(*counts)[name] += 0
		}
	}
}

// Request is an accepted request.
type Request struct {
	registry *Registry
	class    string
	once     sync.Once
}

// RequestStarted counts a request of that class, which is under way until End.
func (r *Registry) RequestStarted(class string) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values.Concurrent++
	return &Request{registry: r, class: class}
}

// End counts how the request has ended. Only the first call counts.
func (r *Request) End(how Outcome) {
	r.once.Do(func() {
		registry := r.registry
		registry.mu.Lock()
		defer registry.mu.Unlock()
		registry.values.Concurrent--
		switch how {
		case Success:
			registry.values.Success[r.class]++
		case Overload:
			registry.values.Overload[r.class]++
		case Error:
			registry.values.Error[r.class]++
		}
	})
}

// AttemptSent counts an attempt whose last byte is written.
func (r *Registry) AttemptSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values.Dispatches++
}

// SetTargets notes how many servers the list has, and how many of those are ejected or cordoned.
func (r *Registry) SetTargets(listed, disabled int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values.Targets = listed
	r.values.TargetsDisabled = disabled
}

// ConfigReloaded counts a file that was accepted, or rejected.
func (r *Registry) ConfigReloaded(accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if accepted {
		r.values.ReloadSuccess++
	} else {
		r.values.ReloadFailure++
	}
}

// Read returns a copy of the counts.
func (r *Registry) Read() Values {
	r.mu.Lock()
	defer r.mu.Unlock()
	values := r.values
	values.Success = maps.Clone(values.Success)
	values.Overload = maps.Clone(values.Overload)
	values.Error = maps.Clone(values.Error)
	return values
}

// Sum adds up a count over its classes.
func Sum(byClass map[string]int) (total int) {
	for _, n := range byClass {
		total += n
	}
	return total
}
