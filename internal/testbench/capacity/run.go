package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"plankrouter/internal/testbench/fakes"
	"plankrouter/internal/testbench/process"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const maxStall = 100 * time.Millisecond // by which a timer may come late: beyond it a point is measured again

// Setup is what a run needs to know.
type Setup struct {
	Program string // path of the sidecar's program
	Dir     string // an existing folder for configurations and logs
	Core    int    // of the machine, for the sidecar alone to use; below 0 = it may use all
	Only    string // sweeps whose name holds this; "" = all
	Said    func(format string, args ...any)
}

// SweepReport is a sweep with its points measured.
type SweepReport struct {
	Name   string          `json:"name"`
	Unit   string          `json:"unit"`
	Points []Point         `json:"points"`
	Sizes  []float64       `json:"sizes"` // of the points, as measured
	Lines  map[string]Line `json:"lines"` // by figure
	order  []Figure
}

// Report is a whole run.
type Report struct {
	Began    time.Time     `json:"began"`
	Cores    int           `json:"cores"`
	Core     int           `json:"core"` // that the sidecar was kept to; -1 = none
	LoadFrom string        `json:"load_before"`
	LoadTo   string        `json:"load_after"`
	Sweeps   []SweepReport `json:"sweeps"`
	Module   []ModulePoint `json:"module"`
	PerLook  Line          `json:"module_idle"`    // ms a second for each server
	PerCall  Line          `json:"module_request"` // us a request for each server
}

// Run runs the plan. It returns what it has if ctx ends, with an error.
func Run(ctx context.Context, s Setup, p Plan) (*Report, error) {
	if s.Said == nil {
		s.Said = func(string, ...any) {}
	}
	var err error
	if s.Program, err = filepath.Abs(s.Program); err != nil {
		return nil, err
	}
	r := &Report{Began: time.Now(), Cores: runtime.NumCPU(), Core: max(-1, s.Core), LoadFrom: loadAverage()}
	for _, sweep := range p.Sweeps {
		if !strings.Contains(sweep.Name, s.Only) {
			continue
		}
		got := SweepReport{Name: sweep.Name, Unit: sweep.Unit, Lines: map[string]Line{}, order: sweep.Figure}
		for i, point := range sweep.Points {
			if err := steady(ctx, s, p, &point); err != nil {
				return r, fmt.Errorf("%s, point %d of %d: %w", sweep.Name, i+1, len(sweep.Points), err)
			}
			got.Points = append(got.Points, point)
			got.Sizes = append(got.Sizes, sweep.X(&point))
			m := &point.Measured
			s.Said("%s: %g %s: cpu %.2f ms/s, rss %.1f MB, probes %.1f/s, served %d of %d, load %.1f, stall %.0f ms, tries %d", sweep.Name, sweep.X(&point),
				sweep.Unit, m.CPU, m.RSS/1024, m.Probes, m.Served, m.Requests, m.Load, m.StallMs, m.Tries)
		}
		for _, f := range sweep.Figure {
			y := make([]float64, len(got.Points))
			for i := range y {
				y[i] = f.Y(&got.Points[i].Measured)
			}
			if l := Fit(got.Sizes, y); !math.IsNaN(l.Slope) {
				got.Lines[f.Name] = l
			}
		}
		r.Sweeps = append(r.Sweeps, got)
	}
	if strings.Contains("module", s.Only) {
		var x, idle, request []float64
		for _, point := range p.Module {
			m, err := measureModule(point, p.ModuleSeconds)
			if err != nil {
				return r, err
			}
			r.Module = append(r.Module, m)
			x, idle, request = append(x, float64(m.Servers)), append(idle, m.IdleMs), append(request, m.RequestUs)
		}
		r.PerLook, r.PerCall = Fit(x, idle), Fit(x, request)
	}
	r.LoadTo = loadAverage()
	return r, ctx.Err()
}

// loadAverage is the machine's, of 1, 5 and 15 minutes.
func loadAverage() string {
	raw, _ := os.ReadFile("/proc/loadavg")
	return strings.Join(strings.Fields(string(raw))[:min(3, len(strings.Fields(string(raw))))], " ")
}

// world is what surrounds the sidecar of one point.
type world struct {
	told      Point // as before anything is measured
	network   fakes.Network
	tiles     *fakeServers
	directory *fakeDiscovery
	sidecar   *sidecar
	clients   []net.Conn
	open      atomic.Int64 // of clients

	changed atomic.Int64
}

// reading is all counters at one moment.
type reading struct {
	at                       time.Time
	cpu                      time.Duration
	probes, calls, lists     Traffic
	whole, accepted, logged  int64
	changed, reloaded, rssKB int64
}

