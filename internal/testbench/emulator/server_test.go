package emulator

import (
	"math"
	"testing"
)

// erlangWait is the mean wait of M/M/c with a mean service time of 10 ms, by Erlang's C formula.
func erlangWait(cores int, load float64) float64 {
	a, term, sum := float64(cores)*load, 1.0, 0.0
	for k := range cores {
		sum += term
		term *= a / float64(k+1)
	}
	queued := term / (1 - load)
	return queued / (sum + queued) * 10 / (float64(cores) * (1 - load))
}

func TestQueuesAreThoseOfTheory(t *testing.T) {
	for _, c := range []struct {
		cores int
		load  float64
	}{{1, 0.5}, {1, 0.8}, {4, 0.8}} {
		want := erlangWait(c.cores, c.load)
		first := play(t, plain(float64(c.cores), c.cores, c.load), nil)
		if off := first.WaitMs/want - 1; math.Abs(off) > 0.06 {
			t.Errorf("%d cores, load %v, in order of arrival: waits %.3f ms, M/M/c has %.3f: %+.1f%%", c.cores, c.load,
				first.WaitMs, want, 100*off)
		}
		shared := play(t, plain(float64(c.cores), 1e6, c.load), nil) // sharing has the same mean time in all
		if off := shared.MeanMs/(want+10) - 1; math.Abs(off) > 0.06 || shared.WaitMs != 0 {
			t.Errorf("%d cores, load %v, shared: %.3f ms in all, theory has %.3f: %+.1f%%", c.cores, c.load,
				shared.MeanMs, want+10, 100*off)
		}
	}
}

func TestJamLasts(t *testing.T) {
	cfg := dayWith("random", Fault{Name: "surge", For: 4, Size: 2.5})
	cfg.Clients.Retries = 0
	r := play(t, cfg, nil)
	cfg.Server.JamSlow = 1 // a jam that costs nothing
	free := play(t, cfg, nil)
	if jam, none := r.Rows[10].Service, free.Rows[10].Service; r.Jams == 0 || r.Rows[9].Jammed == 0 || jam > none-0.3 {
		t.Errorf("%d jams; 3 s after the surge %.3f are served, without the price of jams %.3f", r.Jams, jam, none)
	}
}

func TestWhatTakesPower(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*machine)
		want   float64
	}{
		"nothing":      {func(*machine) {}, 4},
		"crowded":      {func(m *machine) { m.running = make([]*job, 26) }, 4 * (1 - 0.04*2.5)},
		"very crowded": {func(m *machine) { m.running = make([]*job, 400) }, 4 * 0.6},
		"half table":   {func(m *machine) { m.conns = make([]*conn, 200) }, 4 * 0.9},
		"jam":          {func(m *machine) { m.jammed = true }, 4 / 2.9},
		"neighbour":    {func(m *machine) { m.host.taken = []float64{0.25} }, 3},
		"probes":       {func(m *machine) { m.addOverhead(500) }, 3},
		"cold":         {func(m *machine) { m.startedAt, m.startCapacity, m.warmUpTime = 1000, 0.4, 3000 }, 4 * 0.6},
		"warm again":   {func(m *machine) { m.startedAt, m.startCapacity, m.warmUpTime = 1000, 0.4, 500 }, 4},
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
			t.Errorf("%s: %v cores, want %v", name, m.power(), c.want)
		}
	}
}

func TestServersHaveLimits(t *testing.T) {
	cfg := dayWith("module")
	free := play(t, cfg, nil)
	cfg.Server.Connections = 2
	if few := play(t, cfg, nil); few.MaxConns != 2 || few.Service > free.Service-0.1 {
		t.Errorf("two connections each: %d at most, %s", few.MaxConns, brief(few))
	}
	cfg = dayWith("module")
	cfg.Server.MaxProbes = 2
	if few := play(t, cfg, nil); few.Rows[11].InFlight <= free.Rows[11].InFlight || few.CrossZone <= free.CrossZone {
		t.Errorf("two probes a second each: held %d, crossings %.3f; all: %d, %.3f", few.Rows[11].InFlight, few.CrossZone,
			free.Rows[11].InFlight, free.CrossZone)
	}
}

// Neighbours stay while processes come and go beside them, and leave nothing behind.
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
	robbed := false // a process that began beside a neighbour, or one before it came
	for w.heap[0].time <= 20e3 {
		w.next()()
		for _, m := range w.machines {
			if p := m.power(); p > m.capacity() {
				t.Fatalf("at %v ms server %d does %v of %v", w.now, m.id, p, m.capacity())
			}
		}
		last := w.machines[len(w.machines)-1]
		robbed = robbed || len(w.machines) == 8 && last.power() < 0.8*last.capacity()
	}
	for _, m := range w.machines {
		if m.power() < 0.99*m.capacity() {
			t.Errorf("server %d does %v of %v for good", m.id, m.power(), m.capacity())
		}
	}
	if !robbed {
		t.Error("no neighbour was beside a process that had come after it")
	}
}
