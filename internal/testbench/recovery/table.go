package recovery

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// tableHeader holds the names of the columns, which are those of Report.
const tableHeader = "scenario\tseed\tprogram\trequests\tnormal\tback s\tbelow s\tworst\tfirst 2 s\tlost\tunansw.\t" +
	"failed\trefused\tunreach.\ttwice\tlate\tprobes/s\tlists/s\tstall ms\t\n"

// WriteTable writes a row for each report, followed by the violated rules.
func WriteTable(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, tableHeader)
	for _, r := range reports {
		back, first := "never", "-"
		if r.Recovery != nil {
			back = fmt.Sprintf("%.2f", *r.Recovery)
		}
		if r.AfterRestart != nil {
			first = fmt.Sprintf("%.3f", *r.AfterRestart)
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%.3f\t%s\t%.2f\t%.3f\t%s\t", r.Scenario, r.Seed, r.Program, r.Requests,
			r.Normal, back, r.Below, r.Worst, first)
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.0f\t\n", r.Lost, r.Unanswered, r.Failed, r.Rejected,
			r.Unreachable, r.ExtraRuns, r.Late, r.Probes, r.Lists, r.Stall*1000)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range reports {
		for _, b := range r.Broken {
			if _, err := fmt.Fprintf(w, "BROKEN: %s, seed %d, %s: %s\n", r.Scenario, r.Seed, r.Program, b); err != nil {
				return err
			}
		}
	}
	return nil
}

// Write writes the report, one line for each figure.
func (h HandoverReport) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	seconds := func(s float64) string {
		return time.Duration(s * float64(time.Second)).Round(100 * time.Microsecond).String()
	}
	for _, row := range []struct {
		name  string
		value any
	}{
		{"handovers done", h.Restarts},
		{"requests", h.Requests},
		{"served", h.Served},
		{"lost", h.Lost},
		{"failed", h.Failed},
		{"refused", h.Rejected},
		{"unreachable", h.Unreachable},
		{"extra runs of orders", h.ExtraRuns},
		{"longest time without a response", seconds(h.LongestGap)},
		{"handover, median", seconds(h.Median)},
		{"handover, worst", seconds(h.Worst)},
		{"handover until the successor is ready, median", seconds(h.Start)},
		{"longest stall of the test bench", seconds(h.Stall)},
	} {
		fmt.Fprintf(t, "%s\t%v\n", row.name, row.value)
	}
	if len(h.Kills) > 0 {
		for _, phase := range []string{beforeReady, whilePassing, afterDone} {
			fmt.Fprintf(t, "killed %s\t%d\n", phase, h.Kills[phase])
		}
		fmt.Fprintf(t, "processes started after a kill\t%d\nlost to kills\t%d\n", h.FreshStarts, h.LostToKill)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, b := range h.Broken {
		if _, err := fmt.Fprintf(w, "BROKEN: %s\n", b); err != nil {
			return err
		}
	}
	return nil
}
