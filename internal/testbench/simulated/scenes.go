package simulated

import (
	"context"
	"fmt"
	"slices"
	"time"

	"plankrouter/internal/testbench/process"
)

// Plan says how long the scenes are.
type Plan struct {
	Window   time.Duration // of an ordinary minute: the stretch that is looked at
	CallsAll float64       // calls a second of the whole fleet, while there are calls
	CallsOne float64       // of one sidecar, at most
	Restart  int           // sidecars that are restarted together
	Changes  int           // single changes of the list that are timed
	Burst    int           // changes of the list one after another
	Gap      time.Duration // between those
	Settle   time.Duration // for which a new rate of calls goes on before it is looked at
	Zone     time.Duration // for which a zone that is lost or back is looked at: much less than it takes to get warm
	Within   time.Duration // in which a change has to be in force
	Only     []string      // of Scenes; none = all
}

// Scenes are the names of those that follow the start.
func Scenes() (names []string) {
	for _, s := range (*play)(nil).scenes() {
		names = append(names, s.name)
	}
	return names
}

// Usual is the plan of the page.
func Usual() Plan {
	return Plan{
		Window: 10 * time.Second, CallsAll: 4000, CallsOne: 40, Restart: 300, Changes: 5, Burst: 40, Gap: 100 * time.Millisecond,
		Settle: time.Second, Zone: 2 * time.Second, Within: 12 * time.Second,
	}
}

// Figure is one of a row. Its name ends in its unit.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Row is what came of a scene.
type Row struct {
	Scene    string   `json:"scene"`
	Kind     string   `json:"kind"` // of discovery
	Sidecars int      `json:"sidecars"`
	Servers  int      `json:"servers"`
	Metrics  []Figure `json:"figures"`
}

// play is a run of all scenes on one fleet.
type play struct {
	*world
	plan Plan
	rows []Row
	busy *process.LoadMonitor
}

// Play plays all scenes with one fleet.
func Play(ctx context.Context, set Setup, plan Plan) (rows []Row, err error) {
	began, busy := time.Now(), process.StartLoadMonitor()
	defer busy.Close()
	w, times, err := startFleet(ctx, set)
	defer func() {
		if ended := w.close(); err == nil {
			err = ended
		}
	}()
	if err != nil {
		return nil, err
	}
	p := &play{world: w, plan: plan, busy: busy}
	after, err := w.count()
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
		if err := scene.play(p); err != nil {
			return p.rows, fmt.Errorf("%s: %w", scene.name, err)
		}
	}
	return p.rows, nil
}

// scene is one that follows the start.
type scene struct {
	name string
	play func(*play) error
}

func (*play) scenes() []scene {
	return []scene{
		{"idle", (*play).idle},
		{"calls", (*play).calls},
		{"list", (*play).list},
		{"burst", (*play).burst},
		{"configuration", (*play).configuration},
		{"zone", (*play).zone},
		{"restart", (*play).restart},
	}
}

func (p *play) addRow(scene string, metrics []Figure) {
	late, cores := p.busy.Sample()
	metrics = append(metrics, Figure{"stall_ms", ms(max(late, p.late))}, Figure{"machine_cores_busy", cores})
	p.late = 0
	p.rows = append(p.rows, Row{Scene: scene, Kind: p.set.Kind, Sidecars: p.set.Sidecars, Servers: p.set.Servers, Metrics: metrics})
}

func spreadMetrics(times []float64) []Figure {
	s := spreadOf(times)
	return []Figure{{"median_ms", s.median}, {"most99_ms", s.most99}, {"last_ms", s.last}, {"missing", float64(s.missing)}}
}

// traffic is what discovery saw: in all, or a second.
func (p *play) traffic(u used, long time.Duration) []Figure {
	t := u.Discovery.Discovery
	if long == 0 {
		return []Figure{
			{"calls", float64(t.Calls)},
			{"whole", float64(t.Complete)},
			{"turned_away", float64(t.Rejected)},
			{"connections", float64(t.Connections)},
			{"bytes_in", float64(t.BytesIn)},
			{"bytes_out", float64(t.BytesOut)},
		}
	}
	s := long.Seconds() * float64(p.set.Sidecars)
	return []Figure{
		{"list_calls_s", float64(t.Calls) / s},
		{"list_whole", float64(t.Complete)},
		{"list_turned_away", float64(t.Rejected)},
		{"list_bytes_in_s", float64(t.BytesIn) / s},
		{"list_bytes_out_s", float64(t.BytesOut) / s},
	}
}

// cpu is the processors' time, in % of a core, of a sidecar and of discovery for each sidecar.
func (p *play) cpu(u used, long time.Duration) []Figure {
	part := 100 / long.Seconds() / float64(p.set.Sidecars)
	return []Figure{
		{"cpu_sidecar_pct", u.Simulated.CPU.Seconds() * part},
		{"cpu_discovery_pct", u.Discovery.CPU.Seconds() * part},
		{"cores_busy", (u.Simulated.CPU + u.Discovery.CPU).Seconds() / long.Seconds()},
	}
}

func (p *play) sleep(d time.Duration) func() error { return func() error { time.Sleep(d); return nil } }

// idle is an ordinary minute without calls.
func (p *play) idle() error { return p.minute("idle", 0) }

// rate is that of the calls of a sidecar.
func (p *play) rate() float64 { return min(p.plan.CallsOne, p.plan.CallsAll/float64(p.set.Sidecars)) }

// calls is an ordinary minute with calls.
func (p *play) calls() error { return p.minute("calls", p.rate()) }

func (p *play) minute(scene string, rate float64) error {
	if _, err := all(p.simulatedFleet, order{Op: "calls", PerS: rate}); err != nil {
		return err
	}
	time.Sleep(p.plan.Settle)
	u, long, err := p.during(p.sleep(p.plan.Window))
	if err != nil {
		return err
	}
	s := long.Seconds() * float64(p.set.Sidecars)
	p.addRow(scene, slices.Concat(p.cpu(u, long), []Figure{
		{"calls_s", float64(u.Simulated.Calls) / s},
		{"probes_s", float64(u.Simulated.Probes) / s},
		{"refused", float64(u.Simulated.Refused)},
		{"failed", float64(u.Simulated.Failed)},
	},
		p.traffic(u, long)))
	_, err = all(p.simulatedFleet, order{Op: "calls"})
	return err
}

func ms(d time.Duration) float64 { return d.Seconds() * 1e3 }
