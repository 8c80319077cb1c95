// Package keepalive decides on which connection an attempt goes, a reused one or a new one, and whether its last byte is held
// back for a moment. It learns from how attempts end. It does no input or output, reads no clock and draws no random
// numbers.
//
// # The losses
//
// Reused connections break without notice: something between has forgotten them, or the server has, and the attempt that
// finds out is reset. Any attempt may break, on a new connection too, so that only what a reused one adds to that speaks for
// a new one. All losses are in one unit, the value of a request of priority weight 1. With p the probability that the attempt
// breaks, w the priority weight of its request and H = Settings.Handshake:
//
//	a reused connection costs  w·L(p) + p·H                        (what breaks must be replaced)
//	a new one costs          w·L(p) + p·H + H + w·late(dial)     (its own p; dial is learned)
//	L(p) = p·((1-s)·broken + s·early) + late(pause)              for the pause, if any, for which it is least
//	broken = 1 for what must not run twice, else Retry + late(time until a break shows, learned)
//	early  = Retry + late(pause + dial), as nothing has run
//	late(d) = Hurry·d/LatencyObjective, at most 1: the part of requests for which a delay of d is one too many
//
// s is the share of breaks that show while the last byte is held back: a server starts a request once that byte is
// there, so that what breaks before has not run. It is learned for each length of pause from those held back for as
// long (Kaplan and Meier, JASA 53, 1958: the others say nothing of the time after theirs), and apart for the breaks
// that happen on new connections as well and those that only reused ones add.
//
// # The probabilities
//
// p of a reused connection grows with the time for which it was idle and with the attempts that it has carried: a curve over
// each, in steps of 1.35, so 1-p = (1-idle)·(1-carried). A step's estimate is the mean of a Beta posterior whose prior
// is centred on its neighbours; then the curve is made monotone by pooling adjacent violators (Ayer et al., 1955;
// Barlow et al., Statistical Inference under Order Restrictions, 1972). A break is ascribed to the two curves by how far
// the step of each stands out from the mean. A server's curves shrink towards the fleet's, which leave out the
// servers with the most breaks: trouble at one says nothing of the others, the same at several does. A new connection
// is expected to do as well as reused ones until there is evidence.
//
// Evidence fades with a half-life of Settings.Calls attempts, bounded on both sides by times, so that a few attempts an hour
// are not forgotten one by one and a thousand a second do not shut out what is new. Without breaks all estimates are
// exactly 0, and the Estimator does as a plain pool does: any reused connection, no pause. What has been given up is tried
// again as its evidence fades, first by what loses least: a request that may run again, or a probe.
package keepalive

import (
	"cmp"
	"slices"
	"time"
)

// Use is an attempt's connection.
type Use struct {
	Server  string
	Idle    time.Duration // of the connection before the attempt
	Carried int           // attempts before this one; 0 with Idle 0 = a new connection
}

func (u Use) isKept() bool { return u.Carried > 0 || u.Idle > 0 }

// Outcome is how an attempt ended. Those that ended in other ways (refused, timed out, cancelled) are not reported.
type Outcome uint8

// The outcomes.
const (
	Responded            Outcome = iota // whatever the answer said
	BrokenAfterLastByte                 // the connection was reset or ended after the attempt's last byte was written
	BrokenBeforeLastByte                // it broke while the last byte was held back: the attempt has not run
)

// AttemptCost is what an attempt puts at risk.
type AttemptCost struct {
	NonIdempotent    bool          // it must not run twice: broken, it is lost
	LatencyObjective time.Duration // in which its answer is wanted; 0 = any time will do
	PriorityWeight   float64       // of its request, relative to 1 for a usual one; a small part for a probe, so that it explores
}

// boundedWeight guards against numbers that would turn the comparison around.
func (r *AttemptCost) boundedWeight() float64 {
	if !(r.PriorityWeight > 0) {
		return 0
	}
	return min(r.PriorityWeight, 1e6)
}

