package simulated

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

// WriteTable writes a table for each scene, in the order of their first row.
func WriteTable(out io.Writer, rows []Row) error {
	var scenes []string
	byScene := map[string][]Row{}
	for _, r := range rows {
		if byScene[r.Scene] == nil {
			scenes = append(scenes, r.Scene)
		}
		byScene[r.Scene] = append(byScene[r.Scene], r)
	}
	for _, scene := range scenes {
		t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		var head []string
		for _, f := range byScene[scene][0].Metrics {
			head = append(head, f.Name)
		}
		fmt.Fprintf(t, "%s\tsidecars\tservers\t%s\n", scene, strings.Join(head, "\t"))
		for _, r := range byScene[scene] {
			fmt.Fprintf(t, "%s\t%d\t%d", r.Kind, r.Sidecars, r.Servers)
			for _, f := range r.Metrics {
				fmt.Fprint(t, "\t", strconv.FormatFloat(f.Value, 'g', 4, 64))
			}
			fmt.Fprintln(t)
		}
		if err := t.Flush(); err != nil {
			return err
		}
		fmt.Fprintln(out)
	}
	return nil
}

// WriteComparison writes a table of comparisons.
func WriteComparison(out io.Writer, all []Comparison) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "side by side\tservers\tasked_s\tcpu_pct\tmemory_mb\tcalls_s\tprobes_s\tlist_calls_s\tlist_bytes_in_s\t"+
		"list_bytes_out_s\tlist_whole\tstall_ms\tmachine_cores_busy")
	for _, c := range all {
		fmt.Fprintf(t, "%s\t%d\t%g\t%.2f\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t%.0f\t%d\t%.0f\t%.1f\n", c.Which, c.Servers, c.RequestsPerSecond, c.CPUPct,
			c.MemoryMB, c.CallsS, c.ProbesS, c.ListCalls, c.ListIn, c.ListOut, c.CompleteLists,
			c.StallMs, c.Machine)
	}
	fmt.Fprintln(t)
	return t.Flush()
}
