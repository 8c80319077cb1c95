package draw

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestHighestLeavesOutLowerPreferences(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	preferences := map[int]int{1: 0, 2: 1, 3: 2, 4: 1, 5: 2}
	drawn := map[int]int{}
	for range 1000 {
		found := Highest(rng, []int{1, 2, 3, 4, 5}, 1, func(item int) int { return preferences[item] })
		if len(found) != 1 {
			t.Fatalf("%v", found)
		}
		drawn[found[0]]++
	}
	if drawn[3]+drawn[5] != 1000 || drawn[3] < 400 || drawn[5] < 400 {
		t.Errorf("drawn %v, want 3 and 5 about as often", drawn)
	}
	if found := Highest(rng, []int{1, 2}, 3, func(int) int { return 0 }); len(found) != 0 {
		t.Errorf("%v are drawn, although all have preference 0", found)
	}
}

func TestOneWithoutSuitableItem(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	if one := One(rng, []int{1, 2}, func(int) bool { return false }); one != 0 {
		t.Errorf("%d, want the zero value", one)
	}
}

func TestWithoutReplacement(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	for n, want := range map[int]int{-1: 0, 0: 0, 2: 2, 4: 4, 9: 4} {
		got := WithoutReplacement(rng, []int{1, 2, 3, 4}, n)
		slices.Sort(got)
		if len(slices.Compact(got)) != want {
			t.Errorf("%d of four: %v", n, got)
		}
	}
}
