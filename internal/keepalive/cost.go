package keepalive

import (
	"sort"
	"time"
)

// loss is the expected loss of a call with the stakes whose connection breaks with probability p, usual of which new
// ones have as well, and the pause for which it is least. A pause that gains nothing is not taken.
func (b *Book) loss(s *Stakes, k *belief, p, usual float64) (float64, time.Duration) {
	late := func(seconds float64) float64 {
		if s.Aim <= 0 {
			return 0
		}
		return min(1, b.set.Hurry*seconds/s.Aim.Seconds())
	}
	parts := [kinds]float64{anywhere: usual, added: p - usual}
	broken := [kinds]float64{1, 1}
	if !s.Once {
		for kind := range broken {
			broken[kind] = min(1, b.set.Retry+late(b.late[kind]))
		}
	}
	atOnce := parts[anywhere]*broken[anywhere] + parts[added]*broken[added]
	least, pause := atOnce, time.Duration(0)
	for i := range pauses {
		length := pauses[i].length
		if length > b.set.MostPause || p == 0 {
			break
		}
		early, loss := b.set.Retry+late(length.Seconds()+k.dial), atOnce+late(length.Seconds())
		for kind, part := range parts {
			loss -= part * b.shown[kind][i] * (broken[kind] - early)
		}
		if loss < least {
			least, pause = loss, length
		}
	}
	return s.worth()*least + p*b.set.Handshake, pause
}

// anew is the expected loss on a new connection.
func (b *Book) anew(s *Stakes, k *belief) float64 {
	loss, _ := b.loss(s, k, k.fresh, k.fresh)
	if s.Aim > 0 {
		loss += s.worth() * min(1, b.set.Hurry*k.dial/s.Aim.Seconds())
	}
	return loss + b.set.Handshake
}

// Take reports whether the call does better on this kept connection than on a new one. One that has been idle for
// longer does no better; one that has carried fewer calls may.
//
// The risk that grows with the calls carried is weighed as in age replacement (Barlow and Proschan, Mathematical Theory
// of Reliability, 1965): a new connection is paid for once and spares all the breaks that the old one would have had
// more until the new one has carried as many.
func (b *Book) Take(now time.Time, u Use, s Stakes) bool {
	k := b.belief(now, u.Provider)
	p, usual := k.breaks(u)
	if u.kept() {
		p = min(1, max(p, usual+float64(k.renewal[stepOf(float64(u.Carried))])))
	}
	if p <= usual {
		return true
	}
	loss, _ := b.loss(&s, k, p, usual)
	return loss <= b.anew(&s, k)
}

// Hold returns for how long the call's last byte is to be held back; 0 = write it with the rest.
func (b *Book) Hold(now time.Time, u Use, s Stakes) time.Duration {
	k := b.belief(now, u.Provider)
	p, usual := k.breaks(u)
	_, pause := b.loss(&s, k, p, usual)
	return pause
}

// Limit returns the idle time, at most most, from which on a new connection to the provider is the better one. Kept
// ones that are idle for longer than the limit for the least stakes there are may be closed.
func (b *Book) Limit(now time.Time, provider string, s Stakes, most time.Duration) time.Duration {
	k := b.belief(now, provider)
	anew := b.anew(&s, k)
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
