package config

import (
	"fmt"
	"slices"

	"plankrouter/internal/loadreport"
	"plankrouter/policy"
)

// discoveryPushed is the value of Discovery for a list that is sent to an agent on the own machine.
const discoveryPushed = "pushed"

// idempotencies are the values of Repeat.
var idempotencies = map[string]policy.Idempotency{
	Pure:          policy.Idempotent,
	"token":       policy.WithIdempotencyKey,
	"side_effect": policy.NonIdempotent,
}

// keyScopes are the values of KeyScope.
var keyScopes = map[string]policy.KeyScope{"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}

// PolicyConfig maps the settings' keys to the policy's terms.
func (s *Settings) PolicyConfig() (policy.Config, error) {
	cfg := policy.Config{
		OverQuotaWeight: s.OverShareWorth, Instances: s.Balancers, Zone: s.Locality,
		Probes: s.Limits.Probes, Cancel: s.Limits.MayCancel, MaxAttempts: s.Limits.MaxAttempts,
		Round:         s.RoundMs,
		StartCapacity: s.Safety.StartCapacity, WarmUpTime: s.Safety.WarmWithinMs,
		OverloadMultiple: s.Safety.TipMultiple, OverloadWindow: s.Safety.FallMs,
		CrossZoneCost: s.Prices.CrossZone, WastedWorkCost: s.Prices.Waste, ProbeCost: s.Prices.Probe,
	}
	cfg.MaxRetryAfter = s.Limits.MaxRetryAfterMs // always: where clients do not get a Retry-After it does no harm
	switch s.Discovery {
	case "on_request":
		cfg.SubscribeToList = true
	case discoveryPushed:
	default:
		return cfg, unknownValue("Discovery", s.Discovery)
	}
	for i, c := range s.Classes {
		class, err := c.policyClass(fmt.Sprintf("RequestClasses[%d].", i))
		if err != nil {
			return cfg, err
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	for _, tenant := range s.Realms {
		cfg.Tenants = append(cfg.Tenants, policy.Tenant{Quota: tenant.QuotaPerS})
	}
	return cfg, nil
}

// policyClass maps the class's keys to the policy's terms. Errors begin with prefix and the key.
func (c Class) policyClass(prefix string) (policy.Class, error) {
	class := policy.Class{
		LatencyObjective: c.AimMs, Deadline: c.HardLimitMs, PriorityWeight: c.Credit, LateWeight: c.LateWorth,
		KeyWindow: c.MemorySpanMs, Attempts: c.Attempts, Retired: c.Retired,
	}
	var known bool
	if class.Idempotency, known = idempotencies[c.Repeat]; !known {
		return class, unknownValue(prefix+"Repeat", c.Repeat)
	}
	if class.KeyScope, known = keyScopes[c.KeyScope]; !known && class.Idempotency == policy.WithIdempotencyKey {
		return class, unknownValue(prefix+"KeyScope", c.KeyScope)
	}
	return class, nil
}

// unknownValue is the error for a key whose value is none of its words.
func unknownValue(key, value string) error { return fmt.Errorf("%s: unknown word %q", key, value) }

// IsComplete reports whether a load report has what the policy can't do without, where the deployment's reports have it: a server
// that has just started may have no latency to report, but it knows what it has in flight.
func (s *Settings) IsComplete(r policy.Report) bool {
	return r.HasRIF || !slices.Contains(loadreport.Fields(s.Report.Names), loadreport.RIF)
}
