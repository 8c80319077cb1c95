package simulated

import (
	"context"
	"fmt"
	"slices"
	"time"

	"plankrouter/internal/testbench/process"
)

// Plan holds the parameters of the scenes.
type Plan struct {
	Window   time.Duration // measured duration of a scene with constant load
	CallsAll float64       // requests per second of the whole fleet, in scenes with load
	CallsOne float64       // most requests per second of one sidecar
	Restart  int           // sidecars that are restarted together
	Changes  int           // single changes of the list that are timed
	Burst    int           // consecutive changes of the list in scene burst
	Gap      time.Duration // between two changes
	Settle   time.Duration // after a change of the rate, before the measurement
	Zone     time.Duration // measured duration after a zone is lost or restored; much shorter than the warm-up time
	Within   time.Duration // timeout for a change to be in force
	Only     []string      // names of scenes; none = all
}

// Scenes returns the names of the scenes that follow the start.
func Scenes() (names []string) {
	for _, s := range (*sceneRun)(nil).scenes() {
		names = append(names, s.name)
	}
	return names
}

// DefaultPlan returns the plan whose results are documented.
func DefaultPlan() Plan {
	return Plan{
		Window: 10 * time.Second, CallsAll: 4000, CallsOne: 40, Restart: 300, Changes: 5, Burst: 40, Gap: 100 * time.Millisecond,
		Settle: time.Second, Zone: 2 * time.Second, Within: 12 * time.Second,
	}
}

// Figure is a figure of a row. Its name ends in its unit.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Row is the result of a scene.
type Row struct {
	Scene    string   `json:"scene"`
	Kind     string   `json:"kind"` // of discovery: Pushed or OnRequest
	Sidecars int      `json:"sidecars"`
	Servers  int      `json:"servers"`
	Metrics  []Figure `json:"figures"`
}

// sceneRun is a run of all scenes on one fleet.
type sceneRun struct {
	*fleetControl
	plan Plan
	rows []Row
	busy *process.LoadMonitor
}

// RunScenes starts a fleet and runs the scenes of the plan on it.
func RunScenes(ctx context.Context, set Setup, plan Plan) (rows []Row, err error) {
	began, busy := time.Now(), process.StartLoadMonitor()
	defer busy.Close()
	f, times, err := startFleet(ctx, set)
	defer func() {
		if ended := f.close(); err == nil {
			err = ended
		}
	}()
	if err != nil {
		return nil, err
	}
	p := &sceneRun{fleetControl: f, plan: plan, busy: busy}
	after, err := f.count()
	if err != nil {
		return nil, err
	}
	after.time = began
	p.addRow("all start", slices.Concat(spreadMetrics(times), p.traffic(after, 0), []Figure{
		{"memory_mb_a_sidecar", after.Simulated.MemoryMB / float64(set.Sidecars)},
		{"heap_mb_a_sidecar", after.Simulated.HeapMB / float64(set.Sidecars)},
		{"memory_mb_all", after.Simulated.MemoryMB + after.Discovery.MemoryMB},
	}))
	for _, scene := range p.scenes() {
		if len(plan.Only) > 0 && !slices.Contains(plan.Only, scene.name) {
			continue
		}
		if err := ctx.Err(); err != nil {
			return p.rows, err
		}
		if err := scene.run(p); err != nil {
			return p.rows, fmt.Errorf("%s: %w", scene.name, err)
		}
	}
	return p.rows, nil
}

// scene is a scene that follows the start.
type scene struct {
	name string
	run  func(*sceneRun) error
}

func (*sceneRun) scenes() []scene {
	return []scene{
		{"idle", (*sceneRun).idle},
		{"calls", (*sceneRun).calls},
		{"list", (*sceneRun).list},
		{"burst", (*sceneRun).burst},
		{"configuration", (*sceneRun).configuration},
		{"zone", (*sceneRun).zone},
		{"restart", (*sceneRun).restart},
	}
}

