package conformance

import (
	"context"
	"fmt"
	"slices"
	"time"

	"plankrouter"
	"plankrouter/internal/testbench/fakes"
)

// driver plays one side. All but Do are called by one goroutine.
type driver interface {
	// Start starts it.
	Start(*settings) error
	// Do sends a request and returns its outcome. The end of ctx is that of the caller's interest.
	Do(ctx context.Context, r *request) outcome
	// Update tells of endpoints that have changed, or of all. What is sent from its return on is decided by that.
	Update(changed []fakes.Endpoint, all bool) error
	// Taken returns how many requests have been taken so far.
	Taken() (int, error)
	// Left returns how many connections there are beyond those of an idle start.
	Left() (int, error)
	// Stop tells it to end, in its own time or soon. Closed reports whether nothing new is taken any more, and Wait
	// waits until it has ended, which must be without an error.
	Stop(soon bool) error
	Closed() bool
	Wait() error
	// Kill ends it at once, where something has gone wrong.
	Kill()
}

// settings are what a scenario says of a side.
type settings struct {
	classes         []plankrouter.Class
	tenants         []plankrouter.Tenant
	endpoints       []fakes.Endpoint
	discovery       *fakes.Discovery // the same endpoints; the daemon asks it, and the library if fed is "directory"
	endpointSource  string
	probes          bool
	maxAttempts     int
	connections     int
	connect         time.Duration
	connIdle        time.Duration
	drainGrace      time.Duration
	maxRetryAfter   time.Duration // longest
	overQuotaWeight float64       // value of a request beyond its tenant's quota
	slowStart       plankrouter.SlowStart
	dir             string // for files
}

// isNonIdempotent reports whether requests of the class must not run twice.
func (s *settings) isNonIdempotent(class string) bool {
	return slices.ContainsFunc(s.classes, func(c plankrouter.Class) bool {
		return c.Name == class && c.Idempotency == plankrouter.NonIdempotent
	})
}

// request is one request of a script.
type request struct {
	id, class, tenant string
	method, target    string
	fields            [][2]string
	body              []byte
	deadline          time.Duration // 0 = none of its own
	deadlinePassed    bool          // the deadline has passed
	cancelledEarly    bool          // given up before it is whole
	withoutID         bool          // without an id
}

// outcome is what became of a request. Kind and detail are compared between the sides; whether it may have run only the library
// knows.
type outcome struct {
	kind   string // served, refused, failed, cancelled, conflict, too large, turned away, closed
	detail string
	ran    string // "may have run" or "not run"; "" = it can't tell
}

func (o outcome) String() string {
	s := o.kind + o.detail
	if o.ran != "" {
		s += " (" + o.ran + ")"
	}
	return s
}

func mayRun(may bool) string {
	if may {
		return "may have run"
	}
	return "not run"
}

// served words an answer: its status, its fields but for those of framing, and its body.
func served(status int, fields []string, body []byte) outcome {
	o := outcome{kind: "served", detail: fmt.Sprintf(" %d", status)}
	for _, f := range fields {
		o.detail += " " + f
	}
	o.detail += " " + describe(body)
	return o
}

// refused words a refusal. The advice is left out where the request's own deadline decided, which each side may be the
// first to notice.
func refused(r *request, after time.Duration) outcome {
	o := outcome{kind: "refused"}
	if after > 0 && r.deadline == 0 {
		o.detail = fmt.Sprintf(", back in %s", after.Round(time.Millisecond))
	}
	return o
}

// awaitRevision waits until the daemon, or a library that watches it, has taken discovery's present revision: it has asked
// for what is newer. What asks is the only one that does.
func awaitRevision(ctx context.Context, d *fakes.Discovery) error {
	now := d.Revision()
	return await(ctx, func() bool {
		calls := d.Requests()
		return len(calls) > 0 && calls[len(calls)-1].Index >= now
	})
}

// updateDiscovery changes the list of the fake discovery service, and waits until the side has taken it.
func updateDiscovery(ctx context.Context, d *fakes.Discovery, changed []fakes.Endpoint, all bool) error {
	if all {
		d.Set(changed...)
	} else {
		d.Change(changed...)
	}
	return awaitRevision(ctx, d)
}
