package frontend

import (
	"context"
	"io"
	"testing"
	"testing/synctest"

	"plankrouter/internal/config"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/invariant"
	"plankrouter/internal/metrics"
	"plankrouter/internal/request"
	"plankrouter/internal/streaming"
)

// stoppedDispatcher is a dispatcher that has stopped: it accepts no requests.
type stoppedDispatcher struct{ manualDispatcher }

func (*stoppedDispatcher) Submit(*request.Request) bool { return false }

// A connection that is closed without a response to a request is counted as a violation, unless its client is gone.
func TestMissingResponsesAreCounted(t *testing.T) {
	for name, row := range map[string]struct {
		dispatcher request.Dispatcher
		reads      bool // whether the client reads the response before the server is stopped
		leave      bool // whether the client closes the connection
		want       int64
	}{
		"response written":       {new(immediateDispatcher), true, false, 0},
		"dispatcher has stopped": {new(stoppedDispatcher), false, false, 1},
		"client is gone":         {new(manualDispatcher), false, true, 0},
		"server is stopped":      {new(manualDispatcher), false, false, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cfg := &config.Config{}
			cfg.Settings.Classes = []config.Class{{Name: "tile", HardLimitMs: 2500, Repeat: config.Pure}}
			recorder := new(invariant.Recorder)
			s := &testServer{
				Server:   New(cfg, row.dispatcher, connlimit.NewBudget(16, nil), new(metrics.Registry), streaming.New(1<<20, 16)),
				listener: newPipeListener(), done: make(chan error, 1),
			}
			s.Invariants = recorder
			go func() { s.done <- s.Serve(ctx, s.listener) }()
			c := s.connect()
			c.sendRequest("a")
			synctest.Wait()
			if row.reads {
				if got := c.readStatus(); got != "200" {
					t.Errorf("%s: %s", name, got)
				}
			}
			if row.leave {
				c.Close()
				synctest.Wait()
			}
			cancel()
			go func() { _, _ = io.Copy(io.Discard, c) }()
			if err := <-s.done; err != nil {
				t.Error(err)
			}
			if got := recorder.Counts()[invariant.MissingResponse].Violations; got != row.want {
				t.Errorf("%s: %d violations, want %d", name, got, row.want)
			}
		})
	}
}
