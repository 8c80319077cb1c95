package config

import (
	"fmt"

	jsoniter "github.com/json-iterator/go"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// Settings has the settings of a deployment. Its fields without a tag, and those of Tenant and Class, have the names of
// the platform's keys, so they can't be renamed. Unknown keys are ignored.
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
	Realms  []Tenant
	Report  struct{ Names []string }
	Safety  struct{ StartCapacity, WarmWithinMs, TipMultiple, FallMs, DrainGraceMs, AskEveryMs float64 }
	Classes []Class `json:"RequestClasses"`
}

// Tenant is one tenant: a partner library.
type Tenant struct {
	Name      string
	QuotaPerS float64
	Retired   bool `json:"-"` // removed by a reload
}

// Class is a request class. policyClass maps its fields to the policy's terms.
type Class struct {
	Name                                                string
	AimMs, HardLimitMs, Credit, LateWorth, MemorySpanMs float64
	KeyScope, Repeat                                    string
	Attempts                                            int  `json:"-"` // Limits.MaxAttempts when the class got its number
	Retired                                             bool `json:"-"` // removed by a reload; see Numbering
}

// Pure is the value of Repeat for a class of idempotent requests.
const Pure = "pure"

// ParseSettings parses the settings, without checking them as PolicyConfig does.
func ParseSettings(raw []byte) (*Settings, error) {
	s := new(Settings)
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("parse: %w", err)
	}
	return s, nil
}

// ClassNames returns the names of the classes that are not retired.
func (s *Settings) ClassNames() (names []string) {
	for _, c := range s.Classes {
		if !c.Retired {
			names = append(names, c.Name)
		}
	}
	return names
}
