package backend

import (
	"net/http"
	"time"

	"plankrouter/internal/http1"
	"plankrouter/internal/loadreport"
	"plankrouter/internal/outcome"
	"plankrouter/internal/upstream"
)

// result is how an attempt ended.
type result struct {
	upstream.Result
	download       *download     // the rest of the response; nil = Body is complete
	beforeLastByte bool          // with PartlyWritten: the connection broke before the last byte was written
	timeToBreak    time.Duration // with beforeLastByte, time from the first byte to the break; with ResetByPeer, from the last byte
}

// resultOf extracts from a response what the policy needs, and what is forwarded to the client.
func (a *attempt) resultOf(r *http1.Response) upstream.Result {
	out := upstream.Result{Outcome: outcome.ServerError, Body: r.Body}
	switch {
	case a.isServedBy(r.Status):
		out.Outcome, out.StatusCode = outcome.Served, r.Status
		out.Fields = r.Header.EndToEnd(isHopHeader)
		// The length of the body that a response to HEAD omits.
		if length := r.Header.Get("Content-Length"); a.bodiless && length != "" {
			out.Fields = append(out.Fields, http1.Field{Name: "Content-Length", Value: length})
		}
	case (r.Status == 503 || r.Status == 504) && r.Header.Get(http1.HeaderDeclined) == "1":
		out.Outcome = outcome.Declined
	}
	if load := r.Header.Get(http1.HeaderLoad); load != "" {
		out.Report = loadreport.Parse([]byte(load))
	}
	if a.isProbe && out.Outcome == outcome.Served { // the body of a response to a probe is the load report
		out.Report = loadreport.Parse(r.Body)
	}
	return out
}

// isServedBy reports whether a response with the status serves the request.
func (a *attempt) isServedBy(status int) bool {
	isServed := a.endpoint.client.settings.IsServed
	return status == http.StatusOK || !a.isProbe && isServed != nil && isServed(status)
}

// isHopHeader reports whether the header is meant for the sidecar and not forwarded to the client.
func isHopHeader(name string) bool { return name == http1.HeaderLoad || name == http1.HeaderDeclined }
