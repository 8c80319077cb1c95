package snapshot

import (
	"cmp"
	"slices"
	"time"

	"plankrouter/internal/config"
)

// Restored is the state that a process starts with.
type Restored struct {
	List      List
	Learned   Learned
	Keepalive []byte
}

// Restore combines DropStale, Merge and Match. It returns the state to start with at now, derived from a snapshot (nil =
// none) and the list known from the configuration, and the parts of the snapshot that were dropped. known.Discovery is the
// discovery service that the process will use.
func Restore(s *Snapshot, known List, now time.Time, rules ValidityRules) (Restored, []Dropped) {
	if s == nil {
		return Restored{List: known.clone()}, nil
	}
	s, dropped := DropStale(s, now, rules)
	list, alsoDropped := Merge(s.List(), known)
	dropped = append(dropped, alsoDropped...)
	s.Learned.Servers, alsoDropped = Match(s.Learned.Servers, list.Members)
	return Restored{List: list, Learned: s.Learned, Keepalive: s.Keepalive}, append(dropped, alsoDropped...)
}

// DropStale returns the parts of s that are still valid at now, and those that were dropped. It converts times of the policy's
// clock to Unix ms of the wall clock, none later than the snapshot or now, so that nothing counts as fresher than it is. Start
// times are unchanged, so that slow start continues from them. The Age of a member is advanced to now. s is not modified.
func DropStale(s *Snapshot, now time.Time, rules ValidityRules) (*Snapshot, []Dropped) {
	v := validator{rules: rules, now: unixMs(now), takenAt: unixMs(s.TakenAt)}
	if s.Learned.Now > 0 {
		v.clockOffset = v.takenAt - s.Learned.Now
	}
	out := &Snapshot{TakenAt: s.TakenAt, Program: s.Program, Deployment: s.Deployment, Discovery: s.Discovery}
	var mismatch, otherDiscovery, future Reason
	mismatch = s.originMismatch(rules)
	if s.Discovery != rules.Discovery {
		otherDiscovery = OtherDiscovery
	}
	if s.TakenAt.Sub(now) > rules.MaxClockSkew {
		future = FromTheFuture
	}
	v.keepMembers(s, out, cmp.Or(mismatch, otherDiscovery, future), mismatch != "" && otherDiscovery != "")
	if reason := cmp.Or(mismatch, future); reason != "" {
		v.drop(droppedLearned, "", 1, reason)
		v.drop(droppedKeepalive, "", min(1, len(s.Keepalive)), reason)
		return out, v.dropped
	}
	v.keepLearned(s, out, otherDiscovery)
	if otherDiscovery != "" { // Keepalive contains evidence about single servers, too
		v.drop(droppedKeepalive, "", min(1, len(s.Keepalive)), otherDiscovery)
	} else if v.keepFresh(v.takenAt, rules.MaxKeepaliveAge, droppedKeepalive, "", min(1, len(s.Keepalive))) {
		out.Keepalive = slices.Clone(s.Keepalive)
	}
	return out, v.dropped
}

// originMismatch returns why s is not from this program and deployment; "" if it is.
func (s *Snapshot) originMismatch(rules ValidityRules) Reason {
	switch {
	case s.Program != rules.Program:
		return OtherProgram
	case s.Deployment != rules.Deployment:
		return OtherDeployment
	}
	return ""
}

// keepMembers keeps the available servers if reason is empty and the list is not too old. It keeps draining and deleted ones
// for MaxDrainAge unless otherFleet is set: the snapshot's origin and its discovery service both differ. It keeps them even if
// reason is FromTheFuture, because these servers stay draining or deleted until discovery lists them in another phase.
func (v *validator) keepMembers(s, out *Snapshot, reason Reason, otherFleet bool) {
	if reason == "" && v.now-v.takenAt > config.Millis(v.rules.MaxListAge) {
		reason = TooOld
	}
	for _, m := range s.Members {
		asOf := v.takenAt
		if m.availability() == deleted && m.PhaseSince > 0 {
			asOf = v.clampToPast(m.PhaseSince) // deleted servers are no longer listed, while draining ones are listed until they end
		}
		if m.PhaseSince > 0 {
			m.PhaseSince = max(0, v.clampToPast(m.PhaseSince))
		}
		if m.Age > 0 {
			m.Age += max(0, v.now-v.takenAt)
		}
		switch {
		case m.availability() == available && reason != "":
			v.drop(droppedMember, m.ID, 1, reason)
		case m.availability() != available && otherFleet:
			v.drop(droppedDrain, m.ID, 1, reason)
		case m.availability() == available || v.keepFresh(asOf, v.rules.MaxDrainAge, droppedDrain, m.ID, 1):
			out.Members = append(out.Members, m)
		}
	}
	if reason == "" {
		out.Revision = s.Revision
	}
}

