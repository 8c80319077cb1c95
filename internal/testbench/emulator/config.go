package emulator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"

	"plankrouter/policy"
)

// Config is a whole day: the world, its load, what goes wrong and which policy decides. In plans its keys are those of the tags.
type Config struct {
	Sidecars   int     `json:"sidecars"`
	Servers    int     `json:"servers"`
	Zones      int     `json:"zones"`
	Rate       float64 `json:"rate"` // first tries a second, over all sidecars
	Seconds    float64 `json:"seconds"`
	Skew       float64 `json:"skew"`        // the i-th sidecar gets a part of the traffic in proportion to i^-skew
	ZoneSkew   float64 `json:"zone_skew"`   // the first zone's sidecars get so much more than their part, the last one's less
	Seed       uint64  `json:"seed"`        // of the world
	PolicySeed uint64  `json:"policy_seed"` // of the sidecars' own choices
	Policy     string  `json:"policy"`      // one of Policies

	Kinds     []Kind    `json:"kinds"`
	Classes   []Class   `json:"classes"`
	Tenants   []Tenant  `json:"tenants"` // may be empty
	Server    Server    `json:"server"`
	Network   Network   `json:"network"`
	Discovery Discovery `json:"directory"`
	Clients   Clients   `json:"clients"`
	Rules     Rules     `json:"rules"`
	Faults    []Fault   `json:"troubles"`
}

// Kind is a model of machine.
type Kind struct {
	Fraction float64    `json:"share"` // of the servers
	Cores    float64    `json:"cores"`
	Speed    [2]float64 `json:"speed"` // of a core, drawn between the two for each server
}

// Class is a class of requests.
type Class struct {
	Name               string  `json:"name"`
	Fraction           float64 `json:"share"`   // of the first tries
	WorkMs             float64 `json:"work_ms"` // mean; exponential, or lognormal where there is a Spread
	WaitMs             float64 `json:"wait_ms"` // mean of what it then waits for others: it holds its slot, but no core
	Spread             float64 `json:"spread"`  // coefficient of variation of WorkMs and of WaitMs; 0 = both are exponential
	Noise              float64 `json:"noise"`   // the same of a factor to the work, drawn for each attempt; 0 = none
	LatencyObjectiveMs float64 `json:"aim_ms"`
	DeadlineMs         float64 `json:"deadline_ms"` // for all tries together
	PriorityWeight     float64 `json:"worth"`
	LateWeight         float64 `json:"late_worth"` // part of Worth that an answer after the latency objective still earns
	NonIdempotent      bool    `json:"unsafe"`     // must never run twice; else any number of times
}

// Tenant is a sharer of the fleet.
type Tenant struct {
	Name     string  `json:"name"`
	Fraction float64 `json:"share"` // of the traffic
	Quota    float64 `json:"quota"` // first tries a second that count in full
}

// Server is how every server works. Lengths of time are in ms.
type Server struct {
	Slots           int     `json:"slots"`      // requests that share the cores
	QueueCapacity   int     `json:"room"`       // requests that may wait for a slot; what comes beyond is rejected unseen
	OverloadFrom    float64 `json:"crowd_from"` // requests held for each core from which efficiency falls
	OverloadLoss    float64 `json:"crowd_loss"` // by so much for each further one
	MaxOverloadLoss float64 `json:"crowd_most"` // but by no more

	JamWaiting float64 `json:"jam_waiting"` // requests waiting for each core that jam it,
	JamAfter   float64 `json:"jam_after_ms"`
	JamSlow    float64 `json:"jam_slow"` // times slower, until
	JamIdle    float64 `json:"jam_idle"` // it holds no more for each core
	JamClears  float64 `json:"jam_clears_ms"`
	MaxJam     float64 `json:"jam_most_ms"` // or until this has passed

	Connections int     `json:"connections"` // beyond which none is accepted
	TableLoss   float64 `json:"table_loss"`  // part of the capacity that a full table takes
	Handshake   float64 `json:"handshake_ms"`
	Idle        float64 `json:"idle_ms"` // after which an idle connection is closed
	ProbeWork   float64 `json:"probe_ms"`
	MaxProbes   float64 `json:"probes_most"`  // a second, beyond which they are rejected
	ReportEvery float64 `json:"report_ms"`    // between two refreshes of what probes report
	ReportNoise float64 `json:"report_noise"` // standard deviation, as a part of the figure
	NoReport    bool    `json:"no_report"`    // probes are answered without any load report
	ProbesQueue bool    `json:"probes_queue"` // where there is none: they wait among the requests in the slots

	DropsCancelled bool `json:"drops_cancelled"` // what waits for a slot leaves when its attempt ends at the sidecar
}

