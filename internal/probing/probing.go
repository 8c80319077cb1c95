// Package probing says how often one instance of many probes and how far it relies on an answer. The rules follow from the
// settings and from what the instance sees: how many servers there are, what a probe costs, how many requests come. Where
// all instances add up at a server, the rule states the sum. It does no input or output and reads no clock.
package probing

import "math"

// Bounds on the number of probes.
const (
	MaxPerRequest = 2.0  // probes a request on average; Prequal's r_probe, "above 1 is quite safe"
	MinInterval   = 40.0 // ms between two probes of a server by one instance on average: more show nothing new
	PerWait       = 4    // probes of a request that waits for their answers; Prequal's d
	minPerWait    = 2    // of one that can't be sent without an answer
)

const (
	oldReportCost = 0.02 // part of a request's value lost to old reports at one probe a request; at r probes the r-th part of it
	poolGrowth    = 1.0  // net growth of the pool with each request; Prequal's delta
	maxUses       = 3.0  // uses of an entry where Prequal's formula has no positive divisor
)

// PerRequest is the number of probes that a request brings along, on average, where a probe costs the part price of a
// request's value and the instance has so many servers and so many requests a millisecond.
//
// More probes lose less to old reports, as oldReportCost/r, and cost r times the price: the sum is least at
// sqrt(oldReportCost/price). At one server all instances together send that many for each request that it gets, and no more
// than one each in MinInterval.
func PerRequest(price float64, servers int, requestsPerMs float64) float64 {
	return min(MaxPerRequest, math.Sqrt(oldReportCost/max(price, math.SmallestNonzeroFloat64)),
		float64(servers)/(MinInterval*requestsPerMs))
}

// Uses is how many requests may go by one entry of a pool of that size before it leaves, on average: Prequal's b_reuse.
// removed is the part of the entries, over those that perRequest probes bring, that is removed besides.
func Uses(pool float64, servers int, perRequest, removed float64) float64 {
	uses := max(maxUses, poolGrowth/perRequest) // an entry must do for all requests until the next one comes
	divisor := (1 - pool/float64(max(1, servers)) - removed) * perRequest
	if divisor > 0 {
		uses = min(uses, max(1, (1+poolGrowth)/divisor))
	}
	return uses
}

// AreCostly reports whether the price alone keeps probes below MaxPerRequest: then none is sent only to find servers again.
func AreCostly(price float64) bool { return price*MaxPerRequest*MaxPerRequest > oldReportCost }

// ToAwait is how many probes a request may send whose answers it waits for. Where probes are limited it may send those that
// requests have saved up or may borrow. An urgent request, which may go nowhere without an answer because the list is stale,
// always sends minPerWait: so do all instances, for each request that finds no server which has answered lately, and the
// answers serve the next requests too.
func ToAwait(saved float64, limited, urgent bool) int {
	probes := PerWait
	if limited {
		probes = max(0, min(probes, int(saved)))
	}
	if urgent {
		probes = max(probes, minPerWait)
	}
	return probes
}

// RandomChoices is among how many random servers a request chooses where the pool has none. Without probes there is never a
// pool, and the power of a few choices stands for it.
func RandomChoices(probes bool) int {
	if probes {
		return 1
	}
	return PerWait
}
