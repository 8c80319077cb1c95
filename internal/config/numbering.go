package config

import (
	"time"

	"plankrouter/internal/stableid"
)

// numberHoldTime is how long the number of a removed class or tenant stays reserved, for requests that still carry it:
// longer than any deadline.
const numberHoldTime = 2 * time.Minute

// Numbering assigns numbers to classes and tenants, by which the other packages refer to them. A class whose rules change
// in a reload gets a new number, so that a request keeps the rules with which it was accepted.
type Numbering struct {
	classes stableid.Table[Class]
	tenants stableid.Table[struct{}]
}

// NumberMappings has the numbers assigned to the classes and tenants of one configuration.
type NumberMappings struct{ Classes, Tenants stableid.Mapping }

// Apply assigns numbers to the classes and tenants of c, which must have been checked, and replaces them by the lists in
// the order of their numbers, in which removed ones are marked as Retired.
func (n *Numbering) Apply(now time.Time, c *Config) (NumberMappings, error) {
	s := &c.Settings
	for i := range s.Classes {
		s.Classes[i].Attempts = s.Limits.MaxAttempts
	}
	quotas := map[string]float64{}
	tenants := make([]string, 0, len(s.Realms))
	for _, r := range s.Realms {
		tenants = append(tenants, r.Name)
		quotas[r.Name] = r.QuotaPerS
	}
	numbered := NumberMappings{
		Classes: n.classes.Apply(now, numberHoldTime, s.ClassNames(), s.Classes),
		Tenants: n.tenants.Apply(now, numberHoldTime, tenants, make([]struct{}, len(tenants))),
	}
	s.Classes = nil
	for number := range n.classes.Len() {
		_, class, live := n.classes.Rules(number)
		class.Retired = !live
		s.Classes = append(s.Classes, class)
	}
	s.Realms = nil
	for number := range n.tenants.Len() {
		name, _, live := n.tenants.Rules(number)
		s.Realms = append(s.Realms, Tenant{Name: name, QuotaPerS: quotas[name], Retired: !live})
	}
	var err error
	c.Policy, err = s.PolicyConfig()
	return numbered, err
}
