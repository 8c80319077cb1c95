package snapshot

import (
	"testing"
)

var fleets = []struct {
	name               string
	providers, tenants int
}{{"23x8", 23, 8}, {"2000x50", 2000, 50}}

func BenchmarkEncode(b *testing.B) {
	for _, f := range fleets {
		b.Run(f.name, func(b *testing.B) {
			s, n := fleet(f.providers, f.tenants), 0
			b.ReportAllocs()
			for b.Loop() {
				n = len(encode(b, s))
			}
			b.ReportMetric(float64(n), "encoded-bytes")
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, f := range fleets {
		b.Run(f.name, func(b *testing.B) {
			raw := encode(b, fleet(f.providers, f.tenants))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Decode(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
