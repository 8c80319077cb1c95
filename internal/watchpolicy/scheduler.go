package watchpolicy

import (
	"math/rand/v2"
	"time"

	"plankrouter/internal/backoff"
)

const (
	waitJitter        = 0.1     // part of a wait that is random: instances answered at once must not all come back at once
	latenessWeight    = 1.0 / 8 // of a new sample in the mean, as in RFC 6298
	deviationWeight   = 1.0 / 4 // and in the mean deviation
	allowedDeviations = 4       // beyond the mean that an answer may take
)

// A source that fails one instance fails all of them, and is polled by all. What one instance does is sized by their number.
const (
	retryPerInstance    = 10 * time.Millisecond   // spaces first polls and first retries: 100 a second from all together
	maxFirstRetry       = 500 * time.Millisecond  // bounds that: what changes meanwhile takes effect at once, and the grace is short
	maxRetryPerInstance = 100 * time.Millisecond  // spaces the retries at a source that remains down: at most 10 a second
	queuePerInstance    = 50 * time.Millisecond   // is a poll's part of the queue for complete lists, 20 a second
	maxInstanceDelay    = 30 * time.Second        // bounds the delay of any instance
	slotDuration        = 200 * time.Millisecond  // spaces the polls of instances that share one discovery service
	queueDrainTime      = 2200 * time.Millisecond // is for how long a poll for a complete list waits until a queue that is cut off after 2 s has gone
	maxWatchQueueTime   = 1900 * time.Millisecond // bounds the same for a watch: a little less than effectiveAfterWait
)

// Poll is what to ask of discovery next.
type Poll struct {
	Complete     bool          // the complete list, at once; else what has changed
	Wait         time.Duration // for changes; 0 with Complete
	Timeout      time.Duration // after which the poll is given up, unless its answer has begun
	StallTimeout time.Duration // after which it is given up while its connection comes up, or its answer has begun and pauses
	Delay        time.Duration // pause before it
}

// Scheduler is the state of one watch. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	rng      *rand.Rand

	needsCompleteList bool
	started           bool      // the first poll was made
	sourceChanged     bool      // and the new one has not answered
	failures          int       // in a row
	sourceFull        bool      // it has rejected a poll, and answered no watch since
	pollStart         time.Time // of the present poll
	overdueAt         time.Time // from when on its answer is overdue

	meanLateness      time.Duration // that an answer takes beyond its wait
	latenessDeviation time.Duration // mean deviation of that
	latenessKnown     bool          // there has been a sample

	// What Validity depends on.
	listAsOf        time.Time // all changes until then have arrived; zero = no answer yet
	freshUntil      time.Time // no later change has taken effect before; zero = no poll since the last answer
	leftWatchInTime bool      // a watch whose answer was not overdue was left for the present poll

	// Evidence against the list.
	listed         map[string]float64        // start of the process of each server that the list names as in service
	contradictions map[string]*contradiction // of those
	refreshes      int                       // polls in a row that evidence caused and that settled nothing
	nextRefreshAt  time.Time                 // not before
	refreshWanted  bool                      // one of those is under way, or to be made
	pollIsRefresh  bool                      // and the present poll is it
	refreshMissed  bool                      // it is still to be made: the last answer was to another poll
}

// New returns a Scheduler; complete says that the first poll is for the complete list, since none is known.
func New(settings Settings, seed uint64, complete bool) (*Scheduler, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Scheduler{
		settings: settings.forInstances(), rng: rand.New(rand.NewPCG(seed, 0x6c697374)), needsCompleteList: complete,
		listed: map[string]float64{}, contradictions: map[string]*contradiction{},
	}, nil
}

// Next returns the poll to make at now.
func (s *Scheduler) Next(now time.Time) Poll {
	poll := Poll{Complete: s.needsCompleteList || s.refreshWanted}
	poll.Timeout = s.answerTimeout(poll.Complete)
	poll.StallTimeout = s.settings.Timeout // nobody queues there, and nothing is learned of it
	poll.Delay = s.delay()
	if !poll.Complete && (s.started || !s.settings.Pushed) { // an agent answers at once what has changed since a list of unknown age
		poll.Wait = s.wait(now)
		poll.Timeout += poll.Wait
	}
	s.started = true
	s.pollIsRefresh = s.refreshWanted
	s.pollStart = now.Add(poll.Delay)
	if s.settings.Instances > 1 { // in a queue, a poll is in time as long as it waits
		s.overdueAt = now.Add(poll.Delay + poll.Timeout)
	} else {
		s.overdueAt = now.Add(poll.Delay + poll.Wait + s.settings.MinTimeout)
	}
	s.updateFreshUntil(now, poll)
	return poll
}

