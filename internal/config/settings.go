package config

import (
	"fmt"

	jsoniter "github.com/json-iterator/go"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// Settings are the settings of a deployment. Its fields without a tag, and those of Realm and Class, are named as the platform's
// keys: to rename one is to rename a key. Keys that do not matter here are skipped.
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
	Retired   bool `json:"-"` // as of a class
}

// Class is one class of requests.
type Class struct {
	Name                                                string
	AimMs, HardLimitMs, Credit, LateWorth, MemorySpanMs float64
	KeyScope, Repeat                                    string
	Attempts                                            int  `json:"-"` // Limits.MaxAttempts, as it was when the class got its number
	Retired                                             bool `json:"-"` // no further request is of it; see Numbering
}

// Pure is the value of Repeat for a class that is safe to repeat.
const Pure = "pure"

// ParseSettings reads the settings; PolicyConfig says whether the policy can work with them.
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
		if !c.Retired {
			names = append(names, c.Name)
		}
	}
	return names
}
