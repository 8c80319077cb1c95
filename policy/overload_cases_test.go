package policy

import "testing"

// Cases that make an overload look like none, or the other way round, to one instance of many whose servers report nothing.
func TestWhatIsNoOverload(t *testing.T) {
	for name, c := range map[string]struct {
		set    func(f *sharedFleet) // before the start
		change func(f *sharedFleet) // after ten seconds in which all is well
	}{
		"a quiet sidecar becomes the busiest": {
			func(f *sharedFleet) { f.every = 2000 }, func(f *sharedFleet) { f.every = 25 },
		},
		"servers refuse probes and serve": {
			func(f *sharedFleet) { f.mute = true }, func(*sharedFleet) {},
		},
		"one in ten turns cold and slow": {
			func(*sharedFleet) {}, func(f *sharedFleet) { f.slow = 4 },
		},
		"the list grows from 40 to 2,000": {
			func(*sharedFleet) {}, func(f *sharedFleet) { f.list(2000) },
		},
		"the list shrinks from 400 to 13": {
			func(f *sharedFleet) { f.list(400) }, func(f *sharedFleet) { f.list(13) },
		},
		"a tenth of the servers is gone": {
			func(*sharedFleet) {}, func(f *sharedFleet) { f.gone = 4 },
		},
	} {
		for _, queues := range []bool{true, false} {
			f := newSharedFleet(t, 40, 300, queues)
			c.set(f)
			f.run(12e3)
			c.change(f)
			if part := f.run(30e3); part < 0.9 {
				t.Errorf("%s, probes queue %t: %.2f are admitted; %s", name, queues, part, &f.balancer.gauge)
			}
		}
	}
}

// Requests of a class that takes four times as long are nine in ten instead of one in ten: that is no overload.
func TestMoreOfALongClassIsNoOverload(t *testing.T) {
	f := newSharedFleet(t, 40, 300, false)
	f.long = 0.1
	f.run(12e3)
	f.long = 0.9
	if part := f.run(30e3); part < 0.9 {
		t.Errorf("%.2f are admitted; %s", part, &f.balancer.gauge)
	}
}
