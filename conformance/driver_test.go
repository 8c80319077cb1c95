package conformance

import (
	"context"
	"fmt"
	"slices"
	"time"

	"plankrouter"
	"plankrouter/internal/testbench/fakes"
)

// driver runs one side: the daemon or the library. Do is safe for concurrent use; the other methods are called by one goroutine.
type driver interface {
	// Start starts the daemon or the library.
	Start(*settings) error
	// Do sends a request and returns its outcome. The caller cancels the request by cancelling ctx.
	Do(ctx context.Context, r *request) outcome
	// Update applies changes to the endpoint list, or replaces it if all is true. When it returns, the new list is in effect.
	Update(changed []fakes.Endpoint, all bool) error
	// Accepted returns the number of requests accepted so far.
	Accepted() (int, error)
	// ExtraConnections returns the number of open connections, or descriptors, beyond those right after Start.
	ExtraConnections() (int, error)
	// Stop starts a shutdown, a short one if soon is true. Closed reports whether new requests are no longer accepted. Wait
	// waits until the shutdown has ended and returns its error.
	Stop(soon bool) error
	Closed() bool
	Wait() error
	// Kill ends the daemon or the library at once, after an error.
	Kill()
}

// settings are a scenario's settings of the daemon or the library.
type settings struct {
	classes         []plankrouter.Class
	tenants         []plankrouter.Tenant
	endpoints       []fakes.Endpoint
	discovery       *fakes.Discovery // serves the endpoints to the daemon, and to the library if endpointSource is "directory"
	endpointSource  string           // for the library; "directory" = discovery, "" = Update and Replace
	probes          bool
	maxAttempts     int
	connections     int           // largest number of connections to servers
	connect         time.Duration // connect timeout
	connIdle        time.Duration // idle time after which servers close a connection
	drainGrace      time.Duration
	maxRetryAfter   time.Duration
	overQuotaWeight float64 // value of a request beyond its tenant's quota
	slowStart       plankrouter.SlowStart
	dir             string // directory for files
}

// isNonIdempotent reports whether requests of the class must not run twice.
func (s *settings) isNonIdempotent(class string) bool {
	return slices.ContainsFunc(s.classes, func(c plankrouter.Class) bool {
		return c.Name == class && c.Idempotency == plankrouter.NonIdempotent
	})
}

// request is a request of a scenario.
type request struct {
	id, class, tenant string
	method, target    string
	fields            [][2]string
	body              []byte
	deadline          time.Duration // timeout of the request; 0 = that of its class
	deadlinePassed    bool          // the deadline passed before the request is sent
	cancelledEarly    bool          // cancelled before it is completely sent
	withoutID         bool          // sent without an id
}

// outcome is the outcome of a request. The kind and detail are compared between the sides. Only the library reports whether the
// request may have run.
type outcome struct {
	kind   string // served, refused, failed, cancelled, conflict, too large, turned away, closed
	detail string
	ran    string // "may have run" or "not run"; "" = unknown
}

func (o outcome) String() string {
	s := o.kind + o.detail
	if o.ran != "" {
		s += " (" + o.ran + ")"
	}
	return s
}

func describeRun(mayHaveRun bool) string {
	if mayHaveRun {
		return "may have run"
	}
	return "not run"
}

// served returns the outcome for a response; its detail is the status, the header fields and the body.
func served(status int, fields []string, body []byte) outcome {
	o := outcome{kind: "served", detail: fmt.Sprintf(" %d", status)}
	for _, f := range fields {
		o.detail += " " + f
	}
	o.detail += " " + describe(body)
	return o
}

// rejected returns the outcome for a rejected request. The detail has no retry-after time for a request with a deadline of its
// own: when that passes, either the caller or the daemon or library may be the first to notice.
func rejected(r *request, after time.Duration) outcome {
	o := outcome{kind: "refused"}
	if after > 0 && r.deadline == 0 {
		o.detail = fmt.Sprintf(", back in %s", after.Round(time.Millisecond))
	}
	return o
}

// awaitRevision waits until the daemon or the library, which is the discovery service's only client, has received its current
// revision: it then polls for a newer one.
func awaitRevision(ctx context.Context, d *fakes.Discovery) error {
	current := d.Revision()
	return await(ctx, func() bool {
		polls := d.Requests()
		return len(polls) > 0 && polls[len(polls)-1].Index >= current
	})
}

// updateDiscovery changes the list of the fake discovery service, and waits until the daemon or the library has
// received it.
func updateDiscovery(ctx context.Context, d *fakes.Discovery, changed []fakes.Endpoint, all bool) error {
	if all {
		d.Set(changed...)
	} else {
		d.Change(changed...)
	}
	return awaitRevision(ctx, d)
}
