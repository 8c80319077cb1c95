package subset

import "testing"

func TestSize(t *testing.T) {
	for name, c := range map[string]struct{ servers, instances, want int }{
		"unknown number of instances":                      {60, 0, 60},
		"one instance":                                     {60, 1, 60},
		"few instances":                                    {60, 4, 60},
		"fewer instances than a server's connections":      {60, 80, 60},
		"more instances than connections, smallest subset": {60, 2000, 4},
		"more instances than connections":                  {200, 300, 85},
		"ten times as many instances as servers":           {200, 2000, 12},
		"25 times as many instances as servers":            {200, 5000, 5},
		"fewer servers than the smallest subset":           {3, 2000, 3},
		"no servers":                                       {0, 80, 0},
	} {
		if got := Size(c.servers, c.instances); got != c.want {
			t.Errorf("%s: %d servers, %d instances: %d, want %d", name, c.servers, c.instances, got, c.want)
		}
	}
}

func TestAllZonesInterval(t *testing.T) {
	if AllZonesInterval(true) <= AllZonesInterval(false) {
		t.Errorf("one request in %d probes all zones if reports are sparse, one in %d otherwise", AllZonesInterval(true), AllZonesInterval(false))
	}
}
