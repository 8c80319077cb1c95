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

	Tolerance time.Duration // by which a snapshot may lie ahead of the clock
	List      time.Duration // the list of providers that take new work
	Drains    time.Duration // that providers drain, from the snapshot on; that they are gone, from when it was told
	Service   time.Duration // service times, round trips, the part of the fleet's traffic
	Fit       time.Duration
	Limits    time.Duration // tenants' tokens and all rates
	Reuse     time.Duration
	HalfLife  time.Duration // in which evidence loses half its weight
	Least     float64       // weight of evidence, in outcomes, below which it is left out
}

// DefaultValidityRules returns the age limits; who starts and with what positions is left to fill in.
func DefaultValidityRules() ValidityRules {
	return ValidityRules{
		Tolerance: 2 * time.Second, List: 24 * time.Hour, Drains: 7 * 24 * time.Hour, Service: 5 * time.Minute,
		Fit: 2 * time.Minute, Limits: 10 * time.Second, Reuse: 5 * time.Minute, HalfLife: 4 * time.Second, Least: 0.05,
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
	ofMember   = "member"
	ofDrain    = "drain"
	ofService  = "service_time"
	ofNetwork  = "round_trip"
	ofFailing  = "reported_errors"
	ofEvidence = "evidence"
	ofFleet    = "fleet"
	ofFit      = "fit"
	ofTenants  = "tenants"
	ofRates    = "rates"
	ofReuse    = "reuse"
	ofServer   = "provider" // all that was learned of it
	ofLearned  = "learned"  // all that was learned
)

// Dropped is something left out.
type Dropped struct {
	What     string
	Provider string // id of the one that it concerns, if it is one
	N        int    // pieces
	Why      Reason
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
		k := kind{d.What, d.Why}
		if n[k] == 0 {
			kinds = append(kinds, k)
		}
		n[k] += d.N
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
	v := sieve{r: r, now: unixMs(now), taken: unixMs(s.TakenAt)}
	if s.Learned.Now > 0 {
		v.shift = v.taken - s.Learned.Now
	}
	out := &Snapshot{TakenAt: s.TakenAt, Program: s.Program, Deployment: s.Deployment, Directory: s.Directory}
	who, dir, when := s.stranger(r), Reason(""), Reason("")
	if s.Directory != r.Directory {
		dir = OtherDirectory
	}
	if s.TakenAt.Sub(now) > r.Tolerance {
		when = FromTheFuture
	}
	v.members(s, out, cmp.Or(who, dir, when), who != "" && dir != "")
	if why := cmp.Or(who, when); why != "" {
		v.drop(ofLearned, "", 1, why)
		v.drop(ofReuse, "", min(1, len(s.Reuse)), why)
		return out, v.out
	}
	v.learned(s, out, dir)
	if dir != "" { // it is of single providers, too
		v.drop(ofReuse, "", min(1, len(s.Reuse)), dir)
	} else if v.fresh(v.taken, r.Reuse, ofReuse, "", min(1, len(s.Reuse))) {
		out.Reuse = slices.Clone(s.Reuse)
	}
	return out, v.out
}

// stranger says in what s is not this program's own.
func (s *Snapshot) stranger(r ValidityRules) Reason {
	switch {
	case s.Program != r.Program:
		return OtherProgram
	case s.Deployment != r.Deployment:
		return OtherDeployment
	}
	return ""
}

// sieve takes out what no longer holds. Times are Unix ms.
type sieve struct {
	r          ValidityRules
	now, taken float64
	shift      float64 // from the module's clock to the wall clock
	out        []Dropped
}

func (v *sieve) drop(what, provider string, n int, why Reason) {
	if n > 0 {
		v.out = append(v.out, Dropped{what, provider, n, why})
	}
}

// past puts a time of the wall clock no later than the snapshot and than now.
func (v *sieve) past(t float64) float64 { return min(t, v.taken, v.now) }

// wall turns a time of the module's clock into one of the wall clock; 0 stays never.
func (v *sieve) wall(t float64) float64 {
	if t <= 0 {
		return 0
	}
	return max(0, v.past(t+v.shift))
}

// fresh reports whether n things of that time are within a limit of age; else they are dropped.
func (v *sieve) fresh(at float64, limit time.Duration, what, provider string, n int) bool {
	if n > 0 && v.now-at <= config.Millis(limit) {
		return true
	}
	v.drop(what, provider, n, TooOld)
	return false
}

// faded is what evidence of that time has kept of its weight.
func (v *sieve) faded(at float64) float64 {
	return math.Exp2(-max(0, v.now-at) / config.Millis(max(1, v.r.HalfLife)))
}

// members keeps the list if no reason speaks against it, and unless strange what it says of those that leave: even from
// the future, since that holds until a directory says otherwise.
func (v *sieve) members(s, out *Snapshot, why Reason, strange bool) {
	if why == "" && v.now-v.taken > config.Millis(v.r.List) {
		why = TooOld
	}
	for _, m := range s.Members {
		asOf := v.taken
		if m.leaving() == 2 && m.ToldAt > 0 {
			asOf = v.past(m.ToldAt) // the list says no more of it; one that drains is in it until the end
		}
		if m.ToldAt > 0 {
			m.ToldAt = max(0, v.past(m.ToldAt))
		}
		if m.Age > 0 {
			m.Age += max(0, v.now-v.taken)
		}
		switch {
		case m.leaving() == 0 && why != "":
			v.drop(ofMember, m.ID, 1, why)
		case m.leaving() > 0 && strange:
			v.drop(ofDrain, m.ID, 1, why)
		case m.leaving() == 0 || v.fresh(asOf, v.r.Drains, ofDrain, m.ID, 1):
			out.Members = append(out.Members, m)
		}
	}
	if why == "" {
		out.Revision = s.Revision
	}
}

// learned keeps what the decisions have learned; what concerns single providers only if the directory is the same.
func (v *sieve) learned(s, out *Snapshot, dir Reason) {
	l, o := &s.Learned, &out.Learned
	o.Now = v.past(v.taken)
	if len(l.Fit.Classes) != v.r.Classes {
		v.drop(ofFit, "", 1, NoSuchPosition)
	} else if at := v.wall(l.Fit.At); v.fresh(at, v.r.Fit, ofFit, "", 1) {
		o.Fit = Fit{l.Fit.XX, l.Fit.XY, at, slices.Clone(l.Fit.Classes)}
	}
	if v.fresh(v.taken, v.r.Service, ofFleet, "", 1) {
		o.FleetLatency, o.FracOwn, o.FracAll = l.FleetLatency, l.FracOwn, l.FracAll
		o.MedianMiss = l.MedianMiss * v.faded(v.past(v.taken))
	}
	if len(l.Tenants) != v.r.Tenants {
		v.drop(ofTenants, "", len(l.Tenants), NoSuchPosition)
	} else if v.fresh(v.taken, v.r.Limits, ofTenants, "", len(l.Tenants)) {
		for _, b := range l.Tenants {
			o.Tenants = append(o.Tenants, Bucket{Tokens: b.Tokens, At: v.wall(b.At)})
		}
	}
	if v.fresh(v.taken, v.r.Limits, ofRates, "", 1) {
		o.Arrivals = Rate{V: l.Arrivals.V, At: v.wall(l.Arrivals.At)}
		o.Sends = Rate{V: l.Sends.V, At: v.wall(l.Sends.At)}
	}
	if dir != "" {
		v.drop(ofServer, "", len(l.Servers), dir)
		return
	}
	kept, gone := Match(l.Servers, s.Members)
	v.out = append(v.out, gone...)
	for i := range kept {
		if one := v.server(&kept[i]); one.Latency > 0 || one.Network > 0 || one.Failing > 0 || len(one.By) > 0 {
			o.Servers = append(o.Servers, one)
		}
	}
}

// server keeps what is still true of one provider's process.
func (v *sieve) server(in *LearnedServer) LearnedServer {
	out := LearnedServer{Name: in.Name, StartedAt: in.StartedAt}
	seen := v.past(v.taken)
	if in.ReportAt > 0 {
		out.ReportAt = v.wall(in.ReportAt)
		seen = out.ReportAt
	}
	if in.Latency > 0 && v.fresh(seen, v.r.Service, ofService, in.Name, 1) {
		out.Latency, out.Reported = in.Latency, in.Reported
	}
	if in.Network > 0 && v.fresh(v.taken, v.r.Service, ofNetwork, in.Name, 1) {
		out.Network = in.Network
	}
	if in.Failing > 0 {
		if in.Failing*v.faded(seen) >= v.r.Least {
			out.Failing = in.Failing
		} else {
			v.drop(ofFailing, in.Name, 1, FadedAway)
		}
	}
	if in.Cold.At > 0 { // it fills by itself
		out.Cold = Rate{V: in.Cold.V, At: v.wall(in.Cold.At)}
	}
	beyond, faded := 0, 0
	for _, t := range in.By {
		t.At = v.wall(t.At)
		switch {
		case int64(t.Who) > int64(v.r.Tenants):
			beyond++
		case (t.Oks+t.Misses)*v.faded(t.At) < v.r.Least:
			faded++
		default:
			out.By = append(out.By, t)
		}
	}
	v.drop(ofEvidence, in.Name, beyond, NoSuchPosition)
	v.drop(ofEvidence, in.Name, faded, FadedAway)
	return out
}

// Match keeps what was learned of the processes that members still name: a provider that has started anew is another
// one.
func Match(servers []LearnedServer, members []Member) (kept []LearnedServer, out []Dropped) {
	listed := List{Members: members}.byID()
	for _, s := range servers {
		switch m, have := listed[s.Name]; {
		case !have || m.leaving() == 2:
			out = append(out, Dropped{ofServer, s.Name, 1, NotListed})
		case m.UpSince != s.StartedAt:
			out = append(out, Dropped{ofServer, s.Name, 1, OtherProcess})
		default:
			kept = append(kept, s)
		}
	}
	return kept, out
}
