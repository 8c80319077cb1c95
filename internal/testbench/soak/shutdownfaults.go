package soak

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"plankrouter/internal/faultinjection"
	"plankrouter/internal/shutdown"
	"plankrouter/internal/testbench/fakes"
)

const (
	denseClients     = 12
	densePause       = 20 * time.Millisecond // after each answer
	overloadClients  = 150
	overloadPause    = 100 * time.Millisecond
	denseBefore      = 300 * time.Millisecond // of SIGTERM
	lateRests        = 4
	lateWithin       = 700 * time.Millisecond // of the kill, that the rest of a request comes
	stallLength      = shutdown.MaxStall
	maxStallLength   = 165 * time.Millisecond // what was stalled for longer, by the harness's own fault, says nothing
	minStallGap      = 20 * time.Millisecond
	endBeforeKill    = 100 * time.Millisecond // that a last stall ends, at the earliest,
	endAfterKill     = 140 * time.Millisecond // and at the latest
	minSlice         = 2 * time.Millisecond   // for which a process runs between two stalls in a row
	maxSlice         = 30 * time.Millisecond
	unresponsiveLead = 200 * time.Millisecond // before the last accept
	seriesWithin     = 150 * time.Millisecond // of SIGTERM, before or after it, in which other signals come
	seriesClose      = 5 * time.Millisecond   // half of them so close to it
	failAcceptMax    = 60 * time.Millisecond
	lookAfter        = 60 * time.Millisecond // after SIGTERM, at which a hot restart may have happened meanwhile
	shorterPart      = 2                     // one part in so many of the deadlines, where a reload makes them shorter
	groupGone        = 2 * time.Second
)

// signalAfter is a signal that comes so long after SIGTERM, or before it.
type signalAfter struct {
	signal syscall.Signal
	after  time.Duration
}

// shutdownFault is how the end of a process is aimed at.
type shutdownFault struct {
	series      []signalAfter
	stalls      []time.Duration // after SIGTERM, at which the process is stopped for stallLength
	failAccepts time.Duration   // for so long around the last accept; 0 = none does
	failFrom    time.Duration
	hanging     bool // half of the servers hang from shortly before the last accept until the kill
	interrupted bool // looks at sockets end with EINTR around the last accept
	shorter     bool // a reload before SIGTERM makes deadlines shorter
	killAfter   time.Duration
	clients     int           // that send until the kill
	pause       time.Duration // of each, after an answer
	lateRests   int           // clients that have sent half a request, and send its rest shortly before the kill
}

// drawShutdownFault draws the end of a process with that longest deadline. Its edges are SIGTERM, the last accept, the last answer and the kill.
func drawShutdownFault(rng *rand.Rand, longest time.Duration, manyClients bool) shutdownFault {
	e := shutdownFault{clients: denseClients, pause: densePause, lateRests: lateRests, shorter: rng.IntN(6) == 0}
	if manyClients {
		e.clients, e.pause = overloadClients, overloadPause
	}
	if e.shorter {
		longest /= shorterPart
		e.series = append(e.series, signalAfter{syscall.SIGHUP, -time.Duration(rng.Float64() * float64(seriesWithin))})
	}
	plan := shutdown.NewSchedule(longest, 0)
	e.killAfter = killAfter(longest)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2} {
		if rng.IntN(5) < 2 {
			e.series = append(e.series, signalAfter{s, nearby(rng)})
		}
	}
	if rng.IntN(2) == 0 { // across SIGTERM
		e.addStall(-time.Duration(rng.Float64() * float64(stallLength)))
	}
	if rng.IntN(4) > 0 {
		e.addStallsBeforeKill(rng)
	} else { // across the last accept or the last answer
		e.addStall(pickOne(rng, plan.LastForward, plan.LastResponse) - time.Duration(rng.Float64()*float64(stallLength)))
	}
	e.hanging = rng.IntN(3) > 0
	if rng.IntN(3) == 0 {
		e.failFrom = plan.LastForward - time.Duration(rng.Float64()*float64(minStallGap))
		e.failAccepts = time.Duration(rng.Float64() * float64(failAcceptMax))
	}
	e.interrupted = rng.IntN(4) == 0
	return e
}

