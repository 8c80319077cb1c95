package snapshot

import "time"

// Merge returns the list that a start believes in: of two lists of one directory the one with the higher revision, of
// lists of different directories the known one, which the configuration names. What the snapshot told of a provider
// that drains or is gone survives in a newer list too, unless it shows a new process there: a later start time, or
// another id. Where that leaves a list that the directory never told, its Revision is 0.
func Merge(snap, known List) (List, []Dropped) {
	same := snap.Directory == known.Directory
	if same && (snap.Revision >= known.Revision || len(known.Members) == 0) {
		return snap.clone(), dropMissing(known, snap)
	}
	out := List{Directory: known.Directory, Revision: known.Revision}
	had, told := snap.byID(), true
	for _, m := range known.Members {
		if was, have := had[m.ID]; have && m.UpSince <= was.UpSince {
			if was.leaving() > m.leaving() {
				m.Phase, told = was.Phase, false
			}
			if was.UpSince > m.UpSince { // all clocks are one: a later start was seen, and the provider may be cold
				m.UpSince, told = was.UpSince, false
			}
			if was.Phase == m.Phase {
				m.ToldAt = was.ToldAt
			}
			if was.UpSince == m.UpSince {
				m.Age = was.Age
			}
		}
		out.Members = append(out.Members, m)
	}
	listed := known.byID()
	for _, m := range snap.Members {
		if _, have := listed[m.ID]; !have && m.leaving() > 0 {
			out.Members = append(out.Members, m)
			told = told && m.leaving() == 2 // that one is in no list anyway
		}
	}
	if !told {
		out.Revision = 0
	}
	why := dropMissing(snap, out)
	for i := range why {
		if !same {
			why[i].Reason = OtherDirectory
		}
	}
	return out, why
}

// dropMissing says which providers that take new work in one list are not in the one that is believed.
func dropMissing(from, believed List) (out []Dropped) {
	listed := believed.byID()
	for _, m := range from.Members {
		if _, have := listed[m.ID]; !have && m.leaving() == 0 {
			out = append(out, Dropped{droppedMember, m.ID, 1, NewerList})
		}
	}
	return out
}

// Restored is what a start has to go by.
type Restored struct {
	List    List
	Learned Learned
	Reuse   []byte
}

// Restore puts Still, Merge and Match together: what a start at now takes of a snapshot, nil for none, beside the list
// that its configuration knows. known.Directory is the directory that will be asked.
func Restore(s *Snapshot, known List, now time.Time, r ValidityRules) (Restored, []Dropped) {
	if s == nil {
		return Restored{List: known.clone()}, nil
	}
	s, out := DropStale(s, now, r)
	list, more := Merge(s.List(), known)
	out = append(out, more...)
	s.Learned.Servers, more = Match(s.Learned.Servers, list.Members)
	return Restored{list, s.Learned, s.Reuse}, append(out, more...)
}
