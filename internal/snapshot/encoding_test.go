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
)

var testTakenAt = time.UnixMilli(1_800_000_000_123)

// largeFleet returns a snapshot of the largest size for the given numbers of servers and tenants: with outcomes of every
// tenant at every server.
func largeFleet(servers, tenants int) *Snapshot {
	rng, now := rand.New(rand.NewPCG(1, 2)), unixMs(testTakenAt)
	at := func() float64 { return now - 5000*rng.Float64() }
	s := &Snapshot{
		TakenAt: testTakenAt, Program: "n1", Deployment: "d", Discovery: "127.0.0.1:8500", Revision: 41,
		Learned: Learned{
			Now: now, FleetLatency: 31.5, MedianErrorRate: 0.01, OwnInFlight: 3.25, TotalInFlight: 90,
			Arrivals: Rate{Value: 17.5, At: at()}, Sends: Rate{Value: 17, At: at()},
			Fit: Fit{71.25, 11.5, at(), []ClassFit{{Count: 3, Sum: 2.5}, {Count: 1, Sum: 1.5}}},
		},
		Keepalive: make([]byte, 640),
	}
	for range tenants {
		s.Learned.Tenants = append(s.Learned.Tenants, Bucket{Tokens: 5 * rng.Float64(), At: at()})
	}
	for i := range servers {
		m := Member{
			fmt.Sprintf("s-%08x", rng.Uint32()), fmt.Sprintf("10.1.%d.%d:3000", i/250, i%250), "a", i % 4,
			"SERVING", now - float64(rng.IntN(1e9)), now - 1000, 1000 * rng.Float64(),
		}
		p := LearnedServer{
			Name: m.ID, StartedAt: m.StartedAt, Latency: 100 * rng.Float64(), LatencyReported: true,
			ReportedAt: at(), RoundTrip: rng.Float64(), ErrorRate: rng.Float64() / 50, SlowStartBudget: Rate{Value: rng.Float64(), At: at()},
		}
		for tenant := range tenants + 1 {
			p.Outcomes = append(p.Outcomes, Tally{Tenant: uint32(tenant), Successes: 20 * rng.Float64(), Failures: rng.Float64(), At: at()})
		}
		s.Members, s.Learned.Servers = append(s.Members, m), append(s.Learned.Servers, p)
	}
	return s
}

// withHeader returns a file with the given payload and a valid header.
func withHeader(minor uint16, at time.Time, payload string) []byte {
	b := append(make([]byte, headerSize), payload...)
	writeHeader(b, Major, minor, at.UnixMilli())
	return b
}

func checkEqual(t testing.TB, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("%s: %s", what, diff)
	}
}

func TestCorruptionIsDetected(t *testing.T) {
	var b []byte
	for _, s := range []*Snapshot{{TakenAt: testTakenAt}, largeFleet(23, 8), largeFleet(6, 3)} {
		b = must(Encode(s, 0))
		checkEqual(t, "decoded", s, must(Decode(b)))
	}
	for n := range b {
		if _, err := Decode(b[:n]); !errors.Is(err, ErrTruncated) {
			t.Fatalf("cut at %d: %v", n, err)
		}
	}
	want := map[int]error{
		0: ErrNotSnapshot, 8 * majorOffset: ErrVersion, 8 * takenAtOffset: ErrChecksum,
		8*len(b) - 1: ErrChecksum,
	}
	for i := range 8 * len(b) {
		b[i/8] ^= 1 << (i % 8)
		_, err := Decode(b)
		b[i/8] ^= 1 << (i % 8)
		if e := new(FieldError); err == nil || errors.As(err, &e) || want[i] != nil && !errors.Is(err, want[i]) {
			t.Fatalf("bit %d flipped: %v, want %v", i, err, want[i])
		}
	}
	b = must(cbor.Marshal(map[int]any{1: "n1", 99: map[string][]int{"of a later version": {1, 2}}}))
	checkEqual(t, "a later minor version", "n1", must(Decode(withHeader(Minor+1, testTakenAt, string(b)))).Program)
	if _, err := Encode(largeFleet(4, 1), 100); !errors.Is(err, ErrTooLarge) {
		t.Errorf("larger than the limit: %v", err)
	}
}

