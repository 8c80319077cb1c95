package http1

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
