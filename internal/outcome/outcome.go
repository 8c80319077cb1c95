// Package outcome defines the ways in which connections, attempts and probes end.
package outcome

import (
	"errors"
	"io"
	"net"
	"os"

	"plankrouter/policy"
)

// Kind is how a connection, an attempt or a probe has ended.
type Kind uint8

// The kinds, grouped by what has ended. For attempts and probes, the groups also say whether the request has run.
const (
	Open Kind = iota // it has not ended

	// A client or server connection.
	IdleRetired         // idle for too long, or closed to make room for another
	PeerClosed          // the other side closed it
	UnexpectedBytes     // bytes were received without a request
	ClosedAfterResponse // the response sent or received said that the connection would be closed
	ShuttingDown        // the sidecar shuts down
	ClientGone          // the client left while its request was pending
	MalformedRequest    // what the client sent is malformed
	RequestTimedOut     // the client stopped in the middle of a request, or sent it too slowly
	ResponseAborted     // the server connection was closed or reset in the middle of a response that was being forwarded
	WriteFailed         // the response could not be written to the client
	PassedToSuccessor   // passed on to the successor in a hot restart

	// An attempt or a probe with a response.
	Served       // status 200 and a complete body
	ServerError  // another status, except one that says that the request has not run
	Declined     // the response says that the request has not run
	NoLoadReport // the response to a probe can't be used: it has no complete load report, or is from an earlier process

	// An attempt or a probe that has not run.
	ConnectionLimit // the connection limit was reached
	LocalError      // this machine could not open a connection: no file descriptor, no port, no route
	ConnectRefused  // the connection was refused, or failed otherwise
	ConnectTimeout  // the connection was not established in time
	ServerDraining  // the server was draining or gone before the first byte was written
	Expired         // the time in which servers drop repeats of the request was over before the last byte was written
	PartlyWritten   // the connection was closed or reset, or the attempt timed out, before the last byte was written
	Withdrawn       // cancelled before the last byte was written

	// An attempt or a probe that may have run.
	ResetByPeer // the connection was reset or closed before the whole response was received
	Malformed   // the response is not valid HTTP, or too large
	TimedOut    // no response was received in time
	Cancelled   // the sidecar stopped waiting for the response

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
	RequestTimedOut:     {"request_timeout", policy.NotSent},
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

// Status returns the policy's status for an attempt or a probe of this kind.
func (k Kind) Status() policy.Status { return kinds[k].status }

func (k Kind) String() string { return kinds[k].name }

// Unsent returns the kind that replaces k if the last byte of the request has not been written: a request that the server has
// not received completely can't have run.
func (k Kind) Unsent() Kind {
	switch k {
	case Cancelled:
		return Withdrawn
	case TimedOut, ResetByPeer, Malformed:
		return PartlyWritten
	}
	return k
}

// FromIdleError returns how an idle connection has ended, given the error of the read on it. A nil error means that bytes
// were received without a request.
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

// Counts holds the count of each kind.
type Counts [kindCount]int

// Each calls f with every kind that was counted, in a fixed order.
func (c *Counts) Each(f func(Kind, int)) {
	for k, n := range c {
		if n > 0 {
			f(Kind(k), n)
		}
	}
}
