package middleware

import (
	"context"
	"errors"
	"log"
	"math"
	"net/http"
	"os"
	"strconv"

	"plankrouter"
)

// Status returns the HTTP status for an error of Balancer.Do, of a plankrouter.Transport or of this package.
//
//	400  the request is invalid
//	404  the request's class is unknown
//	408  the request's body did not arrive within the http.Server's read timeout
//	409  a request with the same id is open
//	413  the request's body is too large
//	500  a function in Options panicked
//	501  the method is CONNECT
//	502  the request failed and may have run, for instance at its class's deadline; or err is none of the errors listed here
//	503  the request was rejected and can safely be sent again; or the Balancer is closed
//	504  the deadline of the request's context was exceeded
func Status(err error) int {
	var rejected *plankrouter.RejectedError
	var request *plankrouter.RequestError
	var panicked *PanicError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return http.StatusGatewayTimeout
	case errors.As(err, &rejected), errors.Is(err, plankrouter.ErrClosed):
		return http.StatusServiceUnavailable
	case errors.Is(err, plankrouter.ErrDuplicate):
		return http.StatusConflict
	case errors.Is(err, plankrouter.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrBody) && errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrBody):
		return http.StatusBadRequest
	case errors.As(err, &panicked):
		return http.StatusInternalServerError
	case !errors.As(err, &request):
		return http.StatusBadGateway
	case request.Field == "Class":
		return http.StatusNotFound
	case request.Field == "Method":
		return http.StatusNotImplemented
	}
	return http.StatusBadRequest
}

// WriteError responds with err's Status and the text of that status, and for a RejectedError with Retry-After in whole
// seconds, rounded up.
func WriteError(w http.ResponseWriter, _ *http.Request, err error) {
	var rejected *plankrouter.RejectedError
	status := Status(err)
	if status == http.StatusServiceUnavailable && errors.As(err, &rejected) && rejected.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(rejected.RetryAfter.Seconds()))))
	}
	http.Error(w, http.StatusText(status), status)
}

// respondError writes the response for err, or aborts the request if it was cancelled because its client is gone.
func (o *Options) respondError(w http.ResponseWriter, r *http.Request, err error) {
	var cancelled *plankrouter.CancelledError
	if errors.As(err, &cancelled) && !errors.Is(err, context.DeadlineExceeded) {
		panic(http.ErrAbortHandler)
	}
	var panicked *PanicError
	if errors.As(err, &panicked) {
		logPanic(r, panicked)
	}
	if o.Error == nil {
		WriteError(w, r, err)
		return
	}
	tracked := &trackingWriter{ResponseWriter: w}
	if err = o.callErrorFunc(tracked, r, err); err == nil {
		return
	}
	_ = errors.As(err, &panicked) // callErrorFunc returns no other type
	logPanic(r, panicked)
	if tracked.written { // a partial response must not look complete
		panic(http.ErrAbortHandler)
	}
	WriteError(w, r, err)
}

// callErrorFunc calls Options.Error. It returns a *PanicError if that panics, else nil.
func (o *Options) callErrorFunc(w http.ResponseWriter, r *http.Request, cause error) (err error) {
	defer func() { err = panicError(recover(), nil) }()
	o.Error(w, r, cause)
	return nil
}

// logPanic logs a panic to the logger of the http.Server, as net/http does with the panics that it recovers.
func logPanic(r *http.Request, p *PanicError) {
	logger := log.Default()
	if s, _ := r.Context().Value(http.ServerContextKey).(*http.Server); s != nil && s.ErrorLog != nil {
		logger = s.ErrorLog
	}
	logger.Printf("%v, serving %s\n%s", p, r.RemoteAddr, p.Stack)
}

// trackingWriter records whether a status or any part of a body has been written.
type trackingWriter struct {
	http.ResponseWriter
	written bool
}

func (w *trackingWriter) WriteHeader(status int) {
	w.written = true
	w.ResponseWriter.WriteHeader(status)
}

func (w *trackingWriter) Write(b []byte) (int, error) {
	w.written = true
	return w.ResponseWriter.Write(b)
}

// Unwrap is for http.ResponseController.
func (w *trackingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
