// Package tokenbucket is an allowance that fills steadily up to a limit. It reads no clock: times are in milliseconds from
// any fixed origin.
package tokenbucket

// Bucket holds Value tokens at At.
type Bucket struct{ Value, At float64 }

// Fill brings the bucket up to now, at a rate of perMs and never above full, and reports whether it holds a token.
func (b *Bucket) Fill(now, perMs, full float64) bool {
	b.Value = min(full, b.Value+perMs*(now-b.At))
	b.At = now
	return b.Value >= 1
}

// Take brings the bucket up to now and takes a token, if it holds one.
func (b *Bucket) Take(now, perMs, full float64) bool {
	if !b.Fill(now, perMs, full) {
		return false
	}
	b.Value--
	return true
}
