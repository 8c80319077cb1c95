// Package frontend serves the clients' connections: it translates HTTP/1.1 messages into requests for the dispatcher, and the
// dispatcher's responses into HTTP.
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

	// Invariants counts the requests whose connection was closed without a response; may be nil. It must be set before Serve.
	Invariants *invariant.Recorder
	// Trace logs a line for each connection that ends; nil = no log. It must be set before Serve.
	Trace func(format string, args ...any)

	// Connections counts the accepted connections, Adopted those that a predecessor has transferred, and Rejected the messages
	// that were rejected without being submitted to the dispatcher.
	Connections, Adopted, Rejected atomic.Int64

	mu                     sync.Mutex
	conns                  map[*conn]bool               // true = a message is being received or responded to
	keepIdle               bool                         // set by KeepIdle: a client that lost a connection couldn't reconnect
	handOver               func(net.Conn, []byte) error // transfers a connection and a note on its requests; nil = no handover
	allHandedOver          chan struct{}                // closed when no connection is left during a handover
	resumed                chan struct{}                // closed by Resume; set by HandOver
	acceptPaused           bool                         // accepting has stopped for the handover
	drainStarted           chan struct{}                // closed by Drain
	stopped                chan struct{}                // closed by closeAll
	running                errgroup.Group               // the connections' goroutines
	serving                bool                         // Serve has been called
	draining               bool
	drainStartedAt         time.Time
	partialRequestDeadline time.Time // while draining, the deadline for requests that are received in part
	outcomes               outcome.Counts

	rejectUntil time.Time // until when connections beyond the limit are rejected immediately; used by the accepting goroutine alone
}

// New returns a Server that submits requests to the dispatcher, and counts their outcomes in registry.
func New(cfg *config.Config, dispatcher request.Dispatcher, budget *connlimit.Budget, registry *metrics.Registry, bounds *streaming.Bounds) *Server {
	s := &Server{
		dispatcher: dispatcher, budget: budget, metrics: registry, bounds: bounds, conns: map[*conn]bool{},
		drainStarted: make(chan struct{}), stopped: make(chan struct{}),
	}
	s.Reconfigure(&cfg.Settings)
	return s
}

// Reconfigure replaces the classes and tenants; they apply from the next request on.
func (s *Server) Reconfigure(settings *config.Settings) {
	s.metrics.InitClasses(settings.ClassNames()...)
	s.translator.Store(newTranslator(settings))
}

// Outcomes returns the number of connections that have ended so far, by outcome.
func (s *Server) Outcomes() outcome.Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcomes
}

// OpenConnections returns the number of open client connections.
func (s *Server) OpenConnections() int {
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

// removeConn removes a connection that has ended, and counts its outcome.
func (s *Server) removeConn(c *conn, kind outcome.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.notifyIfAllHandedOver()
	if s.draining && kind == outcome.IdleRetired {
		kind = outcome.ShuttingDown
	}
	s.outcomes[kind]++
	if s.Trace != nil {
		s.Trace("trace=client remote=%s ending=%s lived_ms=%d", c.socket.RemoteAddr(), kind, time.Since(c.acceptedAt).Milliseconds())
	}
}

// isDraining reports whether Drain has been called.
func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}
