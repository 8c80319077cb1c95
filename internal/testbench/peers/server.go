package peers

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"plankrouter/internal/testbench/fakes"
)

// handler handles a request whose body is not read yet.
type handler func(s *server, w http.ResponseWriter, r *http.Request)

// server is a fake server that runs requests and responds as its behaviour says.
type server struct {
	id        string
	listener  net.Listener
	server    http.Server
	behaviour atomic.Pointer[handler]
	active    atomic.Int64

	mutex sync.Mutex
	runs  map[string]int // how often each request has run, by its id
}

// startServer starts a server at address (see fakes.Network.Listen).
func startServer(n fakes.Network, address, id string) (*server, error) {
	l, err := n.Listen(address)
	if err != nil {
		return nil, err
	}
	s := &server{id: id, listener: l, runs: map[string]int{}}
	s.behaviour.Store(new(handler(serveSmall)))
	s.server.Handler = s
	go func() { _ = s.server.Serve(l) }() // ends when the server is closed
	return s, nil
}

func (s *server) endpoint(phase string) fakes.Endpoint {
	return fakes.Endpoint{ID: s.id, Address: s.listener.Addr().String(), Locality: fakes.LocalZone, Phase: phase}
}

func (s *server) close() { _ = s.server.Close() }

// ServeHTTP responds to probes, and passes requests to the behaviour.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/alive" || r.URL.Path == "/metrics/load":
		fmt.Fprintf(w, `{"active":%d,"avg_ms":20}`, s.active.Load())
	case r.Header.Get("Req-Id") == "":
		http.NotFound(w, r)
	default:
		(*s.behaviour.Load())(s, w, r)
	}
}

// run reads the request's body, counts the request as run, and works on it.
func (s *server) run(r *http.Request, work func()) error {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err
	}
	s.mutex.Lock()
	s.runs[r.Header.Get("Req-Id")]++
	s.mutex.Unlock()
	s.active.Add(1)
	defer s.active.Add(-1)
	work()
	return nil
}

func (s *server) runsOf(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[id]
}

// total returns how many requests have run.
func (s *server) total() (n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, runs := range s.runs {
		n += runs
	}
	return n
}
