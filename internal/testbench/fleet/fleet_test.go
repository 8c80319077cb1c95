package fleet

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// logs writes the files to a new folder and returns it.
func logs(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestCount(t *testing.T) {
	dir := logs(t, map[string]string{
		"n0.log": `0.01 2026/12/01 15:00:00.000000 name=n0 state=started
0.02 2026/12/01 15:00:00.010000 trace=start of=call provider=a try=0 news_ms=-1 age_ms=-1
0.03 2026/12/01 15:00:00.020000 trace=dial provider=a ending=open took_ms=1.0
0.04 2026/12/01 15:00:00.150000 trace=start of=call provider=a try=1 news_ms=1500 age_ms=200
0.05 2026/12/01 15:00:00.160000 trace=closed provider=a
2026/12/01 15:00:00.161000 trace=cpu used_ms=7
2026/12/01 15:00:00.162000 trace=cpu used_ms=9
`,
		"n1.log": `2026/12/01 15:00:00.011000 trace=start of=probe provider=a try=0 news_ms=-1 age_ms=-1
2026/12/01 15:00:00.012000 trace=start of=call provider=a try=0 news_ms=40 age_ms=9000
2026/12/01 15:00:00.013000 trace=end of=probe provider=a ending=declined took_ms=0.2
2026/12/01 15:00:00.014000 trace=dial provider=b ending=refused took_ms=0.2
2026/12/01 15:00:00.015000 trace=list whole=false wait_ms=1000 took_ms=3000.0 lines=0 ok=false full=true
2026/12/01 15:00:00.170000 trace=list whole=true wait_ms=0 took_ms=2.0 lines=0 ok=false full=false
2026/12/01 15:00:00.171000 trace=end of=call provider=a ending=served took_ms=30
`,
	})
	c, err := Read(dir, 100*time.Millisecond, 8*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	want := &Count{
		Sidecars: 2, Every: 100 * time.Millisecond,
		Rows: []Row{
			{Attempts: 2, Stale: 1, Probes: 1, ProbesFailed: 1, Dials: 2, DialsFailed: 1, Open: 1, Lists: 1, ListsFull: 1},
			{Attempts: 1, Retries: 1, Stale: 1, Cold: 1, Lists: 1, ListsWrong: 1},
		},
		Total: Row{
			Attempts: 3, Retries: 1, Stale: 2, Cold: 1, Probes: 1, ProbesFailed: 1, Dials: 2, DialsFailed: 1, Open: 1, Lists: 2,
			ListsFull: 1, ListsWrong: 1,
		},
		MaxAtOneServer: map[string]Peak{"calls": {2, "a", 0}, "probes": {1, "a", 0}, "connects": {1, "b", 0}},
		ReportAges:     []float64{40, 1500}, Waits: []float64{2, 2000}, CPU: []float64{9},
	}
	if d := cmp.Diff(want, c); d != "" {
		t.Error(d)
	}
	var out strings.Builder
	if err := c.Write(&out, time.Second); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{
		"    all       3       1       2       1", "most calls at one server within 100ms: 2, a at 0.0 s",
		"list calls beyond their wait, ms: median 2,",
	} {
		if !strings.Contains(out.String(), text) {
			t.Errorf("%q is missing in\n%s", text, out.String())
		}
	}
}

func TestBadLogs(t *testing.T) {
	const good = "2026/12/01 15:00:00.000000 trace=start of=call provider=a try=0 news_ms=-1 age_ms=-1\n"
	for name, c := range map[string]struct {
		files map[string]string
		want  string
	}{
		"none":         {map[string]string{"n0.txt": good}, "no *.log"},
		"no trace":     {map[string]string{"n0.log": "2026/12/01 15:00:00.000000 name=n0 state=started\n"}, "GW_TRACE=1"},
		"no timestamp": {map[string]string{"n0.log": good + "trace=closed provider=a\n"}, "n0.log, line 2: no timestamp"},
		"no key":       {map[string]string{"n0.log": strings.Replace(good, "try=0", "try", 1)}, `line 1: word 4, "try"`},
		"no number":    {map[string]string{"n0.log": strings.Replace(good, "news_ms=-1", "news_ms=x", 1)}, `news_ms: "x" is not a number`},
		"truncated":    {map[string]string{"n0.log": good + good[:len(good)-6]}, `"age_", is not key=value`},
	} {
		if _, err := Read(logs(t, c.files), time.Second, 0); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q in it", name, err, c.want)
		}
	}
	if _, err := Read(t.TempDir(), 0, 0); err == nil {
		t.Error("intervals of 0 are accepted")
	}
}
