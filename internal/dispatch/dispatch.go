// Package dispatch is the host of one pool: a list of providers, the decision module that picks among them, and one goroutine
// that owns both, with the table of invocations and all timers. All others send it events, and it never waits for a socket.
// Attempts are made by a upstream.Caller, of whatever protocol; invocations come from any front. Many pools may live in a
// process: they share only what they are handed.
package dispatch

import (
	"container/heap"
	"context"
	"hash/fnv"
	"maps"
	"plankrouter/internal/cordon"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/invariant"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/shutdown"
	"plankrouter/internal/snapshot"
	"plankrouter/internal/staleness"
	"plankrouter/internal/upstream"
	"plankrouter/internal/wallclock"
	"plankrouter/policy"
	"slices"
	"sync/atomic"
	"time"
)

const (
	eventsAhead  = 1024                   // events that may wait before their senders do
	eventsAtOnce = 32                     // events that are handled before timers are looked at
	farAhead     = time.Hour              // of the next alarm, while no timer is set
	probeTimeout = 200 * time.Millisecond // an answer that took longer says nothing of the present
	timeoutLead  = 100 * time.Microsecond // of a call's time-out over a timer of the module for the same moment
	goneMost     = 2048                   // deleted providers that the next process is told of: a release may replace all at once
	flowMost     = 10 * time.Minute       // for a request whose body is still being sent
	flowMargin   = 15 * time.Millisecond  // before its consumer stops waiting, once it was sent
)

// Options are what a pool is told. Caller is required; the rest may be left out as far as Logic allows.
type Options struct {
	Name             string // in snapshots
	Deployment       string // in snapshots: stands for the settings that give positions their meaning
	Policy           policy.Config
	Seed             uint64
	Zones            []string           // the names of Logic's zones, by position; a member of any other is in none
	DrainGrace       time.Duration      // after which nothing new may reach a provider that drains or is gone
	InitialEndpoints endpoints.List     // the providers, as far as they are known
	Restored         *snapshot.Restored // takes the place of Known; nil = there is none
	Upstream         upstream.Upstream

	// IsComplete reports whether a probe's report has what the module can't do without; nil = any will do.
	IsComplete func(policy.Report) bool
	// Logf logs a line of key=value pairs; nil = nothing is logged.
	Logf func(format string, args ...any)
	// Trace logs a line for every attempt and probe, as it begins and as it ends; nil = none.
	Trace func(format string, args ...any)
	// OnEvidence is told what is seen of providers that bears on the list. It must not block; nil = nobody is.
	OnEvidence func(provider string, sign staleness.Evidence)
	// OnServerCounts is told now and then how many providers are listed, and how many of those are left out. It must not block;
	// nil = nobody is.
	OnServerCounts func(listed, leftOut int)
	// Cordons are the operators' word at the start.
	Cordons cordon.Set
	// Invariants counts what the guards of the rules held back; nil = nobody does.
	Invariants *invariant.Recorder
	// WallClock reads the wall clock, which may be stepped; nil = time.Now.
	WallClock func() time.Time
}

// Dispatcher is the host of one Balancer. Its exported methods are safe for concurrent use.
type Dispatcher struct {
	set        Options
	bal        *policy.Balancer
	clock      clock
	dates      wallclock.Line // of servers' starts and operators' orders, on the module's clock
	ages       map[string]age // of servers' processes, by the process before this one; while restore needs them
	zones      map[string]int
	ready      atomic.Bool
	events     chan event
	listEvents chan event    // what discovery has told, which goes before what else waits: the grace of a drain does not wait for it
	stopped    chan struct{} // closed when Run has ended

	held      map[policy.RequestID]*held
	byInv     map[*request.Request]policy.RequestID
	open      map[string]bool     // the consumers' ids of what has no final answer yet
	elsewhere map[string]bool     // likewise, in the process before this one
	calls     map[uint64]*attempt // and probes under way
	uploads   map[uint64]*attempt // those whose request is still being sent
	lastCall  uint64
	providers map[policy.ServerID]*known
	serverIDs map[string]policy.ServerID // of providers, by their ids
	numbers   map[policy.ServerID]bool   // those given out
	timers    timers
	next      policy.RequestID
	actions   []policy.Action
	pending   []policy.Event // for the module, in order
	stepping  bool
	now       time.Time          // of the event that the module has last seen; what it asks for counts from here
	revision  uint64             // of the list
	trust     staleness.Validity // in the list; none = it is never in doubt
	bans      cordon.Set         // lies over the list
	lookedAt  time.Time          // see look
	classes   []int              // of the module, in the order of the settings
	tenants   []int
	gone      []snapshot.Member // deleted lately: an older list must not bring them back to the next process
	stopAt    time.Time         // when it was told to stop; zero = it was not
	stopPlan  shutdown.Schedule

	counts Counts
}

