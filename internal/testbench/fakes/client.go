package fakes

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// ConnPool sends requests by HTTP/1.1 to one address. Connections are kept and carry one request at a time: the idle one
// most lately used, and a further one when all are busy. Its fields are set before its methods are called, which are
// safe for concurrent use.
type ConnPool struct {
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	Address  string // host:port
	MaxConns int    // a request waits when all are busy; 0 = no limit

	// Read reads one answer to its end, and returns what is wanted of its body.
	Read func(*bufio.Reader) (*http.Response, []byte, error)

	readers sync.WaitGroup

	mutex   sync.Mutex
	idle    []*clientConn // most lately used last
	open    int           // or coming up
	waiters []chan *clientConn
	usage   Usage
}

// Usage is what a Client's connections came to.
type Usage struct {
	Opened      int           // connections
	Waits       uint64        // waits because no further connection was allowed
	LongestWait time.Duration // the longest of them
}

// Exchange is how the sending of a request went, as its client has seen it.
type Exchange struct {
	SentAt   time.Time      // its first byte; zero = it got no connection
	Conn     int            // the last connection's number, from 1; 0 = none
	Resent   bool           // it crossed the close of a kept connection and went out again on a new one
	Response *http.Response // read to its end; nil = none
	Body     []byte
	Err      error  // that there was no answer
	Result   Result // by the answer's status alone, so that none is Wrong
}

// Send sends a request and waits for its answer until a moment. A request on a kept connection that the other side has
// closed without reading it is sent once more, on a new one; message encodes it each time.
func (c *ConnPool) Send(message func() []byte, until time.Time) (x Exchange) {
	for {
		conn, err := c.connect(until, x.Resent)
		if err != nil {
			if x.Err, x.Result = err, Unreachable; errors.Is(err, errBusy) {
				x.Result = TimedOut
			}
			return x
		}
		if !x.Resent {
			x.SentAt = time.Now()
		}
		x.Conn = conn.number
		got := conn.exchange(message(), until)
		if got.response != nil {
			conn.finish(!got.response.Close)
			x.Response, x.Body, x.Result = got.response, got.body, got.result()
			return x
		}
		again := conn.carried > 0 && !x.Resent && conn.closedUnread(&got)
		conn.close()
		if !again {
			x.Err, x.Result = got.err, got.result()
			return x
		}
		x.Resent = true
	}
}

// Close ends idle connections and waits until all readers have ended. Nothing may be sent any more.
func (c *ConnPool) Close() Usage {
	c.mutex.Lock()
	idle := slices.Clone(c.idle)
	c.mutex.Unlock()
	for _, k := range idle {
		k.close()
	}
	c.readers.Wait()
	return c.usage
}

var errBusy = errors.New("every connection that the consumers may have is busy")

// connect takes an idle connection, or opens one, or waits for its turn until a moment.
func (c *ConnPool) connect(until time.Time, fresh bool) (*clientConn, error) {
	c.mutex.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mutex.Unlock()
		return k, nil
	}
	if c.MaxConns == 0 || c.open < c.MaxConns {
		c.open++
		c.mutex.Unlock()
		return c.dial(until)
	}
	connReady := make(chan *clientConn, 1)
	c.waiters = append(c.waiters, connReady)
	c.mutex.Unlock()
	k, err := c.waitForConn(connReady, until)
	switch {
	case err != nil:
		return nil, err
	case k == nil:
		return c.dial(until)
	case fresh:
		k.close()
		return c.connect(until, fresh)
	}
	return k, nil
}

