package policy

import (
	"fmt"
	"testing"
)

// BenchmarkRequest measures the events of one request, from its arrival to its response, and those of the probes sent with it.
func BenchmarkRequest(b *testing.B) {
	benchmarkSizes(b, func(g *rig, n int) { g.serve(RequestID(n)) })
}

// BenchmarkTick measures the periodic update.
func BenchmarkTick(b *testing.B) {
	benchmarkSizes(b, func(g *rig, _ int) { g.tick() })
}

// benchmarkSizes runs step in one of 300 instances, for several numbers of servers.
func benchmarkSizes(b *testing.B, step func(g *rig, n int)) {
	for _, servers := range []int{16, 60, 200, 350, 1024, 2000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			cfg := testConfig()
			cfg.Instances, cfg.ProbeCost = 300, 0.08
			g := newRig(b, cfg, servers)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				g.now += 50
				step(g, n)
			}
		})
	}
}
