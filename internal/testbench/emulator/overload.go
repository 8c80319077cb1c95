package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
)

// Overload is one run of the overload scale test, in which a varying number of sidecars share the same servers and the same
// traffic. docs/operate/emulator.md describes the test.
type Overload struct {
	Sidecars         int     `json:"sidecars"`
	Servers          int     `json:"servers"`
	Load             float64 `json:"load"`    // client requests per second as a fraction of those the servers can process
	Reports          string  `json:"reports"` // one of OverloadReports
	Event            string  `json:"event"`   // one of OverloadEvents
	Seed             uint64  `json:"seed"`    // seed of the run
	Policy           string  `json:"policy"`
	PriorityFraction float64 `json:"worthy"`    // fraction of the client requests with five times the priority weight
	ZoneSkew         float64 `json:"zone_skew"` // see Config.ZoneSkew
	Drawn            bool    `json:"drawn"`     // settings of servers and clients are drawn from the seed, around their defaults
	Free             bool    `json:"free"`      // probes and connections cost the servers nothing
}

// OverloadEvents returns the names of the events of the scale test: none; three times the traffic for 2 s (burst); 1.5 times the
// traffic for 5 s (swell); one of five zones unreachable for 5 s (zone).
func OverloadEvents() []string { return []string{"none", "burst", "swell", "zone"} }

// OverloadReports returns the names of what probes report: nothing (none); nothing, but the probe shares the cores with the
// running requests (queued); RIF and latency (full).
func OverloadReports() []string { return []string{"none", "queued", "full"} }

const (
	overloadSeconds         = 30.0 // length of a run in s
	overloadBeforeStart     = 4.0  // s at which OverloadResult.Before starts
	overloadEventStart      = 10.0 // s at which the event starts and Before ends, also without an event
	overloadRecoverySeconds = 5.0  // s after the event's end at which OverloadResult.After starts
	overloadAverageSeconds  = 2    // s over which the served share is averaged to find its recovery
	overloadStream          = 2000 // index of the random stream from which Overload.Drawn draws
	overloadRecoveredMargin = 0.05 // the share has recovered when it is at most this much below the share before the event
	overloadUsableCapacity  = 0.88 // fraction of the cores' capacity above which even the oracle jams servers or rejects requests
)

// overloadEvent returns the faults of an event and its duration in s.
func overloadEvent(name string) (faults []Fault, duration float64, err error) {
	switch name {
	case "none":
		return nil, 0, nil
	case "burst":
		return []Fault{{Name: "surge", At: overloadEventStart, For: 2, Size: 3}}, 2, nil
	case "swell":
		return []Fault{{Name: "surge", At: overloadEventStart, For: 5, Size: 1.5}}, 5, nil
	case "zone":
		return []Fault{{Name: "silence", At: overloadEventStart, For: 5, Zone: 1}}, 5, nil
	}
	return nil, 0, fmt.Errorf("event: unknown event %q; want one of %v", name, OverloadEvents())
}

