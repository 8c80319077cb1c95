package staleness

import (
	"testing"
	"time"
)

// What a response proves about the process depends on when its connection was established. Times are in ms; until
// 1000 the list can be relied on to name the process.
func TestLiveness(t *testing.T) {
	at := func(ms int) (t time.Time) {
		if ms > 0 {
			t = time.Unix(1e9, int64(ms)*1e6)
		}
		return t
	}
	type response struct {
		sentAt, connectedAt int
		isProbe             bool
	}
	for _, c := range []struct {
		name              string
		responses         []response
		aliveAt, probedAt int // 0 = never
	}{
		{"older connection", []response{{5000, 999, true}}, 5000, 5000},
		{"new connection: perhaps to another process", []response{{5000, 4999, true}}, 0, 0},
		{"a request proves that it runs, not that it accepts more", []response{{5000, 999, false}}, 5000, 0},
		{"new connection, established before the last response on the older one", []response{{5000, 999, false}, {5300, 4900, true}}, 5300, 5300},
		{"new connection, established after that", []response{{5000, 999, false}, {5300, 5001, true}}, 5000, 0},
		{"each connection established before a response on the one before", []response{{3000, 999, true}, {4000, 2500, true}, {5000, 3500, true}}, 5000, 5000},
		{"while the list is fresh", []response{{900, 899, true}}, 900, 900},
		{"no connection", []response{{900, 0, true}}, 0, 0},
		{"slow request after a probe", []response{{5000, 999, true}, {4000, 999, false}}, 5000, 5000},
	} {
		liveness := Liveness{}
		for _, r := range c.responses {
			liveness.Observe(at(r.sentAt), at(r.connectedAt), at(1000), r.isProbe)
		}
		if liveness != (Liveness{at(c.aliveAt), at(c.probedAt)}) {
			t.Errorf("%s: %+v", c.name, liveness)
		}
		startBy := max(1000, c.probedAt) + 550 // latest time of a first byte if the drain grace is 750
		if got := (Validity{ListUntil: at(1000)}).StartBy(liveness, 750*ms); !got.Equal(at(startBy)) {
			t.Errorf("%s: first byte until %s, want %d", c.name, got, startBy)
		}
	}
}
