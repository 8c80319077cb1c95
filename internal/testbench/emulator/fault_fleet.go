package emulator

import (
	"math"
	"math/rand/v2"
)

func cutoff(w *world, f Fault, rng *rand.Rand) {
	zone := rng.IntN(w.cfg.Zones)
	w.cut[zone] = true
	w.note("cutoff begins: zone %d", zone)
	w.after(f.For*1000, func() {
		w.cut[zone] = false
		w.note("cutoff ends")
	})
}

func restart(w *world, f Fault, rng *rand.Rand) {
	n := max(1, int(math.Round(f.Part*float64(len(w.sidecars)))))
	w.note("restart: %d sidecars are killed", n)
	for _, i := range rng.Perm(len(w.sidecars))[:n] {
		sc := w.sidecars[i]
		if sc.running {
			sc.kill()
			w.after(f.For*1000*(0.5+rng.Float64()/2), sc.start)
		}
	}
}

func resets(w *world, f Fault, _ *rand.Rand) {
	w.resets += f.Part
	w.note("resets begin: %.1f%% of the requests and probes", 100*f.Part)
	w.after(f.For*1000, func() {
		w.resets -= f.Part
		w.note("resets end")
	})
}

func discoveryDown(w *world, f Fault, _ *rand.Rand) {
	w.discovery.stop()
	w.note("discovery is down")
	w.after(f.For*1000, func() {
		w.discovery.restart()
		w.note("discovery is back")
	})
}

func surge(w *world, f Fault, _ *rand.Rand) {
	w.surge *= f.Size
	w.note("surge begins: %.2f times the arrivals", f.Size)
	w.after(f.For*1000, func() {
		w.surge /= f.Size
		w.note("surge ends")
	})
}
