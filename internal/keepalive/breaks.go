package keepalive

import "time"

// lastByteDelays are the times for which the last byte of an attempt may be held back, in ascending order. detectionPrior
// is the prior probability that a break which went undetected within the previous delay is detected within this one; over
// all delays about half of the breaks are expected to be detected.
var lastByteDelays = [...]struct {
	length         time.Duration
	detectionPrior float64
}{
	{500 * time.Microsecond, 0.15},
	{time.Millisecond, 0.12},
	{2 * time.Millisecond, 0.17},
	{4 * time.Millisecond, 0.15},
	{8 * time.Millisecond, 0.06},
	{16 * time.Millisecond, 0.01},
}

const (
	onAnyConn    = iota // breaks that occur on new connections as well
	onReusedOnly        // additional breaks that occur on reused connections only
	breakKinds          // number of kinds
)

// breakStats holds the statistics of the breaks of one kind.
type breakStats struct {
	detected      [len(lastByteDelays)]tally // by delay: breaks that no shorter delay detects, and those of them that it detects
	detectionTime mean                       // seconds from the last byte until a break is detected
}

// add records a break of weight w on an attempt whose last byte was to be held back for held; took is the time until the
// break was detected.
func (b *breakStats) add(outcome Outcome, held, took time.Duration, w float32) {
	if outcome == BrokenAfterLastByte {
		b.detectionTime.add(w, took)
	}
	for i, d := range lastByteDelays {
		if outcome == BrokenBeforeLastByte && took <= d.length {
			b.detected[i].add(w, w)
			break
		}
		if held < d.length { // censored: it is unknown whether this delay would have detected the break
			break
		}
		b.detected[i].add(w, 0)
	}
}

func (b *breakStats) scale(by float32) {
	for i := range b.detected {
		b.detected[i].scale(by)
	}
	b.detectionTime.scale(by)
}
