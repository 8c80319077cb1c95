package plankrouter

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"plankrouter/internal/endpoints"
	"plankrouter/policy"
)

const (
	defaultConnections       = 256
	defaultConnectTimeout    = 150 * time.Millisecond
	defaultServerIdleTimeout = time.Minute
	defaultDrainGrace        = 750 * time.Millisecond
	defaultMaxRetryAfter     = time.Second
	defaultMaxAttempts       = 3
)

// policyRoundMs is the time, in ms, within which the policy handles an event on a machine that is not overloaded. A request
// that is still pending gets its outcome a little more than twice this time before its deadline, so as not to miss it.
const policyRoundMs = 1.0

// validate fills in defaults and returns an *OptionError for the first invalid option.
func (o *Options) validate() error {
	for _, check := range []func() error{
		o.validateClasses, o.validateTenants, o.validateFractions, o.validateDurations, o.validateCounts, o.SlowStart.validate,
		o.validateDiscovery, o.validateConnectionLimit,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	_, err := toEndpointList(o.Endpoints, true)
	return withOptionPrefix("Endpoints", err)
}

func (o *Options) validateClasses() error {
	if len(o.Classes) == 0 {
		o.Classes = []Class{{Name: "default", LatencyObjective: time.Second, Deadline: 10 * time.Second}}
	}
	o.Classes = slices.Clone(o.Classes) // the application's slice is not modified
	seen := map[string]bool{}
	for i := range o.Classes {
		c := &o.Classes[i]
		c.PriorityWeight = cmp.Or(c.PriorityWeight, 1)
		option := fmt.Sprintf("Classes[%d]", i)
		switch {
		case c.Name == "" || seen[c.Name]:
			return optionErrorf(option+".Name", "%q is empty or a duplicate", c.Name)
		case c.LatencyObjective <= 0:
			return optionErrorf(option+".LatencyObjective", "%s is not above 0", c.LatencyObjective)
		case c.Deadline < c.LatencyObjective:
			return optionErrorf(option+".Deadline", "%s is shorter than the latency objective, %s", c.Deadline, c.LatencyObjective)
		case !isPositive(c.PriorityWeight):
			return optionErrorf(option+".PriorityWeight", "%g is not above 0", c.PriorityWeight)
		case c.Idempotency > NonIdempotent:
			return optionErrorf(option+".Idempotency", "%d is neither Idempotent nor NonIdempotent", c.Idempotency)
		}
		seen[c.Name] = true
	}
	return nil
}

func (o *Options) validateTenants() error {
	seen := map[string]bool{}
	for i, t := range o.Tenants {
		switch {
		case t.Name == "" || seen[t.Name]:
			return optionErrorf(fmt.Sprintf("Tenants[%d].Name", i), "%q is empty or a duplicate", t.Name)
		case !isPositive(t.QuotaPerSecond):
			return optionErrorf(fmt.Sprintf("Tenants[%d].QuotaPerSecond", i), "%g is not above 0", t.QuotaPerSecond)
		}
		seen[t.Name] = true
	}
	return nil
}

// isPositive reports whether v is a finite number above 0.
func isPositive(v float64) bool { return v > 0 && !math.IsInf(v, 1) }

func (o *Options) validateFractions() error {
	for _, f := range []struct {
		option string
		value  float64
	}{
		{"CrossZoneCost", o.CrossZoneCost},
		{"WastedWorkCost", o.WastedWorkCost},
		{"OverQuotaWeight", o.OverQuotaWeight},
	} {
		if !(f.value >= 0 && f.value <= 1) {
			return optionErrorf(f.option, "%g is not between 0 and 1", f.value)
		}
	}
	return nil
}

func (o *Options) validateDurations() error {
	for _, d := range []struct {
		option string
		value  *time.Duration
		preset time.Duration
	}{
		{"ConnectTimeout", &o.ConnectTimeout, defaultConnectTimeout},
		{"ServerIdleTimeout", &o.ServerIdleTimeout, defaultServerIdleTimeout},
		{"DrainGrace", &o.DrainGrace, defaultDrainGrace},
		{"MaxRetryAfter", &o.MaxRetryAfter, defaultMaxRetryAfter},
	} {
		if *d.value < 0 {
			return optionErrorf(d.option, "%s is negative", *d.value)
		}
		*d.value = cmp.Or(*d.value, d.preset)
	}
	return nil
}

func (o *Options) validateCounts() error {
	for _, n := range []struct {
		option string
		value  *int
		preset int
	}{
		{"Instances", &o.Instances, 1},
		{"MaxAttempts", &o.MaxAttempts, defaultMaxAttempts},
	} {
		if *n.value < 0 {
			return optionErrorf(n.option, "%d is negative", *n.value)
		}
		*n.value = cmp.Or(*n.value, n.preset)
	}
	return nil
}

// validate accepts the zero value, with which servers have their full capacity at once.
func (s *SlowStart) validate() error {
	switch {
	case *s == SlowStart{}:
		return nil
	case !(s.StartCapacity > 0 && s.StartCapacity <= 1):
		return optionErrorf("SlowStart.StartCapacity", "%g is not above 0 and at most 1", s.StartCapacity)
	case s.WarmUpTime <= 0:
		return optionErrorf("SlowStart.WarmUpTime", "%s is not above 0", s.WarmUpTime)
	case !(s.OverloadMultiple > 1) || math.IsInf(s.OverloadMultiple, 1):
		return optionErrorf("SlowStart.OverloadMultiple", "%g is not above 1", s.OverloadMultiple)
	case s.OverloadWindow <= 0:
		return optionErrorf("SlowStart.OverloadWindow", "%s is not above 0", s.OverloadWindow)
	}
	return nil
}

func (o *Options) validateDiscovery() error {
	if o.Discovery != "" && !hasPort(o.Discovery) {
		return optionErrorf("Discovery", "%q is not host:port", o.Discovery)
	}
	return nil
}

// hasPort reports whether address is host:port.
func hasPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port != ""
}

