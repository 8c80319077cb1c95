// Package staleness decides how the list of providers is kept fresh: how long a call to the directory may wait for news,
// when a call that stays unanswered is given up, when the next one follows, and when what is seen of the providers speaks
// so clearly against the list that the whole of it is asked for at once. It does no input or output and reads no clock.
//
// A watch can die without a word: its answers are lost on a connection that stays open. Silence alone does not tell that
// from a directory with nothing to say, so a call asks to be answered after a bounded wait even then, and the time beyond
// that wait in which the answer usually comes is learned. What is silent for much longer is dead.
package staleness

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"plankrouter/internal/backoff"
	"plankrouter/internal/shutdown"
	"time"
)

const (
	waitJitter     = 0.1             // part of a wait left to chance: those told at once must not all come back at once
	latePart       = 1.0 / 8         // weight of a new sample of lateness in the mean, as in RFC 6298
	varPart        = 1.0 / 4         // and in the mean deviation
	varTimes       = 4               // deviations beyond the mean that an answer may take
	evidenceMemory = 3 * time.Second // in which a sign against the list counts without being repeated
	severalPart    = 10              // one in so many of the listed providers, at least two, must speak against the list

	// A directory that fails one instance fails all of them, and is asked by all. What one does is sized by how many do it:
	callerRetry = 10 * time.Millisecond   // a first call and a first retry come 100 times a second from all together,
	callerFirst = 500 * time.Millisecond  // or all within this: what changes meanwhile counts at once, and the grace is short;
	callerMost  = 100 * time.Millisecond  // at a directory that stays down they come no more than 10 times,
	callerQueue = 50 * time.Millisecond   // where calls wait in turn, one waits for all others, 20 a second,
	callerBound = 30 * time.Second        // and nobody waits longer than this;
	callerTurn  = 200 * time.Millisecond  // where a turn takes so long, as it did where 32 asked,
	callerLine  = 2200 * time.Millisecond // one waits at least until a line that is cut off after 2 s has gone;
	callerTold  = 1900 * time.Millisecond // a little less than toldAfter
)

// What the directory has to tell counts as told some time later, whether or not it arrives: the platform's protocol.
const (
	toldWithin = 6 * time.Second // of a change, while no call waits for it
	toldAfter  = 2 * time.Second // after the end of a call's wait
	toldMoved  = 4 * time.Second // after the word to ask another directory
	newsLag    = 2 * time.Second // in which what a directory has reaches a watch that it answers meanwhile: up to 1.8 s were seen

	leastGrace = 200 * time.Millisecond // by which an agent's watch goes
)

// Settings bound what is asked of the directory. What asking costs there decides on them: an agent on the own machine is
// asked every second for nothing, one service for thousands is not. Durations are positive.
type Settings struct {
	Wait               time.Duration // for which a call is held while there is no news
	MinWait            time.Duration // to which doubt about the list may shorten that
	Timeout            time.Duration // beyond that wait, at most, before a call is given up
	MinTimeout         time.Duration // and at least, however quickly the directory usually answers
	RetryBackoff       time.Duration // from a failure to the next call; doubled with each further one
	MaxRetryBackoff    time.Duration // bound on that
	RefreshInterval    time.Duration // between two calls that evidence brings on; doubled while they settle nothing
	MaxRefreshInterval time.Duration // bound on that
	EffectiveBy        time.Duration // after which all counts as told while no call waits for it; 0 = toldWithin, which bounds it
	Pushed             bool          // all counts as told as soon as it could be: the list is pushed
	Instances          int           // instances that ask the same directory, as far as is known; below 1 counts as 1
	DrainGrace         time.Duration // for which a provider that drains still takes work
}

