package frontend

import (
	"math"
	"net/url"
	"plankrouter/internal/config"
	"plankrouter/internal/http1"
	"plankrouter/internal/request"
	"strconv"
	"strings"
	"time"
)

// translator translates between the platform's HTTP and invocations.
type translator struct {
	classes     map[string]int
	names       []string        // by class
	maxTimeouts []time.Duration // the longest that a consumer waits, by class
	methods     []string        // the one that a class goes with
	tenants     map[string]int
}

func newTranslator(s *config.Settings) *translator {
	d := &translator{classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range s.Classes {
		if !c.Dropped {
			d.classes[c.Name] = i
		}
		d.names = append(d.names, c.Name)
		d.maxTimeouts = append(d.maxTimeouts, config.Duration(c.HardLimitMs))
		d.methods = append(d.methods, map[bool]string{true: "GET", false: "POST"}[c.Repeat == config.Pure])
	}
	for i, r := range s.Realms {
		if !r.Dropped {
			d.tenants[r.Name] = i
		}
	}
	return d
}

// request words the request for the core, or returns the status that turns it away.
func (d *translator) request(r *http1.Request, sentAt time.Time) (*request.Request, int) {
	target := r.Target
	if u, err := url.Parse(target); err == nil && u.Scheme == "http" && u.Host != "" { // the absolute form
		target = u.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, known := d.classes[first]
	switch {
	case !known || path == "" || path[0] != '/':
		return nil, 404
	case r.Method != d.methods[class] && (r.Method != "HEAD" || d.methods[class] != "GET"):
		return nil, 405
	case r.Method != "POST" && (len(r.Body) > 0 || r.Rest != nil):
		return nil, 400
	}
	id, _, err := r.Header.Only(http1.HeaderID)
	if id == "" || err != nil {
		return nil, 400
	}
	patience := d.maxTimeouts[class]
	if v, given, err := r.Header.Only(http1.HeaderDeadline); given {
		s, bad := strconv.ParseFloat(v, 64)
		if err != nil || bad != nil || !(s > 0) || math.IsInf(s, 0) {
			return nil, 400
		}
		patience = min(patience, time.Duration(min(s, 3600)*float64(time.Second)))
	}
	tenant, known := d.tenants[r.Header.Get(http1.HeaderOwner)]
	if !known {
		tenant = -1
	}
	return &request.Request{
		ID: id, Class: class, Tenant: tenant,
		ClientRetry: r.Header.Get(http1.HeaderRetry) == "1", SentAt: sentAt, Timeout: patience,
		Method: r.Method, Target: target, Fields: r.Header.EndToEnd(http1.Reworded), Body: r.Body,
	}, 0
}

// encodeResponse words the core's answer.
func encodeResponse(a request.Response) *http1.Response {
	switch a.Kind {
	case request.Served:
		r := &http1.Response{Status: 200, Header: a.Fields, Body: a.Body}
		if a.Remainder != nil {
			r.Rest = a.Remainder
		}
		return r
	case request.Rejected:
		r := &http1.Response{Status: 503}
		if a.RetryAfter > 0 {
			r.Header = http1.Header{{
				Name:  http1.HeaderRetryAfter,
				Value: strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64),
			}}
		}
		return r
	}
	if a.Kind == request.Duplicate {
		return &http1.Response{Status: 409}
	}
	return &http1.Response{Status: 502}
}
