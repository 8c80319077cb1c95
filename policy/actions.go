package policy

// ActionKind is the type of an action.
type ActionKind uint8

// The action types. The comments name the fields of Action that each one uses.
const (
	StartAttempt  ActionKind = iota // Request, Server, After = the attempt's timeout, ResponseBy, Expires
	CancelAttempt                   // Request, Attempt
	RejectRequest                   // Request, After = how long the client should wait before a retry, Reason
	FailRequest                     // Request, Reason
	SendProbe                       // Server
	SetTimer                        // Timer, After
	Subscribe                       // no fields; asks for updates of the server list
	Log                             // Text
)

// Action is an output of a Balancer that the sidecar has to carry out; Kind says which of the fields are used.
type Action struct {
	Kind    ActionKind
	Attempt int
	Request RequestID
	Server  ServerID
	After   Ms
	// ResponseBy is the time from now by which a response is due that has begun before the attempt's timeout: all the time that the
	// request has left. Cancelling the attempt earlier would cut off what the server is sending.
	ResponseBy Ms
	Expires    Ms // time from now by which the attempt's last byte has to be written; 0 = no limit
	Timer      uint64
	Text       string
	Reason     Reason
}

// Reason says why a request is rejected or failed, for logs and counters.
type Reason string

// The reasons.
const (
	NoEligibleServer Reason = "no_server"  // the list, the retry rules and slow start allow no server
	ListStale        Reason = "list_stale" // NoEligibleServer while the list is stale
	NoCapacity       Reason = "crowded"    // no server has capacity for a request of the request's value
	DeadlineReached  Reason = "time_up"    // the client's deadline is near
	RetryNotAllowed  Reason = "no_retry"   // an attempt has ended, and a further one is not allowed or not possible
)
