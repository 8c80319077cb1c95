package loadgen

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// quantiles are the quantiles of each Latency.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999, 1}

// Latency has the quantiles 0.5, 0.9, 0.99, 0.999 and 1 in milliseconds, over all requests. nil means that too few requests
// were served for the quantile.
type Latency [5]*float64

func newLatency(h Histogram, total uint64) (l Latency) {
	for i, q := range quantiles {
		l[i] = quantileMs(h, q, total)
	}
	return l
}

func quantileMs(h Histogram, q float64, total uint64) *float64 {
	if d, ok := h.Quantile(q, total); ok {
		ms := d.Seconds() * 1000
		return &ms
	}
	return nil
}

// Row has the results of the requests of one class, or of all classes.
type Row struct {
	Class           string            `json:"class"` // "all" = all classes
	Requests        uint64            `json:"asked"`
	Attempts        uint64            `json:"tries"`
	Resent          uint64            `json:"resent"`
	InObjective     uint64            `json:"in_aim"`
	Goodput         float64           `json:"goodput_per_s"` // requests served within their latency objective per second of load
	Outcomes        map[string]uint64 `json:"ends"`          // numbers of requests by outcome
	AttemptOutcomes map[string]uint64 `json:"try_ends"`
	Due             Latency           `json:"latency_from_due_ms"`
	Sent            Latency           `json:"latency_from_send_ms"`
}

func newRow(class string, t *Tally, lasted float64) Row {
	row := Row{
		Class: class, Requests: t.Requests, Attempts: t.Attempts, Resent: t.Resent, InObjective: t.InObjective,
		Outcomes: map[string]uint64{}, AttemptOutcomes: map[string]uint64{},
		Due: newLatency(t.Due, t.Requests), Sent: newLatency(t.Sent, t.Requests),
	}
	if lasted > 0 {
		row.Goodput = float64(t.InObjective) / lasted
	}
	for i, name := range outcomeNames {
		row.Outcomes[name], row.AttemptOutcomes[name] = t.Outcomes[i], t.AttemptOutcomes[i]
	}
	return row
}

// SecondRow has the results of the requests of one class that were due in one second.
type SecondRow struct {
	Second      int               `json:"second"`
	Class       string            `json:"class"`
	Requests    uint64            `json:"asked"`
	Attempts    uint64            `json:"tries"`
	InObjective uint64            `json:"in_aim"`
	Outcomes    map[string]uint64 `json:"ends"`
	Due         Latency           `json:"latency_from_due_ms"`
	Sent        Latency           `json:"latency_from_send_ms"`
	LateMs      float64           `json:"late_longest_ms"` // longest delay of a first attempt of any class by the generator
}

// Report is the report of a run. Fields whose names end in Ms are in milliseconds, those that end in S in seconds.
type Report struct {
	Address           string      `json:"address"`
	Seed              uint64      `json:"seed"`
	Processes         int         `json:"processes"`
	LastedS           float64     `json:"lasted_s"` // length of the period in which requests were due
	RanS              float64     `json:"ran_s"`    // time from the start to the end of the last request
	Valid             bool        `json:"valid"`
	Invalid           []string    `json:"invalid,omitempty"` // reasons why the run is invalid
	Partial           bool        `json:"partial"`           // the run was interrupted
	LateMs            Latency     `json:"late_ms"`
	StallMs           float64     `json:"stall_ms"`        // longest delay of the generator's timers
	ConnWaits         uint64      `json:"held"`            // attempts that waited for a connection
	LongestConnWaitMs float64     `json:"held_longest_ms"` // the longest of these waits
	ConnsOpened       uint64      `json:"connections_opened"`
	Classes           []Row       `json:"classes"` // the last row is the sum of all classes
	Seconds           []SecondRow `json:"seconds"`
}

// NewReport returns the report of a run of a plan against an address, sent from the given number of processes.
func NewReport(p *Plan, r *Result, address string, processes int) *Report {
	ms := func(d time.Duration) float64 { return d.Seconds() * 1000 }
	out := &Report{
		Address: address, Seed: p.Seed, Processes: processes, LastedS: p.ForS, RanS: r.Ran.Seconds(),
		Partial: r.Partial, LateMs: newLatency(r.Late, r.Late.Count()), StallMs: ms(r.Stall), ConnWaits: r.ConnWaits,
		LongestConnWaitMs: ms(r.LongestConnWait), ConnsOpened: r.ConnsOpened,
	}
	if n := float64(len(r.Seconds)); r.Partial {
		out.LastedS = min(n, out.RanS)
	} else if p.ForS == 0 || p.Trace != nil && n < p.ForS {
		out.LastedS = n
	}
	out.checkLateness(p.Lateness)
	all := newTally(fineDigits)
	for i := range r.Classes {
		out.Classes = append(out.Classes, newRow(p.Classes[i].Name, &r.Classes[i], out.LastedS))
		all.merge(&r.Classes[i])
	}
	out.Classes = append(out.Classes, newRow("all", &all, out.LastedS))
	for i, s := range r.Seconds {
		for j := range s.Classes {
			if t := &s.Classes[j]; t.Requests > 0 {
				row := newRow(p.Classes[j].Name, t, 1)
				out.Seconds = append(out.Seconds, SecondRow{
					i, row.Class, row.Requests, row.Attempts, row.InObjective, row.Outcomes,
					row.Due, row.Sent, float64(s.LateUs) / 1000,
				})
			}
		}
	}
	return out
}