// Counts is what the core has taken in, sent and answered.
type Counts struct {
	Accepted, Conflicts, ClientsGone  int
	Attempts, Probes, EndpointUpdates int
	Served, Rejected, Failed          int
	UnservedByReason                  map[policy.Reason]int // refused or failed, by reason
	AttemptOutcomes, ProbeOutcomes    outcome.Counts        // endings of invoker calls and of probes
}

// known is a provider that the directory has named.
type known struct {
	name     string
	line     endpoints.Endpoint // as the directory last told it
	origin   origin             // of the process that it names
	toldAt   time.Time          // since when it has told the present phase
	at       upstream.Endpoint
	health   policy.Health
	notAfter time.Time // of a first byte, once it drains or is gone
	calls    int       // and probes under way
	newsAt   time.Time // of its last load report
	outSince time.Time // the module has left it out; zero = it does not
	proof    staleness.Liveness
}

// attempt is an invoker call or a probe under way, and what it is for.
type attempt struct {
	call    upstream.Attempt
	began   time.Time
	probe   bool
	request policy.RequestID
	number  int
	server  policy.ServerID
	at      upstream.Endpoint // the process that it went to
	end     *timer            // of its time
	expires time.Time         // no byte of it later than this; zero = any time
}

// event is something that another goroutine has seen.
type event interface{ apply(*Dispatcher) }

type (
	arrived   struct{ inv *request.Request }
	abandoned struct {
		inv    *request.Request
		mayRun chan<- bool // nil = nobody asks
	}
	callEnded struct {
		number uint64
		upstream.Result
	}
	flowed struct{ number uint64 }
	told   struct {
		endpoints.List
		at time.Time
	}
	trusting staleness.Validity
	taking   struct{ to chan<- *snapshot.Snapshot }
	stopNow  struct {
		plan shutdown.Schedule
		at   time.Time
	}
	changing struct {
		Reconfiguration
		done chan<- error
	}
	reading struct{ to chan<- Counts }
	asking  struct{ to chan<- []string }
	foreign struct{ ids []string }
	banning struct {
		set  cordon.Set
		done chan<- struct{}
	}
	finding struct {
		provider string
		to       chan<- bool
	}
)

// New returns a Pool that does nothing until Run is called; what is sent to it waits.
func New(o Options) (*Dispatcher, error) {
	bal, err := policy.New(vouching(o.Policy, o.DrainGrace), o.Seed)
	if err != nil {
		return nil, err
	}
	if o.Logf == nil {
		o.Logf = func(string, ...any) {}
	}
	if o.OnServerCounts == nil {
		o.OnServerCounts = func(int, int) {}
	}
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	if o.OnEvidence == nil {
		o.OnEvidence = func(string, staleness.Evidence) {}
	}
	s := &Dispatcher{
		set: o, bans: o.Cordons, bal: bal, clock: newClock(o.WallClock), zones: map[string]int{}, stopped: make(chan struct{}),
		events: make(chan event, eventsAhead), listEvents: make(chan event, 1), held: map[policy.RequestID]*held{},
		byInv: map[*request.Request]policy.RequestID{}, open: map[string]bool{},
		calls: map[uint64]*attempt{}, uploads: map[uint64]*attempt{},
		providers: map[policy.ServerID]*known{}, serverIDs: map[string]policy.ServerID{},
		numbers: map[policy.ServerID]bool{},
	}
	s.classes, s.tenants = upTo(len(o.Policy.Classes)), upTo(len(o.Policy.Tenants))
	for i, name := range o.Zones {
		s.zones[name] = i
	}
	s.step(policy.Event{Kind: policy.Started})
	if o.Restored == nil {
		cached := o.InitialEndpoints
		cached.Complete = true
		s.list(cached)
	} else {
		s.restore(o.Restored)
	}
	return s, nil
}