// PushedSettings returns the settings for an agent on the own machine that the list is pushed to. It answers at once and costs nothing,
// so that no other instance matters; and what it has counts as told whether or not it was asked. Hence a watch that has died
// is found out, and the agent asked anew, within the grace of a drain: a wait, the time beyond it and the pause together are
// 0.7 of it at first, and a directory that has been down is heard again as soon. A grace too short for that is no reason to ask
// without a pause.
func PushedSettings(grace time.Duration) Settings {
	grace = max(grace, leastGrace)
	s := Settings{
		Wait: grace * 2 / 5, MinWait: grace / 5, Timeout: grace / 2, MinTimeout: grace / 5, RetryBackoff: grace / 10,
		MaxRetryBackoff: grace / 5, Pushed: true, Instances: 1,
	}
	usual := DefaultSettings()
	s.Wait, s.MinWait = min(s.Wait, usual.Wait), min(s.MinWait, usual.MinWait)
	s.Timeout, s.MinTimeout = min(s.Timeout, usual.Timeout), min(s.MinTimeout, usual.MinTimeout)
	s.RetryBackoff, s.MaxRetryBackoff = min(s.RetryBackoff, usual.RetryBackoff), min(s.MaxRetryBackoff, usual.MaxRetryBackoff)
	s.RefreshInterval, s.MaxRefreshInterval = usual.RefreshInterval, usual.MaxRefreshInterval
	return s
}

// DefaultSettings returns the settings of a single sidecar for a directory that it asks.
func DefaultSettings() Settings {
	return Settings{
		Wait: time.Second, MinWait: 250 * time.Millisecond, Timeout: time.Second,
		MinTimeout: 250 * time.Millisecond, RetryBackoff: 50 * time.Millisecond, MaxRetryBackoff: 2 * time.Second, RefreshInterval: time.Second,
		MaxRefreshInterval: 30 * time.Second, Instances: 1,
	}
}

// newSchedulerAmong returns the settings sized for the number of callers.
func (s Settings) forInstances() Settings {
	s.Instances = max(1, s.Instances)
	s.EffectiveBy = min(cmp.Or(s.EffectiveBy, toldWithin), toldWithin)
	n := time.Duration(s.Instances)
	s.RetryBackoff = max(s.RetryBackoff, min(n*callerRetry, callerFirst))
	s.MaxRetryBackoff = max(s.MaxRetryBackoff, min(n*callerMost, callerBound))
	return s
}

// slot is the time until this caller's turn among all, each of which gets so long.
func (scheduler *Scheduler) slot(each, most time.Duration) time.Duration {
	if scheduler.settings.Instances == 1 {
		return 0
	}
	return time.Duration(scheduler.rng.Float64() * float64(min(time.Duration(scheduler.settings.Instances-1)*each, most)))
}

// Check names the setting that makes no sense, by its key in a configuration.
func (s Settings) Check() error {
	for _, d := range []struct {
		key, bound  string
		least, most time.Duration
	}{
		{"least_wait_ms", "wait_ms", s.MinWait, s.Wait},
		{"least_patience_ms", "patience_ms", s.MinTimeout, s.Timeout},
		{"retry_ms", "retry_most_ms", s.RetryBackoff, s.MaxRetryBackoff},
		{"ask_ms", "ask_most_ms", s.RefreshInterval, s.MaxRefreshInterval},
	} {
		if d.least <= 0 || d.most < d.least {
			return fmt.Errorf("%s: %s does not lie above 0 and up to %s, %s", d.key, d.least, d.bound, d.most)
		}
	}
	return nil
}

// Poll is what to ask the directory next.
type Poll struct {
	Complete     bool          // the whole list, at once; else what has changed
	Wait         time.Duration // for news; 0 with Whole
	Timeout      time.Duration // after which the call is given up, unless its answer has begun
	StallTimeout time.Duration // after which it is given up while its connection comes up, or its answer has begun and pauses
	Delay        time.Duration // pause before it
}

// Evidence is what has been seen of a provider.
type Evidence uint8

