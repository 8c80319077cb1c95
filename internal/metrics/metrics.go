// Package metrics counts the requests, attempts, servers and reloads of a sidecar. Each event is counted in one place, where it
// happens. The package does no input or output and reads no clock.
package metrics

import (
	"maps"
	"sync"
)

// Outcome is the outcome of an accepted request.
type Outcome uint8

// The outcomes. ClientGone increments no counter: the request only ceases to be concurrent.
const (
	ClientGone Outcome = iota
	Success
	Overload
	Error
)

// Values holds the metrics under the names that operators read. The keys of its maps are names of classes.
type Values struct {
	Success         map[string]int `json:"success"`
	Overload        map[string]int `json:"overload"`
	Error           map[string]int `json:"error"`
	Dispatches      int            `json:"dispatches"`       // attempts whose last byte was written to a server
	Concurrent      int            `json:"concurrent"`       // accepted requests that have not ended
	Targets         int            `json:"targets"`          // listed servers
	TargetsDisabled int            `json:"targets_disabled"` // listed servers that are ejected or cordoned
	ReloadSuccess   int            `json:"reload_success"`
	ReloadFailure   int            `json:"reload_failure"`
}

// Registry holds the metrics. It is safe for concurrent use. A class has to be added by InitClasses before its requests end.
type Registry struct {
	mu     sync.Mutex
	values Values
}

// InitClasses adds counts of 0 for classes that have none yet. Other counts stay as they are.
func (r *Registry) InitClasses(names ...string) {
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

// Request is an accepted request, counted as concurrent until End is called.
type Request struct {
	registry *Registry
	class    string
	once     sync.Once
}

// RequestStarted returns a request of the given class, which counts as concurrent until its End is called.
func (r *Registry) RequestStarted(class string) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values.Concurrent++
	return &Request{registry: r, class: class}
}

// End counts the outcome of the request. Only the first call has an effect.
func (r *Request) End(outcome Outcome) {
	r.once.Do(func() {
		registry := r.registry
		registry.mu.Lock()
		defer registry.mu.Unlock()
		registry.values.Concurrent--
		switch outcome {
		case Success:
			registry.values.Success[r.class]++
		case Overload:
			registry.values.Overload[r.class]++
		case Error:
			registry.values.Error[r.class]++
		}
	})
}

// AttemptSent counts an attempt whose last byte was written.
func (r *Registry) AttemptSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values.Dispatches++
}

// SetTargets sets the number of listed servers, and how many of those are ejected or cordoned.
func (r *Registry) SetTargets(listed, disabled int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values.Targets = listed
	r.values.TargetsDisabled = disabled
}

// ConfigReloaded counts a reload of the configuration file that was accepted or rejected.
func (r *Registry) ConfigReloaded(accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if accepted {
		r.values.ReloadSuccess++
	} else {
		r.values.ReloadFailure++
	}
}

// Read returns a copy of the metrics.
func (r *Registry) Read() Values {
	r.mu.Lock()
	defer r.mu.Unlock()
	values := r.values
	values.Success = maps.Clone(values.Success)
	values.Overload = maps.Clone(values.Overload)
	values.Error = maps.Clone(values.Error)
	return values
}

// Sum returns the sum of a count over all classes.
func Sum(byClass map[string]int) (total int) {
	for _, n := range byClass {
		total += n
	}
	return total
}
