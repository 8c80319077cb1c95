package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"plankrouter/policy"
)

// someServers returns a random part of the servers that are alive, but at least one of them, and their ids as text.
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

// forSomeServers calls do for the processes of a random part of the servers, and undo for the same processes when the fault ends.
func forSomeServers(w *world, f Fault, rng *rand.Rand, do, undo func(*machine)) {
	some, ids := w.someServers(f.Part, rng)
	w.note("%s begins at servers %s", f.Name, ids)
	for _, m := range some {
		do(m)
		m.advance()
		m.reschedule()
		w.after(f.For*1000, func() {
			undo(m)
			m.advance()
			m.reschedule()
		})
	}
	w.after(f.For*1000, func() { w.note("%s ends", f.Name) })
}

func silence(w *world, f Fault, rng *rand.Rand) {
	if f.Zone > 0 {
		silentZone(w, f)
		return
	}
	forSomeServers(w, f, rng, func(m *machine) { m.phase = silent }, func(m *machine) {
		if m.phase == silent {
			m.start()
		}
	})
}

// silentZone makes the servers of a zone unreachable for the duration of the fault. They continue to process requests.
func silentZone(w *world, f Fault) {
	w.note("silence begins in zone %d", f.Zone)
	for _, m := range w.alive() {
		if m.zone != f.Zone-1 || m.phase != serving {
			continue
		}
		m.phase = silent
		w.after(f.For*1000, func() {
			if m.phase == silent {
				m.phase = serving
			}
		})
	}
	w.after(f.For*1000, func() { w.note("silence ends") })
}

func failRequests(w *world, f Fault, rng *rand.Rand) {
	forSomeServers(w, f, rng, func(m *machine) { m.failing = f.Size }, func(m *machine) { m.failing = 0 })
}

func pauseServers(w *world, f Fault, rng *rand.Rand) {
	forSomeServers(w, f, rng, func(m *machine) { m.advance(); m.paused = true }, func(m *machine) { m.advance(); m.paused = false })
}

func neighbour(w *world, f Fault, rng *rand.Rand) {
	until := w.now + f.For*1000
	forSomeServers(w, f, rng, func(m *machine) {
		h, index := m.host, len(m.host.taken) // the process may be replaced during the fault, but the neighbour stays on the host
		h.taken = append(h.taken, 0)
		set := func(part float64) {
			h.current.advance()
			h.taken[index] = part
			h.current.reschedule()
		}
		var toggle func()
		toggle = func() {
			if w.now < until {
				set(f.Size - h.taken[index])
				w.after(f.Every*1000*(0.5+rng.Float64()), toggle)
			}
		}
		w.after(rng.Float64()*f.Every*1000, toggle)
		w.after(f.For*1000, func() { set(0) })
	}, func(*machine) {})
}

func costlyRequests(w *world, f Fault, _ *rand.Rand) {
	class := slices.IndexFunc(w.cfg.Classes, func(k Class) bool { return k.Name == f.Class })
	w.costly = append(w.costly, costly{class, f.Part, f.Size})
	w.note("costly begins: %.1f%% of %s need %.1f times the work", 100*f.Part, f.Class, f.Size)
	w.after(f.For*1000, func() {
		w.costly = slices.DeleteFunc(w.costly, func(c costly) bool { return c == costly{class, f.Part, f.Size} })
		w.note("costly ends")
	})
}

func deploy(w *world, f Fault, rng *rand.Rand) { replace(w, f, rng, f.Size, func(*machine) {}) }

func releaseSlow(w *world, f Fault, rng *rand.Rand) {
	replace(w, f, rng, 0.1, func(m *machine) { m.slow = f.Size })
}

func releaseMute(w *world, f Fault, rng *rand.Rand) {
	replace(w, f, rng, 0.1, func(m *machine) { m.rejectsProbes = true })
}

// replace drains servers in batches, ends each process after its drain and starts one with a new id in its place. A batch is the
// fraction batch of the servers; change sets properties of each new server.
func replace(w *world, f Fault, rng *rand.Rand, batch float64, change func(*machine)) {
	some, ids := w.someServers(f.Part, rng)
	n := max(1, int(math.Round(batch*float64(len(w.alive())))))
	batches := float64((len(some) + n - 1) / n)
	w.note("%s begins: %d at a time of servers %s", f.Name, n, ids)
	for i, old := range some {
		w.after(f.For*1000*math.Floor(float64(i)/float64(n))/batches, func() {
			if old.phase != serving {
				return
			}
			old.phase = draining
			w.discovery.update(old, policy.Draining)
			w.after(f.Every*1000, func() {
				old.exit()
				w.discovery.update(old, policy.Gone)
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
	w.after((f.For+f.Every)*1000, func() { w.note("%s ends", f.Name) })
}
