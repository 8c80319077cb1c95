package policy

import "testing"

// Changes of the fleet or its traffic that one of many instances must not take for an overload, with servers that report no
// load.
func TestNoFalseOverload(t *testing.T) {
	for name, c := range map[string]struct {
		set    func(f *sharedFleet) // before the start
		change func(f *sharedFleet) // after ten seconds of normal operation
	}{
		"an instance with few requests becomes the busiest": {
			func(f *sharedFleet) { f.interval = 2000 }, func(f *sharedFleet) { f.interval = 25 },
		},
		"servers decline probes but serve requests": {
			func(f *sharedFleet) { f.probesDeclined = true }, func(*sharedFleet) {},
		},
		"one in ten servers becomes slow": {
			func(*sharedFleet) {}, func(f *sharedFleet) { f.lastSlow = 4 },
		},
		"the list grows from 40 to 2,000": {
			func(*sharedFleet) {}, func(f *sharedFleet) { f.list(2000) },
		},
		"the list shrinks from 400 to 13": {
			func(f *sharedFleet) { f.list(400) }, func(f *sharedFleet) { f.list(13) },
		},
		"a tenth of the servers is gone": {
			func(*sharedFleet) {}, func(f *sharedFleet) { f.lastGone = 4 },
		},
	} {
		for _, probesQueue := range []bool{true, false} {
			f := newSharedFleet(t, 40, 300, probesQueue)
			c.set(f)
			f.run(12e3)
			c.change(f)
			if fraction := f.run(30e3); fraction < 0.9 {
				t.Errorf("%s, probes queue %t: %.2f are admitted; %s", name, probesQueue, fraction, &f.balancer.gauge)
			}
		}
	}
}

// A change from 10 % to 90 % of requests of a class that takes four times as long is not an overload.
func TestMoreOfALongClassIsNoOverload(t *testing.T) {
	f := newSharedFleet(t, 40, 300, false)
	f.longFraction = 0.1
	f.run(12e3)
	f.longFraction = 0.9
	if fraction := f.run(30e3); fraction < 0.9 {
		t.Errorf("%.2f are admitted; %s", fraction, &f.balancer.gauge)
	}
}
