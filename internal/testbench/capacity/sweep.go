package capacity

import "time"

const (
	sockets    = 8192
	memoryMB   = 64
	drainGrace = 750 * time.Millisecond
)

// Point is one run of a sidecar: what its world is like, and what it cost.
type Point struct {
	Servers   int     `json:"servers"`    // in the list
	Instances int     `json:"instances"`  // in its settings
	Rate      float64 `json:"calls_s"`    // a second, Poisson
	Price     float64 `json:"price"`      // of a probe, as a part of a request's weight
	Clients   int     `json:"clients"`    // connections that have asked once and are idle
	Changes   float64 `json:"changes_s"`  // lines of the list that change, each alone
	Reloads   float64 `json:"reloads_s"`  // SIGHUP with another configuration
	OnRequest bool    `json:"on_request"` // the list is asked for at one service; else of an agent on the own machine
	Unknown   bool    `json:"unknown"`    // the sidecar starts without a list

	Measured Measured `json:"measured"`
}

// Measured is what a point cost. Rates are a second's, over the window.
type Measured struct {
	Seconds            float64 `json:"seconds"`  // of the window
	CPU                float64 `json:"cpu_ms_s"` // ms of the sidecar's processor time a second: 10 = 1% of a core
	RSS                float64 `json:"rss_kb"`   // at the window's end
	Probes             float64 `json:"probes_s"`
	ProbeBytes         float64 `json:"probe_bytes_s"` // both ways, without TCP's, as all bytes here
	Attempts           float64 `json:"attempts_s"`
	AttemptBytes       float64 `json:"attempt_bytes_s"`
	Connects           float64 `json:"connects_s"` // to servers
	Open               int64   `json:"open"`       // connections to servers, at the window's end
	Contacted          int64   `json:"met"`        // servers that ever had one
	Lists              float64 `json:"lists_s"`
	ListBytes          float64 `json:"list_bytes_s"`
	LogBytes           float64 `json:"log_bytes_s"`
	ScrapeBytes        int64   `json:"scrape_bytes"` // of one reading of /metrics
	Changed            float64 `json:"changed_s"`    // changes that were made
	Reloaded           float64 `json:"reloaded_s"`   // reloads that were in force
	ClientsOpen        int     `json:"clients_open"` // of Clients, at the window's end
	Requests           int     `json:"requests"`     // due in the window
	Served             int     `json:"served"`       // of those
	AddedP50           float64 `json:"added_p50_ms"` // what the sidecar and the paths to and from it add to a call, by the clock
	AddedP99           float64 `json:"added_p99_ms"`
	ReadyMs            float64 `json:"ready_ms"` // from the start until ready, by the clock
	StartCPU           float64 `json:"start_cpu_ms"`
	StartLists         int64   `json:"start_lists"` // until ready, as the next
	StartCompleteLists int64   `json:"start_whole_lists"`
	StartBytes         int64   `json:"start_list_bytes"`
	StartProbes        int64   `json:"start_probes"`
	StartConnects      int64   `json:"start_connects"`
	Load               float64 `json:"load1"`    // the machine's load average of the last minute, after it
	StallMs            float64 `json:"stall_ms"` // the longest time in the window by which a timer of the test bench came late
	Tries              int     `json:"tries"`    // runs of the point, of which this was stalled least
}

// Sweep changes one size of a sidecar's world.
type Sweep struct {
	Name   string
	Unit   string // one of the size
	X      func(*Point) float64
	Figure []Figure // that lines are fitted to
	Points []Point
}

// Figure is one that a line is fitted to.
type Figure struct {
	Name string
	Y    func(*Measured) float64
}

