// Package draw makes random choices from a slice.
package draw

import "math/rand/v2"

// Highest returns up to count random items among those of the highest preference. Items of preference 0 are never chosen.
func Highest[S any, P ~int](rng *rand.Rand, items []S, count int, preferenceOf func(S) P) (found []S) {
	highest := P(1)
	seen := 0
	for _, item := range items {
		preference := preferenceOf(item)
		if preference < highest {
			continue
		}
		if preference > highest {
			highest = preference
			seen = 0
			found = found[:0]
		}
		seen++
		place := rng.IntN(seen) // reservoir sampling: each item seen is kept with the same probability
		switch {
		case len(found) < count:
			found = append(found, item)
		case place < count:
			found[place] = item
		}
	}
	return found
}

// One returns a random suitable item, or the zero S if there is none.
func One[S any](rng *rand.Rand, items []S, isSuitable func(S) bool) (one S) {
	found := Highest(rng, items, 1, func(item S) int {
		if isSuitable(item) {
			return 1
		}
		return 0
	})
	if len(found) > 0 {
		one = found[0]
	}
	return one
}

// WithoutReplacement returns up to n random items, each at most once. It reorders items in place.
func WithoutReplacement[S any](rng *rand.Rand, items []S, n int) []S {
	n = min(n, len(items))
	for i := range n {
		j := i + rng.IntN(len(items)-i)
		items[i], items[j] = items[j], items[i]
	}
	return items[:max(n, 0)]
}
