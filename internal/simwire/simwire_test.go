package simwire

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"plankrouter/policy"
)

const settings = `{"Balancers":2,"Discovery":"on_request","RoundMs":5,"Unknown":[1],
"Limits":{"MaxAttempts":2,"Probes":true,"MayCancel":true},"Report":{"Names":["avg_ms","err_rps","active"]},
"Safety":{"StartCapacity":0.3,"WarmWithinMs":9000,"TipMultiple":2.5,"FallMs":2000},
"RequestClasses":[{"AimMs":300,"HardLimitMs":1000,"Credit":2,"Repeat":"token","KeyScope":"cell","MemorySpanMs":600}]}`

// batch builds a frame from event records, which it pads to 48 bytes, and a tail.
func batch(now float64, tail []byte, recs ...[]byte) []byte {
	b := binary.LittleEndian.AppendUint64(nil, math.Float64bits(now))
	b = binary.LittleEndian.AppendUint32(b, uint32(16+48*len(recs)+len(tail)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(recs)))
	for _, r := range recs {
		b = append(b, append(r, make([]byte, 48-len(r))...)...)
	}
	return append(b, tail...)
}

func eventRecord(code, instanceID uint16, rest ...byte) []byte {
	b := binary.LittleEndian.AppendUint16(nil, code)
	return append(binary.LittleEndian.AppendUint16(b, instanceID), rest...)
}

func le32(v ...uint32) (b []byte) {
	for _, x := range v {
		b = binary.LittleEndian.AppendUint32(b, x)
	}
	return b
}

func configureEvent(instanceID uint16) []byte {
	return eventRecord(evConfigure, instanceID, append(make([]byte, 8), le32(0, uint32(len(settings)))...)...)
}

func listEvent(off, n uint32) []byte {
	b := binary.LittleEndian.AppendUint16(nil, evList)
	return append(b, le32(0, off, n)...)
}

func serverEntry(id uint32, health byte) []byte {
	b := le32(id)
	b = append(b, 1, 0, 2, 0, 3, 0, health)
	return append(b, make([]byte, 12)...)
}

func requestEvent(instanceID uint16, id uint32) []byte {
	b := append(le32(id), binary.LittleEndian.AppendUint64(nil, math.Float64bits(500))...)
	return eventRecord(evRequestArrived, instanceID, b...)
}

func codes(t *testing.T, reply []byte) map[uint16]int {
	t.Helper()
	n := int(u32(reply, 4))
	if int(u32(reply, 0)) != len(reply) || len(reply) < replyHeaderSize+n*actionSize {
		t.Fatalf("reply of %d bytes has length %d and %d records in its header", len(reply), u32(reply, 0), n)
	}
	seen := map[uint16]int{}
	for i := range n {
		seen[u16(reply, replyHeaderSize+i*actionSize)]++
	}
	return seen
}

func TestInstanceRestartWithinOneBatch(t *testing.T) {
	tail := append([]byte(settings), serverEntry(77, 1)...)
	fleet := eventRecord(evEndpoints, 3, append(le32(0), 2)...)
	reply, err := NewHost().Batch(batch(10, tail, configureEvent(3), listEvent(uint32(len(settings)), 1), fleet, requestEvent(3, 5),
		eventRecord(evStop, 3), configureEvent(3), fleet, requestEvent(3, 6)))
	if err != nil {
		t.Fatal(err)
	}
	got := codes(t, reply)
	if got[acStartAttempt] != 2 || got[acSubscribe] != 2 || got[acSendProbe] != 2 {
		t.Errorf("attempts, subscriptions, probes: %v", got)
	}
}

func TestEmptyBatch(t *testing.T) {
	reply, err := NewHost().Batch(batch(1, nil))
	if err != nil || !bytes.Equal(reply, []byte{8, 0, 0, 0, 0, 0, 0, 0}) {
		t.Errorf("%v %v", reply, err)
	}
}

func TestReportFieldsMatchedByName(t *testing.T) {
	_, fields, err := ParseConfig([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	raw := []byte{3}
	for _, v := range []float32{40, 1, 6} {
		raw = binary.LittleEndian.AppendUint32(raw, math.Float32bits(v))
	}
	got, err := (&instance{fields: fields}).report(append(raw, 0, 0, 0, 0))
	if want := (policy.Report{HasRIF: true, HasLatency: true, HasErrors: true, RIF: 6, Latency: 40, Errors: 1}); err != nil || got != want {
		t.Errorf("%+v %v", got, err)
	}
}

func TestInvalidInputErrors(t *testing.T) {
	for name, tc := range map[string]struct {
		frame []byte
		want  string
	}{
		"unknown event":    {batch(1, nil, eventRecord(99, 0)), "unknown event code 99"},
		"unknown instance": {batch(1, nil, requestEvent(4, 1)), "not running"},
		"tail overrun":     {batch(1, nil, configureEvent(0)), "outside the tail"},
		"bad settings":     {batch(1, []byte(strings.Repeat("x", len(settings))), configureEvent(0)), "settings"},
		"list number":      {batch(1, nil, append(eventRecord(evList, 16), 0, 0)), "out of bounds"},
		"record overrun":   {append(batch(1, nil)[:12], le32(5)...), "do not fit"},
		"without a header": {[]byte{1}, "no header"},
	} {
		_, err := NewHost().Batch(tc.frame)
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, in := range map[string][]byte{"truncated header": {1, 2}, "truncated body": batch(1, nil, requestEvent(0, 1))[:30]} {
		if err := NewHost().Serve(bytes.NewReader(in), new(bytes.Buffer)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if err := NewHost().Serve(bytes.NewReader(nil), new(bytes.Buffer)); err != nil {
		t.Errorf("end between frames: %v", err)
	}
}

func FuzzBatch(f *testing.F) {
	tail := append([]byte(settings), serverEntry(77, 1)...)
	f.Add(batch(10, tail, configureEvent(3), listEvent(uint32(len(settings)), 1), eventRecord(evEndpoints, 3, 0, 0, 0, 0, 2), requestEvent(3, 5)))
	f.Add(batch(1, nil, eventRecord(evAttemptEnded, 0)))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, frame []byte) {
		reply, err := NewHost().Batch(frame) // must not panic
		if err == nil && int(u32(reply, 0)) != len(reply) {
			t.Errorf("reply of %d bytes has length %d in its header", len(reply), u32(reply, 0))
		}
	})
}
