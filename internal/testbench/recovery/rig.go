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

// The fleet's nature. A server alone could serve some 170 requests a second.
const (
	cores                 = 4
	queue                 = 32
	idempotentServiceTime = 25 * time.Millisecond
	orderServiceTime      = 15 * time.Millisecond
	answerSize            = 512
	handshake             = 2 * time.Millisecond
	slowStartFactor       = 2.0
	warmUpTime            = 2 * time.Second
	connIdle              = time.Minute
	connectIn             = 150 * time.Millisecond
	drainGrace            = 750 * time.Millisecond
	orderPart             = 0.2 // of the requests; the others are safe to repeat
	maxSockets            = 4096
	stallTick             = 10 * time.Millisecond
)

// Setup is what every experiment needs to know.
type Setup struct {
	Program string // path of the sidecar's program
	Servers int    // at least 4, so that some can have a fault
	Rate    float64
	Seed    uint64        // of the load, the servers and the sidecar
	Dir     string        // an existing folder for the configuration, the snapshot and the log
	Classes []fakes.Class // one that is safe and one that is not; nil = fakes.Tile and fakes.Order
}

// Check says why nothing can be measured with the setup.
func (s Setup) Check() error {
	switch {
	case s.Servers < 4 || s.Servers > 200:
		return fmt.Errorf("providers: %d; want 4 to 200", s.Servers)
	case !(s.Rate >= 20 && s.Rate <= 5000):
		return fmt.Errorf("rate: %g requests a second; want 20 to 5000", s.Rate)
	}
	return nil
}

func (s Setup) classes() []fakes.Class {
	if s.Classes == nil {
		return []fakes.Class{fakes.TileClass(), fakes.OrderClass()}
	}
	return s.Classes
}

// rig is the sidecar's line of processes, the fakes around it and the load on it.
type rig struct {
	setup Setup
	fleet *fakes.Fleet
	line  *line
	file  *os.File // the log

	load    *fakes.Clients
	running sync.WaitGroup // the load
	cancel  context.CancelFunc
	start   time.Time
	tries   []fakes.Attempt // once the load has ended, as the next
	stall   time.Duration   // the longest time by which a timer has come late

	drains      map[string]uint64 // by a process's id, discovery's revision that lists its drain
	restartedAt time.Time         // when a second life was started
}

// build starts the fleet and the program, which serves when it returns. The edit changes the configuration.
func build(ctx context.Context, s Setup, edit func(document map[string]any)) (r *rig, err error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if s.Program, err = filepath.Abs(s.Program); err != nil { // a successor looks it up anew
		return nil, err
	}
	network := fakes.Loopback()
	r = &rig{setup: s, drains: map[string]uint64{}}
	defer func() {
		if err != nil {
			r.close()
		}
	}()
	nature := fakes.ServerOptions{
		Seed: s.Seed, Cores: cores, Queue: queue, Handshake: handshake, SlowStartFactor: slowStartFactor,
		WarmUpTime: warmUpTime, MaxIdle: connIdle, Default: fakes.Service{Mean: idempotentServiceTime, Body: answerSize},
		Service: map[string]fakes.Service{"order": {Mean: orderServiceTime, Body: answerSize}},
	}
	if r.fleet, err = fakes.NewFleet(network, s.Servers, nature); err != nil {
		return r, err
	}
	front, err := network.Listen("") // an address on a host of this process's own: nobody takes it while it is free
	if err != nil {
		return r, err
	}
	address := front.Addr().String()
	front.Close()
	config := filepath.Join(s.Dir, "config.json")
	raw, err := fakes.Config(fakes.SidecarConfig{
		Name: "lab", Listen: address, Seed: s.Seed,
		Discovery: r.fleet.Discovery.Address(),
		Known:     fakes.List{Revision: r.fleet.Discovery.Revision(), Endpoints: r.fleet.Endpoints()},
		Classes:   s.classes(), MaxConns: maxSockets, ConnIdle: connIdle, ConnectTimeout: connectIn, DrainGrace: drainGrace,
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
	r.line = &line{
		program: s.Program, env: []string{"GW_CONFIG=" + config}, address: address, network: network,
		log: log,
	}
	return r, r.line.start(ctx)
}

// begin starts the load. It lasts until end or for so long.
func (r *rig) begin(ctx context.Context, long time.Duration) {
	ctx, r.cancel = context.WithCancel(ctx)
	streams := []fakes.Stream{}
	for _, c := range r.setup.classes() {
		part := orderPart
		if c.Idempotent {
			part = 1 - orderPart
		}
		streams = append(streams, fakes.Stream{Class: c, Rate: part * r.setup.Rate})
	}
	r.load = fakes.NewClients(fakes.Load{
		Network: r.line.network, Address: r.line.address, Seed: r.setup.Seed,
		Streams: streams, Duration: long,
	})
	r.start = time.Now()
	r.running.Go(func() {
		defer r.cancel()
		r.tries = r.load.Run(ctx)
	})
	r.running.Go(func() { r.stall = stall(ctx) })
}

// stall returns, at the end of ctx, the longest time by which a timer has come late: so long this process, and any
// other of the machine, may have been stalled.
func stall(ctx context.Context) (longest time.Duration) {
	for before := time.Now(); fakes.Pause(ctx, stallTick) == nil; before = time.Now() {
		longest = max(longest, time.Since(before)-stallTick)
	}
	return longest
}

// end stops arrivals and waits for the last answer, stop also for the load's own end.
func (r *rig) end() {
	r.cancel()
	r.running.Wait()
}

// again starts a process in the place of one that has ended.
func (r *rig) again(ctx context.Context) error {
	r.restartedAt = time.Now()
	return r.line.start(ctx)
}

// faultyServers are the first servers of the fleet, a quarter of it.
func (r *rig) faultyServers() []*fakes.Server { return r.fleet.Servers[:max(1, r.setup.Servers/4)] }

// release replaces the first so many servers, a quarter of the fleet at a time, by others at new addresses.
func (r *rig) release(ctx context.Context, servers int) error {
	plan := fakes.Release{
		Batch: len(r.faultyServers()), MaxServers: servers, Grace: 1200 * time.Millisecond,
		Down: 100 * time.Millisecond, Between: 200 * time.Millisecond, NewAddresses: true,
	}
	revision := r.fleet.Discovery.Revision()
	for batch := range slices.Chunk(r.fleet.Servers[:servers], plan.Batch) {
		for _, p := range batch {
			r.drains[p.ID()] = revision + 1 // and the next revision lists its end
		}
		revision += 2
	}
	return r.fleet.Release(ctx, plan)
}

// close ends everything.
func (r *rig) close() {
	if r.cancel != nil {
		r.end()
	}
	if r.line != nil {
		r.line.close()
	}
	if r.file != nil {
		r.file.Close()
	}
	if r.fleet != nil {
		r.fleet.Close()
	}
}
