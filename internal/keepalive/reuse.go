// Package keepalive decides on which connection a call goes, a kept one or a new one, and whether its last byte is held
// back for a moment. It learns from how calls end. It does no input or output, reads no clock and draws no random
// numbers.
//
// # The losses
//
// Kept connections break without a word: something between has forgotten them, or the provider has, and the call that
// finds out is reset. Any call may break, on a new connection too, so that only what a kept one adds to that speaks for
// a new one. All losses are in one unit, the worth of a request of worth 1. With p the probability that the call
// breaks, w the worth of its request and H = Settings.Handshake:
//
//	a kept connection costs  w·L(p) + p·H                        (what breaks must be replaced)
//	a new one costs          w·L(p) + p·H + H + w·late(dial)     (its own p; dial is learned)
//	L(p) = p·((1-s)·broken + s·early) + late(pause)              for the pause, if any, for which it is least
//	broken = 1 for what must not run twice, else Retry + late(time until a break shows, learned)
//	early  = Retry + late(pause + dial), as nothing has run
//	late(d) = Hurry·d/Aim, at most 1: the part of requests for which a delay of d is one too many
//
// s is the share of breaks that show while the last byte is held back: a provider starts a request once that byte is
// there, so that what breaks before has not run. It is learned for each length of pause from those held back for as
// long (Kaplan and Meier, JASA 53, 1958: the others say nothing of the time after theirs), and apart for the breaks
// that happen on new connections as well and those that only kept ones add.
//
// # The probabilities
//
// p of a kept connection grows with the time for which it was idle and with the calls that it has carried: a curve over
// each, in steps of 1.35, so 1-p = (1-idle)·(1-carried). A step's estimate is the mean of a Beta posterior whose prior
// is centred on its neighbours; then the curve is made monotone by pooling adjacent violators (Ayer et al., 1955;
// Barlow et al., Statistical Inference under Order Restrictions, 1972). A break is ascribed to the two curves by how far
// the step of each stands out from the mean. A provider's curves shrink towards the fleet's, which leave out the
// providers with the most breaks: trouble at one says nothing of the others, the same at several does. A new connection
// is expected to do as well as kept ones until there is evidence.
//
// Evidence fades with a half-life of Settings.Calls calls, bounded on both sides by times, so that a few calls an hour
// are not forgotten one by one and a thousand a second do not shut out what is new. Without breaks all estimates are
// exactly 0, and the Book does as a plain pool does: any kept connection, no pause. What has been given up is tried
// again as its evidence fades, first by what loses least: a request that may run again, or a probe.
package keepalive

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

// Use is a call's connection.
type Use struct {
	Provider string
	Idle     time.Duration // of the connection before the call
	Carried  int           // calls before this one; 0 with Idle 0 = a new connection
}

func (u Use) kept() bool { return u.Carried > 0 || u.Idle > 0 }

// Fate is how a call ended. Those that ended in other ways (refused, timed out, called off) are not reported.
type Fate uint8

// The fates.
const (
	Answered Fate = iota // whatever the answer said
	Broken               // the connection was reset or ended after the call's last byte was written
	Early                // it broke while the last byte was held back: the call has not run
)

// Stakes are what a call puts at risk.
type Stakes struct {
	Once  bool          // it must not run twice: broken, it is lost
	Aim   time.Duration // in which its answer is wanted; 0 = any time will do
	Worth float64       // of its request, relative to 1 for a usual one; a small part for a probe, so that it explores
}

// Settings are the prices and the memory. Prices are in worths of a request of worth 1.
type Settings struct {
	Handshake    float64       // a new connection: work at the provider, a place there, a socket here
	Retry        float64       // sending again what may be sent again: a draw on the retry budget, work done twice
	Hurry        float64       // a delay of d costs Hurry·d/Aim
	HalfLife     time.Duration // of evidence, at least
	LongHalfLife time.Duration // and at most
	Calls        float64       // a half-life between the two is as long as this many calls take
	MostPause    time.Duration // for which the last byte may be held back; 0 = never
	Providers    int           // of which evidence is kept apart; each takes 1.2 KB
}

// Default returns the settings for requests of some 100 ms at providers that can hold a few hundred connections.
func Default() Settings {
	return Settings{
		Handshake: 0.02, Retry: 0.1, Hurry: 0.3, HalfLife: 10 * time.Second, LongHalfLife: 10 * time.Minute,
		Calls: 1000, MostPause: 8 * time.Millisecond, Providers: 2048,
	}
}

