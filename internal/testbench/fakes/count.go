package fakes

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the connections of a network that listeners have accepted, and the bytes of those and of dialled ones, as
// this side sees them and without TCP's.
type Counter struct{ Accepted, In, Out atomic.Int64 }

// Of returns the network, counted.
func (c *Counter) Of(n Network) Network { return counted{n, c} }

type counted struct {
	Network
	c *Counter
}

func (n counted) Listen(address string) (Listener, error) {
	l, err := n.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	return countedListener{l, n.c}, nil
}

func (n counted) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countedConn{c, n.c}, nil
}

type countedListener struct {
	Listener
	c *Counter
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.c.Accepted.Add(1)
	return countedConn{c, l.c}, nil
}

type countedConn struct {
	net.Conn
	c *Counter
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.c.In.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	c.c.Out.Add(int64(len(p))) // before the other side can have answered
	return c.Conn.Write(p)
}