// Network is what lies between. Delays are one way, in ms.
type Network struct {
	Near           float64    `json:"near_ms"`   // within a zone
	Far            [2]float64 `json:"far_ms"`    // between two zones, drawn for each pair
	Jitter         float64    `json:"jitter_ms"` // mean of what is added to each message
	ConnectTimeout float64    `json:"connect_timeout_ms"`
}

// Discovery is how changes of the list reach the sidecars.
type Discovery struct {
	Late   [2]float64 `json:"late_ms"` // drawn for each change and sidecar
	Lossy  float64    `json:"lossy"`   // part of the changes that a sidecar does not get
	Repair float64    `json:"repair_ms"`
}

// Clients says how clients behave.
type Clients struct {
	Retries   int        `json:"retries"`
	Wait      float64    `json:"wait_ms"`
	Timeout   [2]float64 `json:"patience"`  // part of the deadline until a try is given up, drawn for each request
	Impatient float64    `json:"impatient"` // part of the tries that are given up at a random moment before
}

// Rules are the limits of the rules, and further settings of the policy.
type Rules struct {
	DrainGrace       float64 `json:"grace_ms"`        // of a drain
	AnswerSlack      float64 `json:"answer_slack_ms"` // after a try's end within which an answer still counts as given
	StartCapacity    float64 `json:"cold_share"`
	WarmUpTime       float64 `json:"warm_within_ms"`
	OverloadMultiple float64 `json:"tip_multiple"`
	OverloadWindow   float64 `json:"tip_window_ms"`
	MaxAttempts      int     `json:"max_attempts"`
	OverQuotaWeight  float64 `json:"over_share_worth"`
	CrossZoneCost    float64 `json:"cross_price"`
	WastedWorkCost   float64 `json:"waste_price"`
	ProbeCost        float64 `json:"probe_price"`
	Round            float64 `json:"round_ms"`
}