// The signs. Alive speaks for the list's word that the provider is in service, the others against it.
const (
	Alive          Evidence = iota // it has answered as one in service does
	ConnectRefused                 // a connection was refused: no process is there
	Draining                       // it turned a probe away, as one does that drains
)

// Scheduler is the state of one watch. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	rng      *rand.Rand

	needsCompleteList bool
	started           bool          // the first call is made
	sourceChanged     bool          // to another directory, which has not been heard
	failures          int           // in a row
	sourceFull        bool          // the directory has turned a call away, and answered no watch since
	listAsOf          time.Time     // what the directory had to tell until then has arrived
	freshUntil        time.Time     // no later change counts as told before; zero = no call since the last answer
	pollStart         time.Time     // of the present call
	leftWatchInTime   bool          // a watch that was in time has been left for it
	overdueAt         time.Time     // from when on the present call's answer is overdue
	meanLateness      time.Duration // mean time that an answer takes beyond its wait
	latenessDeviation time.Duration // mean deviation of that
	latenessKnown     bool          // there has been a sample

	listed         map[string]float64        // start of the process of each provider that the list names as in service
	contradictions map[string]*contradiction // of those
	refreshes      int                       // calls in a row that evidence brought on and that settled nothing
	nextRefreshAt  time.Time                 // not before
	refreshWanted  bool                      // one of those is under way, or to be made
	pollIsRefresh  bool                      // and the present call is it
	refreshMissed  bool                      // it is still to be made: the last answer was to another call
}

// contradiction is the evidence that a provider is not in service.
type contradiction struct {
	lastSeen  time.Time // lately
	rechecked bool      // the directory has been asked and says that it is
}

// New returns a Keeper; whole says that the first call is for the whole list, since none is known.
func New(set Settings, seed uint64, whole bool) (*Scheduler, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Scheduler{
		settings: set.forInstances(), rng: rand.New(rand.NewPCG(seed, 0x6c697374)), needsCompleteList: whole, listed: map[string]float64{},
		contradictions: map[string]*contradiction{},
	}, nil
}

// Next is the call to make at now.
func (scheduler *Scheduler) Next(now time.Time) Poll {
	c := Poll{Complete: scheduler.needsCompleteList || scheduler.refreshWanted}
	c.Timeout, c.StallTimeout = scheduler.answerTimeout(c.Complete), scheduler.settings.Timeout // no turn is waited for there, and nothing is learned of it
	switch {
	case scheduler.failures > 0:
		c.Delay = wait(scheduler.settings.RetryBackoff, scheduler.settings.MaxRetryBackoff, scheduler.failures, scheduler.rng.Float64())
	case scheduler.refreshWanted || !scheduler.started: // all start together and see the same, and each has a list meanwhile
		c.Delay = scheduler.slot(callerRetry, callerFirst)
	}
	if !c.Complete && (scheduler.started || !scheduler.settings.Pushed) { // an agent is asked without a wait what has changed since a list of unknown age
		d := scheduler.settings.Wait / time.Duration(1+scheduler.countContradictions(now))
		c.Wait = max(scheduler.settings.MinWait, d-time.Duration(waitJitter*scheduler.rng.Float64()*float64(d))).Truncate(time.Millisecond)
		c.Timeout += c.Wait
	}
	scheduler.started, scheduler.pollIsRefresh = true, scheduler.refreshWanted
	if scheduler.overdueAt = now.Add(c.Delay + c.Wait + scheduler.settings.MinTimeout); scheduler.settings.Instances > 1 { // in line, a call is in time as long as it waits
		scheduler.overdueAt = now.Add(c.Delay + c.Timeout)
	}
	scheduler.pollStart = now.Add(c.Delay)
	until := now // of the list to begin with nobody knows the age; and an agent may have had the word since it was asked last
	switch {
	case c.Delay > 0 && scheduler.settings.Pushed || scheduler.listAsOf.IsZero() || scheduler.leftWatchInTime: // who leaves a watch would have been told
	case (c.Delay > 0 || c.Complete) && !scheduler.settings.Pushed:
		until = scheduler.listAsOf.Add(max(0, scheduler.settings.EffectiveBy-newsLag))
	default:
		until = scheduler.pollStart.Add(c.Wait + toldAfter)
	}
	if most := now.Add(toldMoved); scheduler.sourceChanged && most.Before(until) {
		until = most
	}
	if scheduler.freshUntil.IsZero() || until.Before(scheduler.freshUntil) { // the first call that was not answered decides, or the first pause
		scheduler.freshUntil = until
	}
	scheduler.leftWatchInTime = false
	return c
}

