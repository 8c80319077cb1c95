package simulated

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"plankrouter/internal/testbench/fakes"
)

// The kinds of discovery, as in the settings.
const (
	Pushed    = "pushed"     // an agent for each sidecar
	OnRequest = "on_request" // one service for all
)

const (
	zones           = 8
	zonePlaceholder = `"zone-of-this-one"`
	warmUpTime      = 8 * time.Second // of a server
	maxSockets      = 1024            // sockets of a sidecar
	memoryMB        = 64              // memory limit of a sidecar on the platform
)

// Setup describes a fleet.
type Setup struct {
	Kind         string // of discovery: Pushed or OnRequest
	Sidecars     int
	PerPart      int // sidecars per process; 0 = 250
	Servers      int // in the endpoint list
	ProbeCost    float64
	SlotRate     float64       // on request: see discoveryServer.rate
	Watch        any           // on request: plankrouter.watch in the configuration; nil = defaults
	MaxMemory    float64       // MB, total of all parts, above which no scene is run; 0 = unlimited
	MaxStartTime time.Duration // timeout for all sidecars to get discovery's first response

	// Spawn starts a part; nil = in this process.
	Spawn func(ctx context.Context) (*Part, error)
}

// Part is the connection to a part of the fleet: a process, or goroutines of this one, with simulated sidecars or a discovery
// server.
type Part struct {
	commands  *json.Encoder
	responses *json.Decoder
	end       func() error
}

// InProcess starts a part in this process.
func InProcess(ctx context.Context) (*Part, error) {
	commands, toPart := io.Pipe()
	fromPart, responses := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := Serve(ctx, commands, responses)
		responses.CloseWithError(err)
		ended <- err
	}()
	return &Part{json.NewEncoder(toPart), json.NewDecoder(fromPart), func() error { _ = toPart.Close(); return <-ended }}, nil
}

// Program returns a Spawn that starts a program, which must call Serve.
func Program(path string, args ...string) func(context.Context) (*Part, error) {
	return func(ctx context.Context) (*Part, error) {
		cmd := exec.CommandContext(ctx, path, args...)
		cmd.Stderr = os.Stderr
		commands, err := cmd.StdinPipe()
		if err != nil {
			return nil, err
		}
		responses, err := cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		cmd.Cancel, cmd.WaitDelay = commands.Close, exitTimeout // at the end of its commands the part removes its files and exits
		if err := cmd.Start(); err != nil {
			return nil, fmt.Errorf("part: %w", err)
		}
		return &Part{json.NewEncoder(commands), json.NewDecoder(responses), func() error { commands.Close(); return cmd.Wait() }}, nil
	}
}

// send sends a command and waits for the response.
func (p *Part) send(o command) (r response, err error) {
	if err := p.commands.Encode(o); err != nil {
		return r, fmt.Errorf("part: %s: %w", o.Op, err)
	}
	if err := p.responses.Decode(&r); err != nil {
		return r, fmt.Errorf("part: %s: %w", o.Op, err)
	}
	if r.Error != "" {
		return r, fmt.Errorf("part: %s", r.Error)
	}
	return r, nil
}

// fleetControl controls a running fleet.
type fleetControl struct {
	set              Setup
	endpoints        []fakes.Endpoint // as listed by discovery
	latencyObjective time.Duration
	discovery        []*Part // one, or one for each part of the simulated fleet
	simulatedFleet   []*Part
	counts           []int // number of sidecars, by part
	known            fakes.List
	late             time.Duration // longest delay of a timer in a part since the last row
}

// servers returns a list of n servers, spread evenly over the zones.
func servers(n int) (endpoints []fakes.Endpoint) {
	for i := range n {
		endpoints = append(endpoints, fakes.Endpoint{
			ID: "t-" + strconv.Itoa(i), Address: serverAddress(0, i), Locality: zone(i % zones),
			Phase: fakes.Serving,
		})
	}
	return endpoints
}

