// Package limit says what one instance of many may do by itself: how often it probes, among how many servers it chooses,
// what room it must leave there, and how allowances fill. The rules follow from what an instance is told (how many there
// are, how many servers, what a probe costs); where all instances add up at a server, the rule states the sum. It does no
// input or output and reads no clock.
package limit

import "math"

// The rules' figures.
const (
	MostProbes  = 2.0  // a request; the paper's r_probe, "above 1 is quite safe"
	ProbeFresh  = 40.0 // ms between two probes of a server by one instance, at least, on average: more tell nothing new
	probeWorth  = 0.02 // of a request's worth, lost for want of news at one probe a request; at r probes the r-th part
	poolGrowth  = 1.0  // the paper's testbed delta: net growth of the pool a request
	usesMost    = 3.0  // uses of an entry where the paper's formula has no positive divisor
	SyncProbes  = 4    // of a request that waits for their answers; the paper's d
	leastProbes = 2    // of one that can't do without
	LeastReach  = 4    // servers among which an instance chooses, at least
	partPrior   = 20.0 // requests, spread evenly over instances, that stand for an unknown load
	connections = 128  // instances that may normally connect to one server; few hundred connections slow one
)

// ProbesARequest is the number of probes that a request brings along, on average, where a probe costs that part of a
// request's worth and the instance has so many servers and so many requests a millisecond.
//
// More probes lose less for want of news, as probeWorth/r, and cost r times the price: the sum is least at
// sqrt(probeWorth/price). At one server all instances together send that many for each request that it gets, and no more
// than one each in ProbeFresh.
func ProbesARequest(price float64, servers int, requestsPerMs float64) float64 {
	return min(MostProbes, math.Sqrt(probeWorth/max(price, math.SmallestNonzeroFloat64)),
		float64(servers)/(ProbeFresh*requestsPerMs))
}

// Uses is how many requests may go by one entry of a pool of that size before it leaves, on average: the paper's b_reuse. One
// part in so many of what perRequest probes bring is removed besides.
func Uses(pool float64, servers int, perRequest, removed float64) float64 {
	v := max(usesMost, poolGrowth/perRequest) // an entry must do for all requests until the next one comes
	if d := (1 - pool/float64(max(1, servers)) - removed) * perRequest; d > 0 {
		v = min(v, max(1, (1+poolGrowth)/d))
	}
	return v
}

// Dear reports whether the price alone keeps probes below what the design would send: then none is sent out of turn.
func Dear(price float64) bool { return price*MostProbes*MostProbes > probeWorth }

// Awaited is how many probes a request may send whose answers it waits for. Where they are dear there are those that requests
// have saved up or may borrow. A request that may go nowhere without them, the list not being
// sure, always sends two: so do all instances, for each that finds no server which has answered lately, and the answers serve
// the next ones.
func Awaited(saved float64, dear, blind bool) int {
	n := SyncProbes
	if dear {
		n = max(0, min(n, int(saved)))
	}
	if blind {
		n = max(n, leastProbes)
	}
	return n
}

// Reach is the number of servers among which one of so many instances chooses: at one server, connections instances meet,
// or all there are, or LeastReach/servers of them where that is more.
func Reach(servers, instances int) int {
	return min(servers, max(LeastReach, connections*servers/max(1, instances)))
}

// Choices is among how many random servers a request chooses where the pool has none: where answers alone tell of servers, the
// power of a few choices stands for the pool.
func Choices(probes bool) int {
	if probes {
		return 1
	}
	return SyncProbes
}

// Part is an instance's part of the fleet's traffic: own requests among all that servers hold, if they tell, and the number of
// instances' part as long as they hold few.
//
// Where no server tells, it is so many requests a second of the sum of the tenants' quotas, or the number of instances' part
// where that is more. A tenant is beyond its share then where it takes more of the own traffic than of the quotas, and a busy
// instance's tenants are not beyond it for being at a busy instance. Together the instances let pass what the quotas do, or
// all that comes, where that is more: that it is too much is told by other means.
func Part(own, all, perSecond, quotas float64, instances int) float64 {
	even := 1 / float64(max(1, instances))
	if own+all > 0 {
		return min(1, (own+partPrior*even)/(all+partPrior))
	}
	return min(1, max(even, perSecond/max(quotas, math.SmallestNonzeroFloat64)))
}

// What a request must find at a server.
const (
	roomIdle    = 0.5  // expected responses that must find room at an idle server, in all: work in vain takes nothing there,
	roomFull    = 2.0  // and what is added to that when all its places are taken
	roomWaste   = 8.5  // parts of the expected response to be left beyond it, for each unit of the price of waste,
	roomSparse  = 15.0 // and where news is sparse: the server that looks best is seldom as good as it looks
	FreeTimes   = 1.75 // response over what the fleet's take unhindered, up to which a server counts as free
	CrowdMost   = 4.5  // response over an unhindered one: past it a queue only adds waiting,
	crowdSparse = 2.5  // and where news is sparse
	crowdPower  = 0.4  // how that falls with a request's worth

	coldBlind    = 0.375 // of what tips a cold server, sent unseen: it bears more than it must
	coldTold     = 0.5   // and where it has said that it has room
	allColdShare = 0.5   // of what is asked, taken for what an all-cold fleet bears when warm
)

// Room is how many times the expected response must find room at a server that is to get a request, at that price of waste;
// load is the part of its places that are taken. Many instances whose news is sparse send to the same servers before any
// learns of it, and nobody sees the queue that they make together.
func Room(sparse bool, price, load float64) float64 {
	waste := roomWaste
	if sparse {
		waste = roomSparse
	}
	return min(1+waste*price, roomIdle+roomFull*load)
}

// Crowd is the most that the response to a request of that worth may be stretched.
func Crowd(sparse bool, worth float64) float64 {
	most := CrowdMost
	if sparse {
		most = crowdSparse
	}
	return 1 + (most-1)*math.Pow(worth, crowdPower)
}

// ColdRate is what of a fleet's requests a millisecond may go to a cold server, over the number of servers: a warm one's
// part, times what it must bear by now at that warmth, where tip times that fells it. All instances together send that to it, give
// or take chance: their buckets start as full as they are at any moment.
// One that has just said that it has room gets more: half of what tips it is safe, and no more reaches it than it can do.
func ColdRate(warmth, tip float64, room bool, sent, asked float64) float64 {
	tips, rate := coldBlind, max(sent, allColdShare*asked) // an all-cold fleet gets some
	if room {
		tips, rate = coldTold, max(rate, asked)
	}
	return max(warmth, min(1, warmth*tip*tips)) * rate
}

// FarEvery is in how many requests' probes one goes to any server in reach, the others to those of the preferred zone. Half
// of them cross where there is news enough. Where it is sparse, news of few servers is worth more than news of many: it is
// fresher, and fewer connections are needed for it. But a zone's instances are crowded together: while its servers hold more
// than they run side by side, as many go anywhere in reach as there is Luck elsewhere.
func FarEvery(sparse bool) int {
	if sparse {
		return 10
	}
	return 2
}
