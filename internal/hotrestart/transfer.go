package hotrestart

import (
	"errors"
	"fmt"
	"io"
	"log"
	"syscall"
)

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

// Complete waits for the calls of TransferConn under way, tells the successor that this was all, and returns when it knows: then
// everything is its own and this process should exit. systemd gets the successor's process id, if NOTIFY_SOCKET is
// set. After ErrLost this process serves on; ErrFinished says that Complete has been called before.
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
	if err := send(m); err != nil && !isClosedByPeer(err) { // if it is gone, readAnswers is about to see that too
		p.resolve(m.number, err)
	}
	return <-answer
}

// resolve gives the request of that number its answer.
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
	defer func() { _ = p.control.Close() }()
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
			p.abort() // what it has is unknown; what it had acknowledged and its end follow
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

// markLost ends all requests: the successor is lost. Whatever it had taken it has acknowledged before.
func (p *Predecessor) markLost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostErr = ErrSuccessorLost
	p.ackTimer.Stop()
	for number, to := range p.answers {
		delete(p.answers, number)
		if p.cmd == nil && number != p.doneNumber {
			to <- nil // it may have the connection and live: nobody here may read that any more
		} else {
			to <- ErrSuccessorLost
		}
	}
	p.coordinator.release()
	close(p.lost)
}
