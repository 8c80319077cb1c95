// Package simwire is the simulator's binary protocol: frames of records. It translates them to and from the types of package
// policy and decides nothing.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"plankrouter/internal/config"
	"plankrouter/internal/loadreport"
	"plankrouter/policy"
)

const (
	batchHeader = 16
	replyHeader = 8
	eventSize   = 48
	actionSize  = 24
	lineSize    = 23
	maxFrame    = 1 << 30 // a longer frame is taken for a corrupt length
)

// Event codes.
const (
	evConfigure = 1 + iota
	evFleet
	evInbound
	evHeadReceived
	evEnded
	evDropped
	evDue
	evCheckResult
	evMessage
	evPowerOff
	evPage
)

// Action codes.
const (
	acDispatch = 65 + iota
	acRefuse
	acEndFailed
	acDropAttempt
	acArm
	acCheck
	acDisconnect
	acSignal
	acTrace
	acCrash
	acObserve
	acRefresh
)

var outcomes = map[uint16]policy.Status{
	0: policy.OK, 13: policy.Failed, 8: policy.Declined, 4: policy.TimedOut, 14: policy.ConnectFailed,
	10: policy.Reset, 1: policy.Cancelled, 9: policy.NotSent,
}

type instance struct {
	balancer *policy.Balancer
	fields   []loadreport.Field
}

// Host runs the instances that one stream of batches speaks of.
type Host struct {
	live    map[uint16]*instance
	pages   [16][]policy.ServerInfo
	actions []policy.Action
	reply   []byte
	tail    []byte
}

// NewHost returns a host without instances.
func NewHost() *Host { return &Host{live: map[uint16]*instance{}} }

// Serve answers batches from r on w until r ends. A clean end between frames is no error.
func (h *Host) Serve(r io.Reader, w io.Writer) error {
	var frame []byte
	for n := 0; ; n++ {
		var head [batchHeader]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("batch %d: header: %w", n, err)
		}
		size := int(binary.LittleEndian.Uint32(head[8:]))
		if size < batchHeader || size > maxFrame {
			return fmt.Errorf("batch %d: length %d is out of bounds", n, size)
		}
		if cap(frame) < size {
			frame = make([]byte, size)
		}
		frame = frame[:size]
		copy(frame, head[:])
		if _, err := io.ReadFull(r, frame[batchHeader:]); err != nil {
			return fmt.Errorf("batch %d: body of %d bytes: %w", n, size-batchHeader, err)
		}
		out, err := h.Batch(frame)
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if _, err := w.Write(out); err != nil {
			return fmt.Errorf("batch %d: reply: %w", n, err)
		}
	}
}

// Batch answers one whole frame. The reply is valid until the next call.
func (h *Host) Batch(frame []byte) ([]byte, error) {
	if len(frame) < batchHeader {
		return nil, fmt.Errorf("frame of %d bytes has no header", len(frame))
	}
	now := f64(frame, 0)
	count := int(binary.LittleEndian.Uint32(frame[12:]))
	if count > (len(frame)-batchHeader)/eventSize {
		return nil, fmt.Errorf("%d records do not fit into %d bytes", count, len(frame))
	}
	tail := frame[batchHeader+count*eventSize:]
	h.reply = append(h.reply[:0], make([]byte, replyHeader)...)
	h.tail = h.tail[:0]
	written := 0
	for i := range count {
		record := frame[batchHeader+i*eventSize:][:eventSize]
		n, err := h.event(now, record, tail)
		if err != nil {
			return nil, fmt.Errorf("record %d at byte %d: %w", i, batchHeader+i*eventSize, err)
		}
		written += n
	}
	h.reply = append(h.reply, h.tail...)
	binary.LittleEndian.PutUint32(h.reply, uint32(len(h.reply)))
	binary.LittleEndian.PutUint32(h.reply[4:], uint32(written))
	return h.reply, nil
}

