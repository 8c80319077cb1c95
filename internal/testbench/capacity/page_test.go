package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"plankrouter/internal/probing"
	"plankrouter/internal/subset"
	"plankrouter/internal/testbench/fakes"
	"plankrouter/internal/watchpolicy"
)

// TestPage holds what docs/CAPACITY.md counts against what the code does: the page's figures are products of these.
func TestPage(t *testing.T) {
	page := counts(t)
	near := func(key string, got, within float64) {
		t.Helper()
		want, ok := page[key]
		if !ok {
			t.Errorf("docs/CAPACITY.md counts no %q", key)
			return
		}
		if delete(page, key); math.Abs(got-want) > within {
			t.Errorf("%s: %g by the code, %g on the page", key, got, want)
		}
	}
	for _, price := range []float64{cheap, 0.02, dear, 0.32} {
		near(fmt.Sprintf("probes a request, price %g", price), probing.PerRequest(price, fleetSize, usualCalls/1000.0), 0.005)
	}
	for _, servers := range []int{13, 600, 2000, 6000} {
		near(fmt.Sprintf("servers chosen among, of %d", servers), float64(subset.Size(servers, fleetSize)), 0)
	}
	near("ms that a watch is held, agent", ms(watchpolicy.PushedSettings(drainGrace).Wait), 0)
	near("ms that a watch is held, on request", ms(watchpolicy.DefaultSettings().Wait), 0)

	w := start(t, Point{Servers: 10, Instances: fleetSize, Price: cheap})
	address := float64(len("127.123.123.123:12345") - len("127.1.1.1:1234")) // addresses differ in length
	near("whole lists of a start that knows one", w.firstCallIsComplete(t), 0)
	near("answers that tell of a change", w.answersPerChange(t), 0)
	for i := 0; w.servers.probes.read().Messages == 0; i++ { // a request that is refused brings no probe
		w.sendRequest(t, i)
	}
	w.await(t, func() bool { return w.servers.probes.read().Messages > 0 })
	sent := w.servers.probes.read()
	near("bytes of a probe and its answer", float64(sent.Bytes)/float64(sent.Messages), address)
	_, body, err := w.sidecar.scrape(t.Context(), w.network)
	if err != nil {
		t.Fatal(err)
	}
	near("bytes of the figures", float64(len(body)), 20) // as many digits as the counts have

	w = start(t, Point{Servers: 100, Instances: fleetSize, Price: cheap, OnRequest: true, Unknown: true})
	near("whole lists of a start that knows none", w.firstCallIsComplete(t), 0)
	raw, err := json.MarshalIndent(fakes.List{Revision: 1, Complete: true, Endpoints: w.servers.endpoints()}, "", "    ")
	if err != nil {
		t.Fatal(err)
	}
	near("bytes of a list's line", float64(len(raw))/100, address+2)
	for key := range page {
		t.Errorf("docs/CAPACITY.md counts %q, and nothing here does", key)
	}
}

// counts reads the page's table of counts.
func counts(t *testing.T) map[string]float64 {
	t.Helper()
	raw, err := os.ReadFile("../../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(raw), "\n## Counts\n")
	if !found {
		t.Fatal("docs/CAPACITY.md has no section Counts")
	}
	section, _, _ = strings.Cut(section, "\n## ")
	all := map[string]float64{}
	for _, row := range regexp.MustCompile(`(?m)^\| ([^|]+) \| ([0-9.]+) \|`).FindAllStringSubmatch(section, -1) {
		if all[row[1]], err = strconv.ParseFloat(row[2], 64); err != nil {
			t.Errorf("docs/CAPACITY.md: %s: %v", row[1], err)
		}
	}
	if len(all) == 0 {
		t.Fatal("docs/CAPACITY.md counts nothing")
	}
	return all
}

// start starts a sidecar and what surrounds it.
func start(t *testing.T, point Point) *world {
	t.Helper()
	dir := t.TempDir()
	w := &world{point: point, network: fakes.Loopback()}
	var err error
	if w.servers, err = newFakeServers(w.network, point.Servers); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.servers.close)
	if w.discovery, err = newFakeDiscovery(w.network, w.servers.endpoints()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.discovery.Close)
	if w.sidecar, err = prepare(w.network, dir); err != nil {
		t.Fatal(err)
	}
	if err := w.configure(0); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	t.Cleanup(func() {
		if err := w.sidecar.stop(); err != nil {
			t.Errorf("%v: %s", err, log.String())
		}
	})
	if err := w.sidecar.start(t.Context(), w.network, program(t), -1, &log); err != nil {
		t.Fatal(err)
	}
	return w
}

func (w *world) await(t *testing.T, is func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), readyWithin)
	defer cancel()
	for !is() {
		if fakes.Pause(ctx, time.Millisecond) != nil {
			t.Fatal("it has not come to it")
		}
	}
}

// sendRequest sends a request and ignores its answer.
func (w *world) sendRequest(t *testing.T, n int) {
	t.Helper()
	c, err := w.network.Dial(t.Context(), w.sidecar.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "GET /tile/x HTTP/1.1\r\nHost: api.internal\r\nReq-Id: ask-%d\r\nReq-Deadline: 2.500\r\n\r\n", n); err != nil {
		t.Fatal(err)
	}
	_, _ = c.Read(make([]byte, 1))
}

// firstCallIsComplete is 1 where the first call to discovery is for the whole list. Later ones may be for it where a busy machine makes a
// call time out.
func (w *world) firstCallIsComplete(t *testing.T) float64 {
	t.Helper()
	w.await(t, func() bool { return len(w.discovery.Requests()) > 0 }) // one that knows a list is ready before that
	if w.discovery.Requests()[0].Complete {
		return 1
	}
	return 0
}

// answersPerChange is how many answers bring a change to the sidecar. Where a busy machine makes a call time out, so that the complete
// list is requested, another change is looked at.
func (w *world) answersPerChange(t *testing.T) float64 {
	t.Helper()
	for n := range 20 {
		from := len(w.discovery.Requests()) - 1 // the call that is held, unless it has just been answered
		one := w.servers.endpoints()[n%len(w.servers.listeners)]
		one.UpSince = time.Now().UnixMilli()
		revision := w.discovery.Change(one)
		known := func(c fakes.DiscoveryRequest) bool { return c.Index >= revision }
		w.await(t, func() bool { return slices.ContainsFunc(w.discovery.Requests(), known) })
		answers, complete := 0, false
		for _, c := range w.discovery.Requests()[from:] {
			if complete = complete || c.Complete; c.Endpoints > 0 && c.Revision == revision {
				answers++
			}
		}
		if !complete {
			return float64(answers)
		}
	}
	t.Error("the whole list was asked for again and again")
	return 0
}
