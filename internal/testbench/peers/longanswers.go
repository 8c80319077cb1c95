package peers

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// part is a piece of a response body, and the pause before it.
type part struct {
	fraction float64
	pause    time.Duration
}

// Patterns in which a sound server writes a long response: the head at once, then parts of the body.
var longPatterns = map[string][]part{
	"late-body":    {{1, 820 * time.Millisecond}},
	"two-parts":    {{0.12, 0}, {0.44, 450 * time.Millisecond}, {0.44, 450 * time.Millisecond}},
	"lumps":        {{0.1, 0}, {0.45, 1200 * time.Millisecond}, {0.45, 1500 * time.Millisecond}},
	"most-at-once": {{0.9, 0}, {0.1, 2500 * time.Millisecond}},
	"seconds":      {{0.2, 0}, {0.4, 4 * time.Second}, {0.4, 4 * time.Second}},
}

var framingNames = map[string]fakes.Framing{"sized": fakes.ByLength, "chunked": fakes.InChunks, "to-end": fakes.ToEnd}

const (
	minLong, maxLong = 110_000, 220_000 // bytes of a long response
	longClients      = 4
	longEach         = 9 // requests of each client, three of each class
	headDelay        = 20 * time.Millisecond
)

// longAnswers returns a scenario for each pattern and framing.
func longAnswers() map[string]scenario {
	all := map[string]scenario{}
	for pattern, parts := range longPatterns {
		for framingName, framing := range framingNames {
			all["long/"+pattern+"/"+framingName] = scenario{
				what: "servers that pause in a long response", neighbour: true,
				run: func(ctx context.Context, r *rig) (map[string]int, []string) {
					r.behave(func(s *server, w http.ResponseWriter, q *http.Request) { respondInParts(s, w, q, framing, parts) })
					return r.sendLong(ctx)
				},
			}
		}
	}
	return all
}

// isNeighbour reports whether a request is of the ordinary client, whose path has no query.
func isNeighbour(q *http.Request) bool { return q.URL.RawQuery == "" }

// lengthOf returns the length of the response to a request, which its query names.
func lengthOf(q *http.Request) (length int) {
	_, _ = fmt.Sscan(q.FormValue("bytes"), &length) // 0 = the request doesn't say
	return length
}

// respondInParts writes a long response as parts tell. The ordinary client gets a small one.
func respondInParts(s *server, w http.ResponseWriter, q *http.Request, framing fakes.Framing, parts []part) {
	if isNeighbour(q) {
		serveSmall(s, w, q)
		return
	}
	body := make([]byte, lengthOf(q))
	_ = s.run(q, func() { time.Sleep(headDelay) }) // a client that is gone is noticed by the write
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	_ = buffered.Flush()
	if err := writeParts(c, framing, body, parts); err != nil {
		return
	}
}

func writeParts(c io.Writer, framing fakes.Framing, body []byte, parts []part) error {
	line := map[fakes.Framing]string{
		fakes.ByLength: fmt.Sprintf("Content-Length: %d\r\nConnection: close", len(body)), fakes.InChunks: "Transfer-Encoding: chunked\r\nConnection: close",
		fakes.ToEnd: "Connection: close",
	}[framing]
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n"); err != nil {
		return err
	}
	total := len(body)
	for i, p := range parts {
		time.Sleep(p.pause)
		n := min(int(p.fraction*float64(total)), len(body))
		if i == len(parts)-1 {
			n = len(body)
		}
		piece := body[:n]
		body = body[n:]
		if framing == fakes.InChunks {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := c.Write(piece); err != nil {
			return err
		}
	}
	if framing == fakes.InChunks {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err
	}
	return nil
}

// sendLong sends requests for long responses, and checks that each comes whole and begins in time.
func (r *rig) sendLong(ctx context.Context) (counts map[string]int, broken []string) {
	counts = map[string]int{}
	var mutex sync.Mutex
	var all sync.WaitGroup
	for n := range longClients {
		all.Go(func() {
			for i := 0; i < longEach && ctx.Err() == nil; i++ {
				c := classes()[[]string{"tile", "record", "order"}[i%3]]
				length := minLong + (maxLong-minLong)*(n*longEach+i)/(longClients*longEach)
				a := r.send(longRequest(c, r.nextID(), length))
				mutex.Lock()
				counts[a.name()]++
				if !a.isWhole() || a.bytes != length || a.first > c.Deadline {
					broken = append(broken, fmt.Sprintf("%s: %s with %d of %d bytes, first after %d ms, last after %d ms, %v", c.Name, a.name(),
						a.bytes, length, a.first.Milliseconds(), a.last.Milliseconds(), a.err))
				}
				mutex.Unlock()
			}
		})
	}
	all.Wait()
	return counts, broken
}

// longRequest returns a request for a response of that many bytes.
func longRequest(c class, id string, length int) []byte {
	c.Name = fmt.Sprintf("%s/%d", c.Name, length)
	raw := small(c, id)
	return replaceFirst(raw, "/1 HTTP/1.1", fmt.Sprintf("?bytes=%d HTTP/1.1", length))
}

// serveSmall responds with a short body after a short time.
func serveSmall(s *server, w http.ResponseWriter, q *http.Request) {
	if err := s.run(q, func() { time.Sleep(headDelay) }); err == nil {
		fmt.Fprint(w, "made for ", q.Header.Get("Req-Id"))
	}
}
