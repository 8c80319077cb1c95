package simulated

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"plankrouter/internal/testbench/fakes"
	"plankrouter/internal/testbench/process"
)

// Comparison is one real sidecar or one simulated one, alone in a process, in the same world.
type Comparison struct {
	Which             string  `json:"which"` // real or hollow
	Servers           int     `json:"servers"`
	RequestsPerSecond float64 `json:"asked_s"` // calls a second that were drawn
	CPUPct            float64 `json:"cpu_pct"` // of a core
	MemoryMB          float64 `json:"memory_mb"`
	CallsS            float64 `json:"calls_s"` // that servers got
	ProbesS           float64 `json:"probes_s"`
	ListCalls         float64 `json:"list_calls_s"`
	ListIn            float64 `json:"list_bytes_in_s"`
	ListOut           float64 `json:"list_bytes_out_s"`
	CompleteLists     int64   `json:"list_whole"`
	StallMs           float64 `json:"stall_ms"`           // see process.Neighbours
	Machine           float64 `json:"machine_cores_busy"` // likewise
}

const (
	readyWithin = 10 * time.Second
	endWithin   = 10 * time.Second
	warmUp      = 2 * time.Second // before the window
)

// Compare measures one of each side by side in time: a window of the real one, then one of the simulated one, in a world of an
// agent, a list and, for the real one, servers that answer as quickly as the simulated one's do in memory.
func Compare(ctx context.Context, program string, set Setup, rate float64, window time.Duration) (out []Comparison, err error) {
	if set.Spawn == nil {
		set.Spawn = Here
	}
	set.Sidecars, set.Kind = 1, Pushed
	measured, err := measureReal(ctx, program, set, rate, window)
	if err != nil {
		return nil, fmt.Errorf("real: %w", err)
	}
	simulatedSidecar, err := measureSimulated(ctx, set, rate, window)
	if err != nil {
		return nil, fmt.Errorf("hollow: %w", err)
	}
	return []Comparison{measured, simulatedSidecar}, nil
}

// startDiscovery is a world with an agent and nobody else.
func startDiscovery(ctx context.Context, set Setup, endpoints []fakes.Endpoint) (w *world, agent string, template []byte, err error) {
	w = &world{set: set, endpoints: endpoints, latencyObjective: fakes.TileClass().LatencyObjective, known: fakes.List{Revision: 1, Endpoints: endpoints}}
	addresses, err := w.listen(ctx, 1)
	if err != nil {
		return w, "", nil, err
	}
	template, err = w.template()
	return w, addresses[0], template, err
}

func measureSimulated(ctx context.Context, set Setup, rate float64, window time.Duration) (c Comparison, err error) {
	w, agent, template, err := startDiscovery(ctx, set, servers(set.Servers))
	defer func() {
		if ended := w.close(); err == nil {
			err = ended
		}
	}()
	if err != nil {
		return c, err
	}
	p, err := set.Spawn(ctx)
	if err != nil {
		return c, err
	}
	w.simulatedFleet, w.counts = []*Part{p}, []int{1}
	for _, o := range []order{
		{Op: "build", Count: 1, Template: template, Discovery: []string{agent}, Cores: 1, MemoryMB: memoryMB * 7 / 10},
		{Op: "start", Known: true, Within: readyWithin},
		{Op: "calls", PerS: rate},
	} {
		if _, err := p.send(o); err != nil {
			return c, err
		}
	}
	time.Sleep(warmUp)
	busy := process.StartLoadMonitor()
	defer busy.Close()
	u, long, err := w.during(func() error { time.Sleep(window); return nil })
	if err != nil {
		return c, err
	}
	c = Comparison{
		Which: "hollow", Servers: set.Servers, RequestsPerSecond: rate, CPUPct: 100 * u.Simulated.CPU.Seconds() / long.Seconds(),
		MemoryMB: u.Simulated.MemoryMB, CallsS: float64(u.Simulated.Calls) / long.Seconds(),
		ProbesS: float64(u.Simulated.Probes) / long.Seconds(),
	}
	c.addDiscoveryTraffic(u, long, busy)
	return c, nil
}

func (c *Comparison) addDiscoveryTraffic(u used, long time.Duration, busy *process.LoadMonitor) {
	late, cores := busy.Sample()
	c.StallMs, c.Machine = ms(late), cores
	t, s := u.Discovery.Discovery, long.Seconds()
	c.ListCalls, c.ListIn, c.ListOut, c.CompleteLists = float64(t.Calls)/s, float64(t.BytesIn)/s, float64(t.BytesOut)/s, t.Complete
}