func TestInvalidFieldIsNamed(t *testing.T) {
	for want, corrupt := range map[string]func(s *Snapshot, l *Learned){
		"TakenAt":                                 func(s *Snapshot, _ *Learned) { s.TakenAt = time.Time{} },
		"Discovery":                               func(s *Snapshot, _ *Learned) { s.Discovery = strings.Repeat("x", 513) },
		"Keepalive":                               func(s *Snapshot, _ *Learned) { s.Keepalive = make([]byte, maxKeepaliveBytes+1) },
		"Members[1].ID":                           func(s *Snapshot, _ *Learned) { s.Members[1].ID = s.Members[0].ID },
		"Members[0].Address":                      func(s *Snapshot, _ *Learned) { s.Members[0].Address = "nowhere" },
		"Members[1].StartedAt":                    func(s *Snapshot, _ *Learned) { s.Members[1].StartedAt = math.Inf(1) },
		"Learned.Sends.At":                        func(_ *Snapshot, l *Learned) { l.Sends.At = math.NaN() },
		"Learned.Fit.SumLoadLatency":              func(_ *Snapshot, l *Learned) { l.Fit.SumLoadLatency = math.MaxFloat64 },
		"Learned.Fit.Classes[0].Sum":              func(_ *Snapshot, l *Learned) { l.Fit.Classes[0].Sum = -0.5 },
		"Learned.Tenants":                         func(_ *Snapshot, l *Learned) { l.Tenants = make([]Bucket, maxTenants+1) },
		"Learned.Tenants[0].Tokens":               func(_ *Snapshot, l *Learned) { l.Tenants[0].Tokens = math.Inf(-1) },
		"Learned.Servers[1].Name":                 func(_ *Snapshot, l *Learned) { l.Servers[1].Name = "" },
		"Learned.Servers[0].ErrorRate":            func(_ *Snapshot, l *Learned) { l.Servers[0].ErrorRate = 1.1 },
		"Learned.Servers[1].Outcomes[1].Failures": func(_ *Snapshot, l *Learned) { l.Servers[1].Outcomes[1].Failures = -1 },
		"Learned.Servers[1].Outcomes[1].Tenant":   func(_ *Snapshot, l *Learned) { l.Servers[1].Outcomes[1].Tenant = 0 },
	} {
		s := largeFleet(2, 1)
		corrupt(s, &s.Learned)
		b := must(cbor.Marshal(s))
		_, encoding := Encode(s, 0)
		_, decoding := Decode(withHeader(Minor, s.TakenAt, string(b)))
		for _, err := range []error{encoding, decoding} {
			if e := new(FieldError); !errors.As(err, &e) || e.Field != want {
				t.Errorf("%s: %v", want, err)
			}
		}
	}
}

func TestFieldOfWrongTypeIsNamed(t *testing.T) {
	for payload, want := range map[string]string{
		"\x01": "payload", "\xa1\x04\x61x": "Revision",
		"\xa1\x06\x01": "Learned", "\xa1\x06\xa1\x02\x81\xa1\x08\x81\x84\x61x000": "Learned.Servers.Outcomes",
		"\xa1\x06\xa1\x01\x61x": "Learned",
	} {
		_, err := Decode(withHeader(Minor, testTakenAt, payload))
		if e := new(FieldError); !errors.As(err, &e) || e.Field != want {
			t.Errorf("%q: %v, want %s", payload, err, want)
		}
	}
}

// The size of the input bounds the memory for decoding it, although the header of an array may state a large length, and its
// elements may be far smaller encoded than in memory.
func TestMemoryIsBoundedByTheInput(t *testing.T) {
	long := "\xa1\x08\x99\x3f\xff" // a server with 0x3fff tallies
	for what, at := range map[string]struct {
		before, each string
		count        int
	}{
		"empty members":          {"\xa1\x05\x9a\x00\x01\xff\xff", "\xa0", 0x1ffff},
		"empty servers":          {"\xa1\x06\xa1\x02\x99\x3f\xff", "\xa0", 0x3fff},
		"nulls for tallies":      {"\xa1\x06\xa1\x02\x99\x00\xff", long + strings.Repeat("\xf6", 0x3fff), 0xff},
		"numbers for tallies":    {"\xa1\x06\xa1\x02\x99\x00\xff", long + strings.Repeat("\x00", 0x3fff), 0xff},
		"empty tallies":          {"\xa1\x06\xa1\x02\x88", long + strings.Repeat("\x84\x00\x00\x00\x00", 0x3fff), 8},
		"a truncated text":       {"\xa1\x01\x7a\xff\xff\xff\xff", "x", 9},
		"a map that is too long": {"\xa1\x18\x63\xba\x00\x10\x00\x00", "\x01\x01", 1 << 20},
	} {
		b := withHeader(Minor, testTakenAt, at.before+strings.Repeat(at.each, at.count))
		var from, to runtime.MemStats
		runtime.ReadMemStats(&from)
		_, err := Decode(b)
		runtime.ReadMemStats(&to)
		if allocated, limit := to.TotalAlloc-from.TotalAlloc, uint64(8*len(b)+4<<20); err == nil || allocated > limit {
			t.Errorf("%s: %d bytes took %d, the limit is %d; err=%v", what, len(b), allocated, limit, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	b := must(Encode(largeFleet(2, 2), 0))
	f.Add(b)
	f.Add(b[headerSize:])
	f.Add(b[headerSize : len(b)-9])
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := Decode(b); err == nil && !strings.HasPrefix(string(b), magic) {
			t.Fatal("decoded data that is not a snapshot")
		}
		s, err := Decode(withHeader(Minor, testTakenAt, string(b))) // with a valid checksum, which the fuzzer would not find
		if err != nil {
			if e := new(FieldError); !errors.As(err, &e) {
				t.Fatalf("%T: %v", err, err)
			}
			return
		}
		checkEqual(t, "encoded again", s, must(Decode(must(Encode(s, 0)))))
		r := DefaultValidityRules()
		r.Program, r.Deployment, r.Discovery = s.Program, s.Deployment, s.Discovery
		r.Classes, r.Tenants = len(s.Learned.Fit.Classes), len(s.Learned.Tenants)
		valid, _ := DropStale(s, testTakenAt.Add(3*time.Second), r)
		must(Encode(valid, 0))
	})
}
