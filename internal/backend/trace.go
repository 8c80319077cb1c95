package backend

import (
	"net/url"
	"time"

	"plankrouter/internal/http1"
)

// How a response was read, as the trace names it.
const (
	responseWhole     = "whole"     // it is complete
	responseForwarded = "forwarded" // its beginning is forwarded, and the rest is streamed
	responseAbandoned = "abandoned" // the connection is closed, for the reason in err
)

// traceResponse logs how the response to an attempt was read that was written at sentAt: how long it took until it had begun
// and since then, for how long nothing more had arrived, and how much time the attempt had left.
func (c *conn) traceResponse(a *attempt, response *http1.Response, err error, sentAt time.Time) {
	if a.isProbe || a.endpoint.client.settings.Trace == nil {
		return
	}
	now := time.Now()
	state := responseWhole
	switch {
	case err != nil:
		state = responseAbandoned
	case response.Rest != nil:
		state = responseForwarded
	}
	a.endpoint.client.trace("trace=response request=%s provider=%s state=%s received=%d since_sent_ms=%d quiet_ms=%d left_ms=%d err=%q",
		url.QueryEscape(a.request.ID), a.endpoint.name, state, c.received, now.Sub(sentAt).Milliseconds(),
		now.Sub(c.hold.lastProgress).Milliseconds(), a.responseDue(sentAt).Sub(now).Milliseconds(), errorText(err))
}

// errorText returns the text of err, which may be nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
