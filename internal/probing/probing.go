// Package probing computes how many probes an instance sends and how many requests may use the response to one. The rules
// depend on the cost of a probe, the number of servers and the instance's request rate. Where the probes of all instances add
// up at a server, the rule bounds the sum. The package does no input or output and reads no clock.
package probing

import "math"

// Bounds on the number of probes.
const (
	MaxPerRequest = 2.0  // average probes per request; Prequal's r_probe, which its authors call "quite safe" above 1
	MinInterval   = 40.0 // average ms between two probes of a server by one instance: sooner, a probe shows nothing new
	PerWait       = 4    // probes that a request sends if it waits for their responses; Prequal's d
	minPerWait    = 2    // minimum of PerWait for a request that can't be sent without a response
)

const (
	oldReportCost = 0.02 // fraction of a request's value lost to old reports with one probe per request; 1/r of that with r
	poolGrowth    = 1.0  // net growth of the pool with each request; Prequal's delta
	maxUses       = 3.0  // uses of an entry if Prequal's formula has no positive divisor
)

// PerRequest returns the average number of probes that an instance with the given number of servers and request rate sends per
// request. price is the cost of a probe as a fraction of a request's value.
//
// With r probes per request, old reports cost oldReportCost/r and the probes r*price; the sum is lowest at
// r = sqrt(oldReportCost/price). So a server gets at most r probes from all instances per request that it gets, and at most
// one from each instance per MinInterval, on average.
func PerRequest(price float64, servers int, requestsPerMs float64) float64 {
	return min(MaxPerRequest, math.Sqrt(oldReportCost/max(price, math.SmallestNonzeroFloat64)),
		float64(servers)/(MinInterval*requestsPerMs))
}

// UsesPerEntry returns the average number of requests that may use one entry of a pool of the given size: Prequal's b_reuse.
// perRequest is the number of probes per request and removed the number of entries removed from the pool per probe.
func UsesPerEntry(pool float64, servers int, perRequest, removed float64) float64 {
	uses := max(maxUses, poolGrowth/perRequest) // an entry must last until the next one is added
	divisor := (1 - pool/float64(max(1, servers)) - removed) * perRequest
	if divisor > 0 {
		uses = min(uses, max(1, (1+poolGrowth)/divisor))
	}
	return uses
}

// AreCostly reports whether the price alone keeps probes below MaxPerRequest. If so, no probes are sent just to find out
// whether a failed server is back.
func AreCostly(price float64) bool { return price*MaxPerRequest*MaxPerRequest > oldReportCost }

// ProbesToAwait returns the number of probes that a request may send and wait for. If probes are limited, it is at most saved,
// the number of probes that requests have earned or that may be borrowed. An urgent request, which
// can't be sent without a response because the list is stale, may always send minPerWait. Every instance sends that
// many for each request that finds no server with a recent response; later requests use the responses, too.
func ProbesToAwait(saved float64, limited, urgent bool) int {
	probes := PerWait
	if limited {
		probes = max(0, min(probes, int(saved)))
	}
	if urgent {
		probes = max(probes, minPerWait)
	}
	return probes
}

// RandomChoices returns the number of random servers among which a request chooses the best if the pool has no usable entry.
// probes says whether this instance sends probes.
// Without probes the pool is always empty, and the power of random choices replaces it.
func RandomChoices(probes bool) int {
	if probes {
		return 1
	}
	return PerWait
}
