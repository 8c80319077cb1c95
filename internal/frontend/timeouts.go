package frontend

import "time"

// Idle connections, and what a client has time for.
const (
	idleCheckInterval   = 2 * time.Second // between looks whether an idle connection may stay; one that has sent nothing yet may not
	maxIdle             = time.Minute
	headTimeout         = 2700 * time.Millisecond // for a request's head, from its first byte
	firstHeadTimeout    = 2700 * time.Millisecond // for the first one's, from when its connection was accepted
	writeTimeout        = 10 * time.Second        // for an answer, or for each piece of a streamed one
	clientCheckInterval = 100 * time.Millisecond  // between looks whether a client has left whose bytes are still unread
)

// The end of a connection, while the client still has to read the answer.
const (
	maxLingerBytes = 128 << 10 // that are read and dropped
	lingerTimeout  = 500 * time.Millisecond
	drainLinger    = 50 * time.Millisecond  // instead of lingerTimeout while draining: the process may be killed soon
	floodDelay     = 100 * time.Millisecond // before the close if more than maxLingerBytes come
)

// Accepting connections.
const (
	acceptRetryInterval = 5 * time.Millisecond
	lastAcceptTimeout   = time.Millisecond       // for a look at the backlog while draining
	maxLastAccept       = 300 * time.Millisecond // for retrying that look: the backlog has been accepted by then, or the kill is 0.5 s away or more
)

// Rejecting connections for which there is no place.
const (
	maxBacklogWait          = 100 * time.Millisecond // after so long without a place those in the backlog are rejected, while there is time to say so
	rejectionPeriod         = time.Second            // after a long wait in the backlog those that find no place are rejected at once, for so long
	rejectionRequestTimeout = 50 * time.Millisecond  // for the request of a rejected connection to begin
	rejectionReadTimeout    = 100 * time.Millisecond // and for the rest of it
	rejectionLinger         = 10 * time.Millisecond  // instead of lingerTimeout: others wait for its place
)

// partialRequestTimeout is for the rest of a request that has begun to come as draining starts.
const partialRequestTimeout = 20 * time.Millisecond

// When a connection may be evicted to make room. A client opens a connection when all it has are busy, so that one that has just been
// answered is about to carry a request, which would be lost if the connection were closed. But a new connection waits to carry one
// now, so that the oldest idle one goes even if none has been idle for long. A connection that was just accepted is about to carry a
// request too, but that comes at once: those that have sent nothing by then go first.
const (
	minIdleAge    = 100 * time.Millisecond
	minUnusedAge  = 25 * time.Millisecond
	minPartialAge = 500 * time.Millisecond // for the rest of a connection's first request
)
