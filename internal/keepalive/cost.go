package keepalive

import (
	"sort"
	"time"
)

// loss is the expected loss of an attempt of this cost whose connection breaks with probability p, usual of which new
// ones have as well, and the pause for which it is least. A pause that gains nothing is not taken.
func (e *Estimator) loss(cost *AttemptCost, k *posterior, p, usual float64) (float64, time.Duration) {
	late := func(seconds float64) float64 {
		if cost.LatencyObjective <= 0 {
			return 0
		}
		return min(1, e.settings.DelayCost*seconds/cost.LatencyObjective.Seconds())
	}
	parts := [kinds]float64{anywhere: usual, added: p - usual}
	broken := [kinds]float64{1, 1}
	if !cost.NonIdempotent {
		for kind := range broken {
			broken[kind] = min(1, e.settings.RetryCost+late(e.late[kind]))
		}
	}
	atOnce := parts[anywhere]*broken[anywhere] + parts[added]*broken[added]
	least, pause := atOnce, time.Duration(0)
	for i := range pauses {
		length := pauses[i].length
		if length > e.settings.MaxLastByteDelay || p == 0 {
			break
		}
		early, loss := e.settings.RetryCost+late(length.Seconds()+k.dial), atOnce+late(length.Seconds())
		for kind, part := range parts {
			loss -= part * e.shown[kind][i] * (broken[kind] - early)
		}
		if loss < least {
			least, pause = loss, length
		}
	}
	return cost.boundedWeight()*least + p*e.settings.HandshakeCost, pause
}

// newConnLoss is the expected loss on a new connection.
func (e *Estimator) newConnLoss(cost *AttemptCost, k *posterior) float64 {
	loss, _ := e.loss(cost, k, k.onNewConns, k.onNewConns)
	if cost.LatencyObjective > 0 {
		loss += cost.boundedWeight() * min(1, e.settings.DelayCost*k.dial/cost.LatencyObjective.Seconds())
	}
	return loss + e.settings.HandshakeCost
}

// ShouldReuse reports whether the attempt does better on this reused connection than on a new one. One that has been idle for
// longer does no better; one that has carried fewer attempts may.
//
// The risk that grows with the attempts carried is weighed as in age replacement (Barlow and Proschan, Mathematical Theory
// of Reliability, 1965): a new connection is paid for once and spares all the breaks that the old one would have had
// more until the new one has carried as many.
func (e *Estimator) ShouldReuse(now time.Time, u Use, cost AttemptCost) bool {
	k := e.posterior(now, u.Server)
	p, usual := k.breaks(u)
	if u.isKept() {
		p = min(1, max(p, usual+float64(k.renewal[stepOf(float64(u.Carried))])))
	}
	if p <= usual {
		return true
	}
	loss, _ := e.loss(&cost, k, p, usual)
	return loss <= e.newConnLoss(&cost, k)
}

// LastByteDelay returns for how long the attempt's last byte is to be held back; 0 = write it with the rest.
func (e *Estimator) LastByteDelay(now time.Time, u Use, cost AttemptCost) time.Duration {
	k := e.posterior(now, u.Server)
	p, usual := k.breaks(u)
	_, pause := e.loss(&cost, k, p, usual)
	return pause
}

// IdleLimit returns the idle time, at most limit, from which on a new connection to the server is the better one. Kept
// ones that are idle for longer than the result for the lowest cost there is may be closed.
func (e *Estimator) IdleLimit(now time.Time, server string, cost AttemptCost, limit time.Duration) time.Duration {
	k := e.posterior(now, server)
	anew := e.newConnLoss(&cost, k)
	step := sort.Search(steps, func(i int) bool { // the loss grows with the idle time
		p, usual := k.kept(i, stepOf(1))
		loss, _ := e.loss(&cost, k, p, usual)
		return p > usual && loss > anew
	})
	if step == steps {
		return limit
	}
	return min(limit, time.Duration(froms[step]*float64(unit)))
}
