package frontend

import (
	"context"
	"io"
	"plankrouter/internal/config"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/invariant"
	"plankrouter/internal/metrics"
	"plankrouter/internal/request"
	"plankrouter/internal/streaming"
	"testing"
	"testing/synctest"
)

// over is a core that has stopped.
type over struct{ holding }

func (*over) Submit(*request.Request) bool { return false }

// A connection that ends without the answer to a request that was read from it is counted, unless its consumer has gone.
func TestMissingAnswersAreCounted(t *testing.T) {
	for name, row := range map[string]struct {
		core  request.Dispatcher
		reads bool // the answer, before the front ends
		leave bool
		want  int64
	}{
		"answered":            {new(quick), true, false, 0},
		"core has stopped":    {new(over), false, false, 1},
		"consumer has gone":   {new(holding), false, true, 0},
		"front is hung up on": {new(holding), false, false, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cfg := &config.Config{}
			cfg.Settings.Classes = []config.Class{{Name: "tile", HardLimitMs: 2500, Repeat: config.Pure}}
			book := new(invariant.Recorder)
			h := &testServer{
				Server: New(cfg, row.core, connlimit.NewBudget(16, nil), new(metrics.Registry), streaming.New(1<<20, 16)),
				l:      newPipes(), done: make(chan error, 1),
			}
			h.Rules = book
			go func() { h.done <- h.Serve(ctx, h.l) }()
			c := h.connect()
			c.ask("a")
			synctest.Wait()
			if row.reads {
				if got := c.gets(); got != "200" {
					t.Errorf("%s: %s", name, got)
				}
			}
			if row.leave {
				c.Close()
				synctest.Wait()
			}
			cancel()
			go io.Copy(io.Discard, c)
			if err := <-h.done; err != nil {
				t.Error(err)
			}
			if got := book.Counts()[invariant.Answer].Violations; got != row.want {
				t.Errorf("%s: %d counted, want %d", name, got, row.want)
			}
		})
	}
}
