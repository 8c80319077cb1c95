package hotrestart

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Options sets how the successor is started and what is sent to it. Every field but Address may be left at its zero value.
type Options struct {
	Path         string          // of the program, looked up at each start, so that it may be a new binary; "" = os.Args[0]
	Args         []string        // without the program's name; nil = this process's arguments
	Env          []string        // as KEY=value; nil = this process's environment
	ReadyTimeout time.Duration   // from the call of Start or HandOverTo until the successor must be ready; 0 = 30 s
	AckTimeout   time.Duration   // without any response, while one is pending, before it is killed; 0 = 10 s; not for HandOverTo
	Name         string          // of the daemon, for the successor's log
	Address      string          // that the daemon is configured to listen on; the successor's must be the same
	State        []byte          // blob for the successor; at most MaxState bytes
	OpenRequests func() []string // returns the ids of open requests; called once the successor is ready; nil = none are sent
}

// Predecessor is the running process's side of a handover to a successor that is ready.
type Predecessor struct {
	coordinator *Coordinator
	control     *control
	cmd         *exec.Cmd      // nil = the platform started the successor, so this process can't kill it
	pid         int            // of the successor
	exited      chan struct{}  // closed when the successor has been reaped; nil if cmd is nil
	lost        chan struct{}  // see Lost
	transfers   sync.WaitGroup // calls of TransferConn in progress

	mu             sync.Mutex
	lastNumber     uint64                // number of the last request to the successor
	pending        map[uint64]chan error // receives the result of each unanswered request, by its number
	ackTimeout     time.Duration
	ackTimer       *time.Timer // runs while a response is pending; calls abort when it fires
	finished       bool        // Complete has been called
	completeNumber uint64      // number of Complete's request
	lostErr        error       // ErrSuccessorLost once the successor is lost; nil before
}

// Start starts the successor, sends it the listener and the state, and returns when it is ready to serve: from then on
// it accepts connections, too. If Start returns an error, the successor has exited and has not served, and the error has the
// reason: it could not be started, exited early (with its exit status; details are in its log), rejected the handover
// (with its reason), was not ready in time, or ctx ended. Waiting for its exit takes up to another second. The error is
// ErrInProgress if another handover is in progress.
//
// On success the caller stops accepting (with a deadline, since it may need the listener again), calls TransferConn for
// each of its connections once it is idle, and then Complete. Path must be the program itself or a wrapper that execs it,
// and this process must not be process 1, because the successor would be killed when it exits.
func (c *Coordinator) Start(ctx context.Context, l *net.TCPListener, o Options) (*Predecessor, error) {
	switch {
	case len(o.State) > MaxState:
		return nil, fmt.Errorf("handover: state of %d bytes, at most %d", len(o.State), MaxState)
	case os.Getpid() == 1:
		return nil, errors.New("handover: process 1 can't hand over: all other processes end with it; run it under an init process")
	case !c.claim():
		return nil, fmt.Errorf("handover: %w", ErrInProgress)
	}
	p, err := startSuccessor(o)
	if err != nil {
		c.release()
		return nil, fmt.Errorf("handover: start the successor: %w", err)
	}
	return c.prepare(ctx, p, l, o)
}

// prepare waits until the successor is ready and allows it to serve. On an error it ends the successor and releases the
// Coordinator.
func (c *Coordinator) prepare(ctx context.Context, p *Predecessor, l *net.TCPListener, o Options) (*Predecessor, error) {
	p.coordinator = c
	if err := p.prepare(ctx, l, o); err != nil {
		p.terminate()
		c.release()
		if p.cmd != nil {
			err = fmt.Errorf("(%v): %w", p.cmd.ProcessState, err)
		}
		return nil, fmt.Errorf("handover: successor %d: %w", p.Pid(), err)
	}
	go p.readResponses()
	return p, nil
}

