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

// Config describes a whole run: the fleet, its load, the injected faults and the policy of the sidecars. The JSON tags are the
// keys of a plan.
type Config struct {
	Sidecars   int     `json:"sidecars"`
	Servers    int     `json:"servers"`
	Zones      int     `json:"zones"`
	Rate       float64 `json:"rate"` // client requests per second over all sidecars, without retries
	Seconds    float64 `json:"seconds"`
	Skew       float64 `json:"skew"`        // the i-th sidecar gets a share of the traffic proportional to i^-Skew
	ZoneSkew   float64 `json:"zone_skew"`   // fraction of the mean by which the first zone gets more traffic, and the last one less
	Seed       uint64  `json:"seed"`        // seed of load, network, servers, clients and faults
	PolicySeed uint64  `json:"policy_seed"` // seed of the policies' random choices
	Policy     string  `json:"policy"`      // one of the names that Policies returns

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

// Kind is a hardware type of servers.
type Kind struct {
	Fraction float64    `json:"share"` // fraction of the servers; only the ratio between kinds counts
	Cores    float64    `json:"cores"`
	Speed    [2]float64 `json:"speed"` // range of a core's speed, drawn uniformly for each server
}

// Class is a class of requests.
type Class struct {
	Name               string  `json:"name"`
	Fraction           float64 `json:"share"`   // fraction of the client requests; only the ratio between classes counts
	WorkMs             float64 `json:"work_ms"` // mean CPU work; exponentially distributed, or lognormally if Spread is above 0
	WaitMs             float64 `json:"wait_ms"` // mean wait for other services after the work; it holds the slot, but no core
	Spread             float64 `json:"spread"`  // coefficient of variation of WorkMs and of WaitMs; 0 = both are exponential
	Noise              float64 `json:"noise"`   // coefficient of variation of a random factor on an attempt's work; 0 = none
	LatencyObjectiveMs float64 `json:"aim_ms"`
	DeadlineMs         float64 `json:"deadline_ms"` // deadline of a client request including its retries
	PriorityWeight     float64 `json:"worth"`
	LateWeight         float64 `json:"late_worth"` // fraction of PriorityWeight that counts after the latency objective
	NonIdempotent      bool    `json:"unsafe"`     // it must not run twice; otherwise it may run any number of times
}

// Tenant is one of the tenants that share the fleet.
type Tenant struct {
	Name     string  `json:"name"`
	Fraction float64 `json:"share"` // fraction of the traffic; only the ratio between tenants counts
	Quota    float64 `json:"quota"` // client requests per second at full weight; 0 = 1.25 times the tenant's part of Rate
}

// Server is the model of every server. Durations are in ms.
type Server struct {
	Slots           int     `json:"slots"`      // requests that are processed at once and share the cores
	QueueCapacity   int     `json:"room"`       // requests that may wait for a slot; further ones are rejected
	OverloadFrom    float64 `json:"crowd_from"` // requests in flight per core above which the capacity falls
	OverloadLoss    float64 `json:"crowd_loss"` // fraction of the capacity lost with each request above OverloadFrom
	MaxOverloadLoss float64 `json:"crowd_most"` // upper limit of the loss by overload, as a fraction of the capacity

	// A server jams, which means that it is slower by the factor JamSlow, after it has had too many requests in flight for a
	// while. The jam clears after the server has had few requests in flight for a while, or at the latest after MaxJam.
	JamWaiting float64 `json:"jam_waiting"`   // requests in flight per core, besides the running one, above which a server may jam
	JamAfter   float64 `json:"jam_after_ms"`  // time above JamWaiting until the server jams
	JamSlow    float64 `json:"jam_slow"`      // factor by which a jammed server is slower
	JamIdle    float64 `json:"jam_idle"`      // requests in flight per core up to which a jam may clear
	JamClears  float64 `json:"jam_clears_ms"` // time at or below JamIdle until the jam clears
	MaxJam     float64 `json:"jam_most_ms"`   // time after which a jam clears in any case

	Connections int     `json:"connections"`  // open connections above which further ones are refused
	TableLoss   float64 `json:"table_loss"`   // fraction of the capacity lost with Connections open, proportionally less with fewer
	Handshake   float64 `json:"handshake_ms"` // CPU work of accepting a connection
	Idle        float64 `json:"idle_ms"`      // time after which an idle connection is closed
	ProbeWork   float64 `json:"probe_ms"`     // CPU work of a probe
	MaxProbes   float64 `json:"probes_most"`  // probes per second above which further ones are rejected
	ReportEvery float64 `json:"report_ms"`    // interval between two updates of the RIF that probes report
	ReportNoise float64 `json:"report_noise"` // standard deviation of reported values, as a fraction of them
	NoReport    bool    `json:"no_report"`    // probe responses have no load report
	ProbesQueue bool    `json:"probes_queue"` // with NoReport: a probe shares the cores with the requests in the slots

	DropsCancelled bool `json:"drops_cancelled"` // a queued request is removed when its attempt is cancelled or times out
}

// Network is the network between sidecars and servers. Delays are one-way, in ms.
type Network struct {
	Near           float64    `json:"near_ms"`   // within a zone
	Far            [2]float64 `json:"far_ms"`    // between two zones, drawn for each pair
	Jitter         float64    `json:"jitter_ms"` // mean of the exponential delay added to each message
	ConnectTimeout float64    `json:"connect_timeout_ms"`
}

// Discovery is how changes of the endpoint list reach the sidecars.
type Discovery struct {
	Late   [2]float64 `json:"late_ms"`   // range of the delay, drawn for each change and sidecar
	Lossy  float64    `json:"lossy"`     // fraction of the changes that a sidecar does not receive
	Repair float64    `json:"repair_ms"` // delay after which the sidecar receives the complete list in place of a lost change
}

// Clients is how clients retry and give up. A client attempt is one transmission of a client request to a sidecar.
type Clients struct {
	Retries   int        `json:"retries"`   // highest number of retries of a client request
	Wait      float64    `json:"wait_ms"`   // ms before each retry
	Timeout   [2]float64 `json:"patience"`  // range of a client attempt's timeout, as a fraction of the deadline
	Impatient float64    `json:"impatient"` // fraction of client attempts abandoned at a random time before the timeout
}

// Rules are the limits that the judge and the servers apply, and further settings of the policy. Durations are in ms.
type Rules struct {
	DrainGrace       float64 `json:"grace_ms"`        // time after the notification of a drain in which requests may still be sent
	ResponseSlack    float64 `json:"answer_slack_ms"` // time after a client attempt's timeout by which a final response is due
	StartCapacity    float64 `json:"cold_share"`      // least fraction of its capacity that a server starts with
	WarmUpTime       float64 `json:"warm_within_ms"`  // longest slow start of a server
	OverloadMultiple float64 `json:"tip_multiple"`    // multiple of the capacity; more work in OverloadWindow ends a cold process
	OverloadWindow   float64 `json:"tip_window_ms"`
	MaxAttempts      int     `json:"max_attempts"`
	OverQuotaWeight  float64 `json:"over_share_worth"`
	CrossZoneCost    float64 `json:"cross_price"`
	WastedWorkCost   float64 `json:"waste_price"`
	ProbeCost        float64 `json:"probe_price"`
	Round            float64 `json:"round_ms"`
}

// Default returns the default configuration for the given numbers of sidecars and servers, with the values that
// docs/operate/emulator.md lists. Its servers are a little over half utilized.
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
			DrainGrace: 750, ResponseSlack: 20, StartCapacity: 0.3, WarmUpTime: 8100, OverloadMultiple: 4, OverloadWindow: 3000,
			MaxAttempts: 3, OverQuotaWeight: 0.2, CrossZoneCost: 0.01, WastedWorkCost: 0.1, Round: 5,
		},
	}
	for i, share := range []float64{0.3, 0.25, 0.2, 0.15, 0.1} {
		c.Tenants = append(c.Tenants, Tenant{Name: fmt.Sprint("tenant-", i+1), Fraction: share})
	}
	return c
}

