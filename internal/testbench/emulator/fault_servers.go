package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"plankrouter/policy"
)

// someServers are a part of the servers, one at least, and their numbers.
func (w *world) someServers(part float64, rng *rand.Rand) ([]*machine, string) {
	all := w.alive()
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), max(1, int(math.Round(part*float64(len(all))))))]
	var ids []string
	for _, m := range all {
		ids = append(ids, fmt.Sprint(m.id))
	}
	return all, strings.Join(ids, " ")
}

// forSomeServers does something to a part of the servers, and undoes it when the fault is over, where the process is the same.
func forSomeServers(w *world, t Fault, rng *rand.Rand, do, undo func(*machine)) {
	some, ids := w.someServers(t.Part, rng)
	w.note("%s begins at servers %s", t.Name, ids)
	for _, m := range some {
		do(m)
		m.settle()
		m.resume()
		w.after(t.For*1000, func() {
			undo(m)
			m.settle()
			m.resume()
		})
	}
	w.after(t.For*1000, func() { w.note("%s ends", t.Name) })
}

func silence(w *world, t Fault, rng *rand.Rand) {
	if t.Zone > 0 {
		silentZone(w, t)
		return
	}
	forSomeServers(w, t, rng, func(m *machine) { m.phase = silent }, func(m *machine) {
		if m.phase == silent {
			m.start()
		}
	})
}

// silentZone lets nothing into or out of the servers of a zone. They work on meanwhile.
func silentZone(w *world, t Fault) {
	w.note("silence begins in zone %d", t.Zone)
	for _, m := range w.alive() {
		if m.zone != t.Zone-1 || m.phase != serving {
			continue
		}
		m.phase = silent
		w.after(t.For*1000, func() {
			if m.phase == silent {
				m.phase = serving
			}
		})
	}
	w.after(t.For*1000, func() { w.note("silence ends") })
}

func failRequests(w *world, t Fault, rng *rand.Rand) {
	forSomeServers(w, t, rng, func(m *machine) { m.failing = t.Size }, func(m *machine) { m.failing = 0 })
}

func pauseServers(w *world, t Fault, rng *rand.Rand) {
	forSomeServers(w, t, rng, func(m *machine) { m.settle(); m.paused = true }, func(m *machine) { m.settle(); m.paused = false })
}

func neighbour(w *world, t Fault, rng *rand.Rand) {
	until := w.now + t.For*1000
	forSomeServers(w, t, rng, func(m *machine) {
		h, place := m.host, len(m.host.taken) // the process may be replaced meanwhile: the neighbour stays
		h.taken = append(h.taken, 0)
		set := func(part float64) {
			h.current.settle()
			h.taken[place] = part
			h.current.resume()
		}
		var toggle func()
		toggle = func() {
			if w.now < until {
				set(t.Size - h.taken[place])
				w.after(t.Every*1000*(0.5+rng.Float64()), toggle)
			}
		}
		w.after(rng.Float64()*t.Every*1000, toggle)
		w.after(t.For*1000, func() { set(0) })
	}, func(*machine) {})
}

func costlyRequests(w *world, t Fault, _ *rand.Rand) {
	class := slices.IndexFunc(w.cfg.Classes, func(k Class) bool { return k.Name == t.Class })
	w.costly = append(w.costly, costly{class, t.Part, t.Size})
	w.note("costly begins: %.1f%% of %s need %.1f times the work", 100*t.Part, t.Class, t.Size)
	w.after(t.For*1000, func() {
		w.costly = slices.DeleteFunc(w.costly, func(c costly) bool { return c == costly{class, t.Part, t.Size} })
		w.note("costly ends")
	})
}

func deploy(w *world, t Fault, rng *rand.Rand) { replace(w, t, rng, t.Size, func(*machine) {}) }

func releaseSlow(w *world, t Fault, rng *rand.Rand) {
	replace(w, t, rng, 0.1, func(m *machine) { m.slow = t.Size })
}

func releaseMute(w *world, t Fault, rng *rand.Rand) {
	replace(w, t, rng, 0.1, func(m *machine) { m.rejectsProbes = true })
}

// replace drains servers in batches, ends each after its drain and starts one with a new id in its place.
func replace(w *world, t Fault, rng *rand.Rand, batch float64, change func(*machine)) {
	some, ids := w.someServers(t.Part, rng)
	n := max(1, int(math.Round(batch*float64(len(w.alive())))))
	batches := float64((len(some) + n - 1) / n)
	w.note("%s begins: %d at a time of servers %s", t.Name, n, ids)
	for i, old := range some {
		w.after(t.For*1000*math.Floor(float64(i)/float64(n))/batches, func() {
			if old.phase != serving {
				return
			}
			old.phase = draining
			w.discovery.change(old, policy.Draining)
			w.after(t.Every*1000, func() {
				old.die()
				w.discovery.change(old, policy.Gone)
				m := &machine{
					world: w, id: policy.ServerID(len(w.machines) + 1), zone: old.zone, cores: old.cores,
					speed: old.speed, slow: old.slow, host: old.host, probeTokens: w.cfg.Server.MaxProbes,
				}
				m.host.current = m
				change(m)
				w.machines = append(w.machines, m)
				w.byID[m.id] = m
				m.start()
			})
		})
	}
	w.after((t.For+t.Every)*1000, func() { w.note("%s ends", t.Name) })
}
