package keepalive

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxStateBytes bounds what State returns, in bytes.
	MaxStateBytes = 250 << 10

	stateVersion = 1
	part         = 16      // numbers are kept in sixteenths of an attempt: whole numbers are short, and none is a NaN
	maxCalls     = 1 << 28 // in those; what is kept of all that ever came stays below it
)

// state is what an Estimator has learned, as it was at its last lesson.
type state struct {
	Version uint               `cbor:"1,keyasint"`
	All     evidenceState      `cbor:"2,keyasint"`
	Shown   [kinds][][2]uint32 `cbor:"3,keyasint"` // by pause
	Late    [kinds][2]uint32   `cbor:"4,keyasint"` // attempts, and the mean in µs
	Whole   evidenceState      `cbor:"5,keyasint"`
	Servers []cbor.RawMessage  `cbor:"6,keyasint"` // the providerStates
}

// serverState is one server's part.
type serverState struct {
	Name string        `cbor:"1,keyasint"`
	Seen evidenceState `cbor:"2,keyasint"`
}

// evidenceState is evidence; of the steps it has those with attempts.
type evidenceState struct {
	_       struct{} `cbor:",toarray"`
	Fresh   [2]uint32
	Idle    [][3]uint32 // step, attempts, broken
	Carried [][3]uint32
	Dial    [2]uint32
}

var (
	encoder = must(cbor.EncOptions{}.EncMode())
	decoder = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: 8,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// State returns what was learned until now, in at most MaxStateBytes bytes. Where there is not room for all servers those
// with the fewest breaks are left out; what is common to all is not.
func (e *Estimator) State(now time.Time) ([]byte, error) {
	scale := float32(math.Exp2(e.base - e.clockAt(now)))
	s := state{Version: stateVersion, All: e.all.state(scale), Whole: e.doublyBlamed.state(scale)}
	for kind := range e.breaks {
		for _, t := range e.breaks[kind].shown {
			s.Shown[kind] = append(s.Shown[kind], t.state(scale))
		}
		s.Late[kind] = e.breaks[kind].late.state(scale)
	}
	out, err := encoder.Marshal(&s)
	if err != nil {
		return nil, fmt.Errorf("reuse: %w", err)
	}
	room := MaxStateBytes - len(out) - 8 // the head of a longer list
	for _, r := range slices.SortedStableFunc(slices.Values(e.list), byBreaks) {
		p, err := encoder.Marshal(&serverState{r.name, r.seen.state(scale)})
		if err != nil {
			return nil, fmt.Errorf("reuse: provider %q: %w", r.name, err)
		}
		if room -= len(p); room < 0 {
			break
		}
		s.Servers = append(s.Servers, p)
	}
	return encoder.Marshal(&s)
}

// Restore takes what State returned a time of age ago in place of all that the Estimator has learned, faded by that time.
// After an error the Estimator is as it was.
func (e *Estimator) Restore(now time.Time, data []byte, age time.Duration) error {
	var s state
	if len(data) > MaxStateBytes {
		return fmt.Errorf("reuse: a state of %d bytes, more than %d", len(data), MaxStateBytes)
	}
	if err := decoder.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("reuse: state: %w", err)
	}
	if s.Version != stateVersion {
		return fmt.Errorf("reuse: state of version %d, want %d", s.Version, stateVersion)
	}
	scale := float32(math.Exp2(-float64(max(0, age))/float64(e.settings.MaxHalfLife))) / part
	next := Estimator{settings: e.settings, lastLesson: now, stale: true, draws: e.draws, servers: map[string]*serverRecord{}}
	if err := errors.Join(s.All.read(&next.all, scale), s.Whole.read(&next.doublyBlamed, scale)); err != nil {
		return fmt.Errorf("reuse: state: %w", err)
	}
	for kind := range next.breaks {
		if len(s.Shown[kind]) != len(pauses) {
			return fmt.Errorf("reuse: state: %d pauses, want %d", len(s.Shown[kind]), len(pauses))
		}
		d := &next.breaks[kind]
		for i, t := range s.Shown[kind] {
			if err := d.shown[i].read(t, scale); err != nil {
				return fmt.Errorf("reuse: state: %w", err)
			}
		}
		d.late.read(s.Late[kind], scale)
	}
	for _, raw := range s.Servers {
		var p serverState
		if err := decoder.Unmarshal(raw, &p); err != nil {
			return fmt.Errorf("reuse: state: %w", err)
		}
		if next.servers[p.Name] != nil {
			return fmt.Errorf("reuse: state: provider %q is there twice", p.Name)
		}
		if len(next.list) < e.settings.MaxServers {
			if err := p.Seen.read(&next.record(p.Name).seen, scale); err != nil {
				return fmt.Errorf("reuse: state: provider %q: %w", p.Name, err)
			}
		}
	}
	*e = next
	return nil
}

func sixteenths(v, scale float32) uint32 { return uint32(min(v*scale*part+0.5, maxCalls)) }

func (t tally) state(scale float32) [2]uint32 {
	return [2]uint32{sixteenths(t.calls, scale), sixteenths(t.broken, scale)}
}

func (t *tally) read(s [2]uint32, scale float32) error {
	if s[0] > maxCalls || s[1] > s[0] {
		return fmt.Errorf("%d of %d calls broken", s[1], s[0])
	}
	*t = tally{float32(s[0]) * scale, float32(s[1]) * scale}
	return nil
}

func (m mean) state(scale float32) [2]uint32 {
	return [2]uint32{sixteenths(m.weight, scale), uint32(min(1e6*m.sum/max(m.weight, little), math.MaxInt32))}
}

func (m *mean) read(s [2]uint32, scale float32) {
	m.weight = float32(min(s[0], maxCalls)) * scale
	m.sum = m.weight * float32(s[1]) / 1e6
}

func (e *evidence) state(scale float32) evidenceState {
	return evidenceState{
		Fresh: e.onNewConns.state(scale), Idle: stateOf(&e.idle, scale),
		Carried: stateOf(&e.carried, scale), Dial: e.dial.state(scale),
	}
}

func stateOf(of *[steps]tally, scale float32) (out [][3]uint32) {
	for i, t := range of {
		if s := t.state(scale); s[0] > 0 {
			out = append(out, [3]uint32{uint32(i), s[0], s[1]})
		}
	}
	return out
}

func (s *evidenceState) read(e *evidence, scale float32) error {
	if err := e.onNewConns.read(s.Fresh, scale); err != nil {
		return fmt.Errorf("new connections: %w", err)
	}
	e.dial.read(s.Dial, scale)
	e.broken = e.onNewConns.broken
	for _, c := range []struct {
		name string
		from [][3]uint32
		to   *[steps]tally
	}{{"idle", s.Idle, &e.idle}, {"carried", s.Carried, &e.carried}} {
		next := uint32(0)
		for _, t := range c.from {
			if t[0] < next || t[0] >= steps {
				return fmt.Errorf("%s: step %d, want %d to %d", c.name, t[0], next, steps-1)
			}
			if err := c.to[t[0]].read([2]uint32(t[1:]), scale); err != nil {
				return fmt.Errorf("%s: step %d: %w", c.name, t[0], err)
			}
			e.broken += c.to[t[0]].broken
			next = t[0] + 1
		}
	}
	return nil
}
