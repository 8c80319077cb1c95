package http1

import "strings"

// The platform's header names and paths.
const (
	HeaderID         = "Req-Id"
	HeaderOwner      = "Req-Owner"
	HeaderDeadline   = "Req-Deadline" // seconds, with decimals
	HeaderRetry      = "Req-Retry"
	HeaderLoad       = "Srv-Load"
	HeaderDeclined   = "Srv-Declined"
	HeaderRetryAfter = "Retry-After"

	PathUp   = "/up"
	PathLoad = "/metrics/load"
	PathList = "/discovery/hosts"
)

// IsSetPerAttempt reports whether the sidecar sets the header for each attempt, as it does for the request's id and its
// deadline.
func IsSetPerAttempt(name string) bool {
	return strings.EqualFold(name, HeaderID) || strings.EqualFold(name, HeaderDeadline)
}
