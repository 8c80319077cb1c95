package connlimit

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"plankrouter/internal/faultinjection"
)

// ErrLimitReached says that the limit leaves no place, and that no idle connection can make room.
var ErrLimitReached = errors.New("limit on sockets reached")

// Dialer opens a connection to host:port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP dials plainly. It sends no keep-alive: that a machine is silent shows in the requests that it does not answer.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	if err := faultinjection.Inject(faultinjection.Connect); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
	}
	c, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := faultinjection.Wait(ctx, faultinjection.SlowConnect); err != nil {
		_ = c.Close() // what is reported is why
		return nil, err
	}
	return c, nil
}

// Dial opens a connection under the limit, or fails with ErrLimitReached.
func (b *Budget) Dial(ctx context.Context, address string, within time.Duration) (*Socket, error) {
	return b.open(ctx, address, within, b.Reserve(Outbound))
}

// DialOptional is Dial for a connection that can be done without, as a probe's: it leaves the last places to attempts.
func (b *Budget) DialOptional(ctx context.Context, address string, within time.Duration) (*Socket, error) {
	b.mu.Lock()
	ok := b.used < b.limitBesideAttempts() || b.evictFirst(&b.unused, Outbound) || b.evictFirst(&b.idle, Outbound)
	if ok {
		b.addUsed(Outbound, 1)
	}
	b.mu.Unlock()
	return b.open(ctx, address, within, ok)
}

// open opens a connection in a place that has been reserved.
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
