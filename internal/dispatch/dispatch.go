// Package dispatch runs the load-balancing policy of one endpoint list. One goroutine owns the request table, the server table, the
// timers and the policy; all others send it events, and it never waits for a socket. Attempts are made by an upstream.Upstream, of
// whatever protocol; requests come from any front end. Many dispatchers may live in a process: they share only what they are given.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

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
)

const (
	eventQueueSize = 1024      // events that may wait before their senders do
	maxEventBatch  = 32        // events that are handled before timers are looked at
	idleAlarm      = time.Hour // until the next alarm, while no timer is set
)

// Options configure a Dispatcher. Upstream is required; the rest may be left out as far as Policy allows.
type Options struct {
	Name             string // in snapshots
	Deployment       string // in snapshots: stands for the settings that give positions their meaning
	Policy           policy.Config
	Seed             uint64
	Zones            []string           // the names of the policy's zones, by position; a server of any other is in none
	DrainGrace       time.Duration      // after which nothing new may reach a server that drains or is gone
	InitialEndpoints endpoints.List     // the servers, as far as they are known
	Restored         *snapshot.Restored // takes the place of InitialEndpoints; nil = there is none
	Upstream         upstream.Upstream

	// IsComplete reports whether a probe's report has what the policy can't do without; nil = any will do.
	IsComplete func(policy.Report) bool
	// Logf logs a line of key=value pairs; nil = nothing is logged.
	Logf func(format string, args ...any)
	// Trace logs a line for every attempt and probe, as it begins and as it ends; nil = none.
	Trace func(format string, args ...any)
	// OnEvidence gets what is seen of servers that bears on the list. It must not block; nil = it is dropped.
	OnEvidence func(server string, evidence staleness.Evidence)
	// OnServerCounts gets, now and then, how many servers are listed, and how many of those are ejected or cordoned. It must not
	// block; nil = it is dropped.
	OnServerCounts func(listed, excluded int)
	// Cordons are the operators' cordons at the start.
	Cordons cordon.Set
	// Invariants counts what the guards of the rules prevented; nil = it is not counted.
	Invariants *invariant.Recorder
	// WallClock reads the wall clock, which may be stepped; nil = time.Now.
	WallClock func() time.Time
}

// withDefaults fills in what was left out.
func (o Options) withDefaults() Options {
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
	return o
}

// Dispatcher owns one policy.Balancer and all that its decisions are about. Its exported methods are safe for concurrent use.
type Dispatcher struct {
	options    Options
	balancer   *policy.Balancer
	clock      clock
	wallClock  wallclock.Timeline // places dates of servers' starts and of cordons on the policy's clock
	ready      atomic.Bool
	events     chan event
	listEvents chan event    // from discovery; handled before other events, since the grace of a drain runs already
	stopped    chan struct{} // closed when Run has ended

	// Requests and attempts.
	requests          map[policy.RequestID]*pendingRequest
	requestIDs        map[*request.Request]policy.RequestID
	lastRequest       policy.RequestID
	openIDs           map[string]bool // the clients' ids of requests without a final answer
	openInPredecessor map[string]bool // likewise, in the process before this one
	attempts          map[attemptID]*attemptRecord
	uploads           map[attemptID]*attemptRecord // those whose request is still being sent
	lastAttempt       attemptID

	// Servers.
	servers         map[policy.ServerID]*serverRecord
	serverIDs       map[string]policy.ServerID // by the ids in the list
	usedServerIDs   map[policy.ServerID]bool
	zonePositions   map[string]int
	deletedServers  []snapshot.Member     // deleted lately: an older list must not bring them back to the next process
	predecessorAges map[string]processAge // by server, as the process before this one knew them; only while restore runs
	listRevision    uint64
	listValidity    staleness.Validity // zero = the list never becomes stale
	cordons         cordon.Set
	reportedAt      time.Time // see reportServers

	// The policy's events, actions and timers.
	timers       timers
	policyEvents []policy.Event // to be handled, in order
	actions      []policy.Action
	handling     bool
	eventTime    time.Time // of the event that the policy has last seen; the times in its actions count from here

	// Positions that the policy has given to classes and tenants, in the order of the settings.
	classPositions  []int
	tenantPositions []int

	shutdownAt       time.Time // zero = none is scheduled
	shutdownSchedule shutdown.Schedule

	counts Counts
}

// Counts are the totals of what the dispatcher has taken in, sent and answered.
type Counts struct {
	Accepted, Duplicates, ClientsGone int
	Attempts, Probes, EndpointUpdates int
	Served, Rejected, Failed          int
	UnservedByReason                  map[policy.Reason]int // refused or failed, by reason
	AttemptOutcomes, ProbeOutcomes    outcome.Counts
}

// New returns a Dispatcher that does nothing until Run is called; events sent to it wait.
func New(o Options) (*Dispatcher, error) {
	balancer, err := policy.New(withProbeValidity(o.Policy, o.DrainGrace), o.Seed)
	if err != nil {
		return nil, err
	}
	o = o.withDefaults()
	d := &Dispatcher{
		options: o, cordons: o.Cordons, balancer: balancer, clock: newClock(o.WallClock),
		events: make(chan event, eventQueueSize), listEvents: make(chan event, 1), stopped: make(chan struct{}),
		requests: map[policy.RequestID]*pendingRequest{}, requestIDs: map[*request.Request]policy.RequestID{}, openIDs: map[string]bool{},
		attempts: map[attemptID]*attemptRecord{}, uploads: map[attemptID]*attemptRecord{},
		servers: map[policy.ServerID]*serverRecord{}, serverIDs: map[string]policy.ServerID{}, usedServerIDs: map[policy.ServerID]bool{},
		zonePositions:  map[string]int{},
		classPositions: positions(len(o.Policy.Classes)), tenantPositions: positions(len(o.Policy.Tenants)),
	}
	for i, name := range o.Zones {
		d.zonePositions[name] = i
	}
	d.handle(policy.Event{Kind: policy.Started})
	if o.Restored == nil {
		initial := o.InitialEndpoints
		initial.Complete = true
		d.applyEndpoints(initial)
	} else {
		d.restore(o.Restored)
	}
	return d, nil
}

// Run handles events and timers until ctx ends. It is called once.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer close(d.stopped)
	armed := time.Now().Add(idleAlarm)
	alarm := time.NewTimer(idleAlarm)
	defer alarm.Stop()
	for {
		// An alarm that is too early does no harm: most timers are removed before they are due.
		if len(d.timers) > 0 && d.timers[0].fireAt.Before(armed) {
			armed = d.timers[0].fireAt
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

// Done is closed when Run has ended: nothing is answered any more.
func (d *Dispatcher) Done() <-chan struct{} { return d.stopped }

// Ready reports whether there is a server to send to.
func (d *Dispatcher) Ready() bool { return d.ready.Load() }

// handleListEvents handles what waits from discovery.
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

// handleQueuedEvents handles what else waits, up to a point at which timers must be looked at.
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