// Validity is what the list in force is worth.
type Validity struct {
	// ListUntil is the time until which it is all that counts as told. After that a provider that it names as in service may have
	// begun to drain, and the word of it may count as soon as it would have come, although it never did: the watch has been
	// silent for so long that it counts as broken. What stands for the list then is Proof.
	ListUntil time.Time
	// ProcessUntil is the time until which the process that answers at a provider's address is the one that the list names.
	ProcessUntil time.Time
}

// Validity is that of the list as the last call or pause began. On request, changes wait to be told for up to 6 s: a provider may have
// gone and be back under its id, unheard, at any time after the list was heard, and while it has gone is told before that
// it is back, nothing may go there. Where calls wait in turn at one service, a sidecar that starts in a herd may not be heard for
// long and has no connection from before: a provider that leaves after the start stays for its grace, so that another process
// takes longer to be there.
func (scheduler *Scheduler) Validity() Validity {
	switch {
	case scheduler.settings.Pushed:
		return Validity{scheduler.freshUntil, scheduler.freshUntil}
	case scheduler.listAsOf.IsZero():
		return Validity{scheduler.freshUntil, scheduler.freshUntil.Add(scheduler.settings.DrainGrace)}
	}
	return Validity{scheduler.freshUntil, scheduler.listAsOf.Add(-newsLag)}
}

// StartBy is until when a first byte may go to a provider whose drain would have that grace; zero = at any time, since the list
// is never in doubt.
func (t Validity) StartBy(p Liveness, grace time.Duration) time.Time {
	if t.ListUntil.IsZero() {
		return t.ListUntil
	}
	if p.ProbedAt.After(t.ListUntil) {
		t.ListUntil = p.ProbedAt
	}
	_, write := DrainLimits(grace)
	return t.ListUntil.Add(write)
}

// Liveness is what is known of one provider's process beside the list: when it was last there for certain.
type Liveness struct{ AliveAt, ProbedAt time.Time }

// Observe takes note of an answer to what was asked at that moment over a connection that had come up at since; known is that
// of Trust, probe says that it was a probe and answered as by one in service. Only a connection that was there while
// the list could be relied on, or while the process was known to be alive, leads to the process that the list names: another one may
// have come up in its place, at the same address and under the same id, and the list would say so. One that drains turns
// probes away, though it still serves requests, so that it began to drain after it was asked.
func (p *Liveness) Observe(asked, since, known time.Time, probe bool) {
	if since.IsZero() || since.After(known) && since.After(p.AliveAt) {
		return
	}
	if asked.After(p.AliveAt) { // answers come in any order
		p.AliveAt = asked
	}
	if probe && asked.After(p.ProbedAt) {
		p.ProbedAt = asked
	}
}

// FirstByteLead is the time in which a first byte that is about to be written goes out: the process may be held up there, and it has a part of
// a core. A connection usually comes up within it, too.
const FirstByteLead = shutdown.MaxStall + 50*time.Millisecond

// A grace that is hardly longer than FirstByteLead leaves one part in shortPart for first bytes, and one no longer than leastLead none.
const (
	shortPart = 4
	leastLead = 100 * time.Millisecond
)

