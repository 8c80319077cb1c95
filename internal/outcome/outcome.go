// Package outcome names every way in which a connection, an attempt or a probe can end.
package outcome

import (
	"errors"
	"io"
	"net"
	"os"

	"plankrouter/policy"
)

// Kind is one of them.
type Kind uint8

// The kinds, by what had been under way.
const (
	Open Kind = iota // not ended

	// Of a connection between two requests, on either side.
	IdleRetired         // idle for too long, or closed to make room for another
	PeerClosed          // the other side closed it
	UnexpectedBytes     // bytes came that nobody had asked for
	ClosedAfterResponse // the answer that was sent or received was declared to be the last
	ShuttingDown        // the sidecar shuts down
	ClientGone          // the client left while its request was pending
	MalformedRequest    // what the client sent is malformed
	ResponseAborted     // the server broke off in the middle of an answer that was being passed on
	WriteFailed         // the answer could not be written to the client
	PassedToSuccessor   // the next process of a hot restart has it now

	// Of an attempt or a probe: answered.
	Served       // 200 and a whole body
	ServerError  // an answer that is neither a 200 nor says that the request has not run
	Declined     // the server says that the request has not run
	NoLoadReport // a probe's, without the load report that it should bring, or of an earlier process: it says nothing

	// Of an attempt or a probe: never ran.
	ConnectionLimit // the limit on connections left none for it
	LocalError      // this machine could not even try: no descriptor, no port, no route
	ConnectRefused  // the connection was refused or came to nothing
	ConnectTimeout  // the connection did not come up in time
	ServerDraining  // the server was draining or gone before the first byte was written
	Expired         // the time in which it could be repeated was over before the last byte was written
	PartlyWritten   // the connection broke, or time was up, before the last byte was written
	Withdrawn       // given up before the last byte was written

	// Of an attempt or a probe: may have run.
	ResetByPeer // the connection broke or ended before the whole answer had come
	Malformed   // what came back is no HTTP answer, or too large a one
	TimedOut    // nothing came back in time
	Cancelled   // the sidecar stopped waiting

	kindCount
)

var kinds = [kindCount]struct {
	name   string
	status policy.Status
}{
	Open:                {"open", policy.NotSent},
	IdleRetired:         {"idle_retired", policy.NotSent},
	PeerClosed:          {"peer_closed", policy.NotSent},
	UnexpectedBytes:     {"unasked", policy.NotSent},
	ClosedAfterResponse: {"last_answer", policy.NotSent},
	ShuttingDown:        {"stopped", policy.NotSent},
	ClientGone:          {"consumer_gone", policy.Cancelled},
	MalformedRequest:    {"bad_input", policy.NotSent},
	ResponseAborted:     {"broken", policy.Reset},
	WriteFailed:         {"write_failed", policy.Cancelled},
	PassedToSuccessor:   {"handed_over", policy.NotSent},
	Served:              {"served", policy.OK},
	ServerError:         {"server_error", policy.Failed},
	Declined:            {"declined", policy.Declined},
	NoLoadReport:        {"unreadable", policy.NotSent},
	ConnectionLimit:     {"no_socket", policy.NotSent},
	LocalError:          {"local_fault", policy.NotSent},
	ConnectRefused:      {"refused", policy.ConnectFailed},
	ConnectTimeout:      {"connect_timeout", policy.ConnectFailed},
	ServerDraining:      {"drained", policy.ConnectFailed},
	Expired:             {"expired", policy.NotSent},
	PartlyWritten:       {"unwritten", policy.ConnectFailed},
	Withdrawn:           {"withdrawn", policy.NotSent},
	ResetByPeer:         {"reset", policy.Reset},
	Malformed:           {"malformed", policy.Reset},
	TimedOut:            {"timed_out", policy.TimedOut},
	Cancelled:           {"called_off", policy.Cancelled},
}

// Status returns the policy's status of an attempt or a probe that has ended so.
func (k Kind) Status() policy.Status { return kinds[k].status }

func (k Kind) String() string { return kinds[k].name }

// Unsent returns the kind that applies instead while the last byte has not been written: what the server has not received whole can't have
// run.
func (k Kind) Unsent() Kind {
	switch k {
	case Cancelled:
		return Withdrawn
	case TimedOut, ResetByPeer, Malformed:
		return PartlyWritten
	}
	return k
}

// FromIdleError returns how an idle connection has ended, by the error of its reader; without an error it got bytes that nobody asked for.
func FromIdleError(err error) Kind {
	switch {
	case err == nil:
		return UnexpectedBytes
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return IdleRetired
	case errors.Is(err, io.EOF):
		return PeerClosed
	}
	return ResetByPeer
}

// Counts has the number of each kind.
type Counts [kindCount]int

// Each calls f with every kind that was counted, in a fixed order.
func (c *Counts) Each(f func(Kind, int)) {
	for k, n := range c {
		if n > 0 {
			f(Kind(k), n)
		}
	}
}
