package loadreport

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"plankrouter/policy"
)

func TestParseByName(t *testing.T) {
	for text, want := range map[string]policy.Report{
		`{"active":7,"avg_ms":12.5,"cpu":0.3}`: {HasRIF: true, RIF: 7, HasLatency: true, Latency: 12.5},
		`{"err_rps":2,"active":-1}`:            {HasErrors: true, Errors: 2},
		`{"active":"7"}`:                       {},
		``:                                     {},
	} {
		if diff := cmp.Diff(want, Parse([]byte(text))); diff != "" {
			t.Errorf("%s: %s", text, diff)
		}
	}
}
