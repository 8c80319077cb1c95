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
	// Stopped and Reloaded are called from ReceiveConns with signals that the predecessor forwards; nil = the signal is
	// ignored. Set them before calling ReceiveConns.
	Stopped  func(Stop)
	Reloaded func(Reload)

	control           *control
	hello             Hello
	listener          *net.TCPListener
	state             []byte
	cancelled         chan struct{} // see Cancelled
	serveDecided      chan struct{} // closed once it is known whether this process may serve
	serveErr          error         // why it may not serve; nil = it may; valid once serveDecided is closed
	complete          atomic.Bool   // the handover is over, and this process serves alone
	startedByPlatform bool          // the platform started this process, which can serve without the predecessor
	openRequests      []string      // ids of the predecessor's open requests
}

// Inherited returns the successor's side of the handover if this process was started by a predecessor, and nil and nil if
// not. It waits for the predecessor's hello, listener and state. If they are invalid, it rejects the handover and returns
// the reason as an error. It also returns an error if the variable does not hold the descriptor of a control socket.
func Inherited(getenv func(string) string) (*Successor, error) {
	value := getenv(ControlVariable)
	if value == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(value)
	if err != nil {
		return nil, fmt.Errorf("handover: %s=%q: not a descriptor number", ControlVariable, value)
	}
	c, err := openControl(fd)
	if err != nil {
		return nil, fmt.Errorf("handover: %s=%s: %w; unset it to start without a predecessor", ControlVariable, value, err)
	}
	s := &Successor{control: c, cancelled: make(chan struct{}), serveDecided: make(chan struct{})}
	if err := s.readHello(); err != nil {
		return nil, s.Reject(err.Error())
	}
	go s.awaitServe()
	return s, nil
}

// readHello receives the hello, the listener and the state.
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
	var state bytes.Buffer // grows with the data received, not to the announced length
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

// awaitServe receives the ids of open requests and the decision whether this process may serve.
func (s *Successor) awaitServe() {
	m, _, err := s.control.receive()
	for ; err == nil && m.kind == kindOpenRequests; m, _, err = s.control.receive() {
		s.openRequests = append(s.openRequests, strings.Split(strings.TrimSuffix(string(m.body), "\n"), "\n")...)
	}
	switch {
	case err != nil:
		s.serveErr = ErrCancelled
	case m.kind != kindServe:
		s.serveErr = fmt.Errorf("%w: kind %q before this process was ready", errMalformed, m.kind)
	}
	if s.serveErr != nil {
		close(s.cancelled)
	}
	close(s.serveDecided)
}

// Hello returns the predecessor's hello.
func (s *Successor) Hello() Hello { return s.hello }

// Listener returns this process's copy of the predecessor's listener. No connection may be accepted on it before Ready has
// returned nil.
func (s *Successor) Listener() *net.TCPListener { return s.listener }

// StartedByPlatform reports whether the platform, and not the predecessor, started this process. If the predecessor
// fails, such a process serves alone.
func (s *Successor) StartedByPlatform() bool { return s.startedByPlatform }

// OpenRequests returns the ids of the requests that were open in the predecessor when it allowed this process to serve.
func (s *Successor) OpenRequests() []string { return s.openRequests }

// State returns the predecessor's state blob, or nil after Ready has returned.
func (s *Successor) State() []byte { return s.state }

// Cancelled returns a channel that is closed when the predecessor exits or cancels the handover before this process
// serves. This process should then exit immediately, because its copy of the listener keeps the address in use.
func (s *Successor) Cancelled() <-chan struct{} { return s.cancelled }

// CheckAddress rejects the handover and returns an error unless address, on which this process is configured to listen, is the
// predecessor's.
func (s *Successor) CheckAddress(address string) error {
	if address == s.hello.Address {
		return nil
	}
	return s.Reject(fmt.Sprintf("the running process is configured to listen on %q, this one on %q: do a full restart instead",
		s.hello.Address, address))
}

// Reject sends the predecessor the reason why this process can't take over, cut off at 1 KiB, and returns the reason as an
// error. This process should then exit.
func (s *Successor) Reject(reason string) error {
	// A predecessor that does not receive the reason notices that the socket is closed.
	_ = s.control.send(message{kind: kindReject, body: []byte(reason[:min(len(reason), maxReason)])}, noDescriptor)
	_ = s.Close()
	return fmt.Errorf("handover rejected: %s", reason)
}

// Ready notifies the predecessor that this process can serve, and returns nil once it may: from then on the predecessor
// accepts no more connections. After an error, such as ErrCancelled, this process must not serve and should exit, unless
// StartedByPlatform.
func (s *Successor) Ready() error {
	err := s.control.send(message{kind: kindReady, number: uint64(os.Getpid())}, noDescriptor)
	if err == nil || isClosedByPeer(err) {
		if s.startedByPlatform {
			defer time.AfterFunc(rendezvousTimeout, func() { _ = s.control.SetReadDeadline(expiredDeadline) }).Stop()
		}
		<-s.serveDecided
		if err = s.serveErr; err != nil && s.startedByPlatform {
			s.complete.Store(true)
			_ = s.Close()
		}
	}
	s.state = nil
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Close abandons a handover in progress: the predecessor keeps what it has not transferred and resumes serving.
func (s *Successor) Close() error { return s.control.Close() }
