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

// The kinds of discovery, in the settings' words.
const (
	Pushed    = "pushed"     // an agent for each sidecar
	OnRequest = "on_request" // one service for all
)

const (
	zones      = 8
	zoneMark   = `"zone-of-this-one"`
	warmUpTime = 8 * time.Second
	maxSockets = 1024 // sockets of a sidecar
	memoryMB   = 64   // that the platform grants a sidecar
)

// Setup is a fleet.
type Setup struct {
	Kind         string // of discovery
	Sidecars     int
	PerPart      int // sidecars in a process; 0 = 250
	Servers      int // in the list
	ProbeCost    float64
	SlotRate     float64       // on request: turns a second, see discovery.rate
	Watch        any           // on request: plankrouter.watch of the configuration; nil = the defaults
	MaxMemory    float64       // MB, of all parts in sum, beyond which nothing more is started; 0 = no bound
	MaxStartTime time.Duration // until all have had a first answer

	// Spawn starts a part; nil = in this process.
	Spawn func(ctx context.Context) (*Part, error)
}

// Part is a process of the fleet as seen by the process that controls it.
type Part struct {
	orders  *json.Encoder
	replies *json.Decoder
	end     func() error
}

// Here starts a part in this process.
func Here(ctx context.Context) (*Part, error) {
	orders, toIt := io.Pipe()
	fromIt, replies := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := Serve(ctx, orders, replies)
		replies.CloseWithError(err)
		ended <- err
	}()
	return &Part{json.NewEncoder(toIt), json.NewDecoder(fromIt), func() error { _ = toIt.Close(); return <-ended }}, nil
}

// Program returns a Spawn that starts a program, which has to Serve.
func Program(path string, args ...string) func(context.Context) (*Part, error) {
	return func(ctx context.Context) (*Part, error) {
		cmd := exec.CommandContext(ctx, path, args...)
		cmd.Stderr = os.Stderr
		orders, err := cmd.StdinPipe()
		if err != nil {
			return nil, err
		}
		replies, err := cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		cmd.Cancel, cmd.WaitDelay = orders.Close, endWithin // its orders have ended: it removes what it wrote, and ends
		if err := cmd.Start(); err != nil {
			return nil, fmt.Errorf("part: %w", err)
		}
		return &Part{json.NewEncoder(orders), json.NewDecoder(replies), func() error { orders.Close(); return cmd.Wait() }}, nil
	}
}

// send sends an order and waits for the reply.
func (p *Part) send(o order) (r reply, err error) {
	if err := p.orders.Encode(o); err != nil {
		return r, fmt.Errorf("part: %s: %w", o.Op, err)
	}
	if err := p.replies.Decode(&r); err != nil {
		return r, fmt.Errorf("part: %s: %w", o.Op, err)
	}
	if r.Error != "" {
		return r, fmt.Errorf("part: %s", r.Error)
	}
	return r, nil
}

// world is the fleet under way.
type world struct {
	set              Setup
	endpoints        []fakes.Endpoint // as discovery has them
	latencyObjective time.Duration
	discovery        []*Part // one, or one for each part of the simulated fleet
	simulatedFleet   []*Part
	counts           []int // of sidecars, by part
	known            fakes.List
	late             time.Duration // by which a timer came late in a part, at most, since the last row
}

// servers makes the list, a zone after another.
func servers(n int) (endpoints []fakes.Endpoint) {
	for i := range n {
		endpoints = append(endpoints, fakes.Endpoint{
			ID: "t-" + strconv.Itoa(i), Address: serverAddress(0, i), Locality: zone(i % zones),
			Phase: fakes.Serving,
		})
	}
	return endpoints
}

func zone(i int) string { return "zone-" + strconv.Itoa(i) }

// serverAddress is that of a server's nth process. Nobody listens there: attempts are answered in memory.
func serverAddress(nth, i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 200+nth, i/250, 1+i%250, 3000)
}

// template returns the configuration that all share.
func (w *world) template() ([]byte, error) {
	class := fakes.TileClass()
	class.LatencyObjective = w.latencyObjective
	return fakes.Config(fakes.SidecarConfig{
		Name: "hollow", Listen: "127.0.0.1:1", Discovery: discoveryMark, Seed: 1, Known: w.known,
		Classes: []fakes.Class{class}, MaxConns: maxSockets, MemoryMB: memoryMB, Instances: w.set.Sidecars, ConnIdle: time.Minute,
		ConnectTimeout: 150 * time.Millisecond, DrainGrace: 750 * time.Millisecond, WarmUpTime: warmUpTime, Edit: w.edit,
	})
}

func (w *world) edit(document map[string]any) {
	s := document["settings"].(map[string]any)
	names := []string{}
	for i := range zones {
		names = append(names, zone(i))
	}
	s["Discovery"], s["Dcs"], s["Locality"] = w.set.Kind, names, "zone-of-this-one"
	s["Prices"] = map[string]any{"Probe": w.set.ProbeCost}
	if w.set.Kind == OnRequest && w.set.Watch != nil {
		document["plankrouter"] = map[string]any{"watch": w.set.Watch}
	}
}