// DrainLimits says for how long after the word of a drain, which has that grace, a provider may still be picked and a first byte
// still be written. The same goes for a word that may count unheard: from Sure on, or since the provider was last Probed. A connection that
// comes up too late is not written to.
func DrainLimits(grace time.Duration) (pick, write time.Duration) {
	write = max(0, grace-FirstByteLead, min(grace/shortPart, grace-leastLead))
	return write, write
}

func wait(first, most time.Duration, nth int, random float64) time.Duration {
	p := backoff.Policy{First: float64(first), Most: float64(most), Factor: 2, Jitter: 0.5}
	return time.Duration(p.Wait(nth, random))
}

// answerTimeout is the time beyond its wait after which an answer is not expected any more. What is learned holds for a watch
// that goes on. A new one may have to wait in turn, and whoever gives up there goes to the end of the queue.
func (scheduler *Scheduler) answerTimeout(whole bool) time.Duration {
	n := time.Duration(scheduler.settings.Instances)
	switch {
	case n == 1 && (whole || !scheduler.latenessKnown || scheduler.sourceFull || scheduler.failures > 0):
		return scheduler.settings.Timeout // there is no line
	case whole:
		return max(scheduler.settings.Timeout, min(n*callerTurn, callerLine), min(n*callerQueue, callerBound))
	case !scheduler.latenessKnown || scheduler.sourceFull || scheduler.failures > 0:
		return max(scheduler.settings.Timeout, min(n*callerTurn, callerTold))
	}
	return min(scheduler.settings.Timeout, max(scheduler.settings.MinTimeout, scheduler.meanLateness+varTimes*scheduler.latenessDeviation))
}

// Responded takes note of an answer to c that began after took, whatever it said.
func (scheduler *Scheduler) Responded(c Poll, took time.Duration) {
	scheduler.failures = 0
	scheduler.refreshMissed = scheduler.refreshWanted && !scheduler.pollIsRefresh // the evidence came as this was answered
	scheduler.listAsOf, scheduler.freshUntil, scheduler.sourceChanged = scheduler.pollStart, time.Time{}, false
	scheduler.needsCompleteList = scheduler.needsCompleteList && !c.Complete
	scheduler.sourceFull = scheduler.sourceFull && c.Complete // a whole list that was there already says nothing of the room for a watch
	if took < c.Wait {                                        // there was news: how late an answer is, it does not say
		return
	}
	scheduler.listAsOf = scheduler.pollStart.Add(c.Wait) // there was none until then
	late := took - c.Wait
	if !scheduler.latenessKnown {
		scheduler.latenessKnown, scheduler.meanLateness, scheduler.latenessDeviation = true, late, late/2
		return
	}
	scheduler.latenessDeviation += time.Duration(varPart * float64((scheduler.meanLateness-late).Abs()-scheduler.latenessDeviation))
	scheduler.meanLateness += time.Duration(latePart * float64(late-scheduler.meanLateness))
}

// Failed takes note of a call that brought nothing. Who answers at the directory's address may be another process by now,
// so that what has changed meanwhile is unknown: the next call is for the whole list.
func (scheduler *Scheduler) Failed() {
	scheduler.failures, scheduler.needsCompleteList = scheduler.failures+1, true
}

// Rejected takes note of a call that the directory had no room for. It is still the one that has told the list in force,
// and bears the few lines of what has changed since where it can't bear the whole list from everybody: a whole list that
// only evidence has asked for is not asked for again.
func (scheduler *Scheduler) Rejected() {
	scheduler.failures++
	scheduler.sourceFull, scheduler.refreshWanted = true, false
}

// TimedOut takes note of a call that was given up: its connection had come up, and nothing came over it. Where calls have been
// turned away since a watch was answered that is the line, and goes for a call that is turned away; else the directory that has
// told the list may be gone without a word.
func (scheduler *Scheduler) TimedOut() {
	if scheduler.sourceFull && !scheduler.settings.Pushed {
		scheduler.Rejected()
		return
	}
	scheduler.Failed()
}

