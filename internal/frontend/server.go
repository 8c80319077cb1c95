// Package frontend is the HTTP front: it listens for the consumers and turns what they send into
// invocations for the core, and the core's answers into HTTP.
package frontend

import (
	"net"
	"plankrouter/internal/config"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/invariant"
	"plankrouter/internal/metrics"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/streaming"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Server is the front.
type Server struct {
	dispatcher request.Dispatcher
	budget     *connlimit.Budget
	metrics    *metrics.Registry
	bounds     *streaming.Bounds
	translator atomic.Pointer[translator]

	// Rules counts the requests whose connection was ended without their answer; nil = nobody does. Set it before Serve.
	Rules *invariant.Recorder
	// Trace logs a line for each connection as it ends; nil = none does. Set it before Serve.
	Trace func(format string, args ...any)

	Connections, Adopted, NotTaken atomic.Int64

	mu             sync.Mutex
	conns          map[*conn]bool               // true = a message is under way
	keepIdle       bool                         // idle connections are kept: who loses one finds nobody to open another to
	handOver       func(net.Conn, []byte) error // hands an idle connection to a successor; nil = there is none
	allHandedOver  chan struct{}                // closed when the last connection has ended, once there is a successor
	resumed        chan struct{}                // closed when there is none any more
	acceptPaused   bool                         // none comes in meanwhile
	drainStarted   chan struct{}                // by Drain
	stopped        chan struct{}                // by closeAll
	running        errgroup.Group               // the connections' goroutines
	serving        bool                         // Serve has been called
	draining       bool
	drainStartedAt time.Time // since then the listener is about to be closed, once nothing lies in its backlog
	partialUntil   time.Time // then half a request is read no further
	outcomes       outcome.Counts

	rejectUntil time.Time // those that find no place are refused at once; of the goroutine that accepts
}

// New returns a front for core that counts in book what becomes of the requests it takes.
func New(cfg *config.Config, dispatcher request.Dispatcher, budget *connlimit.Budget, registry *metrics.Registry, bounds *streaming.Bounds) *Server {
	s := &Server{
		dispatcher: dispatcher, budget: budget, metrics: registry, bounds: bounds, conns: map[*conn]bool{}, drainStarted: make(chan struct{}),
		stopped: make(chan struct{}),
	}
	s.Reconfigure(&cfg.Settings)
	return s
}

// Reconfigure goes by other classes and tenants from the next request on.
func (s *Server) Reconfigure(set *config.Settings) {
	s.metrics.Classes(set.ClassNames()...)
	s.translator.Store(newTranslator(set))
}

// Endings returns how the connections have ended so far.
func (s *Server) Endings() outcome.Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcomes
}

// Open is the number of clients' connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Taking reports whether connections are still accepted here.
func (s *Server) Taking() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving && !s.draining && s.handOver == nil
}

func (s *Server) removeConn(c *conn, e outcome.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.notifyIfAllHandedOver()
	if s.draining && e == outcome.IdleRetired {
		e = outcome.ShuttingDown
	}
	s.outcomes[e]++
	if s.Trace != nil {
		s.Trace("trace=consumer remote=%s ending=%s lived_ms=%d", c.socket.RemoteAddr(), e, time.Since(c.acceptedAt).Milliseconds())
	}
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}