// What the sweeps plot.
var (
	cpu        = Figure{"cpu_ms_s", func(m *Measured) float64 { return m.CPU }}
	rss        = Figure{"rss_kb", func(m *Measured) float64 { return m.RSS }}
	probes     = Figure{"probes_s", func(m *Measured) float64 { return m.Probes }}
	probeBytes = Figure{"probe_bytes_s", func(m *Measured) float64 { return m.ProbeBytes }}
	attempts   = Figure{"attempts_s", func(m *Measured) float64 { return m.Attempts }}
	lists      = Figure{"lists_s", func(m *Measured) float64 { return m.Lists }}
	listBytes  = Figure{"list_bytes_s", func(m *Measured) float64 { return m.ListBytes }}
	logBytes   = Figure{"log_bytes_s", func(m *Measured) float64 { return m.LogBytes }}
	connects   = Figure{"connects_s", func(m *Measured) float64 { return m.Connects }}
	open       = Figure{"open", func(m *Measured) float64 { return float64(m.Open) }}
	scrape     = Figure{"scrape_bytes", func(m *Measured) float64 { return float64(m.ScrapeBytes) }}
	startCPU   = Figure{"start_cpu_ms", func(m *Measured) float64 { return m.StartCPU }}
	startBytes = Figure{"start_list_bytes", func(m *Measured) float64 { return float64(m.StartBytes) }}
)

// Plan is what is run.
type Plan struct {
	Settle, Window time.Duration // of each point: before the window, and the window
	MaxRepeats     int           // further runs of a point for which the machine was stalled, at most
	Sweeps         []Sweep
	Module         []Point // of the module alone
	ModuleSeconds  float64 // of its virtual time
}

// The fleet size in a sidecar's settings, and the usual price of a probe and list of the sweeps that change another size.
const (
	fleetSize  = 6000
	usualList  = 600
	usualCalls = 40 // 240,000 calls a second over 6,000 sidecars
	cheap      = 0.0046
	dear       = 0.08
)

// Full returns the plan behind docs/CAPACITY.md: some eight minutes.
func Full() Plan {
	p := plan(2*time.Second, 5*time.Second, []int{13, 600, 2000, 6000}, usualList, 1, 60, []int{60, 200, 600, 2000, 6000})
	p.MaxRepeats = 1
	return p
}

// Quick returns a plan of the same sweeps with few servers and short windows: under a minute, for tests and as a first look. Its
// results are not meant to be quoted.
func Quick() Plan {
	return plan(100*time.Millisecond, 300*time.Millisecond, []int{5, 10, 20, 40}, 20, 0.1, 1, []int{5, 10, 20, 40})
}

// plan builds the sweeps over such lists, and those of the module alone; part shrinks the number of clients.
func plan(settle, window time.Duration, sizes []int, usual int, part, moduleSeconds float64, alone []int) Plan {
	p := Plan{Settle: settle, Window: window, ModuleSeconds: moduleSeconds}
	base := Point{Servers: usual, Instances: fleetSize, Price: cheap}
	p.addServerSweeps(base, sizes)
	p.addRequestSweeps(base)
	p.addClientSweep(base, part)
	p.addChangeSweeps(base, []int{usual, sizes[len(sizes)-1]})
	p.add(Sweep{
		Name: "servers, idle, on request, started without a list", Unit: "server", X: serverCount,
		Figure: []Figure{cpu, rss, lists, listBytes, startCPU, startBytes},
	}, base, len(sizes), func(p *Point, i int) {
		p.Servers = sizes[i]
		p.OnRequest = true
		p.Unknown = true
	})
	for _, n := range alone {
		p.Module = append(p.Module, Point{Servers: n, Instances: fleetSize, Rate: usualCalls, Price: cheap})
	}
	return p
}

// add adds a sweep of n points, each of which set makes of the base.
func (p *Plan) add(s Sweep, base Point, n int, set func(p *Point, i int)) {
	for i := range n {
		point := base
		set(&point, i)
		s.Points = append(s.Points, point)
	}
	p.Sweeps = append(p.Sweeps, s)
}

func serverCount(p *Point) float64 { return float64(p.Servers) }

