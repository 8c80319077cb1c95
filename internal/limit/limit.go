// Package limit says what one instance of many may do by itself: how often it probes, among how many servers it chooses,
// what room it must leave there, and how allowances fill. The rules follow from what an instance is told (how many there
// are, how many servers, what a probe costs); where all instances add up at a server, the rule states the sum. It does no
// input or output and reads no clock.
package limit

import "math"

// The rules' figures.
const (
	MaxProbesPerRequest = 2.0  // a request; the paper's r_probe, "above 1 is quite safe"
	MinProbeInterval    = 40.0 // ms between two probes of a server by one instance, at least, on average: more tell nothing new
	missingNewsCost     = 0.02 // of a request's worth, lost for want of news at one probe a request; at r probes the r-th part
	poolGrowth          = 1.0  // the paper's testbed delta: net growth of the pool a request
	maxUses             = 3.0  // uses of an entry where the paper's formula has no positive divisor
	ProbesPerWait       = 4    // of a request that waits for their answers; the paper's d
	minProbesPerWait    = 2    // of one that can't do without
	MinSubset           = 4    // servers among which an instance chooses, at least
	priorRequests       = 20.0 // requests, spread evenly over instances, that stand for an unknown load
	maxConnections      = 128  // instances that may normally connect to one server; few hundred connections slow one
)

// ProbesPerRequest is the number of probes that a request brings along, on average, where a probe costs that part of a
// request's worth and the instance has so many servers and so many requests a millisecond.
//
// More probes lose less for want of news, as missingNewsCost/r, and cost r times the price: the sum is least at
// sqrt(missingNewsCost/price). At one server all instances together send that many for each request that it gets, and no more
// than one each in MinProbeInterval.
func ProbesPerRequest(price float64, servers int, requestsPerMs float64) float64 {
	return min(MaxProbesPerRequest, math.Sqrt(missingNewsCost/max(price, math.SmallestNonzeroFloat64)),
		float64(servers)/(MinProbeInterval*requestsPerMs))
}

// Uses is how many requests may go by one entry of a pool of that size before it leaves, on average: the paper's b_reuse. One
// part in so many of what perRequest probes bring is removed besides.
func Uses(pool float64, servers int, perRequest, removed float64) float64 {
	v := max(maxUses, poolGrowth/perRequest) // an entry must do for all requests until the next one comes
	if d := (1 - pool/float64(max(1, servers)) - removed) * perRequest; d > 0 {
		v = min(v, max(1, (1+poolGrowth)/d))
	}
	return v
}

// AreCostly reports whether the price alone keeps probes below what the design would send: then none is sent out of turn.
func AreCostly(price float64) bool {
	return price*MaxProbesPerRequest*MaxProbesPerRequest > missingNewsCost
}

// ProbesToAwait is how many probes a request may send whose answers it waits for. Where they are dear there are those that requests
// have saved up or may borrow. A request that may go nowhere without them, the list not being
// sure, always sends two: so do all instances, for each that finds no server which has answered lately, and the answers serve
// the next ones.
func ProbesToAwait(saved float64, dear, blind bool) int {
	n := ProbesPerWait
	if dear {
		n = max(0, min(n, int(saved)))
	}
	if blind {
		n = max(n, minProbesPerWait)
	}
	return n
}

// SubsetSize is the number of servers among which one of so many instances chooses: at one server, connections instances meet,
// or all there are, or MinSubset/servers of them where that is more.
func SubsetSize(servers, instances int) int {
	return min(servers, max(MinSubset, maxConnections*servers/max(1, instances)))
}

// Choices is among how many random servers a request chooses where the pool has none: where answers alone tell of servers, the
// power of a few choices stands for the pool.
func Choices(probes bool) int {
	if probes {
		return 1
	}
	return ProbesPerWait
}

// TrafficShare is an instance's part of the fleet's traffic: own requests among all that servers hold, if they tell, and the number of
// instances' part as long as they hold few.
//
// Where no server tells, it is so many requests a second of the sum of the tenants' quotas, or the number of instances' part
// where that is more. A tenant is beyond its share then where it takes more of the own traffic than of the quotas, and a busy
// instance's tenants are not beyond it for being at a busy instance. Together the instances let pass what the quotas do, or
// all that comes, where that is more: that it is too much is told by other means.
func TrafficShare(own, all, perSecond, quotas float64, instances int) float64 {
	even := 1 / float64(max(1, instances))
	if own+all > 0 {
		return min(1, (own+priorRequests*even)/(all+priorRequests))
	}
	return min(1, max(even, perSecond/max(quotas, math.SmallestNonzeroFloat64)))
}

// What a request must find at a server.
const (
	idleMargin        = 0.5  // expected responses that must find room at an idle server, in all: work in vain takes nothing there,
	fullMargin        = 2.0  // and what is added to that when all its places are taken
	wasteMargin       = 8.5  // parts of the expected response to be left beyond it, for each unit of the price of waste,
	sparseWasteMargin = 15.0 // and where news is sparse: the server that looks best is seldom as good as it looks
	FreeMultiple      = 1.75 // response over what the fleet's take unhindered, up to which a server counts as free
	FullStretch       = 4.5  // response over an unhindered one: past it a queue only adds waiting,
	sparseFullStretch = 2.5  // and where news is sparse
	valueExponent     = 0.4  // how that falls with a request's worth

	unreportedFraction  = 0.375 // of what tips a cold server, sent unseen: it bears more than it must
	reportedFraction    = 0.5   // and where it has said that it has room
	allStartingFraction = 0.5   // of what is asked, taken for what an all-cold fleet bears when warm
)

// LatencyMargin is how many times the expected response must find room at a server that is to get a request, at that price of waste;
// load is the part of its places that are taken. Many instances whose news is sparse send to the same servers before any
// learns of it, and nobody sees the queue that they make together.
func LatencyMargin(sparse bool, price, load float64) float64 {
	waste := wasteMargin
	if sparse {
		waste = sparseWasteMargin
	}
	return min(1+waste*price, idleMargin+fullMargin*load)
}

// MaxStretch is the most that the response to a request of that worth may be stretched.
func MaxStretch(sparse bool, worth float64) float64 {
	most := FullStretch
	if sparse {
		most = sparseFullStretch
	}
	return 1 + (most-1)*math.Pow(worth, valueExponent)
}

// SlowStartRate is what of a fleet's requests a millisecond may go to a cold server, over the number of servers: a warm one's
// part, times what it must bear by now at that warmth, where tip times that fells it. All instances together send that to it, give
// or take chance: their buckets start as full as they are at any moment.
// One that has just said that it has room gets more: half of what tips it is safe, and no more reaches it than it can do.
func SlowStartRate(warmth, tip float64, room bool, sent, asked float64) float64 {
	tips, rate := unreportedFraction, max(sent, allStartingFraction*asked) // an all-cold fleet gets some
	if room {
		tips, rate = reportedFraction, max(rate, asked)
	}
	return max(warmth, min(1, warmth*tip*tips)) * rate
}

// FarInterval is in how many requests' probes one goes to any server in reach, the others to those of the preferred zone. Half
// of them cross where there is news enough. Where it is sparse, news of few servers is worth more than news of many: it is
// fresher, and fewer connections are needed for it. But a zone's instances are crowded together: while its servers hold more
// than they run side by side, as many go anywhere in reach as there is Luck elsewhere.
func FarInterval(sparse bool) int {
	if sparse {
		return 10
	}
	return 2
}
