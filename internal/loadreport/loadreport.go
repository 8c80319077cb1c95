// Package loadreport reads the load reports of servers.
package loadreport

import (
	jsoniter "github.com/json-iterator/go"

	"plankrouter/policy"
)

// Field says what one value of a load report means.
type Field uint8

// The values that the policy uses; all others are Other.
const (
	Other Field = iota
	RIF
	Latency
	Errors
)

var fields = map[string]Field{"active": RIF, "avg_ms": Latency, "err_rps": Errors}

// Fields returns what each value means of a report that has them in the order of names.
func Fields(names []string) []Field {
	out := make([]Field, len(names))
	for i, name := range names {
		out[i] = fields[name]
	}
	return out
}

// Put stores a value.
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

// Parse reads a report in JSON, an object of numbers by name. What can't be read is an empty report, and null is no value.
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
