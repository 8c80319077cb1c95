// Package request holds what a front hands to the core and gets back from it. Nothing in it belongs to
// one protocol: a second front, or a library inside an application, speaks to the core in the same words.
package request

import (
	"io"
	"plankrouter/internal/field"
	"sync/atomic"
	"time"
)

// Field is one named attribute that travels with an invocation or its answer.
type Field = field.Field

// Request is one request of a consumer.
type Request struct {
	ID          string // the consumer's own, passed on unchanged
	Class       int    // position in the settings
	Tenant      int    // position in the settings; -1 = none that they name
	ClientRetry bool   // the consumer marked it as a repetition
	SentAt      time.Time
	Timeout     time.Duration // how long the consumer waits, from SentAt

	Host      string // whom it is meant for, where the protocol has that; "" = the provider that gets it
	Method    string // what to do
	Target    string // to what
	Fields    []Field
	Body      []byte
	Remainder Upload // of the body, beyond Body; nil = that is all

	// Respond takes the one final answer. It must not block.
	Respond func(Response)
	// ClientGone looks whether its consumer is gone by now; nil = Leave alone tells. It must not block, and any goroutine may call it.
	ClientGone func() bool
	// MayHaveRun is set by the core as it lets go of it: an attempt may have run, or may yet.
	MayHaveRun bool

	clientGoneAt atomic.Pointer[time.Time] // when its consumer was found to be gone; nil = it is there
}

// MarkClientGone notes that its consumer is gone. Whoever is about to write something of it sees that at once, wherever the word of it
// has to wait.
func (r *Request) MarkClientGone() {
	now := time.Now()
	r.clientGoneAt.CompareAndSwap(nil, &now)
}

// IsClientGone reports whether its consumer is known to be gone.
func (r *Request) IsClientGone() bool { return r.clientGoneAt.Load() != nil }

// ClientGoneFor is for how long its consumer has been known to be gone at now; 0 = it is there.
func (r *Request) ClientGoneFor(now time.Time) time.Duration {
	if at := r.clientGoneAt.Load(); at != nil {
		return now.Sub(*at)
	}
	return 0
}

// CheckClientGone is Left as of now: it asks whoever can tell, and notes what it is told.
func (r *Request) CheckClientGone() bool {
	if !r.IsClientGone() && r.ClientGone != nil && r.ClientGone() {
		r.MarkClientGone()
	}
	return r.IsClientGone()
}

// Stream is a body that flows.
type Stream interface {
	io.Reader      // io.EOF = it was whole
	Length() int64 // of what is left; -1 = that is not known
}

// Upload is a body that the consumer still sends. One attempt at a time reads it.
type Upload interface {
	Stream
	Consumed() bool // something of it was read: it can't be sent again
}

// BodyStream is an answer's body that the provider still sends.
type BodyStream interface {
	Stream
	// Close ends it, whole or not; only the first call counts. Any goroutine may call it, and a Read under way ends soon.
	Close(whole bool)
}

// Kind says what a final answer means to the consumer.
type Kind uint8

// The kinds. Refused promises that trying again is harmless; Failed promises nothing; Conflict says that the invocation
// was never taken, since another of the same id is open.
const (
	Served Kind = iota
	Rejected
	Failed
	Duplicate
)

func (k Kind) String() string { return [...]string{"served", "refused", "failed", "conflict"}[k] }

// Response is the final answer to an invocation.
type Response struct {
	Kind       Kind
	RetryAfter time.Duration // with Refused: when to come back; 0 = no advice
	StatusCode int           // with Served: the protocol's own word for the answer, which the core passes on unread
	Fields     []Field       // with Served: the provider's
	Body       []byte        // with Served: the provider's, unchanged
	Remainder  BodyStream    // with Served: what follows Body; nil = that is all
	MayHaveRun bool          // an attempt may have run, or may yet
}

// Dispatcher takes invocations from any front.
type Dispatcher interface {
	// Submit hands over an invocation; its Answer is called exactly once, unless Abandon comes first. False
	// means that the core has stopped and will never answer.
	Submit(*Request) bool
	// ClientGone says that the consumer no longer waits.
	ClientGone(*Request)
	// Ready reports whether an invocation could be served now.
	Ready() bool
}
