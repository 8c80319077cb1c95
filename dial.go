package plankrouter

import (
	"context"
	"errors"
	"fmt"
	"net"

	"plankrouter/internal/connlimit"
)

type dialResult struct {
	conn net.Conn
	err  error
}

// guardDial wraps an application's dial function: a panic becomes an error, and a dial that ignores its context does not
// block the caller beyond it.
func guardDial(dial connlimit.Dialer) connlimit.Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		done := make(chan dialResult, 1)
		go callDial(ctx, dial, address, done)
		select {
		case result := <-done:
			return result.conn, result.err
		case <-ctx.Done():
			go func() {
				if result := <-done; result.conn != nil {
					result.conn.Close()
				}
			}()
			return nil, ctx.Err()
		}
	}
}

// callDial sends dial's result to done, exactly once, even if dial panics or calls runtime.Goexit, as testing's FailNow does.
func callDial(ctx context.Context, dial connlimit.Dialer, address string, done chan<- dialResult) {
	result := dialResult{err: errors.New("the dial function panicked")}
	defer func() {
		if p := recover(); p != nil {
			result.err = fmt.Errorf("the dial function panicked: %v", p)
		}
		done <- result
	}()
	result.conn, result.err = dial(ctx, address)
	if result.err == nil && result.conn == nil {
		result.err = errors.New("the dial function returned neither a connection nor an error")
	}
}
