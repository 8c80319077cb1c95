package emulator

import (
	"math"
	"math/rand/v2"
)

func cutoff(w *world, t Fault, rng *rand.Rand) {
	zone := rng.IntN(w.cfg.Zones)
	w.cut[zone] = true
	w.note("cutoff begins: zone %d", zone)
	w.after(t.For*1000, func() {
		w.cut[zone] = false
		w.note("cutoff ends")
	})
}

func restart(w *world, t Fault, rng *rand.Rand) {
	n := max(1, int(math.Round(t.Part*float64(len(w.sidecars)))))
	w.note("restart: %d sidecars are killed", n)
	for _, i := range rng.Perm(len(w.sidecars))[:n] {
		sc := w.sidecars[i]
		if sc.running {
			sc.kill()
			w.after(t.For*1000*(0.5+rng.Float64()/2), sc.start)
		}
	}
}

func resets(w *world, t Fault, _ *rand.Rand) {
	w.resets += t.Part
	w.note("resets begin: %.1f%% of what is sent", 100*t.Part)
	w.after(t.For*1000, func() {
		w.resets -= t.Part
		w.note("resets end")
	})
}

func discoveryDown(w *world, t Fault, _ *rand.Rand) {
	w.discovery.stop()
	w.note("the directory is down")
	w.after(t.For*1000, func() {
		w.discovery.restart()
		w.note("the directory is back")
	})
}

func surge(w *world, t Fault, _ *rand.Rand) {
	w.surge *= t.Size
	w.note("surge begins: %.2f times the arrivals", t.Size)
	w.after(t.For*1000, func() {
		w.surge /= t.Size
		w.note("surge ends")
	})
}
