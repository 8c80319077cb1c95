package main

import (
	"context"
	"log"
	"time"

	"plankrouter/internal/shutdown"
)

const (
	// expeditedLastForward is the time after the stop signal at which a process that has received a second one closes its
	// listener. Before that new clients still arrive.
	expeditedLastForward = 500 * time.Millisecond
	// advanceInterval is the time between two checks of the clock and of the number of clients during a shutdown.
	advanceInterval = 10 * time.Millisecond
)

// scheduleChange is the schedule of a reloaded configuration, with the earliest time at which the reload signal can have been
// sent.
type scheduleChange struct {
	schedule     shutdown.Schedule
	earliestSent time.Time
}

// stopTimes are the times of a stop signal as forwarded to a successor: when it was sent, and when the sender may kill the
// process.
type stopTimes struct {
	sent time.Time
	kill time.Time
}

// shutdownRun is the shutdown of this process, from the stop signal on. All decisions that depend on the time of
// that signal are made here.
type shutdownRun struct {
	program        *program
	signal         receivedSignal
	configured     shutdown.Schedule // by the settings in force when the signal was sent
	adjusted       shutdown.Schedule // configured, adjusted for maxConnections
	maxConnections int               // the most client connections open at once since the signal
	forwarded      bool              // the signal was forwarded by a predecessor, and has not been received directly yet
	expedited      bool              // a second stop signal was received
}

// followStopSignals handles stop signals until ctx ends. No other signal delays them.
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

// beginShutdown starts the shutdown for a stop signal and returns it. No handover begins after that.
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
		time.Since(signal.earliestSent).Milliseconds(), run.configured.LastForward, run.configured.LastResponse, run.configured.Kill)
	run.apply(run.configured)
	p.lifecycle.on(stopSignalled)
	p.requestStop()
	notify("STOPPING=1")
	p.frontend.KeepIdle()
	return run
}

// signalRepeated handles a further stop signal. It expedites the shutdown, unless it repeats the first signal: a
// successor may receive a signal both directly and from its predecessor.
func (s *shutdownRun) signalRepeated(signal receivedSignal) {
	if signal.isForwarded() != s.forwarded {
		s.forwarded = false
		return
	}
	s.expedited = s.expedited || !signal.isForwarded()
}

// apply puts the schedule in force.
func (s *shutdownRun) apply(schedule shutdown.Schedule) {
	s.adjusted = schedule
	s.program.forwardableStop.Store(&stopTimes{sent: s.signal.earliestSent, kill: s.signal.earliestSent.Add(schedule.Kill)})
	s.program.dispatcher.ScheduleShutdown(schedule, s.signal.earliestSent)
}

// scheduleChanged applies a reloaded schedule with an earlier kill, if the reload signal may have been sent before the stop
// signal: the sender of both then kills by the new settings.
func (s *shutdownRun) scheduleChanged(change scheduleChange) {
	if change.earliestSent.After(s.signal.readAt) || change.schedule.Kill >= s.configured.Kill {
		return
	}
	s.configured = change.schedule
	log.Printf("name=%s state=stopping_sooner last_request_after=%s answers_after=%s kill_after=%s", s.program.cfg.Name, s.configured.LastForward,
		s.configured.LastResponse, s.configured.Kill)
	s.apply(s.configured.ForConnections(s.maxConnections))
	s.advance(time.Now())
}

// advance makes the schedule earlier if there are more clients than before, and starts the drain once LastForward has passed.
func (s *shutdownRun) advance(now time.Time) {
	if s.program.lifecycle.current() != shuttingDown {
		return
	}
	s.maxConnections = max(s.maxConnections, s.program.frontend.OpenConnections())
	if schedule := s.configured.ForConnections(s.maxConnections); schedule.LastForward < s.adjusted.LastForward-advanceInterval {
		s.apply(schedule)
	}
	lastForward := s.adjusted.LastForward
	if s.expedited {
		lastForward = min(lastForward, expeditedLastForward)
	}
	if sinceSignal := now.Sub(s.signal.earliestSent); sinceSignal >= lastForward {
		s.program.drain(sinceSignal)
	}
}

// drain closes the listener and idle connections, sinceSignal after the stop signal. Accepted requests still get their
// responses.
func (p *program) drain(sinceSignal time.Duration) {
	p.lifecycle.on(lastForwardReached)
	log.Printf("name=%s state=draining after_ms=%d clients=%d sockets=%d", p.cfg.Name, sinceSignal.Milliseconds(), p.frontend.OpenConnections(), p.budget.Used())
	go p.writeLastSnapshot() // now, while there is time: a snapshot without the requests in flight is better than none
	p.frontend.Drain(p.listener)
}
