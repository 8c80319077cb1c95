package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
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
	maxUploads      = 50                     // clients that send long bodies at once
	lateBodyPause   = 820 * time.Millisecond // pauses of servers in long responses
	partPause       = 450 * time.Millisecond
	lumpPause       = 1200 * time.Millisecond
	longLumpPause   = 1500 * time.Millisecond
	cutOffSlack     = 250 * time.Millisecond // from the head of a response until its sidecar must have noticed it
	maxHeadRest     = time.Second            // of a client before it writes its head
	maxHeadTime     = 1800 * time.Millisecond
	headPieces      = 8
	maxReturnPause  = 135 * time.Millisecond // until a client that has left sends its request again
	maxLeaveTime    = 60 * time.Millisecond  // after which such a client leaves
	closeCheck      = 100 * time.Millisecond // added to badClientWithin while waiting for the end of a connection
)

// timeStart returns when the request's deadline starts: with its first byte, or with its last one if the body is sent slowly.
func (r *request) timeStart() time.Time {
	if (r.behaviour == sendsLongBody || r.behaviour == writesHeadSlowly) && !r.sentAt.IsZero() {
		return r.sentAt
	}
	return r.startedAt
}

// uploadTime returns how long the request may take to be written.
func (r *request) uploadTime() time.Duration {
	if r.behaviour == sendsLongBody || r.behaviour == writesHeadSlowly {
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
	text := r.longRequest(head, rng)
	r.inOnePiece = len(text) <= piece
	return fakes.WriteInPieces(k, []byte(text), piece, pause)
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

// sendTogether has number clients send a request with the given behaviour at once.
func (c *clients) sendTogether(number int, how behaviour) {
	var all sync.WaitGroup
	for range number {
		all.Go(func() {
			r, _ := c.draw()
			r.behaviour = how
			if r.class.method != http.MethodPost {
				r.class = c.classes[len(c.classes)-1]
			}
			c.send(r)
		})
	}
	all.Wait()
}

// writeHeadSlowly rests on the new connection, and then writes the request in pieces.
func (r *request) writeHeadSlowly(k *clientConn, text string, rng *rand.Rand) error {
	time.Sleep(time.Duration(rng.Float64() * float64(maxHeadRest)))
	r.startedAt = time.Now()
	pause := time.Duration(rng.Float64() * float64(maxHeadTime) / headPieces)
	return fakes.WriteInPieces(k, []byte(text), len(text)/headPieces+1, pause)
}

// sendAndLeave sends a request on a connection of its own, and leaves soon. The request is sent again after that.
func (c *clients) sendAndLeave(r *request, rng *rand.Rand) {
	k := c.dial(r, time.Now().Add(time.Second))
	if k == nil {
		return
	}
	r.startedAt = time.Now()
	_ = c.write(r, k, r.class.deadline, rng) // if it fails, the request is sent for the first time later
	time.Sleep(time.Duration(rng.Float64() * float64(maxLeaveTime)))
	k.Close()
	r.leftAt = time.Now()
	time.Sleep(time.Duration(rng.Float64() * float64(maxReturnPause)))
}

// judgeCutOff checks that no sidecar ended a response whose server was sending it, unless its client or process was gone.
func (r *record) judgeCutOff(q *request, attempts []attempt, add addFunc) {
	for _, a := range attempts {
		slack := cutOffSlack + r.slackAt(a.CutOffAt)
		begun := a.CutOffAt.Sub(a.HeadSent) > slack
		if a.CutOffAt.IsZero() || !begun || isProxied(a.Server) || !q.disconnectedAt.IsZero() || !q.leftAt.IsZero() || r.isRestarting(q.sidecar, a.Sent, a.CutOffAt) {
			continue
		}
		if q.status != http.StatusOK {
			add(CutOff, a.CutOffAt, "%s: %s had sent the head of its response %s before it was cut off; status %d, %s", q.id, a.Server,
				a.CutOffAt.Sub(a.HeadSent), q.status, q.err)
		}
	}
}

// isProxied reports whether a proxy, which may cut responses, stands before the server with this id.
func isProxied(server string) bool {
	var number int
	_, err := fmt.Sscanf(server, "s%d-", &number)
	return err == nil && number%proxied == 0
}

// isRestarting reports whether the sidecar's process was killed, or told to end, between from and to.
func (r *record) isRestarting(sidecar int, from, to time.Time) bool {
	if r.killed(sidecar, from, to) {
		return true
	}
	for _, s := range r.shutdowns[sidecar] {
		if s.from.Before(to) && from.Before(s.to) {
			return true
		}
	}
	return false
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
