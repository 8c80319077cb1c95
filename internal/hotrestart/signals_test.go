package hotrestart

import (
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// However late a forwarded signal is read, the times of the signal and of the kill stay those that were sent.
func TestForwardedSignalsKeepTheirTimes(t *testing.T) {
	sent := time.Now().Add(-2 * time.Second)
	var stop Stop
	var reload Reload
	s := &Successor{Stopped: func(w Stop) { stop = w }, Reloaded: func(w Reload) { reload = w }}
	c, err := readClock()
	if err != nil {
		t.Fatal(err)
	}
	for kind, signal := range map[kind]signalMessage{kindStop: {c.encode(sent), c.encode(sent.Add(time.Minute))}, kindReload: {At: c.encode(sent)}} {
		body, err := cbor.Marshal(signal)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // delays the message
		if err := s.receiveSignal(message{kind: kind, body: body}); err != nil {
			t.Error(err)
		}
	}
	for name, shift := range map[string]time.Duration{"stop": stop.At.Sub(sent), "reload": reload.At.Sub(sent), "kill": stop.Kill.Sub(sent) - time.Minute} {
		if shift.Abs() > 10*time.Millisecond {
			t.Errorf("%s: shifted by %s", name, shift)
		}
	}
	if err := s.receiveSignal(message{kind: kindStop, body: []byte("x")}); !errors.Is(err, errMalformed) {
		t.Errorf("a malformed signal: %v", err)
	}
}