// Check names the setting that makes no sense.
func (s Settings) Check() error {
	for _, p := range []struct {
		key   string
		value float64
	}{{"handshake", s.Handshake}, {"retry", s.Retry}, {"hurry", s.Hurry}} {
		if !(p.value >= 0 && p.value <= 1) {
			return fmt.Errorf("reuse: %s: %g does not lie between 0 and 1", p.key, p.value)
		}
	}
	switch {
	case s.HalfLife <= 0:
		return fmt.Errorf("reuse: half_life: %s is not above 0", s.HalfLife)
	case s.LongHalfLife < s.HalfLife:
		return fmt.Errorf("reuse: long_half_life: %s is below half_life, %s", s.LongHalfLife, s.HalfLife)
	case !(s.Calls >= 1 && s.Calls <= 1e9):
		return fmt.Errorf("reuse: calls: %g does not lie between 1 and 1e9", s.Calls)
	case s.MostPause < 0:
		return fmt.Errorf("reuse: most_pause: %s is below 0", s.MostPause)
	case s.Providers < 1 || s.Providers > 1<<16:
		return fmt.Errorf("reuse: providers: %d does not lie between 1 and 65536", s.Providers)
	}
	return nil
}

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

// The kinds of breaks: those that happen on new connections as well, and those that only kept ones add.
const (
	anywhere = iota
	added
	kinds
)

// Book is what is known of how connections break. It is not safe for concurrent use.
type Book struct {
	set Settings

	odds  float64   // log, that breaks have become several times as frequent
	clock float64   // in half-lives of the evidence, at the last lesson
	base  float64   // clock at which a lesson weighed 1: later ones weigh more instead of earlier ones less
	at    time.Time // of the last lesson

	all       evidence // of all providers together, those that are gone among them
	whole     evidence // of them too, with every break held against both the idle time and the calls carried
	breaks    [kinds]breaks
	providers map[string]*record
	list      []*record // the same, in the order in which they came
	suspects  []*record // room for draw

	fleet  belief
	shown  [kinds][len(pauses)]float64 // share of breaks that show within each pause
	late   [kinds]float64              // seconds until a break after the last byte shows
	stale  bool                        // there has been a break since the beliefs were drawn
	drawn  float64                     // clock at that time
	drawns int                         // how often they have been
}

// record is one provider.
type record struct {
	name    string
	seen    evidence
	thought belief
	drawns  int     // Book.drawns when the belief was drawn
	learned float64 // clock at its last lesson
	apart   bool    // it has so many breaks that the fleet's curves leave it out
}

// breaks is what is known of the breaks of one kind.
type breaks struct {
	shown [len(pauses)]tally // by pause: breaks that the one before had not shown, and those of them that it did
	late  mean               // seconds until one shows, after the last byte
}

// New returns a Book without evidence.
func New(set Settings) (*Book, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Book{set: set, stale: true, providers: map[string]*record{}}, nil
}

// tick moves the clock to a lesson at now.
func (b *Book) tick(now time.Time) {
	passed := float64(max(0, now.Sub(b.at)))
	if b.at.IsZero() {
		passed = 0
	}
	b.at = now
	b.clock += min(max(1/b.set.Calls, passed/float64(b.set.LongHalfLife)), passed/float64(b.set.HalfLife))
	if b.clock-b.base > precise {
		b.scale(b.base - b.clock)
		b.base = b.clock
	}
}

// clockAt is the clock at now, without a lesson.
func (b *Book) clockAt(now time.Time) float64 {
	if b.at.IsZero() {
		return b.clock
	}
	return b.clock + float64(max(0, now.Sub(b.at)))/float64(b.set.LongHalfLife)
}

// scale multiplies all evidence by a power of two.
func (b *Book) scale(power float64) {
	by := float32(math.Exp2(power))
	b.all.scale(by)
	b.whole.scale(by)
	for _, r := range b.list {
		r.seen.scale(by)
	}
	for i := range b.breaks {
		b.breaks[i].scale(by)
	}
}

// weight is what a lesson counts for now.
func (b *Book) weight() float32 { return float32(math.Exp2(b.clock - b.base)) }

// record returns the provider's, a new one if there is none. The one that has learned nothing for longest makes room.
func (b *Book) record(provider string) *record {
	r := b.providers[provider]
	if r == nil {
		if len(b.list) >= b.set.Providers {
			b.Forget(slices.MinFunc(b.list, func(x, y *record) int { return cmp.Compare(x.learned, y.learned) }).name)
		}
		r = &record{name: provider, drawns: -1}
		b.providers[provider] = r
		b.list = append(b.list, r)
	}
	r.learned = b.clock
	return r
}

