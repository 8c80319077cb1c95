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

const stepTimeout = 30 * time.Second // with the program in a test that hangs: no verdict depends on how soon anything comes

// rig is the whole program on loopback sockets between a client and servers that a test holds up at the very point. The
// program's connections to servers come up when the test says so, whether or not the program still wants them.
type rig struct {
	*testing.T
	front        string
	pendingDials chan chan struct{} // one for each connection, to be closed when it is to come up
	accepts      chan net.Conn      // those of which the program may learn only when the test passes them on, if holding
	pass         chan net.Conn
	closed       chan struct{} // one signal for each client's connection that the program has closed
	probed       chan struct{} // and for each probe that a server has got
	signals      signalQueues
	ended        chan error
	file         string

	mu     sync.Mutex
	seen   []string         // the requests of which a server has got the head, by their ids
	answer func(int) string // to the n-th request; "" = none
	probes chan struct{}    // closed when probes are answered; nil = at once
}

// logged is what programs log that run side by side.
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

// heldListener is a listener whose connections tell when they are closed here.
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
	r.answer = func(int) string { return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok" }
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
				up := make(chan struct{})
				r.pendingDials <- up
				<-up
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

// decline has the nth request declined; the next connection is held up by stop.
func (r *rig) decline(nth int, stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	well := r.answer
	r.answer = func(n int) string {
		if n == nth {
			stop()
			return "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
		}
		return well(n)
	}
}

// checkCounts sees that servers got just those requests, and that the counters have as many that were served and whose clients had
// gone.
func (r *rig) checkCounts(want []string, counts string, gone, served int) {
	r.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.Sort(want)
	slices.Sort(r.seen)
	if !slices.Equal(r.seen, want) {
		r.Errorf("providers got %v, want %v", r.seen, want)
	}
	for _, word := range []string{
		fmt.Sprintf(" taken=%d ", gone+served), fmt.Sprintf(" consumer_gone=%d ", gone),
		fmt.Sprintf(" served=%d refused=0 failed=0", served), " sockets=0",
	} {
		if !strings.Contains(counts, word) {
			r.Errorf("%q is not in\n%s", word, counts)
		}
	}
}

// serveRequests is a server, which takes note of a request as soon as its head is there.
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
				answer, probes := "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n{\"active\":0,\"avg_ms\":10.0}", r.probes
				if id := req.Header.Get("Req-Id"); id != "" {
					r.mu.Lock()
					r.seen = append(r.seen, id)
					answer = r.answer(len(r.seen))
					r.mu.Unlock()
				} else if r.probed <- struct{}{}; probes != nil {
					<-probes
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer)
			}
		}()
	}
}

// client opens a connection and sends what it is given.
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

// expectServed has a request answered 200, with all connections coming up from here on.
func (r *rig) expectServed(id string) {
	c := r.client(getRequest(id))
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(stepTimeout))
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
		r.Errorf("%s: %v %v", id, resp, err)
	}
}

// allowDials lets connections come up as they are asked for, if it is to, until stop is called.
func (r *rig) allowDials(they bool) (stop func()) {
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for they {
			select {
			case up := <-r.pendingDials:
				close(up)
			case <-done:
				return
			case <-r.Context().Done():
				return
			}
		}
	}()
	return sync.OnceFunc(func() { close(done); <-stopped })
}

// end stops the program, and returns what it has counted. All that was under way has ended by then.
func (r *rig) end(signals int) string {
	for range signals {
		r.signals.raise(syscall.SIGTERM)
	}
	if err := wait(r, "the end", r.ended); err != nil {
		r.Error(err)
	}
	logged.Lock()
	defer logged.Unlock()
	lines := regexp.MustCompile(`name=`+regexp.QuoteMeta(strings.ReplaceAll(r.Name(), " ", "_"))+` counters=(core|front) .*`).
		FindAllString(logged.String(), -1)
	return strings.Join(lines, "\n")
}

// wait returns what comes, and fails the test if nothing does.
func wait[T any](r *rig, what string, from <-chan T) (got T) {
	select {
	case got = <-from:
	case <-time.After(stepTimeout):
		r.Fatalf("%s has not come", what)
	}
	return got
}

func getRequest(id string) string {
	return "GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\nReq-Deadline: 60\r\n\r\n"
}
