// Package slowstart says what all instances together may send to a server that has started a short while ago. It does no
// input or output and reads no clock.
package slowstart

const (
	unreportedFraction  = 0.375 // of what overloads a cold server that may be sent without a report of its load: it bears more than it must
	reportedFraction    = 0.5   // of what overloads it that may be sent where it has reported free capacity
	allStartingFraction = 0.5   // of the arriving requests, taken for what a fleet of cold servers alone bears when warm
)

// Fraction is the part of its capacity that a process of that age bears at least: it grows from initial to 1 within warmUp. A
// process whose start is not known, as of those that began long ago, bears all.
func Fraction(age float64, startKnown bool, initial, warmUp float64) float64 {
	if !startKnown || warmUp <= 0 {
		return 1
	}
	return min(1, initial+(1-initial)*max(0, age/warmUp))
}

// Rate is what of a fleet's requests a millisecond may go to a cold server, over the number of servers: a warm server's part,
// times the fraction that it must bear by now, where overloadMultiple times that overloads it. sent and arriving are the rates
// of requests that are sent on and that come. All instances together send that to it, give or take chance: their buckets start
// as full as they are at any moment.
//
// A server that has just reported free capacity gets more: reportedFraction of what overloads it is safe, and no more reaches it than
// it can do.
func Rate(fraction, overloadMultiple float64, hasCapacity bool, sent, arriving float64) float64 {
	safe, rate := unreportedFraction, max(sent, allStartingFraction*arriving) // a fleet of cold servers alone gets some
	if hasCapacity {
		safe, rate = reportedFraction, max(rate, arriving)
	}
	return max(fraction, min(1, fraction*overloadMultiple*safe)) * rate
}
