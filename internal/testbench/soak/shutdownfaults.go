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
	steadyClients      = 12                     // number of clients that send requests around a shutdown
	steadyPause        = 20 * time.Millisecond  // pause of a client after each response
	overloadClients    = 150                    // steadyClients with variant.manyClients
	overloadPause      = 100 * time.Millisecond // steadyPause with variant.manyClients
	steadyLead         = 300 * time.Millisecond // the load begins this long before SIGTERM
	lateRequests       = 4                      // number of clients that send the last bytes of a request late
	lateRequestWindow  = 700 * time.Millisecond // time before the kill within which these clients send the last bytes
	stallLength        = shutdown.MaxStall      // length of an injected stall
	maxStallLength     = 165 * time.Millisecond // requests lost in a longer stall, which occurs on a busy machine, are not judged
	minStallGap        = 20 * time.Millisecond  // minimum time between two stalls
	endBeforeKill      = 100 * time.Millisecond // the last stall ends at most this long before the kill
	endAfterKill       = 140 * time.Millisecond // the last stall ends at most this long after the kill
	minRunTime         = 2 * time.Millisecond   // shortest time that a process runs between two consecutive stalls
	maxRunTime         = 30 * time.Millisecond  // longest time that a process runs between two consecutive stalls
	unresponsiveLead   = 200 * time.Millisecond // half of the servers stop responding this long before the last accept
	signalWindow       = 150 * time.Millisecond // other signals are sent at most this long before or after SIGTERM
	closeSignalWindow  = 5 * time.Millisecond   // half of the other signals are sent at most this long before or after SIGTERM
	failAcceptMax      = 60 * time.Millisecond  // longest time for which accepts fail
	handoverCheckDelay = 60 * time.Millisecond  // time after SIGTERM at which followHandover checks for a completed hot restart
	shorterDivisor     = 2                      // with shutdownFault.shorter, a reload divides the deadlines by this
	groupExitTimeout   = 2 * time.Second        // time after SIGKILL within which all processes of a group must have exited
)

// signalAfter is a signal and the time after SIGTERM at which it is sent; negative = before SIGTERM.
type signalAfter struct {
	signal syscall.Signal
	after  time.Duration
}

// shutdownFault is the set of faults injected around the shutdown of a process.
type shutdownFault struct {
	signals      []signalAfter   // signals sent besides SIGTERM
	stalls       []time.Duration // times after SIGTERM at which the process is stopped for stallLength
	failAccepts  time.Duration   // for how long accepts fail around the last accept; 0 = they don't fail
	failFrom     time.Duration   // time after SIGTERM at which accepts begin to fail
	unresponsive bool            // half of the servers don't respond from shortly before the last accept until the kill
	interrupted  bool            // polls and peeks of sockets fail with EINTR around the last accept
	shorter      bool            // a reload before SIGTERM shortens the deadlines
	killAfter    time.Duration   // time from SIGTERM to SIGKILL
	clients      int             // number of clients that send until the kill
	pause        time.Duration   // pause of each client after a response
	lateRequests int             // number of clients that send a partial request, and its rest shortly before the kill
}

// drawShutdownFault draws the faults around the shutdown of a process whose longest deadline is longestDeadline. They are
// placed around SIGTERM, the last accept, the last response and the kill.
func drawShutdownFault(rng *rand.Rand, longestDeadline time.Duration, manyClients bool) shutdownFault {
	e := shutdownFault{clients: steadyClients, pause: steadyPause, lateRequests: lateRequests, shorter: rng.IntN(6) == 0}
	if manyClients {
		e.clients, e.pause = overloadClients, overloadPause
	}
	if e.shorter {
		longestDeadline /= shorterDivisor
		e.signals = append(e.signals, signalAfter{syscall.SIGHUP, -time.Duration(rng.Float64() * float64(signalWindow))})
	}
	plan := shutdown.NewSchedule(longestDeadline, 0)
	e.killAfter = killAfter(longestDeadline)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2} {
		if rng.IntN(5) < 2 {
			e.signals = append(e.signals, signalAfter{s, drawSignalTime(rng)})
		}
	}
	if rng.IntN(2) == 0 { // a stall that spans SIGTERM
		e.addStall(-time.Duration(rng.Float64() * float64(stallLength)))
	}
	if rng.IntN(4) > 0 {
		e.addStallsBeforeKill(rng)
	} else { // a stall that spans the last accept or the last response
		e.addStall(pickOne(rng, plan.LastForward, plan.LastResponse) - time.Duration(rng.Float64()*float64(stallLength)))
	}
	e.unresponsive = rng.IntN(3) > 0
	if rng.IntN(3) == 0 {
		e.failFrom = plan.LastForward - time.Duration(rng.Float64()*float64(minStallGap))
		e.failAccepts = time.Duration(rng.Float64() * float64(failAcceptMax))
	}
	e.interrupted = rng.IntN(4) == 0
	return e
}

