package staleness

import (
	"testing"
	"time"
)

// What an answer says of the process, by the connection it came on, in ms: the process was known until 1000.
func TestLiveness(t *testing.T) {
	at := func(ms int) (t time.Time) {
		if ms > 0 {
			t = time.Unix(1e9, int64(ms)*1e6)
		}
		return t
	}
	type answer struct {
		sentAt, connectedAt int
		isProbe             bool
	}
	for _, c := range []struct {
		name              string
		answers           []answer
		aliveAt, probedAt int // 0 = never
	}{
		{"a connection from before", []answer{{5000, 999, true}}, 5000, 5000},
		{"a new one: who is there now?", []answer{{5000, 4999, true}}, 0, 0},
		{"a request says that it is there, not that it takes more", []answer{{5000, 999, false}}, 5000, 0},
		{"a new one, while the old one was still there", []answer{{5000, 999, false}, {5300, 4900, true}}, 5300, 5300},
		{"and after that", []answer{{5000, 999, false}, {5300, 5001, true}}, 5000, 0},
		{"from new to newer", []answer{{3000, 999, true}, {4000, 2500, true}, {5000, 3500, true}}, 5000, 5000},
		{"while the list was fresh", []answer{{900, 899, true}}, 900, 900},
		{"on no connection", []answer{{900, 0, true}}, 0, 0},
		{"a slow request, after a probe", []answer{{5000, 999, true}, {4000, 999, false}}, 5000, 5000},
	} {
		liveness := Liveness{}
		for _, a := range c.answers {
			liveness.Observe(at(a.sentAt), at(a.connectedAt), at(1000), a.isProbe)
		}
		if liveness != (Liveness{at(c.aliveAt), at(c.probedAt)}) {
			t.Errorf("%s: %+v", c.name, liveness)
		}
		startBy := max(1000, c.probedAt) + 550 // of a first byte, with a grace of 750
		if got := (Validity{ListUntil: at(1000)}).StartBy(liveness, 750*ms); !got.Equal(at(startBy)) {
			t.Errorf("%s: a first byte until %s, want %d", c.name, got, startBy)
		}
	}
}
