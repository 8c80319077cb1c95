package hotrestart

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Successor is the new process's side of a handover.
type Successor struct {
	// Stopped and Reloaded are called with signals that the predecessor has got, from within ReceiveConns; nil = nobody is. Set them
	// before ReceiveConns.
	Stopped  func(Stop)
	Reloaded func(Reload)

	control          *control
	hello            Hello
	listener         *net.TCPListener
	state            []byte
	cancelled        chan struct{}
	decided          chan struct{} // closed when it is known whether this process may serve
	refusal          error         // why it may not, once decided is closed; nil = it may
	hasAll           atomic.Bool   // the handover is over, and all is this process's own
	foundPredecessor bool          // the platform has started this process, which can do without the other
	open             []string      // ids of requests that the predecessor has open
}

// Inherited returns the successor's side if this process was started by a predecessor, nil and nil if not. It waits for
// the predecessor's hello, listener and state. A hello that it can't work with is refused, and the error says why; so
// does one for a variable that names no control socket.
func Inherited(getenv func(string) string) (*Successor, error) {
	value := getenv(ControlVariable)
	if value == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(value)
	if err != nil {
		return nil, fmt.Errorf("handover: %s=%q: not a descriptor's number", ControlVariable, value)
	}
	c, err := openControl(fd)
	if err != nil {
		return nil, fmt.Errorf("handover: %s=%s: %w; unset it to start without a predecessor", ControlVariable, value, err)
	}
	s := &Successor{control: c, cancelled: make(chan struct{}), decided: make(chan struct{})}
	if err := s.readHello(); err != nil {
		return nil, s.Reject(err.Error())
	}
	go s.awaitServe()
	return s, nil
}

// readHello reads the hello and the state.
func (s *Successor) readHello() error {
	m, f, err := s.control.receive()
	if err != nil {
		return err
	}
	if m.kind != kindHello {
		return fmt.Errorf("%w: kind %q instead of a hello", errMalformed, m.kind)
	}
	if s.hello, err = decodeHello(m.body); err != nil {
		return err
	}
	if s.listener, err = tcpListener(f); err != nil {
		return err
	}
	var state bytes.Buffer // grows with what comes, not with what is promised
	for err == nil && state.Len() < s.hello.State {
		if m, _, err = s.control.receive(); err == nil {
			if m.kind != kindState || len(m.body) == 0 || state.Len()+len(m.body) > s.hello.State {
				err = fmt.Errorf("%w: kind %q with %d bytes within the state", errMalformed, m.kind, len(m.body))
			}
			state.Write(m.body)
		}
	}
	s.state = state.Bytes()
	return err
}

// awaitServe learns whether this process may serve.
func (s *Successor) awaitServe() {
	m, _, err := s.control.receive()
	for ; err == nil && m.kind == kindOpen; m, _, err = s.control.receive() {
		s.open = append(s.open, strings.Split(strings.TrimSuffix(string(m.body), "\n"), "\n")...)
	}
	switch {
	case err != nil:
		s.refusal = ErrCancelled
	case m.kind != kindServe:
		s.refusal = fmt.Errorf("%w: kind %q before this process was ready", errMalformed, m.kind)
	}
	if s.refusal != nil {
		close(s.cancelled)
	}
	close(s.decided)
}

// Hello is what the predecessor says of itself.
func (s *Successor) Hello() Hello { return s.hello }

// Listener is the predecessor's listener, as a copy of this process's own. It must not be accepted from before Ready
// has returned nil.
func (s *Successor) Listener() *net.TCPListener { return s.listener }

// StartedByPlatform reports whether the platform has started this process beside the other: if that one fails, this one serves alone.
func (s *Successor) StartedByPlatform() bool { return s.foundPredecessor }

// OpenRequests are the ids of requests that the predecessor had open when it let this process serve.
func (s *Successor) OpenRequests() []string { return s.open }

// State is the predecessor's state blob. It is released when Ready returns.
func (s *Successor) State() []byte { return s.state }

// Cancelled is closed when the predecessor ends or calls the handover off before this process serves. It should exit
// then, whatever it is about: its copy of the listener keeps the address taken.
func (s *Successor) Cancelled() <-chan struct{} { return s.cancelled }

// CheckAddress refuses the handover, with an error that says so, unless this process is configured to listen on the address that
// the predecessor is.
func (s *Successor) CheckAddress(address string) error {
	if address == s.hello.Address {
		return nil
	}
	return s.Reject(fmt.Sprintf("the running process is configured to listen on %q, this one on %q: restart instead",
		s.hello.Address, address))
}

// Reject tells the predecessor why this process can't take over, of which it gets up to 1 KiB, and returns that as an
// error. This process should exit then.
func (s *Successor) Reject(reason string) error {
	// A predecessor that does not get the reason sees this process end.
	_ = s.control.send(message{kind: kindRefuse, body: []byte(reason[:min(len(reason), maxReason)])}, noDescriptor)
	_ = s.Close()
	return fmt.Errorf("handover refused: %s", reason)
}

// Ready tells the predecessor that this process can serve, and returns nil when it may: the predecessor accepts no more
// connections from then on. After an error, ErrCancelled for one, it must not serve and should exit.
func (s *Successor) Ready() error {
	err := s.control.send(message{kind: kindReady, number: uint64(os.Getpid())}, noDescriptor)
	if err == nil || isClosedByPeer(err) {
		if s.foundPredecessor {
			defer time.AfterFunc(rendezvousTimeout, func() { _ = s.control.SetReadDeadline(longAgo) }).Stop()
		}
		<-s.decided
		if err = s.refusal; err != nil && s.foundPredecessor {
			s.hasAll.Store(true)
			_ = s.Close()
		}
	}
	s.state = nil
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Close gives the handover up if it is under way: what the predecessor has not passed stays its own, and it serves on.
func (s *Successor) Close() error { return s.control.Close() }
