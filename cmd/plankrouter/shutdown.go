package main

import (
	"context"
	"log"
	"time"

	"plankrouter/internal/shutdown"
)

const (
	// hastenedLastForward is when a process that has got two signals to stop accepts nothing more: clients are still arriving before.
	hastenedLastForward = 500 * time.Millisecond
	// advanceInterval is between two looks at the clock and at how many clients there are, during a shutdown.
	advanceInterval = 10 * time.Millisecond
)

// scheduleChange is a configuration that has been put in force, by a signal that was sent no earlier than that.
type scheduleChange struct {
	schedule     shutdown.Schedule
	earliestSent time.Time
}

// stopTimes are the moments of a signal to stop as this process goes by it, both by the clock of whoever sent it.
type stopTimes struct {
	sent time.Time
	kill time.Time
}

// shutdownRun is the shutdown of this process, from the signal to stop on. It is the one owner of all that follows from that signal's
// moment.
type shutdownRun struct {
	program        *program
	signal         receivedSignal
	configured     shutdown.Schedule // by the settings that whoever sent the signal goes by
	adjusted       shutdown.Schedule // for as many clients as there have been since
	maxConnections int               // clients' connections that have been open at once
	forwarded      bool              // the signal is a predecessor's, and has not come from anybody else yet
	hastened       bool              // by a second signal
}

// followStopSignals acts on signals to stop until ctx ends. They wait for no other.
func (p *program) followStopSignals(ctx context.Context) {
	defer p.requestStop()
	var run *shutdownRun
	var tick <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-p.signals.stop:
			if run != nil {
				run.signalRepeated(s)
				continue
			}
			run = p.beginShutdown(s)
			ticker := time.NewTicker(advanceInterval)
			defer ticker.Stop()
			tick = ticker.C
			run.advance(time.Now())
		case change := <-p.scheduleChanges:
			if run != nil {
				run.scheduleChanged(change)
			}
		case now := <-tick:
			run.advance(now)
		}
	}
}

// beginShutdown notes the signal to stop, and by when the process may be killed for it. No handover begins from then on.
func (p *program) beginShutdown(signal receivedSignal) *shutdownRun {
	run := &shutdownRun{
		program:    p,
		signal:     signal,
		forwarded:  signal.isForwarded(),
		configured: p.activeConfig.Load().ShutdownSchedule,
	}
	if signal.isForwarded() {
		run.configured = run.configured.Earlier(shutdown.NewSchedule(0, max(signal.killAt.Sub(signal.earliestSent), 1)))
	}
	log.Printf("name=%s state=stopping signal=%q sent_ms_ago=%d last_request_after=%s answers_after=%s kill_after=%s", p.cfg.Name, signal.Signal,
		time.Since(signal.earliestSent).Milliseconds(), run.configured.LastForward, run.configured.LastAnswer, run.configured.Kill)
	run.apply(run.configured)
	p.lifecycle.on(stopSignalled)
	p.requestStop()
	notify("STOPPING=1")
	p.frontend.KeepIdle()
	return run
}

// signalRepeated is a further signal to stop: it hastens the end, unless one of the two is the other, forwarded by a predecessor.
func (s *shutdownRun) signalRepeated(signal receivedSignal) {
	if signal.isForwarded() != s.forwarded {
		s.forwarded = false
		return
	}
	s.hastened = s.hastened || !signal.isForwarded()
}

// apply goes by the schedule from now on.
func (s *shutdownRun) apply(schedule shutdown.Schedule) {
	s.adjusted = schedule
	s.program.forwardableStop.Store(&stopTimes{sent: s.signal.earliestSent, kill: s.signal.earliestSent.Add(schedule.Kill)})
	s.program.dispatcher.ScheduleShutdown(schedule, s.signal.earliestSent)
}

// scheduleChanged goes by a configuration whose signal may have been sent before the one to stop, if the kill comes earlier by it:
// whoever sent both goes by that.
func (s *shutdownRun) scheduleChanged(change scheduleChange) {
	if change.earliestSent.After(s.signal.readAt) || change.schedule.Kill >= s.configured.Kill {
		return
	}
	s.configured = change.schedule
	log.Printf("name=%s state=stopping_sooner last_request_after=%s answers_after=%s kill_after=%s", s.program.cfg.Name, s.configured.LastForward,
		s.configured.LastAnswer, s.configured.Kill)
	s.apply(s.configured.ForConnections(s.maxConnections))
	s.advance(time.Now())
}

// advance leaves more time where more clients have come, and drains once the time for that has come.
func (s *shutdownRun) advance(now time.Time) {
	if s.program.lifecycle.current() != shuttingDown {
		return
	}
	s.maxConnections = max(s.maxConnections, s.program.frontend.OpenConnections())
	if schedule := s.configured.ForConnections(s.maxConnections); schedule.LastForward < s.adjusted.LastForward-advanceInterval {
		s.apply(schedule)
	}
	lastForward := s.adjusted.LastForward
	if s.hastened {
		lastForward = min(lastForward, hastenedLastForward)
	}
	if sinceSignal := now.Sub(s.signal.earliestSent); sinceSignal >= lastForward {
		s.program.drain(sinceSignal)
	}
}

// drain closes the listener and idle connections so long after the signal to stop. What has been taken is answered.
func (p *program) drain(sinceSignal time.Duration) {
	p.lifecycle.on(lastForwardReached)
	log.Printf("name=%s state=draining after_ms=%d clients=%d sockets=%d", p.cfg.Name, sinceSignal.Milliseconds(), p.frontend.OpenConnections(), p.budget.Used())
	go p.writeLastSnapshot() // while there is time: what is still under way matters less than that it is there
	p.frontend.Drain(p.listener)
}
