package plankrouter_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter"
	"plankrouter/internal/testbench/fakes"
)

// slowBody is a request body that arrives a byte at a time, and then stops for good after left bytes.
type slowBody struct {
	left   int
	closed chan struct{}
}

func (s *slowBody) Read(p []byte) (int, error) {
	if s.left == 0 {
		<-s.closed
		return 0, errors.New("read of a closed body")
	}
	time.Sleep(10 * ms)
	s.left--
	return copy(p, "x"), nil
}

func (s *slowBody) Close() error { close(s.closed); return nil }

// Callers of the library get a response that its server writes in pieces over most of the deadline, whole and in every framing.
// A caller whose own body stops is told when its context ends, and nothing is sent.
func TestSlowPeersOfCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, b := newFleet(t, 2, nil)
		defer f.Close()
		for name, framing := range map[string]fakes.Framing{"sized": fakes.ByLength, "chunked": fakes.InChunks, "unsized": fakes.ToEnd} {
			for _, server := range f.Servers {
				server.SetBehaviour(fakes.Behaviour{Pieces: &fakes.Pieces{Length: 60_000, Size: 10_000, Pause: 350 * ms, Framing: framing}})
			}
			r, err := b.Do(t.Context(), &plankrouter.Request{Class: "tile", ID: name, Target: "/tile/1"})
			if err != nil || len(r.Body) != 60_000 || !strings.HasPrefix(string(r.Body), name) {
				t.Errorf("%s: %+v, %v", name, r, err)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var body io.ReadCloser = &slowBody{left: 20, closed: make(chan struct{})}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://orders.internal/order/1", body)
		if err != nil {
			t.Fatal(err)
		}
		attempts := b.Stats().Attempts
		_, err = (&plankrouter.Transport{Balancer: b, Class: "order"}).RoundTrip(req)
		var cancelled *plankrouter.CancelledError
		if !errors.As(err, &cancelled) || cancelled.MayHaveRun || b.Stats().Attempts != attempts {
			t.Errorf("stopped body: %v", err)
		}
		if err := b.Close(t.Context()); err != nil {
			t.Error(err)
		}
	})
}
