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

// Overload is one run of the scale test of overload: the same servers and the same traffic in all, shared by so many
// sidecars. docs/operate/emulator.md describes its world.
type Overload struct {
	Sidecars         int     `json:"sidecars"`
	Servers          int     `json:"servers"`
	Load             float64 `json:"load"`    // first tries over the servers' usable capacity, both a second
	Reports          string  `json:"reports"` // one of OverloadReports
	Event            string  `json:"event"`   // one of OverloadEvents
	Seed             uint64  `json:"seed"`    // of the day
	Policy           string  `json:"policy"`
	PriorityFraction float64 `json:"worthy"`    // part of the first tries that is worth five times the others
	ZoneSkew         float64 `json:"zone_skew"` // as of Config
	Drawn            bool    `json:"drawn"`     // the servers' and clients' ways are drawn from the seed, around what they else are
	Free             bool    `json:"free"`      // probes and connections cost the servers nothing
}

// OverloadEvents are what can happen on a day of the scale test: nothing; three times the traffic for two seconds; half
// as much again for five; a zone, of five, out of reach for five.
func OverloadEvents() []string { return []string{"none", "burst", "swell", "zone"} }

// OverloadReports are what probes can report of a server's load: nothing; nothing, but that they wait among its requests; what
// is in flight there.
func OverloadReports() []string { return []string{"none", "queued", "full"} }

const (
	overloadSeconds         = 30.0 // s
	overloadCalmStart       = 4.0  // s from which the calm part counts,
	overloadEventStart      = 10.0 // to the event, also where there is none
	overloadRecoverySeconds = 5.0  // s after the event's end from which the part after it counts
	overloadAverageSeconds  = 2    // s over which a share is averaged to say when it is back
	overloadStream          = 2000 // of the day's streams
	overloadRecoveredMargin = 0.05 // of the calm part's share, at which it is
	overloadUsableCapacity  = 0.88 // of what the cores can do: more, and even a policy that sees all chokes servers or turns away
)

// overloadEvent is the fault of an event, and how long it lasts in s.
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
	return nil, 0, fmt.Errorf("event: there is no %q; there are %v", name, OverloadEvents())
}

// Config is the run's day: servers of two cores that queue hundreds and that choke when too much is in flight, requests
// that may not be repeated, half of whose time is a wait for others, and clients that come again after a refusal.
func (o Overload) Config() (Config, error) {
	c := Default(o.Sidecars, o.Servers)
	c.Seconds, c.Seed, c.Policy, c.ZoneSkew = overloadSeconds, o.Seed, o.Policy, o.ZoneSkew
	c.Kinds = []Kind{
		{Fraction: 0.44, Cores: 2, Speed: [2]float64{1.5, 2.1}},
		{Fraction: 0.56, Cores: 2, Speed: [2]float64{0.77, 1}},
	}
	work, wait, spread, noise := 139.0, 139.0, 0.5, 0.45
	chokesAt, chokeSlow, slots, backoff, retries := 5.5, 2.9, 19, 100.0, 3 // chokesAt: in flight for each core
	if o.Drawn {
		rng := c.stream(overloadStream)
		work, wait = between(rng, [2]float64{97, 180}), between(rng, [2]float64{98, 180})
		spread, noise = between(rng, [2]float64{0.25, 0.8}), between(rng, [2]float64{0.31, 0.59})
		chokesAt, chokeSlow = between(rng, [2]float64{4, 7}), between(rng, [2]float64{2.5, 3.3})
		slots, retries = 12+rng.IntN(15), 2+rng.IntN(2)
		backoff = float64(rng.IntN(2)) * between(rng, [2]float64{50, 400})
	}
	bear := c.capacity() / work * 1000 // requests a second
	c.Rate = o.Load * overloadUsableCapacity * bear
	c.Classes = []Class{{
		Name: "hold", Fraction: 1, WorkMs: work, WaitMs: wait, Spread: spread, Noise: noise, LatencyObjectiveMs: 1000,
		DeadlineMs: 5000, PriorityWeight: 1, NonIdempotent: true,
	}}
	if o.PriorityFraction > 0 {
		worthy := c.Classes[0]
		worthy.Name, worthy.Fraction, worthy.PriorityWeight = "order", o.PriorityFraction, 5
		c.Classes[0].Fraction -= o.PriorityFraction
		c.Classes = append(c.Classes, worthy)
	}
	c.Tenants = nil
	for i, fraction := range []float64{0.24, 0.22, 0.22, 0.1, 0.08, 0.05, 0.05, 0.04} {
		c.Tenants = append(c.Tenants, Tenant{Name: fmt.Sprint("tenant-", i+1), Fraction: fraction, Quota: 0.785 * bear * fraction})
	}
	s := &c.Server
	s.Slots, s.QueueCapacity, s.OverloadLoss = slots, 1000, 0
	s.JamWaiting, s.JamAfter, s.JamSlow = chokesAt-1, 2000, chokeSlow
	s.JamIdle, s.JamClears, s.MaxJam = chokesAt/3, 3500, 25000
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
		return c, fmt.Errorf("reports: there are no %q; there are %v", o.Reports, OverloadReports())
	}
	return c, c.Check()
}

