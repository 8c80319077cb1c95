package main

import (
	"context"
	"log"
	"plankrouter/internal/shutdown"
	"time"
)

const (
	hastenedLastForward = 500 * time.Millisecond // after SIGTERM, if it comes twice: clients are still arriving
	advanceInterval     = 10 * time.Millisecond  // at the clock and at how many clients there are, once told to stop
)

// scheduleChange is a configuration that has been put in force, by a signal that was sent no earlier than that.
type scheduleChange struct {
	schedule     shutdown.Schedule
	earliestSent time.Time
}

// stopTimes is the word to stop as this process goes by it: both moments are those of whoever gave it.
type stopTimes struct {
	sent, kill time.Time
}

// shutdownRun is the end of this process, from the word to stop on. It is the one owner of all that follows from that word's moment.
type shutdownRun struct {
	program        *program
	signal         receivedSignal
	configured     shutdown.Schedule // by the settings that whoever gave the word goes by
	adjusted       shutdown.Schedule // for as many clients as there have been since
	maxConnections int               // clients' connections that have been open at once
	forwarded      bool              // the word is a predecessor's, and has not come from anybody else yet
	hastened       bool              // told twice
	drained        bool
}

// followStopSignals acts on signals to stop until ctx ends. They wait for no other.
func (p *program) followStopSignals(ctx context.Context, requestStop context.CancelFunc, stop <-chan receivedSignal) {
	defer requestStop()
	var run *shutdownRun
	var look <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-stop:
			if run != nil {
				run.signalRepeated(s)
				continue
			}
			run = p.beginShutdown(s)
			requestStop()
			notify("STOPPING=1")
			p.frontend.Stay()
			ticker := time.NewTicker(advanceInterval)
			defer ticker.Stop()
			look = ticker.C
			run.advance(time.Now())
		case r := <-p.scheduleChanges:
			if run != nil {
				run.scheduleChanged(r)
			}
		case now := <-look:
			run.advance(now)
		}
	}
}

// beginShutdown notes the word to stop, and by when the process may be killed for it.
func (p *program) beginShutdown(signal receivedSignal) *shutdownRun {
	run := &shutdownRun{program: p, signal: signal, forwarded: !signal.killAt.IsZero(), configured: p.activeConfig.Load().ShutdownSchedule}
	if !signal.killAt.IsZero() {
		run.configured = run.configured.Earlier(shutdown.NewSchedule(0, max(signal.killAt.Sub(signal.earliestSent), 1)))
	}
	log.Printf("name=%s state=stopping signal=%q sent_ms_ago=%d last_request_after=%s answers_after=%s kill_after=%s", p.cfg.Name, signal.Signal,
		time.Since(signal.earliestSent).Milliseconds(), run.configured.LastForward, run.configured.LastAnswer, run.configured.Kill)
	run.apply(run.configured)
	return run
}

// signalRepeated is a further word to stop: it hastens the end, unless one of the two is the other, passed on by a predecessor.
func (s *shutdownRun) signalRepeated(signal receivedSignal) {
	passedOn := !signal.killAt.IsZero()
	if passedOn != s.forwarded {
		s.forwarded = false
		return
	}
	s.hastened = s.hastened || !passedOn
}

// apply goes by the plan from now on.
func (s *shutdownRun) apply(schedule shutdown.Schedule) {
	s.adjusted = schedule
	s.program.forwardableStop.Store(&stopTimes{sent: s.signal.earliestSent, kill: s.signal.earliestSent.Add(schedule.Kill)})
	s.program.dispatcher.ScheduleShutdown(schedule, s.signal.earliestSent)
}

// scheduleChanged goes by a configuration whose signal may have been sent before the word to stop, if the kill comes sooner by it: whoever
// sent both goes by that.
func (s *shutdownRun) scheduleChanged(r scheduleChange) {
	if r.earliestSent.After(s.signal.readAt) || r.schedule.Kill >= s.configured.Kill {
		return
	}
	s.configured = r.schedule
	log.Printf("name=%s state=stopping_sooner last_request_after=%s answers_after=%s kill_after=%s", s.program.cfg.Name, s.configured.LastForward,
		s.configured.LastAnswer, s.configured.Kill)
	s.apply(s.configured.ForConnections(s.maxConnections))
	s.advance(time.Now())
}

// advance leaves more time where more clients have come, and closes the front once its time has come.
func (s *shutdownRun) advance(now time.Time) {
	if s.drained {
		return
	}
	p := s.program
	s.maxConnections = max(s.maxConnections, p.frontend.Open())
	if schedule := s.configured.ForConnections(s.maxConnections); schedule.LastForward < s.adjusted.LastForward-advanceInterval {
		s.apply(schedule)
	}
	last := s.adjusted.LastForward
	if s.hastened {
		last = min(last, hastenedLastForward)
	}
	since := now.Sub(s.signal.earliestSent)
	if since < last {
		return
	}
	s.drained = true
	log.Printf("name=%s state=leaving after_ms=%d clients=%d sockets=%d", p.cfg.Name, since.Milliseconds(), p.frontend.Open(), p.budget.Used())
	go p.writeLastSnapshot() // while there is time: what is still under way matters less than that it is there
	p.frontend.Drain(p.listener)
}
