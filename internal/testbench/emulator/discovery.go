package emulator

import "plankrouter/policy"

// discovery notifies the sidecars which processes run, drain or are gone. It does not notice silent servers.
type discovery struct {
	world           *world
	endpoints       []policy.ServerInfo // all processes that are not gone, in order of their first update
	down            bool
	endpointsBefore []policy.ServerInfo // value of endpoints when discovery went down
}

func (m *machine) info(h policy.Health) policy.ServerInfo {
	return policy.ServerInfo{ID: m.id, Zone: m.zone, Health: h, StartedAt: m.startedAt}
}

// update records the health of a server's process and notifies the sidecars.
func (d *discovery) update(m *machine, h policy.Health) {
	updated := m.info(h)
	remaining := d.endpoints[:0:0] // a new slice, because sidecars may still use the present one
	known := false
	for _, l := range d.endpoints {
		if l.ID == updated.ID {
			l, known = updated, true
		}
		if l.Health != policy.Gone {
			remaining = append(remaining, l)
		}
	}
	if !known && h != policy.Gone {
		remaining = append(remaining, updated)
	}
	d.endpoints = remaining
	if d.down {
		return
	}
	changes := []policy.ServerInfo{updated}
	set, rng := &d.world.cfg.Discovery, d.world.rngDiscovery
	for _, sc := range d.world.sidecars {
		if rng.Float64() < set.Lossy {
			d.world.after(set.Repair, func() { d.notify(sc, nil, 0) })
			continue
		}
		d.notify(sc, changes, set.Late[0]+rng.Float64()*(set.Late[1]-set.Late[0]))
	}
}

// notify sends a sidecar changes or, if changes is nil, the complete list as it is on arrival. Notifications arrive in the order
// in which they are sent.
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

// stop takes discovery down; notifications that would arrive while it is down are lost.
func (d *discovery) stop() { d.down, d.endpointsBefore = true, d.endpoints }

// initialEndpoints returns the list that a sidecar's process starts with; while discovery is down, this is the list from before
// the outage.
func (d *discovery) initialEndpoints() []policy.ServerInfo {
	if d.down {
		return d.endpointsBefore
	}
	return d.endpoints
}

// restart takes discovery up again and sends the complete list to every sidecar.
func (d *discovery) restart() {
	d.down = false
	set := &d.world.cfg.Discovery
	for _, sc := range d.world.sidecars {
		d.notify(sc, nil, set.Late[0]+d.world.rngDiscovery.Float64()*(set.Late[1]-set.Late[0]))
	}
}
