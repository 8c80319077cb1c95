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
	eventQueueSize       = 1024                   // events that may wait before their senders do
	maxEventBatch        = 32                     // events that are handled before timers are looked at
	idleAlarm            = time.Hour              // of the next alarm, while no timer is set
	probeTimeout         = 200 * time.Millisecond // an answer that took longer says nothing of the present
	timeoutLead          = 100 * time.Microsecond // of a call's time-out over a timer of the module for the same moment
	maxDeletedServers    = 2048                   // deleted providers that the next process is told of: a release may replace all at once
	maxUploadTime        = 10 * time.Minute       // for a request whose body is still being sent
	uploadResponseMargin = 15 * time.Millisecond  // before its consumer stops waiting, once it was sent
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
	options         Options
	balancer        *policy.Balancer
	clock           clock
	wallClock       wallclock.Line        // of servers' starts and operators' orders, on the module's clock
	predecessorAges map[string]processAge // of servers' processes, by the process before this one; while restore needs them
	zonePositions   map[string]int
	ready           atomic.Bool
	events          chan event
	listEvents      chan event    // what discovery has told, which goes before what else waits: the grace of a drain does not wait for it
	stopped         chan struct{} // closed when Run has ended

	requests          map[policy.RequestID]*pendingRequest
	requestIDs        map[*request.Request]policy.RequestID
	openIDs           map[string]bool           // the consumers' ids of what has no final answer yet
	openInPredecessor map[string]bool           // likewise, in the process before this one
	attempts          map[uint64]*attemptRecord // and probes under way
	uploads           map[uint64]*attemptRecord // those whose request is still being sent
	lastAttempt       uint64
	servers           map[policy.ServerID]*serverRecord
	serverIDs         map[string]policy.ServerID // of providers, by their ids
	usedServerIDs     map[policy.ServerID]bool   // those given out
	timers            timers
	lastRequest       policy.RequestID
	actions           []policy.Action
	policyEvents      []policy.Event // for the module, in order
	handling          bool
	eventTime         time.Time          // of the event that the module has last seen; what it asks for counts from here
	listRevision      uint64             // of the list
	listValidity      staleness.Validity // in the list; none = it is never in doubt
	cordons           cordon.Set         // lies over the list
	reportedAt        time.Time          // see look
	classPositions    []int              // of the module, in the order of the settings
	tenantPositions   []int
	deletedServers    []snapshot.Member // deleted lately: an older list must not bring them back to the next process
	shutdownAt        time.Time         // when it was told to stop; zero = it was not
	shutdownSchedule  shutdown.Schedule

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

// serverRecord is a provider that the directory has named.
type serverRecord struct {
	name          string
	endpoint      endpoints.Endpoint // as the directory last told it
	origin        origin             // of the process that it names
	phaseSince    time.Time          // since when it has told the present phase
	process       upstream.Endpoint
	health        policy.Health
	firstByteBy   time.Time // of a first byte, once it drains or is gone
	attempts      int       // and probes under way
	reportedAt    time.Time // of its last load report
	excludedSince time.Time // the module has left it out; zero = it does not
	liveness      staleness.Liveness
}

// attemptRecord is an invoker call or a probe under way, and what it is for.
type attemptRecord struct {
	running   upstream.Attempt
	startedAt time.Time
	isProbe   bool
	request   policy.RequestID
	number    int
	server    policy.ServerID
	process   upstream.Endpoint // the process that it went to
	timeout   *timer            // of its time
	expires   time.Time         // no byte of it later than this; zero = any time
}

// event is something that another goroutine has seen.
type event interface{ apply(*Dispatcher) }

type (
	requestArrived struct{ request *request.Request }
	clientGone     struct {
		request *request.Request
		mayRun  chan<- bool // nil = nobody asks
	}
	attemptEnded struct {
		number uint64
		upstream.Result
	}
	bodySent         struct{ number uint64 }
	endpointsUpdated struct {
		endpoints.List
		at time.Time
	}
	listValidityChanged staleness.Validity
	snapshotRequested   struct{ reply chan<- *snapshot.Snapshot }
	shutdownScheduled   struct {
		schedule shutdown.Schedule
		at       time.Time
	}
	reconfigured struct {
		Reconfiguration
		done chan<- error
	}
	countsRequested           struct{ reply chan<- Counts }
	openRequestsRequested     struct{ reply chan<- []string }
	predecessorRequestsListed struct{ ids []string }
	cordonsChanged            struct {
		set  cordon.Set
		done chan<- struct{}
	}
	serverLookup struct {
		server string
		reply  chan<- bool
	}
)

