package policy

import "plankrouter/policy/internal/outlier"

// State is what a Balancer has learned that outlives its process. No present load is in it. Times are those
// of the clock that Handle is given; a value whose time is in the past has faded since.
type State struct {
	Servers        []ServerState
	SumLoadSquared float64 // of the fit of the response time to the load, as it was at FittedAt
	SumLoadLatency float64
	FittedAt       Ms
	Classes        []Mean  // by class: its part of the service time
	FleetLatency   Ms      // median service time
	OwnInFlight    float64 // own requests at the servers that report, summed over reports
	TotalInFlight  float64 // all requests there, summed likewise
	Tenants        []Level // by tenant: requests that each may still send at once
	Arrivals       Level   // fading counts of events
	Sends          Level
}

// ServerState is what is known of one server's process.
type ServerState struct {
	ID              ServerID
	StartedAt       Ms // of the process
	Latency         Ms // service time; 0 = not known
	LatencyReported bool
	ReportedAt      Ms // of Latency and ErrorRate
	RoundTrip       Ms // shortest probe
	ErrorRate       float64
	Outcomes        []Tally // of all requests, then by tenant
	SlowStartBudget Level
}

// Tally is fading counts of a server's successes and failures.
type Tally = outlier.Tally

// Mean is the sum of Count fading samples.
type Mean struct{ Count, Sum float64 }

// Level is a value that changes by itself, as it was at At.
type Level struct{ Value, At float64 }
