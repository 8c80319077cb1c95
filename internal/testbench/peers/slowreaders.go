package peers

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// Slow peers at the very edge of what has to be served.
const (
	slowestRate    = 64_000 // bytes per second
	edgeClients    = 4
	edgeTimeout    = 100 * time.Second
	responseSlack  = 550 * time.Millisecond // by which a final response may be late: it only earns nothing
	slowReadBuffer = 64 << 10               // bytes of a slow peer's receive buffer
)

// slowReaders returns scenarios of peers that read or write as slowly as they may.
func slowReaders() map[string]scenario {
	return map[string]scenario{
		"edge/read-response": {what: "clients that read 4 MB at 64 kB/s", neighbour: true, run: func(ctx context.Context, r *rig) (map[string]int, []string) {
			r.behave(serveCrowd)
			return r.together(ctx, func(c net.Conn) (string, string) {
				end := readSlowly(r, c, 4<<20, slowestRate, edgeTimeout)
				return end, unless(end == "200" || end == "whole", "a response read at 64 kB/s: "+end)
			})
		}},
		"edge/head-after-rest": {what: "clients that rest 1 s and write a head in 1.8 s", run: func(ctx context.Context, r *rig) (map[string]int, []string) {
			return r.together(ctx, func(c net.Conn) (string, string) { return headAfterRest(r, c, time.Second, 1800*time.Millisecond) })
		}},
		"edge/head-after-long-rest": {what: "clients that rest 1.9 s and write a head in 2 s", run: func(ctx context.Context, r *rig) (map[string]int, []string) {
			return r.together(ctx, func(c net.Conn) (string, string) { return headAfterRest(r, c, 1900*time.Millisecond, 2*time.Second) })
		}},
		"edge/both-slow": {what: "a body of 512 KiB that the client writes at 64 kB/s and the server reads at 60 kB/s", run: func(ctx context.Context, r *rig) (map[string]int, []string) {
			r.behave(readingAt(60_000))
			return r.together(ctx, func(c net.Conn) (string, string) {
				end := uploadAt(r, c, 512<<10, 16<<10, slowestRate)
				return end, unless(end != "unanswered" && end != "closed_early", "a body that both sides move slowly: "+end)
			})
		}},
		"edge/slow-server-long-body": {what: "a body of 30 MB at once that the server reads at 1 MB/s", run: func(ctx context.Context, r *rig) (map[string]int, []string) {
			r.behave(readingAt(1_000_000))
			return r.together(ctx, func(c net.Conn) (string, string) { return uploadAtOnce(r, c, 30<<20) })
		}},
		"edge/slow-server-short-body": {what: "a body of 512 KiB at once that the server reads at 200 kB/s", run: func(ctx context.Context, r *rig) (map[string]int, []string) {
			r.behave(readingAt(200_000))
			return r.together(ctx, func(c net.Conn) (string, string) { return uploadAtOnce(r, c, 512<<10) })
		}},
	}
}

// unless returns the fault if ok is false.
func unless(ok bool, fault string) string {
	if ok {
		return ""
	}
	return fault
}

// together lets a few clients act at once, each on a connection of its own; act returns how it ended and what is wrong, if
// anything.
func (r *rig) together(_ context.Context, act func(c net.Conn) (end, fault string)) (counts map[string]int, broken []string) {
	counts = map[string]int{}
	var mutex sync.Mutex
	var all sync.WaitGroup
	for range edgeClients {
		all.Go(func() {
			c, err := r.dial()
			if err != nil {
				return
			}
			defer c.Close()
			end, fault := act(c)
			mutex.Lock()
			defer mutex.Unlock()
			counts[end]++
			if fault != "" {
				broken = append(broken, fault)
			}
		})
	}
	all.Wait()
	return counts, broken
}

// headAfterRest rests on a new connection, and then writes a request in pieces over the given time.
func headAfterRest(r *rig, c net.Conn, rest, writing time.Duration) (end, fault string) {
	const pieces = 10
	raw := small(classes()["tile"], r.nextID())
	time.Sleep(rest)
	size := (len(raw) + pieces - 1) / pieces
	if err := fakes.WriteInPieces(c, raw, size, writing/(pieces-1)); err != nil {
		return "closed_early", "closed while the head was written"
	}
	end = awaitEnd(c, true)
	return end, unless(end == "whole", "a head written in "+writing.String()+" after a rest of "+rest.String()+": "+end)
}

// readingAt returns a handler that reads bodies at that many bytes a second, and then runs the request.
func readingAt(rate int) handler {
	return func(s *server, w http.ResponseWriter, q *http.Request) {
		piece := make([]byte, 16<<10)
		for {
			n, err := io.ReadFull(q.Body, piece)
			time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
			if err == io.EOF || err == io.ErrUnexpectedEOF {
				break
			}
			if err != nil {
				return
			}
		}
		serveSmall(s, w, q)
	}
}

// uploadAt sends an order with a body of that many bytes in pieces at a rate.
func uploadAt(r *rig, c net.Conn, length, piece, rate int) string {
	raw := append(orderStart(r), sizedBody(length)...)
	c.SetDeadline(time.Now().Add(edgeTimeout))
	if err := fakes.WriteInPieces(c, raw, piece, time.Duration(piece)*time.Second/time.Duration(rate)); err != nil {
		return "closed_early"
	}
	return awaitEnd(c, true)
}

// uploadAtOnce sends an order with a body of that many bytes, and checks that the final response is in time.
func uploadAtOnce(r *rig, c net.Conn, length int) (end, fault string) {
	order := classes()["order"]
	c.SetDeadline(time.Now().Add(edgeTimeout))
	written := make(chan time.Time, 1)
	go func() {
		_, _ = c.Write(append(orderStart(r), sizedBody(length)...)) // a failed write shows in the response
		written <- time.Now()
	}()
	end = awaitEnd(c, true)
	answeredAt := time.Now()
	select {
	case at := <-written:
		late := answeredAt.Sub(at) - order.Deadline
		return end, unless(end != "unanswered" && late < responseSlack, fmt.Sprintf("%s, %d ms after its time", end, late.Milliseconds()))
	default: // the response came first
		return end + "_early", ""
	}
}
