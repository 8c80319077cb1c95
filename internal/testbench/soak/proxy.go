package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"plankrouter/internal/testbench/fakes"
)

const (
	pieceBytes = 7                    // length of a piece while responses are dribbled
	piecePause = 4 * time.Millisecond // pause after each piece
	cutBytes   = 60                   // bytes of a response that are forwarded before its connection is reset
)

// proxy forwards connections to a server and can corrupt its responses. It forwards what sidecars send without delay.
type proxy struct {
	listener      net.Listener
	serverAddress func() string // returns the server's current address
	cut           atomic.Bool   // reset connections within a response
	dribble       atomic.Bool   // forward responses in small pieces

	mutex       sync.Mutex
	conns       map[net.Conn]bool
	connections sync.WaitGroup
}

func newProxy(network fakes.Network, to func() string) (*proxy, error) {
	l, err := network.Listen("")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, serverAddress: to, conns: map[net.Conn]bool{}}
	p.connections.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.connections.Go(func() { p.serve(c) })
	}
}

func (p *proxy) serve(c net.Conn) {
	s, err := net.DialTimeout("tcp", p.serverAddress(), time.Second)
	if err != nil {
		fakes.Abort(c)
		return
	}
	p.track(c, s)
	defer p.untrack(c, s)
	done := make(chan struct{})
	go func() {
		defer close(done)
		copyAll(s, c)
		_ = s.(*net.TCPConn).CloseWrite()
	}()
	p.copyResponses(c, s)
	c.Close()
	s.Close()
	<-done
}

func copyAll(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// copyResponses forwards what the server s sends to the client c.
func (p *proxy) copyResponses(c, s net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := s.Read(buf)
		piece := buf[:n]
		switch {
		case n > 0 && p.cut.Load():
			_, _ = c.Write(piece[:min(n, cutBytes)])
			fakes.Abort(c)
			return
		case n > 0 && p.dribble.Load():
			for len(piece) > 0 {
				k := min(len(piece), pieceBytes)
				if _, err := c.Write(piece[:k]); err != nil {
					return
				}
				piece = piece[k:]
				time.Sleep(piecePause)
			}
		case n > 0:
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) { // the server reset the connection, so reset the client's, too
				fakes.Abort(c)
			}
			return
		}
	}
}

func (p *proxy) track(conns ...net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.conns {
		fakes.Abort(c)
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.reset()
	p.connections.Wait()
}
