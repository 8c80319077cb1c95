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

	stateVersion        = 1
	fractionsPerAttempt = 16      // weights are stored in sixteenths of an attempt: integers are short, and none is a NaN
	maxFractions        = 1 << 28 // upper bound of a stored weight; as evidence fades, weights stay below it
)

// state is the encoded form of an Estimator's evidence, faded to the time at which State is called.
type state struct {
	Version       uint                    `cbor:"1,keyasint"`
	All           evidenceState           `cbor:"2,keyasint"`
	Detected      [breakKinds][][2]uint32 `cbor:"3,keyasint"` // by last-byte delay
	DetectionTime [breakKinds][2]uint32   `cbor:"4,keyasint"` // weight, and the mean in µs
	DoubleCounted evidenceState           `cbor:"5,keyasint"`
	Servers       []cbor.RawMessage       `cbor:"6,keyasint"` // encoded serverStates
}

// serverState is the encoded form of one server's evidence.
type serverState struct {
	Name string        `cbor:"1,keyasint"`
	Seen evidenceState `cbor:"2,keyasint"`
}

// evidenceState is the encoded form of evidence; it lists only steps with attempts.
type evidenceState struct {
	_          struct{} `cbor:",toarray"`
	OnNewConns [2]uint32
	Idle       [][3]uint32 // each: step, attempts, broken attempts
	Carried    [][3]uint32
	Dial       [2]uint32
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

// State encodes the evidence as of now in at most MaxStateBytes bytes. If not all servers fit, those with the fewest breaks
// are omitted; the fleet's evidence is always included.
func (e *Estimator) State(now time.Time) ([]byte, error) {
	scale := float32(math.Exp2(e.weightBase - e.clockAt(now)))
	s := state{Version: stateVersion, All: e.all.state(scale), DoubleCounted: e.doubleCounted.state(scale)}
	for kind := range e.breaks {
		for _, t := range e.breaks[kind].detected {
			s.Detected[kind] = append(s.Detected[kind], t.state(scale))
		}
		s.DetectionTime[kind] = e.breaks[kind].detectionTime.state(scale)
	}
	out, err := encoder.Marshal(&s)
	if err != nil {
		return nil, fmt.Errorf("reuse: %w", err)
	}
	remaining := MaxStateBytes - len(out) - 8 // reserve for the longer header of a list with entries
	for _, r := range slices.SortedStableFunc(slices.Values(e.serverList), byBreaks) {
		p, err := encoder.Marshal(&serverState{r.name, r.observed.state(scale)})
		if err != nil {
			return nil, fmt.Errorf("reuse: server %q: %w", r.name, err)
		}
		if remaining -= len(p); remaining < 0 {
			break
		}
		s.Servers = append(s.Servers, p)
	}
	return encoder.Marshal(&s)
}

// Restore replaces the Estimator's evidence by a result of State of the given age, and fades the evidence by that age. On error
// the Estimator is unchanged.
func (e *Estimator) Restore(now time.Time, data []byte, age time.Duration) error {
	var s state
	if len(data) > MaxStateBytes {
		return fmt.Errorf("reuse: state has %d bytes, the limit is %d", len(data), MaxStateBytes)
	}
	if err := decoder.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("reuse: state: %w", err)
	}
	if s.Version != stateVersion {
		return fmt.Errorf("reuse: state has version %d, want %d", s.Version, stateVersion)
	}
	scale := float32(math.Exp2(-float64(max(0, age))/float64(e.settings.MaxHalfLife))) / fractionsPerAttempt
	next := Estimator{settings: e.settings, lastObservation: now, stale: true, generation: e.generation, servers: map[string]*serverRecord{}}
	if err := errors.Join(s.All.read(&next.all, scale), s.DoubleCounted.read(&next.doubleCounted, scale)); err != nil {
		return fmt.Errorf("reuse: state: %w", err)
	}
	for kind := range next.breaks {
		if len(s.Detected[kind]) != len(lastByteDelays) {
			return fmt.Errorf("reuse: state: %d last-byte delays, want %d", len(s.Detected[kind]), len(lastByteDelays))
		}
		d := &next.breaks[kind]
		for i, t := range s.Detected[kind] {
			if err := d.detected[i].read(t, scale); err != nil {
				return fmt.Errorf("reuse: state: %w", err)
			}
		}
		d.detectionTime.read(s.DetectionTime[kind], scale)
	}
	for _, raw := range s.Servers {
		var p serverState
		if err := decoder.Unmarshal(raw, &p); err != nil {
			return fmt.Errorf("reuse: state: %w", err)
		}
		if next.servers[p.Name] != nil {
			return fmt.Errorf("reuse: state: server %q is listed twice", p.Name)
		}
		if len(next.serverList) < e.settings.MaxServers {
			if err := p.Seen.read(&next.record(p.Name).observed, scale); err != nil {
				return fmt.Errorf("reuse: state: server %q: %w", p.Name, err)
			}
		}
	}
	*e = next
	return nil
}

// toFractions converts a weight to the unit of stored weights, rounded.
func toFractions(v, scale float32) uint32 {
	return uint32(min(v*scale*fractionsPerAttempt+0.5, maxFractions))
}

func (t tally) state(scale float32) [2]uint32 {
	return [2]uint32{toFractions(t.attempts, scale), toFractions(t.broken, scale)}
}

func (t *tally) read(s [2]uint32, scale float32) error {
	if s[0] > maxFractions || s[1] > s[0] {
		return fmt.Errorf("%d broken attempts of %d", s[1], s[0])
	}
	*t = tally{float32(s[0]) * scale, float32(s[1]) * scale}
	return nil
}

func (m mean) state(scale float32) [2]uint32 {
	return [2]uint32{toFractions(m.weight, scale), uint32(min(1e6*m.sum/max(m.weight, epsilon), math.MaxInt32))}
}

func (m *mean) read(s [2]uint32, scale float32) {
	m.weight = float32(min(s[0], maxFractions)) * scale
	m.sum = m.weight * float32(s[1]) / 1e6
}

func (e *evidence) state(scale float32) evidenceState {
	return evidenceState{
		OnNewConns: e.onNewConns.state(scale), Idle: stepStates(&e.idle, scale),
		Carried: stepStates(&e.carried, scale), Dial: e.dial.state(scale),
	}
}

func stepStates(of *[stepCount]tally, scale float32) (out [][3]uint32) {
	for i, t := range of {
		if s := t.state(scale); s[0] > 0 {
			out = append(out, [3]uint32{uint32(i), s[0], s[1]})
		}
	}
	return out
}

func (s *evidenceState) read(e *evidence, scale float32) error {
	if err := e.onNewConns.read(s.OnNewConns, scale); err != nil {
		return fmt.Errorf("new connections: %w", err)
	}
	e.dial.read(s.Dial, scale)
	e.broken = e.onNewConns.broken
	for _, c := range []struct {
		name   string
		source [][3]uint32
		target *[stepCount]tally
	}{{"idle", s.Idle, &e.idle}, {"carried", s.Carried, &e.carried}} {
		next := uint32(0)
		for _, t := range c.source {
			if t[0] < next || t[0] >= stepCount {
				return fmt.Errorf("%s: step %d, want %d to %d", c.name, t[0], next, stepCount-1)
			}
			if err := c.target[t[0]].read([2]uint32(t[1:]), scale); err != nil {
				return fmt.Errorf("%s: step %d: %w", c.name, t[0], err)
			}
			e.broken += c.target[t[0]].broken
			next = t[0] + 1
		}
	}
	return nil
}
