package fakes

import (
	"context"
	"fmt"
	"time"
)

// Fleet is a set of servers and the discovery that lists them.
type Fleet struct {
	Discovery *Discovery
	Servers   []*Server
	processes []int // number of restarts so far, by server
}

// NewFleet starts n servers with the same options and a discovery that lists them. Their ids are o.ID, or "s" if empty,
// followed by a number; each server gets its own seed.
func NewFleet(net Network, n int, o ServerOptions) (*Fleet, error) {
	f := &Fleet{processes: make([]int, n)}
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

// Close stops discovery and all servers.
func (f *Fleet) Close() {
	if f.Discovery != nil {
		f.Discovery.Close()
	}
	for _, p := range f.Servers {
		p.Close()
	}
}

// Endpoints returns the current endpoint of each server, regardless of what discovery lists.
func (f *Fleet) Endpoints() (endpoints []Endpoint) {
	for _, p := range f.Servers {
		endpoints = append(endpoints, p.Endpoint())
	}
	return endpoints
}

// Release describes a rolling restart of the servers.
type Release struct {
	Batch        int           // number of servers restarted at a time; 0 = 1
	MaxServers   int           // number of servers to restart, from the first on; 0 = all
	Grace        time.Duration // time from listing a server as draining to ending its process
	Down         time.Duration // time from the end of a process to the start of the next
	Between      time.Duration // time from the end of a batch to the start of the next
	NewAddresses bool          // each new process gets another address
}

// Release performs a rolling restart. Discovery lists a server as draining and the server declines new requests. After
// the grace period its process ends and one with a new id starts; both changes are published in one revision. Release
// returns early, with the error of ctx, when ctx ends.
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

// nextID returns the id of the next process of the i-th server.
func (f *Fleet) nextID(i int) string {
	f.processes[i]++
	return fmt.Sprintf("%s.%d", f.Servers[i].options.ID, f.processes[i]+1)
}