// startSuccessor starts the successor's program with the remote end of a new control socket.
func startSuccessor(o Options) (*Predecessor, error) {
	local, remote, err := socketPair()
	if err != nil {
		return nil, err
	}
	defer remote.Close()
	args, env := o.Args, o.Env
	if args == nil {
		args = os.Args[1:]
	}
	if env == nil {
		env = os.Environ()
	}
	cmd := exec.Command(cmp.Or(o.Path, os.Args[0]), args...)
	cmd.Env = append(slices.Clip(env), ControlVariable+"=3") // ExtraFiles start at descriptor 3
	cmd.ExtraFiles = []*os.File{remote}
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	if err := cmd.Start(); err != nil {
		_ = local.Close()
		return nil, err
	}
	p := &Predecessor{
		control: local, cmd: cmd, pid: cmd.Process.Pid, ackTimeout: cmp.Or(o.AckTimeout, defaultAckTimeout), exited: make(chan struct{}),
		lost: make(chan struct{}), pending: map[uint64]chan error{},
	}
	p.ackTimer = time.AfterFunc(p.ackTimeout, p.abort)
	p.ackTimer.Stop()
	go func() {
		_ = cmd.Wait() // the result is in ProcessState
		close(p.exited)
	}()
	return p, nil
}

// prepare does the handover up to kindServe, which allows the successor to serve. After an error the successor has not
// been allowed to serve.
func (p *Predecessor) prepare(ctx context.Context, l *net.TCPListener, o Options) error {
	timeout := cmp.Or(o.ReadyTimeout, defaultReadyTimeout)
	ctx, cancel := context.WithTimeoutCause(ctx, timeout, fmt.Errorf("not ready within %v", timeout))
	defer cancel()
	stopTimeout := context.AfterFunc(ctx, func() { _ = p.control.SetDeadline(expiredDeadline) })
	err := p.awaitReady(l, o)
	switch {
	case !stopTimeout(): // ready at the moment of the timeout counts as too late, since the deadline may be set already
		return context.Cause(ctx)
	case errors.Is(err, io.EOF):
		return errors.New("it exited before it was ready")
	case err != nil:
		return err
	}
	if o.OpenRequests != nil {
		if err := p.control.sendLines(kindOpenRequests, o.OpenRequests()); err != nil {
			return err
		}
	}
	return p.control.send(message{kind: kindServe}, noDescriptor)
}

// abort kills a successor that hangs, or ends the handover to it if this process did not start it.
func (p *Predecessor) abort() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill() // fails only if it has exited
	} else {
		_ = p.control.SetDeadline(expiredDeadline)
	}
}

// awaitReady sends the hello and waits for the successor's response.
func (p *Predecessor) awaitReady(l *net.TCPListener, o Options) error {
	// A successor that rejects the handover may close its end before it has read everything.
	if err := p.sendHello(l, o); err != nil && !isClosedByPeer(err) {
		return err
	}
	m, _, err := p.control.receive()
	switch {
	case err != nil:
		return err
	case m.kind == kindReject:
		return fmt.Errorf("it rejected the handover: %s", m.body)
	case m.kind != kindReady:
		return fmt.Errorf("%w: kind %q before it was ready", errMalformed, m.kind)
	case m.number != uint64(p.Pid()):
		// This process can neither wait for the exit of a process that it did not start nor kill it.
		return fmt.Errorf("ready was sent by process %d instead: start the program directly or by exec", m.number)
	}
	return nil
}

// sendHello sends the hello with the listener, then the state.
func (p *Predecessor) sendHello(l *net.TCPListener, o Options) error {
	b, err := cbor.Marshal(Hello{Version: Version, Name: o.Name, Address: o.Address, State: len(o.State)})
	if err != nil {
		return err
	}
	err = p.control.sendConn(message{kind: kindHello, body: b}, l)
	for rest := o.State; len(rest) > 0 && err == nil; {
		part := rest[:min(len(rest), maxBody)]
		rest = rest[len(part):]
		err = p.control.send(message{kind: kindState, body: part}, noDescriptor)
	}
	return err
}

// terminate ends a successor that must not serve. Closing the control socket makes it exit; if it was started by this
// process and has not exited within terminateTimeout, it is killed.
func (p *Predecessor) terminate() {
	_ = p.control.Close()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.exited:
	case <-time.After(terminateTimeout):
		_ = p.cmd.Process.Kill() // fails only if it has exited
		<-p.exited
	}
}

// Pid returns the successor's process id.
func (p *Predecessor) Pid() int { return p.pid }

// Lost returns a channel that is closed when the successor exits or abandons the handover before Complete has succeeded.
// This process then serves the listener and all connections that it has not transferred. A new handover may be started.
func (p *Predecessor) Lost() <-chan struct{} { return p.lost }
