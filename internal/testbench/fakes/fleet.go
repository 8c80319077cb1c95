package fakes

import (
	"context"
	"fmt"
	"time"
)

// Fleet is some servers and the discovery that lists them.
type Fleet struct {
	Discovery *Discovery
	Servers   []*Server
	lifetimes []int // processes so far, by server
}

// NewFleet starts n servers of one nature; o's ID, if any, goes before the number in their names, and each gets a
// seed of its own.
func NewFleet(net Network, n int, o ServerOptions) (*Fleet, error) {
	f := &Fleet{lifetimes: make([]int, n)}
	prefix, seed := o.ID, o.Seed
	if prefix == "" {
		prefix = "s"
	}
	for i := range n {
		o.ID, o.Seed = fmt.Sprintf("%s-%d", prefix, i+1), seed+uint64(i)
		p, err := NewServer(net, o)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.Servers = append(f.Servers, p)
	}
	var err error
	if f.Discovery, err = NewDiscovery(net, "", f.Endpoints()...); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close ends all of them.
func (f *Fleet) Close() {
	if f.Discovery != nil {
		f.Discovery.Close()
	}
	for _, p := range f.Servers {
		p.Close()
	}
}

// Endpoints are the lines of all servers as they are, whatever discovery says.
func (f *Fleet) Endpoints() (endpoints []Endpoint) {
	for _, p := range f.Servers {
		endpoints = append(endpoints, p.Endpoint())
	}
	return endpoints
}

// Release is a rolling replacement of all processes.
type Release struct {
	Batch        int           // servers replaced at a time; 0 = 1
	MaxServers   int           // servers replaced, from the first on; 0 = all
	Grace        time.Duration // from the notice of the drain to the end of the process
	Down         time.Duration // from there to the next process
	Between      time.Duration // from there to the next batch
	NewAddresses bool          // the next process has another address
}

// Release replaces the servers' processes: discovery lists one as draining, and it declines what is new; after
// the grace it ends, and one under a new id starts and is listed together with the other's end. It returns early at the
// end of ctx.
func (f *Fleet) Release(ctx context.Context, r Release) error {
	servers := len(f.Servers)
	if r.MaxServers > 0 {
		servers = min(servers, r.MaxServers)
	}
	for from := 0; from < servers; from += max(1, r.Batch) {
		to := min(servers, from+max(1, r.Batch))
		if from > 0 {
			if err := Pause(ctx, r.Between); err != nil {
				return err
			}
		}
		if err := f.replace(ctx, from, to, r); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) replace(ctx context.Context, from, to int, r Release) error {
	var changes []Endpoint
	for _, p := range f.Servers[from:to] {
		m := p.Endpoint()
		m.Phase = Draining
		changes = append(changes, m)
		p.ChangeBehaviour(func(b *Behaviour) { b.Drain = true })
	}
	f.Discovery.Change(changes...)
	if err := Pause(ctx, r.Grace); err != nil {
		return err
	}
	for i, p := range f.Servers[from:to] {
		p.Kill()
		changes[i].Phase = Deleted
	}
	if err := Pause(ctx, r.Down); err != nil {
		return err
	}
	for i := from; i < to; i++ {
		p := f.Servers[i]
		if r.NewAddresses {
			p.ClearAddress()
		}
		if err := p.Restart(f.nextID(i)); err != nil {
			return err
		}
		changes = append(changes, p.Endpoint())
	}
	f.Discovery.Change(changes...)
	return nil
}

// nextID names the next process of the i-th server.
func (f *Fleet) nextID(i int) string {
	f.lifetimes[i]++
	return fmt.Sprintf("%s.%d", f.Servers[i].options.ID, f.lifetimes[i]+1)
}
