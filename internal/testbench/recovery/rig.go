package recovery

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// Properties of the fleet. One server can serve about 170 requests per second.
const (
	cores                 = 4
	queue                 = 32
	idempotentServiceTime = 25 * time.Millisecond
	orderServiceTime      = 15 * time.Millisecond
	responseSize          = 512
	handshake             = 2 * time.Millisecond
	slowStartFactor       = 2.0
	warmUpTime            = 2 * time.Second
	connIdle              = time.Minute
	connectTimeout        = 150 * time.Millisecond
	drainGrace            = 750 * time.Millisecond
	orderFraction         = 0.2                   // fraction of non-idempotent requests in the load
	maxSockets            = 4096                  // of the sidecar
	stallTick             = 10 * time.Millisecond // interval at which stalls of this process are measured
)

// Setup configures an experiment.
type Setup struct {
	Program string        // path of the sidecar's program
	Servers int           // at least 4, so that some can have a fault
	Rate    float64       // requests per second
	Seed    uint64        // of the load, the servers and the sidecar
	Dir     string        // an existing folder for the configuration, the snapshot and the log
	Classes []fakes.Class // one idempotent and one not; nil = fakes.TileClass and fakes.OrderClass
}

// Check returns an error if the setup is invalid.
func (s Setup) Check() error {
	switch {
	case s.Servers < 4 || s.Servers > 200:
		return fmt.Errorf("providers: %d; want 4 to 200", s.Servers)
	case !(s.Rate >= 20 && s.Rate <= 5000):
		return fmt.Errorf("rate: %g requests per second; want 20 to 5000", s.Rate)
	}
	return nil
}

func (s Setup) classes() []fakes.Class {
	if s.Classes == nil {
		return []fakes.Class{fakes.TileClass(), fakes.OrderClass()}
	}
	return s.Classes
}

// rig holds the sidecar's processes, the fakes around them and the load on them.
type rig struct {
	setup     Setup
	fleet     *fakes.Fleet
	processes *processChain
	file      *os.File // the log

	load     *fakes.Clients
	running  sync.WaitGroup // the load and the stall measurement
	cancel   context.CancelFunc
	start    time.Time
	attempts []fakes.Attempt // this and stall are set once the load has ended
	stall    time.Duration   // longest delay of a timer

	drains      map[string]uint64 // by server id, the discovery revision that lists its drain
	restartedAt time.Time         // when startAgain started a process; zero = it did not
}

// build starts the fleet and the program, and waits until it serves. edit, if not nil, changes the configuration.
func build(ctx context.Context, s Setup, edit func(document map[string]any)) (r *rig, err error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if s.Program, err = filepath.Abs(s.Program); err != nil { // a successor resolves the path again
		return nil, err
	}
	network := fakes.Loopback()
	r = &rig{setup: s, drains: map[string]uint64{}}
	defer func() {
		if err != nil {
			r.close()
		}
	}()
	serverOptions := fakes.ServerOptions{
		Seed: s.Seed, Cores: cores, Queue: queue, Handshake: handshake, SlowStartFactor: slowStartFactor,
		WarmUpTime: warmUpTime, MaxIdle: connIdle, Default: fakes.Service{Mean: idempotentServiceTime, Body: responseSize},
		Service: map[string]fakes.Service{"order": {Mean: orderServiceTime, Body: responseSize}},
	}
	if r.fleet, err = fakes.NewFleet(network, s.Servers, serverOptions); err != nil {
		return r, err
	}
	listener, err := network.Listen("") // the loopback host is exclusive to this process, so nobody else takes the address
	if err != nil {
		return r, err
	}
	address := listener.Addr().String()
	listener.Close()
	config := filepath.Join(s.Dir, "config.json")
	raw, err := fakes.Config(fakes.SidecarConfig{
		Name: "lab", Listen: address, Seed: s.Seed,
		Discovery: r.fleet.Discovery.Address(),
		Known:     fakes.List{Revision: r.fleet.Discovery.Revision(), Endpoints: r.fleet.Endpoints()},
		Classes:   s.classes(), MaxConns: maxSockets, ConnIdle: connIdle, ConnectTimeout: connectTimeout, DrainGrace: drainGrace,
		WarmUpTime: warmUpTime, Edit: edit,
	})
	if err != nil {
		return r, err
	}
	if err := os.WriteFile(config, raw, 0o600); err != nil {
		return r, err
	}
	if r.file, err = os.Create(filepath.Join(s.Dir, "sidecar.log")); err != nil {
		return r, err
	}
	log, err := newProcessLog(r.file)
	if err != nil {
		return r, err
	}
	r.processes = &processChain{
		program: s.Program, env: []string{"GW_CONFIG=" + config}, address: address, network: network,
		log: log,
	}
	return r, r.processes.start(ctx)
}

// startLoad starts the load, which lasts for the given duration or until stopLoad.
func (r *rig) startLoad(ctx context.Context, duration time.Duration) {
	ctx, r.cancel = context.WithCancel(ctx)
	streams := []fakes.Stream{}
	for _, c := range r.setup.classes() {
		fraction := orderFraction
		if c.Idempotent {
			fraction = 1 - orderFraction
		}
		streams = append(streams, fakes.Stream{Class: c, Rate: fraction * r.setup.Rate})
	}
	r.load = fakes.NewClients(fakes.Load{
		Network: r.processes.network, Address: r.processes.address, Seed: r.setup.Seed,
		Streams: streams, Duration: duration,
	})
	r.start = time.Now()
	r.running.Go(func() {
		defer r.cancel()
		r.attempts = r.load.Run(ctx)
	})
	r.running.Go(func() { r.stall = stall(ctx) })
}

// stall measures until ctx is done, and returns the longest delay of a timer: for that long this process, and any other on the
// machine, may have been stalled.
func stall(ctx context.Context) (longest time.Duration) {
	for before := time.Now(); fakes.Pause(ctx, stallTick) == nil; before = time.Now() {
		longest = max(longest, time.Since(before)-stallTick)
	}
	return longest
}

// stopLoad stops arrivals and waits for the last response.
func (r *rig) stopLoad() {
	r.cancel()
	r.running.Wait()
}

// startAgain starts a process in place of one that has exited.
func (r *rig) startAgain(ctx context.Context) error {
	r.restartedAt = time.Now()
	return r.processes.start(ctx)
}

// faultyServers returns the servers that scenarios make faulty, the first quarter of the fleet.
func (r *rig) faultyServers() []*fakes.Server { return r.fleet.Servers[:max(1, r.setup.Servers/4)] }

// release replaces the first n servers, a quarter of the fleet at a time, by others at new addresses.
func (r *rig) release(ctx context.Context, n int) error {
	plan := fakes.Release{
		Batch: len(r.faultyServers()), MaxServers: n, Grace: 1200 * time.Millisecond,
		Down: 100 * time.Millisecond, Between: 200 * time.Millisecond, NewAddresses: true,
	}
	revision := r.fleet.Discovery.Revision()
	for batch := range slices.Chunk(r.fleet.Servers[:n], plan.Batch) {
		for _, p := range batch {
			r.drains[p.ID()] = revision + 1 // and the next revision lists it as deleted
		}
		revision += 2
	}
	return r.fleet.Release(ctx, plan)
}

// close stops the load, the processes and the fakes.
func (r *rig) close() {
	if r.cancel != nil {
		r.stopLoad()
	}
	if r.processes != nil {
		r.processes.close()
	}
	if r.file != nil {
		r.file.Close()
	}
	if r.fleet != nil {
		r.fleet.Close()
	}
}
