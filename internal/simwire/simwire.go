// Package simwire implements the simulator's binary protocol, whose frames consist of records. It translates event records to
// events of package policy and the policy's actions to action records, and makes no decisions.
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

// Sizes in the protocol, in bytes.
const (
	batchHeaderSize = 16
	replyHeaderSize = 8
	eventSize       = 48
	actionSize      = 24
	serverEntrySize = 23
	maxFrame        = 1 << 30 // a larger length is rejected as corrupt
)

// Event codes.
const (
	evConfigure = 1 + iota
	evEndpoints
	evRequestArrived
	evHeadReceived
	evAttemptEnded
	evClientGone
	evTimerFired
	evProbeEnded
	evMessage
	evStop
	evList
)

// Action codes.
const (
	acStartAttempt = 65 + iota
	acRejectRequest
	acFailRequest
	acCancelAttempt
	acSetTimer
	acSendProbe
	acDisconnect
	acSignal
	acLog
	acCrash
	acSubscribe
	acRefresh
)

// statuses maps the outcome codes of attempts and probes.
var statuses = map[uint16]policy.Status{
	0: policy.OK, 13: policy.Failed, 8: policy.Declined, 4: policy.TimedOut, 14: policy.ConnectFailed,
	10: policy.Reset, 1: policy.Cancelled, 9: policy.NotSent,
}

// instance is one simulated load balancer instance.
type instance struct {
	balancer *policy.Balancer
	fields   []loadreport.Field // the order of the values in load reports
}

// Host runs the instances of one stream of batches.
type Host struct {
	instances map[uint16]*instance    // by id
	lists     [16][]policy.ServerInfo // by list number; see storeList
	actions   []policy.Action
	reply     []byte
	replyTail []byte // texts of Log actions, which follow the action records in the reply
}

// NewHost returns a host without instances.
func NewHost() *Host { return &Host{instances: map[uint16]*instance{}} }

