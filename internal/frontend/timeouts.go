package frontend

import "time"

// Timeouts of idle connections and of messages.
const (
	idleCheckInterval   = 2 * time.Second         // between checks of an idle connection, and until one without a message is closed
	maxIdle             = time.Minute             // after which an idle connection is closed at the next check
	headTimeout         = 2700 * time.Millisecond // for reading the head of a request, from its first byte
	firstHeadTimeout    = 2700 * time.Millisecond // for reading the head of a connection's first request, from the accept
	minHeadTime         = 2150 * time.Millisecond // for reading any head, from its first byte: 2 s, and a hold-up of 0.15 s
	writeTimeout        = 10 * time.Second        // without any progress of a response that is written
	clientCheckInterval = 100 * time.Millisecond  // interval of the check whether a client is gone while its bytes are unread
)

// Closing a connection while the client still has to read the response.
const (
	maxLingerBytes = 128 << 10              // the most bytes that are read and discarded
	lingerTimeout  = 500 * time.Millisecond // for the client to close the connection
	drainLinger    = 50 * time.Millisecond  // replaces lingerTimeout while draining, because the process may be killed soon
	floodDelay     = 100 * time.Millisecond // before the close if maxLingerBytes or more arrive
	maxDiscardTime = 30 * time.Second       // for the rest of a body whose request has its response
)

// Accepting connections.
const (
	acceptRetryInterval = 5 * time.Millisecond
	lastAcceptTimeout   = time.Millisecond       // while draining, for one accept, and between two attempts to empty the backlog
	maxBacklogAccept    = 300 * time.Millisecond // for emptying the backlog; then it is empty, or the kill is 0.5 s or more away
)

// Rejecting connections beyond the limit, early enough that their clients still wait for a response.
const (
	maxBacklogWait          = 100 * time.Millisecond // time without a free slot after which connections in the backlog are rejected
	rejectionPeriod         = time.Second            // of immediate rejections, after a connection has waited for maxBacklogWait
	rejectionRequestTimeout = 50 * time.Millisecond  // for the first byte of a rejected connection's request
	rejectionReadTimeout    = 100 * time.Millisecond // for the rest of that request
	rejectionLinger         = 10 * time.Millisecond  // replaces lingerTimeout, because other connections wait to be rejected
)

// partialRequestTimeout is the time for the rest of a request that is received in part when draining starts.
const partialRequestTimeout = 20 * time.Millisecond

// How long a connection must have been idle before it may be evicted for a new one. A client opens a connection when all that
// it has are busy. So a connection that has just received a response is about to carry another request, which would be lost
// if the connection were closed. But a request is also waiting on the new connection, so the one that has been idle for
// longest is evicted even if that is not long. A connection that was just accepted is about to carry a request, too, but that
// arrives immediately: connections that have sent nothing after minUnusedAge are evicted first.
const (
	minIdleAge    = 100 * time.Millisecond // for a connection that has sent a request
	minUnusedAge  = 25 * time.Millisecond  // for a connection that has sent no request
	minPartialAge = 500 * time.Millisecond // for the rest of a connection's first request
)