// checkLateness marks the report as invalid if the generator's own delay exceeds the bounds l.
func (r *Report) checkLateness(l Lateness) {
	checkLimit := func(what string, is, most float64) {
		if is > most {
			r.Invalid = append(r.Invalid, fmt.Sprintf("%s %.3f ms, more than %v ms", what, is, most))
		}
	}
	if r.LateMs[0] != nil {
		checkLimit("requests were started late, at the 99th percentile by", *r.LateMs[2], l.P99Ms)
		checkLimit("a request was started late by", *r.LateMs[4], l.MaxMs)
	}
	checkLimit("the generator itself was delayed by", r.StallMs, l.MaxMs)
	r.Valid = len(r.Invalid) == 0
}

func formatMs(ms *float64) string {
	if ms == nil {
		return "never"
	}
	return strconv.FormatFloat(*ms, 'f', 3, 64)
}

// Write writes the report as text. Lines that begin with INVALID or PARTIAL mark a run that is not a full measurement.
func (r *Report) Write(w io.Writer) error {
	b := &strings.Builder{}
	fmt.Fprintf(b, "%.1f s of load on %s, seed %d; processes: %d, connections: %d; ended after %.1f s\n", r.LastedS,
		r.Address, r.Seed, r.Processes, r.ConnsOpened, r.RanS)
	if r.Partial {
		fmt.Fprintln(b, "PARTIAL: the run was interrupted, and requests due later are not included")
	}
	for _, why := range r.Invalid {
		fmt.Fprintf(b, "INVALID: %s: the results measure the generator, not the server\n", why)
	}
	if r.LateMs[0] != nil {
		fmt.Fprintf(b, "start delay: p50 %s ms, p99 %s ms, at most %s ms; timer delay of the generator at most %.3f ms\n",
			formatMs(r.LateMs[0]), formatMs(r.LateMs[2]), formatMs(r.LateMs[4]), r.StallMs)
	}
	if r.ConnWaits > 0 {
		fmt.Fprintf(b, "%d attempts waited for a connection, for up to %.3f ms: raise the plan's connections, unless "+
			"clients have that limit\n", r.ConnWaits, r.LongestConnWaitMs)
	}
	r.tables(b)
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Report) tables(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\nclass\tasked\tin aim\tshare\tin aim/s\t%s\ttries\tresent\t\n",
		strings.ReplaceAll(strings.Join(outcomeNames[:], "\t"), "_", " "))
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.4f\t%.1f\t", c.Class, c.Requests, c.InObjective,
			float64(c.InObjective)/math.Max(1, float64(c.Requests)), c.Goodput)
		for _, name := range outcomeNames {
			fmt.Fprintf(t, "%d\t", c.Outcomes[name])
		}
		fmt.Fprintf(t, "%d\t%d\t\n", c.Attempts, c.Resent)
	}
	_ = t.Flush()
	fmt.Fprint(t, "\nms, of all requests\tmeasured from\tp50\tp90\tp99\tp99.9\tlongest\t\n")
	for _, c := range r.Classes {
		for _, from := range []struct {
			what    string
			latency Latency
		}{{"due", c.Due}, {"send", c.Sent}} {
			fmt.Fprintf(t, "%s\t%s\t", c.Class, from.what)
			for _, ms := range from.latency {
				fmt.Fprintf(t, "%s\t", formatMs(ms))
			}
			fmt.Fprintln(t)
		}
	}
	_ = t.Flush()
}

// WriteCSV writes a row for each second and class in which requests were due. A quantile is empty if too few requests were
// served.
func (r *Report) WriteCSV(w io.Writer) error {
	c := csv.NewWriter(w)
	head := append([]string{"second", "class", "asked", "tries", "in_aim"}, outcomeNames[:]...)
	for _, from := range []string{"due", "sent"} {
		for _, q := range []string{"p50", "p90", "p99", "p999", "max"} {
			head = append(head, from+"_"+q+"_ms")
		}
	}
	_ = c.Write(append(head, "late_max_ms"))
	number := func(ms float64) string { return strconv.FormatFloat(ms, 'f', 3, 64) }
	for _, s := range r.Seconds {
		row := []string{strconv.Itoa(s.Second), s.Class, fmt.Sprint(s.Requests), fmt.Sprint(s.Attempts), fmt.Sprint(s.InObjective)}
		for _, name := range outcomeNames {
			row = append(row, fmt.Sprint(s.Outcomes[name]))
		}
		for _, ms := range append(s.Due[:], s.Sent[:]...) {
			if ms == nil {
				row = append(row, "")
			} else {
				row = append(row, number(*ms))
			}
		}
		_ = c.Write(append(row, number(s.LateMs)))
	}
	c.Flush()
	return c.Error()
}
