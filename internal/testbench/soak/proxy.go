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
	pieceBytes = 7
	piecePause = 4 * time.Millisecond
	cutBytes   = 60 // of an answer, behind which its connection is reset
)

// proxy stands before a server and spoils its answers. What sidecars send it passes on at once.
type proxy struct {
	listener      net.Listener
	serverAddress func() string // where the server is
	cut           atomic.Bool
	dribble       atomic.Bool

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
	p.hold(c, s)
	defer p.drop(c, s)
	done := make(chan struct{})
	go func() {
		defer close(done)
		copyAll(s, c)
		_ = s.(*net.TCPConn).CloseWrite()
	}()
	p.answers(c, s)
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

// answers passes on what the server says.
func (p *proxy) answers(c, s net.Conn) {
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
			if !errors.Is(err, io.EOF) { // a reset is no end
				fakes.Abort(c)
			}
			return
		}
	}
}

func (p *proxy) hold(conns ...net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// reset resets all connections.
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
