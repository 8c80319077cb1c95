package capacity

import "time"

const (
	maxConns   = 8192 // of the sidecar's configuration, as are the next two
	memoryMB   = 64
	drainGrace = 750 * time.Millisecond
)

// Point is one run of a sidecar: its environment, and the measured cost.
type Point struct {
	Servers   int     `json:"servers"`    // in the endpoint list
	Instances int     `json:"instances"`  // number of sidecars in its settings
	Rate      float64 `json:"calls_s"`    // client requests per second, as a Poisson process
	Price     float64 `json:"price"`      // of a probe, as a fraction of a request's weight
	Clients   int     `json:"clients"`    // connections that have sent one request and are idle
	Changes   float64 `json:"changes_s"`  // endpoint changes per second, one at a time
	Reloads   float64 `json:"reloads_s"`  // per second, by SIGHUP with another configuration
	OnRequest bool    `json:"on_request"` // discovery is a central service; otherwise it is an agent on the same machine
	Unknown   bool    `json:"unknown"`    // the sidecar starts without a list

	Measured Measured `json:"measured"`
}

// Measured is the cost of a point. Rates are per second, over the window.
type Measured struct {
	Seconds            float64 `json:"seconds"`  // of the window
	CPU                float64 `json:"cpu_ms_s"` // CPU ms of the sidecar per second: 10 = 1% of a core
	RSS                float64 `json:"rss_kb"`   // at the window's end
	Probes             float64 `json:"probes_s"`
	ProbeBytes         float64 `json:"probe_bytes_s"` // in both directions, without TCP, as are all bytes here
	Attempts           float64 `json:"attempts_s"`
	AttemptBytes       float64 `json:"attempt_bytes_s"`
	Connects           float64 `json:"connects_s"` // to servers
	Open               int64   `json:"open"`       // connections to servers, at the window's end
	Contacted          int64   `json:"met"`        // servers that ever had one
	Lists              float64 `json:"lists_s"`    // calls to discovery
	ListBytes          float64 `json:"list_bytes_s"`
	LogBytes           float64 `json:"log_bytes_s"`
	ScrapeBytes        int64   `json:"scrape_bytes"` // of one request of /metrics
	Changed            float64 `json:"changed_s"`    // endpoint changes
	Reloaded           float64 `json:"reloaded_s"`   // successful reloads
	ClientsOpen        int     `json:"clients_open"` // connections of Clients that are open at the window's end
	Requests           int     `json:"requests"`     // due in the window
	Served             int     `json:"served"`       // of Requests
	AddedP50           float64 `json:"added_p50_ms"` // latency that the sidecar and its connections add, by wall clock
	AddedP99           float64 `json:"added_p99_ms"`
	ReadyMs            float64 `json:"ready_ms"` // from the start until ready, by wall clock
	StartCPU           float64 `json:"start_cpu_ms"`
	StartLists         int64   `json:"start_lists"`       // calls to discovery; until ready, as are the next four
	StartCompleteLists int64   `json:"start_whole_lists"` // of StartLists, those that request the complete list
	StartBytes         int64   `json:"start_list_bytes"`
	StartProbes        int64   `json:"start_probes"`
	StartConnects      int64   `json:"start_connects"`
	Load               float64 `json:"load1"`    // load average of the machine over 1 minute, after the run
	StallMs            float64 `json:"stall_ms"` // longest delay of a timer of the test bench in the window
	Runs               int     `json:"tries"`    // of the point, of which this had the shortest stall
}

// Sweep varies one size of a sidecar's environment.
type Sweep struct {
	Name    string
	Unit    string               // of the size
	X       func(*Point) float64 // returns the size
	Metrics []Metric             // that lines are fitted to
	Points  []Point
}

// Metric is a measured value to which a line is fitted.
type Metric struct {
	Name string
	Y    func(*Measured) float64
}

