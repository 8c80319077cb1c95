// Package tokenbucket implements a token bucket. It reads no clock: times are in milliseconds from any fixed origin.
package tokenbucket

// Bucket is a token bucket that holds Value tokens at time At.
type Bucket struct{ Value, At float64 }

// Fill adds the tokens due at now, perMs of them per millisecond up to a total of full, and reports whether the bucket holds a
// whole token.
func (b *Bucket) Fill(now, perMs, full float64) bool {
	b.Value = min(full, b.Value+perMs*(now-b.At))
	b.At = now
	return b.Value >= 1
}

// Take does the same as Fill, and takes a token if there is one.
func (b *Bucket) Take(now, perMs, full float64) bool {
	if !b.Fill(now, perMs, full) {
		return false
	}
	b.Value--
	return true
}
