package hotrestart

import (
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// A signal that is passed on keeps the moments at which it was sent and by which the kill may come, however late it is read.
func TestSignalsKeepTheirMoments(t *testing.T) {
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
		time.Sleep(20 * time.Millisecond) // it is held up on its way
		if err := s.receiveSignal(message{kind: kind, body: body}); err != nil {
			t.Error(err)
		}
	}
	for what, off := range map[string]time.Duration{"stop": stop.At.Sub(sent), "reload": reload.At.Sub(sent), "kill": stop.Kill.Sub(sent) - time.Minute} {
		if off.Abs() > 10*time.Millisecond {
			t.Errorf("%s: moved by %s", what, off)
		}
	}
	if err := s.receiveSignal(message{kind: kindStop, body: []byte("x")}); !errors.Is(err, errMalformed) {
		t.Errorf("a garbled signal: %v", err)
	}
}
