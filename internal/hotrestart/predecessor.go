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

// Options says how to start the successor and what it gets. The zero value of each field but Address has a meaning.
type Options struct {
	Path         string          // the program, looked up anew: it may be a new binary; "" = as this one was started
	Args         []string        // without the program's name; nil = this process's
	Env          []string        // as KEY=value; nil = this process's
	ReadyTimeout time.Duration   // from Start on; 0 = 30 s
	AckTimeout   time.Duration   // without any answer that is due; then the successor is killed; 0 = 10 s
	Name         string          // of the daemon, for the successor's log
	Address      string          // that the daemon is configured to listen on; a successor with another one refuses
	State        []byte          // for the successor; at most MaxState bytes
	OpenRequests func() []string // the ids of open requests, asked for once the successor is ready; nil = none are sent
}

// Predecessor is the running process's side of a handover whose successor is ready.
type Predecessor struct {
	coordinator *Coordinator
	control     *control
	cmd         *exec.Cmd // nil = the platform has started it: it can't be ended from here
	pid         int
	exited      chan struct{} // the successor has been reaped
	lost        chan struct{}
	transfers   sync.WaitGroup // calls of TransferConn under way

	mu         sync.Mutex
	lastNumber uint64
	answers    map[uint64]chan error // what is due for each message sent, by its number
	ackTimeout time.Duration
	ackTimer   *time.Timer // runs while an answer is due; aborts
	finished   bool        // Complete has been called
	doneNumber uint64      // the number of its message
	lostErr    error       // ErrLost once the successor is
}

// Start starts the successor, hands it the listener and the state, and returns when it is ready to serve: from then on
// it accepts connections too. Whatever else happens, the successor has ended when Start returns, has not served, and
// the error says why: it could not be started, ended early (its exit status; its last words are in its log), refused
// (its reason), was not ready in time, or ctx ended. That takes up to a second more. ErrUnderWay: another handover is.
//
// On success the caller stops accepting (with a deadline, since it may need the listener again), calls TransferConn for
// its connections as they become idle, and then Complete. The program must be Path itself or be put in place by exec, and this
// process must not be process 1, whose end would end the successor too.
func (c *Coordinator) Start(ctx context.Context, l *net.TCPListener, o Options) (*Predecessor, error) {
	switch {
	case len(o.State) > MaxState:
		return nil, fmt.Errorf("handover: state of %d bytes, at most %d", len(o.State), MaxState)
	case os.Getpid() == 1:
		return nil, errors.New("handover: process 1 can't hand over: its end ends all others; run it under an init")
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

// prepare takes the successor to where it serves.
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
	go p.readAnswers()
	return p, nil
}

// startSuccessor starts the program with its end of the control socket.
func startSuccessor(o Options) (*Predecessor, error) {
	mine, theirs, err := socketPair()
	if err != nil {
		return nil, err
	}
	defer theirs.Close()
	args, env := o.Args, o.Env
	if args == nil {
		args = os.Args[1:]
	}
	if env == nil {
		env = os.Environ()
	}
	cmd := exec.Command(cmp.Or(o.Path, os.Args[0]), args...)
	cmd.Env = append(slices.Clip(env), ControlVariable+"=3") // the first after the standard ones
	cmd.ExtraFiles = []*os.File{theirs}
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	if err := cmd.Start(); err != nil {
		_ = mine.Close()
		return nil, err
	}
	p := &Predecessor{
		control: mine, cmd: cmd, pid: cmd.Process.Pid, ackTimeout: cmp.Or(o.AckTimeout, defaultAckTimeout), exited: make(chan struct{}),
		lost: make(chan struct{}), answers: map[uint64]chan error{},
	}
	p.ackTimer = time.AfterFunc(p.ackTimeout, p.abort)
	p.ackTimer.Stop()
	go func() {
		_ = cmd.Wait() // how it ended is in ProcessState
		close(p.exited)
	}()
	return p, nil
}

// prepare takes the successor to the point where it serves, or returns an error before that.
func (p *Predecessor) prepare(ctx context.Context, l *net.TCPListener, o Options) error {
	within := cmp.Or(o.ReadyTimeout, defaultReadyTimeout)
	ctx, cancel := context.WithTimeoutCause(ctx, within, fmt.Errorf("not ready within %v", within))
	defer cancel()
	inTime := context.AfterFunc(ctx, func() { _ = p.control.SetDeadline(longAgo) })
	err := p.awaitReady(l, o)
	switch {
	case !inTime(): // both at once is too late: it has to be the one or the other
		return context.Cause(ctx)
	case errors.Is(err, io.EOF):
		return errors.New("it ended before it was ready")
	case err != nil:
		return err
	}
	if o.OpenRequests != nil {
		if err := p.control.sendLines(kindOpen, o.OpenRequests()); err != nil {
			return err
		}
	}
	return p.control.send(message{kind: kindServe}, noDescriptor)
}

// abort ends a successor that hangs, or at least the handover to it.
func (p *Predecessor) abort() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill() // an error says that it has ended
	} else {
		_ = p.control.SetDeadline(longAgo)
	}
}

func (p *Predecessor) awaitReady(l *net.TCPListener, o Options) error {
	// A successor that refuses may have read only a part of it.
	if err := p.sendHello(l, o); err != nil && !isClosedByPeer(err) {
		return err
	}
	m, _, err := p.control.receive()
	switch {
	case err != nil:
		return err
	case m.kind == kindRefuse:
		return fmt.Errorf("it refuses: %s", m.body)
	case m.kind != kindReady:
		return fmt.Errorf("%w: kind %q before it was ready", errMalformed, m.kind)
	case m.number != uint64(p.Pid()):
		// Neither its end could be seen nor could it be ended.
		return fmt.Errorf("process %d is ready in its place: start the program directly or by exec", m.number)
	}
	return nil
}

// sendHello sends the hello, the listener and the state.
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

// terminate ends a successor that must not serve: it learns that from its control socket, and is killed if it hangs.
func (p *Predecessor) terminate() {
	_ = p.control.Close()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.exited:
	case <-time.After(terminateTimeout):
		_ = p.cmd.Process.Kill() // an error says that it has ended
		<-p.exited
	}
}

// Pid is the successor's process id.
func (p *Predecessor) Pid() int { return p.pid }

// Lost is closed when the successor has ended, or has given the handover up, before Complete. What has not been passed by
// then is this process's to serve, and so is the listener. A new handover may be started.
func (p *Predecessor) Lost() <-chan struct{} { return p.lost }
