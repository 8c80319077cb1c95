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

// Plan describes the load to generate. Read reads one from a file. Call Check before any other method; after that a Plan is
// not modified and is safe for concurrent use.
type Plan struct {
	Seed        uint64       `json:"seed"`
	ForS        float64      `json:"for_s,omitempty"` // duration in seconds; with a trace, 0 = the whole trace
	Classes     []Class      `json:"classes"`
	Tenants     []string     `json:"tenants,omitempty"` // tenants that streams and traces may name; empty = any
	Streams     []Stream     `json:"streams,omitempty"`
	Trace       *TraceSource `json:"trace,omitempty"`       // recorded trace, which takes the place of Streams; nil = none
	Connections int          `json:"connections,omitempty"` // limit on open connections of all processes together; 0 = 10000
	Lateness    Lateness     `json:"lateness,omitzero"`
}

// Class is a request class and the behaviour of its clients.
type Class struct {
	Name               string  `json:"name"`
	Method             string  `json:"method,omitempty"` // "" = GET
	Path               string  `json:"path,omitempty"`   // {key} is replaced by the key; "" = /NAME/{key}
	BodyBytes          int     `json:"body_bytes,omitempty"`
	LatencyObjectiveMs float64 `json:"aim_ms"`                // latency objective of a request, counted from its due time
	DeadlineMs         float64 `json:"deadline_ms"`           // deadline of a request with all its attempts, from its due time
	TimeoutMs          float64 `json:"patience_ms,omitempty"` // timeout of one attempt; 0 = only the deadline applies
	Keys               Keys    `json:"keys,omitzero"`
	Retry              Retry   `json:"retry,omitzero"`
}

// Keys is the distribution of keys in requests: the numbers from 1 to Count, where n has a weight of n to the power of -Zipf.
type Keys struct {
	Count int     `json:"count,omitempty"` // number of keys; 0 = 1
	Zipf  float64 `json:"zipf,omitempty"`  // exponent of the distribution; 0 = all keys are equally likely
}

// Retry is a client's retry policy.
type Retry struct {
	MaxRetries      int      `json:"most,omitempty"`      // highest number of attempts after the first
	WaitMs          float64  `json:"wait_ms,omitempty"`   // wait before each retry
	MaxRetryAfterMs float64  `json:"advice_ms,omitempty"` // a Retry-After longer than WaitMs is followed up to this; 0 = ignored
	On              []string `json:"on,omitempty"`        // outcomes; empty = refused, unreachable, for GET also failed, lost
}

// Stream is a sequence of requests with one rate shape.
type Stream struct {
	Name    string             `json:"name,omitempty"` // for readers of the plan only
	Shape   Shape              `json:"shape"`
	Spacing string             `json:"spacing,omitempty"` // Poisson or Even; "" = Poisson
	Mix     map[string]float64 `json:"mix,omitempty"`     // classes and their weights; empty = the plan's only class
	Tenants map[string]float64 `json:"tenants,omitempty"` // tenants and their weights; empty = no tenant header
}

// The spacings of a stream.
const (
	Poisson = "poisson" // independent arrivals
	Even    = "even"    // arrivals as evenly spaced as the shape allows
)

// Lateness has the bounds on the generator's own delay; a run that exceeds one of them is invalid.
type Lateness struct {
	P99Ms float64 `json:"p99_ms,omitempty"`  // bound on the 99th percentile of the delay of first attempts; 0 = 1 ms
	MaxMs float64 `json:"most_ms,omitempty"` // bound on the delay of first attempts and of the generator's timers; 0 = 50 ms
}

// Limits on the values of a plan.
const (
	maxKeys     = 1_000_000
	maxBody     = 1 << 20 // largest request body, in bytes
	maxRetries  = 100
	maxDeadline = 10 * time.Minute
	maxClasses  = 64
)

// Read reads and checks a plan. Errors name the file, the line or key, and how to fix it. A relative trace file name is
// resolved against the directory of the plan.
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

