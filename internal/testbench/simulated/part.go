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
	discoveryPlaceholder  = "discovery-of-this-one:1" // placeholder in a template for a sidecar's own discovery address
	inForceCheckInterval  = 5 * time.Millisecond      // interval of checks whether a revision is in force; sidecars record when
	maxConcurrentSidecars = 64                        // sidecars of a part that start, stop or reload concurrently
)

// command is a command to a part. Op determines which fields are used.
type command struct {
	Op string

	// listen: start a discovery server. Listeners is the number of its addresses, Rate its slots per second (0 = unlimited).
	Listeners int
	Rate      float64
	Endpoints []fakes.Endpoint // of the first revision; for the command change, those that change

	// build: create Count simulated sidecars, numbered from First, with the template as configuration. They use the addresses in
	// Discovery in turn.
	First     int
	Count     int
	Template  []byte // the configuration with placeholders; the command prepare writes it again
	Discovery []string
	Cores     int // GOMAXPROCS; 0 = unchanged
	MemoryMB  int // memory limit of the garbage collector; 0 = none

	Known    bool          // start, restart: start with the endpoint list in the configuration
	Within   time.Duration // start, restart, await: timeout
	Revision uint64        // await
	PerS     float64       // calls: requests per second of each sidecar
	Down     bool          // down: whether the servers refuse connections
	At       []string      // down: addresses of the servers
}

// response is a part's response to a command.
type response struct {
	Error     string
	Addresses []string
	Revision  uint64
	Times     []float64 // by sidecar, in ms: since its start or, for await and reload, Unix time; 0 = not within the timeout
	Counts    Counts
	Sent      map[string]int64 // requests by server address
}

// Counts holds the resources that a part has used, and what it has done, since its start.
type Counts struct {
	CPU                        time.Duration
	MemoryMB, HeapMB           float64 // resident memory, and heap and stacks in use
	Calls, Probes, Unreached   int64   // attempts and probes that reached servers, and those refused because a server was down
	Served, Refused, Failed    int64
	WatchFailures, WatchDoubts int64
	Discovery                  Traffic
	Late                       time.Duration // longest delay of a timer since the last count; the maximum in a sum
}

// minus returns the counts since o; MemoryMB, HeapMB and Late stay.
func (c Counts) minus(o Counts) Counts {
	c.CPU -= o.CPU
	c.Calls, c.Probes, c.Unreached = c.Calls-o.Calls, c.Probes-o.Probes, c.Unreached-o.Unreached
	c.Served, c.Refused, c.Failed = c.Served-o.Served, c.Refused-o.Refused, c.Failed-o.Failed
	c.WatchFailures, c.WatchDoubts = c.WatchFailures-o.WatchFailures, c.WatchDoubts-o.WatchDoubts
	c.Discovery = c.Discovery.minus(o.Discovery)
	return c
}

// plus returns the sum of the counts of two parts.
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

// worker holds the state of a part's process.
type worker struct {
	dir       string
	discovery *discoveryServer
	servers   *fakeServers
	sidecars  []*sidecar
	busy      *process.LoadMonitor
}

// Serve runs a part: it executes the commands that it reads from in, and writes a response to each, until in ends.
func Serve(_ context.Context, in io.Reader, out io.Writer) error {
	dir, err := os.MkdirTemp("", "testbench-hollow-")
	if err != nil {
		return err
	}
	w := &worker{dir: dir, servers: newFakeServers(), busy: process.StartLoadMonitor()}
	defer w.close()
	commands, responses := json.NewDecoder(in), json.NewEncoder(out)
	for {
		var o command
		if err := commands.Decode(&o); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("commands: %w", err)
		}
		r, err := w.execute(&o)
		if err != nil {
			r.Error = o.Op + ": " + err.Error()
		}
		if err := responses.Encode(r); err != nil {
			return fmt.Errorf("responses: %w", err)
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

func (w *worker) execute(o *command) (r response, err error) {
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
		err = errors.New("unknown command")
	}
	return r, err
}

// restart stops the first Count sidecars and starts them all at once.
func (w *worker) restart(o *command) ([]float64, error) {
	count := min(o.Count, len(w.sidecars))
	if err := w.each(count, func(_ int, s *sidecar) error { s.end(); return nil }); err != nil {
		return nil, err
	}
	return w.start(count, o)
}

// reload makes all sidecars reload their configuration, and returns when each had done so.
func (w *worker) reload() ([]float64, error) {
	times := make([]float64, len(w.sidecars))
	err := w.each(len(w.sidecars), func(i int, s *sidecar) error {
		err := s.reload()
		times[i] = unixMs(time.Now())
		return err
	})
	return times, err
}

// setDown sets whether the servers at the addresses refuse connections.
func (w *worker) setDown(addresses []string, down bool) {
	for _, address := range addresses {
		w.servers.at(address).down.Store(down)
	}
}

// unixMs returns t as Unix time in milliseconds.
func unixMs(t time.Time) float64 { return float64(t.UnixMicro()) / 1e3 }

// build creates the sidecars and writes their configurations.
func (w *worker) build(o *command) error {
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

// each calls do for the first count sidecars, up to maxConcurrentSidecars of them concurrently.
func (w *worker) each(count int, do func(int, *sidecar) error) error {
	var group errgroup.Group
	group.SetLimit(maxConcurrentSidecars)
	for i, s := range w.sidecars[:count] {
		group.Go(func() error { return do(i, s) })
	}
	return group.Wait()
}

// start starts the first count sidecars, and returns how long it took until discovery's first response was in force at each.
func (w *worker) start(count int, o *command) ([]float64, error) {
	if err := w.each(count, func(_ int, s *sidecar) error { return s.start(o.Known) }); err != nil {
		return nil, err
	}
	times := make([]float64, count)
	for until := time.Now().Add(o.Within); ; time.Sleep(inForceCheckInterval) {
		missing := false
		for i, s := range w.sidecars[:count] {
			if times[i] == 0 {
				times[i] = s.firstUpdateAfter(o.Known)
				missing = missing || times[i] == 0
			}
		}
		if !missing || !time.Now().Before(until) {
			return times, nil
		}
	}
}

// await returns when the revision, or a later one, came into force at each sidecar.
func (w *worker) await(revision uint64, within time.Duration) []float64 {
	times := make([]float64, len(w.sidecars))
	for until := time.Now().Add(within); ; time.Sleep(inForceCheckInterval) {
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

// counts returns the part's counts.
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

// resident returns the resident memory of a process in MB.
func resident(pid int) (float64, error) {
	bytes, err := process.ResidentMemory(pid)
	return float64(bytes) / (1 << 20), err
}
