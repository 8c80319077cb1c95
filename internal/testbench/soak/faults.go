package soak

// How each kind of fault is played; drawn ends of processes stand in shutdownfaults.go.

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"plankrouter/internal/faultinjection"
	"plankrouter/internal/testbench/fakes"
)

// playFault plays a fault and returns when it is over.
func (w *world) playFault(ctx context.Context, t Fault) {
	n, s, v := t.Target%len(w.sidecars), at(w.sidecars, t.Target), at(w.servers, t.Target)
	pause := func() { _ = fakes.Pause(ctx, t.For) }
	switch t.Kind {
	case Terminate, Crash, HandOver, AimedEnd:
		if !s.claim() {
			return
		}
		defer s.release()
		w.playProcessFault(ctx, t, s)
	case Reload, ReloadBurst, ConfigFails: // these may coincide with any other fault of the process
		w.playProcessFault(ctx, t, s)
	case AcceptFails, ConnectFails, Interrupted, DiskFails:
		w.failSystemCalls(ctx, t, s, pause)
	case SlowConnects:
		w.slowConnects(t, s, pause)
	case LeaveHeld:
		w.leaveHeld(ctx, n, s)
	case Pause:
		p := s.present()
		p.Signal(syscall.SIGSTOP)
		pause()
		p.Signal(syscall.SIGCONT)
	case OperatorsOrder:
		w.playOperatorOrder(ctx, t, n, s, v)
	case ClockStep:
		w.stepClocks(pick(t.Draw, -time.Hour, -5*time.Second, 5*time.Second, time.Hour))
	case Silent, Down, Late:
		w.outage(t.Kind, pause)
	case CutAnswers, Dribble:
		w.spoil(t.Kind, v, pause)
	case Leave:
		w.clients[n].setAllLeave(true)
		pause()
		w.clients[n].setAllLeave(false)
	case Flood:
		owed := w.clients[n].flood(ctx, int(t.Draw*maxFlood), badClientWithin)
		w.note(func(r *record) { r.unansweredPartial += owed })
	default:
		w.playServerFault(t, v, pause)
	}
}

// failSystemCalls has system calls of a sidecar fail, or be interrupted, for the time of the fault.
func (w *world) failSystemCalls(ctx context.Context, t Fault, s *sidecar, pause func()) {
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
		s.control.Heal(faultinjection.SyncFile)
		s.control.Heal(faultinjection.ReadFile)
	}
}

// stepClocks steps the wall clock of all sidecars.
func (w *world) stepClocks(step time.Duration) {
	total := w.offset.Add(int64(step))
	for _, s := range w.sidecars {
		s.control.Step(time.Duration(total))
	}
}

func pick[T any](draw float64, from ...T) T { return from[int(draw*float64(len(from)))] }

// slowConnects has connections to a sidecar's servers come up late, half of the time as those that it has are reset under their next request, so
// that repeats go out on new ones.
func (w *world) slowConnects(t Fault, s *sidecar, pause func()) {
	late := (1 + t.Draw) / 2 * float64(min(w.variant.connect-slowConnectRest, maxSlowConnect))
	s.control.Hold(faultinjection.SlowConnect, time.Duration(late))
	defer s.control.Heal(faultinjection.SlowConnect)
	if t.Target%2 == 0 {
		for _, v := range w.servers {
			v.ResetOpenConns()
		}
	}
	pause()
}

// fail lets a sidecar's operation fail until pause returns.
func (w *world) fail(s *sidecar, o faultinjection.Op, errno syscall.Errno, pause func()) {
	s.control.Fail(o, errno, -1)
	pause()
	s.control.Heal(o)
}

// interrupt has signals interrupt a sidecar's looks at its sockets, a few in a row now and then.
func (w *world) interrupt(ctx context.Context, s *sidecar, long time.Duration) {
	for began := time.Now(); time.Since(began) < long; {
		s.control.Fail(faultinjection.Poll, syscall.EINTR, interruptions)
		s.control.Fail(faultinjection.Peek, syscall.EINTR, interruptions)
		if fakes.Pause(ctx, interruptEvery) != nil {
			break
		}
	}
	s.control.Heal(faultinjection.Poll)
	s.control.Heal(faultinjection.Peek)
}

