package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"plankrouter/policy"
)

const jamMargin = 3 // requests that the oracle assumes in transit to a server, since the server's RIF does not include them

// Policy makes the decisions of one sidecar. policy.Balancer implements it; the baseline policies serve as a comparison.
type Policy interface {
	Handle(now policy.Ms, e *policy.Event, out []policy.Action) []policy.Action
}

// Policies returns the names of the policies: policy.Balancer (module); a random server (random); the servers in turn
// (round-robin); the server with the fewest requests in flight from this sidecar (least); and the best server by the actual
// state of all servers, which no real sidecar can know (oracle).
func Policies() []string { return []string{"module", "random", "round-robin", "least", "oracle"} }

func newPolicy(w *world, sc *sidecar, seed uint64) (Policy, error) {
	cfg := w.cfg.policyConfig(sc.zone)
	if w.cfg.Policy == "module" {
		return policy.New(cfg, seed)
	}
	b := &baseline{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), inFlight: map[policy.ServerID]int{},
		open: map[policy.RequestID]*openRequest{},
	}
	switch w.cfg.Policy {
	case "random":
		b.rank = func(policy.ServerID) float64 { return 0 }
	case "round-robin":
		lastPick := map[policy.ServerID]int{}
		b.rank = func(id policy.ServerID) float64 { return float64(lastPick[id]) }
		b.onPick = func(id policy.ServerID) {
			lastPick[id] = b.picks
			b.picks++
		}
		b.picks = 1
	case "least":
		b.rank = func(id policy.ServerID) float64 { return float64(b.inFlight[id]) }
	case "oracle":
		b.rank = func(id policy.ServerID) float64 { return w.trueLatency(sc, id) }
		b.rankIsLatency = true
	default:
		return nil, fmt.Errorf("unknown policy %q", w.cfg.Policy)
	}
	return b, nil
}

// trueLatency returns how long a request of mean work would take at a server, in ms, by the actual state of the server.
func (w *world) trueLatency(sc *sidecar, id policy.ServerID) float64 {
	const unavailable = 1e9
	m := w.byID[id]
	if m.phase != serving || m.paused || !w.reachable(m, sc) || m.failing > 0 {
		return unavailable
	}
	if float64(m.inFlight()+jamMargin) > m.cores*(1+w.cfg.Server.JamWaiting) {
		return unavailable // one more request could make it jam, see Server.JamWaiting
	}
	work, fractions := 0.0, 0.0
	for _, c := range w.cfg.Classes {
		work, fractions = work+c.Fraction*c.WorkMs*m.slow, fractions+c.Fraction
	}
	return work/fractions*max(m.cores, float64(m.inFlight()+1))/m.power() + 2*w.far[sc.zone][m.zone]
}

// baseline sends each request to the server of the lowest rank and retries where a retry is safe. Only the policy oracle rejects
// requests while a server is ready. Baselines respect the rules on responses, retries and drains, but ignore slow start.
type baseline struct {
	cfg           policy.Config
	rng           *rand.Rand
	rank          func(policy.ServerID) float64
	onPick        func(policy.ServerID) // called with the chosen server; may be nil
	picks         int
	rankIsLatency bool // rank is the expected latency in ms; requests that would miss the latency objective are rejected
	ready         []policy.ServerID
	inFlight      map[policy.ServerID]int
	open          map[policy.RequestID]*openRequest
}

// openRequest is a request without a final response.
type openRequest struct {
	class, attempts       int
	inFlight, mayRun      bool
	last                  policy.ServerID
	objectiveAt, deadline policy.Ms
}

func (b *baseline) Handle(now policy.Ms, e *policy.Event, acts []policy.Action) []policy.Action {
	switch e.Kind {
	case policy.EndpointsUpdated:
		b.updateEndpoints(e)
	case policy.RequestArrived:
		end := max(0, e.TimeLeft-2*b.cfg.Round-1)
		c := &openRequest{class: e.Class, objectiveAt: now + b.cfg.Classes[e.Class].LatencyObjective, deadline: now + end}
		b.open[e.Request] = c
		acts = append(acts, policy.Action{Kind: policy.SetTimer, Timer: uint64(e.Request), After: end})
		return b.send(now, e.Request, c, acts)
	case policy.AttemptEnded:
		b.inFlight[e.Server]--
		c := b.open[e.Request]
		if c == nil {
			return acts
		}
		c.inFlight = false
		if e.Final {
			delete(b.open, e.Request)
			return acts
		}
		c.mayRun = c.mayRun || !e.Status.NeverRan()
		return b.send(now, e.Request, c, acts)
	case policy.ClientGone:
		return b.drop(e.Request, acts)
	case policy.TimerFired:
		if c := b.open[policy.RequestID(e.Timer)]; c != nil {
			return b.finish(policy.RequestID(e.Timer), c, acts)
		}
	}
	return acts
}

func (b *baseline) updateEndpoints(e *policy.Event) {
	if e.Complete {
		b.ready = b.ready[:0]
	}
	for _, s := range e.Servers {
		b.ready = slices.DeleteFunc(b.ready, func(id policy.ServerID) bool { return id == s.ID })
		if s.Health == policy.Ready {
			b.ready = append(b.ready, s.ID)
		}
	}
}

// send starts the next attempt if one is allowed, and gives the final response otherwise.
func (b *baseline) send(now policy.Ms, id policy.RequestID, c *openRequest, acts []policy.Action) []policy.Action {
	nonIdempotent := b.cfg.Classes[c.class].Idempotency == policy.NonIdempotent
	if c.attempts >= b.cfg.MaxAttempts || c.mayRun && nonIdempotent || len(b.ready) == 0 || c.deadline-now < 1 {
		return b.finish(id, c, acts)
	}
	best, lowest := b.lowestRanked(c)
	if b.rankIsLatency && now+lowest > min(c.objectiveAt, c.deadline) {
		return b.finish(id, c, acts)
	}
	if b.onPick != nil {
		b.onPick(best)
	}
	c.inFlight, c.last = true, best
	c.attempts++
	b.inFlight[best]++
	return append(acts, policy.Action{Kind: policy.StartAttempt, Request: id, Server: best, After: c.deadline - now})
}

// lowestRanked returns a random one of the ready servers of the lowest rank, and that rank. It skips the server of the last
// attempt if another server is ready.
func (b *baseline) lowestRanked(c *openRequest) (best policy.ServerID, lowest float64) {
	ties := 0
	for _, s := range b.ready {
		if s == c.last && c.attempts > 0 && len(b.ready) > 1 {
			continue
		}
		r := b.rank(s)
		if ties == 0 || r < lowest {
			lowest, ties = r, 0
		}
		if r == lowest {
			if ties++; b.rng.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best, lowest
}

// finish gives the final response: a rejection if the client may safely retry, and a failure otherwise.
func (b *baseline) finish(id policy.RequestID, c *openRequest, acts []policy.Action) []policy.Action {
	act := policy.Action{Kind: policy.FailRequest, Request: id}
	if b.cfg.Classes[c.class].Idempotency == policy.Idempotent || !c.mayRun && !c.inFlight {
		act.Kind = policy.RejectRequest
	}
	return b.drop(id, append(acts, act))
}

// drop removes a request and cancels its attempt in flight.
func (b *baseline) drop(id policy.RequestID, acts []policy.Action) []policy.Action {
	if c := b.open[id]; c != nil && c.inFlight {
		acts = append(acts, policy.Action{Kind: policy.CancelAttempt, Request: id, Attempt: c.attempts - 1})
	}
	delete(b.open, id)
	return acts
}
