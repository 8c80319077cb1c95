package config

import (
	"time"

	"plankrouter/internal/stableid"
)

// numberHoldTime is how long a number keeps its meaning for requests that came under it, after the class or tenant is dropped:
// longer than any deadline.
const numberHoldTime = 2 * time.Minute

// Numbering gives classes and tenants the numbers by which the program's parts know them. A class's rules belong to its number:
// a request keeps those it was taken under, whatever a reload says.
type Numbering struct {
	classes stableid.Table[Class]
	tenants stableid.Table[struct{}]
}

// NumberMappings has the numbers that the classes and tenants of one configuration have got.
type NumberMappings struct{ Classes, Tenants stableid.Mapping }

// Apply puts the classes and tenants of c, which has been checked, in the order of their numbers, those that were dropped
// among them.
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
