// Package keepalive decides whether an attempt uses a reused or a new connection, and for how long its last byte is held
// back. It learns from the outcomes of attempts. It performs no I/O, reads no clock and draws no random numbers.
//
// # Losses
//
// A reused connection may be broken without notice, because the server or a device on the path has dropped its state, and
// the attempt that uses it is reset. Attempts on new connections may break as well, so that only the additional risk of a
// reused connection justifies a new one. Losses are in units of the value of a request of priority weight 1. p is the
// probability that the attempt breaks, w the priority weight of its request.
//
//	reused connection: w·L(p) + p·HandshakeCost (a broken connection must be replaced).
//	new connection:    w·L(p) + p·HandshakeCost + HandshakeCost + w·late(dial) (with its own p; dial is learned).
//	L(p)    = p·((1-s)·broken + s·early) + late(delay), for the last-byte delay, possibly 0, that minimizes it.
//	broken  = 1 for non-idempotent requests, else RetryCost + late(time until a break is detected, learned).
//	early   = RetryCost + late(delay + dial), because the request has not run.
//	late(d) = min(1, DelayCost·d/LatencyObjective): the share of requests for which a delay of d is too much.
//
// s is the share of breaks that are detected while the last byte is held back. A server starts a request only once it has
// that byte, so that a request whose connection breaks earlier has not run. s is learned for each delay from the attempts
// held back for at least as long (Kaplan and Meier, JASA 53, 1958: the others are censored). Breaks that occur on new
// connections as well and those that only reused connections add are counted separately.
//
// # Probabilities
//
// p of a reused connection grows with its idle time and with the number of attempts that it has carried. There is a curve
// over each, in steps of ratio 1.35, and 1-p = (1-idle)·(1-carried). The estimate of a step is the mean of a Beta posterior
// whose prior is centered on the neighboring steps. The curve is then made monotone by pooling adjacent violators (Ayer et
// al., 1955; Barlow et al., Statistical Inference under Order Restrictions, 1972). A break is attributed to the two curves
// by how far the step of each exceeds the mean. The curves of a server shrink towards those of the fleet, which exclude the
// servers with the most breaks: a fault at one server is no evidence for the others, but the same fault at several is. A new
// connection is expected to break as often as reused ones until there is evidence.
//
// Evidence fades with a half-life of Settings.HalfLifeAttempts attempts, bounded by Settings.MinHalfLife and MaxHalfLife. That
// way evidence from a few attempts an hour is not lost between them, and a thousand attempts a second don't hide a change.
// Without breaks all estimates are exactly 0 and the Estimator acts like a plain connection pool: it reuses any connection
// and holds back nothing. Connections that are no longer reused are tried again as the evidence fades, first by attempts
// with the lowest loss: those of idempotent requests, and probes.
package keepalive

import (
	"cmp"
	"slices"
	"time"
)

// Use describes the connection of an attempt.
type Use struct {
	Server  string
	Idle    time.Duration // time for which the connection was idle before the attempt
	Carried int           // attempts on the connection before this one; 0 with Idle 0 = a new connection
}

func (u Use) isReused() bool { return u.Carried > 0 || u.Idle > 0 }

// Outcome is how an attempt ended. Attempts that ended in other ways (connection refused, timeout, cancellation) are not
// reported.
type Outcome uint8

// Outcomes of attempts.
const (
	Responded            Outcome = iota // a response arrived, whatever its status
	BrokenAfterLastByte                 // the connection was reset or closed after the attempt's last byte was written
	BrokenBeforeLastByte                // the connection broke while the last byte was held back: the request has not run
)

// AttemptCost holds what determines the loss if an attempt breaks or is delayed.
type AttemptCost struct {
	NonIdempotent    bool          // the request must not run twice, so that it is lost if the connection breaks
	LatencyObjective time.Duration // time within which the response is wanted; 0 = no objective, delays cost nothing
	PriorityWeight   float64       // relative to 1 for an ordinary request; low for a probe, so that it tries risky connections
}

// boundedWeight returns the priority weight within 0 and 1e6: negative, infinite or NaN weights would invert comparisons.
func (r *AttemptCost) boundedWeight() float64 {
	if !(r.PriorityWeight > 0) {
		return 0
	}
	return min(r.PriorityWeight, 1e6)
}

