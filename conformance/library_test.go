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

// library is a Balancer in this process.
type library struct {
	ctx      context.Context
	settings *settings
	balancer *plankrouter.Balancer
	ends     chan error
}

func (l *library) Start(s *settings) (err error) {
	l.settings, l.ends = s, make(chan error, 1)
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
		one := plankrouter.Endpoint{ID: m.ID, Address: m.Address, Phase: phases[m.Phase]}
		if m.UpSince > 0 {
			one.StartedAt = time.UnixMilli(m.UpSince)
		}
		out = append(out, one)
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
		until := time.Now().Add(r.deadline)
		if r.deadlinePassed {
			until = time.Now().Add(-r.deadline)
		}
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, until)
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
	answer, err := l.balancer.Do(ctx, &req)
	if err != nil {
		return l.outcome(r, err)
	}
	var fields []string
	for name, values := range answer.Header {
		for _, v := range values {
			fields = append(fields, name+"="+v)
		}
	}
	slices.Sort(fields)
	return served(answer.Status, fields, answer.Body)
}

// outcome words an error. Where the context's deadline ended a call before its answer could, that is what the answer
// would have been: a refusal if trying again is harmless, else a failure.
func (l *library) outcome(r *request, err error) outcome {
	var (
		refusal *plankrouter.RejectedError
		failure *plankrouter.FailedError
		given   *plankrouter.CancelledError
		request *plankrouter.RequestError
	)
	switch {
	case errors.As(err, &refusal):
		return refused(r, refusal.RetryAfter)
	case errors.As(err, &failure):
		return outcome{kind: "failed", ran: mayRun(failure.MayHaveRun)}
	case errors.As(err, &given) && errors.Is(err, context.Canceled):
		return outcome{kind: "cancelled", ran: mayRun(given.MayHaveRun)}
	case errors.As(err, &given) && given.MayHaveRun && l.settings.isNonIdempotent(r.class):
		return outcome{kind: "failed", ran: mayRun(true)}
	case errors.As(err, &given):
		return refused(r, 0)
	case errors.As(err, &request):
		return outcome{kind: "turned away"}
	case errors.Is(err, plankrouter.ErrClosed):
		return outcome{kind: "closed"}
	case errors.Is(err, plankrouter.ErrDuplicate):
		return outcome{kind: "conflict"}
	case errors.Is(err, plankrouter.ErrTooLarge):
		return outcome{kind: "too large"}
	}
	return outcome{kind: fmt.Sprintf("an error of no kind: %v", err)}
}

func (l *library) Taken() (int, error) { return l.balancer.Stats().Accepted, nil }

func (l *library) Left() (int, error) {
	n := l.balancer.Stats().Connections
	if l.settings.endpointSource == "directory" {
		n--
	}
	return n, nil
}

func (l *library) Stop(bool) error {
	go func() { l.ends <- l.balancer.Close(context.Background()) }()
	return await(l.ctx, l.Closed)
}

// Closed asks with a request that can't be sent: nothing comes of it before the close.
func (l *library) Closed() bool {
	_, err := l.balancer.Do(l.ctx, &plankrouter.Request{Method: "?"})
	return errors.Is(err, plankrouter.ErrClosed)
}

func (l *library) Wait() error {
	select {
	case err := <-l.ends:
		if n := l.balancer.Stats().Connections; n != 0 && err == nil {
			err = fmt.Errorf("%d connections are left", n)
		}
		return err
	case <-time.After(waitLimit):
		return fmt.Errorf("it has not ended within %s", waitLimit)
	}
}

func (l *library) Kill() {
	if l.balancer != nil {
		_ = l.balancer.Close(ended()) // its error is that of the context that has ended
	}
}
