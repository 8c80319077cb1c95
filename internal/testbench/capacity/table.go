package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Write writes a table of the points of each sweep and one of the fitted lines.
func (r *Report) Write(to io.Writer) error {
	core := "all"
	if r.Core >= 0 {
		core = fmt.Sprintf("number %d", r.Core)
	}
	fmt.Fprintf(to, "load average %s before, %s after; cores %d, for the sidecar %s\n", r.LoadBefore, r.LoadAfter, r.Cores, core)
	for _, s := range r.Sweeps {
		fmt.Fprintf(to, "\n%s\n", s.Name)
		t := tabwriter.NewWriter(to, 0, 8, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintf(t, "%s\tcpu ms/s\trss MB\tprobes/s\tprobe B/s\tattempts/s\tconnects/s\topen\tmet\tlists/s\tlist B/s\tlog B/s\tserved\tadded p50\tp99 ms\t"+
			"ready ms\tstart cpu\tstart lists\twhole\tB\tload\tstall ms\ttries\t\n", s.Unit)
		for i := range s.Points {
			m := &s.Points[i].Measured
			fmt.Fprintf(t, "%.4g\t%.2f\t%.1f\t%.1f\t%.0f\t%.1f\t%.1f\t%d\t%d\t%.1f\t%.0f\t%.0f\t%d/%d\t%.2f\t%.2f\t%.0f\t%.1f\t%d\t%d\t%d\t%.1f\t%.0f\t%d\t\n",
				s.Sizes[i], m.CPU, m.RSS/1024, m.Probes, m.ProbeBytes, m.Attempts, m.Connects, m.Open, m.Contacted, m.Lists, m.ListBytes,
				m.LogBytes, m.Served, m.Requests, m.AddedP50, m.AddedP99, m.ReadyMs, m.StartCPU, m.StartLists, m.StartCompleteLists, m.StartBytes, m.Load,
				m.StallMs, m.Runs)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	fmt.Fprintf(to, "\nlines by least squares\n")
	t := tabwriter.NewWriter(to, 0, 8, 2, ' ', 0)
	fmt.Fprintf(t, "sizes\tfigure\tslope\tfor each\tintercept\tresidual\n")
	for _, s := range r.Sweeps {
		for _, f := range s.order {
			if l, ok := s.Lines[f.Name]; ok {
				fmt.Fprintf(t, "%s\t%s\t%.4g\t%s\t%.4g\t%.3g\n", s.Name, f.Name, l.Slope, s.Unit, l.Intercept, l.Residual)
			}
		}
	}
	if len(r.Module) > 0 {
		fmt.Fprintf(t, "the module alone\tidle ms/s\t%.4g\tserver\t%.4g\t%.3g\n", r.ModuleIdle.Slope, r.ModuleIdle.Intercept, r.ModuleIdle.Residual)
		fmt.Fprintf(t, "the module alone\tus/request\t%.4g\tserver\t%.4g\t%.3g\n", r.ModuleRequest.Slope, r.ModuleRequest.Intercept, r.ModuleRequest.Residual)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, m := range r.Module {
		fmt.Fprintf(to, "the module alone, %d servers: %.2f ms of CPU per second when idle, %.0f us and %.2f probes per request\n", m.Servers, m.IdleMs,
			m.RequestUs, m.ProbesEach)
	}
	return nil
}
