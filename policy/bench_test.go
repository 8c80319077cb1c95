package policy

import (
	"fmt"
	"testing"
)

// BenchmarkRequest measures what a request costs the policy, from its arrival to its answer with the probes that it brings,
// and BenchmarkTick the look every 50 ms at what moves without traffic, at one of many instances with so many servers.
func BenchmarkRequest(b *testing.B) {
	benchmarkSizes(b, func(g *rig, n int) { g.pass(RequestID(n)) })
}

func BenchmarkTick(b *testing.B) {
	benchmarkSizes(b, func(g *rig, _ int) { g.tick() })
}

func benchmarkSizes(b *testing.B, once func(g *rig, n int)) {
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
				once(g, n)
			}
		})
	}
}
