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

// ReceiveConns calls take, one at a time, with each connection that the predecessor passes and the note that came with it;
// take should return soon: nothing is answered meanwhile, and a successor that does not answer is killed. Call it once,
// after Ready. It returns nil when the predecessor has passed all and exits, and ErrGone when it has ended without
// saying so: in both cases all is this process's own. After any other error, ctx's for one, the predecessor lives and serves
// again as soon as Close has been called or this process has ended: it should stop accepting first, and end.
func (s *Successor) ReceiveConns(ctx context.Context, take func(c *net.TCPConn, note []byte)) error {
	defer context.AfterFunc(ctx, func() { _ = s.control.SetDeadline(longAgo) })()
	if <-s.decided; s.refusal != nil {
		return fmt.Errorf("handover: %w", s.refusal)
	}
	for {
		complete, err := s.receiveNext(ctx, take)
		if err == nil && !complete {
			continue
		}
		if err == nil || errors.Is(err, ErrPredecessorLost) {
			s.hasAll.Store(true)
			_ = s.Close() // the other end is closed, or about to be
		}
		if err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		return nil
	}
}

// receiveNext acts on the predecessor's next message, and reports whether it was the last.
func (s *Successor) receiveNext(ctx context.Context, take func(c *net.TCPConn, note []byte)) (complete bool, err error) {
	m, f, err := s.control.receive()
	switch {
	case ctx.Err() != nil: // what may have come just now is not acknowledged: it stays the predecessor's
		return false, ctx.Err()
	case errors.Is(err, io.EOF):
		return false, ErrPredecessorLost
	case err != nil:
		return false, err
	}
	switch m.kind {
	case kindConn:
		return false, s.acceptConn(m, f, take)
	case kindStop, kindReload:
		return false, s.receiveSignal(m)
	case kindDone:
		return true, s.answer(message{kind: kindDone, number: m.number})
	default:
		return false, fmt.Errorf("%w: kind %q among the connections", errMalformed, m.kind)
	}
}

// acceptConn acknowledges a connection before it can be used: without an acknowledgement the predecessor keeps it.
func (s *Successor) acceptConn(m message, f *os.File, take func(*net.TCPConn, []byte)) error {
	note := bytes.Clone(m.body)
	c, err := tcpConn(f)
	if err != nil {
		reason := err.Error()
		return s.answer(message{kind: kindLeft, number: m.number, body: []byte(reason[:min(len(reason), maxReason)])})
	}
	if err := s.answer(message{kind: kindTaken, number: m.number}); err != nil {
		_ = c.Close()
		return err
	}
	if c.RemoteAddr() == nil { // reset by its client meanwhile
		_ = c.Close()
		return nil
	}
	take(c, note)
	return nil
}

// answer sends an answer, which a predecessor that is gone needs no more.
func (s *Successor) answer(m message) error {
	if err := s.control.send(m, -1); err != nil && !isClosedByPeer(err) {
		return err
	}
	return nil
}

var errNoDescriptor = errors.New("no descriptor came with it: this process may have none left under its limit")

// tcpConn makes a connection of its own of what was passed.
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
		return nil, errors.New("it is no TCP connection")
	}
	return t, nil
}
