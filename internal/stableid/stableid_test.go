package stableid

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestApply(t *testing.T) {
	var table Table[string]
	at := time.Unix(1000, 0)
	for _, tc := range []struct {
		after        time.Duration
		names, rules []string
		want         Mapping
	}{
		{0, []string{"a", "b"}, []string{"1", "1"}, Mapping{[]int{0, 1}, []int{-1, -1}}},
		{0, []string{"b", "a"}, []string{"1", "1"}, Mapping{[]int{1, 0}, []int{0, 1}}},        // another order
		{1, []string{"b", "a"}, []string{"2", "1"}, Mapping{[]int{2, 0}, []int{0, 1, 1}}},     // other rules, same predecessor
		{2, []string{"b", "c"}, []string{"1", "1"}, Mapping{[]int{1, 3}, []int{0, 1, 2, -1}}}, // one restored, one dropped, one added
		{5, []string{"d", "c"}, []string{"1", "1"}, Mapping{[]int{4, 3}, []int{0, 1, 2, 3, -1}}},
		{12, []string{"a", "c"}, []string{"2", "1"}, Mapping{[]int{0, 3}, []int{0, 1, 2, 3, 4}}}, // 0 is free again; a had it last
		{30, []string{"e", "c"}, []string{"1", "1"}, Mapping{[]int{1, 3}, []int{0, -1, 2, 3, 4}}},
	} {
		got := table.Apply(at.Add(tc.after*time.Second), 10*time.Second, tc.names, tc.rules)
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s %v %v: %s", tc.after, tc.names, tc.rules, diff)
		}
	}
}

// A number keeps its name and rules until its reservation ends, whatever changes, and the table does not grow without bound.
func TestNumbersAreNotReusedEarly(t *testing.T) {
	const keepFor = 10 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	var table Table[int]
	type use struct {
		name  string
		rules int
		until time.Time
	}
	reserved := map[int]use{}
	for range 2000 {
		now = now.Add(time.Duration(rng.IntN(4000)) * time.Millisecond)
		var names []string
		var rules []int
		for _, i := range rng.Perm(6)[:1+rng.IntN(5)] {
			names = append(names, string(rune('a'+i)))
			rules = append(rules, rng.IntN(3))
		}
		mapping := table.Apply(now, keepFor, names, rules)
		for n, u := range reserved {
			if name, r, _ := table.Rules(n); now.Before(u.until) && (name != u.name || r != u.rules) {
				t.Fatalf("%d became %s %d while it was reserved for %v", n, name, r, u)
			}
		}
		for i, n := range mapping.ByPosition {
			if name, r, live := table.Rules(n); !live || name != names[i] || r != rules[i] {
				t.Fatalf("%d is %s %d, live %t, want %s %d", n, name, r, live, names[i], rules[i])
			}
			reserved[n] = use{names[i], rules[i], now.Add(keepFor)}
		}
	}
	if table.Len() > 60 {
		t.Errorf("%d numbers are assigned or reserved", table.Len())
	}
}
