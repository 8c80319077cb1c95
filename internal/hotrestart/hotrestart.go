// Package hotrestart replaces a running daemon by a new process, possibly of a new binary, without losing a request. The
// running process, the predecessor, starts its successor, which inherits a control socket. The predecessor sends the listener
// and a state blob over it and, once the successor is ready, its open connections one by one. Until then the predecessor keeps
// serving, and it resumes serving if the successor exits before the handover is complete. docs/design/handover.md
// specifies which process may use a connection at which step. Linux only.
//
// The predecessor:
//
//	p, err := c.Start(ctx, listener, hotrestart.Options{State: snapshot, ...}) // returns when the successor is ready
//	listener.SetDeadline(past)                                               // stop accepting, but keep the listener open
//	err = p.TransferConn(conn, note); conn.Close()                           // for each connection once it is idle
//	err = p.Complete()                                                       // then exit; if Lost is closed: accept again
//
// The successor:
//
//	s, err := hotrestart.Inherited(os.Getenv)           // nil, nil without a predecessor
//	err = s.CheckAddress(address)                     // and read s.State()
//	err = s.Ready()                                   // then serve s.Listener()
//	err = s.ReceiveConns(ctx, func(c *net.TCPConn, note []byte) { ... })
//
// An error affects only the connection that the failed call was made for. Each connection belongs to exactly one of the two
// processes, and each method documents to which one.
package hotrestart

import (
	"errors"
	"sync"
	"time"
)

const (
	// Version is the version of the protocol between the two processes. A handover requires the same version on both sides.
	Version = 3
	// ControlVariable is the environment variable that holds the number of a successor's control socket descriptor.
	ControlVariable = "GW_HANDOVER"

	defaultReadyTimeout = 30 * time.Second // from the start of a successor until it must be ready
	defaultAckTimeout   = 10 * time.Second // without any response, while one is pending, before the successor is killed
	terminateTimeout    = time.Second      // for a failed successor to log the reason and exit before it is killed
)

// Errors that end or prevent a handover. They are returned wrapped.
var (
	ErrInProgress      = errors.New("another handover is in progress")
	ErrSuccessorLost   = errors.New("the successor exited before the handover was complete")
	ErrFinished        = errors.New("the handover is already complete")
	ErrCancelled       = errors.New("the predecessor exited or cancelled the handover: this process must not serve")
	ErrPredecessorLost = errors.New("the predecessor exited before the handover was complete: this process continues alone")
)

// Coordinator allows one handover from this process at a time, and none before this process has received everything from
// its own predecessor. It is safe for concurrent use. The zero value is for a process without a predecessor.
type Coordinator struct {
	Inherited *Successor // the handover from the predecessor; nil = there is none

	mu   sync.Mutex
	busy bool
}

// claim reserves the Coordinator for a handover, and reports whether it was free to start one.
func (c *Coordinator) claim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.Inherited != nil && !c.Inherited.complete.Load() {
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
