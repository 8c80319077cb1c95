package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Fault is something that goes wrong. What is 0 in a plan is drawn from the day's seed; Troubles says what Part, Size
// and Every mean for each.
type Fault struct {
	Name  string  `json:"name"`
	At    float64 `json:"at_s"`
	For   float64 `json:"for_s"`
	Part  float64 `json:"part"`
	Size  float64 `json:"size"`
	Every float64 `json:"every_s"`
	Class string  `json:"class"` // of costly requests
	Zone  int     `json:"zone"`  // with silence: this zone, from 1, whose processes live on; 0 = a part of all servers
}

func (f Fault) String() string {
	s := fmt.Sprintf("%s at %.2f s for %.2f s", f.Name, f.At, f.For)
	if f.Part > 0 {
		s += fmt.Sprintf(", part %.2f", f.Part)
	}
	if f.Size > 0 {
		s += fmt.Sprintf(", size %.2f", f.Size)
	}
	if f.Every > 0 {
		s += fmt.Sprintf(", every %.2f s", f.Every)
	}
	if f.Class != "" {
		s += ", class " + f.Class
	}
	if f.Zone > 0 {
		s += fmt.Sprintf(", zone %d", f.Zone)
	}
	return s
}

// FaultKind is a kind of fault, and the ranges from which it is drawn; a range of zeros is not used.
type FaultKind struct {
	Name, About            string
	For, Part, Size, Every [2]float64
	play                   func(w *world, t Fault, rng *rand.Rand)
}

// FaultKinds lists the kinds, by name.
func FaultKinds() []FaultKind {
	kinds := make([]FaultKind, 0, len(faultKinds))
	for _, k := range faultKinds {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b FaultKind) int { return strings.Compare(a.Name, b.Name) })
	return kinds
}

var faultKinds = func() map[string]FaultKind {
	byName := map[string]FaultKind{}
	for _, k := range []FaultKind{
		{
			"silence", "a part of the servers says nothing at all, and is back with cold processes",
			[2]float64{8, 20},
			[2]float64{0.05, 0.2},
			[2]float64{},
			[2]float64{},
			silence,
		},
		{
			"failures", "a part of the servers quickly fails a part (size) of what it gets",
			[2]float64{5, 15},
			[2]float64{0.05, 0.2},
			[2]float64{0.4, 1},
			[2]float64{},
			failRequests,
		},
		{
			"neighbour", "another program takes a part (size) of the machine of a part of the servers, on and off (every)",
			[2]float64{10, 20},
			[2]float64{0.1, 0.5},
			[2]float64{0.3, 0.7},
			[2]float64{1, 5},
			neighbour,
		},
		{
			"costly", "a part of one class's requests needs many times (size) the work",
			[2]float64{8, 15},
			[2]float64{0.01, 0.03},
			[2]float64{5, 30},
			[2]float64{},
			costlyRequests,
		},
		{
			"deploy", "a part of the servers is replaced, a batch (size, of all) at a time, each after a drain (every)",
			[2]float64{12, 20},
			[2]float64{0.4, 1},
			[2]float64{0.05, 0.2},
			[2]float64{1.5, 4},
			deploy,
		},
		{
			"release-slow", "a deploy whose successors need a multiple (size) of the work; batches are a tenth of all",
			[2]float64{12, 20},
			[2]float64{0.2, 0.6},
			[2]float64{1.5, 3},
			[2]float64{1.5, 4},
			releaseSlow,
		},
		{
			"release-mute", "a deploy whose successors refuse probes; batches are a tenth of all",
			[2]float64{12, 20},
			[2]float64{0.2, 0.6},
			[2]float64{},
			[2]float64{1.5, 4},
			releaseMute,
		},
		{
			"cutoff", "nothing gets into a zone or out of it",
			[2]float64{4, 12},
			[2]float64{},
			[2]float64{},
			[2]float64{},
			cutoff,
		},
		{
			"restart", "a part of the sidecars is killed at once; each is back within a time (for)",
			[2]float64{0.5, 2},
			[2]float64{0.5, 0.5},
			[2]float64{},
			[2]float64{},
			restart,
		},
		{
			"pause", "a part of the servers does nothing for a while; connections still come up",
			[2]float64{0.5, 3},
			[2]float64{0.1, 0.4},
			[2]float64{},
			[2]float64{},
			pauseServers,
		},
		{
			"resets", "a part of what is sent ends in a reset",
			[2]float64{5, 15},
			[2]float64{0.01, 0.1},
			[2]float64{},
			[2]float64{},
			resets,
		},
		{
			"directory", "discovery is down, and lists all changes when it is back",
			[2]float64{8, 15},
			[2]float64{},
			[2]float64{},
			[2]float64{},
			discoveryDown,
		},
		{
			"surge", "a multiple (size) of the usual arrivals",
			[2]float64{3, 10},
			[2]float64{},
			[2]float64{1.5, 3},
			[2]float64{},
			surge,
		},
	} {
		byName[k.Name] = k
	}
	return byName
}()

func (f *Fault) check(c *Config) error {
	_, have := faultKinds[f.Name]
	switch {
	case !have:
		var names []string
		for _, k := range FaultKinds() {
			names = append(names, k.Name)
		}
		return fmt.Errorf("name: there is no %q; there are %s", f.Name, strings.Join(names, ", "))
	case min(f.At, f.For, f.Part, f.Size, f.Every) < 0 || f.Part > 1:
		return fmt.Errorf("%s: a figure is below 0, or part above 1: %v", f.Name, *f)
	case !f.sizeIsPart():
		return fmt.Errorf("%s: size: %v; it is a part, below 1", f.Name, f.Size)
	case f.Zone < 0 || f.Zone > c.Zones:
		return fmt.Errorf("%s: zone: %d; want 0 to %d", f.Name, f.Zone, c.Zones)
	case f.Class != "" && !slices.ContainsFunc(c.Classes, func(k Class) bool { return k.Name == f.Class }):
		return fmt.Errorf("%s: class: there is no %q", f.Name, f.Class)
	}
	return nil
}

// sizeIsPart reports whether the size is a part below 1 where the kind wants one.
func (f *Fault) sizeIsPart() bool {
	switch f.Name {
	case "neighbour", "deploy":
		return f.Size < 1
	case "failures":
		return f.Size <= 1
	}
	return true
}

// Random names up to three kinds, drawn from seed.
func Random(seed uint64) (names []string) {
	rng := rand.New(rand.NewPCG(seed, mix(seed, 77)))
	kinds := FaultKinds()
	for _, i := range rng.Perm(len(kinds))[:1+rng.IntN(3)] {
		names = append(names, kinds[i].Name)
	}
	return names
}

// drawn fills in what a plan has left open.
func (f Fault) drawn(c *Config, rng *rand.Rand) Fault {
	k := faultKinds[f.Name]
	timed := f.For > 0
	at := (0.2 + 0.2*rng.Float64()) * c.Seconds
	for _, field := range []struct {
		to *float64
		in [2]float64
	}{{&f.For, k.For}, {&f.Part, k.Part}, {&f.Size, k.Size}, {&f.Every, k.Every}} {
		if v := between(rng, field.in); *field.to == 0 { // drawn in any case: a figure that is given must not move the others
			*field.to = v
		}
	}
	if f.At == 0 {
		f.At = at
	}
	if !timed {
		f.For = min(f.For, 0.6*c.Seconds)
	}
	class := c.Classes[rng.IntN(len(c.Classes))].Name
	if f.Name == "costly" && f.Class == "" {
		f.Class = class
	}
	return f
}