func (w *world) read() (r reading, err error) {
	r.at = time.Now()
	if r.cpu, err = w.sidecar.cpu(); err != nil {
		return r, err
	}
	r.probes, r.calls, r.accepted = w.tiles.probes.read(), w.tiles.calls.read(), w.tiles.accepted.Load()
	r.lists, r.whole = w.directory.lists()
	r.logged, r.changed = w.sidecar.log.bytes.Load(), w.changed.Load()
	rss, err := w.sidecar.resident()
	r.rssKB = rss >> 10
	return r, err
}

// steady measures a point, again where the machine has held up the lab, and so the sidecar, for too long: of those runs the one
// that was held up least.
func steady(ctx context.Context, s Setup, p Plan, point *Point) error {
	for tries := 1; ; tries++ {
		once := *point
		once.Measured = Measured{}
		if err := measure(ctx, s, p, &once); err != nil {
			return err
		}
		if tries == 1 || once.Measured.StallMs < point.Measured.StallMs {
			*point = once
		}
		point.Measured.Tries = tries
		if time.Duration(point.Measured.StallMs*float64(time.Millisecond)) <= maxStall || tries > p.Again {
			return nil
		}
	}
}

// measure runs one point.
func measure(ctx context.Context, s Setup, p Plan, point *Point) (err error) {
	dir, err := os.MkdirTemp(s.Dir, "point-")
	if err != nil {
		return err
	}
	w := &world{told: *point, network: fakes.Loopback()}
	defer w.closeFakes()
	if err := w.startFakes(); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, "sidecar.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	if w.sidecar, err = prepare(w.network, dir); err != nil {
		return err
	}
	if err := w.configure(0); err != nil {
		return err
	}
	began := time.Now()
	defer func() { err = errors.Join(err, w.sidecar.stop()) }()
	if err := w.sidecar.start(ctx, w.network, s.Program, s.Core, log); err != nil {
		return err
	}
	ready, err := w.read()
	if err != nil {
		return err
	}
	m := &point.Measured
	m.recordStart(time.Since(began), ready)
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	defer w.hangUp()
	if err := w.connect(ctx, point.Clients); err != nil {
		return err
	}
	load := w.newLoad(p.Settle + p.Window)
	loaded, endLoad := context.WithCancel(ctx)
	defer endLoad()
	var tries []fakes.Try
	var calling sync.WaitGroup
	calling.Go(func() { tries = load.Run(loaded) })
	w.every(ctx, &running, point.Changes, func(n int) error { w.change(n); return nil })
	w.every(ctx, &running, point.Reloads, w.reload)

	from, to, err := w.readWindow(ctx, p, m)
	if err != nil {
		return err
	}
	endLoad()
	calling.Wait()
	cancel()
	running.Wait()
	m.between(from, to)
	m.judge(tries, &w.tiles.took, from.at, to.at)
	m.Load, _ = strconv.ParseFloat(strings.Fields(loadAverage())[0], 64)
	return nil
}

// startFakes starts the point's servers and the discovery that lists them.
func (w *world) startFakes() (err error) {
	if w.tiles, err = newFakeServers(w.network, w.told.Servers); err != nil {
		return err
	}
	w.directory, err = newFakeDiscovery(w.network, w.tiles.members())
	return err
}

func (w *world) closeFakes() {
	if w.directory != nil {
		w.directory.Close()
	}
	if w.tiles != nil {
		w.tiles.close()
	}
}

// recordStart records what the start of the sidecar took.
func (m *Measured) recordStart(took time.Duration, ready reading) {
	m.ReadyMs = ms(took)
	m.StartCPU = ms(ready.cpu)
	m.StartLists = ready.lists.Messages
	m.StartBytes = ready.lists.Bytes
	m.StartWhole = ready.whole
	m.StartProbes = ready.probes.Messages
	m.StartConnects = ready.accepted
}

