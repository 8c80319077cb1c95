// Package core is the decision module's host: its events come straight from the sockets, its actions go
// straight to them. One goroutine owns the module, the table of invocations, the providers and the timers.
// All others send it events, and it never waits for a socket.
package core

import (
	"container/heap"
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"plankrouter/internal/config"
	"plankrouter/internal/ending"
	"plankrouter/internal/freshness"
	"plankrouter/internal/invocation"
	"plankrouter/internal/members"
	"plankrouter/internal/provider"
	"plankrouter/internal/reuse"
	"plankrouter/internal/snapshot"
	"plankrouter/internal/sockets"
	"plankrouter/internal/stopping"
	"plankrouter/logic"
)

const (
	eventsAhead  = 1024                   // events that may wait before their senders do
	probeTimeout = 200 * time.Millisecond // an answer that took longer says nothing of the present
	retirePart   = 0.8                    // of the time after which a provider closes an idle connection
	timeoutLead  = 100 * time.Microsecond // of a call's time-out over a timer of the module for the same moment
	goneMost     = 64                     // deleted providers that the next process is told of
	graceMargin  = 100 * time.Millisecond // before the end of a drain's grace: a first byte may take its time
)

// Pool is the host of one Balancer.
type Pool struct {
	cfg     *config.Config
	bal     *logic.Balancer
	invoker *provider.Invoker
	clock   clock
	zones   map[string]int
	stakes  []reuse.Stakes // by class
	saw     func(provider string, sign freshness.Sign)
	ready   atomic.Bool
	events  chan event
	stopped <-chan struct{}

	held      map[logic.RequestID]*held
	byInv     map[*invocation.Invocation]logic.RequestID
	open      map[string]bool // the consumers' ids of what has no final answer yet
	calls     map[*provider.Call]attempt
	providers map[logic.ServerID]*known
	serverIDs map[string]logic.ServerID // of providers, by the directory's ids
	numbers   map[logic.ServerID]bool   // those given out
	book      *reuse.Book               // of how provider connections break
	timers    timers
	next      logic.RequestID
	actions   []logic.Action
	pending   []logic.Event // for the module, in order
	stepping  bool
	now       time.Time         // of the event that the module has last seen; what it asks for counts from here
	revision  uint64            // of the list
	gone      []snapshot.Member // deleted lately: an older list must not bring them back to the next process
	stopAt    time.Time         // when it was told to stop; zero = it was not
	stopPlan  stopping.Plan

	counts Counts
}

// Counts is what the core has taken in, sent and answered.
type Counts struct {
	Taken, Conflicts, Gone  int
	Sent, Probes, Lists     int
	Served, Refused, Failed int
	Calls, Asked, Idle      ending.Counts // endings of invoker calls, probes and idle connections
}

// held is an invocation that has no final answer yet, or whose invoker call is still out.
type held struct {
	inv      *invocation.Invocation
	attempts int
	call     *provider.Call
	answered bool
}

// known is a provider that the directory has named.
type known struct {
	name     string
	line     members.Member // as the directory last told it
	toldAt   time.Time      // since when it has told the present phase
	pool     *provider.Pool
	health   logic.Health
	notAfter time.Time // of a first byte, once it drains or is gone
	calls    int       // and probes under way
}

// attempt is what an invoker call or a probe is for.
type attempt struct {
	probe   bool
	request logic.RequestID
	number  int
	server  logic.ServerID
	end     *timer // of its time
}

// event is something that another goroutine has seen.
type event interface{ apply(*Pool) }

type (
	arrived   struct{ inv *invocation.Invocation }
	abandoned struct{ inv *invocation.Invocation }
	callEnded provider.Result
	connFree  struct{ conn *provider.Conn }
	connEnded struct {
		conn *provider.Conn
		how  ending.Ending
	}
	told    members.List
	taking  struct{ to chan<- *snapshot.Snapshot }
	stopNow struct{ plan stopping.Plan }
	reading struct{ to chan<- Counts }
)