// startWarmFleet starts servers that are past slow start, as those of simulated sidecars are, in all zones by turns.
func startWarmFleet(network fakes.Network, servers int) (*fakes.Fleet, []fakes.Endpoint, error) {
	fleet, err := fakes.NewFleet(network, servers, fakes.ServerOptions{
		ID: "t", Seed: 1, Cores: 64, Queue: 64,
		MaxIdle: time.Minute, Default: fakes.Service{Mean: callTakes, Body: 64},
	})
	if err != nil {
		return nil, nil, err
	}
	endpoints := fleet.Endpoints()
	for i := range endpoints {
		endpoints[i].Locality = zone(i % zones)
		endpoints[i].UpSince = 0
	}
	return fleet, endpoints, nil
}

func measureReal(ctx context.Context, program string, set Setup, rate float64, window time.Duration) (c Comparison, err error) {
	network := fakes.Loopback()
	fleet, endpoints, err := startWarmFleet(network, set.Servers)
	if err != nil {
		return c, err
	}
	defer fleet.Close()
	w, agent, template, err := startDiscovery(ctx, set, endpoints)
	defer func() {
		if ended := w.close(); err == nil {
			err = ended
		}
	}()
	if err != nil {
		return c, err
	}
	sidecar, err := startReal(ctx, network, program, agent, template)
	if err != nil {
		return c, err
	}
	defer func() {
		if ended := sidecar.stop(); err == nil {
			err = ended
		}
	}()
	calling, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if rate > 0 {
			fakes.NewClients(fakes.Load{
				Network: network, Address: sidecar.address, Seed: 1,
				Streams: []fakes.Stream{{Class: fakes.TileClass(), Rate: rate}}, Duration: warmUp + window + time.Second,
			}).Run(calling)
		}
	}()
	defer func() { stop(); <-done }()
	time.Sleep(warmUp)
	calls, probes := reached(fleet)
	before, err := process.CPUTime(sidecar.program.Pid())
	if err != nil {
		return c, err
	}
	busy := process.StartLoadMonitor()
	defer busy.Close()
	u, long, err := w.during(func() error { time.Sleep(window); return nil })
	if err != nil {
		return c, err
	}
	after, err := process.CPUTime(sidecar.program.Pid())
	if err != nil {
		return c, err
	}
	calls2, probes2 := reached(fleet)
	c = Comparison{
		Which: "real", Servers: set.Servers, RequestsPerSecond: rate, CPUPct: 100 * (after - before).Seconds() / long.Seconds(),
		CallsS: float64(calls2-calls) / long.Seconds(), ProbesS: float64(probes2-probes) / long.Seconds(),
	}
	c.addDiscoveryTraffic(u, long, busy)
	c.MemoryMB, err = resident(sidecar.program.Pid())
	return c, err
}

// realSidecar is the program, running as a process.
type realSidecar struct {
	address string
	dir     string // of its configuration
	program *process.Program
	log     bytes.Buffer
}

// startReal starts the program and waits until it is ready.
func startReal(ctx context.Context, network fakes.Network, program, agent string, template []byte) (_ *realSidecar, err error) {
	front, err := network.Listen("")
	if err != nil {
		return nil, err
	}
	r := &realSidecar{address: front.Addr().String()}
	front.Close()
	if r.dir, err = os.MkdirTemp("", "testbench-real-"); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = r.stop() // the error that ended the start says more
		}
	}()
	s := sidecar{discovery: agent, file: filepath.Join(r.dir, "config.json")}
	if err := s.write(template); err != nil {
		return nil, err
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+s.file, "GW_LISTEN="+r.address)
	cmd.Stdout, cmd.Stderr = &r.log, &r.log
	if r.program, err = process.Start(cmd, -1); err != nil {
		return nil, err
	}
	ready, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	return r, fakes.AwaitReady(ready, network, r.address)
}

// stop ends the process, if it was started, and removes its files.
func (r *realSidecar) stop() error {
	defer func() { _ = os.RemoveAll(r.dir) }()
	if r.program == nil {
		return nil
	}
	if err := r.program.Stop(); err != nil {
		return fmt.Errorf("the program: %w: %s", err, r.log.String())
	}
	return nil
}

// reached counts the requests and probes that the servers got.
func reached(f *fakes.Fleet) (calls, probes int) {
	for _, p := range f.Servers {
		calls, probes = calls+len(p.Requests()), probes+len(p.Probes())
	}
	return calls, probes
}
