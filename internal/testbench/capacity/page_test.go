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

// TestPage compares the table of counts in docs/CAPACITY.md, from which the other figures of the page follow, with the code.
func TestPage(t *testing.T) {
	page := pageCounts(t)
	compare := func(key string, got, tolerance float64) {
		t.Helper()
		want, ok := page[key]
		if !ok {
			t.Errorf("docs/CAPACITY.md has no count %q", key)
			return
		}
		if delete(page, key); math.Abs(got-want) > tolerance {
			t.Errorf("%s: %g by the code, %g in docs/CAPACITY.md", key, got, want)
		}
	}
	for _, price := range []float64{lowProbePrice, 0.02, highProbePrice, 0.32} {
		compare(fmt.Sprintf("probes a request, price %g", price), probing.PerRequest(price, fleetSize, usualRate/1000.0), 0.005)
	}
	for _, servers := range []int{13, 600, 2000, 6000} {
		compare(fmt.Sprintf("servers chosen among, of %d", servers), float64(subset.Size(servers, fleetSize)), 0)
	}
	compare("ms that a watch is held, agent", ms(watchpolicy.PushedSettings(drainGrace).Wait), 0)
	compare("ms that a watch is held, on request", ms(watchpolicy.DefaultSettings().Wait), 0)

	w := startWorld(t, Point{Servers: 10, Instances: fleetSize, Price: lowProbePrice})
	address := float64(len("127.123.123.123:12345") - len("127.1.1.1:1234")) // the difference in length of addresses
	compare("whole lists of a start that knows one", w.firstCallIsComplete(t), 0)
	compare("answers that tell of a change", w.responsesPerChange(t), 0)
	for i := 0; w.servers.probes.read().Messages == 0; i++ { // a rejected request may cause no probe
		w.sendRequest(t, i)
	}
	w.await(t, func() bool { return w.servers.probes.read().Messages > 0 })
	sent := w.servers.probes.read()
	compare("bytes of a probe and its answer", float64(sent.Bytes)/float64(sent.Messages), address)
	_, body, err := w.sidecar.scrape(t.Context(), w.network)
	if err != nil {
		t.Fatal(err)
	}
	compare("bytes of the figures", float64(len(body)), 20) // the number of digits varies

	w = startWorld(t, Point{Servers: 100, Instances: fleetSize, Price: lowProbePrice, OnRequest: true, Unknown: true})
	compare("whole lists of a start that knows none", w.firstCallIsComplete(t), 0)
	raw, err := json.MarshalIndent(fakes.List{Revision: 1, Complete: true, Endpoints: w.servers.endpoints()}, "", "    ")
	if err != nil {
		t.Fatal(err)
	}
	compare("bytes of a list's line", float64(len(raw))/100, address+2)
	for key := range page {
		t.Errorf("docs/CAPACITY.md has a count %q that this test does not check", key)
	}
}

// pageCounts returns the table of counts in docs/CAPACITY.md.
func pageCounts(t *testing.T) map[string]float64 {
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
		t.Fatal("docs/CAPACITY.md has no counts")
	}
	return all
}

// startWorld starts a sidecar with fake servers and discovery.
func startWorld(t *testing.T, point Point) *world {
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
	if w.sidecar, err = newSidecar(w.network, dir); err != nil {
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
	if err := w.sidecar.start(t.Context(), w.network, buildProgram(t), -1, &log); err != nil {
		t.Fatal(err)
	}
	return w
}

func (w *world) await(t *testing.T, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	for !condition() {
		if fakes.Pause(ctx, time.Millisecond) != nil {
			t.Fatal("timeout while waiting for a condition")
		}
	}
}

// sendRequest sends a request and discards the response.
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

// firstCallIsComplete returns 1 if the first call to discovery requests the complete list, and 0 otherwise. Later calls may
// request it when a call times out on a busy machine.
func (w *world) firstCallIsComplete(t *testing.T) float64 {
	t.Helper()
	w.await(t, func() bool { return len(w.discovery.Requests()) > 0 }) // a sidecar with a list is ready before its first call
	if w.discovery.Requests()[0].Complete {
		return 1
	}
	return 0
}

// responsesPerChange returns in how many responses of discovery the sidecar receives a change. When a call times out on a busy
// machine, so that the sidecar requests the complete list, it repeats this with another change.
func (w *world) responsesPerChange(t *testing.T) float64 {
	t.Helper()
	for n := range 20 {
		from := len(w.discovery.Requests()) - 1 // the pending call, unless discovery has just responded to it
		one := w.servers.endpoints()[n%len(w.servers.listeners)]
		one.UpSince = time.Now().UnixMilli()
		revision := w.discovery.Change(one)
		acknowledges := func(c fakes.DiscoveryRequest) bool { return c.Index >= revision }
		w.await(t, func() bool { return slices.ContainsFunc(w.discovery.Requests(), acknowledges) })
		responses, complete := 0, false
		for _, c := range w.discovery.Requests()[from:] {
			if complete = complete || c.Complete; c.Endpoints > 0 && c.Revision == revision {
				responses++
			}
		}
		if !complete {
			return float64(responses)
		}
	}
	t.Error("the sidecar requested the complete list after each of 20 changes")
	return 0
}
