package snapshot

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	jsoniter "github.com/json-iterator/go"
)

// BenchmarkEncoding compares the encoding, including its header and all checks, with gob and JSON.
func BenchmarkEncoding(b *testing.B) {
	json := jsoniter.ConfigCompatibleWithStandardLibrary
	for _, size := range [][2]int{{23, 8}, {2000, 50}} {
		s := largeFleet(size[0], size[1])
		for _, l := range []struct {
			name   string
			encode func() ([]byte, error)
			decode func([]byte) error
		}{
			{
				"cbor", func() ([]byte, error) { return Encode(s, 0) },
				func(b []byte) error { _, err := Decode(b); return err },
			},
			{"gob", func() ([]byte, error) {
				var b bytes.Buffer
				err := gob.NewEncoder(&b).Encode(s)
				return b.Bytes(), err
			}, func(b []byte) error { return gob.NewDecoder(bytes.NewReader(b)).Decode(new(Snapshot)) }},
			{
				"json", func() ([]byte, error) { return json.Marshal(s) },
				func(b []byte) error { return json.Unmarshal(b, new(Snapshot)) },
			},
		} {
			raw, err := l.encode()
			run := func(operation string, f func() error) {
				b.Run(fmt.Sprintf("%dx%d/%s/%s", size[0], size[1], l.name, operation), func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						if err = f(); err != nil {
							b.Fatal(err)
						}
					}
					b.ReportMetric(float64(len(raw)), "encoded-bytes")
				})
			}
			run("encode", func() error { raw, err = l.encode(); return err })
			run("decode", func() error { return l.decode(raw) })
		}
	}
}
