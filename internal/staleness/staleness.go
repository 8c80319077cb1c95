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
	waitJitter  = 0.1             // part of a wait left to chance: those told at once must not all come back at once
	latePart    = 1.0 / 8         // weight of a new sample of lateness in the mean, as in RFC 6298
	varPart     = 1.0 / 4         // and in the mean deviation
	varTimes    = 4               // deviations beyond the mean that an answer may take
	memory      = 3 * time.Second // in which a sign against the list counts without being repeated
	severalPart = 10              // one in so many of the listed providers, at least two, must speak against the list

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

// among returns the settings sized for the number of callers.
func (s Settings) among() Settings {
	s.Instances = max(1, s.Instances)
	s.EffectiveBy = min(cmp.Or(s.EffectiveBy, toldWithin), toldWithin)
	n := time.Duration(s.Instances)
	s.RetryBackoff = max(s.RetryBackoff, min(n*callerRetry, callerFirst))
	s.MaxRetryBackoff = max(s.MaxRetryBackoff, min(n*callerMost, callerBound))
	return s
}

// turn is the time until this caller's turn among all, each of which gets so long.
func (k *Scheduler) turn(each, most time.Duration) time.Duration {
	if k.set.Instances == 1 {
		return 0
	}
	return time.Duration(k.rng.Float64() * float64(min(time.Duration(k.set.Instances-1)*each, most)))
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
	set Settings
	rng *rand.Rand

	whole    bool
	started  bool          // the first call is made
	moved    bool          // to another directory, which has not been heard
	failures int           // in a row
	full     bool          // the directory has turned a call away, and answered no watch since
	asOf     time.Time     // what the directory had to tell until then has arrived
	sure     time.Time     // no later change counts as told before; zero = no call since the last answer
	began    time.Time     // of the present call
	left     bool          // a watch that was in time has been left for it
	lateAt   time.Time     // from when on the present call's answer is overdue
	late     time.Duration // mean time that an answer takes beyond its wait
	spread   time.Duration // mean deviation of that
	known    bool          // there has been a sample

	listed  map[string]float64  // start of the process of each provider that the list names as in service
	doubted map[string]*against // of those
	asks    int                 // calls in a row that evidence brought on and that settled nothing
	askAt   time.Time           // not before
	asked   bool                // one of those is under way, or to be made
	asking  bool                // and the present call is it
	owed    bool                // it is still to be made: the last answer was to another call
}

// against is the evidence that a provider is not in service.
type against struct {
	at      time.Time // lately
	settled bool      // the directory has been asked and says that it is
}

// New returns a Keeper; whole says that the first call is for the whole list, since none is known.
func New(set Settings, seed uint64, whole bool) (*Scheduler, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Scheduler{
		set: set.among(), rng: rand.New(rand.NewPCG(seed, 0x6c697374)), whole: whole, listed: map[string]float64{},
		doubted: map[string]*against{},
	}, nil
}

