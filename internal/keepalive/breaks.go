package keepalive

import "time"

// pauses are the lengths to choose from. Before there is evidence, a break that the one before has not shown is
// expected to show within one with the probability shows: half of all in the end.
var pauses = [...]struct {
	length time.Duration
	shows  float64
}{
	{500 * time.Microsecond, 0.15},
	{time.Millisecond, 0.12},
	{2 * time.Millisecond, 0.17},
	{4 * time.Millisecond, 0.15},
	{8 * time.Millisecond, 0.06},
	{16 * time.Millisecond, 0.01},
}

// The kinds of breaks: those that happen on new connections as well, and those that only reused ones add.
const (
	anywhere = iota
	added
	kinds
)

// breaks is what is known of the breaks of one kind.
type breaks struct {
	shown [len(pauses)]tally // by pause: breaks that the one before had not shown, and those of them that it did
	late  mean               // seconds until one shows, after the last byte
}

func (b *breaks) learn(how Outcome, held, took time.Duration, w float32) {
	if how == BrokenAfterLastByte {
		b.late.learn(w, took)
	}
	for i, p := range pauses {
		if how == BrokenBeforeLastByte && took <= p.length {
			b.shown[i].learn(w, w)
			break
		}
		if held < p.length { // whether it would have shown by then is not known
			break
		}
		b.shown[i].learn(w, 0)
	}
}

func (b *breaks) scale(by float32) {
	for i := range b.shown {
		b.shown[i].scale(by)
	}
	b.late.scale(by)
}
