package snapshot

import (
	"cmp"
	"slices"
	"time"

	"plankrouter/internal/config"
)

// Restored is what a start has to go by.
type Restored struct {
	List      List
	Learned   Learned
	Keepalive []byte
}

// Restore puts DropStale, Merge and Match together: what a start at now takes of a snapshot, nil for none, beside the list
// that its configuration knows. known.Directory is the discovery service that will be asked.
func Restore(s *Snapshot, known List, now time.Time, rules ValidityRules) (Restored, []Dropped) {
	if s == nil {
		return Restored{List: known.clone()}, nil
	}
	s, dropped := DropStale(s, now, rules)
	list, more := Merge(s.List(), known)
	dropped = append(dropped, more...)
	s.Learned.Servers, more = Match(s.Learned.Servers, list.Members)
	return Restored{List: list, Learned: s.Learned, Keepalive: s.Keepalive}, append(dropped, more...)
}

// DropStale returns what of s is still true at now, and what was left out. Times of the policy's clock come out as Unix ms
// of the wall clock, none later than the snapshot or than now: nothing is taken for fresher than it is. A start time is
// never altered, so that a server that was cold is as cold as that says. s stays as it is.
func DropStale(s *Snapshot, now time.Time, rules ValidityRules) (*Snapshot, []Dropped) {
	v := validator{rules: rules, now: unixMs(now), takenAt: unixMs(s.TakenAt)}
	if s.Learned.Now > 0 {
		v.clockOffset = v.takenAt - s.Learned.Now
	}
	out := &Snapshot{TakenAt: s.TakenAt, Program: s.Program, Deployment: s.Deployment, Discovery: s.Discovery}
	var foreign, otherDiscovery, future Reason
	foreign = s.foreignReason(rules)
	if s.Discovery != rules.Discovery {
		otherDiscovery = OtherDiscovery
	}
	if s.TakenAt.Sub(now) > rules.MaxClockSkew {
		future = FromTheFuture
	}
	v.keepMembers(s, out, cmp.Or(foreign, otherDiscovery, future), foreign != "" && otherDiscovery != "")
	if reason := cmp.Or(foreign, future); reason != "" {
		v.drop(droppedLearned, "", 1, reason)
		v.drop(droppedReuse, "", min(1, len(s.Keepalive)), reason)
		return out, v.dropped
	}
	v.keepLearned(s, out, otherDiscovery)
	if otherDiscovery != "" { // it is of single servers, too
		v.drop(droppedReuse, "", min(1, len(s.Keepalive)), otherDiscovery)
	} else if v.keepFresh(v.takenAt, rules.MaxKeepaliveAge, droppedReuse, "", min(1, len(s.Keepalive))) {
		out.Keepalive = slices.Clone(s.Keepalive)
	}
	return out, v.dropped
}

// foreignReason says why s is not of this program and deployment; "" = it is.
func (s *Snapshot) foreignReason(rules ValidityRules) Reason {
	switch {
	case s.Program != rules.Program:
		return OtherProgram
	case s.Deployment != rules.Deployment:
		return OtherDeployment
	}
	return ""
}

// keepMembers keeps the list if no reason speaks against it, and unless foreign what it says of servers that drain or are gone: even
// from the future, since that holds until discovery says otherwise.
func (v *validator) keepMembers(s, out *Snapshot, reason Reason, foreign bool) {
	if reason == "" && v.now-v.takenAt > config.Millis(v.rules.MaxListAge) {
		reason = TooOld
	}
	for _, m := range s.Members {
		asOf := v.takenAt
		if m.availability() == deleted && m.PhaseSince > 0 {
			asOf = v.clampToPast(m.PhaseSince) // the list says no more of it; one that drains is in it until the end
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
		case m.availability() != available && foreign:
			v.drop(droppedDrain, m.ID, 1, reason)
		case m.availability() == available || v.keepFresh(asOf, v.rules.MaxDrainAge, droppedDrain, m.ID, 1):
			out.Members = append(out.Members, m)
		}
	}
	if reason == "" {
		out.Revision = s.Revision
	}
}

// keepLearned keeps what the policy has learned; what concerns single servers only if otherDiscovery, the reason against that, is empty.
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
	matching, gone := Match(learned.Servers, s.Members)
	v.dropped = append(v.dropped, gone...)
	for i := range matching {
		if one := v.keepServer(&matching[i]); one.Latency > 0 || one.RoundTrip > 0 || one.ErrorRate > 0 || len(one.Outcomes) > 0 {
			kept.Servers = append(kept.Servers, one)
		}
	}
}

// keepServer keeps what is still true of one server's process.
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
	if in.SlowStartBudget.At > 0 { // it fills by itself
		out.SlowStartBudget = Rate{Value: in.SlowStartBudget.Value, At: v.toWallClock(in.SlowStartBudget.At)}
	}
	out.Outcomes = v.keepOutcomes(in)
	return out
}

// keepOutcomes keeps the outcomes of tenants that there are, as long as they weigh something.
func (v *validator) keepOutcomes(in *LearnedServer) (kept Tallies) {
	beyond, faded := 0, 0
	for _, t := range in.Outcomes {
		t.At = v.toWallClock(t.At)
		switch {
		case int64(t.Tenant) > int64(v.rules.Tenants):
			beyond++
		case (t.Successes+t.Failures)*v.remainingWeight(t.At) < v.rules.MinOutcomeWeight:
			faded++
		default:
			kept = append(kept, t)
		}
	}
	v.drop(droppedOutcomes, in.Name, beyond, NoSuchPosition)
	v.drop(droppedOutcomes, in.Name, faded, WeightTooLow)
	return kept
}

// Match keeps what was learned of the processes that members still name: a server that has started anew is another
// one.
func Match(servers []LearnedServer, members []Member) (kept []LearnedServer, dropped []Dropped) {
	listed := List{Members: members}.byID()
	for _, s := range servers {
		switch m, have := listed[s.Name]; {
		case !have || m.availability() == deleted:
			dropped = append(dropped, Dropped{What: droppedServer, Server: s.Name, Count: 1, Reason: NotListed})
		case m.StartedAt != s.StartedAt:
			dropped = append(dropped, Dropped{What: droppedServer, Server: s.Name, Count: 1, Reason: OtherProcess})
		default:
			kept = append(kept, s)
		}
	}
	return kept, dropped
}