// event deals with one record, and returns how many actions it has led to.
func (h *Host) event(now float64, record, tail []byte) (int, error) {
	code := u16(record, 0)
	id := u16(record, 2)
	switch {
	case code == evPage:
		return 0, h.page(record, tail)
	case code == evConfigure:
		return h.configure(now, id, record, tail)
	case code < evConfigure || code > evPage:
		return 0, fmt.Errorf("unknown event code %d", code)
	}
	in := h.live[id]
	if in == nil {
		return 0, fmt.Errorf("event code %d for instance %d, which is not running", code, id)
	}
	switch code {
	case evPowerOff:
		delete(h.live, id)
		return 0, nil
	case evMessage, evHeadReceived: // no messages between instances and no streamed classes: nothing to decide on
		return 0, nil
	}
	e, err := h.decode(code, in, record)
	if err != nil {
		return 0, err
	}
	return h.handle(now, id, in, &e)
}

// configure starts an instance with its settings.
func (h *Host) configure(now float64, id uint16, record, tail []byte) (int, error) {
	raw, err := cut(tail, record, 12, 1)
	if err != nil {
		return 0, fmt.Errorf("settings: %w", err)
	}
	cfg, fields, err := ParseConfig(raw)
	if err != nil {
		return 0, fmt.Errorf("settings: %w", err)
	}
	balancer, err := policy.New(cfg, binary.LittleEndian.Uint64(record[4:]))
	if err != nil {
		return 0, fmt.Errorf("settings: %w", err)
	}
	in := &instance{balancer, fields}
	h.live[id] = in
	return h.handle(now, id, in, &policy.Event{Kind: policy.Started})
}

// decode makes a record an event of the policy.
func (h *Host) decode(code uint16, in *instance, record []byte) (e policy.Event, err error) {
	switch code {
	case evFleet:
		return h.decodeList(record)
	case evInbound:
		e = policy.Event{
			Kind: policy.RequestArrived, Request: policy.RequestID(u32(record, 4)), TimeLeft: f64(record, 8),
			Class: int(record[24]), Tenant: int(u32(record, 25)),
			ClientRetry: record[29]&2 != 0,
		}
	case evEnded:
		e = policy.Event{
			Kind: policy.AttemptEnded, Request: policy.RequestID(u32(record, 4)), Attempt: int(record[8]),
			Server: policy.ServerID(u32(record, 9)), Elapsed: f64(record, 13), Final: record[21] != 0,
		}
		if e.Status, err = status(record, 22); err != nil {
			return e, err
		}
		e.Report, err = in.report(record[24:])
	case evDropped:
		e = policy.Event{Kind: policy.ClientGone, Request: policy.RequestID(u32(record, 4))}
	case evDue:
		e = policy.Event{Kind: policy.TimerFired, Timer: binary.LittleEndian.Uint64(record[4:])}
	case evCheckResult:
		e = policy.Event{Kind: policy.ProbeEnded, Server: policy.ServerID(u32(record, 4)), Elapsed: f64(record, 10)}
		if e.Status, err = status(record, 8); err != nil {
			return e, err
		}
		e.Report, err = in.report(record[18:])
	}
	return e, err
}

// The forms of a list's event.
const (
	listPartial = 0
	listFailed  = 3 // 1 and 2 are complete lists
)

// decodeList makes a record with a list of servers an event of the policy.
func (h *Host) decodeList(record []byte) (policy.Event, error) {
	form := record[8]
	if form == listFailed {
		return policy.Event{Kind: policy.SubscriptionFailed}, nil
	}
	if form > listFailed {
		return policy.Event{}, fmt.Errorf("unknown list form %d", form)
	}
	slot := u32(record, 4)
	if slot >= uint32(len(h.pages)) {
		return policy.Event{}, fmt.Errorf("list number %d is out of bounds", slot)
	}
	return policy.Event{Kind: policy.EndpointsUpdated, Complete: form != listPartial, Servers: h.pages[slot]}, nil
}

func (h *Host) handle(now float64, id uint16, in *instance, e *policy.Event) (int, error) {
	h.actions = in.balancer.Handle(now, e, h.actions[:0])
	for i := range h.actions {
		h.action(id, &h.actions[i])
	}
	return len(h.actions), nil
}