// startFleet starts the parts and the sidecars, all at once and without a list; times is after how long each had it.
func startFleet(ctx context.Context, set Setup) (w *world, times []float64, err error) {
	if set.Spawn == nil {
		set.Spawn = Here
	}
	if set.PerPart == 0 {
		set.PerPart = 250
	}
	w = &world{set: set, endpoints: servers(set.Servers), latencyObjective: fakes.TileClass().LatencyObjective}
	w.known = fakes.List{Revision: 1, Endpoints: w.endpoints}
	template, err := w.template()
	if err != nil {
		return w, nil, err
	}
	var shared []string
	if set.Kind == OnRequest {
		if shared, err = w.listen(ctx, 1); err != nil {
			return w, nil, err
		}
	}
	for first := 0; first < set.Sidecars; first += set.PerPart {
		count, addresses := min(set.PerPart, set.Sidecars-first), shared
		if set.Kind == Pushed {
			if addresses, err = w.listen(ctx, count); err != nil {
				return w, nil, err
			}
		}
		p, err := set.Spawn(ctx)
		if err != nil {
			return w, nil, err
		}
		w.simulatedFleet, w.counts = append(w.simulatedFleet, p), append(w.counts, count)
		if _, err := p.send(order{Op: "build", First: first, Count: count, Template: template, Discovery: addresses}); err != nil {
			return w, nil, err
		}
	}
	times, err = w.times(order{Op: "start", Within: set.MaxStartTime})
	if err != nil {
		return w, nil, err
	}
	c, err := w.count()
	if sum := c.Simulated.MemoryMB + c.Discovery.MemoryMB; err == nil && set.MaxMemory > 0 && sum > set.MaxMemory {
		err = fmt.Errorf("%d sidecars take %.0f MB with their discovery, and %.0f are allowed", set.Sidecars, sum, set.MaxMemory)
	}
	return w, times, err
}

// listen starts a part with discovery at so many addresses.
func (w *world) listen(ctx context.Context, listeners int) ([]string, error) {
	p, err := w.set.Spawn(ctx)
	if err != nil {
		return nil, err
	}
	w.discovery = append(w.discovery, p)
	rate := w.set.SlotRate
	if w.set.Kind == Pushed {
		rate = 0
	}
	r, err := p.send(order{Op: "listen", Listeners: listeners, Rate: rate, Endpoints: w.endpoints})
	return r.Addresses, err
}

// close ends all parts.
func (w *world) close() error {
	var group errgroup.Group
	for _, p := range slices.Concat(w.simulatedFleet, w.discovery) {
		group.Go(p.end)
	}
	return group.Wait()
}

// all gives an order to parts at once.
func all(parts []*Part, o order) ([]reply, error) {
	replies := make([]reply, len(parts))
	var group errgroup.Group
	for i, p := range parts {
		group.Go(func() (err error) { replies[i], err = p.send(o); return err })
	}
	return replies, group.Wait()
}

// times gives an order to the sidecars' parts and returns the times of all.
func (w *world) times(o order) (times []float64, err error) {
	replies, err := all(w.simulatedFleet, o)
	for _, r := range replies {
		times = append(times, r.Times...)
	}
	return times, err
}

// used is what both sides have used and done.
type used struct {
	time                 time.Time
	Simulated, Discovery Counts
}

func (w *world) count() (u used, err error) {
	u.time = time.Now()
	for _, side := range []struct {
		parts []*Part
		sum   *Counts
	}{{w.simulatedFleet, &u.Simulated}, {w.discovery, &u.Discovery}} {
		replies, err := all(side.parts, order{Op: "count"})
		if err != nil {
			return u, err
		}
		for _, r := range replies {
			*side.sum = side.sum.plus(r.Counts)
			w.late = max(w.late, r.Counts.Late)
		}
	}
	return u, nil
}

func (u used) minus(o used) used {
	return used{time: u.time, Simulated: u.Simulated.minus(o.Simulated), Discovery: u.Discovery.minus(o.Discovery)}
}

// during does something and returns what was used meanwhile and how long it took.
func (w *world) during(do func() error) (u used, long time.Duration, err error) {
	before, err := w.count()
	if err != nil {
		return u, 0, err
	}
	if err := do(); err != nil {
		return u, 0, err
	}
	after, err := w.count()
	return after.minus(before), after.time.Sub(before.time), err
}

// change puts lines in force at discovery and returns after how many ms each sidecar went by it; 0 = not within the time.
func (w *world) change(lines []fakes.Endpoint, within time.Duration) ([]float64, error) {
	for _, m := range lines {
		i := slices.IndexFunc(w.endpoints, func(o fakes.Endpoint) bool { return o.ID == m.ID })
		w.endpoints[i] = m
	}
	began := unixMs(time.Now())
	replies, err := all(w.discovery, order{Op: "change", Endpoints: lines})
	if err != nil {
		return nil, err
	}
	times, err := w.times(order{Op: "await", Revision: replies[0].Revision, Within: within})
	return since(times, began), err
}

// since makes times of day, in Unix ms, into times from began on; 0 stays.
func since(times []float64, began float64) []float64 {
	for i, t := range times {
		if t > 0 {
			times[i] = max(0.001, t-began)
		}
	}
	return times
}

// spread is the median, 99% and last of times, and how many are missing.
type spread struct {
	median, most99, last float64
	missing              int
}

func spreadOf(times []float64) (s spread) {
	kept := slices.DeleteFunc(slices.Clone(times), func(t float64) bool { return t == 0 })
	s.missing = len(times) - len(kept)
	if len(kept) == 0 {
		return s
	}
	slices.Sort(kept)
	at := func(q float64) float64 { return kept[int(math.Ceil(q*float64(len(kept))))-1] }
	return spread{at(0.5), at(0.99), kept[len(kept)-1], s.missing}
}
