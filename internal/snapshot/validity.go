package snapshot

import (
	"cmp"
	"fmt"
	"math"
	"plankrouter/internal/config"
	"slices"
	"strings"
	"time"
)

// ValidityRules say what a start accepts of a snapshot, and up to what age.
type ValidityRules struct {
	Program, Deployment, Directory string // of this start
	Classes, Tenants               int    // positions that the settings have

	MaxClockSkew      time.Duration // by which a snapshot may lie ahead of the clock
	MaxListAge        time.Duration // the list of providers that take new work
	MaxDrainAge       time.Duration // that providers drain, from the snapshot on; that they are gone, from when it was told
	MaxServiceTimeAge time.Duration // service times, round trips, the part of the fleet's traffic
	MaxFitAge         time.Duration
	MaxRateAge        time.Duration // tenants' tokens and all rates
	MaxReuseAge       time.Duration
	HalfLife          time.Duration // in which evidence loses half its weight
	MinWeight         float64       // weight of evidence, in outcomes, below which it is left out
}

// DefaultValidityRules returns the age limits; who starts and with what positions is left to fill in.
func DefaultValidityRules() ValidityRules {
	return ValidityRules{
		MaxClockSkew: 2 * time.Second, MaxListAge: 24 * time.Hour, MaxDrainAge: 7 * 24 * time.Hour, MaxServiceTimeAge: 5 * time.Minute,
		MaxFitAge: 2 * time.Minute, MaxRateAge: 10 * time.Second, MaxReuseAge: 5 * time.Minute, HalfLife: 4 * time.Second, MinWeight: 0.05,
	}
}

// Reason says why something was left out.
type Reason string

// The reasons.
const (
	OtherProgram    Reason = "another program"
	OtherDeployment Reason = "another deployment"
	OtherDirectory  Reason = "another directory"
	FromTheFuture   Reason = "from the future"
	TooOld          Reason = "too old"
	FadedAway       Reason = "faded away"
	OtherProcess    Reason = "another process"
	NotListed       Reason = "not listed"
	NoSuchPosition  Reason = "no such position"
	NewerList       Reason = "a newer list"
)

// What may be left out.
const (
	droppedMember      = "member"
	droppedDrain       = "drain"
	droppedServiceTime = "service_time"
	droppedRoundTrip   = "round_trip"
	droppedErrors      = "reported_errors"
	droppedOutcomes    = "evidence"
	droppedFleet       = "fleet"
	droppedFit         = "fit"
	droppedTenants     = "tenants"
	droppedRates       = "rates"
	droppedReuse       = "reuse"
	droppedServer      = "provider" // all that was learned of it
	droppedLearned     = "learned"  // all that was learned
)

