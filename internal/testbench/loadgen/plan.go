package loadgen

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Plan is what to ask for. Read reads one from a file; Check must have passed before it is used. It is not changed by
// use and safe for concurrent use then.
type Plan struct {
	Seed        uint64       `json:"seed"`
	ForS        float64      `json:"for_s,omitempty"` // seconds in which requests are due; with a trace, 0 = all of it
	Classes     []Class      `json:"classes"`
	Tenants     []string     `json:"tenants,omitempty"` // all that may occur; none = any
	Streams     []Stream     `json:"streams,omitempty"`
	Trace       *TraceSource `json:"trace,omitempty"`       // instead of streams
	Connections int          `json:"connections,omitempty"` // open at once, of all processes together; 0 = 10000
	Lateness    Lateness     `json:"lateness,omitzero"`
}

// Class is a class of requests, and what its clients do.
type Class struct {
	Name               string  `json:"name"`
	Method             string  `json:"method,omitempty"` // "" = GET
	Path               string  `json:"path,omitempty"`   // {key} stands for the key; "" = /NAME/{key}
	BodyBytes          int     `json:"body_bytes,omitempty"`
	LatencyObjectiveMs float64 `json:"aim_ms"`                // an answer within it counts as served in time
	DeadlineMs         float64 `json:"deadline_ms"`           // for all tries together, from when it was due
	TimeoutMs          float64 `json:"patience_ms,omitempty"` // for which it waits for one try; 0 = the deadline alone ends it
	Keys               Keys    `json:"keys,omitzero"`
	Retry              Retry   `json:"retry,omitzero"`
}

// Keys are what requests name: the numbers from 1 to Count, the n-th in proportion to n to the power of -Zipf.
type Keys struct {
	Count int     `json:"count,omitempty"` // 0 = 1
	Zipf  float64 `json:"zipf,omitempty"`  // 0 = all alike
}

// Retry says when a client sends a request again.
type Retry struct {
	MaxRetries      int      `json:"most,omitempty"`      // tries after the first
	WaitMs          float64  `json:"wait_ms,omitempty"`   // before each
	MaxRetryAfterMs float64  `json:"advice_ms,omitempty"` // a Retry-After up to this is followed where it is longer; 0 = none
	On              []string `json:"on,omitempty"`        // ends; none = refused, unreachable, with GET failed and lost, too
}

// Stream is a flow of requests.
type Stream struct {
	Name    string             `json:"name,omitempty"` // for the reader
	Shape   Shape              `json:"shape"`
	Spacing string             `json:"spacing,omitempty"` // Poisson or Even
	Mix     map[string]float64 `json:"mix,omitempty"`     // classes and their weights; none = the plan's only class
	Tenants map[string]float64 `json:"tenants,omitempty"` // and their weights; none = no tenant is named
}

// The spacings of a stream.
const (
	Poisson = "poisson" // independent arrivals; "" means it
	Even    = "even"    // as regular as the shape allows
)

// Lateness is how late the generator may be for a run to count.
type Lateness struct {
	P99Ms float64 `json:"p99_ms,omitempty"`  // at the 99th percentile of first tries; 0 = 1
	MaxMs float64 `json:"most_ms,omitempty"` // of any first try, and of the generator's own clock; 0 = 50
}

// What a plan may hold at most.
const (
	maxKeys     = 1_000_000
	maxBody     = 1 << 20 // bytes
	maxRetries  = 100
	maxDeadline = 10 * time.Minute
	maxClasses  = 64
)

// Read reads and checks a plan. Errors name the file, the line or key, and what to do. The name of a trace is taken
// from the folder of the plan.
func Read(name string) (*Plan, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := decode(raw, p); err != nil {
		return nil, fmt.Errorf("%s:%w", name, err)
	}
	if p.Trace != nil && p.Trace.File != "" && !filepath.IsAbs(p.Trace.File) {
		p.Trace.File = filepath.Join(filepath.Dir(name), p.Trace.File)
	}
	if err := p.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return p, nil
}

var unknownKey = regexp.MustCompile(`unknown field ("[^"]*")`)

// decode reads strict JSON. Errors begin with the line.
func decode(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	line := func(offset int64) int { return 1 + bytes.Count(raw[:min(int(offset), len(raw))], []byte("\n")) }
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case err == nil:
		if _, err := d.Token(); err != io.EOF {
			return fmt.Errorf("%d: something follows the plan; leave it out", line(d.InputOffset()))
		}
		return nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Errorf("%d: the file ends in the middle of the plan; write it whole", line(int64(len(raw))))
	case errors.As(err, &syntax):
		return fmt.Errorf("%d: %w; mend the JSON", line(syntax.Offset), err)
	case errors.As(err, &kind):
		return fmt.Errorf("%d: %s: a %s; want %s", line(kind.Offset), kind.Field, kind.Value,
			wanted(kind.Type.Kind().String()))
	}
	if m := unknownKey.FindStringSubmatch(err.Error()); m != nil {
		return fmt.Errorf("%d: %s: there is no such key; mend its name or leave it out",
			line(int64(bytes.Index(raw, []byte(m[1])))), strings.Trim(m[1], `"`))
	}
	return fmt.Errorf("1: %w", err)
}

