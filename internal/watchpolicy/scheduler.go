package watchpolicy

import (
	"math/rand/v2"
	"time"

	"plankrouter/internal/backoff"
)

const (
	waitJitter        = 0.1     // random part of a wait, so that instances that get a response together do not poll again together
	latenessWeight    = 1.0 / 8 // weight of a new sample in the mean lateness, as in RFC 6298
	deviationWeight   = 1.0 / 4 // weight of a new sample in the mean deviation
	allowedDeviations = 4       // mean deviations beyond the mean lateness before a poll times out
)

// All instances poll the same source, and when it fails it fails for all of them. Delays and timeouts therefore grow with the
// number of instances.
const (
	retryPerInstance = 10 * time.Millisecond // spaces first polls and first retries: 100 per second in total
	// maxFirstRetry bounds the delay of first polls and first retries, because changes take effect at once and the drain grace
	// is short.
	maxFirstRetry       = 500 * time.Millisecond
	maxRetryPerInstance = 100 * time.Millisecond  // spaces retries at a source that stays down: at most 10 per second in total
	queuePerInstance    = 50 * time.Millisecond   // time of one poll in a queue for complete lists: 20 polls per second
	maxInstanceDelay    = 30 * time.Second        // bounds the maximum retry delay and the queue time for complete lists
	slotDuration        = 200 * time.Millisecond  // time of one poll in the queue of a shared discovery service
	queueDrainTime      = 2200 * time.Millisecond // bounds the sum of slots for a complete list: by then a full 2 s queue is empty
	maxWatchQueueTime   = 1900 * time.Millisecond // bounds the sum of slots for a new watch: a little less than effectiveAfterWait
)

// Poll describes the next request to discovery.
type Poll struct {
	Complete     bool          // requests the complete list without waiting; false = the changes since the known revision
	Wait         time.Duration // how long discovery holds the poll while there is no change; 0 with Complete
	Timeout      time.Duration // from sending the poll to the first byte of its response
	StallTimeout time.Duration // for establishing the connection, and for a pause within the response
	Delay        time.Duration // before the poll is sent
}

// Scheduler decides on the polls of one watch and holds its state. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	rng      *rand.Rand

	needsCompleteList bool
	started           bool      // the first poll of the source was made
	sourceChanged     bool      // the source was replaced, and the new one has not responded yet
	failures          int       // consecutive failed or rejected polls
	sourceOverloaded  bool      // the source has rejected a poll and not responded to a watch since
	pollStart         time.Time // when the current poll is sent
	overdueAt         time.Time // when the response to the current poll becomes overdue

	meanLateness      time.Duration // mean lateness of responses, counted from the end of a poll's wait
	latenessDeviation time.Duration // mean deviation of the lateness
	latenessKnown     bool          // the lateness of a response of this source has been measured

	// What Validity depends on.
	listAsOf       time.Time // all changes up to this time have been received; zero = no response yet
	freshUntil     time.Time // changes that were not received take effect no earlier; zero = no poll since the last response
	abandonedWatch bool      // the next poll replaces a watch whose response was not overdue

	// Evidence against the list.
	listed             map[string]float64        // process start time, in Unix ms, of each server that the list names as in service
	contradictions     map[string]*contradiction // by server; only servers in listed
	refreshes          int                       // consecutive refreshes that did not change the list
	nextRefreshAt      time.Time                 // earliest time of the next refresh
	refreshWanted      bool                      // a refresh is in progress or to be made
	pollIsRefresh      bool                      // the current poll is the wanted refresh
	refreshOutstanding bool                      // refresh still to be made: the last answered poll is older than its cause
}

// New returns a Scheduler, or an error if the settings are invalid. If complete is true, the first poll requests the
// complete list, as it must if no list is known.
func New(settings Settings, seed uint64, complete bool) (*Scheduler, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Scheduler{
		settings: settings.forInstances(), rng: rand.New(rand.NewPCG(seed, 0x6c697374)), needsCompleteList: complete,
		listed: map[string]float64{}, contradictions: map[string]*contradiction{},
	}, nil
}

// Next returns the next poll, to be sent Poll.Delay after now.
func (s *Scheduler) Next(now time.Time) Poll {
	poll := Poll{Complete: s.needsCompleteList || s.refreshWanted}
	poll.Timeout = s.responseTimeout(poll.Complete)
	poll.StallTimeout = s.settings.Timeout // includes no time in a queue, and is not learned
	poll.Delay = s.delay()
	if !poll.Complete && (s.started || !s.settings.Pushed) { // the first poll of an agent has no wait: the list may be old
		poll.Wait = s.wait(now)
		poll.Timeout += poll.Wait
	}
	s.started = true
	s.pollIsRefresh = s.refreshWanted
	s.pollStart = now.Add(poll.Delay)
	if s.settings.Instances > 1 { // a poll that may be queued is overdue only once it times out
		s.overdueAt = now.Add(poll.Delay + poll.Timeout)
	} else {
		s.overdueAt = now.Add(poll.Delay + poll.Wait + s.settings.MinTimeout)
	}
	s.updateFreshUntil(now, poll)
	return poll
}

