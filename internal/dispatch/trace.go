package dispatch

import (
	"net/url"
	"time"

	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/policy"
)

// unknownMs is what the trace has for an unknown duration, or for a missing limit.
const unknownMs = -1.0

// traceStart logs the start of an attempt or probe, with the ages of the server's last load report and of its process, in ms.
func (d *Dispatcher) traceStart(attempt *attemptRecord, server *serverRecord) {
	if d.options.Trace == nil {
		return
	}
	reportAge, processAge := unknownMs, unknownMs
	if !server.reportedAt.IsZero() {
		reportAge = millis(attempt.startedAt.Sub(server.reportedAt))
	}
	if server.processStart.startedAt > 0 {
		processAge = d.clock.at(attempt.startedAt) - server.processStart.startedAt
	}
	d.options.Trace("trace=start of=%s provider=%s try=%d news_ms=%.0f age_ms=%.0f request=%s", attempt.traceName(), server.name,
		attempt.number, reportAge, processAge, d.traceRequestID(attempt))
}

// traceEnd logs the end of an attempt or probe, and records the time of a probe's response for later calls of traceStart.
func (d *Dispatcher) traceEnd(attempt *attemptRecord, server *serverRecord, kind outcome.Kind, elapsed policy.Ms) {
	if d.options.Trace == nil || server == nil {
		return
	}
	if attempt.isProbe && kind == outcome.Served {
		server.reportedAt = time.Now()
	}
	d.options.Trace("trace=end of=%s provider=%s ending=%s took_ms=%.1f request=%s", attempt.traceName(), server.name, kind, elapsed,
		d.traceRequestID(attempt))
}

// traceName returns the kind of the attempt in the trace; tools that read the trace match these names.
func (a *attemptRecord) traceName() string {
	if a.isProbe {
		return "probe"
	}
	return "call"
}

// traceRequestID returns the id of the attempt's request, escaped so that it contains no space; "-" = none.
func (d *Dispatcher) traceRequestID(attempt *attemptRecord) string {
	if pending := d.requests[attempt.request]; pending != nil && !attempt.isProbe {
		return url.QueryEscape(pending.request.ID)
	}
	return "-"
}

// traceRequest logs a change of a request's state.
func (d *Dispatcher) traceRequest(req *request.Request, state, format string, args ...any) {
	if d.options.Trace != nil {
		d.options.Trace("trace=request id=%s state=%s "+format, append([]any{url.QueryEscape(req.ID), state}, args...)...)
	}
}

// traceServer logs a change of a server's health.
func (d *Dispatcher) traceServer(server *serverRecord, before policy.Health) {
	if d.options.Trace == nil {
		return
	}
	firstByteLeft := unknownMs // no limit
	if !server.firstByteDeadline.IsZero() {
		firstByteLeft = max(0, millis(time.Until(server.firstByteDeadline)))
	}
	d.options.Trace("trace=server provider=%s was=%s is=%s first_byte_ms=%.0f", server.name, before, server.health, firstByteLeft)
}
