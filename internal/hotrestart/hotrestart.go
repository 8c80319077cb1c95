// Package hotrestart replaces a running daemon by a new process, perhaps of a new binary, without a request lost. The
// running process, the predecessor, starts its successor, which inherits a control socket. Over that come the listener,
// a state blob and, once the successor is ready, the live connections one by one. Until then the predecessor serves on
// as if nothing were, and it does so again if the successor ends before everything is its own. docs/design/handover.md
// says who may use a connection at which step. Linux only.
//
// The predecessor:
//
//	p, err := c.Start(ctx, listener, hotrestart.Options{State: snapshot, ...}) // returns when the successor is ready
//	listener.SetDeadline(past)                                               // stop accepting, but keep the listener
//	err = p.TransferConn(conn, note); conn.Close()                           // each, once it is idle
//	err = p.Complete()                                                       // then exit; on Lost: accept again
//
// The successor:
//
//	s, err := hotrestart.Inherited(os.Getenv)           // nil, nil where there is no predecessor
//	err = s.Check(address)                            // and read s.State()
//	err = s.Ready()                                   // then serve s.Listener()
//	err = s.ReceiveConns(ctx, func(c *net.TCPConn, note []byte) { ... })
//
// Errors of a handover never concern connections other than the one in hand: a connection is either this side's or the
// other's, and each method says which.
package hotrestart

import (
	"errors"
	"sync"
	"time"
)

const (
	// Version is that of the protocol between the two processes. Only the same versions hand over to one another.
	Version = 3
	// ControlVariable names, in a successor's environment, the descriptor of its control socket.
	ControlVariable = "GW_HANDOVER"

	defaultReadyTimeout = 30 * time.Second // for a successor to become ready
	defaultAckTimeout   = 10 * time.Second // without any answer that is due
	terminateTimeout    = time.Second      // for a successor that has failed, to end by itself and say why in its log
)

// What ends a handover. They come wrapped.
var (
	ErrInProgress      = errors.New("a handover is under way")
	ErrSuccessorLost   = errors.New("the successor has ended before it had everything")
	ErrFinished        = errors.New("the handover is finished")
	ErrCancelled       = errors.New("the predecessor has ended or called the handover off: this process must not serve")
	ErrPredecessorLost = errors.New("the predecessor has ended before it was done: this process goes on alone")
)

// Coordinator is a process's one place in a line of processes: it lets only one handover be under way. It is safe for
// concurrent use. The zero value is that of a process without a predecessor.
type Coordinator struct {
	Inherited *Successor // of a process that has a predecessor; it hands over only once it has everything

	mu   sync.Mutex
	busy bool
}

func (c *Coordinator) claim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.Inherited != nil && !c.Inherited.hasAll.Load() {
		return false
	}
	c.busy = true
	return true
}

func (c *Coordinator) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}
