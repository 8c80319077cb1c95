package connlimit

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"plankrouter/internal/faultinjection"
)

// ErrLimitReached is returned if the limit is reached and no connection can be evicted.
var ErrLimitReached = errors.New("connlimit: socket limit reached")

// Dialer opens a connection to host:port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens a TCP connection without TCP keep-alive: an unresponsive host is detected by requests without a response.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	if err := faultinjection.Inject(faultinjection.Connect); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
	}
	c, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := faultinjection.Wait(ctx, faultinjection.SlowConnect); err != nil {
		_ = c.Close() // the error to report is that of the wait
		return nil, err
	}
	return c, nil
}

// Dial opens a connection to a server within the given time. It returns ErrLimitReached if no slot can be reserved.
func (b *Budget) Dial(ctx context.Context, address string, within time.Duration) (*Socket, error) {
	return b.open(ctx, address, within, b.Reserve(Outbound))
}

// DialOptional is like Dial, but leaves the last free slots to attempts. It is for connections that are not essential, such
// as those of probes.
func (b *Budget) DialOptional(ctx context.Context, address string, within time.Duration) (*Socket, error) {
	b.mu.Lock()
	ok := b.used < b.limitExceptAttempts() || b.evictFirst(&b.unused, Outbound) || b.evictFirst(&b.idle, Outbound)
	if ok {
		b.addUsed(Outbound, 1)
	}
	b.mu.Unlock()
	return b.open(ctx, address, within, ok)
}

// open dials if a slot has been reserved, and releases the slot if the dial fails.
func (b *Budget) open(ctx context.Context, address string, within time.Duration, reserved bool) (*Socket, error) {
	if !reserved {
		return nil, ErrLimitReached
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	c, err := b.dial(ctx, address)
	if err != nil {
		b.Release(Outbound)
		return nil, err
	}
	return b.Adopt(c, Outbound), nil
}
