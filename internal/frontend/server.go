// Package frontend serves the clients' connections: it turns what they send over HTTP/1.1 into requests for the dispatcher, and
// the dispatcher's answers into HTTP.
package frontend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"plankrouter/internal/config"
	"plankrouter/internal/connlimit"
	"plankrouter/internal/invariant"
	"plankrouter/internal/metrics"
	"plankrouter/internal/outcome"
	"plankrouter/internal/request"
	"plankrouter/internal/streaming"
)

// Server accepts and serves the clients' connections.
type Server struct {
	dispatcher request.Dispatcher
	budget     *connlimit.Budget
	metrics    *metrics.Registry
	bounds     *streaming.Bounds
	translator atomic.Pointer[translator]

	// Invariants counts the requests whose connection was ended without their answer; nil = nothing does. Set it before Serve.
	Invariants *invariant.Recorder
	// Trace logs a line for each connection as it ends; nil = nothing does. Set it before Serve.
	Trace func(format string, args ...any)

	Connections, Adopted, Rejected atomic.Int64

	mu             sync.Mutex
	conns          map[*conn]bool               // true = a message is under way
	keepIdle       bool                         // idle connections stay open: a client that lost one could not open another
	handOver       func(net.Conn, []byte) error // passes an idle connection to a successor; nil = there is no successor
	allHandedOver  chan struct{}                // closed when the last connection has ended, once there is a successor
	resumed        chan struct{}                // closed when there is no successor any more
	acceptPaused   bool                         // no connection is accepted during the handover
	drainStarted   chan struct{}                // closed by Drain
	stopped        chan struct{}                // closed by closeAll
	running        errgroup.Group               // the connections' goroutines
	serving        bool                         // Serve has been called
	draining       bool
	drainStartedAt time.Time
	partialUntil   time.Time // while draining, requests of which a part has come are read until then
	outcomes       outcome.Counts

	rejectUntil time.Time // until then connections that find no place are rejected at once; only the accepting goroutine uses it
}

// New returns a Server that submits requests to the dispatcher, and counts in registry how they end.
func New(cfg *config.Config, dispatcher request.Dispatcher, budget *connlimit.Budget, registry *metrics.Registry, bounds *streaming.Bounds) *Server {
	s := &Server{
		dispatcher: dispatcher, budget: budget, metrics: registry, bounds: bounds, conns: map[*conn]bool{},
		drainStarted: make(chan struct{}), stopped: make(chan struct{}),
	}
	s.Reconfigure(&cfg.Settings)
	return s
}

// Reconfigure replaces the classes and tenants from the next request on.
func (s *Server) Reconfigure(settings *config.Settings) {
	s.metrics.InitClasses(settings.ClassNames()...)
	s.translator.Store(newTranslator(settings))
}

// Outcomes returns how the connections have ended so far.
func (s *Server) Outcomes() outcome.Counts {
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

// IsAccepting reports whether this process still accepts connections.
func (s *Server) IsAccepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving && !s.draining && s.handOver == nil
}

// removeConn forgets a connection that has ended, and counts how.
func (s *Server) removeConn(c *conn, how outcome.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.notifyIfAllHandedOver()
	if s.draining && how == outcome.IdleRetired {
		how = outcome.ShuttingDown
	}
	s.outcomes[how]++
	if s.Trace != nil {
		s.Trace("trace=client remote=%s ending=%s lived_ms=%d", c.socket.RemoteAddr(), how, time.Since(c.acceptedAt).Milliseconds())
	}
}

// isDraining reports whether Drain has been called.
func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}