// decode decodes JSON and rejects unknown keys and trailing data. Errors begin with the line number.
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
			return fmt.Errorf("%d: trailing data after the plan; remove it", line(d.InputOffset()))
		}
		return nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Errorf("%d: the file ends in the middle of the plan; it is incomplete", line(int64(len(raw))))
	case errors.As(err, &syntax):
		return fmt.Errorf("%d: %w; fix the JSON", line(syntax.Offset), err)
	case errors.As(err, &kind):
		return fmt.Errorf("%d: %s: a %s; want %s", line(kind.Offset), kind.Field, kind.Value,
			describeKind(kind.Type.Kind().String()))
	}
	if m := unknownKey.FindStringSubmatch(err.Error()); m != nil {
		return fmt.Errorf("%d: %s: unknown key; fix its name or remove it",
			line(int64(bytes.Index(raw, []byte(m[1])))), strings.Trim(m[1], `"`))
	}
	return fmt.Errorf("1: %w", err)
}

// describeKind describes the JSON value that a Go kind is decoded from.
func describeKind(kind string) string {
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

// Check sets the defaults of omitted keys and returns an error if the plan is invalid. It reads a trace to its end. Errors
// name the key and how to fix it.
func (p *Plan) Check() error {
	if err := p.checkOwnKeys(); err != nil {
		return err
	}
	p.setDefaults()
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
		return errors.New("for_s: 0; want the number of seconds in which requests are due")
	}
	for i := range p.Streams {
		if err := p.Streams[i].check(p, fmt.Sprintf("streams[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

// checkOwnKeys checks the plan's top-level keys, before the defaults are set.
func (p *Plan) checkOwnKeys() error {
	switch {
	case len(p.Classes) == 0:
		return errors.New("classes: none; want one or more")
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
			return fmt.Errorf("classes[%d].name: %q is used twice; rename one", i, p.Classes[i].Name)
		}
	}
	return nil
}

func (p *Plan) setDefaults() {
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

// setDefault sets *what to value if *what is zero.
func setDefault[T comparable](what *T, value T) {
	var left T
	if *what == left {
		*what = value
	}
}

func (p *Plan) classIndex(name string) int {
	return slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == name })
}

// isToken reports whether a name may be used in a header and in a path.
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
		return fmt.Errorf("%s.aim_ms: %v is above deadline_ms, which is %v; lower it", key, c.LatencyObjectiveMs, c.DeadlineMs)
	case c.Keys.Count < 1 || c.Keys.Count > maxKeys:
		return fmt.Errorf("%s.keys.count: %d; want from 1 to %d", key, c.Keys.Count, maxKeys)
	case !(c.Keys.Zipf >= 0 && c.Keys.Zipf <= 10):
		return fmt.Errorf("%s.keys.zipf: %v; want from 0 to 10", key, c.Keys.Zipf)
	case c.Retry.MaxRetries < 0 || c.Retry.MaxRetries > maxRetries:
		return fmt.Errorf("%s.retry.most: %d; want from 0 to %d", key, c.Retry.MaxRetries, maxRetries)
	}
	for i, name := range c.Retry.On {
		if end, ok := parseOutcome(name); !ok || end == Served {
			return fmt.Errorf("%s.retry.on[%d]: %q; want one of %s", key, i, name, strings.Join(outcomeNames[1:], ", "))
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

// checkMessage checks the method, path and body size of a class or of a request in a trace.
func checkMessage(key, method, path string, size int) error {
	switch {
	case !slices.Contains(methods, method):
		return fmt.Errorf("%s: method %q; want one of %s", key, method, strings.Join(methods, ", "))
	case len(path) > 2000 || !strings.HasPrefix(path, "/") || strings.ContainsFunc(path, func(r rune) bool {
		return r <= ' ' || r > '~'
	}):
		return fmt.Errorf("%s: path %q; want up to 2000 printable characters without blanks, starting with /", key, path)
	case size < 0 || size > maxBody:
		return fmt.Errorf("%s: a body of %d bytes; want from 0 to %d", key, size, maxBody)
	case method == "GET" && size > 0:
		return fmt.Errorf("%s: a GET has no body; set it to 0 bytes or use POST", key)
	}
	return nil
}

func (s *Stream) check(p *Plan, key string) error {
	if s.Spacing != Poisson && s.Spacing != Even {
		return fmt.Errorf("%s.spacing: %q; want %s or %s", key, s.Spacing, Poisson, Even)
	}
	if len(s.Mix) == 0 && len(p.Classes) > 1 {
		return fmt.Errorf("%s.mix: none, but there are several classes; give weights to the classes of the stream", key)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Mix)) {
		if p.classIndex(name) < 0 {
			return fmt.Errorf("%s.mix: unknown class %q; add it to classes or remove it", key, name)
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
		return fmt.Errorf("unknown tenant %q; add it to tenants or remove it", name)
	}
	return nil
}