// The metrics of the sweeps.
var (
	cpu        = Metric{"cpu_ms_s", func(m *Measured) float64 { return m.CPU }}
	rss        = Metric{"rss_kb", func(m *Measured) float64 { return m.RSS }}
	probes     = Metric{"probes_s", func(m *Measured) float64 { return m.Probes }}
	probeBytes = Metric{"probe_bytes_s", func(m *Measured) float64 { return m.ProbeBytes }}
	attempts   = Metric{"attempts_s", func(m *Measured) float64 { return m.Attempts }}
	lists      = Metric{"lists_s", func(m *Measured) float64 { return m.Lists }}
	listBytes  = Metric{"list_bytes_s", func(m *Measured) float64 { return m.ListBytes }}
	logBytes   = Metric{"log_bytes_s", func(m *Measured) float64 { return m.LogBytes }}
	connects   = Metric{"connects_s", func(m *Measured) float64 { return m.Connects }}
	open       = Metric{"open", func(m *Measured) float64 { return float64(m.Open) }}
	scrape     = Metric{"scrape_bytes", func(m *Measured) float64 { return float64(m.ScrapeBytes) }}
	startCPU   = Metric{"start_cpu_ms", func(m *Measured) float64 { return m.StartCPU }}
	startBytes = Metric{"start_list_bytes", func(m *Measured) float64 { return float64(m.StartBytes) }}
)

// Plan describes the points of a run.
type Plan struct {
	Settle, Window time.Duration // duration of each point before the window, and of the window
	MaxRepeats     int           // limit on further runs of a point during which the machine was stalled
	Sweeps         []Sweep
	Module         []Point // points for the policy alone
	ModuleSeconds  float64 // duration of each of them in virtual time
}

// The number of sidecars in the settings, and the usual number of servers, request rate and probe prices, which apply in sweeps
// that vary another size.
const (
	fleetSize      = 6000
	usualServers   = 600
	usualRate      = 40 // requests per second; 240,000 over 6,000 sidecars
	lowProbePrice  = 0.0046
	highProbePrice = 0.08
)

// Full returns the plan behind docs/CAPACITY.md, which takes about eight minutes.
func Full() Plan {
	p := newPlan(2*time.Second, 5*time.Second, []int{13, 600, 2000, 6000}, usualServers, 1, 60, []int{60, 200, 600, 2000, 6000})
	p.MaxRepeats = 1
	return p
}

// Quick returns a plan of the same sweeps with few servers and short windows, for tests and a first impression. It takes less
// than a minute; its results are too noisy to be published.
func Quick() Plan {
	return newPlan(100*time.Millisecond, 300*time.Millisecond, []int{5, 10, 20, 40}, 20, 0.1, 1, []int{5, 10, 20, 40})
}

// newPlan returns a plan with sweeps over sizes of the endpoint list, of which usual is the usual one, and with the policy alone
// over the sizes in module. clientFraction scales the numbers of clients.
func newPlan(settle, window time.Duration, sizes []int, usual int, clientFraction, moduleSeconds float64, module []int) Plan {
	p := Plan{Settle: settle, Window: window, ModuleSeconds: moduleSeconds}
	base := Point{Servers: usual, Instances: fleetSize, Price: lowProbePrice}
	p.addServerSweeps(base, sizes)
	p.addRequestSweeps(base)
	p.addClientSweep(base, clientFraction)
	p.addChangeSweeps(base, []int{usual, sizes[len(sizes)-1]})
	p.add(Sweep{
		Name: "servers, idle, on request, started without a list", Unit: "server", X: serverCount,
		Metrics: []Metric{cpu, rss, lists, listBytes, startCPU, startBytes},
	}, base, len(sizes), func(p *Point, i int) {
		p.Servers = sizes[i]
		p.OnRequest = true
		p.Unknown = true
	})
	for _, n := range module {
		p.Module = append(p.Module, Point{Servers: n, Instances: fleetSize, Rate: usualRate, Price: lowProbePrice})
	}
	return p
}

// add adds a sweep of n points. Each is a copy of base, to which set applies the i-th size.
func (p *Plan) add(s Sweep, base Point, n int, set func(p *Point, i int)) {
	for i := range n {
		point := base
		set(&point, i)
		s.Points = append(s.Points, point)
	}
	p.Sweeps = append(p.Sweeps, s)
}

