package policy

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// Ms is a time or a duration in milliseconds; times count from any fixed origin.
type Ms = float64

// Idempotency says whether a request may run more than once.
type Idempotency uint8

// The kinds of idempotency. Idempotent requests may run any number of times. A request WithIdempotencyKey may be repeated
// only at servers that recognise and drop the repeat. A NonIdempotent request may never run twice.
const (
	Idempotent Idempotency = iota
	WithIdempotencyKey
	NonIdempotent
)

// KeyScope is the group of servers that recognise a repeat of a request WithIdempotencyKey and drop it.
type KeyScope uint8

// The scopes of an idempotency key.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective Ms      // a response within it has its full value
	Deadline         Ms      // longest time that a client waits
	PriorityWeight   float64 // value of a response within the objective
	LateWeight       float64 // value of a later response, as a fraction of PriorityWeight
	Idempotency      Idempotency
	KeyScope         KeyScope // only for WithIdempotencyKey
	KeyWindow        Ms       // only for WithIdempotencyKey: how long servers drop repeats
	Attempts         int      // maximum attempts per request; 0 = Config.MaxAttempts
	Retired          bool     // no longer in the settings: only its requests that are still open use it
}

// Tenant is one of the customers that share the fleet.
type Tenant struct {
	Quota float64 // requests per second, summed over all sidecars
}

// Config is the settings of a Balancer.
type Config struct {
	Classes         []Class
	Tenants         []Tenant // may be empty
	OverQuotaWeight float64  // value of a request beyond its tenant's quota, as a fraction of its full value
	Instances       int      // sidecars in service, including this one
	Zone            int      // the sidecar's own zone

	SubscribeToList bool // the server list has to be subscribed to, by a Subscribe action
	Probes          bool // SendProbe is allowed
	Cancel          bool // CancelAttempt is allowed
	MaxAttempts     int  // maximum attempts per request, for classes that set none
	MaxRetryAfter   Ms   // longest Retry-After that clients follow; 0 = none is sent
	Round           Ms   // shortest interval between two batches of events that the sidecar processes

	StartCapacity    float64 // lowest fraction of its full capacity that a server has when it starts
	WarmUpTime       Ms      // time from its start until a server has its full capacity; 0 = no slow start
	OverloadMultiple float64 // multiple of a starting server's current capacity that overloads it within OverloadWindow
	OverloadWindow   Ms
	CrossZoneCost    float64 // cost of an attempt in another zone, as a fraction of a request's value
	WastedWorkCost   float64 // cost if all work of the servers is wasted, as a fraction of a request's value
	ProbeCost        float64 // cost of one probe, as a fraction of a request's value

	ProbeValidity Ms // how long a probe, from when it was sent, proves that its server is in service while the list is stale
}

// validate returns an error that names the first invalid setting.
func (c *Config) validate() error {
	if len(c.Classes) == 0 {
		return errors.New("policy: no request classes")
	}
	for i := range c.Classes {
		if !c.Classes[i].isValid() {
			return fmt.Errorf("policy: class %d is malformed: %+v", i, c.Classes[i])
		}
	}
	for _, setting := range []struct {
		name  string
		value float64
	}{
		{"Round", c.Round},
		{"WarmUpTime", c.WarmUpTime},
		{"OverloadWindow", c.OverloadWindow},
		{"StartCapacity", c.StartCapacity},
		{"OverloadMultiple", c.OverloadMultiple},
	} {
		if !(setting.value >= 0) { // also true for NaN
			return fmt.Errorf("policy: negative or missing %s: %v", setting.name, setting.value)
		}
	}
	return nil
}

func (c *Class) isValid() bool {
	return c.LatencyObjective > 0 && c.Deadline > 0 && c.Idempotency <= NonIdempotent && c.KeyScope <= ScopeCell && !(c.KeyWindow < 0)
}

// withDefaults returns a copy with defaults for the settings that may be missing.
func (c *Config) withDefaults() Config {
	filled := *c
	filled.Instances = max(1, c.Instances)
	filled.Classes = slices.Clone(c.Classes)
	for i := range filled.Classes {
		class := &filled.Classes[i]
		class.Attempts = max(1, cmp.Or(class.Attempts, c.MaxAttempts))
	}
	return filled
}

// minObjective returns the tightest latency objective of the classes in use.
func (c *Config) minObjective() Ms {
	tightest := math.Inf(1)
	for _, class := range c.Classes {
		if !class.Retired {
			tightest = min(tightest, class.LatencyObjective)
		}
	}
	return tightest
}

func (c *Config) objectives() []Ms {
	var objectives []Ms
	for _, class := range c.Classes {
		objectives = append(objectives, class.LatencyObjective)
	}
	return objectives
}

func (c *Config) totalQuota() float64 {
	total := 0.0
	for _, tenant := range c.Tenants {
		total += tenant.Quota
	}
	return total
}
