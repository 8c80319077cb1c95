package hotrestart

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"
)

// Stop is a signal to stop that a predecessor has got and that is meant for its successor, too. Both moments are those of whoever sent it:
// a successor that counted from when the message comes would reckon with a later kill.
type Stop struct {
	At   time.Time // that the signal was sent, at the earliest
	Kill time.Time // by which the processes may be killed
}

// Reload is a signal to read the configuration anew that a predecessor has got after its successor may have read it.
type Reload struct {
	At time.Time // that the signal was sent, at the earliest
}

// signalMessage is a Stop or a Reload as it goes over the control socket, in nanoseconds of the machine's monotonic clock, which all processes
// share.
type signalMessage struct {
	At   int64 `cbor:"1,keyasint"`
	Kill int64 `cbor:"2,keyasint,omitempty"`
}

// monotonic reads the clock.
func monotonic() (int64, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return t.Nano(), err
}

// clock places moments of this process on that clock, and back.
type clock struct {
	now   time.Time
	nanos int64
}

// readClock reads both clocks. The process's own comes first: one that stalls between the two must not take a signal for later than it was.
func readClock() (clock, error) {
	c := clock{now: time.Now()}
	var err error
	c.nanos, err = monotonic()
	return c, err
}

func (c clock) encode(t time.Time) int64 { return c.nanos + int64(t.Sub(c.now)) }

func (c clock) decode(nanos int64) time.Time { return c.now.Add(time.Duration(nanos - c.nanos)) }

func decodeSignal(b []byte) (at, kill time.Time, err error) {
	var m signalMessage
	if err := cbor.Unmarshal(b, &m); err != nil {
		return at, kill, fmt.Errorf("%w: signal: %w", errMalformed, err)
	}
	c, err := readClock()
	return c.decode(m.At), c.decode(m.Kill), err
}

// Stop sends a signal to stop to the successor, which has begun to serve. An error says that it has not got it.
func (p *Predecessor) Stop(s Stop) error {
	return p.sendSignal(kindStop, func(c clock) signalMessage { return signalMessage{c.encode(s.At), c.encode(s.Kill)} })
}

// Reload is Stop for a signal to read the configuration anew.
func (p *Predecessor) Reload(r Reload) error {
	return p.sendSignal(kindReload, func(c clock) signalMessage { return signalMessage{At: c.encode(r.At)} })
}

// sendSignal sends the message that encode makes by the machine's clock.
func (p *Predecessor) sendSignal(kind kind, encode func(clock) signalMessage) error {
	c, err := readClock()
	var body []byte
	if err == nil {
		body, err = cbor.Marshal(encode(c))
	}
	if err == nil {
		err = p.control.send(message{kind: kind, body: body}, noDescriptor)
	}
	if err != nil {
		return fmt.Errorf("handover: send a signal to the successor: %w", err)
	}
	return nil
}

// receiveSignal calls Stopped or Reloaded with a signal that the predecessor has sent.
func (s *Successor) receiveSignal(m message) error {
	at, kill, err := decodeSignal(m.body)
	switch {
	case err != nil:
		return err
	case m.kind == kindStop && s.Stopped != nil:
		s.Stopped(Stop{at, kill})
	case m.kind == kindReload && s.Reloaded != nil:
		s.Reloaded(Reload{at})
	}
	return nil
}