// Estimator is what is known of how connections break. It is not safe for concurrent use.
type Estimator struct {
	settings Settings

	odds       float64 // log, that breaks have become several times as frequent
	clock      float64 // in half-lives of the evidence, at the last lesson
	base       float64 // clock at which a lesson weighed 1: later ones weigh more instead of earlier ones less
	lastLesson time.Time

	all          evidence // of all servers together, those that are gone among them
	doublyBlamed evidence // of them too, with every break held against both the idle time and the attempts carried
	breaks       [kinds]breaks
	servers      map[string]*serverRecord
	list         []*serverRecord // the same, in the order in which they came
	suspects     []*serverRecord // room for draw

	fleet   posterior
	shown   [kinds][len(pauses)]float64 // share of breaks that show within each pause
	late    [kinds]float64              // seconds until a break after the last byte shows
	stale   bool                        // there has been a break since the posteriors were drawn
	drawnAt float64                     // clock at that time
	draws   int                         // how often they have been
}

// serverRecord is one server.
type serverRecord struct {
	name      string
	seen      evidence
	posterior posterior
	draws     int     // Estimator.drawns when the posterior was drawn
	learned   float64 // clock at its last lesson
	leftOut   bool    // it has so many breaks that the fleet's curves leave it out
}

// New returns an Estimator without evidence.
func New(set Settings) (*Estimator, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Estimator{settings: set, stale: true, servers: map[string]*serverRecord{}}, nil
}

// record returns the server's record, a new one if there is none. The one that has learned nothing for longest makes room.
func (e *Estimator) record(server string) *serverRecord {
	r := e.servers[server]
	if r == nil {
		if len(e.list) >= e.settings.MaxServers {
			e.RemoveServer(slices.MinFunc(e.list, func(x, y *serverRecord) int { return cmp.Compare(x.learned, y.learned) }).name)
		}
		r = &serverRecord{name: server, draws: -1}
		e.servers[server] = r
		e.list = append(e.list, r)
	}
	r.learned = e.clock
	return r
}

// Learn takes note of how an attempt on u ended. held is for how long its last byte was to be held back, as Hold said, also
// where the connection broke sooner; 0 = not at all. took says when a break showed: for Early counted from the first
// byte, for Broken from the last; for Answered it does not matter.
func (e *Estimator) Learn(now time.Time, u Use, how Outcome, held, took time.Duration) {
	p, usual := e.posterior(now, u.Server).breaks(u)
	e.tick(now)
	e.detectChange(p, how)
	r, w := e.record(u.Server), e.weight()
	if how == Responded {
		r.seen.learn(u, w, 0, 0)
		e.all.learn(u, w, 0, 0)
		e.doublyBlamed.learn(u, w, 0, 0)
		return
	}
	e.stale = true
	e.doublyBlamed.learn(u, w, w, w)
	byIdle := w * float32(e.doublyBlamed.idleShareOfBreak(u, 1/w))
	r.seen.learn(u, w, byIdle, w-byIdle)
	e.all.learn(u, w, byIdle, w-byIdle)
	part := float32((usual + little) / (p + little))
	e.breaks[anywhere].learn(how, held, took, w*part)
	e.breaks[added].learn(how, held, took, w*(1-part))
}

// Dialed takes note of the time that a connection took to come up, or to be given up.
func (e *Estimator) Dialed(server string, took time.Duration) {
	w := e.weight()
	e.record(server).seen.dial.learn(w, took)
	e.all.dial.learn(w, took)
}

// RemoveServer drops a server that is gone from the list. What it had in common with others stays with the fleet.
func (e *Estimator) RemoveServer(server string) {
	r := e.servers[server]
	if r == nil {
		return
	}
	if r.leftOut {
		e.all.subtract(&r.seen)
	}
	delete(e.servers, server)
	e.list = slices.DeleteFunc(e.list, func(x *serverRecord) bool { return x == r })
}