// Estimator estimates the probability that connections break. It is not safe for concurrent use.
type Estimator struct {
	settings Settings

	changeLogOdds   float64 // CUSUM of the log-likelihood ratio that breaks have become several times as frequent
	clock           float64 // in half-lives of the evidence, at the last observation
	weightBase      float64 // clock at which an observation weighs 1; later ones weigh more, instead of earlier ones less
	lastObservation time.Time

	all                 evidence // evidence of all servers together, including removed ones
	doubleCounted       evidence // like all, but each break counts in full against both idle time and attempts carried
	breaks              [breakKinds]breakStats
	servers             map[string]*serverRecord
	serverList          []*serverRecord // the records in servers, in insertion order
	exclusionCandidates []*serverRecord // buffer reused by recompute

	fleet            posterior
	detectedFraction [breakKinds][len(lastByteDelays)]float64 // fraction of breaks detected within each last-byte delay
	detectionTime    [breakKinds]float64                      // seconds from the last byte until a break is detected
	stale            bool                                     // a break has been observed since the posteriors were computed
	computedAt       float64                                  // clock at the last recompute
	generation       int                                      // number of recomputes
}

// serverRecord holds the evidence and the estimates of one server.
type serverRecord struct {
	name         string
	observed     evidence
	posterior    posterior
	generation   int     // Estimator.generation for which the posterior was computed; -1 = none
	lastObserved float64 // clock at its last observation
	excluded     bool    // has so many breaks that the fleet's curves exclude it
}

// New returns an Estimator without evidence, or an error if a setting is out of range.
func New(set Settings) (*Estimator, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Estimator{settings: set, stale: true, servers: map[string]*serverRecord{}}, nil
}

// record returns the server's record and creates it if there is none. If there are MaxServers records already, the least
// recently updated one is removed.
func (e *Estimator) record(server string) *serverRecord {
	r := e.servers[server]
	if r == nil {
		if len(e.serverList) >= e.settings.MaxServers {
			e.RemoveServer(slices.MinFunc(e.serverList, func(x, y *serverRecord) int { return cmp.Compare(x.lastObserved, y.lastObserved) }).name)
		}
		r = &serverRecord{name: server, generation: -1}
		e.servers[server] = r
		e.serverList = append(e.serverList, r)
	}
	r.lastObserved = e.clock
	return r
}

// Learn records the outcome of an attempt on u. held is the result of LastByteDelay for the attempt, even if the connection
// broke sooner; 0 = the last byte was not held back. took is the time until a break was detected: from the first byte for
// BrokenBeforeLastByte, from the last byte for BrokenAfterLastByte; it is ignored for Responded.
func (e *Estimator) Learn(now time.Time, u Use, outcome Outcome, held, took time.Duration) {
	breakProbability, baseline := e.posterior(now, u.Server).breakProbability(u)
	e.advanceClock(now)
	e.detectChange(breakProbability, outcome)
	r, w := e.record(u.Server), e.weight()
	if outcome == Responded {
		r.observed.add(u, w, 0, 0)
		e.all.add(u, w, 0, 0)
		e.doubleCounted.add(u, w, 0, 0)
		return
	}
	e.stale = true
	e.doubleCounted.add(u, w, w, w)
	byIdle := w * float32(e.doubleCounted.idleAttribution(u, 1/w))
	r.observed.add(u, w, byIdle, w-byIdle)
	e.all.add(u, w, byIdle, w-byIdle)
	baselinePart := float32((baseline + epsilon) / (breakProbability + epsilon))
	e.breaks[onAnyConn].add(outcome, held, took, w*baselinePart)
	e.breaks[onReusedOnly].add(outcome, held, took, w*(1-baselinePart))
}

// Dialed records the time that a dial to the server took until it succeeded or failed.
func (e *Estimator) Dialed(server string, took time.Duration) {
	w := e.weight()
	e.record(server).observed.dial.add(w, took)
	e.all.dial.add(w, took)
}

// RemoveServer removes the record of a server that is no longer listed. Its evidence stays in the fleet's unless the
// server is excluded from the fleet's curves.
func (e *Estimator) RemoveServer(server string) {
	r := e.servers[server]
	if r == nil {
		return
	}
	if r.excluded {
		e.all.subtract(&r.observed)
	}
	delete(e.servers, server)
	e.serverList = slices.DeleteFunc(e.serverList, func(x *serverRecord) bool { return x == r })
}
