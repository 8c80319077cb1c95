package discovery

import (
	"context"
	"net"
	"testing"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/testbench/fakes"
	"plankrouter/internal/watchpolicy"
)

// stallingConn is a connection whose process stalls after each read.
type stallingConn struct {
	*net.TCPConn
	delay time.Duration
}

func (s stallingConn) Read(p []byte) (int, error) {
	n, err := s.TCPConn.Read(p)
	time.Sleep(s.delay)
	return n, err
}

// The time of an update is that of its arrival, from which a drain's grace counts, even if the process stalled before it read
// the update.
func TestUpdateIsDatedByArrival(t *testing.T) {
	const (
		stall     = 200 * time.Millisecond
		tolerance = 30 * time.Millisecond // granularity of the kernel's timestamps
	)
	d, err := fakes.NewDiscovery(fakes.Loopback(), "", fakes.Endpoint{ID: "a", Address: "127.0.0.1:1", Phase: fakes.Serving})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	updatedAt := make(chan time.Time, 1)
	ctx, cancel := context.WithCancel(t.Context())
	w, err := New(Options{
		Address: d.Address(), Watch: watchpolicy.DefaultSettings(), Seed: 1,
		Budget: connlimit.NewBudget(1, func(ctx context.Context, address string) (net.Conn, error) {
			c, err := connlimit.DialTCP(ctx, address)
			if err != nil {
				return nil, err
			}
			return stallingConn{c.(*net.TCPConn), stall}, nil
		}),
		OnUpdate: func(_ endpoints.List, at time.Time) {
			select {
			case updatedAt <- at:
			default:
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	at := <-updatedAt
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	respondedAt := d.Requests()[0].RespondedAt
	if late := at.Sub(respondedAt); late > tolerance || late < -tolerance {
		t.Errorf("update is dated %s after the response of discovery", late)
	}
}