func (o *Options) validateConnectionLimit() error {
	if o.ConnectionLimit == nil {
		o.ConnectionLimit = NewConnectionLimit(defaultConnections, nil)
	}
	if o.ConnectionLimit.budget == nil {
		return optionErrorf("ConnectionLimit", "not created by NewConnectionLimit")
	}
	return nil
}

// withOptionPrefix prepends prefix to the option's name in err, if it is an *OptionError.
func withOptionPrefix(prefix string, err error) error {
	var invalid *OptionError
	if errors.As(err, &invalid) {
		invalid.Option = prefix + invalid.Option
	}
	return err
}

// toEndpointList converts endpoints to the dispatcher's type; complete says that they are the whole list. In its error, an
// *OptionError, the option is an index and a field, such as "[1].ID".
func toEndpointList(in []Endpoint, complete bool) (endpoints.List, error) {
	list := endpoints.List{Complete: complete}
	seen := map[string]bool{}
	for i, e := range in {
		id := cmp.Or(e.ID, e.Address)
		phase, known := phases[e.Phase]
		switch {
		case !known:
			return list, optionErrorf(fmt.Sprintf("[%d].Phase", i), "%d is none of Serving, Draining and Gone", e.Phase)
		case id == "" || seen[id]:
			return list, optionErrorf(fmt.Sprintf("[%d].ID", i), "%q is empty or a duplicate", id)
		case e.Phase == Serving && !hasPort(e.Address):
			return list, optionErrorf(fmt.Sprintf("[%d].Address", i), "%q is not host:port", e.Address)
		}
		seen[id] = true
		listed := endpoints.Endpoint{ID: id, Address: e.Address, Zone: e.Zone, Phase: phase}
		if !e.StartedAt.IsZero() {
			listed.StartedAt = float64(e.StartedAt.UnixMicro()) / 1e3
		}
		list.Endpoints = append(list.Endpoints, listed)
	}
	return list, nil
}

var phases = map[Phase]string{Serving: endpoints.Serving, Draining: endpoints.Draining, Gone: endpoints.Deleted}

// policyConfig converts the options to the policy's configuration.
func (o *Options) policyConfig() policy.Config {
	cfg := policy.Config{
		Instances:        o.Instances,
		Probes:           o.Probes,
		Cancel:           true,
		MaxAttempts:      o.MaxAttempts,
		MaxRetryAfter:    toMs(o.MaxRetryAfter),
		Round:            policyRoundMs,
		StartCapacity:    o.SlowStart.StartCapacity,
		WarmUpTime:       toMs(o.SlowStart.WarmUpTime),
		OverloadMultiple: o.SlowStart.OverloadMultiple,
		OverloadWindow:   toMs(o.SlowStart.OverloadWindow),
		CrossZoneCost:    o.CrossZoneCost,
		WastedWorkCost:   o.WastedWorkCost,
		OverQuotaWeight:  o.OverQuotaWeight,
	}
	for _, c := range o.Classes {
		class := policy.Class{
			LatencyObjective: toMs(c.LatencyObjective), Deadline: toMs(c.Deadline), PriorityWeight: c.PriorityWeight,
		}
		if c.Idempotency == NonIdempotent {
			class.Idempotency = policy.NonIdempotent
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	for _, t := range o.Tenants {
		cfg.Tenants = append(cfg.Tenants, policy.Tenant{Quota: t.QuotaPerSecond})
	}
	return cfg
}

// toMs converts a duration to milliseconds, the policy's unit.
func toMs(d time.Duration) policy.Ms { return float64(d) / float64(time.Millisecond) }
