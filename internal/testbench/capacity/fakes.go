package capacity

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"plankrouter/internal/testbench/fakes"
)

const (
	headerID        = "Req-Id:"
	pathProbe       = "/metrics/load"
	meanServiceTime = 20 * time.Millisecond // of a request at a server
	responseBody    = 512                   // size of a response's body in bytes
)

// trafficCounter counts the messages and bytes on the connections of a fake.
type trafficCounter struct {
	messages, bytes atomic.Int64 // bytes: in both directions, without TCP and lower layers
}

// Traffic is the value of a trafficCounter at one time, or the difference of two values.
type Traffic struct{ Messages, Bytes int64 }

func (t *trafficCounter) add(bytes int) {
	t.messages.Add(1)
	t.bytes.Add(int64(bytes))
}

func (t *trafficCounter) read() Traffic { return Traffic{t.messages.Load(), t.bytes.Load()} }

func (t Traffic) since(before Traffic) Traffic {
	return Traffic{t.Messages - before.Messages, t.Bytes - before.Bytes}
}

// fakeServers are servers in this process, each at its own address.
type fakeServers struct {
	listeners                 []net.Listener
	probes, attempts          trafficCounter
	accepted, open, contacted atomic.Int64 // connections; contacted: servers that ever had one
	serviceTimes              sync.Map     // string to time.Duration: time from a request's last byte to its response, by id
	mutex                     sync.Mutex
	conns                     map[net.Conn]struct{}
	running                   sync.WaitGroup
}

func newFakeServers(n fakes.Network, servers int) (*fakeServers, error) {
	f := &fakeServers{conns: map[net.Conn]struct{}{}}
	for range servers {
		l, err := n.Listen("")
		if err != nil {
			f.close()
			return nil, err
		}
		f.listeners = append(f.listeners, l)
		f.running.Go(func() { f.accept(l) })
	}
	return f, nil
}

// endpoints returns the endpoint list of the servers.
func (f *fakeServers) endpoints() (all []fakes.Endpoint) {
	for i, l := range f.listeners {
		all = append(all, fakes.Endpoint{
			ID: fmt.Sprintf("tile-server-%05d", i+1), Address: l.Addr().String(), Locality: fakes.LocalZone,
			Phase: fakes.Serving,
		})
	}
	return all
}

func (f *fakeServers) close() {
	for _, l := range f.listeners {
		l.Close()
	}
	f.mutex.Lock()
	for c := range f.conns {
		c.Close()
	}
	f.mutex.Unlock()
	f.running.Wait()
}

func (f *fakeServers) accept(l net.Listener) {
	var active atomic.Int64
	contacted := false
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if !contacted {
			contacted = true
			f.contacted.Add(1)
		}
		f.accepted.Add(1)
		f.open.Add(1)
		f.mutex.Lock()
		f.conns[c] = struct{}{}
		f.mutex.Unlock()
		f.running.Go(func() {
			defer func() {
				c.Close()
				f.mutex.Lock()
				delete(f.conns, c)
				f.mutex.Unlock()
				f.open.Add(-1)
			}()
			f.serve(c, &active)
		})
	}
}

// serve responds to the requests on a connection, probes at once and other requests after meanServiceTime.
func (f *fakeServers) serve(c net.Conn, active *atomic.Int64) {
	br := bufio.NewReader(c)
	for {
		target, id, size, err := readHead(br)
		if err != nil {
			return
		}
		if strings.HasPrefix(target, pathProbe) {
			body := fmt.Sprintf(`{"active":%d,"avg_ms":%.1f}`, active.Load(), float64(meanServiceTime)/1e6)
			raw := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			f.probes.add(size + len(raw))
			if _, err := c.Write([]byte(raw)); err != nil {
				return
			}
			continue
		}
		start := time.Now()
		active.Add(1)
		time.Sleep(meanServiceTime)
		active.Add(-1)
		body := id + "\n" + strings.Repeat("x", max(0, responseBody-len(id)-1))
		raw := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		f.attempts.add(size + len(raw))
		f.serviceTimes.Store(id, time.Since(start))
		if _, err := c.Write([]byte(raw)); err != nil {
			return
		}
	}
}

// readHead reads a request without a body and returns its target, its id and its size in bytes.
func readHead(br *bufio.Reader) (target, id string, size int, err error) {
	for n := 0; ; n++ {
		line, err := br.ReadString('\n')
		if err != nil {
			return "", "", 0, err
		}
		size += len(line)
		switch line = strings.TrimRight(line, "\r\n"); {
		case line == "" && n > 0:
			return target, id, size, nil
		case n == 0:
			if parts := strings.Fields(line); len(parts) == 3 {
				target = parts[1]
			}
		case len(line) > len(headerID) && strings.EqualFold(line[:len(headerID)], headerID):
			id = strings.TrimSpace(line[len(headerID):])
		}
	}
}

// fakeDiscovery is a fakes.Discovery whose bytes are counted.
type fakeDiscovery struct {
	*fakes.Discovery
	count fakes.Counter
}

func newFakeDiscovery(n fakes.Network, endpoints []fakes.Endpoint) (*fakeDiscovery, error) {
	d := &fakeDiscovery{}
	var err error
	d.Discovery, err = fakes.NewDiscovery(d.count.Wrap(n), "", endpoints...)
	if err == nil {
		d.SetEncoding(true, false)
	}
	return d, err
}

// lists returns the traffic so far, and how many of the calls requested the complete list.
func (d *fakeDiscovery) lists() (t Traffic, complete int64) {
	for _, c := range d.Requests() {
		t.Messages++
		if c.Complete {
			complete++
		}
	}
	t.Bytes = d.count.In.Load() + d.count.Out.Load()
	return t, complete
}
