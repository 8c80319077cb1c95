package peers

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"plankrouter/internal/testbench/fakes"
	"plankrouter/internal/testbench/process"
)

const (
	serverCount    = 6
	connIdle       = time.Minute
	connectTimeout = 150 * time.Millisecond
	drainGrace     = 750 * time.Millisecond
	readyTimeout   = 10 * time.Second
	memoryInterval = 10 * time.Millisecond
	tenant         = "lib-one"
)

// class is a request class of the deployment.
type class struct {
	fakes.Class
	method string
}

// classes returns the classes by name.
func classes() map[string]class {
	return map[string]class{
		"tile":   {fakes.Class{Name: "tile", LatencyObjective: 750 * time.Millisecond, Deadline: 2500 * time.Millisecond, PriorityWeight: 1, Idempotent: true}, "GET"},
		"record": {fakes.Class{Name: "record", LatencyObjective: 500 * time.Millisecond, Deadline: 1500 * time.Millisecond, PriorityWeight: 1, Idempotent: true}, "GET"},
		"order":  {fakes.Class{Name: "order", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second, PriorityWeight: 5}, "POST"},
	}
}

// rig is one sidecar with its surroundings.
type rig struct {
	options   Options
	network   fakes.Network
	servers   []*server
	discovery *fakes.Discovery
	address   string
	admin     string
	cmd       *exec.Cmd
	log       *os.File
	exited    chan struct{}
	running   sync.WaitGroup
	lastID    atomic.Int64
	peakBytes atomic.Int64

	tallyMutex sync.Mutex
	tally      Tally
}

// build starts servers, discovery and the sidecar, and returns when the sidecar is ready.
func build(ctx context.Context, o Options) (r *rig, err error) {
	r = &rig{options: o, network: fakes.Loopback()}
	defer func() {
		if err != nil {
			r.close()
		}
	}()
	var known []fakes.Endpoint
	for i := range serverCount {
		s, err := startServer(r.network, "", fmt.Sprintf("s-%d", i))
		if err != nil {
			return r, err
		}
		r.servers = append(r.servers, s)
		known = append(known, s.endpoint(fakes.Serving))
	}
	if r.discovery, err = fakes.NewDiscovery(r.network, "", known...); err != nil {
		return r, err
	}
	if r.address, err = freeAddress(r.network); err != nil {
		return r, err
	}
	if r.admin, err = freeAddress(r.network); err != nil {
		return r, err
	}
	if err = r.configure(known); err != nil {
		return r, err
	}
	return r, r.start(ctx)
}

// freeAddress returns an address that nothing listens on.
func freeAddress(n fakes.Network) (string, error) {
	l, err := n.Listen("")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (r *rig) path(name string) string { return filepath.Join(r.options.Dir, name) }

// configure writes the sidecar's configuration.
func (r *rig) configure(known []fakes.Endpoint) error {
	var list []fakes.Class
	for _, name := range []string{"tile", "record", "order"} {
		list = append(list, classes()[name].Class)
	}
	raw, err := fakes.Config(fakes.SidecarConfig{
		Name: "peers", Listen: r.address, Discovery: r.discovery.Address(), Seed: 1, Known: fakes.List{Revision: 1, Endpoints: known},
		Classes: list, Tenants: []string{tenant}, MaxConns: r.options.Sockets, MemoryMB: r.options.MemoryMB, ConnIdle: connIdle,
		ConnectTimeout: connectTimeout, DrainGrace: drainGrace,
		Edit: func(d map[string]any) { d["admin_addr"] = r.admin },
	})
	if err != nil {
		return err
	}
	return os.WriteFile(r.path("config.json"), raw, 0o600)
}

// start starts the sidecar and waits until it is ready.
func (r *rig) start(ctx context.Context) (err error) {
	if r.log, err = os.Create(r.path("sidecar.log")); err != nil {
		return err
	}
	r.cmd = exec.Command(r.options.Program)
	r.cmd.Env = append(os.Environ(), "GW_CONFIG="+r.path("config.json"), "TMPDIR="+r.options.Dir, "GOMAXPROCS=")
	if r.options.Keep {
		r.cmd.Env = append(r.cmd.Env, "GW_TRACE=1")
	}
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a group, so that stop also ends successors
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.exited = make(chan struct{})
	go func() {
		_ = r.cmd.Wait() // that it has exited is all that is asked
		close(r.exited)
	}()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return fakes.AwaitReady(ctx, r.network, r.address)
}

func (r *rig) hasExited() bool {
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// sampleMemory records the sidecar's highest resident memory until ctx ends.
func (r *rig) sampleMemory(ctx context.Context) {
	for fakes.Pause(ctx, memoryInterval) == nil {
		if bytes, err := process.ResidentMemory(r.cmd.Process.Pid); err == nil && bytes > r.peakBytes.Load() {
			r.peakBytes.Store(bytes)
		}
	}
}

func (r *rig) peakMB() float64 { return float64(r.peakBytes.Load()) / (1 << 20) }

// nextID returns an id that no request has had.
func (r *rig) nextID() string { return fmt.Sprintf("%016x", r.lastID.Add(1)) }

// runs returns how often the request has run, at all servers together.
func (r *rig) runs(id string) (n int) {
	for _, s := range r.servers {
		n += s.runsOf(id)
	}
	return n
}

// behave gives all servers a handler for requests.
func (r *rig) behave(h handler) {
	for _, s := range r.servers {
		s.behaviour.Store(&h)
	}
}

// stop ends the sidecar and waits for its exit.
func (r *rig) stop() error {
	if r.exited == nil {
		return errors.New("the sidecar is not started")
	}
	_ = syscall.Kill(-r.cmd.Process.Pid, syscall.SIGKILL) // fails only if all have exited
	<-r.exited
	return nil
}

func (r *rig) close() {
	_ = r.stop() // an error means that there is nothing to stop
	if r.log != nil {
		r.log.Close()
	}
	for _, s := range r.servers {
		s.close()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
}
