// Package policy decides for one load-balancing sidecar: where each request goes, when it is tried
// again, and when it is turned away. It does no input or output and reads no clock.
//
// This file is the whole interface; the other files of the package hold every decision.
package policy

import (
	"errors"
	"fmt"
	"plankrouter/policy/internal/outlier"
)

// Ms is a time or a duration in milliseconds; times count from any fixed origin.
type Ms = float64

// ServerID and RequestID are opaque names that the owner of a Balancer chooses.
type (
	ServerID  uint32
	RequestID uint32
)

// Idempotency says what may happen if a request runs twice.
type Idempotency uint8

// Safe requests may run any number of times, Keyed ones only where the repeat is recognised and
// dropped, Unsafe ones never.
const (
	Idempotent Idempotency = iota
	WithIdempotencyKey
	NonIdempotent
)

// KeyScope is the group of servers that drop a repeat of a Keyed request.
type KeyScope uint8

// The scopes of a repeat key.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective, Deadline Ms      // full worth until Aim; no client waits past Deadline
	PriorityWeight             float64 // worth of one answer in time
	LateWeight                 float64 // part of Worth that an answer after Aim still earns
	Idempotency                Idempotency
	KeyScope                   KeyScope // for Keyed
	KeyWindow                  Ms       // for Keyed: how long repeats are dropped
	Attempts                   int      // per request; 0 = Config.MaxAttempts
	Retired                    bool     // no further request is of it: only those that are open keep its rules
}

// Tenant is one sharer of the fleet.
type Tenant struct {
	Quota float64 // requests a second over all sidecars that are within its share
}

// Config is what a sidecar is told at its start.
type Config struct {
	Classes         []Class
	Tenants         []Tenant // may be empty
	OverQuotaWeight float64  // worth of a request beyond its tenant's share, as a part of the full one
	Instances       int      // sidecars in service, this one included
	Zone            int      // the sidecar's own zone

	SubscribeToList bool // the server list is sent only to those who subscribe
	Probes          bool // Probe is allowed
	Cancel          bool // Cancel is allowed
	MaxAttempts     int  // per request
	MaxRetryAfter   Ms   // longest advice a client follows; 0 = none is passed on
	Round           Ms   // least time between two looks at the events

	StartCapacity    float64 // least part of its capacity at which a server starts
	WarmUpTime       Ms      // and is fully warm by then
	OverloadMultiple float64 // of present capacity; more than this, for OverloadWindow, fells a cold server
	OverloadWindow   Ms
	CrossZoneCost    float64 // part of a request's worth that an attempt in another zone costs
	WastedWorkCost   float64 // the same for all work of the servers being in vain
	ProbeCost        float64 // the same for one probe

	ProbeValidity Ms // for so long after it was sent, a probe stands for a list that is not sure; see Event.Seen
}

// validate names what the module can't work with.
func (c *Config) validate() error {
	if len(c.Classes) == 0 {
		return errors.New("logic: no request classes")
	}
	for i, k := range c.Classes {
		if !(k.LatencyObjective > 0) || !(k.Deadline > 0) || k.Idempotency > NonIdempotent || k.KeyScope > ScopeCell || k.KeyWindow < 0 {
			return fmt.Errorf("logic: class %d is malformed: %+v", i, k)
		}
	}
	for _, v := range []float64{c.Round, c.WarmUpTime, c.OverloadWindow, c.StartCapacity, c.OverloadMultiple} {
		if !(v >= 0) {
			return fmt.Errorf("logic: negative or missing figure in %+v", *c)
		}
	}
	return nil
}

// EventKind names what has happened.
type EventKind uint8

// The events. The comments name the fields of Event that each one uses.
const (
	Started             EventKind = iota // the first event of an instance
	EndpointsUpdated                     // Servers, Full: the list of servers, or changes to it
	SubscriptionFailed                   // a subscription or its request has failed
	RequestArrived                       // Request, Class, Tenant, Left, Again
	AttemptEnded                         // Request, Attempt, Server, Status, Took, Final, Spent, Report
	ClientGone                           // Request
	TimerFired                           // Timer
	ProbeEnded                           // Server, Status, Took, Dialed, Seen, Report
	ListValidityChanged                  // Left: for how long; Took: for how long any server may be asked for proof
	BodyProgressed                       // Server: a long request is still on its way there
)

// Status is how an attempt or a probe ended.
type Status uint8

