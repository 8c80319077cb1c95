// Package request has what a front end hands to the dispatcher and gets back from it. Nothing in it belongs to one protocol: a second front
// end, or a library inside an application, uses the same types.
package request

import (
	"io"
	"sync/atomic"
	"time"

	"plankrouter/internal/field"
)

// Field is one named attribute that travels with a request or its answer.
type Field = field.Field

// Request is one request of a client.
type Request struct {
	ID          string // the client's own, passed on unchanged
	Class       int    // position in the settings
	Tenant      int    // position in the settings; -1 = none that they name
	ClientRetry bool   // the client marked it as a repetition
	SentAt      time.Time
	Timeout     time.Duration // how long the client waits, from SentAt

	Host      string // whom it is meant for, where the protocol has that; "" = the server that gets it
	Method    string // what to do
	Target    string // to what
	Fields    []Field
	Body      []byte
	Remainder Upload // of the body, beyond Body; nil = that is all

	// Respond takes the one final answer. It must not block.
	Respond func(Response)
	// ClientGone reports whether its client is gone by now; nil = only MarkClientGone says so. It must not block, and any goroutine may
	// call it.
	ClientGone func() bool
	// MayHaveRun is set by the dispatcher as it closes the request: an attempt may have run, or may yet.
	MayHaveRun bool

	clientGoneAt atomic.Pointer[time.Time] // when its client was found to be gone; nil = it is there
}

// MarkClientGone notes that its client is gone. Whoever is about to write something of it sees that at once, even while the dispatcher's
// event of it waits.
func (r *Request) MarkClientGone() {
	now := time.Now()
	r.clientGoneAt.CompareAndSwap(nil, &now)
}

// IsClientGone reports whether its client is known to be gone.
func (r *Request) IsClientGone() bool { return r.clientGoneAt.Load() != nil }

// ClientGoneFor returns for how long its client has been known to be gone at now; 0 = it is there.
func (r *Request) ClientGoneFor(now time.Time) time.Duration {
	if at := r.clientGoneAt.Load(); at != nil {
		return now.Sub(*at)
	}
	return 0
}

// CheckClientGone is IsClientGone as of now: it calls ClientGone, and notes the result.
func (r *Request) CheckClientGone() bool {
	if !r.IsClientGone() && r.ClientGone != nil && r.ClientGone() {
		r.MarkClientGone()
	}
	return r.IsClientGone()
}

// Stream is a body that is read piece by piece.
type Stream interface {
	io.Reader      // io.EOF = it was whole
	Length() int64 // of what is left; -1 = that is not known
}

// Upload is a body that the client still sends. One attempt at a time reads it.
type Upload interface {
	Stream
	Consumed() bool // something of it was read: it can't be sent again
}

// BodyStream is an answer's body that the server still sends.
type BodyStream interface {
	Stream
	// Close ends it, whole or not; only the first call counts. Any goroutine may call it, and a Read under way ends soon.
	Close(whole bool)
}

// Kind says what a final answer means to the client.
type Kind uint8

// The kinds. Rejected promises that trying again is harmless; Failed promises nothing; Duplicate says that the request was never accepted,
// since another of the same id is open.
const (
	Served Kind = iota
	Rejected
	Failed
	Duplicate
)

func (k Kind) String() string { return [...]string{"served", "refused", "failed", "conflict"}[k] }

// Response is the final answer to a request.
type Response struct {
	Kind       Kind
	RetryAfter time.Duration // with Rejected: when to come back; 0 = no advice
	StatusCode int           // with Served: the protocol's own status, which the dispatcher passes on unread
	Fields     []Field       // with Served: the server's
	Body       []byte        // with Served: the server's, unchanged
	Remainder  BodyStream    // with Served: what follows Body; nil = that is all
	MayHaveRun bool          // an attempt may have run, or may yet
}

// Dispatcher takes requests from any front end.
type Dispatcher interface {
	// Submit hands over a request; its Respond is called exactly once, unless ClientGone comes first. False means that the dispatcher
	// has stopped and will never answer.
	Submit(*Request) bool
	// ClientGone reports that the client no longer waits.
	ClientGone(*Request)
	// Ready reports whether a request could be served now.
	Ready() bool
}
