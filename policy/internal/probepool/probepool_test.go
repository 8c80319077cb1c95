package probepool

import "testing"

// less is a function for the better parameter: the lower number is better.
func less(x, y int) bool { return x < y }

func all(int) bool { return true }

func filled(servers ...int) *Pool[int] {
	p := &Pool[int]{}
	for i, s := range servers {
		p.Add(s, float64(i), 2)
	}
	return p
}

func TestAddReplacesAndDropsTheOldest(t *testing.T) {
	p := &Pool[int]{}
	for s := range Size {
		p.Add(s, float64(s), 1)
	}
	p.Add(0, 100, 1) // the same server again: no other is removed
	if p.Len() != Size {
		t.Fatalf("%d entries", p.Len())
	}
	p.Add(Size, 101, 1)
	if best, n := p.Best(all, less); best != 0 || n != Size {
		t.Errorf("best %d of %d: server 1 was the oldest", best, n)
	}
	if best, _ := p.Best(func(s int) bool { return s > 0 }, less); best != 2 {
		t.Errorf("best %d except server 0, want 2", best)
	}
}

func TestExpire(t *testing.T) {
	p := filled(1, 2, 3)
	p.Expire(11, 10)
	if best, n := p.Best(all, less); best != 2 || n != 2 {
		t.Errorf("best %d of %d, want server 2 of 2", best, n)
	}
}

func TestUsesRunOut(t *testing.T) {
	p := filled(1, 2)
	p.Use(1)
	if p.Len() != 2 {
		t.Fatal("removed after the first of two uses")
	}
	p.Use(1)
	p.Use(7) // not in the pool
	if best, n := p.Best(all, less); best != 2 || n != 1 {
		t.Errorf("best %d of %d, want server 2 alone", best, n)
	}
}

func TestTrimAlternatesOldestAndWorst(t *testing.T) {
	p := filled(5, 1, 9, 3, 2)
	p.Trim(0.5, less)
	if p.Len() != 5 {
		t.Fatal("an entry was removed before a whole removal was due")
	}
	p.Trim(0.5, less) // 5 is the oldest
	if _, n := p.Best(func(s int) bool { return s == 5 }, less); n != 0 {
		t.Error("the oldest is still there")
	}
	p.Trim(1, less) // 9 is the worst
	if _, n := p.Best(func(s int) bool { return s == 9 }, less); n != 0 {
		t.Error("the worst is still there")
	}
	p.Trim(10, less)
	if p.Len() != 2 {
		t.Errorf("%d entries are left, want 2", p.Len())
	}
}

func TestBestOfEmptyPool(t *testing.T) {
	if best, n := (&Pool[int]{}).Best(all, less); best != 0 || n != 0 {
		t.Errorf("%d, %d", best, n)
	}
}
