package policy

// ServerID is an opaque identifier of a server, assigned by the owner of a Balancer.
type ServerID uint32

// RequestID is an opaque identifier of a request, assigned by the owner of a Balancer.
type RequestID uint32

// EventKind is the type of an event.
type EventKind uint8

// The event types. The comments name the fields of Event that each one uses.
const (
	Started             EventKind = iota // the first event of an instance
	EndpointsUpdated                     // Servers, Complete: the whole server list, or changes to it
	SubscriptionFailed                   // subscribing to the server list has failed, or the subscription has ended
	RequestArrived                       // Request, Class, Tenant, TimeLeft, ClientRetry, BodyPending
	AttemptEnded                         // Request, Attempt, Server, Status, Elapsed, Final, BodyConsumed, Report
	ClientGone                           // Request
	TimerFired                           // Timer
	ProbeEnded                           // Server, Status, Elapsed, ConnectTime, ProbeSentAt, Report
	ListValidityChanged                  // TimeLeft = until the list is stale, Elapsed = how long any server may still be probed
	AttemptProgressed                    // Server, which was sending a response
	BodyReceived                         // Request, of which the client has written the pending body; TimeLeft
	BodySent                             // Request, of which the body was pending and has now been sent to the attempt's server
)

// Status is how an attempt or a probe ended.
type Status uint8

// The outcomes. Declined, ConnectFailed and NotSent prove that the attempt has not run.
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

// Health is a server's state in the list.
type Health uint8

// The states of a server.
const (
	Gone Health = iota
	Ready
	Draining
)

func (h Health) String() string { return [...]string{"gone", "ready", "draining"}[h] }

// ServerInfo is one entry of the server list.
type ServerInfo struct {
	ID         ServerID
	Zone, Cell int
	Health     Health
	StartedAt  Ms   // when the server's process started; 0 = not known, taken as long ago
	Uncordoned bool // an operator has just uncordoned it: it is probed at once, as this makes no other instance send to it
}

// Report is a server's load report; a field is meaningful only if its Has flag is set.
type Report struct {
	HasRIF, HasLatency bool
	HasErrors          bool
	RIF                float64 // requests in flight
	Latency            Ms      // recent service time
	Errors             float64 // error responses per second
}

// Event is an input of a Balancer; Kind says which of the fields are used.
type Event struct {
	Kind         EventKind
	Status       Status
	Final        bool // the client has its response, or needs none: no further attempt follows
	Complete     bool // Servers is the whole list
	ClientRetry  bool // the client marked the request as a retry
	BodyPending  bool // the client is still sending the request's body: its server has no work before the last byte
	BodyConsumed bool // with AttemptEnded: the request's body is no longer available, so that it can't be sent again
	Attempt      int
	Request      RequestID
	Server       ServerID
	Class        int
	Tenant       int
	TimeLeft     Ms // until the client's deadline
	Elapsed      Ms
	ConnectTime  Ms // part of Elapsed that establishing a new connection took
	ProbeSentAt  Ms // when the probe was sent, if the response is from the process in the list; else 0
	Timer        uint64
	Report       Report
	Servers      []ServerInfo
}
