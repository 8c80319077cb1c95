package plankrouter

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"plankrouter/internal/connlimit"
)

// Idempotency says what may happen if a request runs twice.
type Idempotency uint8

// Idempotent requests may run any number of times; NonIdempotent ones are sent again, or rejected, only where no earlier
// attempt can have run.
const (
	Idempotent Idempotency = iota
	NonIdempotent
)

// Class is a class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration // within which a response has its full value; more than 0
	Deadline         time.Duration // no call waits for longer; at least LatencyObjective
	PriorityWeight   float64       // value of a response in time, compared with other classes; 0 = 1
	Idempotency      Idempotency
}

// Tenant is one of those who share the servers. Requests beyond its quota count for less and are the first to be rejected.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // requests a second, over all instances together, that are within its quota; more than 0
}

// Phase is the state in which an endpoint is listed.
type Phase uint8

// The phases. A Draining endpoint completes what it has and gets nothing new. Gone is for Update alone.
const (
	Serving Phase = iota
	Draining
	Gone
)

// Endpoint is one server.
type Endpoint struct {
	ID        string // the same at every instance and in every life of its process; "" = Address
	Address   string // host:port
	Zone      string
	Phase     Phase
	StartedAt time.Time // of its process; zero = long ago. A process that started lately is sent less, by Options.SlowStart
}

// ConnectionLimit is a limit on connections that several balancers may share.
type ConnectionLimit struct{ budget *connlimit.Budget }

// NewConnectionLimit returns a limit of maxConnections, at least 1, which dial opens; nil = plain TCP.
func NewConnectionLimit(maxConnections int, dial func(ctx context.Context, address string) (net.Conn, error)) *ConnectionLimit {
	if dial == nil {
		return &ConnectionLimit{connlimit.NewBudget(max(1, maxConnections), connlimit.DialTCP)}
	}
	return &ConnectionLimit{connlimit.NewBudget(max(1, maxConnections), guardDial(dial))}
}

// SlowStart says what a server that has just started can bear. The application has to know it: it can't be learned from the
// servers while they are still starting.
type SlowStart struct {
	StartCapacity    float64       // part of its capacity with which a server starts, above 0
	WarmUpTime       time.Duration // after which it has its whole capacity
	OverloadMultiple float64       // more than so many times its present capacity, for OverloadWindow, makes it fail; above 1
	OverloadWindow   time.Duration
}

// Options configure a Balancer. The zero value serves a plain fleet of HTTP/1.1 servers with one class of idempotent requests;
// only Endpoints, Discovery or a later Update has to say where the servers are.
type Options struct {
	Name    string   // of this balancer, in log lines
	Classes []Class  // none = one named "default": idempotent, latency objective 1 s, deadline 10 s
	Tenants []Tenant // none = requests have no tenant
	Zone    string   // of this process: servers in other zones are used where that helps, at CrossZoneCost

	Endpoints []Endpoint // at the start
	Discovery string     // host:port of a discovery service in the platform's form, which is watched; "" = none

	Probes    bool // the servers report their load at GET /metrics/load, and a probe costs them little
	Instances int  // balancers that share the servers, this one included; 0 = 1

	MaxAttempts       int              // for a request; 0 = 3
	ConnectionLimit   *ConnectionLimit // nil = 256 connections of its own
	ConnectTimeout    time.Duration    // 0 = 150 ms
	ServerIdleTimeout time.Duration    // after which the servers close an idle connection; 0 = 60 s
	DrainGrace        time.Duration    // from the announcement of a drain until nothing new is sent; 0 = 750 ms
	SlowStart         SlowStart        // zero = servers have their whole capacity at once
	CrossZoneCost     float64          // part of a request's value that an attempt in another zone costs, 0 to 1
	WastedWorkCost    float64          // part of all value that it costs if all work of the servers is in vain, 0 to 1
	MaxRetryAfter     time.Duration    // longest RetryAfter of a RejectedError; 0 = 1 s
	OverQuotaWeight   float64          // value of a request beyond its tenant's quota, as a part of the full one, 0 to 1
	Seed              uint64           // of random choices; 0 = one is drawn
	Logger            *slog.Logger     // nil = nothing is logged
}

// OptionError is an option that makes no sense.
type OptionError struct {
	Option string // its name, such as "Classes[1].LatencyObjective"
	Reason string // what is wrong and what would do
}

func (e *OptionError) Error() string { return "plankrouter: " + e.Option + ": " + e.Reason }

func optionErrorf(option, format string, args ...any) error {
	return &OptionError{option, fmt.Sprintf(format, args...)}
}
