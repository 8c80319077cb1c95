// Package dispatch runs the load-balancing policy of one endpoint list. One goroutine owns the request table, the server table,
// the timers and the policy; all other goroutines send it events, and it never blocks on network I/O. An upstream.Upstream
// makes the attempts, in any protocol; any front end can submit requests. A process may run several dispatchers, which share
// only what their Options hold.
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
	eventQueueSize     = 1024      // events that can be queued before their senders block
	maxEventBatch      = 32        // queued events that may be handled before the timers are checked
	idleWakeupInterval = time.Hour // time between wakeups while no timer is set
)

// Options configures a Dispatcher. Upstream and a valid Policy are required; the other fields are optional.
type Options struct {
	Name             string // the program's name, as recorded in snapshots
	Deployment       string // recorded in snapshots; identifies the settings that class and tenant positions refer to
	Policy           policy.Config
	Seed             uint64
	Zones            []string           // zone names, by position in the policy; a server in any other zone counts as in none
	DrainGrace       time.Duration      // how long new attempts may still reach a server after it starts to drain or is gone
	InitialEndpoints endpoints.List     // the servers known at the start
	Restored         *snapshot.Restored // the predecessor's snapshot, used instead of InitialEndpoints; nil = there is none
	Upstream         upstream.Upstream

	// IsComplete reports whether the load report of a probe has every value that the policy requires; nil = any report does.
	IsComplete func(policy.Report) bool
	// Logf logs a line of key=value pairs; nil = nothing is logged.
	Logf func(format string, args ...any)
	// Trace logs a line for each start and end of an attempt or probe, and for each state change of a request or a server; nil =
	// no trace.
	Trace func(format string, args ...any)
	// OnEvidence receives observations of servers that confirm or contradict the list. It must not block; nil = they are dropped.
	OnEvidence func(server string, evidence staleness.Evidence)
	// OnServerCounts receives the number of listed servers, and how many of those are ejected or cordoned. It is called after each
	// update of the list, and otherwise at most every 100 ms. It must not block; nil = the numbers are dropped.
	OnServerCounts func(listed, excluded int)
	// Cordons are the operators' cordons at the start.
	Cordons cordon.Set
	// Invariants counts the attempts and rejections that the guards prevented; nil = they are not counted.
	Invariants *invariant.Recorder
	// WallClock reads the wall clock, which may be stepped; nil = time.Now.
	WallClock func() time.Time
}

// withDefaults returns o with no-ops for a nil Logf, OnServerCounts and OnEvidence, and time.Now for a nil WallClock.
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

// Dispatcher owns one policy.Balancer and the requests, attempts and servers that it decides on. Its exported methods are safe
// for concurrent use.
type Dispatcher struct {
	options    Options
	balancer   *policy.Balancer
	clock      clock
	wallClock  wallclock.Timeline // converts the dates of process starts and cordons to the policy's clock
	ready      atomic.Bool
	events     chan event
	listEvents chan event    // from discovery; handled before other events: the grace of a drain that they report has begun
	stopped    chan struct{} // closed when Run has ended

	// Requests and attempts.
	requests          map[policy.RequestID]*pendingRequest
	requestIDs        map[*request.Request]policy.RequestID
	lastRequest       policy.RequestID
	openIDs           map[string]bool // the clients' ids of the requests without a final response, or with an attempt in flight
	openInPredecessor map[string]bool // the clients' ids of the requests that are open in the predecessor
	usedIDs           usedIDs         // ids of requests that may have run and must not run again
	attempts          map[attemptID]*attemptRecord
	responding        map[attemptID]*attemptRecord // attempts whose response has begun
	lastAttempt       attemptID

	// Servers.
	servers           map[policy.ServerID]*serverRecord
	serverIDs         map[string]policy.ServerID // the policy's ids of the servers, by their ids in the list
	usedServerIDs     map[policy.ServerID]bool
	zonePositions     map[string]int
	deletedServers    []snapshot.Member     // for the snapshot, so that the successor does not restore them from an older list
	predecessorAges   map[string]processAge // from the snapshot, by server id in the list; nil except while restore runs
	listRevision      uint64
	listValidity      staleness.Validity // zero = the list never becomes stale
	cordons           cordon.Set
	serversReportedAt time.Time // when reportServers last reported; zero = it reports next time

	// The policy's events, actions and timers.
	timers       timers
	policyEvents []policy.Event // waiting for the policy, in order
	actions      []policy.Action
	handling     bool      // handle is running: further events are only queued
	eventTime    time.Time // when the policy handled its latest event; the times in its actions are relative to this

	// The positions that the policy uses for classes and tenants, in the order in which the settings list them.
	classPositions  []int
	tenantPositions []int

	shutdownAt       time.Time // zero = none is scheduled
	shutdownSchedule shutdown.Schedule

	counts Counts
}

// Counts are the totals since the dispatcher was created.
type Counts struct {
	Accepted, Duplicates, ClientsGone int
	Attempts, Probes, EndpointUpdates int
	Served, Rejected, Failed          int
	UnservedByReason                  map[policy.Reason]int // rejected or failed, by reason
	AttemptOutcomes, ProbeOutcomes    outcome.Counts
}

// New returns a Dispatcher that handles no events before Run is called; events sent earlier are queued.
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
		attempts: map[attemptID]*attemptRecord{}, responding: map[attemptID]*attemptRecord{},
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
	wakeupAt := time.Now().Add(idleWakeupInterval)
	wakeup := time.NewTimer(idleWakeupInterval)
	defer wakeup.Stop()
	for {
		// The wakeup is only moved to an earlier time, never to a later one: most timers are removed before they fire, and an
		// early wakeup is harmless.
		if len(d.timers) > 0 && d.timers[0].fireAt.Before(wakeupAt) {
			wakeupAt = d.timers[0].fireAt
			wakeup.Reset(time.Until(wakeupAt))
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
		case <-wakeup.C:
			wakeupAt = time.Now().Add(idleWakeupInterval)
			wakeup.Reset(idleWakeupInterval)
		}
		d.fireTimers()
		d.reportServers(time.Now())
	}
}

// Done returns a channel that is closed when Run has ended; no request gets a response after that.
func (d *Dispatcher) Done() <-chan struct{} { return d.stopped }

// Ready reports whether the list has a server that is ready.
func (d *Dispatcher) Ready() bool { return d.ready.Load() }

// handleListEvents handles the queued events from discovery.
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

// handleQueuedEvents handles up to maxEventBatch queued events, those from discovery first.
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