// Config returns the configuration of the run. Its servers have two cores, queue hundreds of requests and jam when too many are
// in flight. Its requests are non-idempotent and spend half of their time waiting for other services. Its clients retry after a
// rejection.
func (o Overload) Config() (Config, error) {
	c := Default(o.Sidecars, o.Servers)
	c.Seconds, c.Seed, c.Policy, c.ZoneSkew = overloadSeconds, o.Seed, o.Policy, o.ZoneSkew
	c.Kinds = []Kind{
		{Fraction: 0.44, Cores: 2, Speed: [2]float64{1.5, 2.1}},
		{Fraction: 0.56, Cores: 2, Speed: [2]float64{0.77, 1}},
	}
	work, wait, spread, noise := 139.0, 139.0, 0.5, 0.45
	jamAt, jamSlow, slots, backoff, retries := 5.5, 2.9, 19, 100.0, 3 // jamAt: requests in flight per core
	if o.Drawn {
		rng := c.stream(overloadStream)
		work, wait = uniform(rng, [2]float64{97, 180}), uniform(rng, [2]float64{98, 180})
		spread, noise = uniform(rng, [2]float64{0.25, 0.8}), uniform(rng, [2]float64{0.31, 0.59})
		jamAt, jamSlow = uniform(rng, [2]float64{4, 7}), uniform(rng, [2]float64{2.5, 3.3})
		slots, retries = 12+rng.IntN(15), 2+rng.IntN(2)
		backoff = float64(rng.IntN(2)) * uniform(rng, [2]float64{50, 400})
	}
	maxRate := c.capacity() / work * 1000 // requests per second that the cores can process
	c.Rate = o.Load * overloadUsableCapacity * maxRate
	c.Classes = []Class{{
		Name: "hold", Fraction: 1, WorkMs: work, WaitMs: wait, Spread: spread, Noise: noise, LatencyObjectiveMs: 1000,
		DeadlineMs: 5000, PriorityWeight: 1, NonIdempotent: true,
	}}
	if o.PriorityFraction > 0 {
		priority := c.Classes[0]
		priority.Name, priority.Fraction, priority.PriorityWeight = "order", o.PriorityFraction, 5
		c.Classes[0].Fraction -= o.PriorityFraction
		c.Classes = append(c.Classes, priority)
	}
	c.Tenants = nil
	for i, fraction := range []float64{0.24, 0.22, 0.22, 0.1, 0.08, 0.05, 0.05, 0.04} {
		c.Tenants = append(c.Tenants, Tenant{Name: fmt.Sprint("tenant-", i+1), Fraction: fraction, Quota: 0.785 * maxRate * fraction})
	}
	s := &c.Server
	s.Slots, s.QueueCapacity, s.OverloadLoss = slots, 1000, 0
	s.JamWaiting, s.JamAfter, s.JamSlow = jamAt-1, 2000, jamSlow
	s.JamIdle, s.JamClears, s.MaxJam = jamAt/3, 3500, 25000
	s.Connections, s.TableLoss, s.Handshake, s.ProbeWork = 3600, 0.09, 2, 1
	if o.Free {
		s.TableLoss, s.Handshake, s.ProbeWork = 0, 0, 0
	}
	s.NoReport, s.ProbesQueue, s.ReportEvery, s.ReportNoise = o.Reports != "full", o.Reports == "queued", 100, 0.09
	c.Network = Network{Near: 0.2, Far: [2]float64{1.4, 2.6}, Jitter: 0.1, ConnectTimeout: 250}
	c.Clients = Clients{Retries: retries, Wait: backoff, Timeout: [2]float64{0.3, 0.55}, Impatient: 0.005}
	r := &c.Rules
	r.DrainGrace, r.StartCapacity, r.WarmUpTime, r.OverloadMultiple, r.OverloadWindow = 1000, 0.32, 8200, 3, 2000
	r.MaxAttempts, r.OverQuotaWeight, r.CrossZoneCost, r.WastedWorkCost, r.ProbeCost = 6, 0.1, 0.01, 0.05, 0.01
	var err error
	if c.Faults, _, err = overloadEvent(o.Event); err != nil {
		return c, err
	}
	if !slices.Contains(OverloadReports(), o.Reports) {
		return c, fmt.Errorf("reports: unknown value %q; want one of %v", o.Reports, OverloadReports())
	}
	return c, c.Check()
}

// OverloadResult is the result of a run. A share is the fraction of the client requests that were served within the latency
// objective.
type OverloadResult struct {
	Overload
	Share           float64 `json:"share"`   // share of the whole run
	WeightedShare   float64 `json:"worth"`   // Share by priority weight; requests above a tenant's quota count a tenth
	BestClass       float64 `json:"best"`    // WeightedShare of the class with the highest priority weight
	Before          float64 `json:"before"`  // share from 4 s to the event's start
	During          float64 `json:"during"`  // share from the event's start to 5 s after its end
	After           float64 `json:"after"`   // share from 5 s after the event's end on
	RecoverySeconds float64 `json:"back_s"`  // s after the event's end until the share stays within 0.05 of Before; -1 = never
	Rejected        float64 `json:"refused"` // rejections by sidecars per client request
	Failed          float64 `json:"failed"`
	Tries           float64 `json:"tries"` // client attempts per client request; the next four fields are per client request, too
	Attempts        float64 `json:"attempts"`
	TimedOut        float64 `json:"timed_out"` // attempts at servers that timed out
	Probes          float64 `json:"probes"`
	Handshakes      float64 `json:"handshakes"`
	Conns           float64 `json:"connections"` // mean number of open connections per server
	Jammed          float64 `json:"choked"`      // mean fraction of the servers that are jammed from the event's start on
	Waste           float64 `json:"waste"`
	Broken          int     `json:"broken"` // number of violations of rules
	Rows            []Row   `json:"rows"`
	Report          *Report `json:"-"`
}

