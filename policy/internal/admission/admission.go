// Package admission says what a request must find at a server to be sent there, and which part of the fleet's traffic an
// instance takes for its own. It does no input or output and reads no clock.
package admission

import "math"

// Limits on the response time over that of a free server.
const (
	FreeMultiple      = 1.75 // of the fleet's baseline, up to which a server counts as free
	FullStretch       = 4.5  // past which a queue only adds waiting
	sparseFullStretch = 2.5  // the same where reports are sparse
	valueExponent     = 0.4  // how the limit falls with a request's value
)

// Parts of LatencyMargin, in expected responses.
const (
	idleMargin        = 0.5  // at an idle server, where work in vain takes nothing from others
	fullMargin        = 2.0  // added to that when all its places are taken
	wasteMargin       = 8.5  // left beyond the expected response for each unit of the price of wasted work
	sparseWasteMargin = 15.0 // the same where reports are sparse: the server that looks best is seldom as good as it looks
)

// reportMemory is the weight that each report leaves to those before it in the traffic share.
const reportMemory = 0.99

// priorRequests stand for an unknown load in the traffic share: requests that are spread evenly over instances.
const priorRequests = 20.0

// LatencyMargin is how many times the expected response must fit into the time that a request has left, at that price of
// wasted work; load is the part of the server's places that are taken. Many instances with sparse reports send to the same
// servers before any learns of it, and nobody sees the queue that they make together.
func LatencyMargin(sparse bool, price, load float64) float64 {
	waste := wasteMargin
	if sparse {
		waste = sparseWasteMargin
	}
	return min(1+waste*price, idleMargin+fullMargin*load)
}

// MaxStretch is how many times longer than at a free server the response to a request of that value, 0 to 1, may take.
func MaxStretch(sparse bool, value float64) float64 {
	full := FullStretch
	if sparse {
		full = sparseFullStretch
	}
	return 1 + (full-1)*math.Pow(value, valueExponent)
}

// Traffic is what an instance knows of its own traffic and the fleet's.
type Traffic struct {
	OwnInFlight   float64 // this instance's requests at the servers that report, a fading sum over reports
	TotalInFlight float64 // all requests there, summed likewise
	TotalQuota    float64 // requests a second of all tenants
	Instances     int
}

// AddReport takes a server's report of all requests in flight there, of which own are this instance's on average.
func (t *Traffic) AddReport(own, total float64) {
	t.OwnInFlight = t.OwnInFlight*reportMemory + own
	t.TotalInFlight = t.TotalInFlight*reportMemory + total
}

// Share is this instance's part of the fleet's traffic, where perSecond requests arrive at it: own requests among all that
// servers report, and the even part (one instance's of so many) as long as they report few.
//
// Where no server reports, it is the part of the tenants' quotas that arrives here, or the even part where that is more. A
// tenant is then beyond its quota where it takes more of the instance's traffic than of the quotas, and not for being at a busy
// instance. Together the instances let pass what the quotas do, or all that comes, where that is more: whether it is too much is
// found by overload control.
func (t *Traffic) Share(perSecond float64) float64 {
	even := 1 / float64(max(1, t.Instances))
	if t.OwnInFlight+t.TotalInFlight > 0 {
		return min(1, (t.OwnInFlight+priorRequests*even)/(t.TotalInFlight+priorRequests))
	}
	return min(1, max(even, perSecond/max(t.TotalQuota, math.SmallestNonzeroFloat64)))
}
