package emulator

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"
)

// Report is the result of a run. Fractions lie between 0 and 1; a fraction of nothing is 1.
type Report struct {
	Policy   string   `json:"policy"`
	Seed     uint64   `json:"seed"`
	Sidecars int      `json:"sidecars"`
	Servers  int      `json:"servers"`
	Rate     float64  `json:"rate"`
	Seconds  float64  `json:"seconds"`
	Faults   []string `json:"troubles"`

	Requests      int            `json:"requests"` // client requests, without retries
	InObjective   int            `json:"in_aim"`
	Late          int            `json:"late"`         // served within the deadline, but after the latency objective
	Service       float64        `json:"service"`      // fraction of the requests that were served in time, by weight
	WorstWindow   float64        `json:"worst_window"` // lowest service of any 10 s, or of the whole run if that is shorter
	WorstWindowAt float64        `json:"worst_window_at_s"`
	Classes       []NamedService `json:"classes"`
	Tenants       []NamedService `json:"tenants"` // service of each tenant, of the requests within its quota
	WorstClass    float64        `json:"worst_class"`
	WorstTenant   float64        `json:"worst_tenant"`
	MeanMs        float64        `json:"mean_ms"` // mean latency of served requests, from the first client attempt's intended start
	WaitMs        float64        `json:"wait_ms"` // mean wait of an attempt for a slot

	Waste         float64 `json:"waste"`    // work that did not lead to a served request, as a fraction of the work requested
	Attempts      float64 `json:"attempts"` // attempts at servers per request; the next three fields are per request, too
	Probes        float64 `json:"probes"`
	CrossZone     float64 `json:"crossings"` // attempts in another zone
	Handshakes    float64 `json:"handshakes"`
	ProbesEach    float64 `json:"probes_each"`  // probes per server and second
	MaxProbes     float64 `json:"probes_most"`  // probes per second of the server that received the most
	ConnsMean     float64 `json:"conns_mean"`   // mean number of open connections per server
	MaxConns      int     `json:"conns_most"`   // largest number of open connections of any server at any time
	Rejected      int     `json:"turned_away"`  // attempts rejected by full or draining servers
	Jams          int     `json:"jams"`         // number of times that a server jammed
	ColdOverloads int     `json:"falls"`        // servers whose process was ended by overload in slow start
	ClientsLeft   int     `json:"clients_left"` // client attempts abandoned before their timeout
	Lost          int     `json:"lost"`         // client attempts in flight at a sidecar that was killed
	Events        uint64  `json:"events"`       // events processed by the emulator

	Broken   map[Rule]int `json:"broken"`
	Breaches []Breach     `json:"breaches"` // the first 20 of each rule
	Timeline []string     `json:"timeline"`
	Rows     []Row        `json:"-"`

	InPolicy time.Duration `json:"-"` // time spent in policies, measured with Options.Clock; it depends on the machine
}

// NamedService is the service of a class or a tenant.
type NamedService struct {
	Name    string  `json:"name"`
	Service float64 `json:"service"`
}

// Row is one second of a run.
type Row struct {
	Second      int
	Requests    int // client requests, without retries
	InObjective int
	Late        int
	Rejected    int // rejections by sidecars; Failed: their final responses for failed requests
	Failed      int
	Attempts    int
	Probes      int
	InFlight    int // requests in flight at all servers; this and the next four fields: at the end of the second
	MaxInFlight int // largest number of requests in flight at any server
	Conns       int
	Jammed      int // number of jammed servers
	Silent      int // number of unreachable servers
	Service     float64
	InTime      float64 // fraction of the requests of that second that were served within the latency objective

	Tries    int // client attempts, including the first ones
	TimedOut int // attempts at servers that timed out
}