// delay returns the delay before the next poll.
func (s *Scheduler) delay() time.Duration {
	switch {
	case s.failures > 0:
		return retryDelay(s.settings.RetryBackoff, s.settings.MaxRetryBackoff, s.failures, s.rng.Float64())
	case s.refreshWanted || !s.started: // all instances may start, or see the evidence, together, and each has a list meanwhile
		return s.randomSlot(retryPerInstance, maxFirstRetry)
	}
	return 0
}

// wait returns how long the next poll waits for changes; contradictions shorten it.
func (s *Scheduler) wait(now time.Time) time.Duration {
	full := s.settings.Wait / time.Duration(1+s.countContradictions(now))
	jittered := full - time.Duration(waitJitter*s.rng.Float64()*float64(full))
	return max(s.settings.MinWait, jittered).Truncate(time.Millisecond)
}

// randomSlot returns a random delay that spreads the polls of all instances over slots of the given length, up to limit.
func (s *Scheduler) randomSlot(slot, limit time.Duration) time.Duration {
	if s.settings.Instances == 1 {
		return 0
	}
	return time.Duration(s.rng.Float64() * float64(min(time.Duration(s.settings.Instances-1)*slot, limit)))
}

// responseTimeout returns how long after its wait a poll times out. The learned lateness applies only to a watch that
// continues at the same source. A new watch may be queued there, and an instance that times out in the queue has to start
// again at the end of it.
func (s *Scheduler) responseTimeout(complete bool) time.Duration {
	instances := time.Duration(s.settings.Instances)
	isNewWatch := !s.latenessKnown || s.sourceOverloaded || s.failures > 0
	switch {
	case instances == 1 && (complete || isNewWatch):
		return s.settings.Timeout // no other instance queues
	case complete:
		return max(s.settings.Timeout, min(instances*slotDuration, queueDrainTime), min(instances*queuePerInstance, maxInstanceDelay))
	case isNewWatch:
		return max(s.settings.Timeout, min(instances*slotDuration, maxWatchQueueTime))
	}
	return min(s.settings.Timeout, max(s.settings.MinTimeout, s.meanLateness+allowedDeviations*s.latenessDeviation))
}

// Responded records a response to poll, whatever its content. took is the time from sending the poll to the first byte of the
// response.
func (s *Scheduler) Responded(poll Poll, took time.Duration) {
	s.failures = 0
	s.refreshOutstanding = s.refreshWanted && !s.pollIsRefresh // the evidence came while another poll was in flight
	s.listAsOf = s.pollStart
	s.freshUntil = time.Time{}
	s.sourceChanged = false
	s.needsCompleteList = s.needsCompleteList && !poll.Complete
	s.sourceOverloaded = s.sourceOverloaded && poll.Complete // a complete list, served at once, proves no capacity for a watch
	if took < poll.Wait {                                    // a change ended the wait early: no sample of the lateness
		return
	}
	s.listAsOf = s.pollStart.Add(poll.Wait) // there was no change until then
	s.learnLateness(took - poll.Wait)
}

func (s *Scheduler) learnLateness(late time.Duration) {
	if !s.latenessKnown {
		s.latenessKnown = true
		s.meanLateness = late
		s.latenessDeviation = late / 2
		return
	}
	s.latenessDeviation += time.Duration(deviationWeight * float64((s.meanLateness-late).Abs()-s.latenessDeviation))
	s.meanLateness += time.Duration(latenessWeight * float64(late-s.meanLateness))
}

// Failed records a poll that returned no usable response. Another process may now serve the source's address, so that the
// changes since the last response are unknown: the next poll requests the complete list.
func (s *Scheduler) Failed() {
	s.failures++
	s.needsCompleteList = true
}

// Rejected records a poll that the source rejected for lack of capacity. The source is still the one that sent the list in
// force, and it can send all instances the few changes since then, but perhaps not the complete list. A refresh caused only
// by evidence is therefore not repeated.
func (s *Scheduler) Rejected() {
	s.failures++
	s.sourceOverloaded = true
	s.refreshWanted = false
}

// TimedOut records a poll that timed out on an established connection without any byte of a response. If the source has
// rejected polls since its last response to a watch, the poll was probably queued there and counts as rejected; otherwise the
// source may have failed silently.
func (s *Scheduler) TimedOut() {
	if s.sourceOverloaded && !s.settings.Pushed {
		s.Rejected()
		return
	}
	s.Failed()
}

// SourceChanged records that the next poll goes to another source, whose state and latency are unknown.
func (s *Scheduler) SourceChanged() {
	s.sourceChanged = true
	s.started = false
	s.failures = 0
	s.sourceOverloaded = false
	s.needsCompleteList = true
	s.latenessKnown = false
	s.refreshes = 0
	s.refreshWanted = false
}

// retryDelay returns the delay before the retry after the nth consecutive failure.
func retryDelay(first, limit time.Duration, nth int, random float64) time.Duration {
	p := backoff.Policy{First: float64(first), Max: float64(limit), Factor: 2, Jitter: 0.5}
	return time.Duration(p.Wait(nth, random))
}
