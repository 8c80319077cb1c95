// Package slowstart limits the requests that all instances together send to a server that has started recently. It does no
// input or output and reads no clock.
package slowstart

const (
	// unreportedFraction is the fraction of the overload limit that a starting server is sent without a report of free capacity:
	// a server usually has more than the lowest capacity that its age guarantees.
	unreportedFraction  = 0.375
	reportedFraction    = 0.5 // unreportedFraction if the server has reported free capacity
	allStartingFraction = 0.5 // fraction of arriving requests taken as the full capacity of a fleet of starting servers
)

// Fraction returns the lowest fraction of its full capacity that a process of the given age has. It grows linearly from initial
// to 1 within warmUp. A process whose start is not known is taken to have started long ago, and has its full capacity.
func Fraction(age float64, startKnown bool, initial, warmUp float64) float64 {
	if !startKnown || warmUp <= 0 {
		return 1
	}
	return min(1, initial+(1-initial)*max(0, age/warmUp))
}

// Rate returns the rate at which one instance may send requests to a starting server, multiplied by the number of servers. It is
// the rate of a warm server, times the fraction of its capacity that the server has now or, if that is more, times a safe part
// of the overload limit. That limit is overloadMultiple times the same fraction. sent and arriving are the instance's rates of
// attempts and of arriving requests, per millisecond. Over all instances the rates add up to the server's limit, apart from
// random variation, because their token buckets start at random levels.
//
// A server that has just reported free capacity gets more: reportedFraction of the overload limit is safe then, since it is not
// sent more than it can process.
func Rate(fraction, overloadMultiple float64, hasCapacity bool, sent, arriving float64) float64 {
	safe, rate := unreportedFraction, max(sent, allStartingFraction*arriving) // rate must not be 0 if all servers are starting
	if hasCapacity {
		safe, rate = reportedFraction, max(rate, arriving)
	}
	return max(fraction, min(1, fraction*overloadMultiple*safe)) * rate
}