// Default is an ordinary world of that size: every further key has the value that docs/operate/emulator.md lists. Its
// servers are a little over half used.
func Default(sidecars, servers int) Config {
	c := Config{
		Sidecars: sidecars, Servers: servers, Zones: 5, Rate: 20 * float64(servers), Seconds: 30, Skew: 0.5, Seed: 1,
		Policy: "module",
		Kinds: []Kind{
			{Fraction: 0.47, Cores: 4, Speed: [2]float64{0.85, 1.1}},
			{Fraction: 0.53, Cores: 4, Speed: [2]float64{0.64, 0.86}},
		},
		Classes: []Class{
			{Name: "tile", Fraction: 0.54, WorkMs: 130, LatencyObjectiveMs: 750, DeadlineMs: 2500, PriorityWeight: 1},
			{Name: "record", Fraction: 0.33, WorkMs: 70, LatencyObjectiveMs: 500, DeadlineMs: 1500, PriorityWeight: 1},
			{Name: "order", Fraction: 0.13, WorkMs: 40, LatencyObjectiveMs: 300, DeadlineMs: 1000, PriorityWeight: 5, NonIdempotent: true},
		},
		Server: Server{
			Slots: 16, QueueCapacity: 32, OverloadFrom: 4, OverloadLoss: 0.04, MaxOverloadLoss: 0.4,
			JamWaiting: 3, JamAfter: 2000, JamSlow: 2.9, JamIdle: 0.5, JamClears: 3000, MaxJam: 24000,
			Connections: 400, TableLoss: 0.2, Handshake: 1, Idle: 30000, ProbeWork: 0.16, MaxProbes: 2000,
			ReportEvery: 3, ReportNoise: 0.05,
		},
		Network:   Network{Near: 0.2, Far: [2]float64{1.4, 2.6}, Jitter: 0.1, ConnectTimeout: 150},
		Discovery: Discovery{Late: [2]float64{500, 3000}, Lossy: 0.02, Repair: 6000},
		Clients:   Clients{Retries: 3, Wait: 50, Timeout: [2]float64{0.33, 0.55}, Impatient: 0.01},
		Rules: Rules{
			DrainGrace: 750, AnswerSlack: 20, StartCapacity: 0.3, WarmUpTime: 8100, OverloadMultiple: 4, OverloadWindow: 3000,
			MaxAttempts: 3, OverQuotaWeight: 0.2, CrossZoneCost: 0.01, WastedWorkCost: 0.1, Round: 5,
		},
	}
	for i, share := range []float64{0.3, 0.25, 0.2, 0.15, 0.1} {
		c.Tenants = append(c.Tenants, Tenant{Name: fmt.Sprint("tenant-", i+1), Fraction: share})
	}
	return c
}

