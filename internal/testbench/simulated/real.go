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

// Comparison holds the results of one real or one simulated sidecar, alone in a process, in the same environment.
type Comparison struct {
	Which             string  `json:"which"` // real or hollow
	Servers           int     `json:"servers"`
	RequestsPerSecond float64 `json:"asked_s"` // requests per second that were generated
	CPUPct            float64 `json:"cpu_pct"` // of a core
	MemoryMB          float64 `json:"memory_mb"`
	CallsS            float64 `json:"calls_s"` // attempts that servers received, per second
	ProbesS           float64 `json:"probes_s"`
	ListCalls         float64 `json:"list_calls_s"`
	ListIn            float64 `json:"list_bytes_in_s"`
	ListOut           float64 `json:"list_bytes_out_s"`
	CompleteLists     int64   `json:"list_whole"`
	StallMs           float64 `json:"stall_ms"`           // see process.LoadMonitor
	Machine           float64 `json:"machine_cores_busy"` // see process.LoadMonitor
}

const (
	readyWithin = 10 * time.Second // for a sidecar to be ready
	exitTimeout = 10 * time.Second // for a part to exit
	warmUp      = 2 * time.Second  // load before the measured window
)

// Compare measures a real sidecar for the given window, and then a simulated one. Each has an agent and an endpoint list;
// the servers of the real one respond as quickly as the simulated ones do in memory.
func Compare(ctx context.Context, program string, set Setup, rate float64, window time.Duration) (out []Comparison, err error) {
	if set.Spawn == nil {
		set.Spawn = InProcess
	}
	set.Sidecars, set.Kind = 1, Pushed
	measured, err := measureReal(ctx, program, set, rate, window)
	if err != nil {
		return nil, fmt.Errorf("real: %w", err)
	}
	simulatedSidecar, err := measureSimulated(ctx, set, rate, window)
	if err != nil {
		return nil, fmt.Errorf("simulated: %w", err)
	}
	return []Comparison{measured, simulatedSidecar}, nil
}

// startDiscovery starts a fleet that consists of an agent alone.
func startDiscovery(ctx context.Context, set Setup, endpoints []fakes.Endpoint) (f *fleetControl, agent string, template []byte, err error) {
	f = &fleetControl{set: set, endpoints: endpoints, latencyObjective: fakes.TileClass().LatencyObjective, known: fakes.List{Revision: 1, Endpoints: endpoints}}
	addresses, err := f.listen(ctx, 1)
	if err != nil {
		return f, "", nil, err
	}
	template, err = f.template()
	return f, addresses[0], template, err
}

// measureSimulated measures a simulated sidecar.
func measureSimulated(ctx context.Context, set Setup, rate float64, window time.Duration) (c Comparison, err error) {
	f, agent, template, err := startDiscovery(ctx, set, servers(set.Servers))
	defer func() {
		if ended := f.close(); err == nil {
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
	f.simulatedFleet, f.counts = []*Part{p}, []int{1}
	for _, o := range []command{
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
	u, duration, err := f.measure(func() error { time.Sleep(window); return nil })
	if err != nil {
		return c, err
	}
	c = Comparison{
		Which: "hollow", Servers: set.Servers, RequestsPerSecond: rate, CPUPct: 100 * u.Simulated.CPU.Seconds() / duration.Seconds(),
		MemoryMB: u.Simulated.MemoryMB, CallsS: float64(u.Simulated.Calls) / duration.Seconds(),
		ProbesS: float64(u.Simulated.Probes) / duration.Seconds(),
	}
	c.addDiscoveryTraffic(u, duration, busy)
	return c, nil
}

// addDiscoveryTraffic sets the fields on discovery's traffic and on the machine's load.
func (c *Comparison) addDiscoveryTraffic(u usage, duration time.Duration, busy *process.LoadMonitor) {
	late, cores := busy.Sample()
	c.StallMs, c.Machine = ms(late), cores
	t, s := u.Discovery.Discovery, duration.Seconds()
	c.ListCalls, c.ListIn, c.ListOut, c.CompleteLists = float64(t.Calls)/s, float64(t.BytesIn)/s, float64(t.BytesOut)/s, t.Complete
}

// startWarmFleet starts servers that are past slow start, as those of simulated sidecars are, spread evenly over all zones.
func startWarmFleet(network fakes.Network, servers int) (*fakes.Fleet, []fakes.Endpoint, error) {
	fleet, err := fakes.NewFleet(network, servers, fakes.ServerOptions{
		ID: "t", Seed: 1, Cores: 64, Queue: 64,
		MaxIdle: time.Minute, Default: fakes.Service{Mean: requestDuration, Body: 64},
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

// measureReal measures a real sidecar.
func measureReal(ctx context.Context, program string, set Setup, rate float64, window time.Duration) (c Comparison, err error) {
	network := fakes.Loopback()
	fleet, endpoints, err := startWarmFleet(network, set.Servers)
	if err != nil {
		return c, err
	}
	defer fleet.Close()
	f, agent, template, err := startDiscovery(ctx, set, endpoints)
	defer func() {
		if ended := f.close(); err == nil {
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
	u, duration, err := f.measure(func() error { time.Sleep(window); return nil })
	if err != nil {
		return c, err
	}
	after, err := process.CPUTime(sidecar.program.Pid())
	if err != nil {
		return c, err
	}
	callsAfter, probesAfter := reached(fleet)
	c = Comparison{
		Which: "real", Servers: set.Servers, RequestsPerSecond: rate, CPUPct: 100 * (after - before).Seconds() / duration.Seconds(),
		CallsS: float64(callsAfter-calls) / duration.Seconds(), ProbesS: float64(probesAfter-probes) / duration.Seconds(),
	}
	c.addDiscoveryTraffic(u, duration, busy)
	c.MemoryMB, err = resident(sidecar.program.Pid())
	return c, err
}

// realSidecar is a process of the sidecar's program.
type realSidecar struct {
	address string
	dir     string // for its configuration
	program *process.Program
	log     bytes.Buffer
}

// startReal starts the program and waits until it is ready.
func startReal(ctx context.Context, network fakes.Network, program, agent string, template []byte) (_ *realSidecar, err error) {
	listener, err := network.Listen("")
	if err != nil {
		return nil, err
	}
	r := &realSidecar{address: listener.Addr().String()}
	listener.Close()
	if r.dir, err = os.MkdirTemp("", "testbench-real-"); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = r.stop() // the error of the start is returned instead
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

// stop stops the process, if it was started, and removes its files.
func (r *realSidecar) stop() error {
	defer func() { _ = os.RemoveAll(r.dir) }()
	if r.program == nil {
		return nil
	}
	if err := r.program.Stop(); err != nil {
		return fmt.Errorf("sidecar program: %w: %s", err, r.log.String())
	}
	return nil
}

// reached counts the requests and probes that the servers received.
func reached(f *fakes.Fleet) (calls, probes int) {
	for _, p := range f.Servers {
		calls, probes = calls+len(p.Requests()), probes+len(p.Probes())
	}
	return calls, probes
}