// addServerSweeps adds those over the number of servers: idle, and at the usual rate with a cheap and a dear probe.
func (p *Plan) addServerSweeps(base Point, sizes []int) {
	p.add(Sweep{
		Name: "servers, idle", Unit: "server", X: serverCount,
		Figure: []Figure{cpu, rss, probes, lists, listBytes, open, scrape, startCPU, startBytes},
	}, base, len(sizes), func(p *Point, i int) { p.Servers = sizes[i] })
	p.add(Sweep{
		Name: "servers, 40 calls/s, price 0.0046", Unit: "server", X: serverCount,
		Figure: []Figure{cpu, rss, probes, probeBytes, open, scrape},
	}, base, len(sizes), func(p *Point, i int) {
		p.Servers = sizes[i]
		p.Rate = usualCalls
	})
	p.add(Sweep{
		Name: "servers, 40 calls/s, price 0.08", Unit: "server", X: serverCount,
		Figure: []Figure{cpu, rss, probes, probeBytes, open},
	}, base, len(sizes), func(p *Point, i int) {
		p.Servers = sizes[i]
		p.Rate = usualCalls
		p.Price = dear
	})
}

// addRequestSweeps adds those over the rate of requests, and one over the price of a probe at the highest rate, at
// which the probes show.
func (p *Plan) addRequestSweeps(base Point) {
	rates := []float64{0, 10, 40, 160}
	for _, price := range []float64{cheap, dear} {
		name := "calls, price 0.0046"
		if price == dear {
			name = "calls, price 0.08"
		}
		p.add(Sweep{
			Name: name, Unit: "call/s", X: func(p *Point) float64 { return p.Rate },
			Figure: []Figure{cpu, rss, probes, probeBytes, attempts, connects, logBytes},
		}, base, len(rates), func(p *Point, i int) {
			p.Rate = rates[i]
			p.Price = price
		})
	}
	prices := []float64{cheap, 0.02, dear, 0.32}
	p.add(Sweep{
		Name: "probes, by price 0.0046 to 0.32, 160 calls/s", Unit: "probe/s", X: func(p *Point) float64 { return p.Measured.Probes },
		Figure: []Figure{cpu, probeBytes},
	}, base, len(prices), func(p *Point, i int) {
		p.Rate = rates[len(rates)-1]
		p.Price = prices[i]
	})
}

// addClientSweep adds the one over clients' idle connections; part shrinks their number.
func (p *Plan) addClientSweep(base Point, part float64) {
	clients := []float64{0, 100, 400, 1600}
	p.add(Sweep{
		Name: "client connections", Unit: "connection", X: func(p *Point) float64 { return float64(p.Measured.ClientsOpen) },
		Figure: []Figure{cpu, rss},
	}, base, len(clients), func(p *Point, i int) { p.Clients = int(part * clients[i]) })
}

// addChangeSweeps adds those over changes of an endpoint list of each size, the usual one first, and of the configuration.
func (p *Plan) addChangeSweeps(base Point, sizes []int) {
	changes := []float64{0, 1, 4, 16}
	for _, size := range sizes {
		name := "changes of the list, usual size"
		if size != base.Servers {
			name = "changes of the list, largest"
		}
		p.add(Sweep{
			Name: name, Unit: "change/s", X: func(p *Point) float64 { return p.Measured.Changed },
			Figure: []Figure{cpu, rss, lists, listBytes, probes, logBytes},
		}, base, len(changes), func(p *Point, i int) {
			p.Servers = size
			p.Changes = changes[i]
		})
	}
	reloads := []float64{0, 1, 4, 16}
	p.add(Sweep{
		Name: "changes of configuration", Unit: "reload/s", X: func(p *Point) float64 { return p.Measured.Reloaded },
		Figure: []Figure{cpu, rss, logBytes},
	}, base, len(reloads), func(p *Point, i int) { p.Reloads = reloads[i] })
}
