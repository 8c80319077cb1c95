package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Fault is a fault that is injected into a run. Values that are 0 are drawn from the run's seed; FaultKind.About says what Part,
// Size and Every mean for each kind.
type Fault struct {
	Name  string  `json:"name"`
	At    float64 `json:"at_s"`  // start, in seconds after the first client request
	For   float64 `json:"for_s"` // duration in seconds
	Part  float64 `json:"part"`
	Size  float64 `json:"size"`
	Every float64 `json:"every_s"`
	Class string  `json:"class"` // only for costly requests: the class whose requests are costly
	Zone  int     `json:"zone"`  // only for silence: number of the unreachable zone, from 1; 0 = a part of the servers
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

// FaultKind is a kind of fault, with the ranges from which values are drawn; a range of zeros is unused.
type FaultKind struct {
	Name, About            string
	For, Part, Size, Every [2]float64
	inject                 func(w *world, f Fault, rng *rand.Rand)
}

// FaultKinds returns all kinds, sorted by name.
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
			"silence", "a part of the servers is unreachable, unknown to discovery, and returns with cold processes",
			[2]float64{8, 20},
			[2]float64{0.05, 0.2},
			[2]float64{},
			[2]float64{},
			silence,
		},
		{
			"failures", "a part of the servers quickly fails a part (size) of its requests",
			[2]float64{5, 15},
			[2]float64{0.05, 0.2},
			[2]float64{0.4, 1},
			[2]float64{},
			failRequests,
		},
		{
			"neighbour", "another program takes a part (size) of the capacity of a part of the servers, on and off (every)",
			[2]float64{10, 20},
			[2]float64{0.1, 0.5},
			[2]float64{0.3, 0.7},
			[2]float64{1, 5},
			neighbour,
		},
		{
			"costly", "a part of one class's requests needs a multiple (size) of the work",
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
			"release-mute", "a deploy whose successors reject probes; batches are a tenth of all",
			[2]float64{12, 20},
			[2]float64{0.2, 0.6},
			[2]float64{},
			[2]float64{1.5, 4},
			releaseMute,
		},
		{
			"cutoff", "a network partition isolates a zone",
			[2]float64{4, 12},
			[2]float64{},
			[2]float64{},
			[2]float64{},
			cutoff,
		},
		{
			"restart", "a part of the sidecars is killed at once; each restarts within a time (for)",
			[2]float64{0.5, 2},
			[2]float64{0.5, 0.5},
			[2]float64{},
			[2]float64{},
			restart,
		},
		{
			"pause", "a part of the servers stops processing for a while, but still accepts connections",
			[2]float64{0.5, 3},
			[2]float64{0.1, 0.4},
			[2]float64{},
			[2]float64{},
			pauseServers,
		},
		{
			"resets", "a part of the requests and probes ends in a connection reset",
			[2]float64{5, 15},
			[2]float64{0.01, 0.1},
			[2]float64{},
			[2]float64{},
			resets,
		},
		{
			"directory", "discovery is down, and sends the complete list when it is back",
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
	_, known := faultKinds[f.Name]
	switch {
	case !known:
		var names []string
		for _, k := range FaultKinds() {
			names = append(names, k.Name)
		}
		return fmt.Errorf("name: unknown fault %q; want one of %s", f.Name, strings.Join(names, ", "))
	case min(f.At, f.For, f.Part, f.Size, f.Every) < 0 || f.Part > 1:
		return fmt.Errorf("%s: a value is below 0, or part above 1: %v", f.Name, *f)
	case !f.sizeValid():
		return fmt.Errorf("%s: size: %v; want a fraction below 1", f.Name, f.Size)
	case f.Zone < 0 || f.Zone > c.Zones:
		return fmt.Errorf("%s: zone: %d; want 0 to %d", f.Name, f.Zone, c.Zones)
	case f.Class != "" && !slices.ContainsFunc(c.Classes, func(k Class) bool { return k.Name == f.Class }):
		return fmt.Errorf("%s: class: unknown class %q", f.Name, f.Class)
	}
	return nil
}

// sizeValid reports whether Size is in range for the kinds for which it is a fraction: below 1, or up to 1 for failures.
func (f *Fault) sizeValid() bool {
	switch f.Name {
	case "neighbour", "deploy":
		return f.Size < 1
	case "failures":
		return f.Size <= 1
	}
	return true
}

// Random returns the names of one to three kinds, drawn from seed.
func Random(seed uint64) (names []string) {
	rng := rand.New(rand.NewPCG(seed, mix(seed, 77)))
	kinds := FaultKinds()
	for _, i := range rng.Perm(len(kinds))[:1+rng.IntN(3)] {
		names = append(names, kinds[i].Name)
	}
	return names
}

// drawn returns f with values for the fields that are 0, drawn at random.
func (f Fault) drawn(c *Config, rng *rand.Rand) Fault {
	k := faultKinds[f.Name]
	hasDuration := f.For > 0
	at := (0.2 + 0.2*rng.Float64()) * c.Seconds
	for _, field := range []struct {
		value  *float64
		bounds [2]float64
	}{{&f.For, k.For}, {&f.Part, k.Part}, {&f.Size, k.Size}, {&f.Every, k.Every}} {
		if v := uniform(rng, field.bounds); *field.value == 0 { // always drawn, so that a given value does not change the other draws
			*field.value = v
		}
	}
	if f.At == 0 {
		f.At = at
	}
	if !hasDuration {
		f.For = min(f.For, 0.6*c.Seconds)
	}
	class := c.Classes[rng.IntN(len(c.Classes))].Name
	if f.Name == "costly" && f.Class == "" {
		f.Class = class
	}
	return f
}
