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

// Status returns the status that stands for an error of Do, of a plankrouter.Transport or of this package:
//
//	400  the request can't be sent as it is, or says something that makes no sense
//	404  its class is unknown
//	408  its body did not come within the http.Server's time
//	409  a request of the same id is open
//	413  its body is too large
//	500  a function in Options panicked
//	501  CONNECT
//	502  it failed, by its class's deadline, say, and may have run; or err is none of these
//	503  it was rejected: sending it again is harmless; or the Balancer is closed
//	504  its context's deadline has passed
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

// WriteError answers with err's Status, in plain words, and after a RejectedError with Retry-After: whole seconds, rounded
// up.
func WriteError(w http.ResponseWriter, _ *http.Request, err error) {
	var rejected *plankrouter.RejectedError
	status := Status(err)
	if status == http.StatusServiceUnavailable && errors.As(err, &rejected) && rejected.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(rejected.RetryAfter.Seconds()))))
	}
	http.Error(w, http.StatusText(status), status)
}

// respondError answers the request for err, or aborts it where its client has gone.
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
	_ = errors.As(err, &panicked) // callErrorFunc returns nothing else
	logPanic(r, panicked)
	if tracked.written { // a part of an answer must not pass for the whole
		panic(http.ErrAbortHandler)
	}
	WriteError(w, r, err)
}

// callErrorFunc calls the application's function; the error is a *PanicError.
func (o *Options) callErrorFunc(w http.ResponseWriter, r *http.Request, cause error) (err error) {
	defer func() { err = panicError(recover(), nil) }()
	o.Error(w, r, cause)
	return nil
}

// logPanic logs where net/http logs the panics that it recovers itself.
func logPanic(r *http.Request, p *PanicError) {
	to := log.Default()
	if s, _ := r.Context().Value(http.ServerContextKey).(*http.Server); s != nil && s.ErrorLog != nil {
		to = s.ErrorLog
	}
	to.Printf("%v, serving %s\n%s", p, r.RemoteAddr, p.Stack)
}

// trackingWriter notes whether anything has been written.
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
