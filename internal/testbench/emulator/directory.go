package emulator

import "plankrouter/policy"

// directory tells the sidecars which processes run, drain or are gone. It knows nothing of silence.
type directory struct {
	w     *world
	lines []policy.ServerInfo // of all that are not gone, in order of their first mention
	down  bool
	asOf  []policy.ServerInfo // lines when it went down
}

func (m *machine) info(h policy.Health) policy.ServerInfo {
	return policy.ServerInfo{ID: m.id, Zone: m.zone, Health: h, StartedAt: m.startedAt}
}

// change takes news of a server's process and passes it on.
func (d *directory) change(m *machine, h policy.Health) {
	line := m.info(h)
	kept := d.lines[:0:0] // what has been told may still be on its way
	known := false
	for _, l := range d.lines {
		if l.ID == line.ID {
			l, known = line, true
		}
		if l.Health != policy.Gone {
			kept = append(kept, l)
		}
	}
	if !known && h != policy.Gone {
		kept = append(kept, line)
	}
	d.lines = kept
	if d.down {
		return
	}
	news := []policy.ServerInfo{line}
	set, rng := &d.w.cfg.Directory, d.w.rngDirectory
	for _, sc := range d.w.sidecars {
		if rng.Float64() < set.Lossy {
			d.w.after(set.Repair, func() { d.tell(sc, nil, 0) })
			continue
		}
		d.tell(sc, news, set.Late[0]+rng.Float64()*(set.Late[1]-set.Late[0]))
	}
}

// tell brings news, or the whole list as it is by then if there is none, in the order in which it was sent.
func (d *directory) tell(sc *sidecar, news []policy.ServerInfo, late policy.Ms) {
	sc.toldUntil = max(sc.toldUntil, d.w.now+late)
	life := sc.life
	d.w.at(sc.toldUntil, func() {
		switch {
		case !sc.up || sc.life != life || d.down:
		case news == nil:
			sc.told(d.lines, true)
		default:
			sc.told(news, false)
		}
	})
}

// stop loses all that is still on its way; restart tells everyone the whole list.
func (d *directory) stop() { d.down, d.asOf = true, d.lines }

// known is the list that a process begins with: it asks nobody who is down.
func (d *directory) known() []policy.ServerInfo {
	if d.down {
		return d.asOf
	}
	return d.lines
}

func (d *directory) restart() {
	d.down = false
	set := &d.w.cfg.Directory
	for _, sc := range d.w.sidecars {
		d.tell(sc, nil, set.Late[0]+d.w.rngDirectory.Float64()*(set.Late[1]-set.Late[0]))
	}
}
