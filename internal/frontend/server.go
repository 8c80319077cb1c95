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
	core    request.Dispatcher
	budget  *connlimit.Budget
	book    *metrics.Registry
	bounds  *streaming.Bounds
	dialect atomic.Pointer[dialect]

	// Rules counts the requests whose connection was ended without their answer; nil = nobody does. Set it before Serve.
	Rules *invariant.Recorder
	// Trace logs a line for each connection as it ends; nil = none does. Set it before Serve.
	Trace func(format string, args ...any)

	Connections, Adopted, NotTaken atomic.Int64

	mu      sync.Mutex
	conns   map[*conn]bool               // true = a message is under way
	staying bool                         // idle connections are kept: who loses one finds nobody to open another to
	pass    func(net.Conn, []byte) error // hands an idle connection to a successor; nil = there is none
	empty   chan struct{}                // closed when the last connection has ended, once there is a successor
	resumed chan struct{}                // closed when there is none any more
	paused  bool                         // none comes in meanwhile
	closed  chan struct{}                // by Drain
	hung    chan struct{}                // by hangUp
	running errgroup.Group               // the connections' goroutines
	serving bool                         // Serve has been called
	closing bool
	closeAt time.Time // since then the listener is about to be closed, once nothing lies in its backlog
	halfAt  time.Time // then half a request is read no further
	endings outcome.Counts

	crowdedUntil time.Time // those that find no place are refused at once; of the goroutine that accepts
}

// New returns a front for core that counts in book what becomes of the requests it takes.
func New(cfg *config.Config, core request.Dispatcher, budget *connlimit.Budget, book *metrics.Registry, bounds *streaming.Bounds) *Server {
	s := &Server{
		core: core, budget: budget, book: book, bounds: bounds, conns: map[*conn]bool{}, closed: make(chan struct{}),
		hung: make(chan struct{}),
	}
	s.Reconfigure(&cfg.Settings)
	return s
}

// Reconfigure goes by other classes and tenants from the next request on.
func (s *Server) Reconfigure(set *config.Settings) {
	s.book.Classes(set.ClassNames()...)
	s.dialect.Store(newDialect(set))
}

// Endings returns how the connections have ended so far.
func (s *Server) Endings() outcome.Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endings
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
	return s.serving && !s.closing && s.pass == nil
}

func (s *Server) ended(c *conn, e outcome.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.leftEmpty()
	if s.closing && e == outcome.IdleRetired {
		e = outcome.ShuttingDown
	}
	s.endings[e]++
	if s.Trace != nil {
		s.Trace("trace=consumer remote=%s ending=%s lived_ms=%d", c.socket.RemoteAddr(), e, time.Since(c.began).Milliseconds())
	}
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}
