package policy

import "plankrouter/policy/internal/outlier"

// What a Balancer has learned, as it is stored in a snapshot; restore.go takes and restores it.

// State is what a Balancer has learned that outlives its process. No present load is in it. Times are those
// of the clock that Handle is given; a figure whose time is in the past has faded since.
type State struct {
	Servers                                  []ServerState
	SumLoadSquared, SumLoadLatency, FittedAt float64 // of the fit of the response time to the load
	Classes                                  []Mean  // by class
	FleetLatency                             Ms      // median service time
	OwnInFlight                              float64 // own requests, and all, that probed servers held
	TotalInFlight                            float64
	Tenants                                  []Level // by tenant: requests that each may still send at once
	Arrivals                                 Level   // fading counts of events
	Sends                                    Level
}

// ServerState is what is known of one server's process.
type ServerState struct {
	ID              ServerID
	StartedAt       Ms // of the process
	Latency         Ms // service time; 0 = not known
	LatencyReported bool
	ReportedAt      Ms // of Latency and Failing
	RoundTrip       Ms // lowest round trip
	ErrorRate       float64
	Outcomes        []Tally // of all requests, then by tenant
	SlowStartBudget Level   // what was left of its allowance while cold
}

// Tally is fading evidence for and against a server.
type Tally = outlier.Tally

// Mean is the sum of N fading samples.
type Mean struct{ Count, Sum float64 }

// Level is a figure that changes by itself, as it was at At.
type Level struct{ Value, At float64 }
