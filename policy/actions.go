package policy

// ActionKind names what the sidecar is to do.
type ActionKind uint8

// The actions. The comments name the fields of Action that each one uses.
const (
	StartAttempt  ActionKind = iota // Request, Server, After = the attempt's time-out, Expires
	CancelAttempt                   // Request, Attempt
	RejectRequest                   // Request, After = advice when to try again, Reason
	FailRequest                     // Request, Reason
	SendProbe                       // Server
	SetTimer                        // Timer, After
	Subscribe                       // to changes of the server list
	Log                             // Text
)

// Action is one thing to do; Kind says which of the fields count.
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
	NoEligibleServer Reason = "no_server"  // the rules allow none, or all are ejected
	ListStale        Reason = "list_stale" // likewise, while the list may no longer be relied on
	NoCapacity       Reason = "crowded"    // no server has capacity for a request of this value
	DeadlineReached  Reason = "time_up"    // the client is about to give up
	RetryNotAllowed  Reason = "no_retry"   // an attempt has ended, and no further one may or can follow
)
