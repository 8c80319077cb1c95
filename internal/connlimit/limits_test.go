package connlimit

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// counted is a connection that stands for a descriptor.
type counted struct {
	net.Conn
	open *atomic.Int64
}

func (c counted) Close() error { c.open.Add(-1); return c.Conn.Close() }

// However many want a place while readers are slow to close what has been evicted, no more are open than the limit and Closing allow;
// and of the descriptors given to Within none is left over.
func TestNoMoreIsOpenThanTheSum(t *testing.T) {
	for _, descriptors := range []int{2, 3, 8, 23, 80, 200, 523} {
		t.Run(fmt.Sprint(descriptors), func(t *testing.T) {
			var open atomic.Int64
			limit, worst := MaxSocketsWithin(descriptors), int64(0)
			b := NewBudget(limit, func(context.Context, string) (net.Conn, error) {
				c, _ := net.Pipe()
				open.Add(1)
				return counted{c, &open}, nil
			})
			var evicted []*Socket
			var sockets []*Socket
			for range 3 * descriptors {
				s, err := b.Dial(t.Context(), "", time.Second)
				if err != nil { // all that may be evicted are: one reader gets its turn
					for i, one := range sockets {
						if one.IsEvicted() {
							evicted = append(evicted, one)
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
				worst = max(worst, open.Load())
			}
			if worst > int64(descriptors) || worst < int64(descriptors)-1 {
				t.Errorf("%d are open at most, a limit of %d", worst, limit)
			}
			if next := limit + 1; next+MaxClosing(next) <= descriptors {
				t.Errorf("a limit of %d would do as well as %d", next, limit)
			}
		})
	}
}