// Serve reads batches from r and writes the replies to w until r ends. An end between two frames is not an error.
func (h *Host) Serve(r io.Reader, w io.Writer) error {
	var frame []byte
	for n := 0; ; n++ {
		var head [batchHeaderSize]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("batch %d: header: %w", n, err)
		}
		size := int(binary.LittleEndian.Uint32(head[8:]))
		if size < batchHeaderSize || size > maxFrame {
			return fmt.Errorf("batch %d: length %d is out of bounds", n, size)
		}
		if cap(frame) < size {
			frame = make([]byte, size)
		}
		frame = frame[:size]
		copy(frame, head[:])
		if _, err := io.ReadFull(r, frame[batchHeaderSize:]); err != nil {
			return fmt.Errorf("batch %d: body of %d bytes: %w", n, size-batchHeaderSize, err)
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

// Batch processes one complete frame and returns the reply, which is valid until the next call.
func (h *Host) Batch(frame []byte) ([]byte, error) {
	if len(frame) < batchHeaderSize {
		return nil, fmt.Errorf("frame of %d bytes has no header", len(frame))
	}
	now := f64(frame, 0)
	count := int(binary.LittleEndian.Uint32(frame[12:]))
	if count > (len(frame)-batchHeaderSize)/eventSize {
		return nil, fmt.Errorf("%d records do not fit into %d bytes", count, len(frame))
	}
	tail := frame[batchHeaderSize+count*eventSize:]
	h.reply = append(h.reply[:0], make([]byte, replyHeaderSize)...)
	h.replyTail = h.replyTail[:0]
	written := 0
	for i := range count {
		record := frame[batchHeaderSize+i*eventSize:][:eventSize]
		n, err := h.handleEvent(now, record, tail)
		if err != nil {
			return nil, fmt.Errorf("record %d at byte %d: %w", i, batchHeaderSize+i*eventSize, err)
		}
		written += n
	}
	h.reply = append(h.reply, h.replyTail...)
	binary.LittleEndian.PutUint32(h.reply, uint32(len(h.reply)))
	binary.LittleEndian.PutUint32(h.reply[4:], uint32(written))
	return h.reply, nil
}

// handleEvent processes one record, and returns the number of actions written to the reply.
func (h *Host) handleEvent(now float64, record, tail []byte) (int, error) {
	code := u16(record, 0)
	id := u16(record, 2)
	switch {
	case code == evList:
		return 0, h.storeList(record, tail)
	case code == evConfigure:
		return h.configure(now, id, record, tail)
	case code < evConfigure || code > evList:
		return 0, fmt.Errorf("unknown event code %d", code)
	}
	inst := h.instances[id]
	if inst == nil {
		return 0, fmt.Errorf("event code %d for instance %d, which is not running", code, id)
	}
	switch code {
	case evStop:
		delete(h.instances, id)
		return 0, nil
	case evMessage, evHeadReceived: // instances send no messages and no class is streamed, so the policy has no use for these
		return 0, nil
	}
	e, err := h.decode(code, inst, record)
	if err != nil {
		return 0, err
	}
	return h.handle(now, id, inst, &e)
}

// configure starts an instance with the settings in the tail.
func (h *Host) configure(now float64, id uint16, record, tail []byte) (int, error) {
	raw, err := tailSection(tail, record, 12, 1)
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
	inst := &instance{balancer, fields}
	h.instances[id] = inst
	return h.handle(now, id, inst, &policy.Event{Kind: policy.Started})
}

// decode translates a record to an event of the policy.
func (h *Host) decode(code uint16, inst *instance, record []byte) (e policy.Event, err error) {
	switch code {
	case evEndpoints:
		return h.decodeList(record)
	case evRequestArrived:
		e = policy.Event{
			Kind: policy.RequestArrived, Request: policy.RequestID(u32(record, 4)), TimeLeft: f64(record, 8),
			Class: int(record[24]), Tenant: int(u32(record, 25)),
			ClientRetry: record[29]&2 != 0,
		}
	case evAttemptEnded:
		e = policy.Event{
			Kind: policy.AttemptEnded, Request: policy.RequestID(u32(record, 4)), Attempt: int(record[8]),
			Server: policy.ServerID(u32(record, 9)), Elapsed: f64(record, 13), Final: record[21] != 0,
		}
		if e.Status, err = status(record, 22); err != nil {
			return e, err
		}
		e.Report, err = inst.report(record[24:])
	case evClientGone:
		e = policy.Event{Kind: policy.ClientGone, Request: policy.RequestID(u32(record, 4))}
	case evTimerFired:
		e = policy.Event{Kind: policy.TimerFired, Timer: binary.LittleEndian.Uint64(record[4:])}
	case evProbeEnded:
		e = policy.Event{Kind: policy.ProbeEnded, Server: policy.ServerID(u32(record, 4)), Elapsed: f64(record, 10)}
		if e.Status, err = status(record, 8); err != nil {
			return e, err
		}
		e.Report, err = inst.report(record[18:])
	}
	return e, err
}

// Forms of an endpoint list event.
const (
	listPartial = 0
	listFailed  = 3 // forms 1 and 2 are complete lists
)

// decodeList translates a record with a list of servers to an event of the policy.
func (h *Host) decodeList(record []byte) (policy.Event, error) {
	form := record[8]
	if form == listFailed {
		return policy.Event{Kind: policy.SubscriptionFailed}, nil
	}
	if form > listFailed {
		return policy.Event{}, fmt.Errorf("unknown list form %d", form)
	}
	slot := u32(record, 4)
	if slot >= uint32(len(h.lists)) {
		return policy.Event{}, fmt.Errorf("list number %d is out of bounds", slot)
	}
	return policy.Event{Kind: policy.EndpointsUpdated, Complete: form != listPartial, Servers: h.lists[slot]}, nil
}

// handle passes the event to the instance's balancer, appends the resulting actions to the reply and returns their number.
func (h *Host) handle(now float64, id uint16, inst *instance, e *policy.Event) (int, error) {
	h.actions = inst.balancer.Handle(now, e, h.actions[:0])
	for i := range h.actions {
		h.appendAction(id, &h.actions[i])
	}
	return len(h.actions), nil
}

// appendAction appends one action record to the reply.
func (h *Host) appendAction(id uint16, a *policy.Action) {
	var b [actionSize]byte
	le := binary.LittleEndian
	code := func(c uint16) { le.PutUint16(b[0:], c); le.PutUint16(b[2:], id) }
	switch a.Kind {
	case policy.StartAttempt:
		code(acStartAttempt)
		le.PutUint32(b[4:], uint32(a.Request))
		le.PutUint32(b[8:], uint32(a.Server))
		le.PutUint64(b[12:], math.Float64bits(a.After))
	case policy.CancelAttempt:
		code(acCancelAttempt)
		le.PutUint32(b[4:], uint32(a.Request))
		b[8] = byte(a.Attempt)
	case policy.RejectRequest:
		code(acRejectRequest)
		le.PutUint32(b[4:], uint32(a.Request))
		le.PutUint64(b[8:], math.Float64bits(a.After))
	case policy.FailRequest:
		code(acFailRequest)
		le.PutUint32(b[4:], uint32(a.Request))
	case policy.SendProbe:
		code(acSendProbe)
		le.PutUint32(b[4:], uint32(a.Server))
	case policy.SetTimer:
		code(acSetTimer)
		le.PutUint64(b[4:], a.Timer)
		le.PutUint64(b[12:], math.Float64bits(a.After))
	case policy.Subscribe:
		code(acSubscribe)
		b[4] = 1
	case policy.Log:
		code(acLog)
		le.PutUint32(b[4:], uint32(len(h.replyTail)))
		le.PutUint32(b[8:], uint32(len(a.Text)))
		h.replyTail = append(h.replyTail, a.Text...)
	default:
		panic(fmt.Sprintf("simwire: unknown action kind %d", a.Kind)) // a bug in this program, not invalid input
	}
	h.reply = append(h.reply, b[:]...)
}

// storeList stores a numbered server list for later evEndpoints events. It reuses the memory of the slot's previous list.
func (h *Host) storeList(record, tail []byte) error {
	slot := u32(record, 2)
	if slot >= uint32(len(h.lists)) {
		return fmt.Errorf("list number %d is out of bounds", slot)
	}
	raw, err := tailSection(tail, record, 6, serverEntrySize)
	if err != nil {
		return fmt.Errorf("list %d: %w", slot, err)
	}
	servers := h.lists[slot][:0]
	for ; len(raw) >= serverEntrySize; raw = raw[serverEntrySize:] {
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
		servers = append(servers, s)
	}
	h.lists[slot] = servers
	return nil
}

// report parses a load report, whose values are in the order of the instance's fields.
func (inst *instance) report(b []byte) (policy.Report, error) {
	var r policy.Report
	n := int(b[0])
	if n > 4 {
		return r, fmt.Errorf("load report of %d values", n)
	}
	for i := range min(n, len(inst.fields)) {
		inst.fields[i].Put(&r, float64(math.Float32frombits(u32(b, 1+4*i))))
	}
	return r, nil
}

// status returns the status for the outcome code at the given offset.
func status(record []byte, at int) (policy.Status, error) {
	s, ok := statuses[u16(record, at)]
	if !ok {
		return 0, fmt.Errorf("unknown outcome %d", u16(record, at))
	}
	return s, nil
}

// tailSection returns the section of the tail that is described at record[at] by its offset in bytes and its number of
// entries of size bytes each.
func tailSection(tail, record []byte, at, size int) ([]byte, error) {
	off, n := int(u32(record, at)), int(u32(record, at+4))
	if off > len(tail) || n > (len(tail)-off)/size {
		return nil, fmt.Errorf("%d entries at %d lie outside the tail of %d bytes", n, off, len(tail))
	}
	return tail[off : off+n*size], nil
}

func u16(b []byte, at int) uint16  { return binary.LittleEndian.Uint16(b[at:]) }
func u32(b []byte, at int) uint32  { return binary.LittleEndian.Uint32(b[at:]) }
func f64(b []byte, at int) float64 { return math.Float64frombits(binary.LittleEndian.Uint64(b[at:])) }

// ParseConfig parses the settings of an instance, and returns the policy's configuration and the order of the values in
// load reports.
func ParseConfig(raw []byte) (policy.Config, []loadreport.Field, error) {
	s, err := config.ParseSettings(raw)
	if err != nil {
		return policy.Config{}, nil, err
	}
	cfg, err := s.PolicyConfig()
	return cfg, loadreport.Fields(s.Report.Names), err
}
