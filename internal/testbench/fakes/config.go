package fakes

import (
	"cmp"
	"encoding/json"
	"strconv"
	"time"
)

// SidecarConfig is the configuration of a sidecar. Zero numbers leave the sidecar's defaults, unless noted otherwise.
type SidecarConfig struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Known                   List    // the endpoint list that the sidecar starts with
	Classes                 []Class // nil = TileClass and OrderClass
	Tenants                 []string
	MaxConns, MemoryMB      int
	NoProbes                bool
	MaxAttempts             int // attempts per request; 0 = 3
	Instances               int // number of sidecars that share the servers; 0 = 1
	ConnIdle                time.Duration
	ConnectTimeout          time.Duration
	DrainGrace              time.Duration
	WarmUpTime              time.Duration // duration of a server's slow start; 0 = 8 s

	// Edit, if not nil, may change the whole document before it is encoded.
	Edit func(document map[string]any)
}

// Config returns the content of the sidecar's configuration file.
func Config(s SidecarConfig) ([]byte, error) {
	if s.Classes == nil {
		s.Classes = []Class{TileClass(), OrderClass()}
	}
	classes := []any{}
	for _, c := range s.Classes {
		repeat := "side_effect"
		if c.Idempotent {
			repeat = "pure"
		}
		classes = append(classes, map[string]any{
			"Name": c.Name, "AimMs": ms(c.LatencyObjective), "HardLimitMs": ms(c.Deadline),
			"Credit": c.PriorityWeight, "Repeat": repeat,
		})
	}
	realms := []any{}
	for _, o := range s.Tenants {
		realms = append(realms, map[string]any{"Name": o, "QuotaPerS": 1000})
	}
	s.Known.Complete = true
	s.Known.Endpoints = append([]Endpoint{}, s.Known.Endpoints...)
	document := map[string]any{
		"name": s.Name, "listen": s.Listen, "discovery": s.Discovery, "seed": strconv.FormatUint(s.Seed, 16),
		"limits": map[string]any{"memory_mb": s.MemoryMB, "sockets": s.MaxConns},
		"known":  s.Known,
		"settings": map[string]any{
			"Balancers": cmp.Or(s.Instances, 1), "Discovery": "pushed", "RoundMs": 5,
			"Dcs": []string{LocalZone}, "Locality": 0,
			"Limits": map[string]any{
				"ConnIdleMs": ms(s.ConnIdle), "ConnectTimeoutMs": ms(s.ConnectTimeout),
				"MaxAttempts": cmp.Or(s.MaxAttempts, 3), "MayCancel": true, "Probes": !s.NoProbes,
				"MaxRetryAfterMs": 1200,
			},
			"Report": map[string]any{"Names": []string{"active", "avg_ms"}},
			"Realms": realms, "OverShareWorth": 0.2,
			"Safety": map[string]any{
				"StartCapacity": 0.3, "WarmWithinMs": cmp.Or(ms(s.WarmUpTime), 8000), "TipMultiple": 4,
				"FallMs": 3000, "DrainGraceMs": ms(s.DrainGrace),
			},
			"RequestClasses": classes,
		},
	}
	if s.Edit != nil {
		s.Edit(document)
	}
	return json.MarshalIndent(document, "", " ")
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
