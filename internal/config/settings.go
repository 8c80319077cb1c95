package config

import (
	"fmt"
	"plankrouter/internal/loadreport"
	"plankrouter/policy"
	"slices"

	jsoniter "github.com/json-iterator/go"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// Settings are the figures of a deployment, under the names by which the platform hands them out. Keys
// that do not matter here are skipped.
type Settings struct {
	Balancers      int
	Dcs            []string
	Discovery      string
	Locality       int
	OverShareWorth float64
	RoundMs        float64
	Limits         struct {
		ConnIdleMs, ConnectTimeoutMs float64
		MaxAttempts                  int
		MaxRetryAfterMs              float64
		MayCancel, Probes            bool
	}
	Prices  struct{ CrossZone, Probe, Waste float64 }
	Realms  []Realm
	Report  struct{ Names []string }
	Safety  struct{ StartCapacity, WarmWithinMs, TipMultiple, FallMs, DrainGraceMs, AskEveryMs float64 }
	Classes []Class `json:"RequestClasses"`
}

// Realm is one partner library.
type Realm struct {
	Name      string
	QuotaPerS float64
	Dropped   bool `json:"-"` // as of a class
}

// Class is one class of invocations.
type Class struct {
	Name                                                string
	AimMs, HardLimitMs, Credit, LateWorth, MemorySpanMs float64
	KeyScope, Repeat                                    string
	Attempts                                            int  `json:"-"` // Limits.MaxAttempts, as it was when the class got its number
	Dropped                                             bool `json:"-"` // no further request is of it; see Numbering
}

// discoveryPushed is what Discovery says of a list that is sent to an agent on the own machine.
const discoveryPushed = "pushed"

// Pure is what Repeat says of a class that is safe to repeat.
const Pure = "pure"

var idempotencies = map[string]policy.Idempotency{Pure: policy.Idempotent, "token": policy.WithIdempotencyKey, "side_effect": policy.NonIdempotent}

var keyScopes = map[string]policy.KeyScope{"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}

// ParseSettings reads the settings; Logic says whether the module can work with them.
func ParseSettings(raw []byte) (*Settings, error) {
	s := new(Settings)
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("parse: %w", err)
	}
	return s, nil
}

// ClassNames are the names of the classes in force.
func (s *Settings) ClassNames() (names []string) {
	for _, c := range s.Classes {
		if !c.Dropped {
			names = append(names, c.Name)
		}
	}
	return names
}

// PolicyConfig converts the settings to those of the decision module.
func (s *Settings) PolicyConfig() (policy.Config, error) {
	cfg := policy.Config{
		OverQuotaWeight: s.OverShareWorth, Instances: s.Balancers, Zone: s.Locality,
		Probes: s.Limits.Probes, Cancel: s.Limits.MayCancel, MaxAttempts: s.Limits.MaxAttempts,
		Round:         s.RoundMs,
		StartCapacity: s.Safety.StartCapacity, WarmUpTime: s.Safety.WarmWithinMs,
		OverloadMultiple: s.Safety.TipMultiple, OverloadWindow: s.Safety.FallMs,
		CrossZoneCost: s.Prices.CrossZone, WastedWorkCost: s.Prices.Waste, ProbeCost: s.Prices.Probe,
	}
	cfg.MaxRetryAfter = s.Limits.MaxRetryAfterMs // always: where clients are not handed the advice it does no harm
	switch s.Discovery {
	case "on_request":
		cfg.SubscribeToList = true
	case discoveryPushed:
	default:
		//lint:ignore ST1005 the message begins with a key of the settings file, which is spelled so
		return cfg, fmt.Errorf("Discovery: unknown word %q", s.Discovery) //nolint:staticcheck // the message begins with the settings' key, which is capitalized
	}
	for i, c := range s.Classes {
		class := policy.Class{
			LatencyObjective: c.AimMs, Deadline: c.HardLimitMs, PriorityWeight: c.Credit, LateWeight: c.LateWorth,
			KeyWindow: c.MemorySpanMs, Attempts: c.Attempts, Retired: c.Dropped,
		}
		var known bool
		if class.Idempotency, known = idempotencies[c.Repeat]; !known {
			return cfg, fmt.Errorf("RequestClasses[%d].Repeat: unknown word %q", i, c.Repeat)
		}
		if class.KeyScope, known = keyScopes[c.KeyScope]; !known && class.Idempotency == policy.WithIdempotencyKey {
			return cfg, fmt.Errorf("RequestClasses[%d].KeyScope: unknown word %q", i, c.KeyScope)
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	for _, tenant := range s.Realms {
		cfg.Tenants = append(cfg.Tenants, policy.Tenant{Quota: tenant.QuotaPerS})
	}
	return cfg, nil
}

// IsComplete says whether a report has what the module can't do without, where the deployment's reports hold it: a provider
// that has just started may have no service time to tell, but it knows what it holds.
func (s *Settings) IsComplete(r policy.Report) bool {
	return r.HasRIF || !slices.Contains(loadreport.Fields(s.Report.Names), loadreport.RIF)
}