// drawSignalTime returns a time around SIGTERM, in half of the cases within closeSignalWindow.
func drawSignalTime(rng *rand.Rand) time.Duration {
	within := signalWindow
	if rng.IntN(2) == 0 {
		within = closeSignalWindow
	}
	return time.Duration((2*rng.Float64() - 1) * float64(within))
}

// addStallsBeforeKill adds one to three stalls with little time between them, the last of which ends around the kill. With
// three, the process can be stalled before each step of writing a last response.
func (s *shutdownFault) addStallsBeforeKill(rng *rand.Rand) {
	end := s.killAfter + time.Duration(rng.Float64()*float64(endAfterKill+endBeforeKill)) - endBeforeKill
	for range 1 + rng.IntN(3) {
		s.stalls = append(s.stalls, end-stallLength)
		end -= stallLength + minRunTime + time.Duration(rng.Float64()*float64(maxRunTime-minRunTime))
	}
}

// addStall adds a stall unless it would come within minStallGap of another one.
func (s *shutdownFault) addStall(at time.Duration) {
	for _, other := range s.stalls {
		if at < other+stallLength+minStallGap && other < at+stallLength+minStallGap {
			return
		}
	}
	s.stalls = append(s.stalls, at)
}

// shutdownUnderFaults sends a process SIGTERM while many clients send requests and the drawn faults are injected, kills it
// at the earliest time that operators may, and starts another.
func (w *environment) shutdownUnderFaults(ctx context.Context, t Fault, s *sidecar) {
	rng := rand.New(rand.NewPCG(w.options.Seed, uint64(t.At)))
	e := drawShutdownFault(rng, w.variant.longestDeadline, w.variant.manyClients)
	p := s.currentProcess()
	group, err := syscall.Getpgid(p.Pid)
	if err != nil {
		s.addFault("process %d: %v", p.Pid, err)
		return
	}
	s.mutex.Lock()
	p.signalled = true
	s.mutex.Unlock()
	offset, _ := s.log.Seek(0, io.SeekCurrent)
	signalAt := time.Now().Add(steadyLead)
	var all sync.WaitGroup
	all.Go(func() { w.clients[s.number].sendSteadily(e.clients, e.pause, signalAt.Add(e.killAfter)) })
	for range e.lateRequests {
		all.Go(func() {
			w.clients[s.number].sendLastBytesAt(signalAt.Add(e.killAfter - time.Duration(rand.Float64()*float64(lateRequestWindow))))
		})
	}
	w.scheduleFaults(ctx, &all, signalAt, e, t, s, p)
	time.Sleep(time.Until(signalAt))
	sent := time.Now()
	_ = p.Signal(syscall.SIGTERM)
	if slices.ContainsFunc(e.signals, func(one signalAfter) bool { return one.signal == syscall.SIGUSR2 }) {
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

// scheduleFaults schedules the drawn faults, each relative to the time of SIGTERM, in goroutines
// that all waits for.
func (w *environment) scheduleFaults(ctx context.Context, all *sync.WaitGroup, signalAt time.Time, e shutdownFault, t Fault, s *sidecar, p *process) {
	at := func(after time.Duration, do func()) {
		all.Go(func() {
			time.Sleep(time.Until(signalAt.Add(after)))
			do()
		})
	}
	lastForward := shutdown.NewSchedule(w.variant.longestDeadline, 0).LastForward
	for i, one := range e.signals {
		at(one.after, func() {
			if i == 0 && e.shorter {
				w.reconfigure(s, t, classesFor(w.variant.longestDeadline/shorterDivisor))
			}
			if one.signal == syscall.SIGUSR2 {
				s.onProcessStart()
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
	if e.unresponsive {
		at(lastForward-unresponsiveLead, func() { w.stallHalfOfServers(signalAt.Add(e.killAfter)) })
	}
}

// stallHalfOfServers makes half of the servers unresponsive until the given time, except those that have another fault.
func (w *environment) stallHalfOfServers(until time.Time) {
	var unresponsive []*serverSlot
	for _, v := range w.servers[:len(w.servers)/2] {
		if v.faulty.CompareAndSwap(false, true) {
			v.ChangeBehaviour(func(b *fakes.Behaviour) { b.Unresponsive = true })
			unresponsive = append(unresponsive, v)
		}
	}
	time.Sleep(time.Until(until))
	for _, v := range unresponsive {
		v.SetBehaviour(fakes.Behaviour{})
		v.faulty.Store(false)
	}
}

// stallProcess stops a process for stallLength. If the harness was late and the stall exceeded maxStallLength, the stall
// counts as a crash, since the sidecar is not to blame for requests lost in it.
func (w *environment) stallProcess(s *sidecar, p *process) {
	from := time.Now()
	p.Signal(syscall.SIGSTOP)
	time.Sleep(stallLength)
	p.Signal(syscall.SIGCONT)
	if to := time.Now(); to.Sub(from) > maxStallLength {
		s.mutex.Lock()
		s.killed = append(s.killed, span{from, to.Add(stallLength)})
		s.mutex.Unlock()
		w.updateRecord(func(r *record) { r.longStalls++ })
	}
}

// followHandover returns when the serving process was sent SIGTERM: sent or, if the signalled process has exited after a hot
// restart, the time at which followHandover sends SIGTERM to the successor.
func (s *sidecar) followHandover(p *process, offset int64, sent time.Time) time.Time {
	select {
	case <-p.exited:
	case <-time.After(handoverCheckDelay):
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

// killGroup kills the process and its successors, and returns once all have exited.
func (s *sidecar) killGroup(p *process, group int, signalledAt time.Time) {
	now := time.Now()
	if err := syscall.Kill(-group, syscall.SIGKILL); err == nil || err == syscall.EPERM {
		s.mutex.Lock()
		s.shutdownSpans = append(s.shutdownSpans, span{signalledAt, now})
		s.mutex.Unlock()
	}
	<-p.exited
	// This process adopts successors, so it has to reap them.
	for began := time.Now(); time.Since(began) < groupExitTimeout; time.Sleep(time.Millisecond) {
		if _, err := syscall.Wait4(-group, nil, syscall.WNOHANG, nil); err == syscall.ECHILD {
			return
		}
	}
	s.addFault("processes of group %d still exist %s after SIGKILL", group, groupExitTimeout)
}

// disconnectDuringStall has clients disconnect while their sidecar is stopped and the connections to servers for their
// requests are being established.
func (w *environment) disconnectDuringStall(ctx context.Context, n int, s *sidecar) {
	const (
		clients         = 40
		connectDelay    = 100 * time.Millisecond // delay of the establishment of a connection
		stallDelay      = 60 * time.Millisecond  // until the sidecar is stopped, while connections for its requests are established
		disconnectDelay = 10 * time.Millisecond  // from the stop until the clients disconnect
	)
	began := time.Now()
	s.control.Delay(faultinjection.SlowConnect, connectDelay)
	defer s.control.Clear(faultinjection.SlowConnect)
	var all sync.WaitGroup
	all.Go(func() { w.clients[n].sendAndDisconnectAt(clients, began.Add(stallDelay+disconnectDelay)) })
	_ = fakes.Pause(ctx, stallDelay)
	w.stallProcess(s, s.currentProcess())
	all.Wait()
}