func (h *Host) action(id uint16, a *policy.Action) {
	var b [actionSize]byte
	le := binary.LittleEndian
	code := func(c uint16) { le.PutUint16(b[0:], c); le.PutUint16(b[2:], id) }
	switch a.Kind {
	case policy.StartAttempt:
		code(acDispatch)
		le.PutUint32(b[4:], uint32(a.Request))
		le.PutUint32(b[8:], uint32(a.Server))
		le.PutUint64(b[12:], math.Float64bits(a.After))
	case policy.CancelAttempt:
		code(acDropAttempt)
		le.PutUint32(b[4:], uint32(a.Request))
		b[8] = byte(a.Attempt)
	case policy.RejectRequest:
		code(acRefuse)
		le.PutUint32(b[4:], uint32(a.Request))
		le.PutUint64(b[8:], math.Float64bits(a.After))
	case policy.FailRequest:
		code(acEndFailed)
		le.PutUint32(b[4:], uint32(a.Request))
	case policy.SendProbe:
		code(acCheck)
		le.PutUint32(b[4:], uint32(a.Server))
	case policy.SetTimer:
		code(acArm)
		le.PutUint64(b[4:], a.Timer)
		le.PutUint64(b[12:], math.Float64bits(a.After))
	case policy.Subscribe:
		code(acObserve)
		b[4] = 1
	case policy.Log:
		code(acTrace)
		le.PutUint32(b[4:], uint32(len(h.tail)))
		le.PutUint32(b[8:], uint32(len(a.Text)))
		h.tail = append(h.tail, a.Text...)
	default:
		panic(fmt.Sprintf("wire: unknown action kind %d", a.Kind)) // a fault of this program, not of its input
	}
	h.reply = append(h.reply, b[:]...)
}

// page stores a numbered list for the fleet events that follow. Each gets fresh memory only if it grows.
func (h *Host) page(record, tail []byte) error {
	slot := u32(record, 2)
	if slot >= uint32(len(h.pages)) {
		return fmt.Errorf("list number %d is out of bounds", slot)
	}
	raw, err := cut(tail, record, 6, lineSize)
	if err != nil {
		return fmt.Errorf("list %d: %w", slot, err)
	}
	lines := h.pages[slot][:0]
	for ; len(raw) >= lineSize; raw = raw[lineSize:] {
		s := policy.ServerInfo{
			ID: policy.ServerID(u32(raw, 0)), Zone: int(u16(raw, 4)), Cell: int(u16(raw, 8)),
			StartedAt: f64(raw, 15),
		}
		switch raw[10] {
		case 0:
			s.Health = policy.Gone
		case 1:
			s.Health = policy.Ready
		case 2:
			s.Health = policy.Draining
		default:
			return fmt.Errorf("list %d: unknown health %d", slot, raw[10])
		}
		lines = append(lines, s)
	}
	h.pages[slot] = lines
	return nil
}

func (in *instance) report(b []byte) (policy.Report, error) {
	var r policy.Report
	n := int(b[0])
	if n > 4 {
		return r, fmt.Errorf("load report of %d values", n)
	}
	for i := range min(n, len(in.fields)) {
		in.fields[i].Put(&r, float64(math.Float32frombits(u32(b, 1+4*i))))
	}
	return r, nil
}

func status(record []byte, at int) (policy.Status, error) {
	s, ok := outcomes[u16(record, at)]
	if !ok {
		return 0, fmt.Errorf("unknown outcome %d", u16(record, at))
	}
	return s, nil
}

// cut returns the part of the tail that the reference at rec[at] names, in units of size bytes.
func cut(tail, record []byte, at, size int) ([]byte, error) {
	off, n := int(u32(record, at)), int(u32(record, at+4))
	if off > len(tail) || n > (len(tail)-off)/size {
		return nil, fmt.Errorf("%d entries at %d lie outside the tail of %d bytes", n, off, len(tail))
	}
	return tail[off : off+n*size], nil
}

func u16(b []byte, at int) uint16  { return binary.LittleEndian.Uint16(b[at:]) }
func u32(b []byte, at int) uint32  { return binary.LittleEndian.Uint32(b[at:]) }
func f64(b []byte, at int) float64 { return math.Float64frombits(binary.LittleEndian.Uint64(b[at:])) }

// ParseConfig reads the settings of an instance and the order of the values in its load reports.
func ParseConfig(raw []byte) (policy.Config, []loadreport.Field, error) {
	s, err := config.ParseSettings(raw)
	if err != nil {
		return policy.Config{}, nil, err
	}
	cfg, err := s.PolicyConfig()
	return cfg, loadreport.Fields(s.Report.Names), err
}
