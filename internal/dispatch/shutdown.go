package dispatch

import (
	"container/heap"
	"time"

	"plankrouter/internal/request"
	"plankrouter/internal/shutdown"
	"plankrouter/policy"
)

// ShuttingDown is the reason for rejecting a request that arrives when this process may be killed soon. The dispatcher decides
// that itself: the policy knows nothing about processes.
const ShuttingDown policy.Reason = "ending"

// ScheduleShutdown reports that the process was signalled to stop at the given time. Requests are answered by the schedule's
// deadlines from then on.
func (d *Dispatcher) ScheduleShutdown(schedule shutdown.Schedule, at time.Time) {
	d.send(shutdownScheduled{schedule, at})
}

func (e shutdownScheduled) apply(d *Dispatcher) {
	d.shutdownAt = e.signalledAt
	d.shutdownSchedule = e.schedule
	for id, pending := range d.requests {
		req := pending.request
		uploading := req.Remainder != nil // its body may not have been sent in full yet; its own deadline is unknown until then
		end := req.SentAt.Add(d.waitLimit(req))
		if uploading {
			end = d.shutdownAt.Add(e.schedule.LastResponse)
		}
		if !pending.closed && (uploading || end.Before(req.SentAt.Add(req.Timeout))) {
			heap.Push(&d.timers, &timer{fireAt: end, handle: uint64(id)}) // the policy handles it like the request's own deadline
		}
	}
}

// isPastLastForward reports whether this process may be killed so soon that it forwards no new request.
func (d *Dispatcher) isPastLastForward(now time.Time) bool {
	return !d.shutdownAt.IsZero() && now.Sub(d.shutdownAt) >= d.shutdownSchedule.LastForward
}

// rejectForShutdown rejects a request of which nothing was sent to a server.
func (d *Dispatcher) rejectForShutdown(id policy.RequestID) {
	d.countUnserved(&policy.Action{Request: id, Reason: ShuttingDown})
	d.respond(id, request.Response{Kind: request.Rejected})
}
