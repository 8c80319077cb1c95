package emulator

import (
	"math"
	"testing"
)

// erlangWait returns the mean wait of M/M/c with a mean service time of 10 ms, by the Erlang C formula.
func erlangWait(cores int, load float64) float64 {
	a, term, sum := float64(cores)*load, 1.0, 0.0
	for k := range cores {
		sum += term
		term *= a / float64(k+1)
	}
	queued := term / (1 - load)
	return queued / (sum + queued) * 10 / (float64(cores) * (1 - load))
}

func TestQueuesMatchTheory(t *testing.T) {
	for _, c := range []struct {
		cores int
		load  float64
	}{{1, 0.5}, {1, 0.8}, {4, 0.8}} {
		want := erlangWait(c.cores, c.load)
		fcfs := play(t, idealQueue(float64(c.cores), c.cores, c.load), nil)
		if off := fcfs.WaitMs/want - 1; math.Abs(off) > 0.06 {
			t.Errorf("%d cores, load %v, FCFS: mean wait %.3f ms, M/M/c has %.3f: %+.1f%%", c.cores, c.load,
				fcfs.WaitMs, want, 100*off)
		}
		shared := play(t, idealQueue(float64(c.cores), 1e6, c.load), nil) // processor sharing has the same mean latency
		if off := shared.MeanMs/(want+10) - 1; math.Abs(off) > 0.06 || shared.WaitMs != 0 {
			t.Errorf("%d cores, load %v, processor sharing: mean latency %.3f ms, theory has %.3f: %+.1f%%", c.cores, c.load,
				shared.MeanMs, want+10, 100*off)
		}
	}
}

func TestJamLasts(t *testing.T) {
	cfg := configWith("random", Fault{Name: "surge", For: 4, Size: 2.5})
	cfg.Clients.Retries = 0
	r := play(t, cfg, nil)
	cfg.Server.JamSlow = 1 // a jam without effect
	harmless := play(t, cfg, nil)
	if jam, none := r.Rows[10].Service, harmless.Rows[10].Service; r.Jams == 0 || r.Rows[9].Jammed == 0 || jam > none-0.3 {
		t.Errorf("%d jams; service 3 s after the surge %.3f, with jams without effect %.3f", r.Jams, jam, none)
	}
}

func TestPowerLosses(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*machine)
		want   float64
	}{
		"nothing":              {func(*machine) {}, 4},
		"overload":             {func(m *machine) { m.running = make([]*job, 26) }, 4 * (1 - 0.04*2.5)},
		"max overload":         {func(m *machine) { m.running = make([]*job, 400) }, 4 * 0.6},
		"half the connections": {func(m *machine) { m.conns = make([]*conn, 200) }, 4 * 0.9},
		"jam":                  {func(m *machine) { m.jammed = true }, 4 / 2.9},
		"neighbour":            {func(m *machine) { m.host.taken = []float64{0.25} }, 3},
		"probes":               {func(m *machine) { m.addOverhead(500) }, 3},
		"cold":                 {func(m *machine) { m.startedAt, m.startCapacity, m.warmUpTime = 1000, 0.4, 3000 }, 4 * 0.6},
		"warm again":           {func(m *machine) { m.startedAt, m.startCapacity, m.warmUpTime = 1000, 0.4, 500 }, 4},
	} {
		cfg := Default(1, 1)
		cfg.Kinds = []Kind{{Fraction: 1, Cores: 4, Speed: [2]float64{1, 1}}}
		w, err := newWorld(cfg, Options{})
		if err != nil {
			t.Fatal(err)
		}
		w.now = 2000
		m := w.machines[0]
		if c.change(m); math.Abs(m.power()-c.want) > 1e-9 {
			t.Errorf("%s: power %v, want %v", name, m.power(), c.want)
		}
	}
}

func TestServersHaveLimits(t *testing.T) {
	cfg := configWith("module")
	unlimited := play(t, cfg, nil)
	cfg.Server.Connections = 2
	if limited := play(t, cfg, nil); limited.MaxConns != 2 || limited.Service > unlimited.Service-0.1 {
		t.Errorf("with a limit of two connections: %d at most, %s", limited.MaxConns, brief(limited))
	}
	cfg = configWith("module")
	cfg.Server.MaxProbes = 2
	if limited := play(t, cfg, nil); limited.Rows[11].InFlight <= unlimited.Rows[11].InFlight || limited.CrossZone <= unlimited.CrossZone {
		t.Errorf("with a limit of two probes a second: in flight %d, crossings %.3f; without: %d, %.3f", limited.Rows[11].InFlight, limited.CrossZone,
			unlimited.Rows[11].InFlight, unlimited.CrossZone)
	}
}

// TestNeighboursOutliveProcesses checks that neighbours, other programs on a host, keep taking their part of its capacity when
// the server process is replaced, and that the full capacity is available again after they have ended.
func TestNeighboursOutliveProcesses(t *testing.T) {
	cfg := Default(1, 4)
	cfg.Rate = 0
	for _, size := range []float64{0.3, 0.7} {
		cfg.Faults = append(cfg.Faults, Fault{Name: "neighbour", At: 2, For: 12, Part: 1, Size: size, Every: 1})
	}
	cfg.Faults = append(cfg.Faults, Fault{Name: "deploy", At: 3, For: 6, Part: 1, Size: 0.25, Every: 1})
	w, err := newWorld(cfg, Options{})
	if err != nil {
		t.Fatal(err)
	}
	slowed := false // a neighbour has slowed the process that was started last
	for w.heap[0].time <= 20e3 {
		w.next()()
		for _, m := range w.machines {
			if p := m.power(); p > m.capacity() {
				t.Fatalf("at %v ms server %d has power %v of capacity %v", w.now, m.id, p, m.capacity())
			}
		}
		last := w.machines[len(w.machines)-1]
		slowed = slowed || len(w.machines) == 8 && last.power() < 0.8*last.capacity()
	}
	for _, m := range w.machines {
		if m.power() < 0.99*m.capacity() {
			t.Errorf("server %d has power %v of capacity %v after the faults", m.id, m.power(), m.capacity())
		}
	}
	if !slowed {
		t.Error("no neighbour slowed a process that was started after it")
	}
}