// newLoad returns the point's clients, whose load lasts a little longer than the measurement.
func (w *world) newLoad(measured time.Duration) *fakes.Consumers {
	return fakes.NewConsumers(fakes.Load{
		Network: w.network, Address: w.sidecar.address, Seed: 1,
		Flows: []fakes.Flow{{Class: fakes.Tile(), Rate: w.told.Rate}}, For: measured + 2*time.Second,
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
	busy := process.Watch()
	err = fakes.Pause(ctx, p.Window)
	late, _ := busy.Look()
	busy.Close()
	if m.StallMs = ms(late); err != nil {
		return from, to, err
	}
	if to, err = w.read(); err != nil {
		return from, to, err
	}
	m.Open = w.tiles.open.Load()
	m.Met = w.tiles.met.Load()
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

// readAll reads what the sidecar has to say, too.
func (w *world) readAll(ctx context.Context) (reading, error) {
	_, body, err := w.sidecar.scrape(ctx, w.network)
	if err != nil {
		return reading{}, err
	}
	var told struct {
		Success int64 `json:"reload_success"`
	}
	if err := json.Unmarshal(body, &told); err != nil {
		return reading{}, fmt.Errorf("/metrics: %w", err)
	}
	r, err := w.read()
	r.reloaded = told.Success
	return r, err
}

// between notes what happened between two readings.
func (m *Measured) between(from, to reading) {
	m.Seconds = to.at.Sub(from.at).Seconds()
	each := func(n int64) float64 { return float64(n) / m.Seconds }
	m.CPU = ms(to.cpu-from.cpu) / m.Seconds
	m.RSS = float64(to.rssKB)
	probes, calls, lists := to.probes.since(from.probes), to.calls.since(from.calls), to.lists.since(from.lists)
	m.Probes, m.ProbeBytes = each(probes.Messages), each(probes.Bytes)
	m.Attempts, m.AttemptBytes = each(calls.Messages), each(calls.Bytes)
	m.Lists, m.ListBytes = each(lists.Messages), each(lists.Bytes)
	m.Connects, m.LogBytes = each(to.accepted-from.accepted), each(to.logged-from.logged)
	m.Changed, m.Reloaded = each(to.changed-from.changed), each(to.reloaded-from.reloaded)
}

// judge counts the requests due in the window, and what was added to each that was served.
func (m *Measured) judge(tries []fakes.Try, atTile *sync.Map, from, to time.Time) {
	var added []float64
	for _, t := range tries {
		if t.At.Before(from) || !t.At.Before(to) {
			continue
		}
		m.Requests++
		if t.Result != fakes.Served {
			continue
		}
		m.Served++
		if took, ok := atTile.Load(t.ID); ok {
			added = append(added, ms(t.EndedAt.Sub(t.SentAt)-took.(time.Duration)))
		}
	}
	if n := len(added); n > 0 {
		slices.Sort(added)
		m.AddedP50, m.AddedP99 = added[(n-1)/2], added[(n-1)*99/100]
	}
}

// configure writes the sidecar's configuration, whose n-th version differs from the one before.
func (w *world) configure(n int) error {
	known := fakes.List{}
	if !w.told.Unknown {
		known = fakes.List{Revision: 1, Members: w.tiles.members()}
	}
	aim := fakes.Tile().Aim + time.Duration(n%2)*time.Millisecond
	return w.sidecar.configure(w.told, w.directory.Address(), known, aim)
}

// reload gives the sidecar its next configuration.
func (w *world) reload(n int) error {
	if err := w.configure(n); err != nil {
		return err
	}
	return w.sidecar.process.Signal(syscall.SIGHUP)
}

// change has the directory tell that one server has started anew.
func (w *world) change(n int) {
	all := w.tiles.members()
	one := all[n%len(all)]
	one.UpSince = time.Now().UnixMilli()
	w.directory.Change(one)
	w.changed.Add(1)
}

// every does something so often a second until ctx ends.
func (w *world) every(ctx context.Context, running *sync.WaitGroup, rate float64, do func(n int) error) {
	if rate <= 0 {
		return
	}
	running.Go(func() {
		next := time.Now()
		for n := 1; ; n++ {
			next = next.Add(time.Duration(float64(time.Second) / rate))
			if fakes.Pause(ctx, time.Until(next)) != nil || do(n) != nil {
				return
			}
		}
	})
}

// connect opens client connections, each of which asks once and stays.
func (w *world) connect(ctx context.Context, n int) error {
	for i := range n {
		c, err := w.network.Dial(ctx, w.sidecar.address)
		if err != nil {
			return err
		}
		w.clients = append(w.clients, c)
		if _, err := fmt.Fprintf(c, "GET /tile/idle HTTP/1.1\r\nHost: api.internal\r\nReq-Id: idle-%d\r\nReq-Deadline: 2.500\r\n\r\n",
			i); err != nil {
			return err
		}
		br := bufio.NewReader(c)
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return fmt.Errorf("client %d: %w", i+1, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return fmt.Errorf("client %d: %w", i+1, err)
		}
		w.open.Add(1)
		go func() {
			_, _ = br.ReadByte() // until the sidecar, or hangUp, closes it
			w.open.Add(-1)
		}()
	}
	return nil
}

func (w *world) hangUp() {
	for _, c := range w.clients {
		c.Close()
	}
}
