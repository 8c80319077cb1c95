package peers

import (
	"context"
	"fmt"
	"sync"
	"time"

	"plankrouter/internal/testbench/fakes"
)

const (
	listDelay      = 100 * time.Millisecond           // from the death of a server until discovery tells
	drainLimit     = drainGrace + 50*time.Millisecond // after which nothing may be sent to a server that is gone
	staleLimit     = 6*time.Second + drainLimit       // the same, where discovery itself was replaced
	orderClients   = 8                                // clients that send orders one after another
	settleTime     = 2 * time.Second                  // of load before and after a change
	manyRevisions  = 40                               // of a discovery that is replaced by one that starts again
	restartPause   = 20 * time.Millisecond            // before a process comes up at the address of one that is gone
	restartRetries = 50
)

// addresses returns the scenarios of processes that come up at the address of another.
func addresses() map[string]scenario {
	return map[string]scenario{
		"address/other-server":   {what: "another server at the address of one that is gone", run: onRig((*rig).runOtherServer)},
		"address/unlisted":       {what: "a process that is no listed server at the address of one that is gone", run: onRig((*rig).runUnlisted)},
		"address/swap":           {what: "two servers that swap addresses", run: onRig((*rig).runSwap)},
		"address/same-server":    {what: "a server that comes up again at its address", run: onRig((*rig).runSameServer)},
		"address/discovery":      {what: "another discovery, with other revisions, at the address of one that is gone", run: onRig((*rig).runDiscovery)},
		"address/discovery-late": {what: "another discovery that is heard late", run: onRig((*rig).runDiscoveryLate)},
	}
}

// onRig adapts a method to the type of scenario.run.
func onRig(run func(*rig, context.Context) (map[string]int, []string)) func(context.Context, *rig) (map[string]int, []string) {
	return func(ctx context.Context, r *rig) (map[string]int, []string) { return run(r, ctx) }
}

func (r *rig) runOtherServer(ctx context.Context) (map[string]int, []string) {
	return r.underOrders(ctx, func() (broken []string) {
		other, err := r.replace(r.servers[0], "s-other")
		if err != nil {
			return []string{err.Error()}
		}
		time.Sleep(listDelay)
		r.discovery.Change(r.servers[0].endpoint(fakes.Deleted), startedNow(other))
		time.Sleep(settleTime)
		if other.total() == 0 {
			broken = append(broken, "the other server got no work")
		}
		return broken
	})
}

// startedNow returns the entry of a server that has just started.
func startedNow(s *server) fakes.Endpoint {
	e := s.endpoint(fakes.Serving)
	e.UpSince = time.Now().UnixMilli()
	return e
}

func (r *rig) runUnlisted(ctx context.Context) (map[string]int, []string) {
	return r.underOrders(ctx, func() (broken []string) {
		other, err := r.replace(r.servers[0], "s-foreign")
		if err != nil {
			return []string{err.Error()}
		}
		time.Sleep(listDelay)
		r.discovery.Change(r.servers[0].endpoint(fakes.Deleted))
		time.Sleep(drainLimit)
		before := other.total()
		time.Sleep(settleTime)
		if late := other.total() - before; late > 0 {
			broken = append(broken, fmt.Sprintf("%d requests were sent to an address that is no longer listed", late))
		}
		return broken
	})
}

func (r *rig) runSwap(ctx context.Context) (map[string]int, []string) {
	return r.underOrders(ctx, func() []string {
		first, second := r.servers[0], r.servers[1]
		newSecond, err := r.replace(first, second.id)
		if err != nil {
			return []string{err.Error()}
		}
		newFirst, err := r.replace(second, first.id)
		if err != nil {
			return []string{err.Error()}
		}
		time.Sleep(listDelay)
		r.discovery.Change(startedNow(newFirst), startedNow(newSecond))
		time.Sleep(settleTime)
		return nil
	})
}

func (r *rig) runSameServer(ctx context.Context) (map[string]int, []string) {
	return r.underOrders(ctx, func() (broken []string) {
		for _, s := range r.servers[:3] {
			again, err := r.replace(s, s.id)
			if err != nil {
				return []string{err.Error()}
			}
			time.Sleep(listDelay)
			r.discovery.Change(startedNow(again))
			time.Sleep(settleTime / 2)
		}
		return broken
	})
}

func (r *rig) runDiscovery(ctx context.Context) (map[string]int, []string) {
	return r.replaceDiscovery(ctx, 0)
}

func (r *rig) runDiscoveryLate(ctx context.Context) (map[string]int, []string) {
	return r.replaceDiscovery(ctx, time.Second)
}

// replaceDiscovery replaces discovery by one with an earlier revision, whose list lacks two servers.
func (r *rig) replaceDiscovery(ctx context.Context, pause time.Duration) (map[string]int, []string) {
	for range manyRevisions {
		r.discovery.Change(r.servers[5].endpoint(fakes.Draining))
		r.discovery.Change(r.servers[5].endpoint(fakes.Serving))
	}
	return r.underOrders(ctx, func() (broken []string) {
		var left []fakes.Endpoint
		for _, s := range r.servers[2:] {
			left = append(left, s.endpoint(fakes.Serving))
		}
		address := r.discovery.Address()
		r.discovery.Close()
		time.Sleep(pause)
		d, err := fakes.NewDiscovery(r.network, address, left...)
		if err != nil {
			return []string{err.Error()}
		}
		r.discovery = d
		time.Sleep(staleLimit)
		before := r.servers[0].total() + r.servers[1].total()
		time.Sleep(settleTime)
		if late := r.servers[0].total() + r.servers[1].total() - before; late > 0 {
			broken = append(broken, fmt.Sprintf("%d requests were sent to servers that the new discovery does not list", late))
		}
		return broken
	})
}

// replace ends a server's process and starts another at its address.
func (r *rig) replace(gone *server, id string) (*server, error) {
	address := gone.listener.Addr().String()
	gone.close()
	var err error
	for range restartRetries {
		time.Sleep(restartPause)
		var next *server
		if next, err = startServer(r.network, address, id); err == nil {
			next.behaviour.Store(gone.behaviour.Load())
			r.servers = append(r.servers, next)
			return next, nil
		}
	}
	return nil, err
}

// underOrders lets clients send orders while change happens, and checks that none runs twice.
func (r *rig) underOrders(ctx context.Context, change func() []string) (counts map[string]int, broken []string) {
	counts = map[string]int{}
	ctx, cancel := context.WithCancel(ctx)
	r.behave(work(headDelay))
	var mutex sync.Mutex
	var ids []string
	var all sync.WaitGroup
	for range orderClients {
		all.Go(func() {
			for ctx.Err() == nil {
				id := r.nextID()
				a := r.send(small(classes()["order"], id))
				mutex.Lock()
				counts[a.name()]++
				ids = append(ids, id)
				mutex.Unlock()
			}
		})
	}
	time.Sleep(settleTime)
	broken = change()
	cancel()
	all.Wait()
	for _, id := range ids {
		if n := r.runs(id); n > 1 {
			broken = append(broken, fmt.Sprintf("%s has run %d times", id, n))
		}
	}
	return counts, broken
}