// Play simulates the run and returns its result.
func (o Overload) Play(ctx context.Context) (*OverloadResult, error) {
	cfg, err := o.Config()
	if err != nil {
		return nil, err
	}
	report, err := Run(ctx, cfg, Options{})
	if err != nil {
		return nil, err
	}
	r := &OverloadResult{
		Overload: o, WeightedShare: report.Service,
		BestClass: report.Classes[len(report.Classes)-1].Service, Attempts: report.Attempts, Probes: report.Probes,
		Handshakes: report.Handshakes, Conns: report.ConnsMean, Waste: report.Waste, Rows: report.Rows, Report: report,
	}
	requests := math.Max(1, float64(report.Requests))
	r.Share = float64(report.InObjective) / requests
	eventEnd := o.eventEnd()
	r.Before = inTime(report.Rows, overloadBeforeStart, overloadEventStart)
	r.During = inTime(report.Rows, overloadEventStart, eventEnd+overloadRecoverySeconds)
	r.After = inTime(report.Rows, eventEnd+overloadRecoverySeconds, overloadSeconds)
	r.RecoverySeconds = secondsUntilRecovered(report.Rows, int(eventEnd), r.Before-overloadRecoveredMargin)
	for i, row := range report.Rows {
		r.Rejected += float64(row.Rejected) / requests
		r.Failed += float64(row.Failed) / requests
		r.Tries += float64(row.Tries) / requests
		r.TimedOut += float64(row.TimedOut) / requests
		if i >= overloadEventStart && i < overloadSeconds {
			r.Jammed += float64(row.Jammed) / float64(o.Servers) / (overloadSeconds - overloadEventStart)
		}
	}
	for _, n := range report.Broken {
		r.Broken += n
	}
	return r, nil
}

// eventEnd returns the second at which the event ends.
func (o Overload) eventEnd() float64 {
	_, duration, _ := overloadEvent(o.Event)
	return overloadEventStart + duration
}

// inTime returns the fraction of the client requests that were served within the latency objective, of those that arrived in
// the seconds [from, to).
func inTime(rows []Row, from, to float64) float64 {
	p := servedFraction{}
	for _, r := range rows[min(len(rows), int(from)):min(len(rows), int(to))] {
		p.requested, p.served = p.requested+float64(r.Requests), p.served+r.InTime*float64(r.Requests)
	}
	return p.ratio()
}

// secondsUntilRecovered returns how many seconds after second from the averaged share reaches want and stays there, or -1 if it
// doesn't.
func secondsUntilRecovered(rows []Row, from int, want float64) float64 {
	last := int(overloadSeconds) - overloadAverageSeconds
	for at := last; at >= from; at-- {
		if inTime(rows, float64(at), float64(at+overloadAverageSeconds)) >= want {
			continue
		}
		if at == last {
			return -1
		}
		return float64(at + 1 - from)
	}
	return 0
}

// PlayOverloads simulates runs in up to workers goroutines and returns their results in the same order. done, if not nil, is
// called with each result as soon as its run ends, but never concurrently.
func PlayOverloads(ctx context.Context, runs []Overload, workers int, done func(*OverloadResult)) ([]*OverloadResult,
	error,
) {
	if len(runs) == 0 {
		return nil, errors.New("overload: no runs")
	}
	results := make([]*OverloadResult, len(runs))
	finished := make(chan *OverloadResult)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, workers))
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		for r := range finished {
			if done != nil {
				done(r)
			}
		}
	}()
	for i, o := range runs {
		g.Go(func() (err error) {
			if results[i], err = o.Play(ctx); err == nil {
				finished <- results[i]
			}
			return err
		})
	}
	err := g.Wait()
	close(finished)
	<-reported
	if err != nil {
		return nil, err
	}
	return results, nil
}

