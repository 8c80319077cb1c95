package conformance

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"plankrouter"
	"plankrouter/internal/testbench/fakes"
)

// library is the driver of the library: a Balancer in this process.
type library struct {
	ctx      context.Context
	settings *settings
	balancer *plankrouter.Balancer
	closed   chan error // result of the balancer's Close
}

func (l *library) Start(s *settings) (err error) {
	l.settings, l.closed = s, make(chan error, 1)
	initial := toEndpoints(s.endpoints)
	o := plankrouter.Options{
		Name: "n1", Classes: s.classes, Tenants: s.tenants, Endpoints: initial, Probes: s.probes,
		MaxAttempts: s.maxAttempts, ConnectionLimit: plankrouter.NewConnectionLimit(s.connections, nil), ConnectTimeout: s.connect, ServerIdleTimeout: s.connIdle,
		DrainGrace: s.drainGrace, SlowStart: s.slowStart, MaxRetryAfter: s.maxRetryAfter, OverQuotaWeight: s.overQuotaWeight, Seed: 1,
	}
	if s.endpointSource == "directory" {
		o.Discovery = s.discovery.Address()
	}
	if l.balancer, err = plankrouter.New(o); err == nil && s.endpointSource == "directory" {
		err = awaitRevision(l.ctx, s.discovery)
	}
	return err
}

func toEndpoints(in []fakes.Endpoint) (out []plankrouter.Endpoint) {
	phases := map[string]plankrouter.Phase{
		fakes.Serving: plankrouter.Serving, fakes.Draining: plankrouter.Draining,
		fakes.Deleted: plankrouter.Gone,
	}
	for _, m := range in {
		endpoint := plankrouter.Endpoint{ID: m.ID, Address: m.Address, Phase: phases[m.Phase]}
		if m.UpSince > 0 {
			endpoint.StartedAt = time.UnixMilli(m.UpSince)
		}
		out = append(out, endpoint)
	}
	return out
}

func (l *library) Update(changed []fakes.Endpoint, all bool) error {
	if l.settings.endpointSource == "directory" {
		return updateDiscovery(l.ctx, l.settings.discovery, changed, all)
	}
	converted := toEndpoints(changed)
	if all {
		return l.balancer.Replace(converted...)
	}
	return l.balancer.Update(converted...)
}

func (l *library) Do(ctx context.Context, r *request) outcome {
	if r.deadline > 0 {
		deadline := time.Now().Add(r.deadline)
		if r.deadlinePassed {
			deadline = time.Now().Add(-r.deadline)
		}
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, deadline)
		defer stop()
	}
	if r.cancelledEarly {
		var stop context.CancelFunc
		ctx, stop = context.WithCancel(ctx)
		stop()
	}
	header := http.Header{}
	for _, f := range r.fields {
		header.Add(f[0], f[1])
	}
	req := plankrouter.Request{
		Class: r.class, Tenant: r.tenant, ID: r.id, Method: r.method, Target: r.target,
		Header: header, Body: r.body,
	}
	if r.withoutID {
		req.ID = ""
	}
	response, err := l.balancer.Do(ctx, &req)
	if err != nil {
		return l.outcome(r, err)
	}
	var fields []string
	for name, values := range response.Header {
		for _, v := range values {
			fields = append(fields, name+"="+v)
		}
	}
	slices.Sort(fields)
	return served(response.Status, fields, response.Body)
}

// outcome returns the outcome for an error of Do. If the context's deadline passed before Do had another outcome, it returns
// the outcome that the daemon has then: rejected if the request can safely be sent again, else failed.
func (l *library) outcome(r *request, err error) outcome {
	var (
		rejection *plankrouter.RejectedError
		failure   *plankrouter.FailedError
		cancelled *plankrouter.CancelledError
		invalid   *plankrouter.RequestError
	)
	switch {
	case errors.As(err, &rejection):
		return rejected(r, rejection.RetryAfter)
	case errors.As(err, &failure):
		return outcome{kind: "failed", ran: describeRun(failure.MayHaveRun)}
	case errors.As(err, &cancelled) && errors.Is(err, context.Canceled):
		return outcome{kind: "cancelled", ran: describeRun(cancelled.MayHaveRun)}
	case errors.As(err, &cancelled) && cancelled.MayHaveRun && l.settings.isNonIdempotent(r.class):
		return outcome{kind: "failed", ran: describeRun(true)}
	case errors.As(err, &cancelled):
		return rejected(r, 0)
	case errors.As(err, &invalid):
		return outcome{kind: "turned away"}
	case errors.Is(err, plankrouter.ErrClosed):
		return outcome{kind: "closed"}
	case errors.Is(err, plankrouter.ErrDuplicate):
		return outcome{kind: "conflict"}
	case errors.Is(err, plankrouter.ErrTooLarge):
		return outcome{kind: "too large"}
	}
	return outcome{kind: fmt.Sprintf("unexpected error: %v", err)}
}

func (l *library) Accepted() (int, error) { return l.balancer.Stats().Accepted, nil }

func (l *library) ExtraConnections() (int, error) {
	n := l.balancer.Stats().Connections
	if l.settings.endpointSource == "directory" {
		n--
	}
	return n, nil
}

func (l *library) Stop(bool) error {
	go func() { l.closed <- l.balancer.Close(context.Background()) }()
	return await(l.ctx, l.Closed)
}

// Closed tests the balancer with an invalid request, which is never sent.
func (l *library) Closed() bool {
	_, err := l.balancer.Do(l.ctx, &plankrouter.Request{Method: "?"})
	return errors.Is(err, plankrouter.ErrClosed)
}

func (l *library) Wait() error {
	select {
	case err := <-l.closed:
		if n := l.balancer.Stats().Connections; n != 0 && err == nil {
			err = fmt.Errorf("%d connections are still open", n)
		}
		return err
	case <-time.After(waitLimit):
		return fmt.Errorf("the balancer has not closed within %s", waitLimit)
	}
}

func (l *library) Kill() {
	if l.balancer != nil {
		_ = l.balancer.Close(cancelledContext()) // its error is the context's
	}
}
