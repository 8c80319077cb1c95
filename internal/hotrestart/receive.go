package hotrestart

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
)

// ReceiveConns calls accept, from one goroutine, with each connection that the predecessor transfers and the note sent
// with it. While accept runs, no message is acknowledged, and the predecessor kills a successor that does not respond, so
// accept should return soon. Call ReceiveConns once, after Ready. It returns nil when the predecessor has transferred
// everything and exits, and ErrPredecessorLost when the predecessor has exited before that: in both cases this process is
// the only one that serves. After any other error, such as that of ctx, the predecessor is alive and serves again once
// Close has been called or this process has exited: this process should stop accepting first, and then exit.
func (s *Successor) ReceiveConns(ctx context.Context, accept func(c *net.TCPConn, note []byte)) error {
	defer context.AfterFunc(ctx, func() { _ = s.control.SetDeadline(expiredDeadline) })()
	if <-s.serveDecided; s.serveErr != nil {
		return fmt.Errorf("handover: %w", s.serveErr)
	}
	for {
		complete, err := s.receiveNext(ctx, accept)
		if err == nil && !complete {
			continue
		}
		if err == nil || errors.Is(err, ErrPredecessorLost) {
			s.complete.Store(true)
			_ = s.Close() // the predecessor has closed its end or is about to
		}
		if err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		return nil
	}
}

// receiveNext handles the predecessor's next message, and reports whether it was the last.
func (s *Successor) receiveNext(ctx context.Context, accept func(c *net.TCPConn, note []byte)) (complete bool, err error) {
	m, f, err := s.control.receive()
	switch {
	case ctx.Err() != nil: // a connection that has just arrived is not acknowledged, so the predecessor keeps it
		return false, ctx.Err()
	case errors.Is(err, io.EOF):
		return false, ErrPredecessorLost
	case err != nil:
		return false, err
	}
	switch m.kind {
	case kindConn:
		return false, s.acceptConn(m, f, accept)
	case kindStop, kindReload:
		return false, s.receiveSignal(m)
	case kindComplete:
		return true, s.respond(message{kind: kindComplete, number: m.number})
	default:
		return false, fmt.Errorf("%w: kind %q while connections are transferred", errMalformed, m.kind)
	}
}

// acceptConn acknowledges a connection and then passes it to accept. The acknowledgement comes first: without it the
// predecessor keeps the connection, and only one process may use it.
func (s *Successor) acceptConn(m message, f *os.File, accept func(*net.TCPConn, []byte)) error {
	note := bytes.Clone(m.body)
	c, err := tcpConn(f)
	if err != nil {
		reason := err.Error()
		return s.respond(message{kind: kindConnFailed, number: m.number, body: []byte(reason[:min(len(reason), maxReason)])})
	}
	if err := s.respond(message{kind: kindConnAccepted, number: m.number}); err != nil {
		_ = c.Close()
		return err
	}
	if c.RemoteAddr() == nil { // the client has reset it
		_ = c.Close()
		return nil
	}
	accept(c, note)
	return nil
}

// respond sends a response. A predecessor that has closed its end no longer needs it, so that is not an error.
func (s *Successor) respond(m message) error {
	if err := s.control.send(m, -1); err != nil && !isClosedByPeer(err) {
		return err
	}
	return nil
}

var errNoDescriptor = errors.New("received without a descriptor: this process may have reached its limit on open files")

// tcpConn returns a connection on a copy of the passed descriptor, and closes f. It returns errNoDescriptor if f is nil.
func tcpConn(f *os.File) (*net.TCPConn, error) {
	if f == nil {
		return nil, errNoDescriptor
	}
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		_ = c.Close()
		return nil, errors.New("not a TCP connection")
	}
	return t, nil
}
