package handover

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"
)

// Stop is a word to stop that a predecessor has got and that is meant for its successor, too. Both moments are those of whoever gave it: a
// successor that counted from when it hears of it would reckon with a later kill.
type Stop struct {
	At   time.Time // that the word was sent, at the earliest
	Kill time.Time // by which the processes may be killed
}

// stopMessage is a Stop as it goes over the control socket, in nanoseconds of the machine's monotonic clock, which all processes share.
type stopMessage struct {
	At   int64 `cbor:"1,keyasint"`
	Kill int64 `cbor:"2,keyasint"`
}

// monotonic reads the clock.
func monotonic() (int64, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return t.Nano(), err
}

func encodeStop(s Stop) ([]byte, error) {
	clock, err := monotonic()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return cbor.Marshal(stopMessage{clock + int64(s.At.Sub(now)), clock + int64(s.Kill.Sub(now))})
}

func decodeStop(b []byte) (Stop, error) {
	var m stopMessage
	if err := cbor.Unmarshal(b, &m); err != nil {
		return Stop{}, fmt.Errorf("%w: a word to stop: %v", errMalformed, err)
	}
	now := time.Now() // before the clock: a process that is held up between the two must not count from later
	clock, err := monotonic()
	if err != nil {
		return Stop{}, err
	}
	return Stop{now.Add(time.Duration(m.At - clock)), now.Add(time.Duration(m.Kill - clock))}, nil
}

// Stop passes a word to stop on to the successor, which has begun to serve. An error says that it has not got it.
func (p *Predecessor) Stop(s Stop) error {
	body, err := encodeStop(s)
	if err == nil {
		err = p.control.send(message{kind: kindStop, body: body}, -1)
	}
	if err != nil {
		return fmt.Errorf("handover: stop: %w", err)
	}
	return nil
}

// stopped tells whoever asked for it of a word to stop.
func (s *Successor) stopped(body []byte) error {
	word, err := decodeStop(body)
	if err == nil && s.Stopped != nil {
		s.Stopped(word)
	}
	return err
}