// nearby is a time around SIGTERM, half of the time very close to it.
func nearby(rng *rand.Rand) time.Duration {
	within := seriesWithin
	if rng.IntN(2) == 0 {
		within = seriesClose
	}
	return time.Duration((2*rng.Float64() - 1) * float64(within))
}

// addStallsBeforeKill adds one to three stalls with little time between them, the last of which ends around the kill: one for each step that a
// last answer takes.
func (s *shutdownFault) addStallsBeforeKill(rng *rand.Rand) {
	end := s.killAfter + time.Duration(rng.Float64()*float64(endAfterKill+endBeforeKill)) - endBeforeKill
	for range 1 + rng.IntN(3) {
		s.stalls = append(s.stalls, end-stallLength)
		end -= stallLength + minSlice + time.Duration(rng.Float64()*float64(maxSlice-minSlice))
	}
}

// addStall adds a stall unless it would run into another one.
func (s *shutdownFault) addStall(at time.Duration) {
	for _, other := range s.stalls {
		if at < other+stallLength+minStallGap && other < at+stallLength+minStallGap {
			return
		}
	}
	s.stalls = append(s.stalls, at)
}

// aimedEnd sends a process SIGTERM among many clients while the drawn faults happen, kills it as early as operators may
// and starts another.
func (w *world) aimedEnd(ctx context.Context, t Fault, s *sidecar) {
	rng := rand.New(rand.NewPCG(w.options.Seed, uint64(t.At)))
	e := drawShutdownFault(rng, w.variant.longest, w.variant.manyClients)
	p := s.present()
	group, err := syscall.Getpgid(p.Pid)
	if err != nil {
		s.fault("process %d: %v", p.Pid, err)
		return
	}
	s.mutex.Lock()
	p.signalled = true
	s.mutex.Unlock()
	offset, _ := s.log.Seek(0, io.SeekCurrent)
	signalAt := time.Now().Add(denseBefore)
	var all sync.WaitGroup
	all.Go(func() { w.clients[s.number].sendSteadily(e.clients, e.pause, signalAt.Add(e.killAfter)) })
	for range e.lateRests {
		all.Go(func() {
			w.clients[s.number].sendLastBytesAt(signalAt.Add(e.killAfter - time.Duration(rand.Float64()*float64(lateWithin))))
		})
	}
	w.playAround(ctx, &all, signalAt, e, t, s, p)
	time.Sleep(time.Until(signalAt))
	sent := time.Now()
	_ = p.Signal(syscall.SIGTERM)
	if slices.ContainsFunc(e.series, func(one signalAfter) bool { return one.signal == syscall.SIGUSR2 }) {
		sent = s.followHandover(p, offset, sent)
	}
	time.Sleep(time.Until(sent.Add(e.killAfter)))
	s.killGroup(p, group, sent)
	all.Wait()
	if e.shorter {
		w.reconfigure(s, t, w.classes)
	}
	_ = s.start(ctx)
}

// playAround starts what was drawn to happen around the time of SIGTERM.
func (w *world) playAround(ctx context.Context, all *sync.WaitGroup, signalAt time.Time, e shutdownFault, t Fault, s *sidecar, p *process) {
	at := func(after time.Duration, do func()) {
		all.Go(func() {
			time.Sleep(time.Until(signalAt.Add(after)))
			do()
		})
	}
	lastForward := shutdown.NewSchedule(w.variant.longest, 0).LastForward
	for i, one := range e.series {
		at(one.after, func() {
			if i == 0 && e.shorter {
				w.reconfigure(s, t, classesFor(w.variant.longest/shorterPart))
			}
			if one.signal == syscall.SIGUSR2 {
				s.born()
			}
			_ = p.Signal(one.signal)
		})
	}
	for _, after := range e.stalls {
		at(after, func() { w.stallProcess(s, p) })
	}
	if e.failAccepts > 0 {
		at(e.failFrom, func() {
			w.fail(s, faultinjection.Accept, syscall.ENFILE, func() { time.Sleep(e.failAccepts) })
		})
	}
	if e.interrupted {
		at(lastForward-minStallGap, func() { w.interrupt(ctx, s, 4*minStallGap) })
	}
	if e.hanging {
		at(lastForward-unresponsiveLead, func() { w.stopHalfOfServersAnswering(signalAt.Add(e.killAfter)) })
	}
}