// Run carries out the module's decisions until ctx ends. It is called once.
func (s *Dispatcher) Run(ctx context.Context) error {
	defer close(s.stopped)
	far := time.Now().Add(farAhead)
	alarm := time.NewTimer(farAhead)
	defer alarm.Stop()
	for armed := far; ; {
		// An alarm that is too early does no harm: most timers are taken back before they are due.
		if len(s.timers) > 0 && s.timers[0].at.Before(armed) {
			armed = s.timers[0].at
			alarm.Reset(time.Until(armed))
		}
		select {
		case <-ctx.Done():
			return nil
		case e := <-s.listEvents:
			e.apply(s)
		case e := <-s.events:
			s.handleListEvents()
			e.apply(s)
			s.handleWaiting()
		case <-alarm.C:
			armed = time.Now().Add(farAhead)
			alarm.Reset(farAhead)
		}
		s.due()
		s.reportTargets(time.Now())
	}
}

// handleListEvents handles what discovery has told.
func (s *Dispatcher) handleListEvents() {
	for {
		select {
		case e := <-s.listEvents:
			e.apply(s)
		default:
			return
		}
	}
}

// handleWaiting handles what else has come in, up to a point at which timers must be looked at.
func (s *Dispatcher) handleWaiting() {
	for range eventsAtOnce {
		s.handleListEvents()
		select {
		case e := <-s.events:
			e.apply(s)
		default:
			return
		}
	}
}

func (s *Dispatcher) send(e event) bool { return s.sendOn(s.events, e) }

func (s *Dispatcher) sendOn(way chan<- event, e event) bool {
	select {
	case way <- e:
		return true
	case <-s.stopped:
		return false
	}
}

// Submit hands over an invocation; with Abandon and Ready it makes the Pool an request.Core.
func (s *Dispatcher) Submit(inv *request.Request) bool { return s.send(arrived{inv}) }

// ClientGone says that the consumer is gone. Its word may have to wait behind others; meanwhile nothing more is sent all the same.
func (s *Dispatcher) ClientGone(inv *request.Request) {
	inv.MarkClientGone()
	s.send(abandoned{inv: inv})
}

// Cancel is Abandon for one who has to know whether an attempt may have run. What has been answered meanwhile may have.
func (s *Dispatcher) Cancel(inv *request.Request) (mayRun bool) {
	told := make(chan bool, 1)
	if s.send(abandoned{inv, told}) {
		select {
		case mayRun = <-told:
			return mayRun
		case <-s.stopped:
		}
	}
	h := s.held[s.byInv[inv]] // as Run has left it: nothing changes it any more
	return h == nil || h.mayRun || h.call != 0
}

// Done is closed when Run has ended: nothing is answered any more.
func (s *Dispatcher) Done() <-chan struct{} { return s.stopped }

// Ready reports whether there is a provider to send to.
func (s *Dispatcher) Ready() bool { return s.ready.Load() }

// UpdateEndpoints takes news from the directory, which were there at that moment.
func (s *Dispatcher) UpdateEndpoints(l endpoints.List, at time.Time) {
	s.sendOn(s.listEvents, told{l, at})
}

// SetListValidity takes what the list is worth from now on.
func (s *Dispatcher) SetListValidity(t staleness.Validity) { s.sendOn(s.listEvents, trusting(t)) }

func (e trusting) apply(s *Dispatcher) {
	s.trust = staleness.Validity(e)
	pick, _ := staleness.DrainLimits(s.set.DrainGrace)
	s.step(policy.Event{
		Kind: policy.ListValidityChanged, TimeLeft: millis(time.Until(e.ListUntil) + pick),
		Elapsed: millis(time.Until(e.ProcessUntil)),
	})
}

// vouching adds to the module's settings for how long a probe stands for a list that is not sure.
func vouching(cfg policy.Config, grace time.Duration) policy.Config {
	pick, _ := staleness.DrainLimits(grace)
	cfg.ProbeValidity = millis(pick)
	return cfg
}

// ScheduleShutdown says that the process was told to stop, at that moment: what comes in from then on is answered in time for that.
func (s *Dispatcher) ScheduleShutdown(plan shutdown.Schedule, at time.Time) {
	s.send(stopNow{plan, at})
}

