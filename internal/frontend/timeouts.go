package frontend

import "time"

const (
	idleCheckInterval       = 2 * time.Second         // whether an idle connection may stay; one that has brought nothing yet may not
	headTimeout             = 2700 * time.Millisecond // for a request's head, from its first byte
	firstHeadTimeout        = 2700 * time.Millisecond // for the first one's, from its connection's begin
	maxIdle                 = time.Minute
	writeTimeout            = 10 * time.Second // for an answer, or for each piece of a long one
	maxLingerBytes          = 128 << 10
	lingerTimeout           = 500 * time.Millisecond
	floodDelay              = 100 * time.Millisecond
	drainLinger             = 50 * time.Millisecond // instead of lingerTimeout, once the front is being closed: the process may be killed soon
	acceptRetryInterval     = 5 * time.Millisecond
	clientCheckInterval     = 100 * time.Millisecond // whether a consumer has left behind something that is still unread
	lastAcceptTimeout       = time.Millisecond       // at the kernel's backlog, once the front is being closed
	maxLastAccept           = 300 * time.Millisecond // for as long, if that look fails: what lies there has been taken, and the kill is 0.5 s away or more
	maxBacklogWait          = 100 * time.Millisecond // without a place: who waits in the backlog is refused, while there is time to say so
	rejectionPeriod         = time.Second            // and so are those that find none from then on, for so long
	rejectionReadTimeout    = 100 * time.Millisecond // for the rest of it
	rejectionLinger         = 10 * time.Millisecond  // instead of lingerTimeout: others wait for its place
	rejectionRequestTimeout = 50 * time.Millisecond  // for the request of such a connection
	partialRequestTimeout   = 20 * time.Millisecond  // for the rest of a request that has begun, once the front is being closed

	// A consumer opens a connection when all it has are busy. One that has just been answered is thus about to carry a
	// request, which would be lost if the connection were closed to make room. But a new one waits to carry one now:
	// the oldest goes, even where consumers ask once and stay and none has been idle for long. One that is new is about
	// to carry a request too, but that comes at once: those that have brought nothing by then are the first to go.
	minIdleAge    = 100 * time.Millisecond
	minUnusedAge  = 25 * time.Millisecond
	minPartialAge = 500 * time.Millisecond // for the rest of its first request
)