// Dropped is something left out.
type Dropped struct {
	What   string
	Server string // id of the one that it concerns, if it is one
	Count  int    // pieces
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

// DropStale returns what of s is still true at now, and what was left out. Times of the module's clock come out as Unix ms
// of the wall clock, none later than the snapshot or than now: nothing is taken for fresher than it is. A start time is
// never altered, so that a provider that was cold is as cold as that says. s stays as it is.
func DropStale(s *Snapshot, now time.Time, r ValidityRules) (*Snapshot, []Dropped) {
	v := validator{rules: r, now: unixMs(now), takenAt: unixMs(s.TakenAt)}
	if s.Learned.Now > 0 {
		v.shift = v.takenAt - s.Learned.Now
	}
	out := &Snapshot{TakenAt: s.TakenAt, Program: s.Program, Deployment: s.Deployment, Directory: s.Directory}
	who, dir, when := s.foreignReason(r), Reason(""), Reason("")
	if s.Directory != r.Directory {
		dir = OtherDirectory
	}
	if s.TakenAt.Sub(now) > r.MaxClockSkew {
		when = FromTheFuture
	}
	v.keepMembers(s, out, cmp.Or(who, dir, when), who != "" && dir != "")
	if why := cmp.Or(who, when); why != "" {
		v.drop(droppedLearned, "", 1, why)
		v.drop(droppedReuse, "", min(1, len(s.Reuse)), why)
		return out, v.dropped
	}
	v.keepLearned(s, out, dir)
	if dir != "" { // it is of single providers, too
		v.drop(droppedReuse, "", min(1, len(s.Reuse)), dir)
	} else if v.keepFresh(v.takenAt, r.MaxReuseAge, droppedReuse, "", min(1, len(s.Reuse))) {
		out.Reuse = slices.Clone(s.Reuse)
	}
	return out, v.dropped
}

// foreignReason says in what s is not this program's own.
func (s *Snapshot) foreignReason(r ValidityRules) Reason {
	switch {
	case s.Program != r.Program:
		return OtherProgram
	case s.Deployment != r.Deployment:
		return OtherDeployment
	}
	return ""
}

// validator takes out what no longer holds. Times are Unix ms.
type validator struct {
	rules        ValidityRules
	now, takenAt float64
	shift        float64 // from the module's clock to the wall clock
	dropped      []Dropped
}

func (v *validator) drop(what, provider string, n int, why Reason) {
	if n > 0 {
		v.dropped = append(v.dropped, Dropped{what, provider, n, why})
	}
}

// clampToPast puts a time of the wall clock no later than the snapshot and than now.
func (v *validator) clampToPast(t float64) float64 { return min(t, v.takenAt, v.now) }

// toWallClock turns a time of the module's clock into one of the wall clock; 0 stays never.
func (v *validator) toWallClock(t float64) float64 {
	if t <= 0 {
		return 0
	}
	return max(0, v.clampToPast(t+v.shift))
}

// keepFresh reports whether n things of that time are within a limit of age; else they are dropped.
func (v *validator) keepFresh(at float64, limit time.Duration, what, provider string, n int) bool {
	if n > 0 && v.now-at <= config.Millis(limit) {
		return true
	}
	v.drop(what, provider, n, TooOld)
	return false
}

// remainingWeight is what evidence of that time has kept of its weight.
func (v *validator) remainingWeight(at float64) float64 {
	return math.Exp2(-max(0, v.now-at) / config.Millis(max(1, v.rules.HalfLife)))
}

// keepMembers keeps the list if no reason speaks against it, and unless strange what it says of those that leave: even from
// the future, since that holds until a directory says otherwise.
func (v *validator) keepMembers(s, out *Snapshot, why Reason, strange bool) {
	if why == "" && v.now-v.takenAt > config.Millis(v.rules.MaxListAge) {
		why = TooOld
	}
	for _, m := range s.Members {
		asOf := v.takenAt
		if m.leaving() == 2 && m.ToldAt > 0 {
			asOf = v.clampToPast(m.ToldAt) // the list says no more of it; one that drains is in it until the end
		}
		if m.ToldAt > 0 {
			m.ToldAt = max(0, v.clampToPast(m.ToldAt))
		}
		if m.Age > 0 {
			m.Age += max(0, v.now-v.takenAt)
		}
		switch {
		case m.leaving() == 0 && why != "":
			v.drop(droppedMember, m.ID, 1, why)
		case m.leaving() > 0 && strange:
			v.drop(droppedDrain, m.ID, 1, why)
		case m.leaving() == 0 || v.keepFresh(asOf, v.rules.MaxDrainAge, droppedDrain, m.ID, 1):
			out.Members = append(out.Members, m)
		}
	}
	if why == "" {
		out.Revision = s.Revision
	}
}

// keepLearned keeps what the decisions have learned; what concerns single providers only if the directory is the same.
func (v *validator) keepLearned(s, out *Snapshot, dir Reason) {
	l, o := &s.Learned, &out.Learned
	o.Now = v.clampToPast(v.takenAt)
	if len(l.Fit.Classes) != v.rules.Classes {
		v.drop(droppedFit, "", 1, NoSuchPosition)
	} else if at := v.toWallClock(l.Fit.At); v.keepFresh(at, v.rules.MaxFitAge, droppedFit, "", 1) {
		o.Fit = Fit{l.Fit.XX, l.Fit.XY, at, slices.Clone(l.Fit.Classes)}
	}
	if v.keepFresh(v.takenAt, v.rules.MaxServiceTimeAge, droppedFleet, "", 1) {
		o.FleetLatency, o.FracOwn, o.FracAll = l.FleetLatency, l.FracOwn, l.FracAll
		o.MedianMiss = l.MedianMiss * v.remainingWeight(v.clampToPast(v.takenAt))
	}
	if len(l.Tenants) != v.rules.Tenants {
		v.drop(droppedTenants, "", len(l.Tenants), NoSuchPosition)
	} else if v.keepFresh(v.takenAt, v.rules.MaxRateAge, droppedTenants, "", len(l.Tenants)) {
		for _, b := range l.Tenants {
			o.Tenants = append(o.Tenants, Bucket{Tokens: b.Tokens, At: v.toWallClock(b.At)})
		}
	}
	if v.keepFresh(v.takenAt, v.rules.MaxRateAge, droppedRates, "", 1) {
		o.Arrivals = Rate{V: l.Arrivals.V, At: v.toWallClock(l.Arrivals.At)}
		o.Sends = Rate{V: l.Sends.V, At: v.toWallClock(l.Sends.At)}
	}
	if dir != "" {
		v.drop(droppedServer, "", len(l.Servers), dir)
		return
	}
	kept, gone := Match(l.Servers, s.Members)
	v.dropped = append(v.dropped, gone...)
	for i := range kept {
		if one := v.keepServer(&kept[i]); one.Latency > 0 || one.Network > 0 || one.Failing > 0 || len(one.By) > 0 {
			o.Servers = append(o.Servers, one)
		}
	}
}

// keepServer keeps what is still true of one provider's process.
func (v *validator) keepServer(in *LearnedServer) LearnedServer {
	out := LearnedServer{Name: in.Name, StartedAt: in.StartedAt}
	seen := v.clampToPast(v.takenAt)
	if in.ReportAt > 0 {
		out.ReportAt = v.toWallClock(in.ReportAt)
		seen = out.ReportAt
	}
	if in.Latency > 0 && v.keepFresh(seen, v.rules.MaxServiceTimeAge, droppedServiceTime, in.Name, 1) {
		out.Latency, out.Reported = in.Latency, in.Reported
	}
	if in.Network > 0 && v.keepFresh(v.takenAt, v.rules.MaxServiceTimeAge, droppedRoundTrip, in.Name, 1) {
		out.Network = in.Network
	}
	if in.Failing > 0 {
		if in.Failing*v.remainingWeight(seen) >= v.rules.MinWeight {
			out.Failing = in.Failing
		} else {
			v.drop(droppedErrors, in.Name, 1, FadedAway)
		}
	}
	if in.Cold.At > 0 { // it fills by itself
		out.Cold = Rate{V: in.Cold.V, At: v.toWallClock(in.Cold.At)}
	}
	beyond, faded := 0, 0
	for _, t := range in.By {
		t.At = v.toWallClock(t.At)
		switch {
		case int64(t.Who) > int64(v.rules.Tenants):
			beyond++
		case (t.Oks+t.Misses)*v.remainingWeight(t.At) < v.rules.MinWeight:
			faded++
		default:
			out.By = append(out.By, t)
		}
	}
	v.drop(droppedOutcomes, in.Name, beyond, NoSuchPosition)
	v.drop(droppedOutcomes, in.Name, faded, FadedAway)
	return out
}

// Match keeps what was learned of the processes that members still name: a provider that has started anew is another
// one.
func Match(servers []LearnedServer, members []Member) (kept []LearnedServer, out []Dropped) {
	listed := List{Members: members}.byID()
	for _, s := range servers {
		switch m, have := listed[s.Name]; {
		case !have || m.leaving() == 2:
			out = append(out, Dropped{droppedServer, s.Name, 1, NotListed})
		case m.UpSince != s.StartedAt:
			out = append(out, Dropped{droppedServer, s.Name, 1, OtherProcess})
		default:
			kept = append(kept, s)
		}
	}
	return kept, out
}
