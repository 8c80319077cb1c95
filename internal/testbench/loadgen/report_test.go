package loadgen

import (
	"bytes"
	"encoding/xml"
	"image/png"
	"strings"
	"testing"
	"time"
)

func TestReport(t *testing.T) {
	p := constantPlan(t, constant(10), Even, 2)
	r := newResult(1)
	rec := recorder{start: time.Now(), result: r}
	for i := range 20 {
		due := rec.start.Add(time.Duration(i) * 100 * time.Millisecond)
		d := completion{
			due: due, sentAt: due.Add(10 * time.Millisecond), endedAt: due.Add(600 * time.Millisecond), attempts: 1,
			late: 2 * time.Millisecond, latencyObjective: 500 * time.Millisecond,
		}
		if i >= 17 {
			d.outcome = Rejected
		}
		rec.recordCompletion(&d)
	}
	report := NewReport(p, r, "here", 2)
	report.Partial = true
	var text, rows bytes.Buffer
	ok(t, report.Write(&text))
	ok(t, report.WriteCSV(&rows))
	for _, want := range []string{
		"2.0 s of load on here, seed 1; processes: 2", "PARTIAL", "INVALID: requests were",
		"due  600.063  never  never", "send  590.335  never",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%s\nhas no %s", text.String(), want)
		}
	}
	if want := "1,tile,10,10,0,7,3,0,0,0,0,602.111,,,,,593.919,,,,,2.000\n"; !strings.HasSuffix(rows.String(), want) {
		t.Errorf("%s\ndoes not end with %s", rows.String(), want)
	}
	for ending, check := range map[string]func([]byte) error{
		".svg": func(b []byte) error { return xml.Unmarshal(b, new(any)) },
		".png": func(b []byte) error { _, err := png.Decode(bytes.NewReader(b)); return err },
	} {
		var plot bytes.Buffer
		form, err := PlotFormat(ending)
		ok(t, err)
		ok(t, report.Plot(&plot, form))
		ok(t, check(plot.Bytes()))
	}
}
