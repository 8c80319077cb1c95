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
	maxTransferTime = 5 * time.Second // of an answer, from its first byte
)

var (
	errRejected        = errors.New("rejected") // discovery is there and has no room for the poll
	errUnexpectedBytes = errors.New("the connection has ended, or brought what no poll had asked for")
	errIncomplete      = errors.New("asked for the complete list, got a part")
)

// sourceConn is the connection to discovery. A read lasts until deadline; within an answer no longer than maxPause.
type sourceConn struct {
	*connlimit.Socket
	deadline time.Time
	maxPause time.Duration // 0 = no answer has begun
}

// Read is that of net.Conn, with the deadline that applies.
func (c *sourceConn) Read(p []byte) (int, error) {
	deadline := c.deadline
	if pauseEnds := time.Now().Add(c.maxPause); c.maxPause > 0 && pauseEnds.Before(deadline) {
		deadline = pauseEnds
	}
	c.SetReadDeadline(deadline)
	return c.Socket.Read(p)
}

// arrivalTime returns when what has just been read from discovery arrived, at the earliest: this process may have stalled before it read
// that.
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

// requestTarget returns the poll's path and query.
func (w *Watch) requestTarget(poll watchpolicy.Poll) string {
	if poll.Complete {
		return http1.PathList
	}
	return http1.PathList + "?index=" + strconv.FormatUint(w.revision, 10) +
		"&wait=" + strconv.FormatInt(poll.Wait.Milliseconds(), 10)
}

// fetch makes the poll and returns the list or changes that it brings, and when their first byte came.
func (w *Watch) fetch(ctx context.Context, poll watchpolicy.Poll) (list endpoints.List, firstByteAt time.Time, err error) {
	sameConn := w.conn != nil
	raw, firstByteAt, err := w.exchange(ctx, poll)
	if err != nil {
		return list, firstByteAt, err
	}
	list, problems, err := parse(raw)
	if err != nil {
		return list, firstByteAt, err
	}
	for _, problem := range problems { // one bad line must not hide the others
		w.options.Logf("discovery=%s state=line_skipped err=%q", w.polledAddress, problem)
	}
	switch {
	case poll.Complete && !list.Complete:
		err = errIncomplete
	case list.Revision < w.revision && (sameConn || !list.Complete):
		// The process that has sent the newer one may have meant another poll, another process counts anew. A complete list on a new
		// connection is right in either case.
		err = fmt.Errorf("revision %d after %d: discovery counts anew, or answers another poll", list.Revision, w.revision)
	}
	return list, firstByteAt, err
}

// exchange makes the poll and reads the whole of its answer.
func (w *Watch) exchange(ctx context.Context, poll watchpolicy.Poll) (raw []byte, firstByteAt time.Time, err error) {
	if w.conn != nil && (w.reader.Buffered() > 0 || !w.conn.HasNothingUnread()) { // it would pass for the answer to this poll
		return nil, firstByteAt, errUnexpectedBytes
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
	conn.waitForAnswer(deadline)
	onBegun := func(begun bool) { // a long list is no silence, and an interim answer none that counts
		if begun {
			firstByteAt = arrivalTime(conn.Socket)
			conn.waitForRest(firstByteAt, poll)
		} else {
			conn.waitForAnswer(deadline)
		}
	}
	resp, err := http1.ReadStreamedResponse(w.reader, false, onBegun, func(int) bool { return false }) // readBody reads it all
	if err != nil {
		return nil, firstByteAt, err
	}
	if err := checkStatus(resp.Status); err != nil {
		return nil, firstByteAt, err
	}
	conn.waitForRest(firstByteAt, poll)
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

// waitForAnswer bounds the reads before an answer has begun.
func (c *sourceConn) waitForAnswer(deadline time.Time) {
	c.deadline = deadline
	c.maxPause = 0
}

// waitForRest bounds the reads of an answer whose first byte came at that time.
func (c *sourceConn) waitForRest(firstByteAt time.Time, poll watchpolicy.Poll) {
	c.deadline = firstByteAt.Add(maxTransferTime)
	c.maxPause = poll.StallTimeout
}

// checkStatus returns an error unless the answer has the list.
func checkStatus(status int) error {
	switch status {
	case 200:
		return nil
	case 429, 503:
		return fmt.Errorf("%w: status %d", errRejected, status)
	}
	return fmt.Errorf("status %d", status)
}
