package emulator

import "plankrouter/policy"

// discovery sends the sidecars which processes run, drain or are gone. It does not notice servers that are silent.
type discovery struct {
	world           *world
	endpoints       []policy.ServerInfo // of all that are not gone, in order of their first mention
	down            bool
	endpointsBefore []policy.ServerInfo // lines when it went down
}

func (m *machine) info(h policy.Health) policy.ServerInfo {
	return policy.ServerInfo{ID: m.id, Zone: m.zone, Health: h, StartedAt: m.startedAt}
}

// change takes news of a server's process and passes it on.
func (d *discovery) change(m *machine, h policy.Health) {
	line := m.info(h)
	remaining := d.endpoints[:0:0] // what has been sent may still be on its way
	known := false
	for _, l := range d.endpoints {
		if l.ID == line.ID {
			l, known = line, true
		}
		if l.Health != policy.Gone {
			remaining = append(remaining, l)
		}
	}
	if !known && h != policy.Gone {
		remaining = append(remaining, line)
	}
	d.endpoints = remaining
	if d.down {
		return
	}
	changes := []policy.ServerInfo{line}
	set, rng := &d.world.cfg.Discovery, d.world.rngDiscovery
	for _, sc := range d.world.sidecars {
		if rng.Float64() < set.Lossy {
			d.world.after(set.Repair, func() { d.notify(sc, nil, 0) })
			continue
		}
		d.notify(sc, changes, set.Late[0]+rng.Float64()*(set.Late[1]-set.Late[0]))
	}
}

// notify brings news, or the whole list as it is by then if there is none, in the order in which it was sent.
func (d *discovery) notify(sc *sidecar, changes []policy.ServerInfo, delay policy.Ms) {
	sc.notifiedUntil = max(sc.notifiedUntil, d.world.now+delay)
	incarnation := sc.incarnation
	d.world.at(sc.notifiedUntil, func() {
		switch {
		case !sc.running || sc.incarnation != incarnation || d.down:
		case changes == nil:
			sc.endpointsUpdated(d.endpoints, true)
		default:
			sc.endpointsUpdated(changes, false)
		}
	})
}

// stop loses all that is still on its way; restart sends everyone the complete list.
func (d *discovery) stop() { d.down, d.endpointsBefore = true, d.endpoints }

// known is the list that a process begins with: it asks nobody who is down.
func (d *discovery) known() []policy.ServerInfo {
	if d.down {
		return d.endpointsBefore
	}
	return d.endpoints
}

func (d *discovery) restart() {
	d.down = false
	set := &d.world.cfg.Discovery
	for _, sc := range d.world.sidecars {
		d.notify(sc, nil, set.Late[0]+d.world.rngDiscovery.Float64()*(set.Late[1]-set.Late[0]))
	}
}
