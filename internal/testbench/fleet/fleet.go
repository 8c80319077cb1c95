// Package fleet adds up what all sidecars of a fleet did at each server and at discovery over time, from the lines that they
// log with GW_TRACE=1. Load that is harmless from one sidecar may be too much in total.
package fleet

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	staleAge     = 1000    // ms; an attempt based on an older load report counts as stale
	maxLineBytes = 1 << 20 // of a log
)

// Row counts what all sidecars did in one interval.
type Row struct {
	Attempts, Retries, Stale, Cold int // Stale: on a load report older than a second, or none; Cold: at processes that may be cold
	Probes, ProbesFailed           int
	Dials, DialsFailed, Open       int // Open: connections open at the end of the interval
	Lists, ListsFull, ListsWrong   int // ListsFull: rejected polls; ListsWrong: failed otherwise
}

// Count holds the counts of a fleet.
type Count struct {
	Sidecars       int
	Rows           []Row // one for each interval of length Every
	Every          time.Duration
	Total          Row
	MaxAtOneServer map[string]Peak // of attempts, probes and dials: the most at one server in any interval
	ReportAges     []float64       // ms of age of the load report behind each attempt that had one, sorted
	Waits          []float64       // ms that polls of discovery took beyond their wait, sorted
	CPU            []float64       // ms used by each sidecar's processes, sorted
}

// Peak is the most at one server in any interval, with the server and the beginning of the interval.
type Peak struct {
	Count  int
	Server string
	At     time.Duration
}

// line is a trace line.
type line struct {
	time    time.Time
	sidecar string
	field   map[string]string
}

// timestamp matches the standard logger's time, which a log collector may precede with its own prefix.
var timestamp = regexp.MustCompile(`\d{4}/\d\d/\d\d \d\d:\d\d:\d\d\.\d{6}`)

// Read counts over the logs in dir, one *.log for each sidecar, in intervals of length every. A server process counts as
// cold for the time warm after its start.
func Read(dir string, every, warm time.Duration) (*Count, error) {
	if every <= 0 || warm < 0 {
		return nil, fmt.Errorf("interval %s, time to be warm %s: want above 0, and 0 or more", every, warm)
	}
	names, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("%s: no *.log there", dir)
	}
	var lines []line
	for _, name := range names {
		if lines, err = read(name, lines); err != nil {
			return nil, err
		}
	}
	if len(lines) == 0 {
		return nil, fmt.Errorf("%s: no trace lines: the sidecars have to run with GW_TRACE=1", dir)
	}
	slices.SortStableFunc(lines, func(x, y line) int { return x.time.Compare(y.time) })
	c := &Count{Sidecars: len(names), Every: every, MaxAtOneServer: map[string]Peak{}}
	return c, c.count(lines, float64(warm.Milliseconds()))
}

