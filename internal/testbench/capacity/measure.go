package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"plankrouter/internal/testbench/fakes"
	"plankrouter/internal/testbench/process"
)

// world holds the sidecar of one point and the fakes around it.
type world struct {
	point     Point // without results
	network   fakes.Network
	servers   *fakeServers
	discovery *fakeDiscovery
	sidecar   *sidecar
	clients   []net.Conn
	open      atomic.Int64 // client connections

	changed atomic.Int64 // endpoint changes so far
}

// reading holds the values of all counters at one time.
type reading struct {
	time                            time.Time
	cpu                             time.Duration
	probes, attempts, lists         Traffic
	completeLists, accepted, logged int64
	changed, reloaded, rssKB        int64
}

func (w *world) read() (r reading, err error) {
	r.time = time.Now()
	if r.cpu, err = w.sidecar.cpu(); err != nil {
		return r, err
	}
	r.probes, r.attempts, r.accepted = w.servers.probes.read(), w.servers.attempts.read(), w.servers.accepted.Load()
	r.lists, r.completeLists = w.discovery.lists()
	r.logged, r.changed = w.sidecar.log.bytes.Load(), w.changed.Load()
	rss, err := w.sidecar.resident()
	r.rssKB = rss >> 10
	return r, err
}

// measure runs one point and sets point.Measured.
func measure(ctx context.Context, s Setup, p Plan, point *Point) (err error) {
	dir, err := os.MkdirTemp(s.Dir, "point-")
	if err != nil {
		return err
	}
	w := &world{point: *point, network: fakes.Loopback()}
	defer w.closeFakes()
	if err := w.startFakes(); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, "sidecar.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	if w.sidecar, err = newSidecar(w.network, dir); err != nil {
		return err
	}
	if err := w.configure(0); err != nil {
		return err
	}
	startedAt := time.Now()
	defer func() { err = errors.Join(err, w.sidecar.stop()) }()
	if err := w.sidecar.start(ctx, w.network, s.Program, s.Core, log); err != nil {
		return err
	}
	m := &point.Measured
	if err := w.recordStart(m, startedAt); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	defer w.closeClients()
	if err := w.connect(ctx, point.Clients); err != nil {
		return err
	}
	load := w.newLoad(p.Settle + p.Window)
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	var tries []fakes.Attempt
	var loadRunning sync.WaitGroup
	loadRunning.Go(func() { tries = load.Run(loadCtx) })
	w.every(ctx, &running, point.Changes, func(n int) error { w.changeEndpoint(n); return nil })
	w.every(ctx, &running, point.Reloads, w.reload)

	from, to, err := w.readWindow(ctx, p, m)
	if err != nil {
		return err
	}
	endLoad()
	loadRunning.Wait()
	cancel()
	running.Wait()
	m.recordBetween(from, to)
	m.countRequests(tries, &w.servers.serviceTimes, from.time, to.time)
	m.Load, _ = strconv.ParseFloat(strings.Fields(loadAverage())[0], 64)
	return nil
}

// startFakes starts the point's fake servers and the fake discovery that lists them.
func (w *world) startFakes() (err error) {
	if w.servers, err = newFakeServers(w.network, w.point.Servers); err != nil {
		return err
	}
	w.discovery, err = newFakeDiscovery(w.network, w.servers.endpoints())
	return err
}

func (w *world) closeFakes() {
	if w.discovery != nil {
		w.discovery.Close()
	}
	if w.servers != nil {
		w.servers.close()
	}
}

// recordStart records the cost of the sidecar's start, right after it has become ready.
func (w *world) recordStart(m *Measured, startedAt time.Time) error {
	ready, err := w.read()
	if err != nil {
		return err
	}
	m.ReadyMs = ms(time.Since(startedAt))
	m.StartCPU = ms(ready.cpu)
	m.StartLists = ready.lists.Messages
	m.StartBytes = ready.lists.Bytes
	m.StartCompleteLists = ready.completeLists
	m.StartProbes = ready.probes.Messages
	m.StartConnects = ready.accepted
	return nil
}

