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

// ConnPool sends HTTP/1.1 requests to one address over keepalive connections, one request at a time on each. A request
// takes the idle connection used most recently, or opens a new one if all are busy. Set the exported fields before the
// first call; the methods are safe for concurrent use.
type ConnPool struct {
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	Address  string // host:port
	MaxConns int    // limit on open connections; a request waits when all are busy; 0 = no limit

	// Read reads one whole response and returns as much of its body as the caller needs.
	Read func(*bufio.Reader) (*http.Response, []byte, error)

	readers sync.WaitGroup

	mutex   sync.Mutex
	idle    []*clientConn // most recently used last
	open    int           // number of connections that are open or being dialed
	waiters []chan *clientConn
	usage   Usage
}

// Usage is the connection statistics of a ConnPool.
type Usage struct {
	Opened      int           // connections opened
	Waits       uint64        // requests that waited because MaxConns connections were open
	LongestWait time.Duration // the longest of these waits
}

// Exchange is the outcome of one request as its client saw it.
type Exchange struct {
	SentAt   time.Time      // when the first byte was written; zero = no connection was available
	Conn     int            // the last connection's number, from 1; 0 = none
	Resent   bool           // the server closed a reused connection without reading the request, which was sent again on a new one
	Response *http.Response // completely read response; nil = none
	Body     []byte
	Err      error  // why there was no response
	Result   Result // outcome by the status alone, so never Wrong
}

// Send sends a request and waits for its response until the given time. If the server closed a reused connection without
// reading the request, Send sends it once more on a new connection; message encodes it each time.
func (c *ConnPool) Send(message func() []byte, until time.Time) (x Exchange) {
	for {
		conn, err := c.connect(until, x.Resent)
		if err != nil {
			if x.Err, x.Result = err, Unreachable; errors.Is(err, errAllConnsBusy) {
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
		resend := conn.requestsServed > 0 && !x.Resent && conn.closedUnread(&got)
		conn.close()
		if !resend {
			x.Err, x.Result = got.err, got.result()
			return x
		}
		x.Resent = true
	}
}

// Close closes idle connections, waits for all reading goroutines to end, and returns the statistics. Send must not be
// called afterwards.
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

var errAllConnsBusy = errors.New("all connections that the client may open are busy")

// connect returns an idle connection, a new one, or, with MaxConns open, the next one that becomes free before the given time.
// With fresh set it returns a new connection only.
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

// waitForConn waits until a connection becomes free and returns it, or returns nil if the caller may open one instead.
func (c *ConnPool) waitForConn(connReady chan *clientConn, until time.Time) (k *clientConn, err error) {
	start := time.Now()
	late := time.NewTimer(time.Until(until))
	defer late.Stop()
	select {
	case k = <-connReady:
	case <-late.C:
		err = errAllConnsBusy
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

// releaseSlot passes the slot of a closed connection to the first waiting request, or lowers the count of open connections
// if none waits. The caller holds the mutex.
func (c *ConnPool) releaseSlot() {
	if len(c.waiters) == 0 {
		c.open--
		return
	}
	c.waiters[0] <- nil
	c.waiters = c.waiters[1:]
}

// offer passes a free connection to the first waiting request, or adds it to the idle ones. The caller holds the mutex.
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
	k := &clientConn{Conn: nc, client: c, number: c.usage.Opened, results: make(chan exchangeResult), done: make(chan struct{})}
	c.readers.Go(k.readLoop)
	return k, nil
}

// clientConn is one connection of a ConnPool.
type clientConn struct {
	net.Conn
	client         *ConnPool
	number         int
	requestsServed int // requests that got a response
	results        chan exchangeResult
	done           chan struct{} // closed when the connection is closed, after which no request is sent

	closed bool // guarded by client.mutex
}

// exchangeResult is a response, or the error that ended the connection without one.
type exchangeResult struct {
	response    *http.Response // nil = none
	body        []byte
	started     bool // the first byte of the response was received
	writeFailed bool // the request could not be written
	err         error
}

func (r *exchangeResult) timedOut() bool { return errors.Is(r.err, context.DeadlineExceeded) }

func (r *exchangeResult) result() Result {
	switch {
	case r.timedOut():
		return TimedOut
	case !r.started:
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

// readLoop reads responses until the connection ends. Data or an error on an idle connection closes it.
func (c *clientConn) readLoop() {
	br := bufio.NewReader(c)
	for {
		var r exchangeResult
		_, r.err = br.Peek(1)
		c.closeIfIdle()
		if r.err == nil {
			r.started = true
			r.response, r.body, r.err = c.client.Read(br)
		}
		switch {
		case errors.Is(r.err, os.ErrDeadlineExceeded):
			r.response, r.err = nil, context.DeadlineExceeded
		case r.err != nil:
			r.response = nil
		}
		c.SetReadDeadline(time.Time{}) // the deadline applied to this request only
		select {
		case c.results <- r:
		case <-c.done:
			return
		}
	}
}

// closeIfIdle closes the connection if it is idle.
func (c *clientConn) closeIfIdle() {
	client := c.client
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if i := slices.Index(client.idle, c); i >= 0 {
		client.idle = slices.Delete(client.idle, i, i+1)
		c.closeLocked()
	}
}

// closeLocked closes the connection and releases its slot. The caller holds the mutex.
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

// finish marks the connection's request as done. If keep is set, the connection is kept for reuse, otherwise it is closed.
func (c *clientConn) finish(keep bool) {
	c.client.mutex.Lock()
	defer c.client.mutex.Unlock()
	if c.requestsServed++; keep {
		c.client.offer(c)
	} else {
		c.closeLocked()
	}
}

// exchange sends a request, waits until the given time for the response or the end of the connection, and returns which of
// them it was.
func (c *clientConn) exchange(message []byte, until time.Time) exchangeResult {
	c.SetDeadline(until)
	_, err := c.Write(message)
	r := <-c.results
	r.writeFailed = err != nil
	return r
}

// closedUnread reports whether the server closed the connection before it read the request. In that case the request
// or the next write triggers a reset. Otherwise the server has read the request and may have executed it.
func (c *clientConn) closedUnread(r *exchangeResult) bool {
	if r.started || r.timedOut() {
		return false
	}
	if r.writeFailed || errors.Is(r.err, syscall.ECONNRESET) {
		return true
	}
	_, err := c.Write([]byte("\n"))
	return err != nil
}
