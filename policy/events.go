package policy

// ServerID is an opaque name of a server that the owner of a Balancer chooses.
type ServerID uint32

// RequestID is an opaque name of a request that the owner of a Balancer chooses.
type RequestID uint32

// EventKind names what has happened.
type EventKind uint8

// The events. The comments name the fields of Event that each one uses.
const (
	Started             EventKind = iota // the first event of an instance
	EndpointsUpdated                     // Servers, Complete: the list of servers, or changes to it
	SubscriptionFailed                   // a subscription or its request has failed
	RequestArrived                       // Request, Class, Tenant, TimeLeft, ClientRetry
	AttemptEnded                         // Request, Attempt, Server, Status, Elapsed, Final, BodyConsumed, Report
	ClientGone                           // Request
	TimerFired                           // Timer
	ProbeEnded                           // Server, Status, Elapsed, ConnectTime, ProbeSentAt, Report
	ListValidityChanged                  // TimeLeft: for how long the list is valid; Elapsed: for how long a probe of any server may stand for it
	BodyProgressed                       // Server: a long request is still on its way there
)

// Status is how an attempt or a probe ended.
type Status uint8

// The outcomes. Declined, ConnectFailed and NotSent prove that the attempt never ran.
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

// Event is one thing that has happened; Kind says which of the fields count.
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
	ConnectTime  Ms // part of Elapsed in which a new connection came up
	ProbeSentAt  Ms // when the probe was sent, if the process that the list names has answered it; else 0
	Timer        uint64
	Report       Report
	Servers      []ServerInfo
}
