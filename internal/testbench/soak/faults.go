package soak

// This file injects each kind of fault except ShutdownFaults, which is in shutdownfaults.go.

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"plankrouter/internal/faultinjection"
	"plankrouter/internal/testbench/fakes"
)

// injectFault injects a fault and returns once it is over.
func (w *environment) injectFault(ctx context.Context, t Fault) {
	n, s, v := t.Target%len(w.sidecars), at(w.sidecars, t.Target), at(w.servers, t.Target)
	pause := func() { _ = fakes.Pause(ctx, t.For) }
	switch t.Kind {
	case Terminate, Crash, HandOver, ShutdownFaults:
		if !s.claim() {
			return
		}
		defer s.release()
		w.injectProcessFault(ctx, t, s)
	case Reload, ReloadBurst, ConfigFails: // unlike other faults of the process, these may coincide with any of them
		w.injectProcessFault(ctx, t, s)
	case AcceptFails, ConnectFails, Interrupted, DiskFails:
		w.failSystemCalls(ctx, t, s, pause)
	case SlowConnects:
		w.slowConnects(t, s, pause)
	case DisconnectDuringStall:
		w.disconnectDuringStall(ctx, n, s)
	case Pause:
		p := s.currentProcess()
		p.Signal(syscall.SIGSTOP)
		pause()
		p.Signal(syscall.SIGCONT)
	case CordonOrder:
		w.injectCordonOrder(ctx, t, n, s, v)
	case ClockStep:
		w.stepClocks(pick(t.Draw, -time.Hour, -5*time.Second, 5*time.Second, time.Hour))
	case Silent, Down, Late:
		w.outage(t.Kind, pause)
	case CutAnswers, Dribble:
		w.corruptResponses(t.Kind, v, pause)
	case Disconnect:
		w.clients[n].setAllDisconnect(true)
		pause()
		w.clients[n].setAllDisconnect(false)
	case Uploads:
		w.clients[n].sendTogether(1+int(t.Draw*maxUploads), sendsLongBody)
	case Flood:
		unanswered := w.clients[n].flood(ctx, int(t.Draw*maxFlood), badClientWithin)
		w.updateRecord(func(r *record) { r.unansweredPartial += unanswered })
	default:
		w.injectServerFault(t, v, pause)
	}
}

// failSystemCalls makes system calls of a sidecar fail, or interrupts them, for the duration of the fault.
func (w *environment) failSystemCalls(ctx context.Context, t Fault, s *sidecar, pause func()) {
	switch t.Kind {
	case AcceptFails:
		w.fail(s, faultinjection.Accept, pick(t.Draw, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.EPROTO), pause)
	case ConnectFails:
		w.fail(s, faultinjection.Connect, pick(t.Draw, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENETUNREACH, syscall.ENFILE), pause)
	case Interrupted:
		w.interrupt(ctx, s, t.For)
	case DiskFails:
		errno := pick(t.Draw, syscall.EIO, syscall.ENOSPC)
		s.control.Fail(faultinjection.SyncFile, errno, -1)
		s.control.Fail(faultinjection.ReadFile, syscall.EIO, -1)
		w.fail(s, faultinjection.WriteFile, errno, pause)
		s.control.Clear(faultinjection.SyncFile)
		s.control.Clear(faultinjection.ReadFile)
	}
}

// stepClocks steps the wall clock of all sidecars.
func (w *environment) stepClocks(step time.Duration) {
	total := w.offset.Add(int64(step))
	for _, s := range w.sidecars {
		s.control.StepClock(time.Duration(total))
	}
}

func pick[T any](draw float64, from ...T) T { return from[int(draw*float64(len(from)))] }

// slowConnects delays the establishment of connections to a sidecar's servers. In half of the cases it also makes the servers
// reset open connections when the next request arrives on them, so that retries are sent on new connections.
func (w *environment) slowConnects(t Fault, s *sidecar, pause func()) {
	delay := (1 + t.Draw) / 2 * float64(min(w.variant.connectTimeout-slowConnectMargin, maxSlowConnect))
	s.control.Delay(faultinjection.SlowConnect, time.Duration(delay))
	defer s.control.Clear(faultinjection.SlowConnect)
	if t.Target%2 == 0 {
		for _, v := range w.servers {
			v.ResetOpenConns()
		}
	}
	pause()
}

// fail makes an operation of a sidecar fail with errno until pause returns.
func (w *environment) fail(s *sidecar, o faultinjection.Op, errno syscall.Errno, pause func()) {
	s.control.Fail(o, errno, -1)
	pause()
	s.control.Clear(o)
}

