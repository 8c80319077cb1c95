package discovery

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"plankrouter/internal/connlimit"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/http1"
	"plankrouter/internal/shutdown"
	"plankrouter/internal/watchpolicy"
)

const (
	dialTimeout     = 1 * time.Second
	maxTransferTime = 5 * time.Second // upper bound on the duration of a response, from its first byte
)

var (
	errRejected    = errors.New("rejected") // discovery runs but has no capacity for the poll
	errConnNotIdle = errors.New("idle connection was closed, or received data outside of a response")
	errNotComplete = errors.New("requested the complete list, got changes")
)

// sourceConn is the connection to discovery. A read times out at deadline and, within a response, after maxPause at the latest.
type sourceConn struct {
	*connlimit.Socket
	deadline time.Time
	maxPause time.Duration // 0 = no response has begun
}

// Read implements net.Conn. It sets the read deadline that applies.
func (c *sourceConn) Read(p []byte) (int, error) {
	deadline := c.deadline
	if pauseEnds := time.Now().Add(c.maxPause); c.maxPause > 0 && pauseEnds.Before(deadline) {
		deadline = pauseEnds
	}
	c.SetReadDeadline(deadline)
	return c.Socket.Read(p)
}

// arrivalTime returns the earliest time at which the data just read from s may have arrived. It can be before now, because this
// process may have stalled before the read.
func arrivalTime(s *connlimit.Socket) time.Time {
	now := time.Now()
	since, known := s.SinceLastReceive()
	if !known {
		since = shutdown.MaxStall
	}
	return now.Add(-since)
}

func (w *Watch) closeConn() {
	if w.conn != nil {
		_ = w.conn.Close()
		w.conn = nil
	}
}

// requestTarget returns the path and the query of the request for poll.
func (w *Watch) requestTarget(poll watchpolicy.Poll) string {
	if poll.Complete {
		return http1.PathList
	}
	return http1.PathList + "?index=" + strconv.FormatUint(w.revision, 10) +
		"&wait=" + strconv.FormatInt(poll.Wait.Milliseconds(), 10)
}

// fetch sends poll and returns the list or the changes in its response, and the arrival time of the first byte, zero if there
// was none.
func (w *Watch) fetch(ctx context.Context, poll watchpolicy.Poll) (list endpoints.List, firstByteAt time.Time, err error) {
	reusedConn := w.conn != nil
	raw, firstByteAt, err := w.exchange(ctx, poll)
	if err != nil {
		return list, firstByteAt, err
	}
	list, problems, err := parse(raw)
	if err != nil {
		return list, firstByteAt, err
	}
	for _, problem := range problems { // one invalid entry must not hide the others
		w.options.Logf("discovery=%s state=line_skipped err=%q", w.polledAddress, problem)
	}
	switch {
	case poll.Complete && !list.Complete:
		err = errNotComplete
	case list.Revision < w.revision && (reusedConn || !list.Complete):
		// The same process may have responded to an earlier poll, or another process has started its revisions again. A complete list
		// on a new connection is valid in either case.
		err = fmt.Errorf("revision %d after %d: discovery has restarted, or responded to an earlier poll", list.Revision, w.revision)
	}
	return list, firstByteAt, err
}

// exchange sends poll, reads the whole response, and returns its body and the arrival time of its first byte, zero if there was
// none.
func (w *Watch) exchange(ctx context.Context, poll watchpolicy.Poll) (raw []byte, firstByteAt time.Time, err error) {
	if w.conn != nil && (w.reader.Buffered() > 0 || !w.conn.HasNothingUnread()) { // the data would be taken for the response to this poll
		return nil, firstByteAt, errConnNotIdle
	}
	if w.conn == nil {
		if err := w.connect(ctx, poll); err != nil {
			return nil, firstByteAt, err
		}
	}
	conn := w.conn
	deadline := time.Now().Add(poll.Timeout)
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := conn.SetWriteDeadline(deadline); err != nil {
		return nil, firstByteAt, err
	}
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", w.requestTarget(poll), w.polledAddress, nil, nil)); err != nil {
		return nil, firstByteAt, err
	}
	conn.setResponseDeadline(deadline)
	// The poll's timeout covers the time to the first byte of the response, not the transfer, which may be long. An interim
	// response does not count as the response.
	onResponseStart := func(started bool) {
		if started {
			firstByteAt = arrivalTime(conn.Socket)
			conn.setTransferDeadline(firstByteAt, poll)
		} else {
			conn.setResponseDeadline(deadline)
		}
	}
	// No part of the body is buffered here: readBody reads it.
	resp, err := http1.ReadStreamedResponse(w.reader, http1.ResponseOptions{
		OnBegun: onResponseStart, Reserve: func(int) bool { return false },
	})
	if err != nil {
		return nil, firstByteAt, err
	}
	if err := checkStatus(resp.Status); err != nil {
		return nil, firstByteAt, err
	}
	conn.setTransferDeadline(firstByteAt, poll)
	raw, err = readBody(resp, w.options.MaxListBytes)
	if err == nil && resp.Close {
		w.closeConn()
	}
	return raw, firstByteAt, err
}

// connect opens a connection to the source.
func (w *Watch) connect(ctx context.Context, poll watchpolicy.Poll) error {
	socket, err := w.options.Budget.Dial(ctx, w.polledAddress, min(dialTimeout, poll.StallTimeout))
	if err != nil {
		return err
	}
	w.conn = &sourceConn{Socket: socket}
	w.reader = http1.NewReader(w.conn)
	return nil
}

// setResponseDeadline bounds reads before a response has begun.
func (c *sourceConn) setResponseDeadline(deadline time.Time) {
	c.deadline = deadline
	c.maxPause = 0
}

// setTransferDeadline bounds reads within the response to poll, whose first byte arrived at firstByteAt.
func (c *sourceConn) setTransferDeadline(firstByteAt time.Time, poll watchpolicy.Poll) {
	c.deadline = firstByteAt.Add(maxTransferTime)
	c.maxPause = poll.StallTimeout
}

// checkStatus returns an error unless a response of that status contains the list; errRejected if discovery has no capacity
// for the poll.
func checkStatus(status int) error {
	switch status {
	case 200:
		return nil
	case 429, 503:
		return fmt.Errorf("%w: status %d", errRejected, status)
	}
	return fmt.Errorf("status %d", status)
}
