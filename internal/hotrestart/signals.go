package hotrestart

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"
)

// Stop is a stop signal that a predecessor has received and forwards to its successor. Both times are those of the
// signal, not of the message: a successor that counted from the arrival of the message would expect the kill too late.
type Stop struct {
	At   time.Time // the earliest time at which the signal may have been sent
	Kill time.Time // the earliest time at which the predecessor and the successor may be killed
}

// Reload is a configuration reload signal that a predecessor has received after its successor may have read the configuration.
type Reload struct {
	At time.Time // the earliest time at which the signal may have been sent
}

// signalMessage is the body of a Stop or Reload message. Times are in nanoseconds of the machine's monotonic clock, which all
// processes share.
type signalMessage struct {
	At   int64 `cbor:"1,keyasint"`
	Kill int64 `cbor:"2,keyasint,omitempty"`
}

// monotonic reads the machine's monotonic clock, in nanoseconds.
func monotonic() (int64, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return t.Nano(), err
}

// clock converts times of this process to nanoseconds of the monotonic clock, and back.
type clock struct {
	now   time.Time
	nanos int64
}

// readClock reads both clocks. It reads the process's own clock first, so that a stall between the two reads makes a
// received signal seem earlier than it was, not later.
func readClock() (clock, error) {
	c := clock{now: time.Now()}
	var err error
	c.nanos, err = monotonic()
	return c, err
}

func (c clock) encode(t time.Time) int64 { return c.nanos + int64(t.Sub(c.now)) }

func (c clock) decode(nanos int64) time.Time { return c.now.Add(time.Duration(nanos - c.nanos)) }

// decodeSignal parses the body of a Stop or Reload message. kill has no meaning for a Reload.
func decodeSignal(b []byte) (at, kill time.Time, err error) {
	var m signalMessage
	if err := cbor.Unmarshal(b, &m); err != nil {
		return at, kill, fmt.Errorf("%w: signal: %w", errMalformed, err)
	}
	c, err := readClock()
	return c.decode(m.At), c.decode(m.Kill), err
}

// Stop forwards a stop signal to the successor, which has begun to serve. After an error the successor has not received it.
func (p *Predecessor) Stop(s Stop) error {
	return p.sendSignal(kindStop, func(c clock) signalMessage { return signalMessage{c.encode(s.At), c.encode(s.Kill)} })
}

// Reload forwards a configuration reload signal to the successor, as Stop does a stop signal.
func (p *Predecessor) Reload(r Reload) error {
	return p.sendSignal(kindReload, func(c clock) signalMessage { return signalMessage{At: c.encode(r.At)} })
}

// sendSignal sends the message that encode returns for the current clock.
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

// receiveSignal calls Stopped or Reloaded with a signal that the predecessor has forwarded.
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
