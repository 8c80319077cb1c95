package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// Long bodies, in both directions. Only the first bytes of a response longer than longBody have to arrive by the deadline.
const (
	longBody        = 64 << 10               // bytes
	maxExtraBody    = 128 << 10              // bytes of a long request body, beyond longBody
	minPiece        = 8 << 10                // bytes that a client sends at a time
	maxPiece        = 96 << 10               // bytes that a client sends at a time
	uploadRate      = 80_000                 // bytes per second: above the 64 kB/s of the slowest client that has to be served
	maxUploadTime   = 5 * time.Second        // for a long request body
	maxDownloadTime = 10 * time.Second       // for a long response
	closeCheck      = 100 * time.Millisecond // added to badClientWithin while waiting for the end of a connection
)

// timeStart returns when the request's deadline starts: with its first byte, or with its last one if the body is sent slowly.
func (r *request) timeStart() time.Time {
	if r.behaviour == sendsLongBody && !r.sentAt.IsZero() {
		return r.sentAt
	}
	return r.startedAt
}

// uploadTime returns how long the request may take to be written.
func (r *request) uploadTime() time.Duration {
	if r.behaviour == sendsLongBody {
		return maxUploadTime
	}
	return 0
}

// longRequest returns the text of a request with a long body, sized or chunked.
func (r *request) longRequest(head string, rng *rand.Rand) string {
	body := strings.Repeat("x", longBody+rng.IntN(maxExtraBody))
	if rng.IntN(2) == 0 {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	cut := 1 + rng.IntN(len(body)-1)
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, cut, body[:cut], len(body)-cut, body[cut:])
}

// writeLongBody writes the request in pieces at uploadRate.
func (r *request) writeLongBody(k *clientConn, head string, rng *rand.Rand) error {
	piece := minPiece + rng.IntN(maxPiece-minPiece)
	pause := time.Duration(piece) * time.Second / uploadRate
	return fakes.WriteInPieces(k, []byte(r.longRequest(head, rng)), piece, pause)
}

// stopInBody sends the beginning of a request on a new connection and stays. It records how long it takes until the sidecar
// responds or closes the connection.
func (c *clients) stopInBody(r *request, rng *rand.Rand) {
	k := c.dial(r, time.Now().Add(time.Second))
	if k == nil {
		return
	}
	defer k.Close()
	text := r.longRequest(r.head(r.class.deadline), rng)
	r.startedAt = time.Now()
	k.SetDeadline(r.startedAt.Add(maxUploadTime))
	if _, err := k.Write([]byte(text[:rng.IntN(len(text))])); err != nil {
		return
	}
	r.stoppedAt = time.Now()
	k.SetReadDeadline(r.stoppedAt.Add(2 * badClientWithin))
	_, err := k.reader.Peek(1)
	r.stopNoticed = time.Since(r.stoppedAt)
	if err == nil {
		if resp, err := http.ReadResponse(k.reader, nil); err == nil {
			r.status = resp.StatusCode
		}
	}
}

// judgeStopped checks that a client that stopped in the middle of its request got an error or the close in time.
func (r *record) judgeStopped(q *request, add addFunc) {
	if q.stoppedAt.IsZero() {
		return
	}
	limit := badClientWithin + closeCheck + r.slackAt(q.stoppedAt.Add(badClientWithin))
	if q.stopNoticed > limit {
		add(BadClient, q.stoppedAt, "%s: stopped in its body and got neither an error nor the close for %s", q.id, q.stopNoticed)
	}
	if q.status == http.StatusOK {
		add(BadClient, q.stoppedAt, "%s: stopped in its body and was served", q.id)
	}
}