// keepLearned keeps the valid parts of what the policy has learned. If otherDiscovery is not empty, it is the reason for
// which everything about single servers is dropped.
func (v *validator) keepLearned(s, out *Snapshot, otherDiscovery Reason) {
	learned, kept := &s.Learned, &out.Learned
	kept.Now = v.clampToPast(v.takenAt)
	if len(learned.Fit.Classes) != v.rules.Classes {
		v.drop(droppedFit, "", 1, NoSuchPosition)
	} else if at := v.toWallClock(learned.Fit.FittedAt); v.keepFresh(at, v.rules.MaxFitAge, droppedFit, "", 1) {
		kept.Fit = Fit{learned.Fit.SumLoadSquared, learned.Fit.SumLoadLatency, at, slices.Clone(learned.Fit.Classes)}
	}
	if v.keepFresh(v.takenAt, v.rules.MaxServiceTimeAge, droppedFleet, "", 1) {
		kept.FleetLatency = learned.FleetLatency
		kept.OwnInFlight = learned.OwnInFlight
		kept.TotalInFlight = learned.TotalInFlight
		kept.MedianErrorRate = learned.MedianErrorRate * v.remainingWeight(v.clampToPast(v.takenAt))
	}
	if len(learned.Tenants) != v.rules.Tenants {
		v.drop(droppedTenants, "", len(learned.Tenants), NoSuchPosition)
	} else if v.keepFresh(v.takenAt, v.rules.MaxRateAge, droppedTenants, "", len(learned.Tenants)) {
		for _, b := range learned.Tenants {
			kept.Tenants = append(kept.Tenants, Bucket{Tokens: b.Tokens, At: v.toWallClock(b.At)})
		}
	}
	if v.keepFresh(v.takenAt, v.rules.MaxRateAge, droppedRates, "", 1) {
		kept.Arrivals = Rate{Value: learned.Arrivals.Value, At: v.toWallClock(learned.Arrivals.At)}
		kept.Sends = Rate{Value: learned.Sends.Value, At: v.toWallClock(learned.Sends.At)}
	}
	if otherDiscovery != "" {
		v.drop(droppedServer, "", len(learned.Servers), otherDiscovery)
		return
	}
	matched, unmatched := Match(learned.Servers, s.Members)
	v.dropped = append(v.dropped, unmatched...)
	for i := range matched {
		if server := v.keepServer(&matched[i]); server.Latency > 0 || server.RoundTrip > 0 || server.ErrorRate > 0 || len(server.Outcomes) > 0 {
			kept.Servers = append(kept.Servers, server)
		}
	}
}

// keepServer returns the parts that are still valid of what was learned about one server's process.
func (v *validator) keepServer(in *LearnedServer) LearnedServer {
	out := LearnedServer{Name: in.Name, StartedAt: in.StartedAt}
	reportedAt := v.clampToPast(v.takenAt)
	if in.ReportedAt > 0 {
		out.ReportedAt = v.toWallClock(in.ReportedAt)
		reportedAt = out.ReportedAt
	}
	if in.Latency > 0 && v.keepFresh(reportedAt, v.rules.MaxServiceTimeAge, droppedServiceTime, in.Name, 1) {
		out.Latency = in.Latency
		out.LatencyReported = in.LatencyReported
	}
	if in.RoundTrip > 0 && v.keepFresh(v.takenAt, v.rules.MaxServiceTimeAge, droppedRoundTrip, in.Name, 1) {
		out.RoundTrip = in.RoundTrip
	}
	if in.ErrorRate > 0 {
		if in.ErrorRate*v.remainingWeight(reportedAt) >= v.rules.MinOutcomeWeight {
			out.ErrorRate = in.ErrorRate
		} else {
			v.drop(droppedErrors, in.Name, 1, WeightTooLow)
		}
	}
	if in.SlowStartBudget.At > 0 { // needs no age limit: the budget refills over time
		out.SlowStartBudget = Rate{Value: in.SlowStartBudget.Value, At: v.toWallClock(in.SlowStartBudget.At)}
	}
	out.Outcomes = v.keepOutcomes(in)
	return out
}

// keepOutcomes returns the outcomes of configured tenants whose remaining weight is at least MinOutcomeWeight.
func (v *validator) keepOutcomes(in *LearnedServer) (kept Tallies) {
	unknownTenant, faded := 0, 0
	for _, t := range in.Outcomes {
		t.At = v.toWallClock(t.At)
		switch {
		case int64(t.Tenant) > int64(v.rules.Tenants):
			unknownTenant++
		case (t.Successes+t.Failures)*v.remainingWeight(t.At) < v.rules.MinOutcomeWeight:
			faded++
		default:
			kept = append(kept, t)
		}
	}
	v.drop(droppedOutcomes, in.Name, unknownTenant, NoSuchPosition)
	v.drop(droppedOutcomes, in.Name, faded, WeightTooLow)
	return kept
}

// Match returns what was learned about processes that are still listed in members, and drops the rest. A server with another
// start time is another process.
func Match(servers []LearnedServer, members []Member) (kept []LearnedServer, dropped []Dropped) {
	listed := List{Members: members}.byID()
	for _, s := range servers {
		switch m, ok := listed[s.Name]; {
		case !ok || m.availability() == deleted:
			dropped = append(dropped, Dropped{What: droppedServer, Server: s.Name, Count: 1, Reason: NotListed})
		case m.StartedAt != s.StartedAt:
			dropped = append(dropped, Dropped{What: droppedServer, Server: s.Name, Count: 1, Reason: OtherProcess})
		default:
			kept = append(kept, s)
		}
	}
	return kept, dropped
}
