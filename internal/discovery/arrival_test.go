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

// stallingConn is a connection of a process that stalls after each read.
type stallingConn struct {
	*net.TCPConn
	delay time.Duration
}

func (s stallingConn) Read(p []byte) (int, error) {
	n, err := s.TCPConn.Read(p)
	time.Sleep(s.delay)
	return n, err
}

// A list is dated by when it arrived, not by when this process came to read it: a drain's grace runs from there.
func TestUpdateIsDatedByArrival(t *testing.T) {
	const (
		stall     = 200 * time.Millisecond
		tolerance = 30 * time.Millisecond // the kernel's ticks
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
	answered := d.Calls()[0].AnsweredAt
	if late := at.Sub(answered); late > tolerance || late < -tolerance {
		t.Errorf("dated %s after discovery has answered", late)
	}
}