// OverloadResult is what became of a run. Shares are of first tries, answered within the latency objective.
type OverloadResult struct {
	Overload
	Share           float64 `json:"share"` // of the whole day
	WeightedShare   float64 `json:"worth"` // the same by worth: what is beyond a tenant's share counts a tenth
	Best            float64 `json:"best"`  // the same of the worthiest class
	Before          float64 `json:"before"`
	During          float64 `json:"during"`  // up to 5 s after the event's end
	After           float64 `json:"after"`   // from then on
	RecoverySeconds float64 `json:"back_s"`  // after the event's end until it is within 0.05 of Before for good; -1 = never
	Rejected        float64 `json:"refused"` // answers of sidecars for each first try, as the next
	Failed          float64 `json:"failed"`
	Tries           float64 `json:"tries"`     // for each first try, as the next three
	Attempts        float64 `json:"attempts"`  //
	TimedOut        float64 `json:"timed_out"` // attempts
	Probes          float64 `json:"probes"`
	Handshakes      float64 `json:"handshakes"`
	Conns           float64 `json:"connections"` // for each server, on average
	Choked          float64 `json:"choked"`      // part of the servers, on average from the event on
	Waste           float64 `json:"waste"`
	Broken          int     `json:"broken"` // breaches
	Rows            []Row   `json:"rows"`
	Report          *Report `json:"-"`
}

// Play plays the run.
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
		Best: report.Classes[len(report.Classes)-1].Service, Attempts: report.Attempts, Probes: report.Probes,
		Handshakes: report.Handshakes, Conns: report.ConnsMean, Waste: report.Waste, Rows: report.Rows, Report: report,
	}
	requests := math.Max(1, float64(report.Requests))
	r.Share = float64(report.InObjective) / requests
	ends := o.eventEnd()
	r.Before = inTime(report.Rows, overloadCalmStart, overloadEventStart)
	r.During = inTime(report.Rows, overloadEventStart, ends+overloadRecoverySeconds)
	r.After = inTime(report.Rows, ends+overloadRecoverySeconds, overloadSeconds)
	r.RecoverySeconds = secondsUntilRecovered(report.Rows, int(ends), r.Before-overloadRecoveredMargin)
	for i, row := range report.Rows {
		r.Rejected += float64(row.Rejected) / requests
		r.Failed += float64(row.Failed) / requests
		r.Tries += float64(row.Tries) / requests
		r.TimedOut += float64(row.TimedOut) / requests
		if i >= overloadEventStart && i < overloadSeconds {
			r.Choked += float64(row.Jammed) / float64(o.Servers) / (overloadSeconds - overloadEventStart)
		}
	}
	for _, n := range report.Broken {
		r.Broken += n
	}
	return r, nil
}

// eventEnd is when the event is over, in s.
func (o Overload) eventEnd() float64 {
	_, long, _ := overloadEvent(o.Event)
	return overloadEventStart + long
}

// inTime is the share of the first tries of those seconds that were answered within the latency objective.
func inTime(rows []Row, from, to float64) float64 {
	p := servedFraction{}
	for _, r := range rows[min(len(rows), int(from)):min(len(rows), int(to))] {
		p.requested, p.served = p.requested+float64(r.Requests), p.served+r.InTime*float64(r.Requests)
	}
	return p.ratio()
}

// secondsUntilRecovered is how long after a second the share, averaged, reaches want and stays; -1 if it doesn't.
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

// PlayOverloads plays runs, workers of them side by side, in the order given. done, if there is one, is called with each
// that has ended, one at a time.
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

// WriteOverloads writes a table, a line for each run, and one of means over the seeds, a column for each number of
// sidecars.
func WriteOverloads(out io.Writer, results []*OverloadResult, bySecond bool) error {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "event\treports\tload\tseed\tsidecars\tshare\tworth\tbest class\tbefore\tduring\tafter\tback s\trefused\tfailed\t"+
		"tries\tattempts\ttimed out\tchoked\twaste\tprobes\thandshakes\tconns\tbroken\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%g\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.2f\t"+
			"%.2f\t%.2f\t%.2f\t%.0f\t%d\t\n", r.Event, r.Reports, r.Load, r.Seed, r.Sidecars, r.Share, r.WeightedShare, r.Best, r.Before,
			r.During, r.After, r.RecoverySeconds, r.Rejected, r.Failed, r.Tries, r.Attempts, r.TimedOut, r.Choked, r.Waste, r.Probes,
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
		fmt.Fprintf(out, "\n%s, reports %s, load %g, seed %d, %d sidecars, by second of the first try (share) or of the happening:\n",
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

// writeMeans writes, by number of sidecars, the means over the seeds of the share that was served in time after the
// event and, in brackets, of the whole day, and behind the slash how many of the runs were back in time.
func writeMeans(out io.Writer, t *tabwriter.Writer, results []*OverloadResult) {
	sizes, rows := sizesAndRows(results)
	fmt.Fprintln(out, "\nmeans over the seeds: share after the event (of the whole day), runs back to the best share "+
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

// sizesAndRows returns the numbers of sidecars, sorted, and what tells the runs apart otherwise, in the order of the runs.
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

// bestBefore is the best share before the event among the sizes, each on average: a run far below it has not recovered.
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

// writeMean writes a cell of the table of means and returns the mean share after the event.
func writeMean(t *tabwriter.Writer, results []*OverloadResult, row Overload, sidecars int, target float64) float64 {
	var after, allDay, runs float64
	recovered := 0
	for _, r := range results {
		if r.Sidecars != sidecars || r.row() != row {
			continue
		}
		after += r.After
		allDay += r.Share
		runs++
		if late := secondsUntilRecovered(r.Rows, int(r.eventEnd()), target); late >= 0 && late <= overloadRecoverySeconds {
			recovered++
		}
	}
	fmt.Fprintf(t, "%.3f (%.3f) %d/%.0f\t", after/runs, allDay/runs, recovered, runs)
	return after / runs
}

// row is what runs of several sizes and seeds share.
func (o Overload) row() Overload {
	o.Sidecars, o.Servers, o.Seed = 0, 0, 0
	return o
}

// WriteOverloadsJSON writes all runs with their seconds.
func WriteOverloadsJSON(out io.Writer, results []*OverloadResult) error {
	return json.NewEncoder(out).Encode(results)
}
