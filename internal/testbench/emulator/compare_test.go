package emulator

import (
	"context"
	"math"
	"slices"
	"testing"
)

func TestCompareIsPaired(t *testing.T) {
	a := configWith("least", Fault{Name: "neighbour"})
	a.Seconds = 6
	c, err := Compare(context.Background(), a, a, 3, 2)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range c.Metrics {
		if d.Median != 0 || d.More+d.Less != 0 || d.Discernible {
			t.Errorf("the same setting on both sides differs: %+v", d)
		}
	}
	drawn := map[string][]float64{} // random draws that must not depend on the policy
	for _, policy := range []string{"module", "random"} {
		cfg := configWith(policy, Fault{Name: "deploy", For: 3, Part: 0.3, Size: 0.1, Every: 1},
			Fault{Name: "silence", For: 4})
		w, err := newWorld(cfg, Options{})
		if err == nil {
			err = w.play(context.Background())
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range w.machines {
			drawn[policy] = append(drawn[policy], m.speed, m.startedAt, m.startCapacity, m.warmUpTime)
		}
		drawn[policy] = append(drawn[policy], w.judge.workRequested)
	}
	if !slices.Equal(drawn["module"], drawn["random"]) {
		t.Errorf("two policies have different draws:\n%v\n%v", drawn["module"], drawn["random"])
	}
	if d := newDifference("x", []float64{1, 2, 3, 4, 5, 6}, []float64{2, 4, 4, 6, 6, 9}); d.Median != 1.5 || d.A != 3.5 ||
		d.SpreadA != 2.5 || d.More != 6 || !d.Discernible || math.Abs(pairedSignTest(1, 5)-14.0/64) > 1e-9 {
		t.Errorf("%+v; sign test of 1 to 5: %v", d, pairedSignTest(1, 5))
	}
}
