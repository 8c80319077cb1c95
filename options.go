package plankrouter

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/endpoints"
	"plankrouter/policy"
	"time"
)

// round is, in ms, how soon the core takes up what has happened, at the latest on a machine that is not overloaded. A call is
// given up a little more than twice that before its deadline, so that the outcome is there in time.
const round = 1.0

// Repeat says what may happen if a request runs twice.
type Repeat uint8

// Safe requests may run any number of times; Once ones are sent again, or refused, only where no earlier attempt can have
// run.
const (
	Safe Repeat = iota
	Once
)

// Class is a class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration // in which an answer has its full worth; more than 0
	Deadline         time.Duration // no call waits for longer; at least Aim
	PriorityWeight   float64       // of an answer in time, compared with other classes; 0 = 1
	Repeat           Repeat
}

// Tenant is one sharer of the fleet. Beyond its share its requests count as worth less and are the first to be refused.
type Tenant struct {
	Name      string
	PerSecond float64 // requests a second, over all instances together, that are within its share; more than 0
}

// Phase is what is known of a member.
type Phase uint8

// The phases. A Draining member completes what it has and gets nothing new. Gone is for Update alone.
const (
	Serving Phase = iota
	Draining
	Gone
)

// Member is one server.
type Member struct {
	ID        string // the same at every instance and in every life of its process; "" = Address
	Address   string // host:port
	Zone      string
	Phase     Phase
	StartedAt time.Time // of its process; zero = long ago. One that started lately is not given more than it can bear
}

// Sockets is a limit on connections that several balancers may share.
type Sockets struct{ budget *connlimit.Budget }

// NewSockets returns a limit of most connections, at least 1, opened by dial; nil = plain TCP.
func NewSockets(most int, dial func(ctx context.Context, address string) (net.Conn, error)) *Sockets {
	if dial == nil {
		return &Sockets{connlimit.NewBudget(max(1, most), connlimit.TCP)}
	}
	return &Sockets{connlimit.NewBudget(max(1, most), guarded(dial))}
}

// ColdStart says what a server that has just started can bear. It must be known: nothing tells it while it lasts.
type ColdStart struct {
	Share    float64       // part of its capacity with which it starts, above 0
	Within   time.Duration // in which it becomes warm
	Multiple float64       // of its present capacity that fells it, more than 1,
	Window   time.Duration // if it gets that for so long
}

// Options are what a Balancer is told. The zero value serves a plain fleet of HTTP/1.1 servers with one class of safe
// requests; only Members, Directory or a later Update has to say where it is.
type Options struct {
	Name    string   // of this balancer, in log lines and snapshots
	Classes []Class  // none = one named "default": safe, aim 1 s, deadline 10 s
	Tenants []Tenant // none = all alike
	Zone    string   // the own one: servers elsewhere are used where that helps, at ZonePrice

	Members   []Member // at the start
	Directory string   // host:port of a directory in the platform's form, which is watched; "" = none

	Probes    bool // the servers tell their load at GET /metrics/load, and asking costs them little
	Instances int  // balancers that share the servers, this one included; 0 = 1

	Attempts   int           // for a request, at most; 0 = 3
	Sockets    *Sockets      // nil = 256 connections of its own
	Connect    time.Duration // within which a connection has to come up; 0 = 150 ms
	ConnIdle   time.Duration // after which the servers close an idle connection; 0 = 60 s
	DrainGrace time.Duration // from the word of a drain until nothing new is sent; 0 = 750 ms
	Cold       ColdStart     // zero = servers are warm at once
	ZonePrice  float64       // part of a request's worth that another zone costs, 0 to 1
	WastePrice float64       // part of all worth that work in vain costs, 0 to 1
	AdviceMost time.Duration // longest RetryAfter of a refusal; 0 = 1 s
	OverShare  float64       // worth of a request beyond its tenant's share, 0 to 1
	Seed       uint64        // of random choices; 0 = one is drawn
	Logger     *slog.Logger  // nil = nothing is logged
}

// OptionError is an option that makes no sense.
type OptionError struct {
	Option string // its name, such as "Classes[1].LatencyObjective"
	Why    string // what is wrong and what would do
}

func (e *OptionError) Error() string { return "plankrouter: " + e.Option + ": " + e.Why }

func bad(option, format string, args ...any) error {
	return &OptionError{option, fmt.Sprintf(format, args...)}
}

