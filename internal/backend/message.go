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

// rewordAfter is the time after which a message that tells a deadline is worded anew.
const rewordAfter = 10 * time.Millisecond

// word words the task for the endpoint.
func (e *endpoint) word(t upstream.AttemptOptions) *call {
	c := &call{
		at: e, done: t.OnEnd, inv: t.Request, notAfter: firstByte(t.StartBy),
		expires: invariant.NewLimit(t.Expires, invariant.SocketSlack),
	}
	inv := t.Request
	if inv == nil {
		c.probe, c.message = true, http1.AppendRequest(nil, "GET", http1.PathLoad, e.address, nil, nil)
		return c
	}
	c.bodiless = inv.Method == "HEAD"
	wait := t.Timeout
	if c.upload, c.flowed = inv.Remainder, t.OnBodySent; c.upload == nil { // else its client's time has not begun
		now := time.Now()
		if c.endsAt = t.Deadline; c.endsAt.IsZero() {
			c.endsAt = now.Add(wait)
		}
		wait = c.endsAt.Sub(now)
	}
	c.compose(wait)
	return c
}

// compose words the message, which tells the server how long this process waits.
func (c *call) compose(wait time.Duration) {
	inv := c.inv
	c.told = max(wait, time.Millisecond)
	fields := append([]request.Field{
		{Name: http1.HeaderID, Value: inv.ID},
		{Name: http1.HeaderDeadline, Value: strconv.FormatFloat(c.told.Seconds(), 'f', 3, 64)},
	}, inv.Fields...)
	length := int64(len(inv.Body))
	if c.upload != nil {
		if length += c.upload.Length(); c.upload.Length() < 0 {
			length = -1
		}
	}
	c.message = http1.AppendLongRequest(nil, inv.Method, inv.Target, cmp.Or(inv.Host, c.at.address), fields, inv.Body, length)
}

// reword words the message anew if the deadline in it is out of date, as after a connection that was long in coming up.
func (c *call) reword(now time.Time) {
	if c.endsAt.IsZero() {
		return
	}
	if left := c.endsAt.Sub(now); c.told-left > rewordAfter {
		c.compose(left)
	}
}
