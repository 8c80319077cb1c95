package simulated

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"plankrouter/internal/testbench/fakes"
	"plankrouter/internal/testbench/process"
)

const (
	discoveryMark = "discovery-of-this-one:1" // in a template, for a sidecar's own
	inForceLook   = 5 * time.Millisecond      // between two looks at whether a revision is in force; its time is noted as it comes
	startedAtOnce = 64                        // sidecars of a part that read their configuration side by side
)

// order is one command to a part. Op says which fields count.
type order struct {
	Op string

	// listen: a discovery with so many addresses; 0 Rate = no bound.
	Listeners int
	Rate      float64
	Endpoints []fakes.Endpoint // change, too

	// build: simulated sidecars by the template, each with a discovery of its own or with one for all.
	First     int
	Count     int
	Template  []byte // prepare, too
	Discovery []string
	Cores     int // 0 = as many as there are
	MemoryMB  int // of the collector's limit, 0 = none

	Known    bool          // start, restart: with the list in the configuration
	Within   time.Duration // start, restart, await
	Revision uint64        // await
	PerS     float64       // calls: of each sidecar
	Down     bool          // down
	At       []string      // down: addresses
}

// reply is a part's answer.
type reply struct {
	Error     string
	Addresses []string
	Revision  uint64
	Times     []float64 // by sidecar, in ms: from its start or, of await and reload, Unix time; 0 = not within the time
	Counts    Counts
	Sent      map[string]int64 // calls by address
}

// Counts is what a part has used and done since its start.
type Counts struct {
	CPU                        time.Duration
	MemoryMB, HeapMB           float64 // resident, and what the collector has found in use
	Calls, Probes, Unreached   int64   // attempts and probes that reached servers, and those of either that were refused there
	Served, Refused, Failed    int64
	WatchFailures, WatchDoubts int64
	Discovery                  Traffic
	Late                       time.Duration // by which a timer came late at most, since the last count; of a sum the most
}

func (c Counts) minus(o Counts) Counts {
	c.CPU -= o.CPU
	c.Calls, c.Probes, c.Unreached = c.Calls-o.Calls, c.Probes-o.Probes, c.Unreached-o.Unreached
	c.Served, c.Refused, c.Failed = c.Served-o.Served, c.Refused-o.Refused, c.Failed-o.Failed
	c.WatchFailures, c.WatchDoubts = c.WatchFailures-o.WatchFailures, c.WatchDoubts-o.WatchDoubts
	c.Discovery = c.Discovery.minus(o.Discovery)
	return c
}

// plus adds another part's.
func (c Counts) plus(o Counts) Counts {
	c.CPU += o.CPU
	c.MemoryMB, c.HeapMB = c.MemoryMB+o.MemoryMB, c.HeapMB+o.HeapMB
	c.Calls, c.Probes, c.Unreached = c.Calls+o.Calls, c.Probes+o.Probes, c.Unreached+o.Unreached
	c.Served, c.Refused, c.Failed = c.Served+o.Served, c.Refused+o.Refused, c.Failed+o.Failed
	c.WatchFailures, c.WatchDoubts = c.WatchFailures+o.WatchFailures, c.WatchDoubts+o.WatchDoubts
	c.Discovery = c.Discovery.plus(o.Discovery)
	c.Late = max(c.Late, o.Late)
	return c
}

// worker is what a part's process has.
type worker struct {
	dir       string
	discovery *discoveryServer
	servers   *fakeServers
	sidecars  []*sidecar
	busy      *process.LoadMonitor
}

// Serve is the life of a part: it obeys the orders that it reads until they end.
func Serve(_ context.Context, in io.Reader, out io.Writer) error {
	dir, err := os.MkdirTemp("", "testbench-hollow-")
	if err != nil {
		return err
	}
	h := &worker{dir: dir, servers: newFakeServers(), busy: process.StartLoadMonitor()}
	defer h.close()
	orders, replies := json.NewDecoder(in), json.NewEncoder(out)
	for {
		var o order
		if err := orders.Decode(&o); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("orders: %w", err)
		}
		r, err := h.execute(&o)
		if err != nil {
			r.Error = o.Op + ": " + err.Error()
		}
		if err := replies.Encode(r); err != nil {
			return fmt.Errorf("replies: %w", err)
		}
	}
}

func (w *worker) close() {
	w.busy.Close()
	for _, s := range w.sidecars {
		s.end()
	}
	if w.discovery != nil {
		w.discovery.close()
	}
	_ = os.RemoveAll(w.dir)
}

