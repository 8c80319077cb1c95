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

// event is something that another goroutine has seen or asks for. The dispatcher's goroutine alone calls apply.
type event interface{ apply(*Dispatcher) }

type (
	requestArrived struct{ request *request.Request }
	clientGone     struct {
		request *request.Request
		mayRun  chan<- bool // gets whether an attempt may have run; nil = nobody asks
	}
	attemptEnded struct {
		attempt attemptID
		upstream.Result
	}
	bodySent         struct{ attempt attemptID }
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

// send queues an event; false = Run has ended.
func (d *Dispatcher) send(e event) bool { return d.sendTo(d.events, e) }

func (d *Dispatcher) sendTo(queue chan<- event, e event) bool {
	select {
	case queue <- e:
		return true
	case <-d.stopped:
		return false
	}
}

// query sends the event that newEvent makes of a channel for the reply, and waits for that; false = Run has ended.
func query[T any](d *Dispatcher, newEvent func(reply chan<- T) event) (answer T, ok bool) {
	reply := make(chan T, 1)
	if d.send(newEvent(reply)) {
		select {
		case answer = <-reply:
			return answer, true
		case <-d.stopped:
		}
	}
	return answer, false
}