// playProcessFault plays what ends, replaces or reloads a sidecar's process.
func (w *world) playProcessFault(ctx context.Context, t Fault, s *sidecar) {
	switch t.Kind {
	case Terminate:
		s.terminate(ctx)
	case AimedEnd:
		w.aimedEnd(ctx, t, s)
	case Crash:
		s.crash(ctx, time.Duration(t.Draw*float64(time.Second)))
	case HandOver:
		s.handOver(ctx)
	case ConfigFails:
		s.control.Fail(faultinjection.ReadConfig, pick(t.Draw, syscall.ENFILE, syscall.EIO), -1)
		w.reload(s, t)
		_ = fakes.Pause(ctx, t.For)
		s.control.Heal(faultinjection.ReadConfig)
	case Reload:
		w.reload(s, t)
	case ReloadBurst:
		for i := range 4 {
			w.reload(s, t)
			_ = fakes.Pause(ctx, time.Duration(i)*30*time.Millisecond)
		}
	}
}

// reload gives the sidecar another configuration.
func (w *world) reload(s *sidecar, t Fault) {
	w.reconfigure(s, t, w.classes)
	s.signal(syscall.SIGHUP)
}

// reconfigure writes the sidecar another configuration, with these classes.
func (w *world) reconfigure(s *sidecar, t Fault, classes []class) {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.edits++
	to := w.discoveries[(int(t.Draw*10)+s.edits)%len(w.discoveries)]
	if err := s.configure(to.Address(), w.options.Seed+uint64(s.number), w.editWith(s.edits, classes)); err != nil {
		s.fault("configuration: %v", err)
	}
}

// playOperatorOrder has operators take a server out at a sidecar, and put it back.
func (w *world) playOperatorOrder(ctx context.Context, t Fault, n int, s *sidecar, v *serverPlace) {
	server := v.ID()
	of := learnedServer{n, server}
	if _, under := w.ordered.LoadOrStore(of, true); under { // one order's end is not another's
		return
	}
	defer w.ordered.Delete(of)
	if s.order("disable", server) != 200 {
		return
	}
	var number int
	w.note(func(r *record) {
		number = len(r.orders)
		r.orders = append(r.orders, order{sidecar: n, server: server, acknowledgedAt: time.Now()})
	})
	_ = fakes.Pause(ctx, t.For)
	now := time.Now()
	for range 40 { // the sidecar may be starting, or its disk may fail
		if s.order("enable", server) == 200 {
			w.note(func(r *record) { r.orders[number].revokedAt = now })
			return
		}
		_ = fakes.Pause(ctx, 100*time.Millisecond)
		now = time.Now()
	}
}

// outage keeps discovery from telling what it has.
func (w *world) outage(kind Kind, pause func()) {
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
	w.note(func(r *record) { r.outages = append(r.outages, outage{kind, from, time.Now()}) })
}

// spoil has a server's proxy spoil answers, or all proxies where the server has none.
func (w *world) spoil(kind Kind, v *serverPlace, pause func()) {
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

// playServerFault plays a server's fault. A server has one at a time.
func (w *world) playServerFault(t Fault, v *serverPlace, pause func()) {
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
	case ResetKept:
		v.ResetOpenConns()
		if v.proxy != nil {
			v.proxy.reset()
		}
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

// restart ends a server's process and starts one, cold, and discovery lists it at once.
func (w *world) restart(v *serverPlace, id string, pause func()) {
	v.Kill()
	pause()
	err := v.Start(id)
	for range startTries { // its address may be held for a moment by what has just ended there
		if err == nil {
			break
		}
		time.Sleep(startPause)
		err = v.Start(id)
	}
	if err != nil {
		w.note(func(r *record) { r.faults["harness"] = append(r.faults["harness"], err.Error()) })
		return
	}
	w.note(func(r *record) { r.starts[id] = append(r.starts[id], time.Now()) })
	w.updateDiscovery(w.endpoint(v, fakes.Serving, w.wall().UnixMilli()))
}

// replace has a server drain, ends it, and starts another under a new id in its place.
func (w *world) replace(v *serverPlace, pause func()) {
	v.ChangeBehaviour(func(b *fakes.Behaviour) { b.Probes = fakes.ProbesUnavailable }) // as one that drains does, which serves what it gets
	defer v.SetBehaviour(fakes.Behaviour{})
	leave := w.endpoint(v, fakes.Draining, 0)
	w.note(func(r *record) { r.draining = append(r.draining, drainingServer{leave.ID, time.Now()}) })
	w.updateDiscovery(leave)
	pause()
	v.Kill()
	leave.Phase = fakes.Deleted
	w.updateDiscovery(leave)
	v.processes++
	place, _, _ := strings.Cut(leave.ID, "-")
	w.restart(v, fmt.Sprintf("%s-%d", place, v.processes), func() {})
}