// stopHalfOfServersAnswering has half of the servers stop answering until then, except those that have another fault.
func (w *world) stopHalfOfServersAnswering(until time.Time) {
	var hung []*serverPlace
	for _, v := range w.servers[:len(w.servers)/2] {
		if v.faulty.CompareAndSwap(false, true) {
			v.ChangeBehaviour(func(b *fakes.Behaviour) { b.Unresponsive = true })
			hung = append(hung, v)
		}
	}
	time.Sleep(time.Until(until))
	for _, v := range hung {
		v.SetBehaviour(fakes.Behaviour{})
		v.faulty.Store(false)
	}
}

// stallProcess stops a process for stallLength. One that this process has made longer counts as a crash: what was lost then says nothing.
func (w *world) stallProcess(s *sidecar, p *process) {
	from := time.Now()
	p.Signal(syscall.SIGSTOP)
	time.Sleep(stallLength)
	p.Signal(syscall.SIGCONT)
	if to := time.Now(); to.Sub(from) > maxStallLength {
		s.mutex.Lock()
		s.killed = append(s.killed, span{from, to.Add(stallLength)})
		s.mutex.Unlock()
		w.note(func(r *record) { r.longStalls++ })
	}
}

// followHandover returns when the serving process got SIGTERM. Where the signalled one has just handed over and ended, its successor
// is signalled.
func (s *sidecar) followHandover(p *process, offset int64, sent time.Time) time.Time {
	select {
	case <-p.exited:
	case <-time.After(lookAfter):
		return sent
	}
	raw, _ := os.ReadFile(s.path("log"))
	raw = raw[min(int(offset), len(raw)):]
	found := successor.FindSubmatch(raw)
	if found == nil || bytes.Contains(raw, []byte("handover=told_to_stop successor="+string(found[1])+" err=<nil>")) {
		return sent
	}
	pid, _ := strconv.Atoi(string(found[1]))
	now := time.Now()
	if syscall.Kill(pid, syscall.SIGTERM) != nil {
		return sent
	}
	return now
}

// killGroup kills what is left of the process and its successors, and returns once all are gone.
func (s *sidecar) killGroup(p *process, group int, signalledAt time.Time) {
	now := time.Now()
	if err := syscall.Kill(-group, syscall.SIGKILL); err == nil || err == syscall.EPERM {
		s.mutex.Lock()
		s.shutdownSpans = append(s.shutdownSpans, span{signalledAt, now})
		s.mutex.Unlock()
	}
	<-p.exited
	for began := time.Now(); time.Since(began) < groupGone; time.Sleep(time.Millisecond) { // successors are this process's to reap
		if _, err := syscall.Wait4(-group, nil, syscall.WNOHANG, nil); err == syscall.ECHILD {
			return
		}
	}
	s.fault("processes of group %d are left %s after SIGKILL", group, groupGone)
}

// leaveHeld has clients leave while their sidecar is stopped, and the connections to servers come up over which their requests would go.
func (w *world) leaveHeld(ctx context.Context, n int, s *sidecar) {
	const (
		clients = 40
		slow    = 100 * time.Millisecond
		before  = 60 * time.Millisecond // the requests are read, connections are on their way
		leaving = 10 * time.Millisecond // after the stop
	)
	began := time.Now()
	s.control.Delay(faultinjection.SlowConnect, slow)
	defer s.control.Clear(faultinjection.SlowConnect)
	var all sync.WaitGroup
	all.Go(func() { w.clients[n].sendAndLeaveAt(clients, began.Add(before+leaving)) })
	_ = fakes.Pause(ctx, before)
	w.stallProcess(s, s.present())
	all.Wait()
}