func (w *worker) execute(o *order) (r reply, err error) {
	switch o.Op {
	case "listen":
		if w.discovery, err = newDiscovery(o.Listeners, o.Rate, o.Endpoints); err == nil {
			r.Addresses, r.Revision = w.discovery.addresses, 1
		}
	case "change":
		r.Revision = w.discovery.change(o.Endpoints)
	case "build":
		return r, w.build(o)
	case "prepare":
		return r, w.each(len(w.sidecars), func(_ int, s *sidecar) error { return s.write(o.Template) })
	case "start":
		r.Times, err = w.start(len(w.sidecars), o)
	case "restart":
		r.Times, err = w.restart(o)
	case "await":
		r.Times = w.await(o.Revision, o.Within)
	case "reload":
		r.Times, err = w.reload()
	case "calls":
		for _, s := range w.sidecars {
			s.rate.Store(uint64(o.PerS * 1e3))
		}
	case "down":
		w.setDown(o.At, o.Down)
	case "count":
		r.Counts, err = w.counts()
	case "sent":
		r.Sent = w.servers.sent()
	default:
		err = errors.New("unknown order")
	}
	return r, err
}

// restart ends the first so many and starts them all at once.
func (w *worker) restart(o *order) ([]float64, error) {
	count := min(o.Count, len(w.sidecars))
	if err := w.each(count, func(_ int, s *sidecar) error { s.end(); return nil }); err != nil {
		return nil, err
	}
	return w.start(count, o)
}

// reload has all read their configuration again, and returns when each had.
func (w *worker) reload() ([]float64, error) {
	times := make([]float64, len(w.sidecars))
	err := w.each(len(w.sidecars), func(i int, s *sidecar) error {
		err := s.reload()
		times[i] = unixMs(time.Now())
		return err
	})
	return times, err
}

// setDown has servers refuse connections, or take them again.
func (w *worker) setDown(addresses []string, down bool) {
	for _, address := range addresses {
		w.servers.at(address).down.Store(down)
	}
}

func unixMs(t time.Time) float64 { return float64(t.UnixMicro()) / 1e3 }

// build makes the sidecars' configurations.
func (w *worker) build(o *order) error {
	if o.Cores > 0 {
		runtime.GOMAXPROCS(o.Cores)
	}
	if o.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(o.MemoryMB) << 20)
	}
	for i := range o.Count {
		s := &sidecar{
			zone: (o.First + i) % zones, name: "h" + strconv.Itoa(o.First+i), seed: uint64(o.First + i + 1), servers: w.servers,
			discovery: o.Discovery[i%len(o.Discovery)], file: filepath.Join(w.dir, strconv.Itoa(i)+".json"),
		}
		if err := s.write(o.Template); err != nil {
			return err
		}
		w.sidecars = append(w.sidecars, s)
	}
	return nil
}

// each does something to the first so many, some side by side.
func (w *worker) each(count int, do func(int, *sidecar) error) error {
	var group errgroup.Group
	group.SetLimit(startedAtOnce)
	for i, s := range w.sidecars[:count] {
		group.Go(func() error { return do(i, s) })
	}
	return group.Wait()
}

// start starts the first so many and returns after how long each had discovery's first answer in force.
func (w *worker) start(count int, o *order) ([]float64, error) {
	if err := w.each(count, func(_ int, s *sidecar) error { return s.start(o.Known) }); err != nil {
		return nil, err
	}
	times := make([]float64, count)
	for until := time.Now().Add(o.Within); ; time.Sleep(inForceLook) {
		missing := false
		for i, s := range w.sidecars[:count] {
			if times[i] == 0 {
				times[i] = s.firstAfter(o.Known)
				missing = missing || times[i] == 0
			}
		}
		if !missing || !time.Now().Before(until) {
			return times, nil
		}
	}
}

// await returns when a revision came into force at each.
func (w *worker) await(revision uint64, within time.Duration) []float64 {
	times := make([]float64, len(w.sidecars))
	for until := time.Now().Add(within); ; time.Sleep(inForceLook) {
		missing := false
		for i, s := range w.sidecars {
			if times[i] > 0 {
				continue
			}
			if at := s.inForce(revision); at.IsZero() {
				missing = true
			} else {
				times[i] = unixMs(at)
			}
		}
		if !missing || !time.Now().Before(until) {
			return times
		}
	}
}

func (w *worker) counts() (c Counts, err error) {
	if c.CPU, err = process.CPUTime(os.Getpid()); err != nil {
		return c, err
	}
	if c.MemoryMB, err = resident(os.Getpid()); err != nil {
		return c, err
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	c.HeapMB = float64(memory.HeapInuse+memory.StackInuse) / (1 << 20)
	c.Late, _ = w.busy.Sample()
	c.Calls, c.Probes, c.Unreached = w.servers.counts()
	for _, s := range w.sidecars {
		c.Served += s.served.Load()
		c.Refused += s.refused.Load()
		c.Failed += s.failed.Load()
		c.WatchFailures += s.failures
		c.WatchDoubts += s.fullRefreshes
		if s.stop != nil {
			c.WatchFailures += s.watch.Failures.Load()
			c.WatchDoubts += s.watch.FullRefreshes.Load()
		}
	}
	if w.discovery != nil {
		c.Discovery = w.discovery.traffic()
	}
	return c, nil
}

// resident is the memory of a process in MB.
func resident(pid int) (float64, error) {
	bytes, err := process.ResidentMemory(pid)
	return float64(bytes) / (1 << 20), err
}
