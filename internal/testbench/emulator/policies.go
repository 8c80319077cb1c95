package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"plankrouter/policy"
)

const jamMargin = 3 // requests that may be on their way to a server unseen

// Policy decides for one sidecar. policy.Balancer is one; the textbook ones are there to compare with.
type Policy interface {
	Handle(now policy.Ms, e *policy.Event, out []policy.Action) []policy.Action
}

// Policies lists what a day's sidecars can decide by: the module; a server at random; each in turn; the one that holds
// the fewest of the sidecar's own requests; and the one that is best by the true state of all servers, which no real
// sidecar can know.
func Policies() []string { return []string{"module", "random", "round-robin", "least", "oracle"} }

func newPolicy(w *world, sc *sidecar, seed uint64) (Policy, error) {
	cfg := w.cfg.logic(sc.zone)
	if w.cfg.Policy == "module" {
		return policy.New(cfg, seed)
	}
	t := &textbook{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), inFlight: map[policy.ServerID]int{},
		open: map[policy.RequestID]*openRequest{},
	}
	switch w.cfg.Policy {
	case "random":
		t.rank = func(policy.ServerID) float64 { return 0 }
	case "round-robin":
		lastPick := map[policy.ServerID]int{}
		t.rank = func(id policy.ServerID) float64 { return float64(lastPick[id]) }
		t.onPick = func(id policy.ServerID) {
			lastPick[id] = t.picks
			t.picks++
		}
		t.picks = 1
	case "least":
		t.rank = func(id policy.ServerID) float64 { return float64(t.inFlight[id]) }
	case "oracle":
		t.rank = func(id policy.ServerID) float64 { return w.truth(sc, id) }
		t.seesTruth = true
	default:
		return nil, fmt.Errorf("there is no policy %q", w.cfg.Policy)
	}
	return t, nil
}

// truth is how long a request of mean work would take at a server, in ms, as things really are.
func (w *world) truth(sc *sidecar, id policy.ServerID) float64 {
	const out = 1e9
	m := w.byID[id]
	if m.phase != serving || m.paused || !w.reaches(m, sc) || m.failing > 0 {
		return out
	}
	if float64(m.inFlight()+jamMargin) > m.cores*(1+w.cfg.Server.JamWaiting) {
		return out // one more could jam it
	}
	work, shares := 0.0, 0.0
	for _, c := range w.cfg.Classes {
		work, shares = work+c.Fraction*c.WorkMs*m.slow, shares+c.Fraction
	}
	return work/shares*max(m.cores, float64(m.inFlight()+1))/m.power() + 2*w.far[sc.zone][m.zone]
}

// textbook sends each request to the server of the lowest rank and retries what may run again. Only the oracle rejects
// requests while there is a server. It keeps the rules on answers, retries and drains; it has none for slow start.
type textbook struct {
	cfg       policy.Config
	rng       *rand.Rand
	rank      func(policy.ServerID) float64
	onPick    func(policy.ServerID) // may be nil
	picks     int
	seesTruth bool // rank is the time to an answer, so that what would come after the latency objective is rejected
	ready     []policy.ServerID
	inFlight  map[policy.ServerID]int
	open      map[policy.RequestID]*openRequest
}

// openRequest is an open request.
type openRequest struct {
	class, attempts       int
	inFlight, mayRun      bool
	last                  policy.ServerID
	objectiveAt, deadline policy.Ms
}

func (t *textbook) Handle(now policy.Ms, e *policy.Event, acts []policy.Action) []policy.Action {
	switch e.Kind {
	case policy.EndpointsUpdated:
		t.list(e)
	case policy.RequestArrived:
		end := max(0, e.TimeLeft-2*t.cfg.Round-1)
		c := &openRequest{class: e.Class, objectiveAt: now + t.cfg.Classes[e.Class].LatencyObjective, deadline: now + end}
		t.open[e.Request] = c
		acts = append(acts, policy.Action{Kind: policy.SetTimer, Timer: uint64(e.Request), After: end})
		return t.send(now, e.Request, c, acts)
	case policy.AttemptEnded:
		t.inFlight[e.Server]--
		c := t.open[e.Request]
		if c == nil {
			return acts
		}
		c.inFlight = false
		if e.Final {
			delete(t.open, e.Request)
			return acts
		}
		c.mayRun = c.mayRun || !e.Status.NeverRan()
		return t.send(now, e.Request, c, acts)
	case policy.ClientGone:
		return t.drop(e.Request, acts)
	case policy.TimerFired:
		if c := t.open[policy.RequestID(e.Timer)]; c != nil {
			return t.finish(policy.RequestID(e.Timer), c, acts)
		}
	}
	return acts
}

func (t *textbook) list(e *policy.Event) {
	if e.Complete {
		t.ready = t.ready[:0]
	}
	for _, s := range e.Servers {
		t.ready = slices.DeleteFunc(t.ready, func(id policy.ServerID) bool { return id == s.ID })
		if s.Health == policy.Ready {
			t.ready = append(t.ready, s.ID)
		}
	}
}

// send makes the next attempt, if one is allowed.
func (t *textbook) send(now policy.Ms, id policy.RequestID, c *openRequest, acts []policy.Action) []policy.Action {
	unsafe := t.cfg.Classes[c.class].Idempotency == policy.NonIdempotent
	if c.attempts >= t.cfg.MaxAttempts || c.mayRun && unsafe || len(t.ready) == 0 || c.deadline-now < 1 {
		return t.finish(id, c, acts)
	}
	best, lowest := t.lowestRanked(c)
	if t.seesTruth && now+lowest > min(c.objectiveAt, c.deadline) {
		return t.finish(id, c, acts)
	}
	if t.onPick != nil {
		t.onPick(best)
	}
	c.inFlight, c.last = true, best
	c.attempts++
	t.inFlight[best]++
	return append(acts, policy.Action{Kind: policy.StartAttempt, Request: id, Server: best, After: c.deadline - now})
}

// lowestRanked returns a random one of the servers of the lowest rank, and that rank. The server of the last attempt is left out while there
// is another.
func (t *textbook) lowestRanked(c *openRequest) (best policy.ServerID, lowest float64) {
	seen := 0
	for _, s := range t.ready {
		if s == c.last && c.attempts > 0 && len(t.ready) > 1 {
			continue
		}
		r := t.rank(s)
		if seen == 0 || r < lowest {
			lowest, seen = r, 0
		}
		if r == lowest {
			if seen++; t.rng.IntN(seen) == 0 {
				best = s
			}
		}
	}
	return best, lowest
}

// finish gives the final answer.
func (t *textbook) finish(id policy.RequestID, c *openRequest, acts []policy.Action) []policy.Action {
	act := policy.Action{Kind: policy.FailRequest, Request: id}
	if t.cfg.Classes[c.class].Idempotency == policy.Idempotent || !c.mayRun && !c.inFlight {
		act.Kind = policy.RejectRequest
	}
	return t.drop(id, append(acts, act))
}

func (t *textbook) drop(id policy.RequestID, acts []policy.Action) []policy.Action {
	if c := t.open[id]; c != nil && c.inFlight {
		acts = append(acts, policy.Action{Kind: policy.CancelAttempt, Request: id, Attempt: c.attempts - 1})
	}
	delete(t.open, id)
	return acts
}
