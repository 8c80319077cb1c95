package keepalive

import (
	"sort"
	"time"
)

// loss is the expected loss of a call with the stakes whose connection breaks with probability p, usual of which new
// ones have as well, and the pause for which it is least. A pause that gains nothing is not taken.
func (b *Estimator) loss(s *RetryCost, k *posterior, p, usual float64) (float64, time.Duration) {
	late := func(seconds float64) float64 {
		if s.LatencyObjective <= 0 {
			return 0
		}
		return min(1, b.settings.Hurry*seconds/s.LatencyObjective.Seconds())
	}
	parts := [kinds]float64{anywhere: usual, added: p - usual}
	broken := [kinds]float64{1, 1}
	if !s.NonIdempotent {
		for kind := range broken {
			broken[kind] = min(1, b.settings.Retry+late(b.late[kind]))
		}
	}
	atOnce := parts[anywhere]*broken[anywhere] + parts[added]*broken[added]
	least, pause := atOnce, time.Duration(0)
	for i := range pauses {
		length := pauses[i].length
		if length > b.settings.MaxPause || p == 0 {
			break
		}
		early, loss := b.settings.Retry+late(length.Seconds()+k.dial), atOnce+late(length.Seconds())
		for kind, part := range parts {
			loss -= part * b.shown[kind][i] * (broken[kind] - early)
		}
		if loss < least {
			least, pause = loss, length
		}
	}
	return s.boundedWeight()*least + p*b.settings.Handshake, pause
}

// newConnLoss is the expected loss on a new connection.
func (b *Estimator) newConnLoss(s *RetryCost, k *posterior) float64 {
	loss, _ := b.loss(s, k, k.onNewConns, k.onNewConns)
	if s.LatencyObjective > 0 {
		loss += s.boundedWeight() * min(1, b.settings.Hurry*k.dial/s.LatencyObjective.Seconds())
	}
	return loss + b.settings.Handshake
}

// Take reports whether the call does better on this kept connection than on a new one. One that has been idle for
// longer does no better; one that has carried fewer calls may.
//
// The risk that grows with the calls carried is weighed as in age replacement (Barlow and Proschan, Mathematical Theory
// of Reliability, 1965): a new connection is paid for once and spares all the breaks that the old one would have had
// more until the new one has carried as many.
func (b *Estimator) Take(now time.Time, u Use, s RetryCost) bool {
	k := b.posterior(now, u.Server)
	p, usual := k.breaks(u)
	if u.isKept() {
		p = min(1, max(p, usual+float64(k.renewal[stepOf(float64(u.Carried))])))
	}
	if p <= usual {
		return true
	}
	loss, _ := b.loss(&s, k, p, usual)
	return loss <= b.newConnLoss(&s, k)
}

// Hold returns for how long the call's last byte is to be held back; 0 = write it with the rest.
func (b *Estimator) Hold(now time.Time, u Use, s RetryCost) time.Duration {
	k := b.posterior(now, u.Server)
	p, usual := k.breaks(u)
	_, pause := b.loss(&s, k, p, usual)
	return pause
}

// Limit returns the idle time, at most most, from which on a new connection to the provider is the better one. Kept
// ones that are idle for longer than the limit for the least stakes there are may be closed.
func (b *Estimator) Limit(now time.Time, server string, s RetryCost, most time.Duration) time.Duration {
	k := b.posterior(now, server)
	anew := b.newConnLoss(&s, k)
	step := sort.Search(steps, func(i int) bool { // the loss grows with the idle time
		p, usual := k.kept(i, stepOf(1))
		loss, _ := b.loss(&s, k, p, usual)
		return p > usual && loss > anew
	})
	if step == steps {
		return most
	}
	return min(most, time.Duration(froms[step]*float64(unit)))
}
