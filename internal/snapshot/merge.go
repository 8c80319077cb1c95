package snapshot

// Merge returns the list that a start goes by: of two lists of one discovery service the one with the higher revision, of
// lists of different services the known one, which the configuration names. What the snapshot says of a server that
// drains or is gone survives in a newer list too, unless that shows a new process there: a later start time, or
// another id. Where that leaves a list that discovery never sent, its Revision is 0.
func Merge(snap, known List) (List, []Dropped) {
	sameDiscovery := snap.Discovery == known.Discovery
	if sameDiscovery && (snap.Revision >= known.Revision || len(known.Members) == 0) {
		return snap.clone(), dropMissing(known, snap)
	}
	merged := List{Discovery: known.Discovery, Revision: known.Revision}
	asListed := true
	earlier := snap.byID()
	for _, m := range known.Members {
		if was, have := earlier[m.ID]; have && m.StartedAt <= was.StartedAt {
			var altered bool
			m, altered = m.withEarlier(was)
			asListed = asListed && !altered
		}
		merged.Members = append(merged.Members, m)
	}
	listed := known.byID()
	for _, m := range snap.Members {
		if _, have := listed[m.ID]; have || m.availability() == available {
			continue
		}
		merged.Members = append(merged.Members, m)
		asListed = asListed && m.availability() == deleted // that one is in no list anyway
	}
	if !asListed {
		merged.Revision = 0
	}
	dropped := dropMissing(snap, merged)
	if !sameDiscovery {
		for i := range dropped {
			dropped[i].Reason = OtherDiscovery
		}
	}
	return merged, dropped
}

// withEarlier adds to a server of the known list what the snapshot has of the same process, and reports whether it is altered by
// that.
func (m Member) withEarlier(was Member) (out Member, altered bool) {
	if was.availability() > m.availability() {
		m.Phase = was.Phase
		altered = true
	}
	if was.StartedAt > m.StartedAt { // all clocks are one: a later start was seen, and the server may be cold
		m.StartedAt = was.StartedAt
		altered = true
	}
	if was.Phase == m.Phase {
		m.PhaseSince = was.PhaseSince
	}
	if was.StartedAt == m.StartedAt {
		m.Age = was.Age
	}
	return m, altered
}

// dropMissing returns the servers that take new work in one list and are not in the one that is gone by.
func dropMissing(from, merged List) (dropped []Dropped) {
	listed := merged.byID()
	for _, m := range from.Members {
		if _, have := listed[m.ID]; !have && m.availability() == available {
			dropped = append(dropped, Dropped{What: droppedMember, Server: m.ID, Count: 1, Reason: NewerList})
		}
	}
	return dropped
}
