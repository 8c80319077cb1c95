package main

import "sync"

// phase is the phase of a process between its start and its exit; see transitions.
type phase int

// The phases. From shuttingDown on no handover begins.
const (
	starting     phase = iota // may not serve yet
	serving                   // accepts connections
	handingOver               // a successor is ready, and receives the listener and the connections
	retiring                  // the handover from the predecessor failed: finishes its requests and accepts nothing
	shuttingDown              // has received a stop signal: it serves until LastForward of its schedule
	draining                  // has closed its listener, and finishes its requests
	finished                  // serves nothing any more: the process exits
)

// event moves a process from one phase to another.
type event int

// The events, each with the function that acts on it.
const (
	mayServe           event = iota // takeOver: there is no predecessor, or it permits this process to serve
	successorReady                  // beginTransfer
	successorLost                   // resumeServing
	handoverCompleted               // completeHandover
	predecessorResumed              // retire
	stopSignalled                   // beginShutdown
	lastForwardReached              // drain
	allFinished                     // finish: no request is open, or the process can't start
)

// transitions maps each phase and event to the next phase. An event that is not listed changes nothing: a handover continues
// during a shutdown, and only its completion changes the phase then.
var transitions = map[phase]map[event]phase{
	starting:     {mayServe: serving, stopSignalled: shuttingDown, allFinished: finished},
	serving:      {successorReady: handingOver, predecessorResumed: retiring, stopSignalled: shuttingDown, allFinished: finished},
	handingOver:  {successorLost: serving, handoverCompleted: finished, stopSignalled: shuttingDown, allFinished: finished},
	retiring:     {stopSignalled: shuttingDown, allFinished: finished},
	shuttingDown: {lastForwardReached: draining, handoverCompleted: finished, allFinished: finished},
	draining:     {handoverCompleted: finished, allFinished: finished},
	finished:     {},
}

// lifecycle is the phase of a process. It is safe for concurrent use; the zero value is starting.
type lifecycle struct {
	mu    sync.Mutex
	phase phase
}

// on moves to the next phase for the event, if there is one.
func (l *lifecycle) on(e event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if next, listed := transitions[l.phase][e]; listed {
		l.phase = next
	}
}

// current returns the present phase.
func (l *lifecycle) current() phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// finish stops the process: it has no open request.
func (p *program) finish() {
	p.lifecycle.on(allFinished)
	p.stop()
}
