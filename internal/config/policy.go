package config

import (
	"fmt"
	"slices"

	"plankrouter/internal/loadreport"
	"plankrouter/policy"
)

// discoveryPushed is the value of Discovery for an endpoint list that is pushed to an agent on this machine.
const discoveryPushed = "pushed"

// idempotencies maps the values of Repeat.
var idempotencies = map[string]policy.Idempotency{
	Pure:          policy.Idempotent,
	"token":       policy.WithIdempotencyKey,
	"side_effect": policy.NonIdempotent,
}

// keyScopes maps the values of KeyScope.
var keyScopes = map[string]policy.KeyScope{"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}

// PolicyConfig maps the settings to the policy's configuration. Its error begins with the invalid key.
func (s *Settings) PolicyConfig() (policy.Config, error) {
	cfg := policy.Config{
		OverQuotaWeight: s.OverShareWorth, Instances: s.Balancers, Zone: s.Locality,
		Probes: s.Limits.Probes, Cancel: s.Limits.MayCancel, MaxAttempts: s.Limits.MaxAttempts,
		Round:         s.RoundMs,
		StartCapacity: s.Safety.StartCapacity, WarmUpTime: s.Safety.WarmWithinMs,
		OverloadMultiple: s.Safety.TipMultiple, OverloadWindow: s.Safety.FallMs,
		CrossZoneCost: s.Prices.CrossZone, WastedWorkCost: s.Prices.Waste, ProbeCost: s.Prices.Probe,
	}
	cfg.MaxRetryAfter = s.Limits.MaxRetryAfterMs // always set: it has no effect if clients don't receive a Retry-After
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

// policyClass maps the class to the policy's. Its error begins with prefix and the invalid key.
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

// unknownValue returns the error for a key whose value is not one of the values defined for it.
func unknownValue(key, value string) error { return fmt.Errorf("%s: unknown value %q", key, value) }

// IsComplete reports whether a load report has the RIF, or the deployment's load reports don't include it. The policy
// needs the RIF; other values may be missing, since a server that has just started may have no latency to report.
func (s *Settings) IsComplete(r policy.Report) bool {
	return r.HasRIF || !slices.Contains(loadreport.Fields(s.Report.Names), loadreport.RIF)
}