// addRow adds a row, with the load of the machine since the last one.
func (p *sceneRun) addRow(scene string, metrics []Figure) {
	late, cores := p.busy.Sample()
	metrics = append(metrics, Figure{"stall_ms", ms(max(late, p.late))}, Figure{"machine_cores_busy", cores})
	p.late = 0
	p.rows = append(p.rows, Row{Scene: scene, Kind: p.set.Kind, Sidecars: p.set.Sidecars, Servers: p.set.Servers, Metrics: metrics})
}

// spreadMetrics returns the figures of the distribution of times.
func spreadMetrics(times []float64) []Figure {
	s := spreadOf(times)
	return []Figure{{"median_ms", s.median}, {"most99_ms", s.p99}, {"last_ms", s.last}, {"missing", float64(s.missing)}}
}

// traffic returns discovery's traffic: the total if duration is 0, else polls and bytes per second and sidecar.
func (p *sceneRun) traffic(u usage, duration time.Duration) []Figure {
	t := u.Discovery.Discovery
	if duration == 0 {
		return []Figure{
			{"calls", float64(t.Calls)},
			{"whole", float64(t.Complete)},
			{"turned_away", float64(t.Rejected)},
			{"connections", float64(t.Connections)},
			{"bytes_in", float64(t.BytesIn)},
			{"bytes_out", float64(t.BytesOut)},
		}
	}
	s := duration.Seconds() * float64(p.set.Sidecars)
	return []Figure{
		{"list_calls_s", float64(t.Calls) / s},
		{"list_whole", float64(t.Complete)},
		{"list_turned_away", float64(t.Rejected)},
		{"list_bytes_in_s", float64(t.BytesIn) / s},
		{"list_bytes_out_s", float64(t.BytesOut) / s},
	}
}

// cpu returns the CPU time of a sidecar and of discovery for each sidecar, in percent of a core, and the cores in use.
func (p *sceneRun) cpu(u usage, duration time.Duration) []Figure {
	perSidecar := 100 / duration.Seconds() / float64(p.set.Sidecars)
	return []Figure{
		{"cpu_sidecar_pct", u.Simulated.CPU.Seconds() * perSidecar},
		{"cpu_discovery_pct", u.Discovery.CPU.Seconds() * perSidecar},
		{"cores_busy", (u.Simulated.CPU + u.Discovery.CPU).Seconds() / duration.Seconds()},
	}
}

// sleep returns a function for measure that sleeps for d.
func (p *sceneRun) sleep(d time.Duration) func() error {
	return func() error { time.Sleep(d); return nil }
}

// idle runs the fleet without requests.
func (p *sceneRun) idle() error { return p.constantLoad("idle", 0) }

// rate returns the requests per second of a sidecar in scenes with load.
func (p *sceneRun) rate() float64 {
	return min(p.plan.CallsOne, p.plan.CallsAll/float64(p.set.Sidecars))
}

// calls runs the fleet under constant load.
func (p *sceneRun) calls() error { return p.constantLoad("calls", p.rate()) }

// constantLoad runs the fleet with rate requests per second of each sidecar, and adds a row for it.
func (p *sceneRun) constantLoad(scene string, rate float64) error {
	if _, err := sendAll(p.simulatedFleet, command{Op: "calls", PerS: rate}); err != nil {
		return err
	}
	time.Sleep(p.plan.Settle)
	u, duration, err := p.measure(p.sleep(p.plan.Window))
	if err != nil {
		return err
	}
	s := duration.Seconds() * float64(p.set.Sidecars)
	p.addRow(scene, slices.Concat(p.cpu(u, duration), []Figure{
		{"calls_s", float64(u.Simulated.Calls) / s},
		{"probes_s", float64(u.Simulated.Probes) / s},
		{"refused", float64(u.Simulated.Refused)},
		{"failed", float64(u.Simulated.Failed)},
	},
		p.traffic(u, duration)))
	_, err = sendAll(p.simulatedFleet, command{Op: "calls"})
	return err
}

// ms returns d in milliseconds.
func ms(d time.Duration) float64 { return d.Seconds() * 1e3 }