// ReadPlan reads a plan, in JSON, over what into holds: keys that the plan does not name stay as they are, and lists
// are replaced. An unknown key is an error that names it, and then into stays as it was.
func ReadPlan(r io.Reader, into *Config) error {
	raw, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("the plan: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	c := *into
	c.Kinds, c.Classes, c.Tenants, c.Faults = nil, nil, nil, nil // the decoder would write into the old ones
	if err := d.Decode(&c); err != nil {
		return fmt.Errorf("the plan%s: %w", place(raw, err), err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("the plan: more follows behind its closing brace; one object is expected")
	}
	keep(&c.Kinds, into.Kinds)
	keep(&c.Classes, into.Classes)
	keep(&c.Tenants, into.Tenants)
	keep(&c.Faults, into.Faults)
	*into = c
	return nil
}

// place names the line of an error that has one. An unknown key has none, but its name can be searched for.
func place(raw []byte, err error) string {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	var at int64
	switch {
	case errors.As(err, &syntax):
		at = syntax.Offset
	case errors.As(err, &kind):
		at = kind.Offset
	default:
		return ""
	}
	return fmt.Sprintf(", line %d", 1+bytes.Count(raw[:at], []byte("\n")))
}

// keep leaves a list as it was where the plan has none.
func keep[T any](list *[]T, was []T) {
	if *list == nil {
		*list = was
	}
}

// unbounded is the upper bound of what has none.
const unbounded = math.MaxFloat64

// bound is the range in which the value of a plan's key has to lie.
type bound struct {
	key       string
	value     float64
	low, high float64
}

// Check says what is wrong, by the plan's key.
func (c *Config) Check() error {
	for _, b := range slices.Concat(c.dayBounds(), c.serverBounds(), c.environmentBounds(), c.ruleBounds(), c.listBounds()) {
		if !(b.value >= b.low && b.value <= b.high) { // so that NaN is refused, too
			return fmt.Errorf("%s: %v; want %v to %v", b.key, b.value, b.low, b.high)
		}
	}
	var kinds, classes, tenants float64 // sums of shares
	for _, k := range c.Kinds {
		kinds += k.Fraction
	}
	for _, k := range c.Classes {
		classes += k.Fraction
	}
	for _, t := range c.Tenants {
		tenants += t.Fraction
	}
	if kinds == 0 || classes == 0 || len(c.Tenants) > 0 && tenants == 0 {
		return errors.New("kinds, classes, tenants: one of the first two at least, with a share above 0, is needed")
	}
	if !slices.Contains(Policies(), c.Policy) {
		return fmt.Errorf("policy: there is no %q; there are %v", c.Policy, Policies())
	}
	for i := range c.Faults {
		if err := c.Faults[i].check(c); err != nil {
			return fmt.Errorf("troubles[%d].%w", i, err)
		}
	}
	return nil
}

// dayBounds are those of the size of the world and of its load.
func (c *Config) dayBounds() []bound {
	return []bound{
		{"sidecars", float64(c.Sidecars), 1, 1e5},
		{"servers", float64(c.Servers), 1, 1e4},
		{"zones", float64(c.Zones), 1, 100},
		{"rate", c.Rate, 0, 1e7},
		{"seconds", c.Seconds, 1, 86400},
		{"skew", c.Skew, 0, 4},
		{"zone_skew", c.ZoneSkew, 0, 1},
	}
}

// serverBounds are those of how servers work.
func (c *Config) serverBounds() []bound {
	return []bound{
		{"server.slots", float64(c.Server.Slots), 1, 1e9},
		{"server.crowd_from", c.Server.OverloadFrom, 0, unbounded},
		{"server.jam_waiting", c.Server.JamWaiting, 0, unbounded},
		{"server.jam_after_ms", c.Server.JamAfter, 0, unbounded},
		{"server.jam_idle", c.Server.JamIdle, 0, unbounded},
		{"server.jam_clears_ms", c.Server.JamClears, 0, unbounded},
		{"server.jam_most_ms", c.Server.MaxJam, 0, unbounded},
		{"server.probes_most", c.Server.MaxProbes, 0, unbounded},
		{"server.room", float64(c.Server.QueueCapacity), 0, 1e9},
		{"server.crowd_most", c.Server.MaxOverloadLoss, 0, 0.99},
		{"server.crowd_loss", c.Server.OverloadLoss, 0, 1},
		{"server.jam_slow", c.Server.JamSlow, 1, 1e3},
		{"server.connections", float64(c.Server.Connections), 1, 1e9},
		{"server.table_loss", c.Server.TableLoss, 0, 0.99},
		{"server.handshake_ms", c.Server.Handshake, 0, 1e3},
		{"server.idle_ms", c.Server.Idle, 1, unbounded},
		{"server.probe_ms", c.Server.ProbeWork, 0, 1e3},
		{"server.report_ms", c.Server.ReportEvery, 0.1, 1e6},
		{"server.report_noise", c.Server.ReportNoise, 0, 1},
	}
}

// environmentBounds are those of network, discovery and clients.
func (c *Config) environmentBounds() []bound {
	return []bound{
		{"network.near_ms", c.Network.Near, 0, 1e4},
		{"network.far_ms", c.Network.Far[0], 0, c.Network.Far[1]},
		{"network.jitter_ms", c.Network.Jitter, 0, 1e4},
		{"network.connect_timeout_ms", c.Network.ConnectTimeout, 1, 1e5},
		{"directory.late_ms", c.Discovery.Late[0], 0, c.Discovery.Late[1]},
		{"directory.lossy", c.Discovery.Lossy, 0, 1},
		{"directory.repair_ms", c.Discovery.Repair, 1, unbounded},
		{"clients.retries", float64(c.Clients.Retries), 0, 100},
		{"clients.wait_ms", c.Clients.Wait, 0, unbounded},
		{"clients.patience", c.Clients.Timeout[0], 0.01, c.Clients.Timeout[1]},
		{"clients.patience", c.Clients.Timeout[1], 0.01, 1},
		{"clients.impatient", c.Clients.Impatient, 0, 1},
	}
}

// ruleBounds are those of the rules' figures.
func (c *Config) ruleBounds() []bound {
	return []bound{
		{"rules.grace_ms", c.Rules.DrainGrace, 0, unbounded},
		{"rules.cross_price", c.Rules.CrossZoneCost, 0, unbounded},
		{"rules.waste_price", c.Rules.WastedWorkCost, 0, unbounded},
		{"rules.probe_price", c.Rules.ProbeCost, 0, unbounded},
		{"rules.cold_share", c.Rules.StartCapacity, 0.01, 1},
		{"rules.warm_within_ms", c.Rules.WarmUpTime, 0, unbounded},
		{"rules.tip_multiple", c.Rules.OverloadMultiple, 1, unbounded},
		{"rules.tip_window_ms", c.Rules.OverloadWindow, 1, unbounded},
		{"rules.max_attempts", float64(c.Rules.MaxAttempts), 1, 100},
		{"rules.round_ms", c.Rules.Round, 0, 1e3},
		{"rules.over_share_worth", c.Rules.OverQuotaWeight, 0, 1},
		{"rules.answer_slack_ms", c.Rules.AnswerSlack, 0, unbounded},
	}
}

// listBounds are those of the elements of lists.
func (c *Config) listBounds() (bounds []bound) {
	for i, k := range c.Kinds {
		at := fmt.Sprintf("kinds[%d].", i)
		bounds = append(bounds, bound{at + "share", k.Fraction, 0, unbounded}, bound{at + "cores", k.Cores, 1, 1e4},
			bound{at + "speed", k.Speed[0], 0.01, k.Speed[1]})
	}
	for i, k := range c.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		bounds = append(bounds, bound{at + "share", k.Fraction, 0, unbounded}, bound{at + "work_ms", k.WorkMs, 0.001, unbounded},
			bound{at + "wait_ms", k.WaitMs, 0, unbounded}, bound{at + "spread", k.Spread, 0, 10},
			bound{at + "noise", k.Noise, 0, 10}, bound{at + "aim_ms", k.LatencyObjectiveMs, 1, unbounded}, bound{at + "deadline_ms", k.DeadlineMs, 1, unbounded},
			bound{at + "worth", k.PriorityWeight, 0, unbounded}, bound{at + "late_worth", k.LateWeight, 0, 1})
	}
	for i, t := range c.Tenants {
		at := fmt.Sprintf("tenants[%d].", i)
		bounds = append(bounds, bound{at + "share", t.Fraction, 0, unbounded}, bound{at + "quota", t.Quota, 0, unbounded})
	}
	return bounds
}

// quota is a tenant's; 0 in the plan stands for a quarter more than its part of the traffic.
func (c *Config) quota(t int) float64 {
	if q := c.Tenants[t].Quota; q > 0 {
		return q
	}
	all := 0.0
	for _, t := range c.Tenants {
		all += t.Fraction
	}
	return 1.25 * c.Rate * c.Tenants[t].Fraction / all
}

// logic is what a sidecar in that zone is told.
func (c *Config) logic(zone int) policy.Config {
	l := policy.Config{
		OverQuotaWeight: c.Rules.OverQuotaWeight, Instances: c.Sidecars, Zone: zone, Probes: true, Cancel: true,
		MaxAttempts: c.Rules.MaxAttempts, MaxRetryAfter: 0, Round: c.Rules.Round, StartCapacity: c.Rules.StartCapacity,
		WarmUpTime: c.Rules.WarmUpTime, OverloadMultiple: c.Rules.OverloadMultiple, OverloadWindow: c.Rules.OverloadWindow,
		CrossZoneCost: c.Rules.CrossZoneCost, WastedWorkCost: c.Rules.WastedWorkCost, ProbeCost: c.Rules.ProbeCost,
	}
	for _, k := range c.Classes {
		repeat := policy.Idempotent
		if k.NonIdempotent {
			repeat = policy.NonIdempotent
		}
		l.Classes = append(l.Classes, policy.Class{
			LatencyObjective: k.LatencyObjectiveMs, Deadline: k.DeadlineMs, PriorityWeight: k.PriorityWeight,
			LateWeight: k.LateWeight, Idempotency: repeat,
		})
	}
	for t := range c.Tenants {
		l.Tenants = append(l.Tenants, policy.Tenant{Quota: c.quota(t)})
	}
	return l
}
