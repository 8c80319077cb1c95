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
func (s *Dispatcher) traceStart(a *attempt, k *known) {
	if s.set.Trace == nil {
		return
	}
	news, age := -1.0, -1.0
	if !k.newsAt.IsZero() {
		news = millis(a.began.Sub(k.newsAt))
	}
	if k.origin.startedAt > 0 {
		age = s.clock.at(a.began) - k.origin.startedAt
	}
	s.set.Trace("trace=start of=%s provider=%s try=%d news_ms=%.0f age_ms=%.0f request=%s", a.what(), k.name, a.number, news, age,
		s.requestOf(a))
}

// traceEnd logs how it ended, and takes note of a report.
func (s *Dispatcher) traceEnd(a *attempt, k *known, how outcome.Kind, took policy.Ms) {
	if s.set.Trace == nil || k == nil {
		return
	}
	if a.probe && how == outcome.Served {
		k.newsAt = time.Now()
	}
	s.set.Trace("trace=end of=%s provider=%s ending=%s took_ms=%.1f request=%s", a.what(), k.name, how, took, s.requestOf(a))
}

func (a *attempt) what() string {
	if a.probe {
		return "probe"
	}
	return "call"
}

// requestOf is the id of the request that an attempt is for, with nothing in it that ends a word of the log; "-" = none.
func (s *Dispatcher) requestOf(a *attempt) string {
	if h := s.held[a.request]; h != nil && !a.probe {
		return url.QueryEscape(h.inv.ID)
	}
	return "-"
}

// traceRequest logs a change of a request's state.
func (s *Dispatcher) traceRequest(inv *request.Request, state, format string, args ...any) {
	if s.set.Trace != nil {
		s.set.Trace("trace=request id=%s state=%s "+format, append([]any{url.QueryEscape(inv.ID), state}, args...)...)
	}
}

// traceServer logs a change of what a server is to this pool.
func (s *Dispatcher) traceServer(k *known, was policy.Health) {
	if s.set.Trace == nil {
		return
	}
	left := -1.0 // no limit on a first byte
	if !k.notAfter.IsZero() {
		left = max(0, millis(time.Until(k.notAfter)))
	}
	s.set.Trace("trace=server provider=%s was=%s is=%s first_byte_ms=%.0f", k.name, was, k.health, left)
}

// unserved counts why a request is refused or failed.
func (s *Dispatcher) unserved(a *policy.Action) {
	h := s.held[a.Request]
	if h == nil || h.answered {
		return
	}
	if s.counts.UnservedByReason == nil {
		s.counts.UnservedByReason = map[policy.Reason]int{}
	}
	s.counts.UnservedByReason[a.Reason]++
	s.traceRequest(h.inv, "unserved", "why=%s", a.Reason)
}
