package loadgen

import (
	"fmt"
	"iter"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Request is one request of a plan.
type Request struct {
	Index  uint64        // in the plan, from 0
	At     time.Duration // when it is due, from the start of the run
	Class  string
	Tenant string // "" = none is named
	Method string
	Path   string
	Size   int    // bytes of the body
	Key    string // what it asks for; "" = the path alone says so

	class int // its place among the plan's classes
}

// id is the request id of one of its tries.
func (r *Request) id(seed uint64, try int) string {
	return fmt.Sprintf("%016x", rand.NewPCG(seed, r.Index<<8|uint64(try)).Uint64())
}

// Requests returns the requests in the order in which they are due: the same ones at each call and for each reader of
// the plan. The plan must have passed Check. A trace that can no longer be read ends the sequence with an error.
func (p *Plan) Requests() iter.Seq2[Request, error] {
	source := p.drawn()
	if p.Trace != nil {
		source = p.Trace.requests(p)
	}
	return func(yield func(Request, error) bool) {
		index := uint64(0)
		for q, err := range source {
			q.Index = index
			if index++; !yield(q, err) || err != nil {
				return
			}
		}
	}
}

// drawn merges the streams.
func (p *Plan) drawn() iter.Seq2[Request, error] {
	return func(yield func(Request, error) bool) {
		var open []*arrivals
		keys := p.keys()
		for i := range p.Streams {
			if a := newArrivals(p, i, keys); a.next() {
				open = append(open, a)
			}
		}
		for len(open) > 0 {
			first := 0
			for i, a := range open {
				if a.q.At < open[first].q.At {
					first = i
				}
			}
			if !yield(open[first].q, nil) {
				return
			}
			if !open[first].next() {
				open = slices.Delete(open, first, first+1)
			}
		}
	}
}

// arrivals draws the requests of one stream.
type arrivals struct {
	plan    *Plan
	draw    *rand.Rand
	curve   curve
	even    bool
	classes picker
	tenants picker
	keys    []picker // by class, shared by the streams

	now  float64 // seconds
	seen float64 // arrivals expected until now
	any  bool
	q    Request // the latest
}

func newArrivals(p *Plan, stream int, keys []picker) *arrivals {
	s := &p.Streams[stream]
	a := &arrivals{
		plan: p, draw: rand.New(rand.NewPCG(p.Seed, uint64(stream))), curve: s.Shape.curve(), keys: keys,
		even: s.Spacing == Even, classes: weighted(s.Mix), tenants: weighted(s.Tenants),
	}
	if len(s.Mix) == 0 {
		a.classes = weighted(map[string]float64{p.Classes[0].Name: 1})
	}
	return a
}

// next draws the next request, if there is one.
func (a *arrivals) next() bool {
	step := 1.0
	switch {
	case !a.even:
		step = a.draw.ExpFloat64()
	case !a.any:
		step = 0 // an even stream starts with a request
	}
	a.any = true
	a.seen += step
	t, ok := invert(a.curve, a.seen, a.now, a.plan.ForS)
	if !ok {
		return false
	}
	a.now = t
	name := a.classes.pick(a.draw)
	i := a.plan.classIndex(name)
	c := &a.plan.Classes[i]
	a.q = Request{
		At: time.Duration(math.Round(t * 1e9)), Class: name, Tenant: a.tenants.pick(a.draw), Method: c.Method,
		Size: c.BodyBytes, Key: a.keys[i].pick(a.draw), class: i,
	}
	a.q.Path = c.pathOf(a.q.Key)
	return true
}

func (c *Class) pathOf(key string) string { return strings.ReplaceAll(c.Path, "{key}", key) }

// picker draws names by weight, by a search in the running sum of the weights.
type picker struct {
	names []string // nil = numbers from 1
	upTo  []float64
}

func weighted(weights map[string]float64) (p picker) {
	all := 0.0
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		all += weights[name]
		p.names, p.upTo = append(p.names, name), append(p.upTo, all)
	}
	return p
}

// keys has a picker for each class: the n-th most wanted key has a weight of n to the power of -Zipf.
func (p *Plan) keys() (all []picker) {
	for _, c := range p.Classes {
		k := picker{upTo: make([]float64, c.Keys.Count)}
		sum := 0.0
		for i := range k.upTo {
			sum += math.Pow(float64(i+1), -c.Keys.Zipf)
			k.upTo[i] = sum
		}
		all = append(all, k)
	}
	return all
}

// pick draws one name, or "" where there is none.
func (p picker) pick(draw *rand.Rand) string {
	n := len(p.upTo)
	if n == 0 {
		return ""
	}
	x := draw.Float64() * p.upTo[n-1]
	i := min(n-1, sort.Search(n, func(i int) bool { return p.upTo[i] > x }))
	if p.names == nil {
		return strconv.Itoa(i + 1)
	}
	return p.names[i]
}
