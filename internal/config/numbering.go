package config

import (
	"plankrouter/internal/stableid"
	"time"
)

// numberHoldTime is how long a number keeps its meaning for those who came under it, after the class or tenant is dropped: longer
// than any deadline.
const numberHoldTime = 2 * time.Minute

// Numbering gives classes and tenants the numbers by which the program's parts know them. A class's rules belong to its number:
// a request keeps those it was taken under, whatever a reload says.
type Numbering struct {
	classes stableid.Table[Class]
	tenants stableid.Table[struct{}]
}

// Numbered is what a numbering came to.
type Numbered struct{ Classes, Tenants stableid.Mapping }

// Apply puts the classes and tenants of c, which has been checked, in the order of their numbers, those that were dropped
// among them.
func (n *Numbering) Apply(now time.Time, c *Config) (Numbered, error) {
	s := &c.Settings
	for i := range s.Classes {
		s.Classes[i].Attempts = s.Limits.MaxAttempts
	}
	quotas, names := map[string]float64{}, make([]string, 0, len(s.Realms))
	for _, r := range s.Realms {
		names, quotas[r.Name] = append(names, r.Name), r.QuotaPerS
	}
	out := Numbered{
		n.classes.Apply(now, numberHoldTime, s.ClassNames(), s.Classes),
		n.tenants.Apply(now, numberHoldTime, names, make([]struct{}, len(names))),
	}
	s.Classes, s.Realms = nil, nil
	for k := range n.classes.Len() {
		_, class, live := n.classes.Rules(k)
		class.Dropped = !live
		s.Classes = append(s.Classes, class)
	}
	for k := range n.tenants.Len() {
		name, _, live := n.tenants.Rules(k)
		s.Realms = append(s.Realms, Realm{name, quotas[name], !live})
	}
	var err error
	c.Policy, err = s.PolicyConfig()
	return out, err
}