// read appends the trace lines of a log to lines.
func read(name string, lines []line) ([]line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	in.Buffer(nil, maxLineBytes)
	for n := 1; in.Scan(); n++ {
		_, text, has := strings.Cut(in.Text(), "trace=")
		if !has {
			continue
		}
		l := line{sidecar: filepath.Base(name), field: map[string]string{}}
		if l.time, err = time.Parse("2006/01/02 15:04:05.000000", timestamp.FindString(in.Text())); err != nil {
			return nil, fmt.Errorf("%s, line %d: no timestamp: %w", name, n, err)
		}
		for i, word := range strings.Fields("trace=" + text) {
			key, value, is := strings.Cut(word, "=")
			if !is {
				return nil, fmt.Errorf("%s, line %d: word %d, %q, is not key=value", name, n, i+1, word)
			}
			l.field[key] = value
		}
		lines = append(lines, l)
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

func (l *line) number(key string) (float64, error) {
	v, err := strconv.ParseFloat(l.field[key], 64)
	if err != nil {
		return 0, fmt.Errorf("%s at %s: %s: %q is not a number", l.sidecar, l.time.Format(time.TimeOnly), key, l.field[key])
	}
	return v, nil
}

// counter adds lines to a Count.
type counter struct {
	*Count
	warm    float64 // ms for which a server's process counts as cold
	open    int     // connections now
	perRow  map[rowKey]int
	cpu     map[string]float64 // ms used, by sidecar
	invalid error
}

// rowKey is a server in one interval, for one kind of traffic: calls, probes or connects.
type rowKey struct {
	kind, server string
	interval     int
}

func (c *Count) count(lines []line, warm float64) error {
	k := counter{Count: c, warm: warm, perRow: map[rowKey]int{}, cpu: map[string]float64{}}
	for i := range lines {
		k.add(&lines[i], int(lines[i].time.Sub(lines[0].time)/c.Every))
	}
	for _, r := range c.Rows {
		c.Total.add(r)
	}
	for _, ms := range k.cpu {
		c.CPU = append(c.CPU, ms)
	}
	slices.Sort(c.ReportAges)
	slices.Sort(c.Waits)
	slices.Sort(c.CPU)
	return k.invalid
}

// number returns the value of a field, and records an error if it is not a number.
func (c *counter) number(l *line, key string) float64 {
	value, err := l.number(key)
	c.invalid = errors.Join(c.invalid, err)
	return value
}

// add counts a line of the given interval.
func (c *counter) add(l *line, interval int) {
	for len(c.Rows) <= interval {
		c.Rows = append(c.Rows, Row{Open: c.open})
	}
	row := &c.Rows[interval]
	switch l.field["trace"] {
	case "start":
		if l.field["of"] == "probe" {
			row.Probes++
			c.updatePeak(l, "probes", interval)
			break
		}
		c.addAttempt(l, row)
		c.updatePeak(l, "calls", interval)
	case "end":
		if l.field["of"] == "probe" && l.field["ending"] != "served" {
			row.ProbesFailed++
		}
	case "dial":
		row.Dials++
		if l.field["ending"] == "open" {
			c.open++
		} else {
			row.DialsFailed++
		}
		c.updatePeak(l, "connects", interval)
	case "closed":
		c.open--
	case "list":
		c.addPoll(l, row)
	case "cpu":
		c.cpu[l.sidecar] = max(c.cpu[l.sidecar], c.number(l, "used_ms"))
	}
	row.Open = c.open
}

// addAttempt counts the start of an attempt.
func (c *counter) addAttempt(l *line, row *Row) {
	row.Attempts++
	if c.number(l, "try") > 0 {
		row.Retries++
	}
	reportAge := c.number(l, "news_ms")
	if reportAge < 0 || reportAge > staleAge {
		row.Stale++
	}
	if reportAge >= 0 {
		c.ReportAges = append(c.ReportAges, reportAge)
	}
	if age := c.number(l, "age_ms"); age >= 0 && age < c.warm {
		row.Cold++
	}
}

// addPoll counts a completed poll of discovery.
func (c *counter) addPoll(l *line, row *Row) {
	row.Lists++
	switch {
	case l.field["full"] == "true":
		row.ListsFull++
	case l.field["ok"] != "true":
		row.ListsWrong++
	}
	c.Waits = append(c.Waits, max(0, c.number(l, "took_ms")-c.number(l, "wait_ms")))
}

// updatePeak counts one event of a kind at a server in an interval, and updates the peak of the kind.
func (c *counter) updatePeak(l *line, kind string, interval int) {
	key := rowKey{kind, l.field["provider"], interval}
	c.perRow[key]++
	if n := c.perRow[key]; n > c.MaxAtOneServer[kind].Count {
		c.MaxAtOneServer[kind] = Peak{n, key.server, time.Duration(interval) * c.Every}
	}
}

func (r *Row) add(o Row) {
	r.Attempts, r.Retries, r.Stale, r.Cold = r.Attempts+o.Attempts, r.Retries+o.Retries, r.Stale+o.Stale, r.Cold+o.Cold
	r.Probes, r.ProbesFailed = r.Probes+o.Probes, r.ProbesFailed+o.ProbesFailed
	r.Dials, r.DialsFailed, r.Open = r.Dials+o.Dials, r.DialsFailed+o.DialsFailed, max(r.Open, o.Open)
	r.Lists, r.ListsFull, r.ListsWrong = r.Lists+o.Lists, r.ListsFull+o.ListsFull, r.ListsWrong+o.ListsWrong
}

// Write writes the counts as text, with a row for each interval of length rowLength.
func (c *Count) Write(to io.Writer, rowLength time.Duration) error {
	var err error
	printf := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(to, format, args...)
		}
	}
	const row = "%7s %7d %7d %7d %7d %7d %7d %8d %7d %6d %6d %6d %6d\n"
	printf("%7s %7s %7s %7s %7s %7s %7s %8s %7s %6s %6s %6s %6s\n", "s", "calls", "retries", "stale", "cold", "probes", "failed",
		"connects", "failed", "open", "lists", "full", "wrong")
	line := func(at string, r Row) {
		printf(row, at, r.Attempts, r.Retries, r.Stale, r.Cold, r.Probes, r.ProbesFailed, r.Dials, r.DialsFailed, r.Open, r.Lists,
			r.ListsFull, r.ListsWrong)
	}
	rowsEach := max(1, int(rowLength/c.Every))
	for i := 0; i < len(c.Rows); i += rowsEach {
		var sum Row
		for _, r := range c.Rows[i:min(i+rowsEach, len(c.Rows))] {
			sum.add(r)
		}
		line(fmt.Sprintf("%.1f", (time.Duration(i)*c.Every).Seconds()), sum)
	}
	line("all", c.Total)
	for _, kind := range []string{"calls", "probes", "connects"} {
		p := c.MaxAtOneServer[kind]
		printf("most %s at one server within %s: %d, %s at %.1f s\n", kind, c.Every, p.Count, p.Server, p.At.Seconds())
	}
	for _, v := range []struct {
		label  string
		millis []float64
	}{{"age of the load report behind an attempt", c.ReportAges}, {"list calls beyond their wait", c.Waits}, {"CPU of a sidecar", c.CPU}} {
		if n := len(v.millis); n > 0 {
			printf("%s, ms: median %.0f, 90%% %.0f, most %.0f\n", v.label, v.millis[(n-1)/2], v.millis[(n-1)*9/10], v.millis[n-1])
		}
	}
	return err
}