// New returns a Pool that does nothing until Run is called; what is sent to it waits.
func New(o Options) (*Dispatcher, error) {
	bal, err := policy.New(withProbeValidity(o.Policy, o.DrainGrace), o.Seed)
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
	d := &Dispatcher{
		options: o, cordons: o.Cordons, balancer: bal, clock: newClock(o.WallClock), zonePositions: map[string]int{}, stopped: make(chan struct{}),
		events: make(chan event, eventQueueSize), listEvents: make(chan event, 1), requests: map[policy.RequestID]*pendingRequest{},
		requestIDs: map[*request.Request]policy.RequestID{}, openIDs: map[string]bool{},
		attempts: map[uint64]*attemptRecord{}, uploads: map[uint64]*attemptRecord{},
		servers: map[policy.ServerID]*serverRecord{}, serverIDs: map[string]policy.ServerID{},
		usedServerIDs: map[policy.ServerID]bool{},
	}
	d.classPositions, d.tenantPositions = positions(len(o.Policy.Classes)), positions(len(o.Policy.Tenants))
	for i, name := range o.Zones {
		d.zonePositions[name] = i
	}
	d.handle(policy.Event{Kind: policy.Started})
	if o.Restored == nil {
		cached := o.InitialEndpoints
		cached.Complete = true
		d.applyEndpoints(cached)
	} else {
		d.restore(o.Restored)
	}
	return d, nil
}

// Run carries out the module's decisions until ctx ends. It is called once.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer close(d.stopped)
	far := time.Now().Add(idleAlarm)
	alarm := time.NewTimer(idleAlarm)
	defer alarm.Stop()
	for armed := far; ; {
		// An alarm that is too early does no harm: most timers are taken back before they are due.
		if len(d.timers) > 0 && d.timers[0].at.Before(armed) {
			armed = d.timers[0].at
			alarm.Reset(time.Until(armed))
		}
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.listEvents:
			e.apply(d)
		case e := <-d.events:
			d.handleListEvents()
			e.apply(d)
			d.handleQueuedEvents()
		case <-alarm.C:
			armed = time.Now().Add(idleAlarm)
			alarm.Reset(idleAlarm)
		}
		d.fireTimers()
		d.reportServers(time.Now())
	}
}

// handleListEvents handles what discovery has told.
func (d *Dispatcher) handleListEvents() {
	for {
		select {
		case e := <-d.listEvents:
			e.apply(d)
		default:
			return
		}
	}
}

// handleQueuedEvents handles what else has come in, up to a point at which timers must be looked at.
func (d *Dispatcher) handleQueuedEvents() {
	for range maxEventBatch {
		d.handleListEvents()
		select {
		case e := <-d.events:
			e.apply(d)
		default:
			return
		}
	}
}

func (d *Dispatcher) send(e event) bool { return d.sendTo(d.events, e) }

func (d *Dispatcher) sendTo(way chan<- event, e event) bool {
	select {
	case way <- e:
		return true
	case <-d.stopped:
		return false
	}
}

// Submit hands over an invocation; with Abandon and Ready it makes the Pool an request.Core.
func (d *Dispatcher) Submit(req *request.Request) bool { return d.send(requestArrived{req}) }

// ClientGone says that the consumer is gone. Its word may have to wait behind others; meanwhile nothing more is sent all the same.
func (d *Dispatcher) ClientGone(req *request.Request) {
	req.MarkClientGone()
	d.send(clientGone{request: req})
}

// Cancel is Abandon for one who has to know whether an attempt may have run. What has been answered meanwhile may have.
func (d *Dispatcher) Cancel(req *request.Request) (mayRun bool) {
	told := make(chan bool, 1)
	if d.send(clientGone{req, told}) {
		select {
		case mayRun = <-told:
			return mayRun
		case <-d.stopped:
		}
	}
	h := d.requests[d.requestIDs[req]] // as Run has left it: nothing changes it any more
	return h == nil || h.mayRun || h.attempt != 0
}

// Done is closed when Run has ended: nothing is answered any more.
func (d *Dispatcher) Done() <-chan struct{} { return d.stopped }

// Ready reports whether there is a provider to send to.
func (d *Dispatcher) Ready() bool { return d.ready.Load() }

// UpdateEndpoints takes news from the directory, which were there at that moment.
func (d *Dispatcher) UpdateEndpoints(l endpoints.List, at time.Time) {
	d.sendTo(d.listEvents, endpointsUpdated{l, at})
}

// SetListValidity takes what the list is worth from now on.
func (d *Dispatcher) SetListValidity(t staleness.Validity) {
	d.sendTo(d.listEvents, listValidityChanged(t))
}

func (e listValidityChanged) apply(d *Dispatcher) {
	d.listValidity = staleness.Validity(e)
	pick, _ := staleness.DrainLimits(d.options.DrainGrace)
	d.handle(policy.Event{
		Kind: policy.ListValidityChanged, TimeLeft: millis(time.Until(e.ListUntil) + pick),
		Elapsed: millis(time.Until(e.ProcessUntil)),
	})
}

// withProbeValidity adds to the module's settings for how long a probe stands for a list that is not sure.
func withProbeValidity(cfg policy.Config, grace time.Duration) policy.Config {
	pick, _ := staleness.DrainLimits(grace)
	cfg.ProbeValidity = millis(pick)
	return cfg
}