// zone returns the name of a zone.
func zone(i int) string { return "zone-" + strconv.Itoa(i) }

// serverAddress returns the address of the nth process of server i. Nothing listens there, since attempts are simulated in
// memory.
func serverAddress(nth, i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 200+nth, i/250, 1+i%250, 3000)
}

// template returns the configuration that all sidecars share, with placeholders.
func (f *fleetControl) template() ([]byte, error) {
	class := fakes.TileClass()
	class.LatencyObjective = f.latencyObjective
	return fakes.Config(fakes.SidecarConfig{
		Name: "hollow", Listen: "127.0.0.1:1", Discovery: discoveryPlaceholder, Seed: 1, Known: f.known,
		Classes: []fakes.Class{class}, MaxConns: maxSockets, MemoryMB: memoryMB, Instances: f.set.Sidecars, ConnIdle: time.Minute,
		ConnectTimeout: 150 * time.Millisecond, DrainGrace: 750 * time.Millisecond, WarmUpTime: warmUpTime, Edit: f.edit,
	})
}

// edit sets the kind of discovery, the zones, the probe cost and the watch in the configuration.
func (f *fleetControl) edit(document map[string]any) {
	s := document["settings"].(map[string]any)
	names := []string{}
	for i := range zones {
		names = append(names, zone(i))
	}
	s["Discovery"], s["Dcs"], s["Locality"] = f.set.Kind, names, "zone-of-this-one"
	s["Prices"] = map[string]any{"Probe": f.set.ProbeCost}
	if f.set.Kind == OnRequest && f.set.Watch != nil {
		document["plankrouter"] = map[string]any{"watch": f.set.Watch}
	}
}

// startFleet starts the parts and then all sidecars at once, without an endpoint list; times is how long each took to get it.
func startFleet(ctx context.Context, set Setup) (f *fleetControl, times []float64, err error) {
	if set.Spawn == nil {
		set.Spawn = InProcess
	}
	if set.PerPart == 0 {
		set.PerPart = 250
	}
	f = &fleetControl{set: set, endpoints: servers(set.Servers), latencyObjective: fakes.TileClass().LatencyObjective}
	f.known = fakes.List{Revision: 1, Endpoints: f.endpoints}
	template, err := f.template()
	if err != nil {
		return f, nil, err
	}
	var shared []string
	if set.Kind == OnRequest {
		if shared, err = f.listen(ctx, 1); err != nil {
			return f, nil, err
		}
	}
	for first := 0; first < set.Sidecars; first += set.PerPart {
		count, addresses := min(set.PerPart, set.Sidecars-first), shared
		if set.Kind == Pushed {
			if addresses, err = f.listen(ctx, count); err != nil {
				return f, nil, err
			}
		}
		p, err := set.Spawn(ctx)
		if err != nil {
			return f, nil, err
		}
		f.simulatedFleet, f.counts = append(f.simulatedFleet, p), append(f.counts, count)
		if _, err := p.send(command{Op: "build", First: first, Count: count, Template: template, Discovery: addresses}); err != nil {
			return f, nil, err
		}
	}
	times, err = f.times(command{Op: "start", Within: set.MaxStartTime})
	if err != nil {
		return f, nil, err
	}
	c, err := f.count()
	if sum := c.Simulated.MemoryMB + c.Discovery.MemoryMB; err == nil && set.MaxMemory > 0 && sum > set.MaxMemory {
		err = fmt.Errorf("%d sidecars take %.0f MB with their discovery, and %.0f are allowed", set.Sidecars, sum, set.MaxMemory)
	}
	return f, times, err
}

// listen starts a part with a discovery server on the given number of addresses.
func (f *fleetControl) listen(ctx context.Context, listeners int) ([]string, error) {
	p, err := f.set.Spawn(ctx)
	if err != nil {
		return nil, err
	}
	f.discovery = append(f.discovery, p)
	rate := f.set.SlotRate
	if f.set.Kind == Pushed {
		rate = 0
	}
	r, err := p.send(command{Op: "listen", Listeners: listeners, Rate: rate, Endpoints: f.endpoints})
	return r.Addresses, err
}

