package main

import (
	"context"
	"log"
	"plankrouter/internal/shutdown"
	"time"
)

const (
	hasten    = 500 * time.Millisecond // after SIGTERM, if it comes twice: clients are still arriving
	lookEvery = 10 * time.Millisecond  // at the clock and at how many clients there are, once told to stop
)

// reloaded is a configuration that has been put in force, by a signal that was sent no earlier than that.
type reloaded struct {
	plan     shutdown.Schedule
	earliest time.Time
}

// stopOrder is the word to stop as this process goes by it: both moments are those of whoever gave it.
type stopOrder struct {
	at, kill time.Time
}

// shutdownRun is the end of this process, from the word to stop on. It is the one owner of all that follows from that word's moment.
type shutdownRun struct {
	program  *program
	word     received
	granted  shutdown.Schedule // by the settings that whoever gave the word goes by
	inForce  shutdown.Schedule // for as many clients as there have been since
	most     int               // clients' connections that have been open at once
	passedOn bool              // the word is a predecessor's, and has not come from anybody else yet
	hastened bool              // told twice
	drained  bool
}

// stopping acts on signals to stop until ctx ends. They wait for no other.
func (p *program) stopping(ctx context.Context, leaving context.CancelFunc, stop <-chan received) {
	defer leaving()
	var end *shutdownRun
	var look <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-stop:
			if end != nil {
				end.again(s)
				continue
			}
			end = p.beginShutdown(s)
			leaving()
			notify("STOPPING=1")
			p.front.Stay()
			ticker := time.NewTicker(lookEvery)
			defer ticker.Stop()
			look = ticker.C
			end.follow(time.Now())
		case r := <-p.reloads:
			if end != nil {
				end.reconsider(r)
			}
		case now := <-look:
			end.follow(now)
		}
	}
}

// beginShutdown notes the word to stop, and by when the process may be killed for it.
func (p *program) beginShutdown(word received) *shutdownRun {
	end := &shutdownRun{program: p, word: word, passedOn: !word.kill.IsZero(), granted: p.inForce.Load().ShutdownSchedule}
	if !word.kill.IsZero() {
		end.granted = end.granted.Earlier(shutdown.NewSchedule(0, max(word.kill.Sub(word.earliest), 1)))
	}
	log.Printf("name=%s state=stopping signal=%q sent_ms_ago=%d last_request_after=%s answers_after=%s kill_after=%s", p.cfg.Name, word.Signal,
		time.Since(word.earliest).Milliseconds(), end.granted.LastForward, end.granted.LastAnswer, end.granted.Kill)
	end.adopt(end.granted)
	return end
}

// again is a further word to stop: it hastens the end, unless one of the two is the other, passed on by a predecessor.
func (s *shutdownRun) again(word received) {
	passedOn := !word.kill.IsZero()
	if passedOn != s.passedOn {
		s.passedOn = false
		return
	}
	s.hastened = s.hastened || !passedOn
}

// adopt goes by the plan from now on.
func (s *shutdownRun) adopt(plan shutdown.Schedule) {
	s.inForce = plan
	s.program.stopOrder.Store(&stopOrder{at: s.word.earliest, kill: s.word.earliest.Add(plan.Kill)})
	s.program.core.ScheduleShutdown(plan, s.word.earliest)
}

// reconsider goes by a configuration whose signal may have been sent before the word to stop, if the kill comes sooner by it: whoever
// sent both goes by that.
func (s *shutdownRun) reconsider(r reloaded) {
	if r.earliest.After(s.word.read) || r.plan.Kill >= s.granted.Kill {
		return
	}
	s.granted = r.plan
	log.Printf("name=%s state=stopping_sooner last_request_after=%s answers_after=%s kill_after=%s", s.program.cfg.Name, s.granted.LastForward,
		s.granted.LastAnswer, s.granted.Kill)
	s.adopt(s.granted.ForConnections(s.most))
	s.follow(time.Now())
}

// follow leaves more time where more clients have come, and closes the front once its time has come.
func (s *shutdownRun) follow(now time.Time) {
	if s.drained {
		return
	}
	p := s.program
	s.most = max(s.most, p.front.Open())
	if plan := s.granted.ForConnections(s.most); plan.LastForward < s.inForce.LastForward-lookEvery {
		s.adopt(plan)
	}
	last := s.inForce.LastForward
	if s.hastened {
		last = min(last, hasten)
	}
	since := now.Sub(s.word.earliest)
	if since < last {
		return
	}
	s.drained = true
	log.Printf("name=%s state=leaving after_ms=%d clients=%d sockets=%d", p.cfg.Name, since.Milliseconds(), p.front.Open(), p.budget.Used())
	go p.lastSnapshot() // while there is time: what is still under way matters less than that it is there
	p.front.Drain(p.listener)
}
