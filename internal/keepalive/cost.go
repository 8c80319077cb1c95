package keepalive

import (
	"sort"
	"time"
)

// loss returns the lowest expected loss of an attempt whose connection breaks with probability p, and the last-byte delay
// that achieves it; 0 if no delay lowers the loss. baseline is the part of p that a new connection has as well.
func (e *Estimator) loss(cost *AttemptCost, post *posterior, p, baseline float64) (float64, time.Duration) {
	delayLoss := func(seconds float64) float64 {
		if cost.LatencyObjective <= 0 {
			return 0
		}
		return min(1, e.settings.DelayCost*seconds/cost.LatencyObjective.Seconds())
	}
	probabilities := [breakKinds]float64{onAnyConn: baseline, onReusedOnly: p - baseline}
	brokenLoss := [breakKinds]float64{1, 1}
	if !cost.NonIdempotent {
		for kind := range brokenLoss {
			brokenLoss[kind] = min(1, e.settings.RetryCost+delayLoss(e.detectionTime[kind]))
		}
	}
	undelayedLoss := probabilities[onAnyConn]*brokenLoss[onAnyConn] + probabilities[onReusedOnly]*brokenLoss[onReusedOnly]
	minLoss, delay := undelayedLoss, time.Duration(0)
	for i := range lastByteDelays {
		length := lastByteDelays[i].length
		if length > e.settings.MaxLastByteDelay || p == 0 {
			break
		}
		earlyLoss, loss := e.settings.RetryCost+delayLoss(length.Seconds()+post.dial), undelayedLoss+delayLoss(length.Seconds())
		for kind, probability := range probabilities {
			loss -= probability * e.detectedFraction[kind][i] * (brokenLoss[kind] - earlyLoss)
		}
		if loss < minLoss {
			minLoss, delay = loss, length
		}
	}
	return cost.boundedWeight()*minLoss + p*e.settings.HandshakeCost, delay
}

// newConnLoss returns the expected loss of an attempt on a new connection, including the handshake.
func (e *Estimator) newConnLoss(cost *AttemptCost, post *posterior) float64 {
	loss, _ := e.loss(cost, post, post.onNewConns, post.onNewConns)
	if cost.LatencyObjective > 0 {
		loss += cost.boundedWeight() * min(1, e.settings.DelayCost*post.dial/cost.LatencyObjective.Seconds())
	}
	return loss + e.settings.HandshakeCost
}

// ShouldReuse reports whether the expected loss on this reused connection is at most that on a new one. If it reports
// false, it does so for a connection that has been idle for longer, too, but not always for one that has carried fewer attempts.
//
// The risk that grows with the attempts carried is weighed as in age replacement (Barlow and Proschan, Mathematical Theory
// of Reliability, 1965): the handshake is paid once, and the new connection avoids the additional breaks of the old one
// until it has carried as many attempts.
func (e *Estimator) ShouldReuse(now time.Time, u Use, cost AttemptCost) bool {
	post := e.posterior(now, u.Server)
	p, baseline := post.breakProbability(u)
	if u.isReused() {
		p = min(1, max(p, baseline+float64(post.renewal[stepOf(float64(u.Carried))])))
	}
	if p <= baseline {
		return true
	}
	loss, _ := e.loss(&cost, post, p, baseline)
	return loss <= e.newConnLoss(&cost, post)
}

// LastByteDelay returns for how long to hold back the last byte of an attempt on u; 0 = write it with the rest.
func (e *Estimator) LastByteDelay(now time.Time, u Use, cost AttemptCost) time.Duration {
	post := e.posterior(now, u.Server)
	p, baseline := post.breakProbability(u)
	_, delay := e.loss(&cost, post, p, baseline)
	return delay
}

// IdleLimit returns the idle time, at most limit, from which a new connection to the server has the lower expected loss.
// Connections that are idle for longer than the result for the lowest cost in use can be closed.
func (e *Estimator) IdleLimit(now time.Time, server string, cost AttemptCost, limit time.Duration) time.Duration {
	post := e.posterior(now, server)
	newLoss := e.newConnLoss(&cost, post)
	step := sort.Search(stepCount, func(i int) bool { // the loss does not fall as the idle time grows
		p, baseline := post.onReusedConn(i, stepOf(1))
		loss, _ := e.loss(&cost, post, p, baseline)
		return p > baseline && loss > newLoss
	})
	if step == stepCount {
		return limit
	}
	return min(limit, time.Duration(stepStarts[step]*float64(idleUnit)))
}