// close stops all parts.
func (f *fleetControl) close() error {
	var group errgroup.Group
	for _, p := range slices.Concat(f.simulatedFleet, f.discovery) {
		group.Go(p.end)
	}
	return group.Wait()
}

// sendAll sends a command to all parts concurrently.
func sendAll(parts []*Part, o command) ([]response, error) {
	responses := make([]response, len(parts))
	var group errgroup.Group
	for i, p := range parts {
		group.Go(func() (err error) { responses[i], err = p.send(o); return err })
	}
	return responses, group.Wait()
}

// times sends a command to the parts with sidecars, and returns the times of all sidecars.
func (f *fleetControl) times(o command) (times []float64, err error) {
	responses, err := sendAll(f.simulatedFleet, o)
	for _, r := range responses {
		times = append(times, r.Times...)
	}
	return times, err
}

// usage holds the counts of the parts with sidecars and of those with discovery.
type usage struct {
	time                 time.Time
	Simulated, Discovery Counts
}

// count returns the sums of the counts over all parts of the fleet.
func (f *fleetControl) count() (u usage, err error) {
	u.time = time.Now()
	for _, side := range []struct {
		parts []*Part
		sum   *Counts
	}{{f.simulatedFleet, &u.Simulated}, {f.discovery, &u.Discovery}} {
		responses, err := sendAll(side.parts, command{Op: "count"})
		if err != nil {
			return u, err
		}
		for _, r := range responses {
			*side.sum = side.sum.plus(r.Counts)
			f.late = max(f.late, r.Counts.Late)
		}
	}
	return u, nil
}

func (u usage) minus(o usage) usage {
	return usage{time: u.time, Simulated: u.Simulated.minus(o.Simulated), Discovery: u.Discovery.minus(o.Discovery)}
}

// measure calls do, and returns by how much it changed the counts and how long it took.
func (f *fleetControl) measure(do func() error) (u usage, duration time.Duration, err error) {
	before, err := f.count()
	if err != nil {
		return u, 0, err
	}
	if err := do(); err != nil {
		return u, 0, err
	}
	after, err := f.count()
	return after.minus(before), after.time.Sub(before.time), err
}

// change changes endpoints at discovery, and returns after how many ms the change was in force at each sidecar; 0 = not
// within the timeout.
func (f *fleetControl) change(changed []fakes.Endpoint, within time.Duration) ([]float64, error) {
	for _, m := range changed {
		i := slices.IndexFunc(f.endpoints, func(o fakes.Endpoint) bool { return o.ID == m.ID })
		f.endpoints[i] = m
	}
	began := unixMs(time.Now())
	responses, err := sendAll(f.discovery, command{Op: "change", Endpoints: changed})
	if err != nil {
		return nil, err
	}
	times, err := f.times(command{Op: "await", Revision: responses[0].Revision, Within: within})
	return since(times, began), err
}

// since converts Unix times in ms to ms since began, in place; 0 stays.
func since(times []float64, began float64) []float64 {
	for i, t := range times {
		if t > 0 {
			times[i] = max(0.001, t-began)
		}
	}
	return times
}

// spread holds the median, the 99th percentile and the maximum of times, and the number of missing ones.
type spread struct {
	median, p99, last float64
	missing           int
}

// spreadOf returns the spread of times; 0 = missing.
func spreadOf(times []float64) (s spread) {
	present := slices.DeleteFunc(slices.Clone(times), func(t float64) bool { return t == 0 })
	s.missing = len(times) - len(present)
	if len(present) == 0 {
		return s
	}
	slices.Sort(present)
	at := func(q float64) float64 { return present[int(math.Ceil(q*float64(len(present))))-1] }
	return spread{at(0.5), at(0.99), present[len(present)-1], s.missing}
}