// ScheduleShutdown says that the process was told to stop, at that moment: what comes in from then on is answered in time for that.
func (d *Dispatcher) ScheduleShutdown(plan shutdown.Schedule, at time.Time) {
	d.send(shutdownScheduled{plan, at})
}

func (e shutdownScheduled) apply(d *Dispatcher) {
	d.shutdownAt, d.shutdownSchedule = e.at, e.schedule
	for id, h := range d.requests {
		end := h.request.SentAt.Add(d.waitLimit(h.request))
		if h.request.Remainder != nil { // its body may flow on: then its own deadline is not set yet
			end = d.shutdownAt.Add(e.schedule.LastAnswer)
		}
		if !h.answered && (h.request.Remainder != nil || end.Before(h.request.SentAt.Add(h.request.Timeout))) {
			heap.Push(&d.timers, &timer{at: end, policyTimer: uint64(id)}) // as its own deadline would
		}
	}
}

// Counts asks for the present figures; after Run has ended it reads the last ones.
func (d *Dispatcher) Counts() Counts {
	if c, ok := query(d, func(to chan<- Counts) event { return countsRequested{to} }); ok {
		return c
	}
	return d.counts
}

func (e countsRequested) apply(d *Dispatcher) {
	counts := d.counts
	counts.UnservedByReason = maps.Clone(counts.UnservedByReason)
	e.reply <- counts
}

// OpenRequests returns the consumers' ids of what has no final answer yet.
func (d *Dispatcher) OpenRequests() []string {
	ids, _ := query(d, func(to chan<- []string) event { return openRequestsRequested{to} })
	return ids
}

func (e openRequestsRequested) apply(d *Dispatcher) { e.reply <- slices.Collect(maps.Keys(d.openIDs)) }

// SetOpenInPredecessor takes the ids of what another process of the same sidecar has open, in place of those it took before.
func (d *Dispatcher) SetOpenInPredecessor(ids []string) { d.send(predecessorRequestsListed{ids}) }

func (e predecessorRequestsListed) apply(d *Dispatcher) {
	d.openInPredecessor = map[string]bool{}
	for _, id := range e.ids {
		d.openInPredecessor[id] = true
	}
}

// handle gives the module an event and carries out what it decides. Carrying out an action may end a call at
// once; that event waits until all that the module decided before is done.
func (d *Dispatcher) handle(e policy.Event) {
	d.policyEvents = append(d.policyEvents, e)
	if d.handling {
		return
	}
	d.handling = true
	for len(d.policyEvents) > 0 {
		next := d.policyEvents[0]
		d.policyEvents = d.policyEvents[1:]
		d.eventTime = time.Now()
		if h := d.requests[next.Request]; next.Kind == policy.RequestArrived && h != nil { // as of the time from which the module counts it
			next.TimeLeft = millis(d.timeLeft(h.request, d.eventTime))
		}
		d.actions = d.balancer.Handle(d.clock.at(d.eventTime), &next, d.actions[:0])
		for i := range d.actions {
			d.execute(&d.actions[i])
		}
	}
	d.handling = false
}

// fireTimers handles the timers whose time has come.
func (d *Dispatcher) fireTimers() {
	for len(d.timers) > 0 && !time.Now().Before(d.timers[0].at) {
		t := heap.Pop(&d.timers).(*timer)
		switch {
		case t.attempt == 0:
			d.handle(policy.Event{Kind: policy.TimerFired, Timer: t.policyTimer})
		case t.expires:
			d.withdrawAttempt(t.attempt, outcome.Expired)
		default:
			d.cancelAttempt(t.attempt, outcome.TimedOut)
		}
	}
}

// cancelAttempt gives up a call that has not ended yet.
func (d *Dispatcher) cancelAttempt(number uint64, why outcome.Kind) {
	if a := d.attempts[number]; a != nil {
		if how, stopped := a.running.Cancel(why); stopped {
			d.endAttempt(number, upstream.Result{Outcome: how})
		}
	}
}

// withdrawAttempt gives up a call of which the last byte is not written.
func (d *Dispatcher) withdrawAttempt(number uint64, why outcome.Kind) {
	if a := d.attempts[number]; a != nil {
		if how, withdrawn := a.running.Withdraw(why); withdrawn {
			d.endAttempt(number, upstream.Result{Outcome: how})
		}
	}
}

// serverID is the provider's number: the same in every life of its process and of this one.
func (d *Dispatcher) serverID(id string) policy.ServerID {
	n, have := d.serverIDs[id]
	if !have {
		h := fnv.New32a()
		h.Write([]byte(id))
		for n = policy.ServerID(h.Sum32()); d.usedServerIDs[n]; n++ {
		}
		d.serverIDs[id], d.usedServerIDs[n] = n, true
	}
	return n
}
