package snapshot

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"plankrouter/internal/config"
)

var taken = time.UnixMilli(1_800_000_000_123)

// fleet is a snapshot with evidence of every tenant about every provider: the largest that so many can make.
func fleet(providers, tenants int) *Snapshot {
	rng := rand.New(rand.NewPCG(1, 2))
	at := func() float64 { return unixMs(taken) - 5000*rng.Float64() }
	s := &Snapshot{TakenAt: taken, Program: "n1", Deployment: "d", Directory: "127.0.0.1:8500", Revision: 41,
		Reuse: []byte{1, 2, 3}}
	l := &s.Learned
	*l = Learned{Now: unixMs(taken), FleetLatency: 31.5, MedianMiss: 0.01, FracOwn: 3.25, FracAll: 90,
		Arrivals: Rate{V: 17.5, At: at()}, Sends: Rate{V: 17, At: at()},
		Fit: Fit{71.25, 11.5, at(), []ClassFit{{N: 3, Sum: 2.5, Prior: 0.5}, {N: 1, Sum: 1.5, Prior: 1.5}}}}
	for range tenants {
		l.Tenants = append(l.Tenants, Bucket{Tokens: 5 * rng.Float64(), At: at()})
	}
	for i := range providers {
		m := Member{fmt.Sprintf("s-%08x", rng.Uint32()), fmt.Sprintf("10.1.%d.%d:3000", i/250, i%250), "a", i % 4,
			config.Serving, unixMs(taken) - float64(rng.IntN(1e9)), unixMs(taken) - 1000}
		s.Members = append(s.Members, m)
		p := LearnedServer{Name: m.ID, StartedAt: m.UpSince, Latency: 100 * rng.Float64(), Reported: true, ReportAt: at(),
			Network: rng.Float64(), Failing: rng.Float64() / 50}
		for who := range tenants + 1 {
			p.By = append(p.By, Tally{Who: uint32(who), Oks: 20 * rng.Float64(), Misses: rng.Float64(), At: at()})
		}
		l.Servers = append(l.Servers, p)
	}
	return s
}

// sealed puts a header before a payload.
func sealed(major, minor uint16, payload []byte) []byte {
	b := append(make([]byte, headerSize), payload...)
	seal(b, major, minor, taken.UnixMilli())
	return b
}

func encode(t testing.TB, s *Snapshot) []byte {
	t.Helper()
	b, err := Encode(s, 0)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func same(t testing.TB, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("%s: %s", what, diff)
	}
}

func TestEveryBitAndByteCounts(t *testing.T) {
	var b []byte
	for _, s := range []*Snapshot{{TakenAt: taken}, {TakenAt: taken, Learned: Learned{Servers: []LearnedServer{{Name: "s"}}}},
		fleet(23, 8), fleet(6, 3)} {
		b = encode(t, s)
		got, err := Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		same(t, "decoded", s, got)
	}
	for n := range b {
		if _, err := Decode(b[:n]); !errors.Is(err, ErrCutShort) {
			t.Fatalf("cut at %d: %v", n, err)
		}
	}
	for i := range 8 * len(b) {
		b[i/8] ^= 1 << (i % 8)
		_, err := Decode(b)
		b[i/8] ^= 1 << (i % 8)
		want := ErrChecksum
		switch {
		case i/8 < atMajor:
			want = ErrNotSnapshot
		case i/8 < atMinor:
			want = ErrVersion
		case i/8 >= atLength && i/8 < atTaken && errors.Is(err, ErrCutShort):
			want = ErrCutShort
		}
		if !errors.Is(err, want) {
			t.Fatalf("bit %d flipped: got %v, want %v", i, err, want)
		}
	}
}

func TestLaterVersions(t *testing.T) {
	s := fleet(2, 1)
	b, err := encoder.Marshal(struct {
		Snapshot
		New map[string][]int `cbor:"99,keyasint"`
	}{*s, map[string][]int{"of a later version": {1, 2}}})
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(sealed(Major, Minor+1, b))
	if err != nil {
		t.Fatal(err)
	}
	same(t, "a later minor version", s, got)
	if _, err := Decode(sealed(Major+1, 0, b)); !errors.Is(err, ErrVersion) || !strings.Contains(err.Error(), "2") {
		t.Errorf("another major version: %v", err)
	}
}

