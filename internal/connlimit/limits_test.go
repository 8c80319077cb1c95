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

// However many want a place while readers are slow to close what has made room, no more is open than the limit and what it says
// may be closing; and of the descriptors that Within is told none is too many.
func TestNoMoreIsOpenThanTheSum(t *testing.T) {
	for _, descriptors := range []int{2, 3, 8, 23, 80, 200, 523} {
		t.Run(fmt.Sprint(descriptors), func(t *testing.T) {
			var open atomic.Int64
			most, worst := Within(descriptors), int64(0)
			b := NewBudget(most, func(context.Context, string) (net.Conn, error) {
				c, _ := net.Pipe()
				open.Add(1)
				return counted{c, &open}, nil
			})
			var leaving []*Socket
			var held []*Socket
			for range 3 * descriptors {
				s, err := b.Dial(t.Context(), "", time.Second)
				if err != nil { // all that may leave has: one reader gets its turn
					for i, one := range held {
						if one.IsEvicted() {
							leaving = append(leaving, one)
							held = append(held[:i], held[i+1:]...)
							break
						}
					}
					if len(leaving) > 0 {
						leaving[0].Close()
						leaving = leaving[1:]
					}
					continue
				}
				s.MarkIdle(0)
				held = append(held, s)
				worst = max(worst, open.Load())
			}
			if worst > int64(descriptors) || worst < int64(descriptors)-1 {
				t.Errorf("%d are open at most, a limit of %d", worst, most)
			}
			if next := most + 1; next+Closing(next) <= descriptors {
				t.Errorf("a limit of %d would do as well as %d", next, most)
			}
		})
	}
}