// row appends the Row of the current second and starts the next second.
func (j *judge) row() {
	r := j.tally
	r.Second = len(j.rows)
	for _, m := range j.world.machines {
		inFlight := m.inFlight()
		r.InFlight += inFlight
		r.MaxInFlight = max(r.MaxInFlight, inFlight)
		r.Conns += len(m.conns)
		if m.jammed {
			r.Jammed++
		}
		if m.phase == silent {
			r.Silent++
		}
	}
	j.rows = append(j.rows, r)
	j.tally = Row{}
}

const window = 10 // seconds over which Report.WorstWindow is computed

// worstWindow returns the lowest service of any window, and the second at which that window begins.
func (j *judge) worstWindow() (lowest float64, at int) {
	seconds := j.seconds
	lowest = 2
	for from := 0; from == 0 || from+window <= len(seconds); from++ {
		sum := servedFraction{}
		for _, s := range seconds[from:min(len(seconds), from+window)] {
			sum.requested, sum.served = sum.requested+s.requested, sum.served+s.served
		}
		if s := sum.ratio(); s < lowest {
			lowest, at = s, from
		}
	}
	return lowest, at
}

func (w *world) report() *Report {
	j, c := w.judge, &w.cfg
	r := &Report{
		Policy: c.Policy, Seed: c.Seed, Sidecars: c.Sidecars, Servers: c.Servers, Rate: c.Rate,
		Seconds: c.Seconds, Requests: j.requestCount, InObjective: j.inObjective, Late: j.late, Service: j.all.ratio(), WorstClass: 1,
		WorstTenant: 1, Rejected: j.rejected, Jams: j.jams, ColdOverloads: j.coldOverloads, ClientsLeft: j.clientsLeft, Lost: j.lost,
		Events: w.processed, Broken: j.broken, Breaches: j.breaches, Timeline: j.timeline, Rows: j.rows,
		InPolicy: w.inPolicy,
	}
	for _, f := range c.Faults {
		r.Faults = append(r.Faults, f.String())
	}
	worstWindow, worstWindowAt := j.worstWindow()
	r.WorstWindow = worstWindow
	r.WorstWindowAt = float64(worstWindowAt)
	for i, p := range j.classes {
		r.Classes = append(r.Classes, NamedService{c.Classes[i].Name, p.ratio()})
		r.WorstClass = min(r.WorstClass, p.ratio())
	}
	for i, p := range j.tenants {
		r.Tenants = append(r.Tenants, NamedService{c.Tenants[i].Name, p.ratio()})
		r.WorstTenant = min(r.WorstTenant, p.ratio())
	}
	requests := max(1, float64(j.requestCount))
	r.MeanMs = j.latencySum / max(1, float64(j.servedCount))
	r.WaitMs = j.waitSum / max(1, float64(j.startedJobs))
	if j.workRequested > 0 {
		r.Waste = max(0, j.workDone-j.workUsed) / j.workRequested
	}
	r.Attempts, r.Probes = float64(j.attempts)/requests, float64(j.probes)/requests
	r.CrossZone, r.Handshakes = float64(j.crossZone)/requests, float64(j.handshakes)/requests
	samples := 0
	for _, m := range w.machines {
		r.MaxProbes = max(r.MaxProbes, float64(m.probes)/c.Seconds)
		r.ProbesEach += float64(m.probes) / c.Seconds / float64(c.Servers)
		r.ConnsMean += m.sumConns
		samples += m.connSamples
		r.MaxConns = max(r.MaxConns, m.maxConns)
	}
	r.ConnsMean /= max(1, float64(samples))
	for i := range r.Rows {
		if i < len(j.seconds) {
			r.Rows[i].Service, r.Rows[i].InTime = j.seconds[i].ratio(), j.inTime[i].ratio()
		}
	}
	return r
}

// Ok reports whether no rule was broken.
func (r *Report) Ok() bool { return len(r.Breaches) == 0 }