// waitForConn waits for a turn: a connection, or nil for a place to open one.
func (c *ConnPool) waitForConn(connReady chan *clientConn, until time.Time) (k *clientConn, err error) {
	start := time.Now()
	late := time.NewTimer(time.Until(until))
	defer late.Stop()
	select {
	case k = <-connReady:
	case <-late.C:
		err = errBusy
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.usage.Waits++
	c.usage.LongestWait = max(c.usage.LongestWait, time.Since(start))
	if err == nil {
		return k, nil
	}
	if i := slices.Index(c.waiters, connReady); i >= 0 {
		c.waiters = slices.Delete(c.waiters, i, i+1)
	} else if k := <-connReady; k == nil {
		c.releaseSlot()
	} else {
		c.offer(k)
	}
	return nil, err
}

// releaseSlot gives a place to the next who waits. Its caller holds the mutex, as that of offer does.
func (c *ConnPool) releaseSlot() {
	if len(c.waiters) == 0 {
		c.open--
		return
	}
	c.waiters[0] <- nil
	c.waiters = c.waiters[1:]
}

// offer gives a connection to the next who waits.
func (c *ConnPool) offer(k *clientConn) {
	switch {
	case k.closed:
	case len(c.waiters) == 0:
		c.idle = append(c.idle, k)
	default:
		c.waiters[0] <- k
		c.waiters = c.waiters[1:]
	}
}

func (c *ConnPool) dial(until time.Time) (*clientConn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	nc, err := c.Dial(ctx, c.Address)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.releaseSlot()
		return nil, err
	}
	c.usage.Opened++
	k := &clientConn{Conn: nc, client: c, number: c.usage.Opened, replies: make(chan reply), done: make(chan struct{})}
	c.readers.Go(k.readLoop)
	return k, nil
}

// clientConn is one connection.
type clientConn struct {
	net.Conn
	client  *ConnPool
	number  int
	carried int // requests answered
	replies chan reply
	done    chan struct{} // closed when no further request is sent

	closed bool // guarded by of.mu
}

// reply is an answer, or how the connection ended without one.
type reply struct {
	response *http.Response // nil = none
	body     []byte
	begun    bool // its first byte came
	unsent   bool // the request could not be written
	err      error
}

func (r *reply) timedOut() bool { return errors.Is(r.err, context.DeadlineExceeded) }

func (r *reply) result() Result {
	switch {
	case r.timedOut():
		return TimedOut
	case !r.begun:
		return Lost
	case r.response == nil:
		return Failed
	}
	switch r.response.StatusCode {
	case http.StatusOK:
		return Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Rejected
	}
	return Failed
}

// readLoop reads answers until the connection ends. Whatever comes while nobody asks is the end of it.
func (c *clientConn) readLoop() {
	br := bufio.NewReader(c)
	for {
		var r reply
		_, r.err = br.Peek(1)
		c.closeIfIdle()
		if r.err == nil {
			r.begun = true
			r.response, r.body, r.err = c.client.Read(br)
		}
		switch {
		case errors.Is(r.err, os.ErrDeadlineExceeded):
			r.response, r.err = nil, context.DeadlineExceeded
		case r.err != nil:
			r.response = nil
		}
		c.SetReadDeadline(time.Time{}) // it was this request's
		select {
		case c.replies <- r:
		case <-c.done:
			return
		}
	}
}

// closeIfIdle ends the connection if it is idle.
func (c *clientConn) closeIfIdle() {
	client := c.client
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if i := slices.Index(client.idle, c); i >= 0 {
		client.idle = slices.Delete(client.idle, i, i+1)
		c.closeLocked()
	}
}

// closeLocked closes the connection and leaves its place. Its caller holds the mutex.
func (c *clientConn) closeLocked() {
	if c.closed {
		return
	}
	c.closed = true
	close(c.done)
	c.Close()
	c.client.releaseSlot()
}

func (c *clientConn) close() {
	c.client.mutex.Lock()
	defer c.client.mutex.Unlock()
	c.closeLocked()
}

// finish ends the connection's request; it may carry another if it is to be kept.
func (c *clientConn) finish(keep bool) {
	c.client.mutex.Lock()
	defer c.client.mutex.Unlock()
	if c.carried++; keep {
		c.client.offer(c)
	} else {
		c.closeLocked()
	}
}

// exchange sends a request and waits for what comes, until a moment.
func (c *clientConn) exchange(message []byte, until time.Time) reply {
	c.SetDeadline(until)
	_, err := c.Write(message)
	r := <-c.replies
	r.unsent = err != nil
	return r
}

// closedUnread reports whether the other side had closed the connection before it read the request: then the request was
// answered with a reset, and so is what is written next. Else the other side has read it, and may have run it.
func (c *clientConn) closedUnread(r *reply) bool {
	if r.begun || r.timedOut() {
		return false
	}
	if r.unsent || errors.Is(r.err, syscall.ECONNRESET) {
		return true
	}
	_, err := c.Write([]byte("\n"))
	return err != nil
}
