package dispatch

import (
	"time"

	"plankrouter/internal/cordon"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/request"
	"plankrouter/internal/shutdown"
	"plankrouter/internal/snapshot"
	"plankrouter/internal/staleness"
	"plankrouter/internal/upstream"
)

// event is an observation or a query that another goroutine sends. Once Run has started, only the goroutine of Run calls apply.
type event interface{ apply(*Dispatcher) }

type (
	requestArrived struct{ request *request.Request }
	clientGone     struct {
		request    *request.Request
		mayHaveRun chan<- bool // receives whether an attempt may have run; nil = not needed
	}
	attemptEnded struct {
		attempt attemptID
		upstream.Result
	}
	bodyReceived struct {
		request *request.Request
		at      time.Time
	}
	bodySent struct {
		attempt  attemptID
		heldBack time.Duration // see upstream.AttemptOptions
	}
	responding       struct{ attempt attemptID }
	endpointsUpdated struct {
		endpoints.List
		arrivedAt time.Time
	}
	listValidityChanged staleness.Validity
	cordonsChanged      struct {
		set  cordon.Set
		done chan<- struct{}
	}
	reconfigured struct {
		Reconfiguration
		done chan<- error
	}
	shutdownScheduled struct {
		schedule    shutdown.Schedule
		signalledAt time.Time
	}
	predecessorRequestsListed struct{ ids []string }
	serverLookup              struct {
		server string
		reply  chan<- bool
	}
	snapshotRequested     struct{ reply chan<- *snapshot.Snapshot }
	countsRequested       struct{ reply chan<- Counts }
	openRequestsRequested struct{ reply chan<- []string }
)

// send queues an event, and returns false if Run has ended.
func (d *Dispatcher) send(e event) bool { return d.sendTo(d.events, e) }

func (d *Dispatcher) sendTo(queue chan<- event, e event) bool {
	select {
	case queue <- e:
		return true
	case <-d.stopped:
		return false
	}
}

// query sends the event that newEvent returns for a reply channel, and waits for the reply; ok is false if Run has ended.
func query[T any](d *Dispatcher, newEvent func(reply chan<- T) event) (response T, ok bool) {
	reply := make(chan T, 1)
	if d.send(newEvent(reply)) {
		select {
		case response = <-reply:
			return response, true
		case <-d.stopped:
		}
	}
	return response, false
}
