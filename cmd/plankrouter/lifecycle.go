package main

import "sync"

// phase is where a process is in its life.
type phase int

// The phases. From shuttingDown on no handover is begun.
const (
	starting     phase = iota // may not serve yet
	serving                   // accepts connections
	handingOver               // a successor is ready, and is given the listener and the connections
	retiring                  // its predecessor serves on after a broken handover: it answers what it has and accepts nothing
	shuttingDown              // has got a signal to stop: it serves on until its schedule's last forward
	draining                  // has closed its listener, and answers what it has taken
	left                      // serves nothing any more: the process ends
)

// event moves a process from one phase to another.
type event int

// The events, each with the function that acts on it.
const (
	mayServe            event = iota // takeOver: there is no predecessor, or it lets this process serve
	successorReady                   // beginTransfer
	successorLost                    // resumeServing
	successorHasAll                  // completeHandover
	predecessorServesOn              // retire
	stopSignalled                    // beginShutdown
	lastForwardReached               // drain
	allAnswered                      // leave; also where the process can't start
)

// transitions are the phases that follow each other. What is not listed changes nothing: a handover that is under way goes on beside
// a shutdown, whose phases it does not change before it is complete.
var transitions = map[phase]map[event]phase{
	starting:     {mayServe: serving, stopSignalled: shuttingDown, allAnswered: left},
	serving:      {successorReady: handingOver, predecessorServesOn: retiring, stopSignalled: shuttingDown, allAnswered: left},
	handingOver:  {successorLost: serving, successorHasAll: left, stopSignalled: shuttingDown, allAnswered: left},
	retiring:     {stopSignalled: shuttingDown, allAnswered: left},
	shuttingDown: {lastForwardReached: draining, successorHasAll: left, allAnswered: left},
	draining:     {successorHasAll: left, allAnswered: left},
	left:         {},
}

// lifecycle is the phase of a process. It is safe for concurrent use; the zero value is starting.
type lifecycle struct {
	mu    sync.Mutex
	phase phase
}

// on moves to the phase that follows by the event.
func (l *lifecycle) on(e event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if next, listed := transitions[l.phase][e]; listed {
		l.phase = next
	}
}

// current is the phase in force.
func (l *lifecycle) current() phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// leave ends the process's work: it serves nobody any more.
func (p *program) leave() {
	p.lifecycle.on(allAnswered)
	p.stop()
}