// check fills in what is left out and names what makes no sense.
func (o *Options) check() error {
	if len(o.Classes) == 0 {
		o.Classes = []Class{{Name: "default", LatencyObjective: time.Second, Deadline: 10 * time.Second}}
	}
	seen := map[string]bool{}
	classes := append([]Class(nil), o.Classes...) // the caller's own stay as they are
	for i := range classes {
		c := &classes[i]
		at := fmt.Sprintf("Classes[%d]", i)
		switch c.PriorityWeight = cmp.Or(c.PriorityWeight, 1); {
		case c.Name == "" || seen[c.Name]:
			return bad(at+".Name", "%q is empty or given twice", c.Name)
		case c.LatencyObjective <= 0:
			return bad(at+".LatencyObjective", "%s is not above 0", c.LatencyObjective)
		case c.Deadline < c.LatencyObjective:
			return bad(at+".Deadline", "%s is shorter than the latency objective, %s", c.Deadline, c.LatencyObjective)
		case !(c.PriorityWeight > 0) || math.IsInf(c.PriorityWeight, 1):
			return bad(at+".PriorityWeight", "%g is not above 0", c.PriorityWeight)
		case c.Repeat > Once:
			return bad(at+".Repeat", "%d is neither Safe nor Once", c.Repeat)
		}
		seen[c.Name] = true
	}
	o.Classes = classes
	clear(seen)
	for i, t := range o.Tenants {
		switch {
		case t.Name == "" || seen[t.Name]:
			return bad(fmt.Sprintf("Tenants[%d].Name", i), "%q is empty or given twice", t.Name)
		case !(t.PerSecond > 0) || math.IsInf(t.PerSecond, 1):
			return bad(fmt.Sprintf("Tenants[%d].PerSecond", i), "%g is not above 0", t.PerSecond)
		}
		seen[t.Name] = true
	}
	for _, p := range []struct {
		option string
		v      float64
	}{{"ZonePrice", o.ZonePrice}, {"WastePrice", o.WastePrice}, {"OverShare", o.OverShare}} {
		if !(p.v >= 0 && p.v <= 1) {
			return bad(p.option, "%g does not lie between 0 and 1", p.v)
		}
	}
	for _, d := range []struct {
		option string
		v      *time.Duration
		none   time.Duration
	}{
		{"Connect", &o.Connect, 150 * time.Millisecond},
		{"ConnIdle", &o.ConnIdle, time.Minute},
		{"DrainGrace", &o.DrainGrace, 750 * time.Millisecond},
		{"AdviceMost", &o.AdviceMost, time.Second},
	} {
		if *d.v < 0 {
			return bad(d.option, "%s is negative", *d.v)
		}
		*d.v = cmp.Or(*d.v, d.none)
	}
	for _, n := range []struct {
		option string
		v      *int
		none   int
	}{{"Instances", &o.Instances, 1}, {"Attempts", &o.Attempts, 3}} {
		if *n.v < 0 {
			return bad(n.option, "%d is negative", *n.v)
		}
		*n.v = cmp.Or(*n.v, n.none)
	}
	if c := o.Cold; c != (ColdStart{}) {
		switch {
		case !(c.Share > 0 && c.Share <= 1):
			return bad("Cold.Share", "%g does not lie above 0 and up to 1", c.Share)
		case c.Within <= 0:
			return bad("Cold.Within", "%s is not above 0", c.Within)
		case !(c.Multiple > 1) || math.IsInf(c.Multiple, 1):
			return bad("Cold.Multiple", "%g is not above 1", c.Multiple)
		case c.Window <= 0:
			return bad("Cold.Window", "%s is not above 0", c.Window)
		}
	}
	if o.Directory != "" {
		if _, port, err := net.SplitHostPort(o.Directory); err != nil || port == "" {
			return bad("Directory", "%q is not host:port", o.Directory)
		}
	}
	if o.Sockets == nil {
		o.Sockets = NewSockets(256, nil)
	} else if o.Sockets.budget == nil {
		return bad("Sockets", "it was not made by NewSockets")
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	_, err := list(o.Members, true)
	var bad *OptionError
	if errors.As(err, &bad) {
		bad.Option = "Members" + bad.Option
	}
	return err
}

// list words members for the core.
func list(in []Member, complete bool) (endpoints.List, error) {
	out := endpoints.List{Complete: complete}
	seen := map[string]bool{}
	for i, m := range in {
		one := endpoints.Endpoint{ID: cmp.Or(m.ID, m.Address), Address: m.Address, Zone: m.Zone}
		if !m.StartedAt.IsZero() {
			one.StartedAt = float64(m.StartedAt.UnixMicro()) / 1e3
		}
		switch m.Phase {
		case Serving:
			one.Phase = endpoints.Serving
		case Draining:
			one.Phase = endpoints.Draining
		case Gone:
			one.Phase = endpoints.Deleted
		default:
			return out, bad(fmt.Sprintf("[%d].Phase", i), "%d is none of Serving, Draining and Gone", m.Phase)
		}
		_, port, err := net.SplitHostPort(m.Address)
		switch {
		case one.ID == "" || seen[one.ID]:
			return out, bad(fmt.Sprintf("[%d].ID", i), "%q is empty or given twice", one.ID)
		case (err != nil || port == "") && m.Phase == Serving:
			return out, bad(fmt.Sprintf("[%d].Address", i), "%q is not host:port", m.Address)
		}
		seen[one.ID] = true
		out.Endpoints = append(out.Endpoints, one)
	}
	return out, nil
}

// logic words the options for the decision module.
func (o *Options) logic() policy.Config {
	ms := func(d time.Duration) policy.Ms { return float64(d) / float64(time.Millisecond) }
	cfg := policy.Config{
		OverQuotaWeight: o.OverShare, Instances: o.Instances, Probes: o.Probes, Cancel: true,
		MaxAttempts: o.Attempts, MaxRetryAfter: ms(o.AdviceMost), Round: round, CrossZoneCost: o.ZonePrice,
		WastedWorkCost: o.WastePrice, StartCapacity: o.Cold.Share, WarmUpTime: ms(o.Cold.Within), OverloadMultiple: o.Cold.Multiple,
		OverloadWindow: ms(o.Cold.Window),
	}
	for _, c := range o.Classes {
		k := policy.Class{LatencyObjective: ms(c.LatencyObjective), Deadline: ms(c.Deadline), PriorityWeight: c.PriorityWeight}
		if c.Repeat == Once {
			k.Idempotency = policy.NonIdempotent
		}
		cfg.Classes = append(cfg.Classes, k)
	}
	for _, t := range o.Tenants {
		cfg.Tenants = append(cfg.Tenants, policy.Tenant{Quota: t.PerSecond})
	}
	return cfg
}