// interrupt makes a sidecar's polls and peeks of sockets fail with EINTR for the given duration, a few in a row every
// interruptEvery.
func (w *environment) interrupt(ctx context.Context, s *sidecar, duration time.Duration) {
	for began := time.Now(); time.Since(began) < duration; {
		s.control.Fail(faultinjection.Poll, syscall.EINTR, interruptions)
		s.control.Fail(faultinjection.Peek, syscall.EINTR, interruptions)
		if fakes.Pause(ctx, interruptEvery) != nil {
			break
		}
	}
	s.control.Clear(faultinjection.Poll)
	s.control.Clear(faultinjection.Peek)
}

// injectProcessFault injects a fault that ends, replaces or reloads a sidecar's process.
func (w *environment) injectProcessFault(ctx context.Context, t Fault, s *sidecar) {
	switch t.Kind {
	case Terminate:
		s.terminate(ctx)
	case ShutdownFaults:
		w.shutdownUnderFaults(ctx, t, s)
	case Crash:
		s.crash(ctx, time.Duration(t.Draw*float64(time.Second)))
	case HandOver:
		s.handOver(ctx)
	case ConfigFails:
		s.control.Fail(faultinjection.ReadConfig, pick(t.Draw, syscall.ENFILE, syscall.EIO), -1)
		w.reload(s, t)
		_ = fakes.Pause(ctx, t.For)
		s.control.Clear(faultinjection.ReadConfig)
	case Reload:
		w.reload(s, t)
	case ReloadBurst:
		for i := range 4 {
			w.reload(s, t)
			_ = fakes.Pause(ctx, time.Duration(i)*30*time.Millisecond)
		}
	}
}

// reload writes a changed configuration and sends the sidecar SIGHUP.
func (w *environment) reload(s *sidecar, t Fault) {
	w.reconfigure(s, t, nil)
	s.signal(syscall.SIGHUP)
}

// reconfigure writes a changed configuration with the given classes, without a reload; nil = those of the last call, so that a
// reload that coincides with a fault that has changed them keeps the change.
func (w *environment) reconfigure(s *sidecar, t Fault, classes []class) {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.edits++
	if classes != nil {
		s.classes = classes
	} else if s.classes == nil {
		s.classes = w.classes
	}
	to := w.discoveries[(int(t.Draw*10)+s.edits)%len(w.discoveries)]
	if err := s.configure(to.Address(), w.options.Seed+uint64(s.number), w.editWith(s.edits, s.classes)); err != nil {
		s.addFault("configuration: %v", err)
	}
}

// injectCordonOrder cordons a server at a sidecar through its admin interface, and uncordons it after the fault's duration.
func (w *environment) injectCordonOrder(ctx context.Context, t Fault, n int, s *sidecar, v *serverSlot) {
	server := v.ID()
	key := serverAtSidecar{n, server}
	if _, active := w.ordered.LoadOrStore(key, true); active { // the first of two overlapping orders to end would revoke the other
		return
	}
	defer w.ordered.Delete(key)
	if s.order("disable", server) != 200 {
		return
	}
	var number int
	w.updateRecord(func(r *record) {
		number = len(r.orders)
		r.orders = append(r.orders, order{sidecar: n, server: server, acknowledgedAt: time.Now()})
	})
	_ = fakes.Pause(ctx, t.For)
	now := time.Now()
	for range 40 { // the sidecar may be starting, or its disk may fail
		if s.order("enable", server) == 200 {
			w.updateRecord(func(r *record) { r.orders[number].revokedAt = now })
			return
		}
		_ = fakes.Pause(ctx, 100*time.Millisecond)
		now = time.Now()
	}
}

// outage keeps both discoveries from sending changes, or delays the changes, until pause returns.
func (w *environment) outage(kind Kind, pause func()) {
	from := time.Now()
	set := func(on bool) {
		for _, d := range w.discoveries {
			switch kind {
			case Silent:
				d.DropResponses(on)
			case Down:
				_ = d.SetDown(on)
			case Late:
				delay := time.Duration(0)
				if on {
					delay = listDelay
				}
				d.SetDelay(delay)
			}
		}
	}
	set(true)
	pause()
	set(false)
	w.updateRecord(func(r *record) { r.outages = append(r.outages, outage{kind, from, time.Now()}) })
}