func (e stopNow) apply(s *Dispatcher) {
	s.stopAt, s.stopPlan = e.at, e.plan
	for id, h := range s.held {
		end := h.inv.SentAt.Add(s.patience(h.inv))
		if h.inv.Remainder != nil { // its body may flow on: then its own deadline is not set yet
			end = s.stopAt.Add(e.plan.LastAnswer)
		}
		if !h.answered && (h.inv.Remainder != nil || end.Before(h.inv.SentAt.Add(h.inv.Timeout))) {
			heap.Push(&s.timers, &timer{at: end, handle: uint64(id)}) // as its own deadline would
		}
	}
}

// Counts asks for the present figures; after Run has ended it reads the last ones.
func (s *Dispatcher) Counts() Counts {
	if c, ok := ask(s, func(to chan<- Counts) event { return reading{to} }); ok {
		return c
	}
	return s.counts
}

func (e reading) apply(s *Dispatcher) {
	counts := s.counts
	counts.UnservedByReason = maps.Clone(counts.UnservedByReason)
	e.to <- counts
}

// OpenRequests returns the consumers' ids of what has no final answer yet.
func (s *Dispatcher) OpenRequests() []string {
	ids, _ := ask(s, func(to chan<- []string) event { return asking{to} })
	return ids
}

func (e asking) apply(s *Dispatcher) { e.to <- slices.Collect(maps.Keys(s.open)) }

// SetOpenInPredecessor takes the ids of what another process of the same sidecar has open, in place of those it took before.
func (s *Dispatcher) SetOpenInPredecessor(ids []string) { s.send(foreign{ids}) }

func (e foreign) apply(s *Dispatcher) {
	s.elsewhere = map[string]bool{}
	for _, id := range e.ids {
		s.elsewhere[id] = true
	}
}

// step gives the module an event and carries out what it decides. Carrying out an action may end a call at
// once; that event waits until all that the module decided before is done.
func (s *Dispatcher) step(e policy.Event) {
	s.pending = append(s.pending, e)
	if s.stepping {
		return
	}
	s.stepping = true
	for len(s.pending) > 0 {
		next := s.pending[0]
		s.pending = s.pending[1:]
		s.now = time.Now()
		if h := s.held[next.Request]; next.Kind == policy.RequestArrived && h != nil { // as of the time from which the module counts it
			next.TimeLeft = millis(s.left(h.inv, s.now))
		}
		s.actions = s.bal.Handle(s.clock.at(s.now), &next, s.actions[:0])
		for i := range s.actions {
			s.do(&s.actions[i])
		}
	}
	s.stepping = false
}

// due handles the timers whose time has come.
func (s *Dispatcher) due() {
	for len(s.timers) > 0 && !time.Now().Before(s.timers[0].at) {
		t := heap.Pop(&s.timers).(*timer)
		switch {
		case t.call == 0:
			s.step(policy.Event{Kind: policy.TimerFired, Timer: t.handle})
		case t.expires:
			s.withdraw(t.call, outcome.Expired)
		default:
			s.stop(t.call, outcome.TimedOut)
		}
	}
}

// stop gives up a call that has not ended yet.
func (s *Dispatcher) stop(number uint64, why outcome.Kind) {
	if a := s.calls[number]; a != nil {
		if how, stopped := a.call.Cancel(why); stopped {
			s.ended(number, upstream.Result{Outcome: how})
		}
	}
}

// withdraw gives up a call of which the last byte is not written.
func (s *Dispatcher) withdraw(number uint64, why outcome.Kind) {
	if a := s.calls[number]; a != nil {
		if how, withdrawn := a.call.Withdraw(why); withdrawn {
			s.ended(number, upstream.Result{Outcome: how})
		}
	}
}

// serverID is the provider's number: the same in every life of its process and of this one.
func (s *Dispatcher) serverID(id string) policy.ServerID {
	n, have := s.serverIDs[id]
	if !have {
		h := fnv.New32a()
		h.Write([]byte(id))
		for n = policy.ServerID(h.Sum32()); s.numbers[n]; n++ {
		}
		s.serverIDs[id], s.numbers[n] = n, true
	}
	return n
}
