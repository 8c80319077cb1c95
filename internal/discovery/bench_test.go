package discovery

import (
	"encoding/json"
	"fmt"
	"testing"
)

// BenchmarkParse decodes an indented complete list.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{200, 350, 1024, 2000} {
		raw, err := json.MarshalIndent(map[string]any{"revision": 7, "complete": true, "members": manyEndpoints(n)}, "", "    ")
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(raw)))
			for b.Loop() {
				if l, _, err := parse(raw); err != nil || len(l.Endpoints) != n {
					b.Fatal(len(l.Endpoints), err)
				}
			}
		})
	}
}
