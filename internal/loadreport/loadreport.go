// Package loadreport parses the load reports of servers.
package loadreport

import (
	jsoniter "github.com/json-iterator/go"

	"plankrouter/policy"
)

// Field is the meaning of one value in a load report.
type Field uint8

// The values that the policy uses, and Other for every other value.
const (
	Other Field = iota
	RIF
	Latency
	Errors
)

var fields = map[string]Field{"active": RIF, "avg_ms": Latency, "err_rps": Errors}

// Fields returns the meaning of each value in a report whose values have the given names, in the order of names.
func Fields(names []string) []Field {
	out := make([]Field, len(names))
	for i, name := range names {
		out[i] = fields[name]
	}
	return out
}

// Put stores the value v in the field of r that f identifies; a value of Other is dropped.
func (f Field) Put(r *policy.Report, v float64) {
	switch f {
	case RIF:
		r.HasRIF = true
		r.RIF = v
	case Latency:
		r.HasLatency = true
		r.Latency = v
	case Errors:
		r.HasErrors = true
		r.Errors = v
	}
}

// Parse returns the report in raw, a JSON object that maps names to numbers. The result is empty if raw is malformed; null and
// negative values are ignored.
func Parse(raw []byte) (r policy.Report) {
	var values map[string]*float64
	if jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &values) != nil {
		return r
	}
	for name, v := range values {
		if v != nil && *v >= 0 {
			fields[name].Put(&r, *v)
		}
	}
	return r
}