// Learn takes note of how a call on u ended. held is for how long its last byte was to be held back, as Hold said, also
// where the connection broke sooner; 0 = not at all. took says when a break showed: for Early counted from the first
// byte, for Broken from the last; for Answered it does not matter.
func (b *Book) Learn(now time.Time, u Use, f Fate, held, took time.Duration) {
	p, usual := b.belief(now, u.Provider).breaks(u)
	b.tick(now)
	b.surprise(p, f)
	r, w := b.record(u.Provider), b.weight()
	if f == Answered {
		r.seen.learn(u, w, 0, 0)
		b.all.learn(u, w, 0, 0)
		b.whole.learn(u, w, 0, 0)
		return
	}
	b.stale = true
	b.whole.learn(u, w, w, w)
	byIdle := w * float32(b.whole.blame(u, 1/w))
	r.seen.learn(u, w, byIdle, w-byIdle)
	b.all.learn(u, w, byIdle, w-byIdle)
	part := float32((usual + little) / (p + little))
	b.breaks[anywhere].learn(f, held, took, w*part)
	b.breaks[added].learn(f, held, took, w*(1-part))
}

// surprise is Page's cumulative sum (Biometrika 41, 1954) of the log-likelihood ratio of breaks being several times as
// frequent as was thought, p. When it is high, circumstances have changed, and what was learned before counts for
// little.
func (b *Book) surprise(p float64, f Fate) {
	p += 0.01
	many := 3*p + 0.05
	switch {
	case many > 0.9: // nothing much worse can happen
		b.odds = 0
	case f == Answered:
		b.odds = max(0, b.odds+math.Log((1-many)/(1-p)))
	default:
		b.odds += math.Log(many / p)
	}
	if b.odds > changed {
		b.odds = 0
		b.clock += shock
	}
}

func (d *breaks) learn(f Fate, held, took time.Duration, w float32) {
	if f == Broken {
		d.late.learn(w, took)
	}
	for i, p := range pauses {
		if f == Early && took <= p.length {
			d.shown[i].learn(w, w)
			break
		}
		if held < p.length { // whether it would have shown by then is not known
			break
		}
		d.shown[i].learn(w, 0)
	}
}

// Dialed takes note of the time that a connection took to come up, or to be given up.
func (b *Book) Dialed(provider string, took time.Duration) {
	w := b.weight()
	b.record(provider).seen.dial.learn(w, took)
	b.all.dial.learn(w, took)
}

// Forget drops a provider that is gone from the list. What it had in common with others stays with the fleet.
func (b *Book) Forget(provider string) {
	r := b.providers[provider]
	if r == nil {
		return
	}
	if r.apart {
		b.all.subtract(&r.seen)
	}
	delete(b.providers, provider)
	b.list = slices.DeleteFunc(b.list, func(x *record) bool { return x == r })
}

const (
	changed = 8.0      // logarithm of the odds at which circumstances count as changed
	shock   = 3.0      // half-lives by which the evidence fades then
	refit   = 1.0 / 64 // half-lives after which beliefs are drawn anew, as they are after every break
	precise = 20.0     // half-lives in which the weights grow before all are made small again
)

// belief returns what is thought of the provider, which for an unknown one is what is thought of the fleet.
func (b *Book) belief(now time.Time, provider string) *belief {
	clock := b.clockAt(now)
	scale := func() float32 { return float32(math.Exp2(b.base - clock)) }
	if b.stale || clock-b.drawn > refit {
		b.stale, b.drawn = false, clock
		b.drawns++
		b.draw(scale())
	}
	r := b.providers[provider]
	if r == nil {
		return &b.fleet
	}
	if r.drawns != b.drawns {
		r.drawns = b.drawns
		r.thought.draw(&r.seen, &b.fleet, providerPrior, scale())
	}
	return &r.thought
}

// draw concludes from the evidence what is thought of the fleet and of breaks. The providers with the most breaks are
// left out, one in eight and one more: an eighth of breaks all over the fleet is little, a lone culprit's are all.
func (b *Book) draw(scale float32) {
	suspects := b.suspects[:0]
	for _, r := range b.list {
		r.apart = false
		if r.seen.broken > 0 {
			suspects = append(suspects, r)
		}
	}
	slices.SortStableFunc(suspects, byBreaks)
	b.suspects = suspects
	common := b.all
	for _, r := range suspects[:min(len(suspects), 1+len(b.list)/8)] {
		r.apart = true
		common.subtract(&r.seen)
	}
	b.fleet.draw(&common, &belief{}, stepPrior, scale)
	for kind := range b.breaks {
		d := &b.breaks[kind]
		hidden := 1.0
		for i, p := range pauses {
			hidden *= 1 - d.shown[i].estimate(scale, shownPrior, p.shows)
			b.shown[kind][i] = 1 - hidden
		}
		b.late[kind] = d.late.estimate(scale, 0)
	}
}

// byBreaks puts the provider with the most breaks first.
func byBreaks(x, y *record) int { return cmp.Compare(y.seen.broken, x.seen.broken) }

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

// worth guards against figures that would turn the comparison around.
func (s *Stakes) worth() float64 {
	if !(s.Worth > 0) {
		return 0
	}
	return min(s.Worth, 1e6)
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