func TestFaultyFieldIsNamed(t *testing.T) {
	long := strings.Repeat("x", mostText+1)
	for want, spoil := range map[string]func(*Snapshot){
		"TakenAt":                         func(s *Snapshot) { s.TakenAt = time.Time{} },
		"Program":                         func(s *Snapshot) { s.Program = long },
		"Directory":                       func(s *Snapshot) { s.Directory = "\xff" },
		"Reuse":                           func(s *Snapshot) { s.Reuse = make([]byte, mostReuse+1) },
		"Members":                         func(s *Snapshot) { s.Members = make([]Member, mostProviders+1) },
		"Members[1].ID":                   func(s *Snapshot) { s.Members[1].ID = s.Members[0].ID },
		"Members[0].Address":              func(s *Snapshot) { s.Members[0].Address = "nowhere" },
		"Members[0].Phase":                func(s *Snapshot) { s.Members[0].Phase = long },
		"Members[1].UpSince":              func(s *Snapshot) { s.Members[1].UpSince = math.Inf(1) },
		"Learned.FracAll":                 func(s *Snapshot) { s.Learned.FracAll = -1 },
		"Learned.Sends.At":                func(s *Snapshot) { s.Learned.Sends.At = math.NaN() },
		"Learned.MedianMiss":              func(s *Snapshot) { s.Learned.MedianMiss = 1.5 },
		"Learned.Fit.XY":                  func(s *Snapshot) { s.Learned.Fit.XY = math.MaxFloat64 },
		"Learned.Fit.Classes":             func(s *Snapshot) { s.Learned.Fit.Classes = make([]ClassFit, mostClasses+1) },
		"Learned.Fit.Classes[0].Sum":      func(s *Snapshot) { s.Learned.Fit.Classes[0].Sum = -0.5 },
		"Learned.Tenants":                 func(s *Snapshot) { s.Learned.Tenants = make([]Bucket, mostTenants+1) },
		"Learned.Tenants[0].Tokens":       func(s *Snapshot) { s.Learned.Tenants[0].Tokens = math.Inf(-1) },
		"Learned.Servers":                 func(s *Snapshot) { s.Learned.Servers = make([]LearnedServer, mostProviders+1) },
		"Learned.Servers[1].Name":         func(s *Snapshot) { s.Learned.Servers[1].Name = "" },
		"Learned.Servers[0].Latency":      func(s *Snapshot) { s.Learned.Servers[0].Latency = math.NaN() },
		"Learned.Servers[0].Failing":      func(s *Snapshot) { s.Learned.Servers[0].Failing = -0.1 },
		"Learned.Servers[1].By":           func(s *Snapshot) { s.Learned.Servers[1].By = make([]Tally, mostTenants+2) },
		"Learned.Servers[1].By[1].Misses": func(s *Snapshot) { s.Learned.Servers[1].By[1].Misses = -1 },
		"Learned.Servers[1].By[1].Who":    func(s *Snapshot) { s.Learned.Servers[1].By[1].Who = 0 },
	} {
		s := fleet(2, 1)
		spoil(s)
		var e *FieldError
		if _, err := Encode(s, 0); !errors.As(err, &e) || e.Field != want {
			t.Errorf("%s, encoding: %v", want, err)
		}
		payload, err := cborOfAnything.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		b := sealed(Major, Minor, payload)
		seal(b, Major, Minor, s.TakenAt.UnixMilli())
		_, err = Decode(b)
		if !errors.As(err, &e) || e.Field != want && e.Field != "payload" {
			t.Errorf("%s, decoding: %v", want, err)
		}
	}
}

var cborOfAnything = must(cbor.EncOptions{}.EncMode())

// An array may say that it is long, and be of elements that are far smaller on the wire than in memory.
func TestMemoryIsBoundedByTheInput(t *testing.T) {
	for what, at := range map[string]struct {
		before, each string
		n            int
	}{
		"empty members":        {"\xa1\x05\x9a\x00\x3f\x00\x00", "\xa0", 0x3f0000},
		"nulls for members":    {"\xa1\x05\x99\x3f\xff", "\xf6", 0x3fff},
		"empty providers":      {"\xa1\x06\xa1\x02\x99\x3f\xff", "\xa0", 0x3fff},
		"nulls for tallies":    {"\xa1\x06\xa1\x02\x99\x00\xff", "\xa1\x08\x99\x3f\xff" + strings.Repeat("\xf6", 0x3fff), 0xff},
		"numbers for tallies":  {"\xa1\x06\xa1\x02\x99\x00\xff", "\xa1\x08\x99\x3f\xff" + strings.Repeat("\x00", 0x3fff), 0xff},
		"tallies of nothing":   {"\xa1\x06\xa1\x02\x99\x00\x20", "\xa1\x08\x99\x10\x01" + strings.Repeat("\x84\x00\x00\x00\x00", 0x1001), 0x20},
		"nesting":              {"\xa1\x18\x63", "\x81", 1 << 20},
		"fewer than it says":   {"\xa1\x05\x99\x3f\xff", "\xa0", 3},
		"a text without end":   {"\xa1\x01\x7a\xff\xff\xff\xff", "x", 9},
		"a map without bounds": {"\xa1\x18\x63\xba\x00\x10\x00\x00", "\x01\x01", 1 << 20},
	} {
		b := sealed(Major, Minor, []byte(at.before+strings.Repeat(at.each, at.n)))
		var from, to runtime.MemStats
		runtime.ReadMemStats(&from)
		_, err := Decode(b)
		runtime.ReadMemStats(&to)
		if took, most := to.TotalAlloc-from.TotalAlloc, uint64(8*len(b)+4<<20); err == nil || took > most {
			t.Errorf("%s: %d bytes took %d, the limit is %d; err=%v", what, len(b), took, most, err)
		}
	}
	if _, err := Encode(fleet(4, 1), 100); !errors.Is(err, ErrTooLarge) {
		t.Errorf("larger than the limit: %v", err)
	}
}

func FuzzDecode(f *testing.F) {
	b := encode(f, fleet(2, 2))
	f.Add(b)
	f.Add(b[headerSize:])
	f.Add(b[headerSize : len(b)-9])
	f.Add(encode(f, &Snapshot{TakenAt: taken}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := Decode(b); err == nil && !strings.HasPrefix(string(b), magic) {
			t.Fatal("read what is no snapshot")
		}
		s, err := Decode(sealed(Major, Minor, b)) // past the checksum, which no guess would pass
		if err != nil {
			if e := new(FieldError); !errors.As(err, &e) {
				t.Fatalf("%T: %v", err, err)
			}
			return
		}
		again, err := Decode(encode(t, s))
		if err != nil {
			t.Fatal(err)
		}
		same(t, "encoded again", s, again)
		r := DefaultRules()
		r.Program, r.Deployment, r.Directory, r.Classes = s.Program, s.Deployment, s.Directory, len(s.Learned.Fit.Classes)
		left, _ := Still(s, taken.Add(3*time.Second), r)
		encode(t, left)
	})
}
