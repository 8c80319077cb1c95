package policy

import "plankrouter/policy/internal/outlier"

// State is the part of a Balancer's state that is saved over a restart of its process; the current load is not
// included. Times are those of the clock passed to Handle; a decaying value is stored as it was at its time.
type State struct {
	Servers        []ServerState
	SumLoadSquared float64 // sums of the least-squares fit of response time to load, as they were at FittedAt
	SumLoadLatency float64
	FittedAt       Ms
	Classes        []Mean  // by class: duration as a multiple of the service time
	FleetLatency   Ms      // median service time
	OwnInFlight    float64 // own requests in flight at reporting servers, as a decaying sum over reports
	TotalInFlight  float64 // all requests in flight at reporting servers, as a decaying sum over reports
	Tenants        []Level // by tenant: tokens left of its quota
	Arrivals       Level   // decaying count of arrived requests
	Sends          Level   // decaying count of attempts
}

// ServerState is the saved state of one server process.
type ServerState struct {
	ID              ServerID
	StartedAt       Ms // start time of the process
	Latency         Ms // service time; 0 = not known
	LatencyReported bool
	ReportedAt      Ms // time of the report with Latency and ErrorRate
	RoundTrip       Ms // shortest duration of a probe; 0 = not known
	ErrorRate       float64
	Outcomes        []Tally // [0] of all requests, [1+i] of tenant i
	SlowStartBudget Level   // requests that this instance may still send to the server during slow start
}

// Tally is the decaying counts of a server's successes and failures.
type Tally = outlier.Tally

// Mean is the decaying sum of samples, with their decaying count.
type Mean struct{ Count, Sum float64 }

// Level is a value that changes with time, as it was at time At.
type Level struct{ Value, At float64 }