// ReadPlan reads a JSON plan and sets the fields of into that it has; the others keep their values. Lists are replaced as a
// whole. An unknown key is an error that names it. On any error into is unchanged.
func ReadPlan(r io.Reader, into *Config) error {
	raw, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("read plan: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	c := *into
	c.Kinds, c.Classes, c.Tenants, c.Faults = nil, nil, nil, nil // else the decoder would overwrite the elements of into's lists
	if err := d.Decode(&c); err != nil {
		return fmt.Errorf("parse plan%s: %w", errorLine(raw, err), err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("parse plan: unexpected data after the JSON object")
	}
	restoreMissing(&c.Kinds, into.Kinds)
	restoreMissing(&c.Classes, into.Classes)
	restoreMissing(&c.Tenants, into.Tenants)
	restoreMissing(&c.Faults, into.Faults)
	*into = c
	return nil
}

// errorLine returns ", line N" for an error with an offset, and "" otherwise. The error of an unknown key has no offset, but
// names the key.
func errorLine(raw []byte, err error) string {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	var offset int64
	switch {
	case errors.As(err, &syntaxErr):
		offset = syntaxErr.Offset
	case errors.As(err, &typeErr):
		offset = typeErr.Offset
	default:
		return ""
	}
	return fmt.Sprintf(", line %d", 1+bytes.Count(raw[:offset], []byte("\n")))
}

// restoreMissing sets a list that the plan does not have to its previous value.
func restoreMissing[T any](list *[]T, previous []T) {
	if *list == nil {
		*list = previous
	}
}

// unbounded is the upper bound of values without a limit.
const unbounded = math.MaxFloat64

// bound is the value of a plan's key and its valid range.
type bound struct {
	key       string
	value     float64
	low, high float64
}

// Check returns an error that names the plan's key of the first invalid value, or nil.
func (c *Config) Check() error {
	for _, b := range slices.Concat(c.fleetBounds(), c.serverBounds(), c.environmentBounds(), c.ruleBounds(), c.listBounds()) {
		if !(b.value >= b.low && b.value <= b.high) { // written so that NaN is invalid, too
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
		return errors.New("kinds, classes, tenants: each list needs an entry with a share above 0; only tenants may be empty")
	}
	if !slices.Contains(Policies(), c.Policy) {
		return fmt.Errorf("policy: unknown policy %q; want one of %v", c.Policy, Policies())
	}
	for i := range c.Faults {
		if err := c.Faults[i].check(c); err != nil {
			return fmt.Errorf("troubles[%d].%w", i, err)
		}
	}
	return nil
}

// fleetBounds returns the bounds of the fleet's size and its load.
func (c *Config) fleetBounds() []bound {
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

// serverBounds returns the bounds of the server model.
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

// environmentBounds returns the bounds of network, discovery and clients.
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

// ruleBounds returns the bounds of the rules' limits.
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
		{"rules.answer_slack_ms", c.Rules.ResponseSlack, 0, unbounded},
	}
}

// listBounds returns the bounds of the elements of kinds, classes and tenants.
func (c *Config) listBounds() (bounds []bound) {
	for i, k := range c.Kinds {
		prefix := fmt.Sprintf("kinds[%d].", i)
		bounds = append(bounds, bound{prefix + "share", k.Fraction, 0, unbounded}, bound{prefix + "cores", k.Cores, 1, 1e4},
			bound{prefix + "speed", k.Speed[0], 0.01, k.Speed[1]})
	}
	for i, k := range c.Classes {
		prefix := fmt.Sprintf("classes[%d].", i)
		bounds = append(bounds, bound{prefix + "share", k.Fraction, 0, unbounded}, bound{prefix + "work_ms", k.WorkMs, 0.001, unbounded},
			bound{prefix + "wait_ms", k.WaitMs, 0, unbounded}, bound{prefix + "spread", k.Spread, 0, 10},
			bound{prefix + "noise", k.Noise, 0, 10}, bound{prefix + "aim_ms", k.LatencyObjectiveMs, 1, unbounded}, bound{prefix + "deadline_ms", k.DeadlineMs, 1, unbounded},
			bound{prefix + "worth", k.PriorityWeight, 0, unbounded}, bound{prefix + "late_worth", k.LateWeight, 0, 1})
	}
	for i, t := range c.Tenants {
		prefix := fmt.Sprintf("tenants[%d].", i)
		bounds = append(bounds, bound{prefix + "share", t.Fraction, 0, unbounded}, bound{prefix + "quota", t.Quota, 0, unbounded})
	}
	return bounds
}

// quota returns a tenant's quota in requests per second; 0 in the plan means 1.25 times its part of the traffic.
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

// policyConfig returns the policy's configuration for a sidecar in the given zone.
func (c *Config) policyConfig(zone int) policy.Config {
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