// newLoad returns the point's clients, whose load lasts a little longer than the measurement.
func (w *world) newLoad(measurement time.Duration) *fakes.Clients {
	return fakes.NewClients(fakes.Load{
		Network: w.network, Address: w.sidecar.address, Seed: 1,
		Streams: []fakes.Stream{{Class: fakes.TileClass(), Rate: w.point.Rate}}, Duration: measurement + 2*time.Second,
	})
}

// readWindow waits until the point has settled and returns the readings at the start and at the end of its window.
func (w *world) readWindow(ctx context.Context, p Plan, m *Measured) (from, to reading, err error) {
	if err := fakes.Pause(ctx, p.Settle); err != nil {
		return from, to, err
	}
	if from, err = w.readAll(ctx); err != nil {
		return from, to, err
	}
	busy := process.StartLoadMonitor()
	err = fakes.Pause(ctx, p.Window)
	stall, _ := busy.Sample()
	busy.Close()
	if m.StallMs = ms(stall); err != nil {
		return from, to, err
	}
	if to, err = w.read(); err != nil {
		return from, to, err
	}
	m.Open = w.servers.open.Load()
	m.Contacted = w.servers.contacted.Load()
	m.ClientsOpen = int(w.open.Load())
	last, err := w.readAll(ctx)
	if err != nil {
		return from, to, err
	}
	to.reloaded = last.reloaded
	m.ScrapeBytes, _, err = w.sidecar.scrape(ctx, w.network)
	return from, to, err
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// readAll returns a reading that includes the sidecar's own metrics.
func (w *world) readAll(ctx context.Context) (reading, error) {
	_, body, err := w.sidecar.scrape(ctx, w.network)
	if err != nil {
		return reading{}, err
	}
	var metrics struct {
		Success int64 `json:"reload_success"`
	}
	if err := json.Unmarshal(body, &metrics); err != nil {
		return reading{}, fmt.Errorf("/metrics: %w", err)
	}
	r, err := w.read()
	r.reloaded = metrics.Success
	return r, err
}

// recordBetween records the rates between two readings.
func (m *Measured) recordBetween(from, to reading) {
	m.Seconds = to.time.Sub(from.time).Seconds()
	rate := func(n int64) float64 { return float64(n) / m.Seconds }
	m.CPU = ms(to.cpu-from.cpu) / m.Seconds
	m.RSS = float64(to.rssKB)
	probes, attempts, lists := to.probes.since(from.probes), to.attempts.since(from.attempts), to.lists.since(from.lists)
	m.Probes, m.ProbeBytes = rate(probes.Messages), rate(probes.Bytes)
	m.Attempts, m.AttemptBytes = rate(attempts.Messages), rate(attempts.Bytes)
	m.Lists, m.ListBytes = rate(lists.Messages), rate(lists.Bytes)
	m.Connects, m.LogBytes = rate(to.accepted-from.accepted), rate(to.logged-from.logged)
	m.Changed, m.Reloaded = rate(to.changed-from.changed), rate(to.reloaded-from.reloaded)
}

// countRequests counts the requests that were due in the window, and computes the latency added to those that were served.
func (m *Measured) countRequests(tries []fakes.Attempt, serviceTimes *sync.Map, from, to time.Time) {
	var added []float64
	for _, t := range tries {
		if t.DueAt.Before(from) || !t.DueAt.Before(to) {
			continue
		}
		m.Requests++
		if t.Result != fakes.Served {
			continue
		}
		m.Served++
		if took, ok := serviceTimes.Load(t.ID); ok {
			added = append(added, ms(t.EndedAt.Sub(t.SentAt)-took.(time.Duration)))
		}
	}
	if n := len(added); n > 0 {
		slices.Sort(added)
		m.AddedP50, m.AddedP99 = added[(n-1)/2], added[(n-1)*99/100]
	}
}
