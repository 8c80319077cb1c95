package plankrouter

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"plankrouter/internal/connlimit"
)

// Idempotency says whether a request may safely run more than once.
type Idempotency uint8

// Idempotent requests may run any number of times. NonIdempotent requests are retried, or rejected, only if no earlier attempt
// can have run.
const (
	Idempotent Idempotency = iota
	NonIdempotent
)

// Class is a class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a response within this time has its full value; above 0
	Deadline         time.Duration // longest time that a call of Do waits for its outcome; at least LatencyObjective
	PriorityWeight   float64       // value of a response within LatencyObjective, relative to other classes; 0 = 1
	Idempotency      Idempotency
}

// Tenant is one of several users of the servers. Requests beyond its quota have a lower value and are rejected first.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // requests per second within the quota, over all instances together; above 0
}

// Phase is the state of an endpoint in the endpoint list.
type Phase uint8

// The phases. A Draining endpoint completes the requests in flight and is sent no new ones. Gone, which is
// for Update only, takes an endpoint out of the list.
const (
	Serving Phase = iota
	Draining
	Gone
)

// Endpoint is one server.
type Endpoint struct {
	ID        string // the same for all balancer instances, and kept when the server restarts; "" = Address
	Address   string // host:port
	Zone      string
	Phase     Phase
	StartedAt time.Time // start of the server's process, for Options.SlowStart; zero = long ago
}

// ConnectionLimit limits the number of connections to servers. Several balancers may share one.
type ConnectionLimit struct{ budget *connlimit.Budget }

// NewConnectionLimit returns a limit of maxConnections connections (at least 1), which are opened with dial; nil = plain TCP.
func NewConnectionLimit(maxConnections int, dial func(ctx context.Context, address string) (net.Conn, error)) *ConnectionLimit {
	if dial == nil {
		return &ConnectionLimit{connlimit.NewBudget(max(1, maxConnections), connlimit.DialTCP)}
	}
	return &ConnectionLimit{connlimit.NewBudget(max(1, maxConnections), guardDial(dial))}
}

// SlowStart describes the capacity of a server that has just started. The application must know these values: they can't be
// learned from the servers while they are still starting.
type SlowStart struct {
	StartCapacity    float64       // fraction of its full capacity that a server has when it starts; above 0, at most 1
	WarmUpTime       time.Duration // time from its start until a server has its full capacity; above 0
	OverloadMultiple float64       // a load above this multiple of its present capacity for OverloadWindow makes it fail; above 1
	OverloadWindow   time.Duration // time for which such a load must last; above 0
}

// Options configure a Balancer. The zero value is for a fleet of plain HTTP/1.1 servers with one class of idempotent requests;
// the servers must be given by Endpoints, Discovery or a later Update.
type Options struct {
	Name    string   // of this balancer, in log lines
	Classes []Class  // none = one named "default": idempotent, latency objective 1 s, deadline 10 s
	Tenants []Tenant // none = requests have no tenant
	Zone    string   // zone of this process; attempts in other zones have the CrossZoneCost

	Endpoints []Endpoint // the initial endpoint list
	Discovery string     // host:port of a discovery service to watch at GET /discovery/hosts; "" = none

	Probes    bool // whether the servers are probed: they report their load at GET /metrics/load, at little cost
	Instances int  // number of balancers that share the servers, this one included; 0 = 1

	MaxAttempts       int              // per request; 0 = 3
	ConnectionLimit   *ConnectionLimit // nil = 256 connections, for this balancer alone
	ConnectTimeout    time.Duration    // 0 = 150 ms
	ServerIdleTimeout time.Duration    // idle time after which the servers close a connection; 0 = 60 s
	DrainGrace        time.Duration    // time from the announcement of a drain until no new attempt is sent; 0 = 750 ms
	SlowStart         SlowStart        // zero = servers have their full capacity at once
	CrossZoneCost     float64          // cost of an attempt in another zone, as a fraction of the request's value; 0 to 1
	WastedWorkCost    float64          // cost if all work of the servers is wasted, as a fraction of the total value; 0 to 1
	MaxRetryAfter     time.Duration    // longest RetryAfter of a RejectedError; 0 = 1 s
	OverQuotaWeight   float64          // value of a request beyond its tenant's quota, as a fraction of its full value; 0 to 1
	Seed              uint64           // seed of random choices; 0 = a random one
	Logger            *slog.Logger     // nil = nothing is logged
}

// OptionError reports an invalid option.
type OptionError struct {
	Option string // name of the option, such as "Classes[1].LatencyObjective"
	Reason string // what is wrong with its value
}

func (e *OptionError) Error() string { return "plankrouter: " + e.Option + ": " + e.Reason }

func optionErrorf(option, format string, args ...any) error {
	return &OptionError{option, fmt.Sprintf(format, args...)}
}
