package hotrestart

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Options says how to start the successor and what to tell it. The zero value of each field but Address has a meaning.
type Options struct {
	Path        string          // the program, looked up anew: it may be a new binary; "" = as this one was started
	Args        []string        // without the program's name; nil = this process's
	Env         []string        // as KEY=value; nil = this process's
	ReadyWithin time.Duration   // from Start on; 0 = 30 s
	AckWithin   time.Duration   // without any answer that is due; then the successor is killed; 0 = 10 s
	Name        string          // of the daemon, for the successor's log
	Address     string          // that the daemon was told to listen on; a successor told another one refuses
	State       []byte          // for the successor; at most MaxState bytes
	Open        func() []string // the ids of open requests, asked once the successor is ready; nil = none are told
}

// Predecessor is the running process's side of a handover whose successor is ready.
type Predecessor struct {
	coordinator *Coordinator
	control     *control
	cmd         *exec.Cmd // nil = the platform has started it: it can't be ended from here
	pid         int
	exited      chan struct{} // the successor has been reaped
	lost        chan struct{}
	transfers   sync.WaitGroup // calls of Pass

	mu         sync.Mutex
	lastNumber uint64
	answers    map[uint64]chan error // for the answers to what has been sent, by number
	ackTimeout time.Duration
	ackTimer   *time.Timer // runs while an answer is due; kills
	finished   bool        // Done has been called
	doneNumber uint64      // the number of its message
	lostErr    error       // ErrLost once the successor is
}

// Start starts the successor, hands it the listener and the state, and returns when it is ready to serve: from then on
// it accepts connections too. Whatever else happens, the successor has ended when Start returns, has not served, and
// the error says why: it could not be started, ended early (its exit status; its last words are in its log), refused
// (its reason), was not ready in time, or ctx ended. That takes up to a second more. ErrUnderWay: another handover is.
//
// On success the caller stops accepting (with a deadline, since it may need the listener again), calls Pass for its
// connections as they become idle, and then Done. The program must be Path itself or be put in place by exec, and this
// process must not be process 1, whose end would end the successor too.
func (c *Coordinator) Start(ctx context.Context, l *net.TCPListener, o Options) (*Predecessor, error) {
	switch {
	case len(o.State) > MaxState:
		return nil, fmt.Errorf("handover: state of %d bytes, at most %d", len(o.State), MaxState)
	case os.Getpid() == 1:
		return nil, errors.New("handover: process 1 can't hand over: its end ends all others; run it under an init")
	case !c.claim():
		return nil, fmt.Errorf("handover: %w", ErrUnderWay)
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
	cmd.Env = append(slices.Clip(env), Variable+"=3") // the first after the standard ones
	cmd.ExtraFiles = []*os.File{theirs}
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	if err := cmd.Start(); err != nil {
		mine.Close()
		return nil, err
	}
	p := &Predecessor{
		control: mine, cmd: cmd, pid: cmd.Process.Pid, ackTimeout: cmp.Or(o.AckWithin, defaultAckTimeout), exited: make(chan struct{}),
		lost: make(chan struct{}), answers: map[uint64]chan error{},
	}
	p.ackTimer = time.AfterFunc(p.ackTimeout, p.abort)
	p.ackTimer.Stop()
	go func() {
		cmd.Wait() // how it ended is in ProcessState
		close(p.exited)
	}()
	return p, nil
}

// prepare takes the successor to the point where it serves, or returns an error before that.
func (p *Predecessor) prepare(ctx context.Context, l *net.TCPListener, o Options) error {
	within := cmp.Or(o.ReadyWithin, defaultReadyTimeout)
	ctx, cancel := context.WithTimeoutCause(ctx, within, fmt.Errorf("not ready within %v", within))
	defer cancel()
	inTime := context.AfterFunc(ctx, func() { p.control.SetDeadline(longAgo) })
	err := p.awaitReady(l, o)
	switch {
	case !inTime(): // both at once is too late: it has to be the one or the other
		return context.Cause(ctx)
	case errors.Is(err, io.EOF):
		return errors.New("it ended before it was ready")
	case err != nil:
		return err
	}
	if o.Open != nil {
		if err := p.control.sendLines(kindOpen, o.Open()); err != nil {
			return err
		}
	}
	return p.control.send(message{kind: kindServe}, -1)
}

// abort ends a successor that hangs, or at least the handover to it.
func (p *Predecessor) abort() {
	if p.cmd != nil {
		p.cmd.Process.Kill()
	} else {
		p.control.SetDeadline(longAgo)
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
		err = p.control.send(message{kind: kindState, body: part}, -1)
	}
	return err
}

// terminate ends a successor that must not serve: it learns that from its control socket, and is killed if it hangs.
func (p *Predecessor) terminate() {
	p.control.Close()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.exited:
	case <-time.After(terminateTimeout):
		p.cmd.Process.Kill()
		<-p.exited
	}
}

