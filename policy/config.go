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

// Idempotency says what may happen if a request runs twice.
type Idempotency uint8

// Idempotent requests may run any number of times, those with a key only where the repeat is recognised
// and dropped, the others never.
const (
	Idempotent Idempotency = iota
	WithIdempotencyKey
	NonIdempotent
)

// KeyScope is the group of servers that drop a repeat of a request WithIdempotencyKey.
type KeyScope uint8

// The scopes of an idempotency key.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective Ms      // an answer within it has its full value
	Deadline         Ms      // no client waits longer
	PriorityWeight   float64 // value of an answer within the objective
	LateWeight       float64 // part of PriorityWeight that a later answer still earns
	Idempotency      Idempotency
	KeyScope         KeyScope // with WithIdempotencyKey
	KeyWindow        Ms       // with WithIdempotencyKey: how long servers drop repeats
	Attempts         int      // per request; 0 = Config.MaxAttempts
	Retired          bool     // no further request is of it: only those that are open keep its rules
}

// Tenant is one sharer of the fleet.
type Tenant struct {
	Quota float64 // requests a second over all sidecars that are within its quota
}

// Config is the settings of a Balancer.
type Config struct {
	Classes         []Class
	Tenants         []Tenant // may be empty
	OverQuotaWeight float64  // value of a request beyond its tenant's quota, as a part of the full one
	Instances       int      // sidecars in service, this one included
	Zone            int      // the sidecar's own zone

	SubscribeToList bool // the server list is sent only to those who subscribe
	Probes          bool // SendProbe is allowed
	Cancel          bool // CancelAttempt is allowed
	MaxAttempts     int  // per request
	MaxRetryAfter   Ms   // longest advice that a client follows; 0 = none is passed on
	Round           Ms   // least time between two looks at the events

	StartCapacity    float64 // least part of its capacity at which a server starts
	WarmUpTime       Ms      // after which it has all of it
	OverloadMultiple float64 // times its present capacity that, for OverloadWindow, overload a cold server
	OverloadWindow   Ms
	CrossZoneCost    float64 // part of a request's value that an attempt in another zone costs
	WastedWorkCost   float64 // the same for all work of the servers being in vain
	ProbeCost        float64 // the same for one probe

	ProbeValidity Ms // for so long after it was sent, a probe stands for a stale list; see Event.ProbeSentAt
}

// validate returns an error that names the first setting that the policy can't work with.
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
		if !(setting.value >= 0) { // NaN is refused, too
			return fmt.Errorf("policy: negative or missing %s: %v", setting.name, setting.value)
		}
	}
	return nil
}

func (c *Class) isValid() bool {
	return c.LatencyObjective > 0 && c.Deadline > 0 && c.Idempotency <= NonIdempotent && c.KeyScope <= ScopeCell && !(c.KeyWindow < 0)
}

// withDefaults returns a copy in which what may be missing is filled in.
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

// minObjective is the tightest latency objective of the classes in use.
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