// corruptResponses makes a server's proxy, or all proxies if the server has none, corrupt responses until pause returns.
func (w *environment) corruptResponses(kind Kind, v *serverSlot, pause func()) {
	set := func(on bool) {
		for _, s := range w.servers {
			if s.proxy == nil || v.proxy != nil && s != v {
				continue
			}
			if kind == CutAnswers {
				s.proxy.cut.Store(on)
			} else {
				s.proxy.dribble.Store(on)
			}
		}
	}
	set(true)
	pause()
	set(false)
}

// injectServerFault injects a fault of a server, unless the server already has one.
func (w *environment) injectServerFault(t Fault, v *serverSlot, pause func()) {
	if !v.faulty.CompareAndSwap(false, true) {
		return
	}
	defer v.faulty.Store(false)
	behave := func(how func(*fakes.Behaviour)) {
		v.ChangeBehaviour(how)
		pause()
		v.SetBehaviour(fakes.Behaviour{})
	}
	switch t.Kind {
	case Restart:
		w.restart(v, v.ID(), pause)
	case Replace:
		w.replace(v, pause)
	case Vanish:
		_ = v.SetSilent(true)
		pause()
		_ = v.SetSilent(false)
	case ResetOpenConns:
		v.ResetOpenConns()
		if v.proxy != nil {
			v.proxy.reset()
		}
	case Pieces:
		pieces := fakes.Pieces{
			Length: longBody + int(t.Draw*maxExtraBody), Size: minPiece, Pause: 60 * time.Millisecond,
			Framing: pick(t.Draw, fakes.ByLength, fakes.InChunks, fakes.ToEnd),
		}
		behave(func(b *fakes.Behaviour) { b.Pieces = &pieces })
	case Pauses:
		pauses := drawPauses(t)
		behave(func(b *fakes.Behaviour) { b.Pieces = &pauses })
	case Stall:
		behave(func(b *fakes.Behaviour) { b.Stall = true })
	case Decline:
		behave(func(b *fakes.Behaviour) { b.Decline = true })
	case ProbesFail:
		behave(func(b *fakes.Behaviour) { b.Probes = fakes.ProbesReset })
	case Slow:
		behave(func(b *fakes.Behaviour) { b.Slowdown = slowTimes })
	}
}

// drawPauses returns how a server pauses in long responses: before the body, or between parts of it.
func drawPauses(t Fault) fakes.Pieces {
	length := longBody + 1 + int(t.Draw*maxExtraBody)
	p := fakes.Pieces{Length: length, Size: length, Framing: pick(t.Draw, fakes.InChunks, fakes.ToEnd, fakes.ByLength)}
	switch t.Target % 3 {
	case 0:
		p.FirstPause = lateBodyPause
	case 1:
		p.Size, p.Pause = length/3+1, partPause
	default:
		p.Size, p.FirstPause, p.Pause = length/2+1, lumpPause, longLumpPause
	}
	return p
}

// restart ends a server's process and starts a cold one, which discovery lists at once.
func (w *environment) restart(v *serverSlot, id string, pause func()) {
	v.Kill()
	pause()
	err := v.Start(id)
	for range startAttempts { // its address may still be in use by the process that has just ended
		if err == nil {
			break
		}
		time.Sleep(startPause)
		err = v.Start(id)
	}
	if err != nil {
		w.updateRecord(func(r *record) { r.faults["harness"] = append(r.faults["harness"], err.Error()) })
		return
	}
	w.updateRecord(func(r *record) { r.starts[id] = append(r.starts[id], time.Now()) })
	w.updateDiscovery(w.endpoint(v, fakes.Serving, w.wall().UnixMilli()))
}

// replace drains a server, ends it, and starts another with a new id in its place.
func (w *environment) replace(v *serverSlot, pause func()) {
	// A draining server fails probes, but still serves requests.
	v.ChangeBehaviour(func(b *fakes.Behaviour) { b.Probes = fakes.ProbesUnavailable })
	defer v.SetBehaviour(fakes.Behaviour{})
	leave := w.endpoint(v, fakes.Draining, 0)
	w.updateRecord(func(r *record) { r.draining = append(r.draining, drainingServer{leave.ID, time.Now()}) })
	w.updateDiscovery(leave)
	pause()
	v.Kill()
	leave.Phase = fakes.Deleted
	w.updateDiscovery(leave)
	v.processes++
	place, _, _ := strings.Cut(leave.ID, "-")
	w.restart(v, fmt.Sprintf("%s-%d", place, v.processes), func() {})
}
