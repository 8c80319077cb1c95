package connlimit

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// countedConn is a connection that counts as one descriptor while open.
type countedConn struct {
	net.Conn
	open *atomic.Int64
}

func (c countedConn) Close() error { c.open.Add(-1); return c.Conn.Close() }

// While readers are slow to close evicted connections, no more are open than the limit and MaxClosing allow. The limit of
// MaxSocketsWithin uses all descriptors.
func TestOpenConnectionsStayWithinDescriptors(t *testing.T) {
	for _, descriptors := range []int{2, 3, 8, 23, 80, 200, 523} {
		t.Run(fmt.Sprint(descriptors), func(t *testing.T) {
			var open atomic.Int64
			limit, maxOpen := MaxSocketsWithin(descriptors), int64(0)
			b := NewBudget(limit, func(context.Context, string) (net.Conn, error) {
				c, _ := net.Pipe()
				open.Add(1)
				return countedConn{c, &open}, nil
			})
			var evicted []*Socket
			var sockets []*Socket
			for range 3 * descriptors {
				s, err := b.Dial(t.Context(), "", time.Second)
				if err != nil { // no more can be evicted: one reader closes its connection
					for i, candidate := range sockets {
						if candidate.IsEvicted() {
							evicted = append(evicted, candidate)
							sockets = append(sockets[:i], sockets[i+1:]...)
							break
						}
					}
					if len(evicted) > 0 {
						_ = evicted[0].Close()
						evicted = evicted[1:]
					}
					continue
				}
				s.MarkIdle(0)
				sockets = append(sockets, s)
				maxOpen = max(maxOpen, open.Load())
			}
			if maxOpen > int64(descriptors) || maxOpen < int64(descriptors)-1 {
				t.Errorf("up to %d are open with a limit of %d", maxOpen, limit)
			}
			if next := limit + 1; next+MaxClosing(next) <= descriptors {
				t.Errorf("the descriptors suffice for a limit of %d, got %d", next, limit)
			}
		})
	}
}