// New returns a Pool that knows the providers of cfg.Known, or what it can go by from before. Its goroutines belong to
// group.
func New(ctx context.Context, group *errgroup.Group, cfg *config.Config, budget *sockets.Budget,
	before *snapshot.Beginning) (*Pool, error) {
	bal, err := logic.New(cfg.Logic, cfg.Seed)
	if err != nil {
		return nil, err
	}
	s := &Pool{cfg: cfg, bal: bal, clock: newClock(), zones: map[string]int{}, stopped: ctx.Done(),
		events: make(chan event, eventsAhead), held: map[logic.RequestID]*held{},
		byInv: map[*invocation.Invocation]logic.RequestID{}, open: map[string]bool{}, calls: map[*provider.Call]attempt{},
		providers: map[logic.ServerID]*known{}, serverIDs: map[string]logic.ServerID{},
		numbers: map[logic.ServerID]bool{}}
	for i := range cfg.Logic.Classes {
		s.stakes = append(s.stakes, stakesOf(&cfg.Logic.Classes[i]))
	}
	for i, name := range cfg.Settings.Dcs {
		s.zones[name] = i
	}
	if s.book, err = reuse.New(prices()); err != nil {
		return nil, err
	}
	s.invoker = provider.NewInvoker(ctx, group, budget, cfg.ConnectTimeout, s)
	s.step(logic.Event{Kind: logic.Started})
	if before == nil {
		cached := cfg.Known
		cached.Complete = true
		s.list(cached)
	} else {
		s.restore(before)
	}
	return s, nil
}

// Watching says who is to hear what is seen of providers that bears on the list. It is called before Run.
func (s *Pool) Watching(saw func(provider string, sign freshness.Sign)) { s.saw = saw }

// Run carries out the module's decisions until ctx ends.
func (s *Pool) Run(ctx context.Context) error {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		alarm.Reset(s.untilNext())
		select {
		case <-ctx.Done():
			return nil
		case e := <-s.events:
			e.apply(s)
		case <-alarm.C:
		}
		s.due()
	}
}

func (s *Pool) send(e event) bool {
	select {
	case s.events <- e:
		return true
	case <-s.stopped:
		return false
	}
}

// Take, Abandon and Ready make the Pool an invocation.Core.
func (s *Pool) Take(inv *invocation.Invocation) bool { return s.send(arrived{inv}) }

// Abandon says that the consumer is gone.
func (s *Pool) Abandon(inv *invocation.Invocation) { s.send(abandoned{inv}) }

// Ready reports whether there is a provider to send to.
func (s *Pool) Ready() bool { return s.ready.Load() }

// Told takes news from the directory.
func (s *Pool) Told(l members.List) { s.send(told(l)) }

// Stopping says that the process has been told to stop: what comes in from now on is answered in time for that.
func (s *Pool) Stopping(plan stopping.Plan) { s.send(stopNow{plan}) }

func (e stopNow) apply(s *Pool) { s.stopAt, s.stopPlan = time.Now(), e.plan }

// CallEnded, ConnFree and ConnEnded make the Pool a provider.Sink.
func (s *Pool) CallEnded(r provider.Result) {
	if !s.send(callEnded(r)) && r.Conn != nil {
		r.Conn.Close()
	}
}

// ConnFree offers a connection that its call did not need.
func (s *Pool) ConnFree(c *provider.Conn) {
	if !s.send(connFree{c}) {
		c.Close()
	}
}

// ConnEnded says that an idle connection is no more.
func (s *Pool) ConnEnded(c *provider.Conn, how ending.Ending) { s.send(connEnded{c, how}) }

// Counts asks for the present figures; after Run has ended it reads the last ones.
func (s *Pool) Counts() Counts {
	to := make(chan Counts, 1)
	if s.send(reading{to}) {
		select {
		case c := <-to:
			return c
		case <-s.stopped:
		}
	}
	return s.counts
}

func (e reading) apply(s *Pool) { e.to <- s.counts }

func (e arrived) apply(s *Pool) {
	inv := e.inv
	if s.open[inv.ID] { // providers could not tell the two apart, and one might get the other's answer
		s.counts.Conflicts++
		inv.Answer(invocation.Answer{Kind: invocation.Conflict})
		return
	}
	s.open[inv.ID] = true
	s.counts.Taken++
	s.next++
	s.held[s.next], s.byInv[inv] = &held{inv: inv}, s.next
	patience := inv.Patience
	if !s.stopAt.IsZero() {
		patience = s.stopPlan.Patience(max(0, inv.SentAt.Sub(s.stopAt)), patience)
	}
	s.step(logic.Event{Kind: logic.Arrival, Request: s.next, Class: inv.Class, Tenant: inv.Tenant,
		Left: config.Millis(patience - time.Since(inv.SentAt)), Again: inv.Again})
}

func (e abandoned) apply(s *Pool) {
	id, waits := s.byInv[e.inv]
	if !waits { // answered a moment ago
		return
	}
	s.counts.Gone++
	s.close(id, s.held[id])
	s.step(logic.Event{Kind: logic.ClientGone, Request: id})
}

