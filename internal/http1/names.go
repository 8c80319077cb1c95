package http1

import "strings"

// The platform's names on the sockets.
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

// Reworded reports whether a header's line is said anew for each attempt: the id and the time that is left.
func Reworded(name string) bool {
	return strings.EqualFold(name, HeaderID) || strings.EqualFold(name, HeaderDeadline)
}
