package snapshot

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Reason says why something was left out.
type Reason string

// The reasons.
const (
	OtherProgram    Reason = "another program"
	OtherDeployment Reason = "another deployment"
	OtherDiscovery  Reason = "another discovery service"
	FromTheFuture   Reason = "from the future"
	TooOld          Reason = "too old"
	WeightTooLow    Reason = "faded away"
	OtherProcess    Reason = "another process"
	NotListed       Reason = "not listed"
	NoSuchPosition  Reason = "no such position"
	NewerList       Reason = "a newer list"
)

// What may be left out, as Summary names it.
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
	droppedReuse       = "reuse"
	droppedServer      = "server"  // all that was learned of it
	droppedLearned     = "learned" // all that was learned
)

// Dropped is something left out.
type Dropped struct {
	What   string
	Server string // id of the one that it concerns, "" = it concerns none or all
	Count  int    // of pieces
	Reason Reason
}

// Summary counts what was left out by kind and reason, as key=value pairs for a log line.
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
