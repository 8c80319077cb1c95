package frontend

import "time"

const (
	lookEvery     = 2 * time.Second         // whether an idle connection may stay; one that has brought nothing yet may not
	headWithin    = 2700 * time.Millisecond // for a request's head, from its first byte
	firstWithin   = 2700 * time.Millisecond // for the first one's, from its connection's begin
	idleMost      = time.Minute
	writeWithin   = 10 * time.Second // for an answer, or for each piece of a long one
	lingerMost    = 128 << 10
	lingerFor     = 500 * time.Millisecond
	floodFor      = 100 * time.Millisecond
	closingFor    = 50 * time.Millisecond // instead of lingerFor, once the front is being closed: the process may be killed soon
	acceptPause   = 5 * time.Millisecond
	leftEvery     = 100 * time.Millisecond // whether a consumer has left behind something that is still unread
	lastLook      = time.Millisecond       // at the kernel's backlog, once the front is being closed
	acceptAgain   = 300 * time.Millisecond // for as long, if that look fails: what lies there has been taken, and the kill is 0.5 s away or more
	crowdedAfter  = 100 * time.Millisecond // without a place: who waits in the backlog is refused, while there is time to say so
	crowdedStays  = time.Second            // and so are those that find none from then on, for so long
	crowdedPart   = 100 * time.Millisecond // for the rest of it
	crowdedLinger = 10 * time.Millisecond  // instead of lingerFor: others wait for its place
	crowdedFor    = 50 * time.Millisecond  // for the request of such a connection
	halfFor       = 20 * time.Millisecond  // for the rest of a request that has begun, once the front is being closed

	// A consumer opens a connection when all it has are busy. One that has just been answered is thus about to carry a
	// request, which would be lost if the connection were closed to make room. But a new one waits to carry one now:
	// the oldest goes, even where consumers ask once and stay and none has been idle for long. One that is new is about
	// to carry a request too, but that comes at once: those that have brought nothing by then are the first to go.
	spareAfter    = 100 * time.Millisecond
	strangerAfter = 25 * time.Millisecond
	partAfter     = 500 * time.Millisecond // for the rest of its first request
)
