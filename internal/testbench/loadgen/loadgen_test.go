package loadgen

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter/internal/testbench/fakes"
)

const workerEnv = "PLANKROUTER_LOAD_TEST_WORK"

func TestMain(m *testing.M) {
	if os.Getenv(workerEnv) != "" {
		if err := RunWorker(context.Background(), os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func ok(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func parseShape(text string) (s Shape) {
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		panic(err)
	}
	return s
}

func constant(rate float64) Shape { return Shape{Kind: "constant", Rate: rate} }

// constantPlan returns a checked plan of one class and one stream.
func constantPlan(t *testing.T, shape Shape, spacing string, forS float64) *Plan {
	t.Helper()
	p := &Plan{
		Seed: 1, ForS: forS, Streams: []Stream{{Shape: shape, Spacing: spacing}},
		Classes: []Class{{Name: "tile", LatencyObjectiveMs: 500, DeadlineMs: 5000}},
	}
	ok(t, p.Check())
	return p
}

// inBubble runs a plan in a synctest bubble against a handler, which gets the start time as its first argument.
func inBubble(t *testing.T, p *Plan, o Options, h func(time.Time, http.ResponseWriter, *http.Request)) *Result {
	t.Helper()
	var result *Result
	synctest.Test(t, func(t *testing.T) {
		n := fakes.NewMemory()
		n.SetDelay(0, 0)
		l, err := n.Listen("")
		ok(t, err)
		start := time.Now()
		var busy sync.WaitGroup // counts running handlers, including those whose client has timed out
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			busy.Add(1)
			defer busy.Done()
			h(start, w, r)
		})}
		go func() { _ = s.Serve(l) }() // until Close
		defer busy.Wait()
		defer s.Close()
		o.Dialer, o.Address = n, cmp.Or(o.Address, l.Addr().String())
		if o.Pause == nil {
			o.Pause = time.Sleep
		}
		result, err = Run(t.Context(), p, o)
		ok(t, err)
	})
	return result
}
