package snapshot

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Reason says why a part of a snapshot was dropped.
type Reason string

// Reasons for dropping a part.
const (
	OtherProgram    Reason = "another program"
	OtherDeployment Reason = "another deployment"
	OtherDiscovery  Reason = "another discovery service"
	FromTheFuture   Reason = "from the future"
	TooOld          Reason = "too old"
	WeightTooLow    Reason = "faded away"
	OtherProcess    Reason = "another process"
	NotListed       Reason = "not listed"
	NoSuchPosition  Reason = "no such position" // the settings have another number of classes, or of tenants
	NewerList       Reason = "a newer list"
)

// Parts that can be dropped, as named in the output of Summary.
const (
	droppedMember      = "member"
	droppedDrain       = "drain"
	droppedServiceTime = "service_time"
	droppedRoundTrip   = "round_trip"
	droppedErrors      = "reported_errors"
	droppedOutcomes    = "outcomes"
	droppedFleet       = "fleet"
	droppedFit         = "fit"
	droppedTenants     = "tenants"
	droppedRates       = "rates"
	droppedKeepalive   = "reuse"
	droppedServer      = "server"  // everything learned about one server
	droppedLearned     = "learned" // everything learned
)

// Dropped describes a part of a snapshot that was dropped.
type Dropped struct {
	What   string
	Server string // id of the server concerned; "" = not specific to one server
	Count  int    // number of elements dropped
	Reason Reason
}

// Summary returns the number of dropped elements by kind and reason, as key=value pairs for a log line.
func Summary(all []Dropped) string {
	type kind struct {
		what string
		why  Reason
	}
	n := map[kind]int{}
	var kinds []kind
	for _, d := range all {
		k := kind{d.What, d.Reason}
		if n[k] == 0 {
			kinds = append(kinds, k)
		}
		n[k] += d.Count
	}
	slices.SortFunc(kinds, func(a, b kind) int {
		return cmp.Or(cmp.Compare(a.what, b.what), cmp.Compare(a.why, b.why))
	})
	var b strings.Builder
	for i, k := range kinds {
		fmt.Fprintf(&b, "%sdropped_%s=%d why=%q", []string{"", " "}[min(i, 1)], k.what, n[k], string(k.why))
	}
	return b.String()
}
