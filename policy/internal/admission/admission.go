// Package admission computes the limits by which a request is admitted to a server, and an instance's share of the fleet's
// traffic. It does no input or output and reads no clock.
package admission

import "math"

// Limits on the response time as a multiple of that of a server with free capacity.
const (
	FreeMultiple      = 1.75 // multiple of the fleet's baseline up to which a server counts as having free capacity
	FullStretch       = 4.5  // limit for requests of the highest value; above it a longer queue adds only waiting
	sparseFullStretch = 2.5  // FullStretch if reports are sparse
	valueExponent     = 0.4  // how quickly the limit falls with a request's value
)

// Terms of LatencyMargin, in expected response times.
const (
	idleMargin        = 0.5  // margin at an idle server, where wasted work takes no capacity from other requests
	fullMargin        = 2.0  // added to idleMargin at full concurrency
	wasteMargin       = 8.5  // added to a margin of 1, per unit of the cost of wasted work
	sparseWasteMargin = 15.0 // wasteMargin if reports are sparse: the server that looks best is then seldom as good as it looks
)

// reportDecay is the factor by which each report reduces the weight of earlier ones in the traffic share.
const reportDecay = 0.99

// priorRequests is the number of requests, spread evenly over all instances, assumed in the traffic share before any report.
const priorRequests = 20.0

// LatencyMargin returns how many expected response times have to fit into the time that a request has left. price is the cost
// of wasted work, as a fraction of a request's value, and load the fraction of the server's concurrency in use. The margin is
// larger if reports are sparse: many instances may then send to the same server, and none sees the queue that they build up
// together.
func LatencyMargin(sparse bool, price, load float64) float64 {
	waste := wasteMargin
	if sparse {
		waste = sparseWasteMargin
	}
	return min(1+waste*price, idleMargin+fullMargin*load)
}

// MaxStretch returns the longest admissible response time of a request of the given value, 0 to 1, as a multiple of that of a
// server with free capacity.
func MaxStretch(sparse bool, value float64) float64 {
	full := FullStretch
	if sparse {
		full = sparseFullStretch
	}
	return 1 + (full-1)*math.Pow(value, valueExponent)
}

// Traffic holds the figures by which an instance estimates its share of the fleet's traffic.
type Traffic struct {
	OwnInFlight   float64 // this instance's requests in flight at reporting servers, as a decaying sum over reports
	TotalInFlight float64 // all requests in flight at reporting servers, as a decaying sum over reports
	TotalQuota    float64 // requests per second, summed over all tenants
	Instances     int
}

// AddReport adds a server's report of total requests in flight, of which own are this instance's on average.
func (t *Traffic) AddReport(own, total float64) {
	t.OwnInFlight = t.OwnInFlight*reportDecay + own
	t.TotalInFlight = t.TotalInFlight*reportDecay + total
}

// Share returns this instance's fraction of the fleet's traffic if perSecond requests arrive at it. It is the fraction of own
// requests among all that servers report, or close to an even share, 1/Instances, as long as they have reported few.
//
// If no server reports its load, it is the rate of arriving requests as a fraction of all tenants' quotas, and at least an even
// share. A tenant is then beyond its quota only if its fraction of the instance's traffic is higher than its fraction of the
// quotas, not because the instance is a busy one. All instances together then admit as much as the quotas or, if that is
// more, all arriving requests; overload control detects whether those are too many.
func (t *Traffic) Share(perSecond float64) float64 {
	even := 1 / float64(max(1, t.Instances))
	if t.OwnInFlight+t.TotalInFlight > 0 {
		return min(1, (t.OwnInFlight+priorRequests*even)/(t.TotalInFlight+priorRequests))
	}
	return min(1, max(even, perSecond/max(t.TotalQuota, math.SmallestNonzeroFloat64)))
}
