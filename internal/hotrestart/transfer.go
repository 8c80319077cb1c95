package hotrestart

import (
	"errors"
	"fmt"
	"io"
	"log"
	"syscall"
)

// TransferConn transfers a connection with a note of up to MaxNote bytes, and returns when the successor has accepted it.
// The caller must have stopped reading from and writing to the connection and must have processed everything that it has
// read: only data still in the kernel's buffers is transferred. After nil the connection belongs to the successor, and
// the caller closes its own copy with Close alone (no CloseWrite, no linger). After an error, such as ErrSuccessorLost,
// the successor has never used the connection and never will: the caller keeps serving it. TransferConn is safe for
// concurrent use.
func (p *Predecessor) TransferConn(c syscall.Conn, note []byte) error {
	if len(note) > MaxNote {
		return fmt.Errorf("handover: note of %d bytes, at most %d", len(note), MaxNote)
	}
	p.mu.Lock()
	if p.finished {
		p.mu.Unlock()
		return fmt.Errorf("handover: transfer a connection: %w", ErrFinished)
	}
	p.transfers.Add(1)
	p.mu.Unlock()
	defer p.transfers.Done()
	err := p.request(message{kind: kindConn, body: note}, func(m message) error { return p.control.sendConn(m, c) })
	if err != nil {
		return fmt.Errorf("handover: transfer a connection: %w", err)
	}
	return nil
}

// Complete waits for calls of TransferConn in progress, notifies the successor that everything has been transferred, and
// returns when the successor has acknowledged that: this process should then exit. If NOTIFY_SOCKET is set, systemd is
// sent the successor's process id. After ErrSuccessorLost this process serves again; ErrFinished means that Complete has
// been called before.
func (p *Predecessor) Complete() error {
	p.mu.Lock()
	finished := p.finished
	p.finished = true
	p.mu.Unlock()
	if finished {
		return fmt.Errorf("handover: complete: %w", ErrFinished)
	}
	p.transfers.Wait()
	err := p.request(message{kind: kindComplete}, func(m message) error {
		p.mu.Lock()
		p.completeNumber = m.number
		p.mu.Unlock()
		return p.control.send(m, -1)
	})
	if err != nil {
		return fmt.Errorf("handover: complete: %w", err)
	}
	// The successor becomes the main process no earlier than this: if the main process exits, systemd stops the service's
	// other processes.
	if err := Notify(fmt.Sprintf("MAINPID=%d", p.Pid())); err != nil {
		log.Printf("handover=done successor=%d err=%q", p.Pid(), err)
	}
	return nil
}

// request sends a message with a new number and waits for the response. A successor that hangs is killed, because only
// after its exit is it certain which connections it has accepted. A slow one is not killed as long as it responds to
// any message within ackTimeout.
func (p *Predecessor) request(m message, send func(message) error) error {
	result := make(chan error, 1)
	p.mu.Lock()
	if p.lostErr != nil {
		p.mu.Unlock()
		return p.lostErr
	}
	p.lastNumber++
	m.number = p.lastNumber
	p.pending[m.number] = result
	if len(p.pending) == 1 {
		p.ackTimer.Reset(p.ackTimeout)
	}
	p.mu.Unlock()
	if err := send(m); err != nil && !isClosedByPeer(err) { // readResponses detects a closed socket as well
		p.resolve(m.number, err)
	}
	return <-result
}

// resolve ends the request of that number with err, if it is pending.
func (p *Predecessor) resolve(number uint64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if result := p.pending[number]; result != nil {
		delete(p.pending, number)
		result <- err
	}
	if p.ackTimer.Stop(); len(p.pending) > 0 {
		p.ackTimer.Reset(p.ackTimeout)
	}
}

// readResponses reads the successor's responses until the handover is complete or the successor is lost.
func (p *Predecessor) readResponses() {
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
			p.abort() // what it has accepted is unknown; its remaining acknowledgements and EOF follow
		case m.kind == kindConnAccepted:
			p.resolve(m.number, nil)
		case m.kind == kindConnFailed:
			p.resolve(m.number, fmt.Errorf("the successor could not receive the connection: %s", m.body))
		case m.kind == kindComplete:
			p.resolve(m.number, nil)
			return
		default:
			p.abort()
		}
	}
}

// markLost ends all pending requests when the successor is lost. Acknowledgements that it sent before have been read.
func (p *Predecessor) markLost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostErr = ErrSuccessorLost
	p.ackTimer.Stop()
	for number, result := range p.pending {
		delete(p.pending, number)
		if p.cmd == nil && number != p.completeNumber {
			result <- nil // it may be alive and have the connection, which this process must not use then
		} else {
			result <- ErrSuccessorLost
		}
	}
	p.coordinator.release()
	close(p.lost)
}