func serverCount(p *Point) float64 { return float64(p.Servers) }

// addServerSweeps adds the sweeps over the number of servers: idle, and at the usual rate with a low and a high probe price.
func (p *Plan) addServerSweeps(base Point, sizes []int) {
	p.add(Sweep{
		Name: "servers, idle", Unit: "server", X: serverCount,
		Metrics: []Metric{cpu, rss, probes, lists, listBytes, open, scrape, startCPU, startBytes},
	}, base, len(sizes), func(p *Point, i int) { p.Servers = sizes[i] })
	p.add(Sweep{
		Name: "servers, 40 calls/s, price 0.0046", Unit: "server", X: serverCount,
		Metrics: []Metric{cpu, rss, probes, probeBytes, open, scrape},
	}, base, len(sizes), func(p *Point, i int) {
		p.Servers = sizes[i]
		p.Rate = usualRate
	})
	p.add(Sweep{
		Name: "servers, 40 calls/s, price 0.08", Unit: "server", X: serverCount,
		Metrics: []Metric{cpu, rss, probes, probeBytes, open},
	}, base, len(sizes), func(p *Point, i int) {
		p.Servers = sizes[i]
		p.Rate = usualRate
		p.Price = highProbePrice
	})
}

// addRequestSweeps adds the sweeps over the request rate, and one over the probe price at the highest rate, at which the cost of
// probes is measurable.
func (p *Plan) addRequestSweeps(base Point) {
	rates := []float64{0, 10, 40, 160}
	for _, price := range []float64{lowProbePrice, highProbePrice} {
		name := "calls, price 0.0046"
		if price == highProbePrice {
			name = "calls, price 0.08"
		}
		p.add(Sweep{
			Name: name, Unit: "call/s", X: func(p *Point) float64 { return p.Rate },
			Metrics: []Metric{cpu, rss, probes, probeBytes, attempts, connects, logBytes},
		}, base, len(rates), func(p *Point, i int) {
			p.Rate = rates[i]
			p.Price = price
		})
	}
	prices := []float64{lowProbePrice, 0.02, highProbePrice, 0.32}
	p.add(Sweep{
		Name: "probes, by price 0.0046 to 0.32, 160 calls/s", Unit: "probe/s", X: func(p *Point) float64 { return p.Measured.Probes },
		Metrics: []Metric{cpu, probeBytes},
	}, base, len(prices), func(p *Point, i int) {
		p.Rate = rates[len(rates)-1]
		p.Price = prices[i]
	})
}

// addClientSweep adds the sweep over idle client connections, whose numbers are scaled by fraction.
func (p *Plan) addClientSweep(base Point, fraction float64) {
	clients := []float64{0, 100, 400, 1600}
	p.add(Sweep{
		Name: "client connections", Unit: "connection", X: func(p *Point) float64 { return float64(p.Measured.ClientsOpen) },
		Metrics: []Metric{cpu, rss},
	}, base, len(clients), func(p *Point, i int) { p.Clients = int(fraction * clients[i]) })
}

// addChangeSweeps adds the sweeps over the rate of endpoint changes, for lists of each size, and over the rate of reloads.
func (p *Plan) addChangeSweeps(base Point, sizes []int) {
	changes := []float64{0, 1, 4, 16}
	for _, size := range sizes {
		name := "changes of the list, usual size"
		if size != base.Servers {
			name = "changes of the list, largest"
		}
		p.add(Sweep{
			Name: name, Unit: "change/s", X: func(p *Point) float64 { return p.Measured.Changed },
			Metrics: []Metric{cpu, rss, lists, listBytes, probes, logBytes},
		}, base, len(changes), func(p *Point, i int) {
			p.Servers = size
			p.Changes = changes[i]
		})
	}
	reloads := []float64{0, 1, 4, 16}
	p.add(Sweep{
		Name: "changes of configuration", Unit: "reload/s", X: func(p *Point) float64 { return p.Measured.Reloaded },
		Metrics: []Metric{cpu, rss, logBytes},
	}, base, len(reloads), func(p *Point, i int) { p.Reloads = reloads[i] })
}