// WriteOverloads writes a table with a line for each run, and one of means over the seeds with a column for each number of
// sidecars. With bySecond it also writes a line for each second of each run.
func WriteOverloads(out io.Writer, results []*OverloadResult, bySecond bool) error {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "event\treports\tload\tseed\tsidecars\tshare\tworth\tbest class\tbefore\tduring\tafter\tback s\trefused\tfailed\t"+
		"tries\tattempts\ttimed out\tchoked\twaste\tprobes\thandshakes\tconns\tbroken\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%g\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.2f\t"+
			"%.2f\t%.2f\t%.2f\t%.0f\t%d\t\n", r.Event, r.Reports, r.Load, r.Seed, r.Sidecars, r.Share, r.WeightedShare, r.BestClass, r.Before,
			r.During, r.After, r.RecoverySeconds, r.Rejected, r.Failed, r.Tries, r.Attempts, r.TimedOut, r.Jammed, r.Waste, r.Probes,
			r.Handshakes, r.Conns, r.Broken)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	writeMeans(out, t, results)
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range results {
		if !bySecond {
			break
		}
		fmt.Fprintf(out, "\n%s, reports %s, load %g, seed %d, %d sidecars, by second of the client request (share) or of the event:\n",
			r.Event, r.Reports, r.Load, r.Seed, r.Sidecars)
		fmt.Fprintln(t, "second\tasked\tshare\ttries\tattempts\trefused\tfailed\ttimed out\theld/server\tmost\tchoked\tprobes\tconns\t")
		for _, w := range r.Rows {
			fmt.Fprintf(t, "%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t\n", w.Second, w.Requests, w.InTime, w.Tries,
				w.Attempts, w.Rejected, w.Failed, w.TimedOut, float64(w.InFlight)/float64(r.Servers), w.MaxInFlight, w.Jammed, w.Probes,
				w.Conns)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// writeMeans writes a table by number of sidecars. It has the mean share after the event over the seeds and, in brackets, the
// mean share of the whole run. The number of runs that recovered in time and the number of all runs follow.
func writeMeans(out io.Writer, t *tabwriter.Writer, results []*OverloadResult) {
	sizes, rows := sizesAndRows(results)
	fmt.Fprintln(out, "\nmeans over the seeds: share after the event (of the whole run), runs recovered to the best share "+
		"before it within 5 s of its end")
	fmt.Fprint(t, "event\treports\tload\t")
	for _, n := range sizes {
		fmt.Fprintf(t, "%d sidecars\t", n)
	}
	fmt.Fprintln(t, "most - least\t")
	for _, row := range rows {
		fmt.Fprintf(t, "%s\t%s\t%g\t", row.Event, row.Reports, row.Load)
		lowest, highest := math.Inf(1), math.Inf(-1)
		target := bestBefore(results, row, sizes) - overloadRecoveredMargin
		for _, n := range sizes {
			after := writeMean(t, results, row, n, target)
			lowest = min(lowest, after)
			highest = max(highest, after)
		}
		fmt.Fprintf(t, "%.3f\t\n", highest-lowest)
	}
}

// sizesAndRows returns the sorted numbers of sidecars, and the distinct other settings in the order of the runs.
func sizesAndRows(results []*OverloadResult) (sizes []int, rows []Overload) {
	for _, r := range results {
		sizes = append(sizes, r.Sidecars)
		if row := r.row(); !slices.Contains(rows, row) {
			rows = append(rows, row)
		}
	}
	slices.Sort(sizes)
	return slices.Compact(sizes), rows
}

// bestBefore returns the highest mean share before the event among the given numbers of sidecars. It is the reference for the
// recovery at all these numbers, so that a number of sidecars with a low share throughout the run does not count as recovered.
func bestBefore(results []*OverloadResult, row Overload, sizes []int) (best float64) {
	for _, n := range sizes {
		var before, runs float64
		for _, r := range results {
			if r.Sidecars == n && r.row() == row {
				before += r.Before
				runs++
			}
		}
		best = max(best, before/max(1, runs))
	}
	return best
}

// writeMean writes a cell of the table of means (see writeMeans) and returns the mean share after the event.
func writeMean(t *tabwriter.Writer, results []*OverloadResult, row Overload, sidecars int, target float64) float64 {
	var after, overall, runs float64
	recovered := 0
	for _, r := range results {
		if r.Sidecars != sidecars || r.row() != row {
			continue
		}
		after += r.After
		overall += r.Share
		runs++
		if seconds := secondsUntilRecovered(r.Rows, int(r.eventEnd()), target); seconds >= 0 && seconds <= overloadRecoverySeconds {
			recovered++
		}
	}
	fmt.Fprintf(t, "%.3f (%.3f) %d/%.0f\t", after/runs, overall/runs, recovered, runs)
	return after / runs
}

// row returns the settings that the runs of a row of the table of means have in common.
func (o Overload) row() Overload {
	o.Sidecars, o.Servers, o.Seed = 0, 0, 0
	return o
}

// WriteOverloadsJSON writes all results, with their rows, as JSON.
func WriteOverloadsJSON(out io.Writer, results []*OverloadResult) error {
	return json.NewEncoder(out).Encode(results)
}