// Write writes the report as text.
func (r *Report) Write(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	line := func(name, format string, args ...any) {
		fmt.Fprintf(t, "%s\t"+format+"\n", append([]any{name}, args...)...)
	}
	line("day", "%s, seed %d, %d sidecars, %d servers, %g requests/s for %g s", r.Policy, r.Seed, r.Sidecars, r.Servers,
		r.Rate, r.Seconds)
	for _, s := range r.Faults {
		line("trouble", "%s", s)
	}
	line("requests", "%d, served within the latency objective %d, later %d", r.Requests, r.InObjective, r.Late)
	line("service", "%.4f; worst 10 s %.4f (from %.0f s), worst class %.4f, worst tenant %.4f", r.Service,
		r.WorstWindow, r.WorstWindowAt, r.WorstClass, r.WorstTenant)
	for _, s := range r.Classes {
		line("class "+s.Name, "%.4f", s.Service)
	}
	for _, s := range r.Tenants {
		line("tenant "+s.Name, "%.4f", s.Service)
	}
	line("mean latency", "%.1f ms, of which %.1f ms waiting for a slot", r.MeanMs, r.WaitMs)
	line("work wasted", "%.4f of the work requested", r.Waste)
	line("for each request", "%.3f attempts (%.3f in another zone), %.3f probes, %.4f handshakes", r.Attempts,
		r.CrossZone, r.Probes, r.Handshakes)
	line("probes a second", "%.1f for each server, %.1f for the one with most", r.ProbesEach, r.MaxProbes)
	line("connections", "%.1f for each server, %d at most", r.ConnsMean, r.MaxConns)
	line("servers", "attempts rejected %d, jams %d, overloads in slow start %d", r.Rejected, r.Jams, r.ColdOverloads)
	line("clients", "attempts abandoned early %d, lost with a sidecar %d", r.ClientsLeft, r.Lost)
	if err := t.Flush(); err != nil {
		return err
	}
	for _, s := range r.Timeline {
		fmt.Fprintln(out, s)
	}
	for _, rule := range []Rule{OneResponse, NoRerun, OneAttempt, Drained, ColdServer} {
		if n := r.Broken[rule]; n > 0 {
			fmt.Fprintf(out, "BROKEN: %d times: %s\n", n, rule)
		}
	}
	for _, b := range r.Breaches {
		fmt.Fprintf(out, "BROKEN: %.4f s, sidecar %d, request %d, server %d: %s (%s)\n", b.At, b.Sidecar, b.Request,
			b.Server, b.What, b.Rule)
		for _, s := range b.Steps {
			fmt.Fprintln(out, "   ", s)
		}
	}
	_, err := fmt.Fprintf(out, "rules  %s\n", map[bool]string{true: "kept", false: "broken"}[r.Ok()])
	return err
}

// WriteJSON writes the report as JSON, without the rows.
func (r *Report) WriteJSON(out io.Writer) error { return writeJSON(out, r) }

func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// WriteRows writes the rows of the report as CSV.
func (r *Report) WriteRows(out io.Writer) error {
	c := csv.NewWriter(out)
	_ = c.Write([]string{
		"second", "asked", "in_aim", "late", "refused", "failed", "sent", "probes", "held", "held_most",
		"connections", "jammed", "silent", "service", "in_time", "tries", "timed_out",
	})
	for _, w := range r.Rows {
		var cells []string
		for _, n := range []int{
			w.Second, w.Requests, w.InObjective, w.Late, w.Rejected, w.Failed, w.Attempts, w.Probes, w.InFlight,
			w.MaxInFlight, w.Conns, w.Jammed, w.Silent,
		} {
			cells = append(cells, strconv.Itoa(n))
		}
		_ = c.Write(append(cells, strconv.FormatFloat(w.Service, 'f', 4, 64), strconv.FormatFloat(w.InTime, 'f', 4, 64),
			strconv.Itoa(w.Tries), strconv.Itoa(w.TimedOut)))
	}
	c.Flush()
	return c.Error()
}