// The outcomes. Full, ConnectFailed and NotSent prove that the attempt never ran.
const (
	OK Status = iota
	Failed
	Declined
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (s Status) NeverRan() bool { return s == Declined || s == ConnectFailed || s == NotSent }

// Health is what the list says of a server.
type Health uint8

// The list's states.
const (
	Gone Health = iota
	Ready
	Draining
)

func (h Health) String() string { return [...]string{"gone", "ready", "draining"}[h] }

// ServerInfo is one line of the server list.
type ServerInfo struct {
	ID         ServerID
	Zone, Cell int
	Health     Health
	StartedAt  Ms   // 0 = long ago
	Uncordoned bool // operators have just put it back: nobody else sends to it for that
}

// Report is a server's load report; a field is meaningful only if its Has flag is set.
type Report struct {
	HasRIF, HasLatency bool
	HasErrors          bool
	RIF                float64 // requests in flight
	Latency            Ms      // recent service time
	Errors             float64 // a second
}

// Event is one thing that has happened; Kind tells which of the fields count.
type Event struct {
	Kind         EventKind
	Status       Status
	Final        bool // the request is answered: nothing more is owed
	Complete     bool // Servers is the whole list
	ClientRetry  bool // the client marked the request as a repetition
	BodyConsumed bool // with AttemptEnded: the request's body is gone, so that it can't be sent again
	Attempt      int
	Request      RequestID
	Server       ServerID
	Class        int
	Tenant       int
	TimeLeft     Ms // until the client gives up
	Elapsed      Ms
	ConnectTime  Ms // part of Took in which a new connection came up
	ProbeSentAt  Ms // when the probe was sent, if who answered is the process that the list names; else 0
	Timer        uint64
	Report       Report
	Servers      []ServerInfo
}

// ActionKind names what the sidecar is to do.
type ActionKind uint8

// The actions. The comments name the fields of Action that each one uses.
const (
	StartAttempt  ActionKind = iota // Request, Server, After = the attempt's time-out, Expires
	CancelAttempt                   // Request, Attempt
	RejectRequest                   // Request, After = advice when to come back, Why
	FailRequest                     // Request, Why
	SendProbe                       // Server
	SetTimer                        // Timer, After
	Subscribe                       // to changes of the server list
	Log                             // Text
)

// Action is one thing to do; Kind tells which of the fields count.
type Action struct {
	Kind    ActionKind
	Attempt int
	Request RequestID
	Server  ServerID
	After   Ms
	Expires Ms // until when, from now, its last byte has to be written; 0 = at any time
	Timer   uint64
	Text    string
	Reason  Reason
}

// Reason says why a request is refused or failed, for logs and counts.
type Reason string

// The reasons.
const (
	NoEligibleServer Reason = "no_server"  // the rules allow none, or the evidence excludes all
	ListStale        Reason = "list_stale" // likewise, while the list may no longer be relied on
	NoCapacity       Reason = "crowded"    // no server has room for a request of this value
	DeadlineReached  Reason = "time_up"    // the client is about to stop waiting
	RetryNotAllowed  Reason = "no_retry"   // an attempt has ended, and no further one may or can follow
)

// State is what a Balancer has learned that outlives its process. No present load is in it. Times are those
// of the clock that Handle is given; a figure whose time is in the past has faded since.
type State struct {
	Servers                                  []ServerState
	SumLoadSquared, SumLoadLatency, FittedAt float64 // of the fit of the response time to the load
	Classes                                  []Mean  // by class
	FleetLatency                             Ms      // median service time
	OwnInFlight                              float64 // own requests, and all, that probed servers held
	TotalInFlight                            float64
	Tenants                                  []Level // by tenant: requests that each may still send at once
	Arrivals                                 Level   // fading counts of events
	Sends                                    Level
}

// ServerState is what is known of one server's process.
type ServerState struct {
	ID              ServerID
	StartedAt       Ms // of the process
	Latency         Ms // service time; 0 = not known
	LatencyReported bool
	ReportedAt      Ms // of Latency and Failing
	RoundTrip       Ms // lowest round trip
	ErrorRate       float64
	Outcomes        []Tally // of all requests, then by tenant
	SlowStartBudget Level   // what was left of its allowance while cold
}

// Tally is fading evidence for and against a server.
type Tally = outlier.Tally

// Mean is the sum of N fading samples.
type Mean struct{ Count, Sum float64 }

// Level is a figure that changes by itself, as it was at At.
type Level struct{ Value, At float64 }
