package dispatch

import (
	"net/url"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/policy"
	"time"
)

// traceStart logs what an attempt is decided on: how old the provider's last report is and how long its process runs, in
// ms; -1 = not known.
func (d *Dispatcher) traceStart(a *attemptRecord, k *serverRecord) {
	if d.options.Trace == nil {
		return
	}
	news, age := -1.0, -1.0
	if !k.reportedAt.IsZero() {
		news = millis(a.startedAt.Sub(k.reportedAt))
	}
	if k.origin.startedAt > 0 {
		age = d.clock.at(a.startedAt) - k.origin.startedAt
	}
	d.options.Trace("trace=start of=%s provider=%s try=%d news_ms=%.0f age_ms=%.0f request=%s", a.kind(), k.name, a.number, news, age,
		d.requestOf(a))
}

// traceEnd logs how it ended, and takes note of a report.
func (d *Dispatcher) traceEnd(a *attemptRecord, k *serverRecord, how outcome.Kind, took policy.Ms) {
	if d.options.Trace == nil || k == nil {
		return
	}
	if a.isProbe && how == outcome.Served {
		k.reportedAt = time.Now()
	}
	d.options.Trace("trace=end of=%s provider=%s ending=%s took_ms=%.1f request=%s", a.kind(), k.name, how, took, d.requestOf(a))
}

func (a *attemptRecord) kind() string {
	if a.isProbe {
		return "probe"
	}
	return "call"
}

// requestOf is the id of the request that an attempt is for, with nothing in it that ends a word of the log; "-" = none.
func (d *Dispatcher) requestOf(a *attemptRecord) string {
	if h := d.requests[a.request]; h != nil && !a.isProbe {
		return url.QueryEscape(h.request.ID)
	}
	return "-"
}

// traceRequest logs a change of a request's state.
func (d *Dispatcher) traceRequest(req *request.Request, state, format string, args ...any) {
	if d.options.Trace != nil {
		d.options.Trace("trace=request id=%s state=%s "+format, append([]any{url.QueryEscape(req.ID), state}, args...)...)
	}
}

// traceServer logs a change of what a server is to this pool.
func (d *Dispatcher) traceServer(k *serverRecord, was policy.Health) {
	if d.options.Trace == nil {
		return
	}
	left := -1.0 // no limit on a first byte
	if !k.firstByteBy.IsZero() {
		left = max(0, millis(time.Until(k.firstByteBy)))
	}
	d.options.Trace("trace=server provider=%s was=%s is=%s first_byte_ms=%.0f", k.name, was, k.health, left)
}

// countUnserved counts why a request is refused or failed.
func (d *Dispatcher) countUnserved(a *policy.Action) {
	h := d.requests[a.Request]
	if h == nil || h.answered {
		return
	}
	if d.counts.UnservedByReason == nil {
		d.counts.UnservedByReason = map[policy.Reason]int{}
	}
	d.counts.UnservedByReason[a.Reason]++
	d.traceRequest(h.request, "unserved", "why=%s", a.Reason)
}