// wanted describes what a key takes by the kind of its Go type.
func wanted(kind string) string {
	switch {
	case strings.HasPrefix(kind, "float"):
		return "a number"
	case strings.HasPrefix(kind, "int"):
		return "a whole number"
	case strings.HasPrefix(kind, "uint"):
		return "a whole number of 0 or more"
	case kind == "slice":
		return "a list"
	case kind == "string":
		return "a text"
	}
	return "an object"
}

// Check fills in what was left out and returns what is wrong with the plan. A trace is read to its end. Errors name the
// key and what to do.
func (p *Plan) Check() error {
	if err := p.checkOwnKeys(); err != nil {
		return err
	}
	p.fill()
	if err := p.checkClasses(); err != nil {
		return err
	}
	for i, t := range p.Tenants {
		if !isToken(t) {
			return fmt.Errorf("tenants[%d]: %q; want 1 to 200 printable characters without blanks", i, t)
		}
	}
	if p.Trace != nil {
		return p.Trace.check(p)
	}
	if p.ForS == 0 {
		return errors.New("for_s: 0; say for how many seconds requests are due")
	}
	for i := range p.Streams {
		if err := p.Streams[i].check(p, fmt.Sprintf("streams[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

// checkOwnKeys checks the plan's own keys, before the defaults are filled in.
func (p *Plan) checkOwnKeys() error {
	switch {
	case len(p.Classes) == 0:
		return errors.New("classes: none; name one or more")
	case len(p.Classes) > maxClasses:
		return fmt.Errorf("classes: %d; want at most %d", len(p.Classes), maxClasses)
	case p.Connections < 0:
		return fmt.Errorf("connections: %d; want 1 or more, or 0 for the default", p.Connections)
	case p.Lateness.P99Ms < 0 || p.Lateness.MaxMs < 0:
		return errors.New("lateness: below 0; want p99_ms and most_ms of more than 0, or 0 for the defaults")
	case !(p.ForS >= 0 && p.ForS <= maxOffset.Seconds()):
		return fmt.Errorf("for_s: %v; want from 0 to %v seconds", p.ForS, maxOffset.Seconds())
	case (p.Trace == nil) == (len(p.Streams) == 0):
		return errors.New("streams, trace: want one of the two")
	}
	return nil
}

func (p *Plan) checkClasses() error {
	for i := range p.Classes {
		if err := p.Classes[i].check(fmt.Sprintf("classes[%d]", i)); err != nil {
			return err
		}
		if p.classIndex(p.Classes[i].Name) != i {
			return fmt.Errorf("classes[%d].name: %q is there twice; rename one", i, p.Classes[i].Name)
		}
	}
	return nil
}

func (p *Plan) fill() {
	setDefault(&p.Connections, 10000)
	setDefault(&p.Lateness.P99Ms, 1)
	setDefault(&p.Lateness.MaxMs, 50)
	for i := range p.Classes {
		c := &p.Classes[i]
		setDefault(&c.Method, "GET")
		setDefault(&c.Path, "/"+c.Name+"/{key}")
		setDefault(&c.Keys.Count, 1)
		if len(c.Retry.On) == 0 {
			c.Retry.On = []string{"refused", "unreachable"}
			if c.Method == "GET" {
				c.Retry.On = append(c.Retry.On, "failed", "lost")
			}
		}
	}
	for i := range p.Streams {
		setDefault(&p.Streams[i].Spacing, Poisson)
	}
}

// setDefault gives a value to what was left out.
func setDefault[T comparable](what *T, value T) {
	var left T
	if *what == left {
		*what = value
	}
}

func (p *Plan) classIndex(name string) int {
	return slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == name })
}

// isToken reports whether a name can stand in a header and in a path.
func isToken(s string) bool {
	return s != "" && len(s) <= 200 && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

var methods = []string{"GET", "POST", "PUT", "PATCH", "DELETE"}

func (c *Class) check(key string) error {
	if err := c.checkTimes(key); err != nil {
		return err
	}
	switch {
	case !isToken(c.Name) || strings.ContainsAny(c.Name, "/,\""):
		return fmt.Errorf("%s.name: %q; want 1 to 200 printable characters without blanks, commas, slashes and quotes",
			key, c.Name)
	case c.LatencyObjectiveMs > c.DeadlineMs:
		return fmt.Errorf("%s.aim_ms: %v is beyond deadline_ms, which is %v; lower it", key, c.LatencyObjectiveMs, c.DeadlineMs)
	case c.Keys.Count < 1 || c.Keys.Count > maxKeys:
		return fmt.Errorf("%s.keys.count: %d; want from 1 to %d", key, c.Keys.Count, maxKeys)
	case !(c.Keys.Zipf >= 0 && c.Keys.Zipf <= 10):
		return fmt.Errorf("%s.keys.zipf: %v; want from 0 to 10", key, c.Keys.Zipf)
	case c.Retry.MaxRetries < 0 || c.Retry.MaxRetries > maxRetries:
		return fmt.Errorf("%s.retry.most: %d; want from 0 to %d", key, c.Retry.MaxRetries, maxRetries)
	}
	for i, name := range c.Retry.On {
		if end, ok := endNamed(name); !ok || end == Served {
			return fmt.Errorf("%s.retry.on[%d]: %q; want one of %s", key, i, name, strings.Join(endNames[1:], ", "))
		}
	}
	return checkMessage(key, c.Method, c.Path, c.BodyBytes)
}

func (c *Class) checkTimes(key string) error {
	for _, check := range []struct {
		key      string
		value    float64
		minValue float64
	}{
		{"aim_ms", c.LatencyObjectiveMs, 1},
		{"deadline_ms", c.DeadlineMs, 1},
		{"patience_ms", c.TimeoutMs, 0},
		{"retry.wait_ms", c.Retry.WaitMs, 0},
		{"retry.advice_ms", c.Retry.MaxRetryAfterMs, 0},
	} {
		if maxValue := maxDeadline.Seconds() * 1000; !(check.value >= check.minValue && check.value <= maxValue) {
			return fmt.Errorf("%s.%s: %v; want from %v to %v ms", key, check.key, check.value, check.minValue, maxValue)
		}
	}
	return nil
}

// checkMessage says what is wrong with a message of a class or of a trace.
func checkMessage(key, method, path string, size int) error {
	switch {
	case !slices.Contains(methods, method):
		return fmt.Errorf("%s: method %q; want one of %s", key, method, strings.Join(methods, ", "))
	case len(path) > 2000 || !strings.HasPrefix(path, "/") || strings.ContainsFunc(path, func(r rune) bool {
		return r <= ' ' || r > '~'
	}):
		return fmt.Errorf("%s: path %q; want up to 2000 printable characters without blanks, from / on", key, path)
	case size < 0 || size > maxBody:
		return fmt.Errorf("%s: a body of %d bytes; want from 0 to %d", key, size, maxBody)
	case method == "GET" && size > 0:
		return fmt.Errorf("%s: a GET has no body; set it to 0 bytes, or take POST", key)
	}
	return nil
}

func (s *Stream) check(p *Plan, key string) error {
	if s.Spacing != Poisson && s.Spacing != Even {
		return fmt.Errorf("%s.spacing: %q; want %s or %s", key, s.Spacing, Poisson, Even)
	}
	if len(s.Mix) == 0 && len(p.Classes) > 1 {
		return fmt.Errorf("%s.mix: none, and there are several classes; give those that it asks for a weight", key)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Mix)) {
		if p.classIndex(name) < 0 {
			return fmt.Errorf("%s.mix: there is no class %q; add it to classes or leave it out", key, name)
		}
		if err := checkWeight(s.Mix[name]); err != nil {
			return fmt.Errorf("%s.mix.%s: %w", key, name, err)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Tenants)) {
		if err := p.checkTenant(name); err != nil {
			return fmt.Errorf("%s.tenants: %w", key, err)
		}
		if err := checkWeight(s.Tenants[name]); err != nil {
			return fmt.Errorf("%s.tenants.%s: %w", key, name, err)
		}
	}
	return s.Shape.check(key+".shape", false, 1)
}

func checkWeight(w float64) error {
	if !(w > 0) || math.IsInf(w, 0) {
		return fmt.Errorf("a weight of %v; want more than 0", w)
	}
	return nil
}

func (p *Plan) checkTenant(name string) error {
	switch {
	case !isToken(name) || strings.ContainsAny(name, `,"`):
		return fmt.Errorf("%q; want 1 to 200 printable characters without blanks, commas and quotes", name)
	case len(p.Tenants) > 0 && !slices.Contains(p.Tenants, name):
		return fmt.Errorf("there is no tenant %q; add it to tenants or leave it out", name)
	}
	return nil
}
