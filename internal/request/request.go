// Package request has the types of requests and responses that front ends and the dispatcher exchange. They are independent of
// the protocol, so that every front end, and a library inside an application, can use them.
package request

import (
	"io"
	"sync/atomic"
	"time"

	"plankrouter/internal/field"
)

// Field is one named attribute of a request or response.
type Field = field.Field

// Request is one request of a client.
type Request struct {
	ID          string        // set by the client, forwarded unchanged
	Class       int           // index of the class in the policy's settings
	Tenant      int           // index of the tenant in the policy's settings; -1 = none of those tenants
	ClientRetry bool          // the client marked it as a retry
	SentAt      time.Time     // when the client sent the request; with a Remainder, when it may have sent the last byte of the body
	Timeout     time.Duration // how long the client waits, from SentAt

	Host      string // intended host, if the protocol has one; "" = the address of the server it is sent to
	Method    string // the protocol's method, such as GET
	Target    string // what the method applies to, such as a path
	Fields    []Field
	Body      []byte // nil once the attempt in flight has consumed part of Remainder
	Remainder Upload // the rest of the body, after Body; nil = Body is the whole body

	// Respond receives the final response, at most once. It must not block.
	Respond func(Response)
	// ClientGone reports whether the client is gone now; nil = the client counts as gone only after MarkClientGone. It must
	// not block, and any goroutine may call it.
	ClientGone func() bool
	// MayHaveRun is set by the dispatcher when it closes the request: an attempt may have run, or may still run.
	MayHaveRun bool

	clientGoneAt atomic.Pointer[time.Time] // when the client was first known to be gone; nil = it is not known to be gone
}

// MarkClientGone records that the client is gone. An attempt that is about to write sees this at once, even while the
// dispatcher's clientGone event is still queued.
func (r *Request) MarkClientGone() {
	now := time.Now()
	r.clientGoneAt.CompareAndSwap(nil, &now)
}

// IsClientGone reports whether the client is known to be gone.
func (r *Request) IsClientGone() bool { return r.clientGoneAt.Load() != nil }

// ClientGoneFor returns how long before now the client was first known to be gone; 0 = it is not known to be gone.
func (r *Request) ClientGoneFor(now time.Time) time.Duration {
	if at := r.clientGoneAt.Load(); at != nil {
		return now.Sub(*at)
	}
	return 0
}

// CheckClientGone calls ClientGone, records the result and returns whether the client is now known to be gone.
func (r *Request) CheckClientGone() bool {
	if !r.IsClientGone() && r.ClientGone != nil && r.ClientGone() {
		r.MarkClientGone()
	}
	return r.IsClientGone()
}

// Stream is a body that is read in parts.
type Stream interface {
	io.Reader      // io.EOF = the body is complete
	Length() int64 // bytes that are left; -1 = unknown
}

// Upload is a request body that the client is still sending. One attempt at a time reads it.
type Upload interface {
	Stream
	Consumed() bool // reports whether part of the body was read: the body can't be sent again then
	// ReceivedAgo returns how long ago the last bytes were received, and whether they are known to complete the body, so that the
	// client's time has been running since then. It must not be called during a Read.
	ReceivedAgo() (ago time.Duration, complete bool)
}

// BodyStream is a response body that the server is still sending.
type BodyStream interface {
	Stream
	// Close ends the stream; whole says whether the body was complete. Only the first call has an effect. Any goroutine may call
	// it; a concurrent Read then returns soon.
	Close(whole bool)
}

// Kind is the kind of a final response.
type Kind uint8

// The kinds. Rejected promises that a retry is harmless; Failed promises nothing; Duplicate means that the request was never
// accepted, since another one with the same id is open.
const (
	Served Kind = iota
	Rejected
	Failed
	Duplicate
)

func (k Kind) String() string { return [...]string{"served", "refused", "failed", "conflict"}[k] }

// Response is the final response to a request.
type Response struct {
	Kind       Kind
	RetryAfter time.Duration // with Rejected: delay before a retry; 0 = unspecified
	StatusCode int           // with Served: the protocol's status, which the dispatcher does not interpret
	Fields     []Field       // with Served: the fields of the server's response
	Body       []byte        // with Served: the body of the server's response, unchanged
	Remainder  BodyStream    // with Served: the rest of the body, after Body; nil = Body is the whole body
	MayHaveRun bool          // an attempt may have run, or may still run
}

// Dispatcher accepts requests from any front end.
type Dispatcher interface {
	// Submit passes a request to the dispatcher, which calls its Respond exactly once, unless ClientGone is called first. False
	// means that the dispatcher has stopped and will not call Respond.
	Submit(*Request) bool
	// BodyReceived reports that the whole Remainder was received some time ago, though not all of it was read yet: the client's
	// timeout has been running since then.
	BodyReceived(r *Request, ago time.Duration)
	// ClientGone reports that the client is gone, or that the rest of its request's body can't be read.
	ClientGone(*Request)
	// Ready reports whether a request could be served now.
	Ready() bool
}