// SourceChanged takes note that the next call goes to another directory, of which nothing is known.
func (scheduler *Scheduler) SourceChanged() {
	scheduler.failures, scheduler.needsCompleteList, scheduler.latenessKnown, scheduler.started, scheduler.sourceFull = 0, true, false, false, false
	scheduler.refreshes, scheduler.refreshWanted, scheduler.sourceChanged = 0, false, true
}

// SetListed takes the directory's word of one provider: whether the list now names it as in service, and the start of its
// process. What spoke against an earlier process is over.
func (scheduler *Scheduler) SetListed(provider string, ready bool, process float64) {
	was, known := scheduler.listed[provider]
	if !ready || known && was != process {
		delete(scheduler.contradictions, provider)
	}
	if delete(scheduler.listed, provider); ready {
		scheduler.listed[provider] = process
	}
}

// ReplaceListed takes a whole list: the providers that are in service, with the starts of their processes. Those that speak
// against it still have had their hearing.
func (scheduler *Scheduler) ReplaceListed(ready map[string]float64) {
	if !maps.Equal(scheduler.listed, ready) {
		scheduler.refreshes = 0
	}
	for p := range scheduler.listed {
		if _, still := ready[p]; !still {
			scheduler.SetListed(p, false, 0)
		}
	}
	for p, process := range ready {
		scheduler.SetListed(p, true, process)
	}
	for _, a := range scheduler.contradictions {
		a.rechecked = true
	}
	scheduler.refreshWanted, scheduler.refreshMissed = scheduler.refreshMissed, false
}

// contradiction counts the providers that speak against the list and about which the directory has not been asked since.
func (scheduler *Scheduler) countContradictions(now time.Time) (n int) {
	for _, a := range scheduler.contradictions {
		if !a.rechecked && now.Sub(a.lastSeen) <= evidenceMemory {
			n++
		}
	}
	return n
}

// mustKeepWatch reports whether evidence has to wait, as it does at a directory that others ask, too, while the watch is in time. All
// see the same then, and whoever leaves a watch for the whole list loses the word that is on its way and goes to the end of the
// line: with 32 callers, four servers that refused cost most of them every list for 10 to 20 s.
func (scheduler *Scheduler) mustKeepWatch(now time.Time) bool {
	return scheduler.settings.Instances > 1 && now.Before(scheduler.overdueAt)
}

// Observe takes a sign of a provider. True asks for the whole list now, even while a call is out: several providers speak
// against the list at once. It is bounded: never twice within Settings.Ask, less and less often while the directory
// stands by its list, not while it turns calls away, nor while it answers several callers in time; and a provider for which it
// stands by its list counts no more until it has answered or restarted. No sign takes a provider out of the list: a fault of
// this side makes all look gone.
func (scheduler *Scheduler) Observe(now time.Time, provider string, sign Evidence) bool {
	if _, listed := scheduler.listed[provider]; !listed {
		return false
	}
	if sign == Alive {
		delete(scheduler.contradictions, provider)
		return false
	}
	a := scheduler.contradictions[provider]
	if a == nil {
		a = new(contradiction)
		scheduler.contradictions[provider] = a
	}
	a.lastSeen = now
	several := max(min(2, len(scheduler.listed)), len(scheduler.listed)/severalPart)
	if a.rechecked || scheduler.refreshWanted || scheduler.sourceFull || now.Before(scheduler.nextRefreshAt) || scheduler.countContradictions(now) < several || scheduler.mustKeepWatch(now) {
		return false
	}
	scheduler.refreshes++
	scheduler.nextRefreshAt = now.Add(max(scheduler.settings.RefreshInterval, wait(2*scheduler.settings.RefreshInterval, scheduler.settings.MaxRefreshInterval, scheduler.refreshes, scheduler.rng.Float64())))
	scheduler.refreshWanted, scheduler.leftWatchInTime = true, now.Before(scheduler.overdueAt) && !scheduler.settings.Pushed
	return true
}
