// Package outcome names every way in which a connection, or what was under way on it, can end.
package outcome

import (
	"errors"
	"io"
	"net"
	"os"
	"plankrouter/policy"
)

// Kind is one such way.
type Kind uint8

// The endings, by what had been under way.
const (
	Open Kind = iota // not ended

	// Of a connection between two invocations, on either side.
	IdleRetired         // left idle too long, or closed to make room for another
	PeerClosed          // the other side closed it
	UnexpectedBytes     // bytes came that nobody had asked for
	ClosedAfterResponse // the answer that went out or came in was said to be the last
	ShuttingDown        // the sidecar is being stopped
	ClientGone          // the consumer left while its invocation was held
	MalformedRequest    // what the consumer sent is malformed
	ResponseAborted     // the provider broke off in the middle of an answer that was being passed on
	WriteFailed         // the answer could not be written to the consumer
	PassedToSuccessor   // a successor has it now

	// Of an invoker call or a probe: answered.
	Served       // 200 and a whole body
	ServerError  // an answer that is neither a 200 nor a provider's word that it has not run
	Declined     // the provider's word that it has not run
	NoLoadReport // what became of a probe without the load report that it should bring, or sent to an earlier process: it says nothing

	// Of an invoker call or a probe: never ran.
	ConnectionLimit // the limit on sockets left none for it
	LocalError      // this machine could not even try: no descriptor, no port, no route
	ConnectRefused  // the connection was refused or came to nothing
	ConnectTimeout  // the connection did not come up in time
	ServerDraining  // the provider was draining or gone before the first byte was written
	Expired         // the time in which it could be repeated was over before the last byte was written
	PartlyWritten   // the connection broke, or time was up, before the last byte was written
	Withdrawn       // called off before the last byte was written

	// Of an invoker call or a probe: may have run.
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

// Status is the decision module's word for the ending of an invoker call or a probe.
func (k Kind) Status() policy.Status { return kinds[k].status }

func (k Kind) String() string { return kinds[k].name }

// Unsent turns an ending into the one that applies while the last byte has not been written: nothing that
// the provider has not wholly received can have run.
func (k Kind) Unsent() Kind {
	switch k {
	case Cancelled:
		return Withdrawn
	case TimedOut, ResetByPeer, Malformed:
		return PartlyWritten
	}
	return k
}

// FromIdleError reads how the reader of an idle connection was ended; without an error it got bytes that nobody asked for.
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

// Counts counts endings.
type Counts [kindCount]int

// Each calls f with every ending that has been counted, in a fixed order.
func (c *Counts) Each(f func(Kind, int)) {
	for e, n := range c {
		if n > 0 {
			f(Kind(e), n)
		}
	}
}