// answer gives the one final answer, if it is still owed.
func (s *Pool) answer(id logic.RequestID, a invocation.Answer) {
	h := s.held[id]
	if h == nil || h.answered {
		return
	}
	switch a.Kind {
	case invocation.Served:
		s.counts.Served++
	case invocation.Refused:
		s.counts.Refused++
	case invocation.Failed:
		s.counts.Failed++
	}
	h.inv.Answer(a)
	s.close(id, h)
}

func (s *Pool) close(id logic.RequestID, h *held) {
	h.answered = true
	delete(s.byInv, h.inv)
	delete(s.open, h.inv.ID)
	if h.call == nil {
		delete(s.held, id)
	}
}

func (e callEnded) apply(s *Pool) { s.ended(provider.Result(e)) }

// ended turns the end of an invoker call or a probe into the module's event. Every Send comes by here once.
func (s *Pool) ended(r provider.Result) {
	a := s.calls[r.Call]
	delete(s.calls, r.Call)
	if a.end.index >= 0 { // else it would hold the call, and its connection, until its time was up
		heap.Remove(&s.timers, a.end.index)
	}
	k := s.providers[a.server]
	if k != nil {
		k.calls--
	}
	if k != nil {
		s.learn(k.name, &r)
	}
	if r.Conn != nil {
		s.keep(r.Conn)
	}
	took := config.Millis(time.Since(r.Call.SentAt))
	if sign, is := signOf(r.Ending, a.probe); is && k != nil && s.saw != nil {
		s.saw(k.name, sign)
	}
	if a.probe {
		if r.Ending == ending.Served && !s.cfg.Settings.Whole(r.Report) {
			r.Ending = ending.Unreadable
		}
		s.counts.Asked[r.Ending]++
		s.step(logic.Event{Kind: logic.ProbeDone, Server: a.server, Status: r.Ending.Status(), Took: took,
			Report: r.Report})
		return
	}
	s.counts.Calls[r.Ending]++
	if r.Ending == ending.Served {
		s.answer(a.request, invocation.Answer{Kind: invocation.Served, Fields: r.Fields, Body: r.Body})
	}
	h := s.held[a.request]
	h.call = nil
	if h.answered {
		delete(s.held, a.request)
	}
	s.step(logic.Event{Kind: logic.AttemptDone, Request: a.request, Attempt: a.number,
		Server: a.server, Status: r.Ending.Status(), Took: took, Final: h.answered, Report: r.Report})
}

// signOf reads an ending for what it says of the provider's place in the list. A request that is turned away may have
// met a full queue; a probe is turned away by one that drains.
func signOf(e ending.Ending, probe bool) (sign freshness.Sign, is bool) {
	switch {
	case e == ending.Served:
		return freshness.Alive, true
	case e == ending.Refused:
		return freshness.Refused, true
	case probe && (e == ending.ServerError || e == ending.Declined):
		return freshness.Draining, true
	}
	return sign, false
}

// step gives the module an event and carries out what it decides. Carrying out an action may end a call at
// once; that event waits until all that the module decided before is done.
func (s *Pool) step(e logic.Event) {
	s.pending = append(s.pending, e)
	if s.stepping {
		return
	}
	s.stepping = true
	for len(s.pending) > 0 {
		next := s.pending[0]
		s.pending = s.pending[1:]
		s.now = time.Now()
		s.actions = s.bal.Handle(s.clock.at(s.now), &next, s.actions[:0])
		for i := range s.actions {
			s.do(&s.actions[i])
		}
	}
	s.stepping = false
}

func (s *Pool) untilNext() time.Duration {
	if len(s.timers) == 0 {
		return time.Hour
	}
	return max(0, time.Until(s.timers[0].at))
}

func (s *Pool) due() {
	for len(s.timers) > 0 && !time.Now().Before(s.timers[0].at) {
		t := heap.Pop(&s.timers).(*timer)
		if t.call == nil {
			s.step(logic.Event{Kind: logic.TimerDue, Timer: t.handle})
		} else {
			s.stop(t.call, ending.TimedOut)
		}
	}
}

// stop gives up a call that has not ended yet.
func (s *Pool) stop(c *provider.Call, why ending.Ending) {
	if _, out := s.calls[c]; !out {
		return
	}
	if how, stopped := c.Stop(why); stopped {
		s.ended(provider.Result{Call: c, Ending: how})
	}
}

// serverID is the provider's number: the same in every life of its process and of this one.
func (s *Pool) serverID(id string) logic.ServerID {
	n, have := s.serverIDs[id]
	if !have {
		h := fnv.New32a()
		h.Write([]byte(id))
		for n = logic.ServerID(h.Sum32()); s.numbers[n]; n++ {
		}
		s.serverIDs[id], s.numbers[n] = n, true
	}
	return n
}
