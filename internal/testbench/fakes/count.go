package fakes

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the connections that the listeners of a network accept, and the payload bytes read and written by this
// side on accepted and dialed connections.
type Counter struct{ Accepted, In, Out atomic.Int64 }

// Wrap returns a network whose traffic on n is counted in c.
func (c *Counter) Wrap(n Network) Network { return counted{n, c} }

type counted struct {
	Network
	counter *Counter
}

func (n counted) Listen(address string) (Listener, error) {
	l, err := n.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	return countedListener{l, n.counter}, nil
}

func (n counted) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countedConn{c, n.counter}, nil
}

type countedListener struct {
	Listener
	counter *Counter
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.counter.Accepted.Add(1)
	return countedConn{c, l.counter}, nil
}

type countedConn struct {
	net.Conn
	counter *Counter
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.In.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	c.counter.Out.Add(int64(len(p))) // before the write, so that the bytes are counted before a response can arrive
	return c.Conn.Write(p)
}
