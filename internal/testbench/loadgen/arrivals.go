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
	Index  uint64        // index of the request in the plan, from 0
	At     time.Duration // due time, counted from the start of the run
	Class  string
	Tenant string // "" = no tenant header
	Method string
	Path   string
	Size   int    // size of the body in bytes
	Key    string // key in the request's path; "" = none

	class int // index in the plan's classes
}

// id returns the request id of one attempt; attempts are numbered from 0.
func (r *Request) id(seed uint64, attempt int) string {
	return fmt.Sprintf("%016x", rand.NewPCG(seed, r.Index<<8|uint64(attempt)).Uint64())
}

// Requests returns the requests ordered by due time. The sequence is the same at each call and in every process. The plan
// must have passed Check. If a trace can no longer be read, the sequence ends with an error.
func (p *Plan) Requests() iter.Seq2[Request, error] {
	source := p.generated()
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

// generated merges the requests generated from the streams by due time.
func (p *Plan) generated() iter.Seq2[Request, error] {
	return func(yield func(Request, error) bool) {
		var open []*arrivals
		keys := p.keyPickers()
		for i := range p.Streams {
			if a := newArrivals(p, i, keys); a.next() {
				open = append(open, a)
			}
		}
		for len(open) > 0 {
			first := 0
			for i, a := range open {
				if a.request.At < open[first].request.At {
					first = i
				}
			}
			if !yield(open[first].request, nil) {
				return
			}
			if !open[first].next() {
				open = slices.Delete(open, first, first+1)
			}
		}
	}
}

// arrivals generates the requests of one stream.
type arrivals struct {
	plan         *Plan
	random       *rand.Rand
	curve        curve
	evenlySpaced bool
	classes      picker
	tenants      picker
	keys         []picker // one picker for each class, shared by the streams

	now      float64 // due time of the latest request, in seconds
	expected float64 // expected number of arrivals until now
	any      bool
	request  Request // the latest request
}

func newArrivals(p *Plan, stream int, keys []picker) *arrivals {
	s := &p.Streams[stream]
	a := &arrivals{
		plan: p, random: rand.New(rand.NewPCG(p.Seed, uint64(stream))), curve: s.Shape.curve(), keys: keys,
		evenlySpaced: s.Spacing == Even, classes: newPicker(s.Mix), tenants: newPicker(s.Tenants),
	}
	if len(s.Mix) == 0 {
		a.classes = newPicker(map[string]float64{p.Classes[0].Name: 1})
	}
	return a
}

// next generates the next request; false means that the stream has ended.
func (a *arrivals) next() bool {
	step := 1.0
	switch {
	case !a.evenlySpaced:
		step = a.random.ExpFloat64()
	case !a.any:
		step = 0 // the first request of an evenly spaced stream is due at its start
	}
	a.any = true
	a.expected += step
	t, ok := invert(a.curve, a.expected, a.now, a.plan.ForS)
	if !ok {
		return false
	}
	a.now = t
	name := a.classes.pick(a.random)
	i := a.plan.classIndex(name)
	c := &a.plan.Classes[i]
	a.request = Request{
		At: time.Duration(math.Round(t * 1e9)), Class: name, Tenant: a.tenants.pick(a.random), Method: c.Method,
		Size: c.BodyBytes, Key: a.keys[i].pick(a.random), class: i,
	}
	a.request.Path = c.pathOf(a.request.Key)
	return true
}

func (c *Class) pathOf(key string) string { return strings.ReplaceAll(c.Path, "{key}", key) }

// picker draws names by weight, by binary search in the cumulative weights.
type picker struct {
	names      []string // nil = the names are the numbers from 1
	cumulative []float64
}

func newPicker(weights map[string]float64) (p picker) {
	all := 0.0
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		all += weights[name]
		p.names, p.cumulative = append(p.names, name), append(p.cumulative, all)
	}
	return p
}

// keyPickers returns a picker of keys for each class: the weight of key n is n to the power of -Zipf.
func (p *Plan) keyPickers() (all []picker) {
	for _, c := range p.Classes {
		k := picker{cumulative: make([]float64, c.Keys.Count)}
		sum := 0.0
		for i := range k.cumulative {
			sum += math.Pow(float64(i+1), -c.Keys.Zipf)
			k.cumulative[i] = sum
		}
		all = append(all, k)
	}
	return all
}

// pick draws one name, or returns "" if there are none.
func (p picker) pick(random *rand.Rand) string {
	n := len(p.cumulative)
	if n == 0 {
		return ""
	}
	x := random.Float64() * p.cumulative[n-1]
	i := min(n-1, sort.Search(n, func(i int) bool { return p.cumulative[i] > x }))
	if p.names == nil {
		return strconv.Itoa(i + 1)
	}
	return p.names[i]
}
