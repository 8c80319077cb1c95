package http1

import "strings"

// The names of the headers and paths that the sidecar shares with its clients, the servers and the discovery service.
const (
	HeaderID         = "Req-Id"
	HeaderOwner      = "Req-Owner"    // the tenant
	HeaderDeadline   = "Req-Deadline" // seconds, with decimals
	HeaderRetry      = "Req-Retry"    // "1" = the client marks the request as a retry
	HeaderLoad       = "Srv-Load"     // the server's load report
	HeaderDeclined   = "Srv-Declined" // "1" = the server has not run the request
	HeaderRetryAfter = "Retry-After"

	PathUp   = "/up"              // health check of the sidecar
	PathLoad = "/metrics/load"    // probe of a server's load
	PathList = "/discovery/hosts" // endpoint list of the discovery service
)

// IsSetPerAttempt reports whether the sidecar sets the header for each attempt, as it does for the request's id and its
// deadline.
func IsSetPerAttempt(name string) bool {
	return strings.EqualFold(name, HeaderID) || strings.EqualFold(name, HeaderDeadline)
}
