package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"plankrouter/internal/testbench/fakes"
)

const stepTimeout = 30 * time.Second // bounds each wait in a test that hangs; no check depends on it otherwise

// rig runs the whole program on loopback sockets between clients and servers that a test blocks at a given point. The test
// decides when the program's connections to servers are established, whether or not the program still needs them.
type rig struct {
	*testing.T
	front        string
	pendingDials chan chan struct{} // a channel for each dial, which proceeds when the channel is closed
	accepts      chan net.Conn      // if holding, accepted connections that the program receives only through pass
	pass         chan net.Conn
	closed       chan struct{} // a value for each client connection that the program has closed
	probed       chan struct{} // a value for each probe that a server has received
	signals      signalQueues
	ended        chan error
	file         string

	mu      sync.Mutex
	seen    []string         // ids of the requests whose head a server has received
	respond func(int) string // response to the n-th request; "" = none
	probes  chan struct{}    // probes get responses once it is closed; nil = at once
}

// logged is the log of all programs of parallel tests.
var logged struct {
	sync.Mutex
	bytes.Buffer
}

type lockedLog struct{}

func (lockedLog) Write(p []byte) (int, error) {
	logged.Lock()
	defer logged.Unlock()
	return logged.Write(p)
}

// heldListener is a listener whose connections report when the program closes them. If holding, Accept sends each to
// the test on accepts, and returns the one that the test sends on pass.
type heldListener struct {
	net.Listener
	*rig
	holding bool
}

type closeNotifier struct {
	*net.TCPConn
	once   *sync.Once
	closed chan struct{}
}

func (c closeNotifier) Close() error {
	err := c.TCPConn.Close()
	c.once.Do(func() { c.closed <- struct{}{} })
	return err
}

func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.holding {
		l.accepts <- c
		c = <-l.pass
	}
	return closeNotifier{c.(*net.TCPConn), new(sync.Once), l.closed}, nil
}

func newRig(t *testing.T, servers int, holding bool, edit func(settings map[string]any)) *rig {
	r := &rig{
		T: t, pendingDials: make(chan chan struct{}), accepts: make(chan net.Conn), pass: make(chan net.Conn),
		closed: make(chan struct{}, 64), probed: make(chan struct{}, 64), file: filepath.Join(t.TempDir(), "config.json"),
	}
	r.respond = func(int) string { return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok" }
	known := fakes.List{Revision: 1}
	for i := range servers {
		l := listenHere(t)
		go r.serveRequests(l)
		known.Endpoints = append(known.Endpoints, fakes.Endpoint{
			ID: fmt.Sprint("s-", i), Address: l.Addr().String(), Locality: fakes.LocalZone,
			Phase: fakes.Serving,
		})
	}
	discovery, err := fakes.NewDiscovery(fakes.Loopback(), "", known.Endpoints...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	front := listenHere(t)
	r.front = front.Addr().String()
	name := strings.ReplaceAll(t.Name(), " ", "_")
	raw, err := fakes.Config(fakes.SidecarConfig{
		Name: name, Listen: r.front, Discovery: discovery.Address(), Known: known, Seed: 1,
		NoProbes: true, ConnIdle: time.Minute, ConnectTimeout: time.Minute, DrainGrace: time.Minute,
		Classes: []fakes.Class{
			{Name: "tile", LatencyObjective: time.Minute, Deadline: time.Minute, PriorityWeight: 1, Idempotent: true},
			{Name: "order", LatencyObjective: time.Minute, Deadline: time.Minute, PriorityWeight: 5},
		},
		Edit: func(d map[string]any) { edit(d["settings"].(map[string]any)) },
	})
	if err != nil || os.WriteFile(r.file, raw, 0o600) != nil {
		t.Fatal(err)
	}
	log.SetOutput(lockedLog{})
	r.signals, r.ended = launch(t, map[string]string{"GW_CONFIG": r.file}, heldListener{front, r, holding}, nil,
		func(_ context.Context, address string) (net.Conn, error) {
			if address != discovery.Address() {
				proceed := make(chan struct{})
				r.pendingDials <- proceed
				<-proceed
			}
			return net.Dial("tcp", address)
		})
	return r
}

func listenHere(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// decline makes a server decline the nth request. stop is called first, so that the next dial blocks.
func (r *rig) decline(nth int, stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.respond
	r.respond = func(n int) string {
		if n == nth {
			stop()
			return "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
		}
		return previous(n)
	}
}

// checkCounts checks that servers received exactly the requests in want, and that the counters have that many requests served
// and abandoned by their clients.
func (r *rig) checkCounts(want []string, counts string, gone, served int) {
	r.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.Sort(want)
	slices.Sort(r.seen)
	if !slices.Equal(r.seen, want) {
		r.Errorf("servers received %v, want %v", r.seen, want)
	}
	for _, counter := range []string{
		fmt.Sprintf(" taken=%d ", gone+served), fmt.Sprintf(" consumer_gone=%d ", gone),
		fmt.Sprintf(" served=%d refused=0 failed=0", served), " sockets=0",
	} {
		if !strings.Contains(counts, counter) {
			r.Errorf("%q is not in\n%s", counter, counts)
		}
	}
}

// serveRequests runs a server, which records a request as soon as it has read the head.
func (r *rig) serveRequests(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for br := bufio.NewReader(c); ; {
				req, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				response, probes := "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n{\"active\":0,\"avg_ms\":10.0}", r.probes
				if id := req.Header.Get("Req-Id"); id != "" {
					r.mu.Lock()
					r.seen = append(r.seen, id)
					response = r.respond(len(r.seen))
					r.mu.Unlock()
				} else if r.probed <- struct{}{}; probes != nil {
					<-probes
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return
				}
				_, _ = io.WriteString(c, response)
			}
		}()
	}
}

// client opens a connection and sends message.
func (r *rig) client(message string) *net.TCPConn {
	c, err := net.Dial("tcp", r.front)
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, message); err != nil {
		r.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// expectServed sends a request and checks that its status is 200. Dials must be allowed.
func (r *rig) expectServed(id string) {
	c := r.client(getRequest(id))
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(stepTimeout))
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
		r.Errorf("%s: %v %v", id, resp, err)
	}
}

// allowDials makes all dials proceed, if enabled, until stop is called.
func (r *rig) allowDials(enabled bool) (stop func()) {
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for enabled {
			select {
			case proceed := <-r.pendingDials:
				close(proceed)
			case <-done:
				return
			case <-r.Context().Done():
				return
			}
		}
	}()
	return sync.OnceFunc(func() { close(done); <-stopped })
}

// end stops the program with that many stop signals, waits for its end, and returns the log lines with its counters.
func (r *rig) end(signals int) string {
	for range signals {
		r.signals.raise(syscall.SIGTERM)
	}
	if err := wait(r, "the end of the program", r.ended); err != nil {
		r.Error(err)
	}
	logged.Lock()
	defer logged.Unlock()
	lines := regexp.MustCompile(`name=`+regexp.QuoteMeta(strings.ReplaceAll(r.Name(), " ", "_"))+` counters=(core|front) .*`).
		FindAllString(logged.String(), -1)
	return strings.Join(lines, "\n")
}

// wait returns the next value of the channel, and fails the test if there is none within stepTimeout.
func wait[T any](r *rig, what string, from <-chan T) (got T) {
	select {
	case got = <-from:
	case <-time.After(stepTimeout):
		r.Fatalf("timeout waiting for %s", what)
	}
	return got
}

func getRequest(id string) string {
	return "GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\nReq-Deadline: 60\r\n\r\n"
}
