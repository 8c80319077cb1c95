package frontend

import (
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"plankrouter/internal/config"
	"plankrouter/internal/http1"
	"plankrouter/internal/request"
)

const (
	noTenant           = -1   // the Tenant of a request that names no known tenant
	maxDeadlineSeconds = 3600 // the longest timeout that a client may request, which keeps larger numbers from overflowing
)

// translator translates between HTTP messages, with the headers that package http1 names, and the dispatcher's requests and
// responses.
type translator struct {
	classes     map[string]int  // by the first segment of the path
	names       []string        // by class
	maxTimeouts []time.Duration // the longest time that a client waits, by class
	methods     []string        // the HTTP method that a class requires, by class
	tenants     map[string]int
}

func newTranslator(settings *config.Settings) *translator {
	t := &translator{classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range settings.Classes {
		if !c.Retired {
			t.classes[c.Name] = i
		}
		t.names = append(t.names, c.Name)
		t.maxTimeouts = append(t.maxTimeouts, config.Duration(c.HardLimitMs))
		method := http.MethodPost
		if c.Repeat == config.Pure {
			method = http.MethodGet
		}
		t.methods = append(t.methods, method)
	}
	for i, realm := range settings.Realms {
		if !realm.Retired {
			t.tenants[realm.Name] = i
		}
	}
	return t
}

// request translates a message into a request for the dispatcher, or returns nil and the status with which it is rejected.
func (t *translator) request(message *http1.Request, sentAt time.Time) (*request.Request, int) {
	target := originForm(message.Target)
	class, status := t.class(message, target)
	if status != 0 {
		return nil, status
	}
	id, _, err := message.Header.SingleValue(http1.HeaderID)
	if id == "" || err != nil {
		return nil, http.StatusBadRequest
	}
	timeout, ok := t.timeout(class, message.Header)
	if !ok {
		return nil, http.StatusBadRequest
	}
	tenant, known := t.tenants[message.Header.Get(http1.HeaderOwner)]
	if !known {
		tenant = noTenant
	}
	return &request.Request{
		ID: id, Class: class, Tenant: tenant,
		ClientRetry: message.Header.Get(http1.HeaderRetry) == "1", SentAt: sentAt, Timeout: timeout,
		Method: message.Method, Target: target, Fields: message.Header.EndToEnd(http1.IsSetPerAttempt), Body: message.Body,
	}, 0
}

// originForm converts the absolute form of a request target, as sent to proxies, into a path with its query.
func originForm(target string) string {
	if u, err := url.Parse(target); err == nil && u.Scheme == "http" && u.Host != "" {
		return u.RequestURI()
	}
	return target
}

// class returns the class that the first segment of the path names. Status is 0, or the HTTP status with
// which the path, the method or the body is rejected.
func (t *translator) class(message *http1.Request, target string) (class, status int) {
	path, _, _ := strings.Cut(target, "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, known := t.classes[name]
	if !known || !strings.HasPrefix(path, "/") {
		return 0, http.StatusNotFound
	}
	method := message.Method
	if method == http.MethodHead {
		method = http.MethodGet
	}
	if method != t.methods[class] {
		return 0, http.StatusMethodNotAllowed
	}
	if method != http.MethodPost && (len(message.Body) > 0 || message.Rest != nil) {
		return 0, http.StatusBadRequest
	}
	return class, 0
}

// timeout returns how long the client waits: the value in its header, at most the class's limit. False means that the header
// is malformed.
func (t *translator) timeout(class int, header http1.Header) (time.Duration, bool) {
	limit := t.maxTimeouts[class]
	value, given, err := header.SingleValue(http1.HeaderDeadline)
	if !given {
		return limit, true
	}
	seconds, parseErr := strconv.ParseFloat(value, 64)
	if err != nil || parseErr != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return 0, false
	}
	return min(limit, time.Duration(min(seconds, maxDeadlineSeconds)*float64(time.Second))), true
}

// encodeResponse translates the dispatcher's response into an HTTP response.
func encodeResponse(r request.Response) *http1.Response {
	switch r.Kind {
	case request.Served:
		response := &http1.Response{Status: http.StatusOK, Header: r.Fields, Body: r.Body}
		if r.Remainder != nil { // a nil BodyStream in Rest would not be a nil Stream
			response.Rest = r.Remainder
		}
		return response
	case request.Rejected:
		response := &http1.Response{Status: http.StatusServiceUnavailable}
		if r.RetryAfter > 0 {
			response.Header = http1.Header{{
				Name:  http1.HeaderRetryAfter,
				Value: strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64),
			}}
		}
		return response
	case request.Duplicate:
		return &http1.Response{Status: http.StatusConflict}
	}
	return &http1.Response{Status: http.StatusBadGateway}
}