// Pid is the successor's process id.
func (p *Predecessor) Pid() int { return p.pid }

// Lost is closed when the successor has ended, or has given the handover up, before Done. What has not been passed by
// then is this process's to serve, and so is the listener. A new handover may be started.
func (p *Predecessor) Lost() <-chan struct{} { return p.lost }

// TransferConn hands a connection over with a note of up to MaxNote bytes, and returns when the successor has taken it. From
// before the call on nothing may be read from it or written to it, and all that has been read of it must have been
// dealt with: what the kernel still holds goes along. After nil the connection is the successor's, and the caller
// closes its own copy with nothing but Close (no CloseWrite, no linger). After an error, ErrLost for one, the successor
// has never used it and never will: the caller serves on. It is safe for concurrent use.
func (p *Predecessor) TransferConn(c syscall.Conn, note []byte) error {
	if len(note) > MaxNote {
		return fmt.Errorf("handover: note of %d bytes, at most %d", len(note), MaxNote)
	}
	p.mu.Lock()
	if p.finished {
		p.mu.Unlock()
		return fmt.Errorf("handover: pass: %w", ErrFinished)
	}
	p.transfers.Add(1)
	p.mu.Unlock()
	defer p.transfers.Done()
	err := p.request(message{kind: kindConn, body: note}, func(m message) error { return p.control.sendConn(m, c) })
	if err != nil {
		return fmt.Errorf("handover: pass: %w", err)
	}
	return nil
}

// Complete waits for the calls of Pass under way, tells the successor that this was all, and returns when it knows: then
// everything is its own and this process should exit. systemd is told the successor's process id, if NOTIFY_SOCKET is
// set. After ErrLost this process serves on; ErrFinished says that Done has been called before.
func (p *Predecessor) Complete() error {
	p.mu.Lock()
	before := p.finished
	p.finished = true
	p.mu.Unlock()
	if before {
		return fmt.Errorf("handover: done: %w", ErrFinished)
	}
	p.transfers.Wait()
	err := p.request(message{kind: kindDone}, func(m message) error {
		p.mu.Lock()
		p.doneNumber = m.number
		p.mu.Unlock()
		return p.control.send(m, -1)
	})
	if err != nil {
		return fmt.Errorf("handover: done: %w", err)
	}
	// Not earlier: a main process that has ended takes the service's other processes along.
	if err := Notify(fmt.Sprintf("MAINPID=%d", p.Pid())); err != nil {
		log.Printf("handover=done successor=%d err=%q", p.Pid(), err)
	}
	return nil
}

// request sends a message under a number of its own and waits for its answer. A successor that hangs is killed: only when
// it has ended is it certain what it has taken. One that is slow is not, as long as it answers one message or another.
func (p *Predecessor) request(m message, send func(message) error) error {
	answer := make(chan error, 1)
	p.mu.Lock()
	if p.lostErr != nil {
		p.mu.Unlock()
		return p.lostErr
	}
	p.lastNumber++
	m.number = p.lastNumber
	p.answers[m.number] = answer
	if len(p.answers) == 1 {
		p.ackTimer.Reset(p.ackTimeout)
	}
	p.mu.Unlock()
	if err := send(m); err != nil && !isClosedByPeer(err) { // if it is gone, listen is about to see that too
		p.resolve(m.number, err)
	}
	return <-answer
}

// resolve gives the asker of that number its answer.
func (p *Predecessor) resolve(number uint64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if to := p.answers[number]; to != nil {
		delete(p.answers, number)
		to <- err
	}
	if p.ackTimer.Stop(); len(p.answers) > 0 {
		p.ackTimer.Reset(p.ackTimeout)
	}
}

// readAnswers reads the successor's answers until it has everything or its end of the socket is closed.
func (p *Predecessor) readAnswers() {
	defer p.control.Close()
	for {
		m, _, err := p.control.receive()
		switch {
		case errors.Is(err, io.EOF):
			p.markLost()
			return
		case err != nil && p.cmd == nil:
			p.markLost()
			return
		case err != nil:
			p.abort() // what it holds can't be told; what it had acknowledged and its end follow
		case m.kind == kindTaken:
			p.resolve(m.number, nil)
		case m.kind == kindLeft:
			p.resolve(m.number, fmt.Errorf("the successor did not get it: %s", m.body))
		case m.kind == kindDone:
			p.resolve(m.number, nil)
			return
		default:
			p.abort()
		}
	}
}

// markLost says that the successor is lost. Whatever it had taken it has acknowledged before.
func (p *Predecessor) markLost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostErr = ErrLost
	p.ackTimer.Stop()
	for number, to := range p.answers {
		delete(p.answers, number)
		if p.cmd == nil && number != p.doneNumber {
			to <- nil // it may have the connection and live: nobody here may read that any more
		} else {
			to <- ErrLost
		}
	}
	p.coordinator.release()
	close(p.lost)
}
