package simwire

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"plankrouter/policy"
)

const facts = `{"Balancers":2,"Discovery":"on_request","RoundMs":5,"Unknown":[1],
"Limits":{"MaxAttempts":2,"Probes":true,"MayCancel":true},"Report":{"Names":["avg_ms","err_rps","active"]},
"Safety":{"StartCapacity":0.3,"WarmWithinMs":9000,"TipMultiple":2.5,"FallMs":2000},
"RequestClasses":[{"AimMs":300,"HardLimitMs":1000,"Credit":2,"Repeat":"token","KeyScope":"cell","MemorySpanMs":600}]}`

// batch builds a frame from event records (48 bytes each, padded here) and a tail.
func batch(now float64, tail []byte, recs ...[]byte) []byte {
	b := binary.LittleEndian.AppendUint64(nil, math.Float64bits(now))
	b = binary.LittleEndian.AppendUint32(b, uint32(16+48*len(recs)+len(tail)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(recs)))
	for _, r := range recs {
		b = append(b, append(r, make([]byte, 48-len(r))...)...)
	}
	return append(b, tail...)
}

func rec(code, who uint16, rest ...byte) []byte {
	b := binary.LittleEndian.AppendUint16(nil, code)
	return append(binary.LittleEndian.AppendUint16(b, who), rest...)
}

func le32(v ...uint32) (b []byte) {
	for _, x := range v {
		b = binary.LittleEndian.AppendUint32(b, x)
	}
	return b
}

func configure(who uint16) []byte {
	return rec(evConfigure, who, append(make([]byte, 8), le32(0, uint32(len(facts)))...)...)
}

func page(off, n uint32) []byte {
	b := binary.LittleEndian.AppendUint16(nil, evPage)
	return append(b, le32(0, off, n)...)
}

func line(id uint32, health byte) []byte {
	b := le32(id)
	b = append(b, 1, 0, 2, 0, 3, 0, health)
	return append(b, make([]byte, 12)...)
}

func inbound(who uint16, id uint32) []byte {
	b := append(le32(id), binary.LittleEndian.AppendUint64(nil, math.Float64bits(500))...)
	return rec(evInbound, who, b...)
}

func codes(t *testing.T, reply []byte) map[uint16]int {
	t.Helper()
	n := int(u32(reply, 4))
	if int(u32(reply, 0)) != len(reply) || len(reply) < replyHeader+n*actionSize {
		t.Fatalf("reply of %d bytes says %d bytes, %d records", len(reply), u32(reply, 0), n)
	}
	seen := map[uint16]int{}
	for i := range n {
		seen[u16(reply, replyHeader+i*actionSize)]++
	}
	return seen
}

func TestBirthListRequestKillAndRebirthInOneBatch(t *testing.T) {
	tail := append([]byte(facts), line(77, 1)...)
	fleet := rec(evFleet, 3, append(le32(0), 2)...)
	reply, err := NewHost().Batch(batch(10, tail, configure(3), page(uint32(len(facts)), 1), fleet, inbound(3, 5),
		rec(evPowerOff, 3), configure(3), fleet, inbound(3, 6)))
	if err != nil {
		t.Fatal(err)
	}
	got := codes(t, reply)
	if got[acDispatch] != 2 || got[acObserve] != 2 || got[acCheck] != 2 {
		t.Errorf("dispatches, subscriptions, checks: %v", got)
	}
}

func TestEmptyBatch(t *testing.T) {
	reply, err := NewHost().Batch(batch(1, nil))
	if err != nil || !bytes.Equal(reply, []byte{8, 0, 0, 0, 0, 0, 0, 0}) {
		t.Errorf("%v %v", reply, err)
	}
}

func TestReportFieldsGoByName(t *testing.T) {
	_, fields, err := ParseConfig([]byte(facts))
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

func TestBadInputIsNamed(t *testing.T) {
	for name, c := range map[string]struct {
		frame []byte
		want  string
	}{
		"unknown event":    {batch(1, nil, rec(99, 0)), "unknown event code 99"},
		"unborn instance":  {batch(1, nil, inbound(4, 1)), "not running"},
		"tail overrun":     {batch(1, nil, configure(0)), "outside the tail"},
		"bad settings":     {batch(1, []byte(strings.Repeat("x", len(facts))), configure(0)), "settings"},
		"list number":      {batch(1, nil, append(rec(evPage, 16), 0, 0)), "out of bounds"},
		"record overrun":   {append(batch(1, nil)[:12], le32(5)...), "do not fit"},
		"without a header": {[]byte{1}, "no header"},
	} {
		_, err := NewHost().Batch(c.frame)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, in := range map[string][]byte{"cut header": {1, 2}, "cut body": batch(1, nil, inbound(0, 1))[:30]} {
		if err := NewHost().Serve(bytes.NewReader(in), new(bytes.Buffer)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if err := NewHost().Serve(bytes.NewReader(nil), new(bytes.Buffer)); err != nil {
		t.Errorf("clean end: %v", err)
	}
}

func FuzzBatch(f *testing.F) {
	tail := append([]byte(facts), line(77, 1)...)
	f.Add(batch(10, tail, configure(3), page(uint32(len(facts)), 1), rec(evFleet, 3, 0, 0, 0, 0, 2), inbound(3, 5)))
	f.Add(batch(1, nil, rec(evEnded, 0)))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, frame []byte) {
		reply, err := NewHost().Batch(frame) // must not panic
		if err == nil && int(u32(reply, 0)) != len(reply) {
			t.Errorf("reply of %d bytes says %d", len(reply), u32(reply, 0))
		}
	})
}
