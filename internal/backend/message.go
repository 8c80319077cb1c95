package backend

import (
	"cmp"
	"strconv"
	"time"

	"plankrouter/internal/http1"
	"plankrouter/internal/invariant"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
)

// maxDeadlineDrift is by how much the timeout in an encoded message may exceed the time left before the message is encoded
// again.
const maxDeadlineDrift = 10 * time.Millisecond

// encode returns an attempt with its encoded message, ready to be sent.
func (e *endpoint) encode(options upstream.AttemptOptions) *attempt {
	a := &attempt{
		endpoint: e, onEnd: options.OnEnd, request: options.Request, startBy: firstByteLimit(options.StartBy),
		expires: invariant.NewLimit(options.Expires, invariant.SocketSlack),
	}
	if a.request == nil {
		a.isProbe = true
		a.message = http1.AppendRequest(nil, "GET", http1.PathLoad, e.address, nil, nil)
		return a
	}
	a.bodiless = a.request.Method == "HEAD"
	a.upload = a.request.Remainder
	a.onBodySent = options.OnBodySent
	a.onResponse = options.OnResponding
	a.timeout = options.Timeout
	if a.upload == nil { // the deadline does not apply while the client is still sending the body
		a.deadline = options.Deadline
		if a.deadline.IsZero() {
			a.deadline = time.Now().Add(a.timeout)
		}
		a.responseBy = a.deadline
		if options.ResponseBy.After(a.deadline) {
			a.responseBy = options.ResponseBy
		}
	}
	a.encodeMessage(a.timeLeft(time.Now()))
	return a
}

// timeLeft returns how long the client still waits, as far as is known. While it may still be sending the body, that is its whole
// timeout.
func (a *attempt) timeLeft(now time.Time) time.Duration {
	if a.upload == nil {
		return a.deadline.Sub(now)
	}
	if ago, complete := a.upload.ReceivedAgo(); complete {
		return a.timeout - ago
	}
	return a.timeout
}

// minTimeoutSent is the shortest timeout that is sent to a server.
const minTimeoutSent = time.Millisecond

// encodeMessage encodes the request, with timeout in the deadline header.
func (a *attempt) encodeMessage(timeout time.Duration) {
	r := a.request
	a.timeoutSent = max(timeout, minTimeoutSent)
	fields := append([]request.Field{
		{Name: http1.HeaderID, Value: r.ID},
		{Name: http1.HeaderDeadline, Value: strconv.FormatFloat(a.timeoutSent.Seconds(), 'f', 3, 64)},
	}, r.Fields...)
	length := int64(len(r.Body))
	if a.upload != nil {
		length += a.upload.Length()
		if a.upload.Length() < 0 {
			length = -1
		}
	}
	a.message = http1.AppendStreamedRequest(nil, r.Method, r.Target, cmp.Or(r.Host, a.endpoint.address), fields, r.Body, length)
}

// refreshDeadline encodes the message again if the timeout in it is out of date, for example after a slow dial.
func (a *attempt) refreshDeadline(now time.Time) {
	if a.isProbe {
		return
	}
	left := a.timeLeft(now)
	if a.timeoutSent-left > maxDeadlineDrift {
		a.encodeMessage(left)
	}
}
