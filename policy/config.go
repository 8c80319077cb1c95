package policy

import (
	"errors"
	"fmt"
)

// Settings of the policy: classes of requests, tenants, what the fleet is and what work costs.

// Ms is a time or a duration in milliseconds; times count from any fixed origin.
type Ms = float64

// Idempotency says what may happen if a request runs twice.
type Idempotency uint8

// Safe requests may run any number of times, Keyed ones only where the repeat is recognised and
// dropped, Unsafe ones never.
const (
	Idempotent Idempotency = iota
	WithIdempotencyKey
	NonIdempotent
)

// KeyScope is the group of servers that drop a repeat of a Keyed request.
type KeyScope uint8

// The scopes of a repeat key.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective, Deadline Ms      // full worth until Aim; no client waits past Deadline
	PriorityWeight             float64 // worth of one answer in time
	LateWeight                 float64 // part of Worth that an answer after Aim still earns
	Idempotency                Idempotency
	KeyScope                   KeyScope // for Keyed
	KeyWindow                  Ms       // for Keyed: how long repeats are dropped
	Attempts                   int      // per request; 0 = Config.MaxAttempts
	Retired                    bool     // no further request is of it: only those that are open keep its rules
}

// Tenant is one sharer of the fleet.
type Tenant struct {
	Quota float64 // requests a second over all sidecars that are within its share
}

// Config is what a sidecar is told at its start.
type Config struct {
	Classes         []Class
	Tenants         []Tenant // may be empty
	OverQuotaWeight float64  // worth of a request beyond its tenant's share, as a part of the full one
	Instances       int      // sidecars in service, this one included
	Zone            int      // the sidecar's own zone

	SubscribeToList bool // the server list is sent only to those who subscribe
	Probes          bool // Probe is allowed
	Cancel          bool // Cancel is allowed
	MaxAttempts     int  // per request
	MaxRetryAfter   Ms   // longest advice a client follows; 0 = none is passed on
	Round           Ms   // least time between two looks at the events

	StartCapacity    float64 // least part of its capacity at which a server starts
	WarmUpTime       Ms      // and is fully warm by then
	OverloadMultiple float64 // of present capacity; more than this, for OverloadWindow, fells a cold server
	OverloadWindow   Ms
	CrossZoneCost    float64 // part of a request's worth that an attempt in another zone costs
	WastedWorkCost   float64 // the same for all work of the servers being in vain
	ProbeCost        float64 // the same for one probe

	ProbeValidity Ms // for so long after it was sent, a probe stands for a list that is not sure; see Event.Seen
}

// validate names what the module can't work with.
func (c *Config) validate() error {
	if len(c.Classes) == 0 {
		return errors.New("logic: no request classes")
	}
	for i, k := range c.Classes {
		if !(k.LatencyObjective > 0) || !(k.Deadline > 0) || k.Idempotency > NonIdempotent || k.KeyScope > ScopeCell || k.KeyWindow < 0 {
			return fmt.Errorf("logic: class %d is malformed: %+v", i, k)
		}
	}
	for _, v := range []float64{c.Round, c.WarmUpTime, c.OverloadWindow, c.StartCapacity, c.OverloadMultiple} {
		if !(v >= 0) {
			return fmt.Errorf("logic: negative or missing figure in %+v", *c)
		}
	}
	return nil
}
