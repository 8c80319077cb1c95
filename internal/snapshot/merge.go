package snapshot

// Merge returns the endpoint list to start with. Of two lists of the same discovery service it is the one with the higher
// revision. If their services differ, it is the list in known, whose service the configuration names. Servers that are
// draining or deleted in the snapshot stay so in a newer list, unless that list shows a new process: a later start time or
// another id. If the result differs from the list that discovery sent, its Revision is 0.
func Merge(snap, known List) (List, []Dropped) {
	sameDiscovery := snap.Discovery == known.Discovery
	if sameDiscovery && (snap.Revision >= known.Revision || len(known.Members) == 0) {
		return snap.clone(), dropMissing(known, snap)
	}
	merged := List{Discovery: known.Discovery, Revision: known.Revision}
	unchanged := true
	earlier := snap.byID()
	for _, m := range known.Members {
		if previous, ok := earlier[m.ID]; ok && m.StartedAt <= previous.StartedAt {
			var altered bool
			m, altered = m.withEarlier(previous)
			unchanged = unchanged && !altered
		}
		merged.Members = append(merged.Members, m)
	}
	listed := known.byID()
	for _, m := range snap.Members {
		if _, ok := listed[m.ID]; ok || m.availability() == available {
			continue
		}
		merged.Members = append(merged.Members, m)
		unchanged = unchanged && m.availability() == deleted // discovery doesn't list deleted servers
	}
	if !unchanged {
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

// withEarlier returns a server of the known list, updated with the snapshot's state of the same process, and reports whether
// that has changed its phase or start time.
func (m Member) withEarlier(previous Member) (out Member, altered bool) {
	if previous.availability() > m.availability() {
		m.Phase = previous.Phase
		altered = true
	}
	if previous.StartedAt > m.StartedAt {
		// Both times are discovery's: the later start is that of the newer process, which may need slow start.
		m.StartedAt = previous.StartedAt
		altered = true
	}
	if previous.Phase == m.Phase {
		m.PhaseSince = previous.PhaseSince
	}
	if previous.StartedAt == m.StartedAt {
		m.Age = previous.Age
	}
	return m, altered
}

// dropMissing returns the servers that are available in from and missing in merged, as dropped.
func dropMissing(from, merged List) (dropped []Dropped) {
	listed := merged.byID()
	for _, m := range from.Members {
		if _, ok := listed[m.ID]; !ok && m.availability() == available {
			dropped = append(dropped, Dropped{What: droppedMember, Server: m.ID, Count: 1, Reason: NewerList})
		}
	}
	return dropped
}
