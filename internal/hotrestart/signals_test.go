package hotrestart

import (
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// A word that is passed on keeps the moments at which it was given and by which the kill may come, however late it is read.
func TestWordsKeepTheirMoments(t *testing.T) {
	given := time.Now().Add(-2 * time.Second)
	var stop Stop
	var reload Reload
	s := &Successor{Stopped: func(w Stop) { stop = w }, Reloaded: func(w Reload) { reload = w }}
	c, err := readClock()
	if err != nil {
		t.Fatal(err)
	}
	for kind, word := range map[kind]signalMessage{kindStop: {c.encode(given), c.encode(given.Add(time.Minute))}, kindReload: {At: c.encode(given)}} {
		body, err := cbor.Marshal(word)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // it is held up on its way
		if err := s.receiveSignal(message{kind: kind, body: body}); err != nil {
			t.Error(err)
		}
	}
	for what, off := range map[string]time.Duration{"stop": stop.At.Sub(given), "reload": reload.At.Sub(given), "kill": stop.Kill.Sub(given) - time.Minute} {
		if off.Abs() > 10*time.Millisecond {
			t.Errorf("%s: moved by %s", what, off)
		}
	}
	if err := s.receiveSignal(message{kind: kindStop, body: []byte("x")}); !errors.Is(err, errMalformed) {
		t.Errorf("a word of garbage: %v", err)
	}
}
