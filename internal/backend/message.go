package backend

import (
	"cmp"
	"plankrouter/internal/http1"
	"plankrouter/internal/invariant"
	"plankrouter/internal/request"
	"plankrouter/internal/upstream"
	"strconv"
	"time"
)

// maxDeadlineDrift is the time after which a message that tells a deadline is worded anew.
const maxDeadlineDrift = 10 * time.Millisecond

// encode words the task for the endpoint.
func (e *endpoint) encode(options upstream.AttemptOptions) *attempt {
	a := &attempt{
		endpoint: e, onEnd: options.OnEnd, request: options.Request, startBy: firstByteLimit(options.StartBy),
		expires: invariant.NewLimit(options.Expires, invariant.SocketSlack),
	}
	inv := options.Request
	if inv == nil {
		a.isProbe, a.message = true, http1.AppendRequest(nil, "GET", http1.PathLoad, e.address, nil, nil)
		return a
	}
	a.bodiless = inv.Method == "HEAD"
	wait := options.Timeout
	if a.upload, a.onBodySent = inv.Remainder, options.OnBodySent; a.upload == nil { // else its client's time has not begun
		now := time.Now()
		if a.deadline = options.Deadline; a.deadline.IsZero() {
			a.deadline = now.Add(wait)
		}
		wait = a.deadline.Sub(now)
	}
	a.encodeMessage(wait)
	return a
}

// encodeMessage words the message, which tells the server how long this process waits.
func (a *attempt) encodeMessage(wait time.Duration) {
	inv := a.request
	a.timeoutSent = max(wait, time.Millisecond)
	fields := append([]request.Field{
		{Name: http1.HeaderID, Value: inv.ID},
		{Name: http1.HeaderDeadline, Value: strconv.FormatFloat(a.timeoutSent.Seconds(), 'f', 3, 64)},
	}, inv.Fields...)
	length := int64(len(inv.Body))
	if a.upload != nil {
		if length += a.upload.Length(); a.upload.Length() < 0 {
			length = -1
		}
	}
	a.message = http1.AppendLongRequest(nil, inv.Method, inv.Target, cmp.Or(inv.Host, a.endpoint.address), fields, inv.Body, length)
}

// refreshDeadline words the message anew if the deadline in it is out of date, as after a connection that was long in coming up.
func (a *attempt) refreshDeadline(now time.Time) {
	if a.deadline.IsZero() {
		return
	}
	if left := a.deadline.Sub(now); a.timeoutSent-left > maxDeadlineDrift {
		a.encodeMessage(left)
	}
}