// Next is the call to make at now.
func (k *Scheduler) Next(now time.Time) Poll {
	c := Poll{Complete: k.whole || k.asked}
	c.Timeout, c.StallTimeout = k.patience(c.Complete), k.set.Timeout // no turn is waited for there, and nothing is learned of it
	switch {
	case k.failures > 0:
		c.Delay = wait(k.set.RetryBackoff, k.set.MaxRetryBackoff, k.failures, k.rng.Float64())
	case k.asked || !k.started: // all start together and see the same, and each has a list meanwhile
		c.Delay = k.turn(callerRetry, callerFirst)
	}
	if !c.Complete && (k.started || !k.set.Pushed) { // an agent is asked without a wait what has changed since a list of unknown age
		d := k.set.Wait / time.Duration(1+k.against(now))
		c.Wait = max(k.set.MinWait, d-time.Duration(waitJitter*k.rng.Float64()*float64(d))).Truncate(time.Millisecond)
		c.Timeout += c.Wait
	}
	k.started, k.asking = true, k.asked
	if k.lateAt = now.Add(c.Delay + c.Wait + k.set.MinTimeout); k.set.Instances > 1 { // in line, a call is in time as long as it waits
		k.lateAt = now.Add(c.Delay + c.Timeout)
	}
	k.began = now.Add(c.Delay)
	until := now // of the list to begin with nobody knows the age; and an agent may have had the word since it was asked last
	switch {
	case c.Delay > 0 && k.set.Pushed || k.asOf.IsZero() || k.left: // who leaves a watch would have been told
	case (c.Delay > 0 || c.Complete) && !k.set.Pushed:
		until = k.asOf.Add(max(0, k.set.EffectiveBy-newsLag))
	default:
		until = k.began.Add(c.Wait + toldAfter)
	}
	if most := now.Add(toldMoved); k.moved && most.Before(until) {
		until = most
	}
	if k.sure.IsZero() || until.Before(k.sure) { // the first call that was not answered decides, or the first pause
		k.sure = until
	}
	k.left = false
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
func (k *Scheduler) Validity() Validity {
	switch {
	case k.set.Pushed:
		return Validity{k.sure, k.sure}
	case k.asOf.IsZero():
		return Validity{k.sure, k.sure.Add(k.set.DrainGrace)}
	}
	return Validity{k.sure, k.asOf.Add(-newsLag)}
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

// patience is the time beyond its wait after which an answer is not expected any more. What is learned holds for a watch
// that goes on. A new one may have to wait in turn, and whoever gives up there goes to the end of the queue.
func (k *Scheduler) patience(whole bool) time.Duration {
	n := time.Duration(k.set.Instances)
	switch {
	case n == 1 && (whole || !k.known || k.full || k.failures > 0):
		return k.set.Timeout // there is no line
	case whole:
		return max(k.set.Timeout, min(n*callerTurn, callerLine), min(n*callerQueue, callerBound))
	case !k.known || k.full || k.failures > 0:
		return max(k.set.Timeout, min(n*callerTurn, callerTold))
	}
	return min(k.set.Timeout, max(k.set.MinTimeout, k.late+varTimes*k.spread))
}

// Responded takes note of an answer to c that began after took, whatever it said.
func (k *Scheduler) Responded(c Poll, took time.Duration) {
	k.failures = 0
	k.owed = k.asked && !k.asking // the evidence came as this was answered
	k.asOf, k.sure, k.moved = k.began, time.Time{}, false
	k.whole = k.whole && !c.Complete
	k.full = k.full && c.Complete // a whole list that was there already says nothing of the room for a watch
	if took < c.Wait {            // there was news: how late an answer is, it does not say
		return
	}
	k.asOf = k.began.Add(c.Wait) // there was none until then
	late := took - c.Wait
	if !k.known {
		k.known, k.late, k.spread = true, late, late/2
		return
	}
	k.spread += time.Duration(varPart * float64((k.late-late).Abs()-k.spread))
	k.late += time.Duration(latePart * float64(late-k.late))
}

// Failed takes note of a call that brought nothing. Who answers at the directory's address may be another process by now,
// so that what has changed meanwhile is unknown: the next call is for the whole list.
func (k *Scheduler) Failed() { k.failures, k.whole = k.failures+1, true }

// Rejected takes note of a call that the directory had no room for. It is still the one that has told the list in force,
// and bears the few lines of what has changed since where it can't bear the whole list from everybody: a whole list that
// only evidence has asked for is not asked for again.
func (k *Scheduler) Rejected() {
	k.failures++
	k.full, k.asked = true, false
}

// TimedOut takes note of a call that was given up: its connection had come up, and nothing came over it. Where calls have been
// turned away since a watch was answered that is the line, and goes for a call that is turned away; else the directory that has
// told the list may be gone without a word.
func (k *Scheduler) TimedOut() {
	if k.full && !k.set.Pushed {
		k.Rejected()
		return
	}
	k.Failed()
}

// SourceChanged takes note that the next call goes to another directory, of which nothing is known.
func (k *Scheduler) SourceChanged() {
	k.failures, k.whole, k.known, k.started, k.full = 0, true, false, false, false
	k.asks, k.asked, k.moved = 0, false, true
}

// SetListed takes the directory's word of one provider: whether the list now names it as in service, and the start of its
// process. What spoke against an earlier process is over.
func (k *Scheduler) SetListed(provider string, ready bool, process float64) {
	was, known := k.listed[provider]
	if !ready || known && was != process {
		delete(k.doubted, provider)
	}
	if delete(k.listed, provider); ready {
		k.listed[provider] = process
	}
}

// ReplaceListed takes a whole list: the providers that are in service, with the starts of their processes. Those that speak
// against it still have had their hearing.
func (k *Scheduler) ReplaceListed(ready map[string]float64) {
	if !maps.Equal(k.listed, ready) {
		k.asks = 0
	}
	for p := range k.listed {
		if _, still := ready[p]; !still {
			k.SetListed(p, false, 0)
		}
	}
	for p, process := range ready {
		k.SetListed(p, true, process)
	}
	for _, a := range k.doubted {
		a.settled = true
	}
	k.asked, k.owed = k.owed, false
}

// against counts the providers that speak against the list and about which the directory has not been asked since.
func (k *Scheduler) against(now time.Time) (n int) {
	for _, a := range k.doubted {
		if !a.settled && now.Sub(a.at) <= memory {
			n++
		}
	}
	return n
}

// othersFirst reports whether evidence has to wait, as it does at a directory that others ask, too, while the watch is in time. All
// see the same then, and whoever leaves a watch for the whole list loses the word that is on its way and goes to the end of the
// line: with 32 callers, four servers that refused cost most of them every list for 10 to 20 s.
func (k *Scheduler) othersFirst(now time.Time) bool {
	return k.set.Instances > 1 && now.Before(k.lateAt)
}

// Observe takes a sign of a provider. True asks for the whole list now, even while a call is out: several providers speak
// against the list at once. It is bounded: never twice within Settings.Ask, less and less often while the directory
// stands by its list, not while it turns calls away, nor while it answers several callers in time; and a provider for which it
// stands by its list counts no more until it has answered or restarted. No sign takes a provider out of the list: a fault of
// this side makes all look gone.
func (k *Scheduler) Observe(now time.Time, provider string, sign Evidence) bool {
	if _, listed := k.listed[provider]; !listed {
		return false
	}
	if sign == Alive {
		delete(k.doubted, provider)
		return false
	}
	a := k.doubted[provider]
	if a == nil {
		a = new(against)
		k.doubted[provider] = a
	}
	a.at = now
	several := max(min(2, len(k.listed)), len(k.listed)/severalPart)
	if a.settled || k.asked || k.full || now.Before(k.askAt) || k.against(now) < several || k.othersFirst(now) {
		return false
	}
	k.asks++
	k.askAt = now.Add(max(k.set.RefreshInterval, wait(2*k.set.RefreshInterval, k.set.MaxRefreshInterval, k.asks, k.rng.Float64())))
	k.asked, k.left = true, now.Before(k.lateAt) && !k.set.Pushed
	return true
}