// delay returns the pause before the next poll.
func (s *Scheduler) delay() time.Duration {
	switch {
	case s.failures > 0:
		return retryDelay(s.settings.RetryBackoff, s.settings.MaxRetryBackoff, s.failures, s.rng.Float64())
	case s.refreshWanted || !s.started: // all instances start together and see the same, and each has a list meanwhile
		return s.randomSlot(retryPerInstance, maxFirstRetry)
	}
	return 0
}

// wait returns for how long the next poll waits for changes.
func (s *Scheduler) wait(now time.Time) time.Duration {
	full := s.settings.Wait / time.Duration(1+s.countContradictions(now))
	jittered := full - time.Duration(waitJitter*s.rng.Float64()*float64(full))
	return max(s.settings.MinWait, jittered).Truncate(time.Millisecond)
}

// randomSlot returns a delay that spreads all instances over slots of that length, within limit.
func (s *Scheduler) randomSlot(slot, limit time.Duration) time.Duration {
	if s.settings.Instances == 1 {
		return 0
	}
	return time.Duration(s.rng.Float64() * float64(min(time.Duration(s.settings.Instances-1)*slot, limit)))
}

// answerTimeout returns the time beyond its wait after which an answer is not expected any more. What is learned holds for a watch that
// goes on. A new one may have to queue, and whoever gives up there goes to the end of the queue.
func (s *Scheduler) answerTimeout(complete bool) time.Duration {
	instances := time.Duration(s.settings.Instances)
	newWatch := !s.latenessKnown || s.sourceFull || s.failures > 0
	switch {
	case instances == 1 && (complete || newWatch):
		return s.settings.Timeout // there is no queue
	case complete:
		return max(s.settings.Timeout, min(instances*slotDuration, queueDrainTime), min(instances*queuePerInstance, maxInstanceDelay))
	case newWatch:
		return max(s.settings.Timeout, min(instances*slotDuration, maxWatchQueueTime))
	}
	return min(s.settings.Timeout, max(s.settings.MinTimeout, s.meanLateness+allowedDeviations*s.latenessDeviation))
}

// Responded takes note of an answer to poll that began after took, whatever it said.
func (s *Scheduler) Responded(poll Poll, took time.Duration) {
	s.failures = 0
	s.refreshMissed = s.refreshWanted && !s.pollIsRefresh // the evidence came as this was answered
	s.listAsOf = s.pollStart
	s.freshUntil = time.Time{}
	s.sourceChanged = false
	s.needsCompleteList = s.needsCompleteList && !poll.Complete
	s.sourceFull = s.sourceFull && poll.Complete // a complete list that was there already says nothing of the room for a watch
	if took < poll.Wait {                        // there was a change: how late an answer is, it does not say
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

// Failed takes note of a poll that brought nothing. Another process may answer at the source's address by now, so that what has changed
// meanwhile is unknown: the next poll is for the complete list.
func (s *Scheduler) Failed() {
	s.failures++
	s.needsCompleteList = true
}

// Rejected takes note of a poll that the source had no room for. It is still the one that has sent the list in force, and bears the few
// changes since where it can't bear the complete list from everybody: a complete list that only evidence has asked for is not asked for
// again.
func (s *Scheduler) Rejected() {
	s.failures++
	s.sourceFull = true
	s.refreshWanted = false
}

// TimedOut takes note of a poll that was given up: its connection had come up, and nothing came over it. Where polls have been rejected
// since a watch was answered that is the queue, and counts as a rejection; else the source of the list may have vanished silently.
func (s *Scheduler) TimedOut() {
	if s.sourceFull && !s.settings.Pushed {
		s.Rejected()
		return
	}
	s.Failed()
}

// SourceChanged takes note that the next poll goes to another source, of which nothing is known.
func (s *Scheduler) SourceChanged() {
	s.sourceChanged = true
	s.started = false
	s.failures = 0
	s.sourceFull = false
	s.needsCompleteList = true
	s.latenessKnown = false
	s.refreshes = 0
	s.refreshWanted = false
}

// retryDelay returns the delay before the retry after the nth failure in a row.
func retryDelay(first, limit time.Duration, nth int, random float64) time.Duration {
	p := backoff.Policy{First: float64(first), Max: float64(limit), Factor: 2, Jitter: 0.5}
	return time.Duration(p.Wait(nth, random))
}
