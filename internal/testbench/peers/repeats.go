package peers

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"plankrouter/internal/testbench/fakes"
)

const (
	workTime     = 200 * time.Millisecond // of an order
	leaveAfter   = 40 * time.Millisecond
	pipelined    = 300                    // requests that a client sends at once
	leaveGrace   = 100 * time.Millisecond // after which nothing of a client that has left may begin
	repeatRounds = 10
)

// leaving is how a client closes its connection.
type leaving func(c net.Conn)

func closeOrderly(c net.Conn) { c.Close() }

// repeats returns the scenarios of clients that leave, and of ids that come again.
func repeats() map[string]scenario {
	all := map[string]scenario{
		"repeat/after-response": {what: "an id that comes again after its response", run: func(_ context.Context, r *rig) (map[string]int, []string) {
			r.behave(work(workTime))
			return r.repeatIDs(func(raw []byte, i int) string {
				first := r.send(raw)
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				return first.name() + "_then_" + r.send(raw).name()
			})
		}},
		"repeat/side-by-side": {what: "an id on two connections at once", run: func(_ context.Context, r *rig) (map[string]int, []string) {
			r.behave(work(workTime))
			return r.repeatIDs(func(raw []byte, i int) string {
				first := make(chan answer, 1)
				go func() { first <- r.send(raw) }()
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				second := r.send(raw)
				return (<-first).name() + "_and_" + second.name()
			})
		}},
	}
	all["repeat/upgrade"] = scenario{
		what: "an id that comes again at the successor of the process that it ran at", replaces: true,
		run: func(_ context.Context, r *rig) (map[string]int, []string) {
			r.behave(work(workTime))
			return r.repeatOverUpgrade()
		},
	}
	for name, leave := range map[string]leaving{"fin": closeOrderly, "reset": fakes.Abort} {
		all["repeat/left-"+name] = scenario{what: "an id that comes again after its client has left", run: func(_ context.Context, r *rig) (map[string]int, []string) {
			r.behave(work(workTime))
			return r.repeatIDs(func(raw []byte, i int) string {
				r.leaveEarly(raw, leave)
				time.Sleep(time.Duration(i) * 40 * time.Millisecond)
				return r.send(raw).name()
			})
		}}
		for body, size := range map[string]int{"small": 0, "long": 100 << 10} {
			for version, minor := range map[string]string{"http11": "HTTP/1.1", "http10": "HTTP/1.0"} {
				all[fmt.Sprintf("leave/%s-%s-%s", body, version, name)] = scenario{
					what: "a client that sends many orders at once and leaves", run: func(_ context.Context, r *rig) (map[string]int, []string) {
						return r.sendAllAndLeave(size, minor, leave)
					},
				}
			}
		}
	}
	return all
}

// work returns a handler that works for a time on each request.
func work(duration time.Duration) handler {
	return func(s *server, w http.ResponseWriter, q *http.Request) {
		if err := s.run(q, func() { time.Sleep(duration) }); err == nil {
			fmt.Fprint(w, "done")
		}
	}
}

// repeatIDs plays orders whose ids come twice, and checks that none has run twice.
func (r *rig) repeatIDs(play func(raw []byte, round int) string) (counts map[string]int, broken []string) {
	counts = map[string]int{}
	for i := range repeatRounds {
		id := r.nextID()
		counts[play(small(classes()["order"], id), i)]++
		time.Sleep(2 * workTime)
		if n := r.runs(id); n > 1 {
			broken = append(broken, fmt.Sprintf("round %d: %s has run %d times", i, id, n))
		}
	}
	return counts, broken
}

// repeatOverUpgrade sends an order, hands the sidecar over while it runs, leaves, and sends the order again at several times.
func (r *rig) repeatOverUpgrade() (counts map[string]int, broken []string) {
	counts = map[string]int{}
	id := r.nextID()
	raw := small(classes()["order"], id)
	var again sync.WaitGroup
	var mutex sync.Mutex
	again.Go(func() { r.leaveEarly(raw, closeOrderly) })
	time.Sleep(leaveAfter / 2)
	_ = r.cmd.Process.Signal(syscall.SIGUSR2) // a process that is gone shows in the counts
	for i := range 3 * repeatRounds {
		again.Go(func() {
			time.Sleep(leaveAfter + time.Duration(i)*20*time.Millisecond)
			a := r.send(raw)
			mutex.Lock()
			defer mutex.Unlock()
			counts[a.name()]++
		})
	}
	again.Wait()
	if r.hasExited() {
		counts["upgraded"]++
	}
	counts["again_later_"+r.send(raw).name()]++
	if n := r.runs(id); n != 1 {
		broken = append(broken, fmt.Sprintf("%s has run %d times", id, n))
	}
	return counts, broken
}

// leaveEarly sends a request and leaves before its response.
func (r *rig) leaveEarly(raw []byte, leave leaving) {
	c, err := r.dial()
	if err != nil {
		return
	}
	_, _ = c.Write(raw) // a failed write shows in the counts
	time.Sleep(leaveAfter)
	leave(c)
}

// sendAllAndLeave sends many orders at once on one connection and leaves while the sidecar works on the first. It checks that no
// attempt begins later than leaveGrace after that.
func (r *rig) sendAllAndLeave(bodySize int, version string, leave leaving) (counts map[string]int, broken []string) {
	counts = map[string]int{}
	r.behave(work(leaveAfter / 2))
	for range repeatRounds / 2 {
		c, err := r.dial()
		if err != nil {
			continue
		}
		go func() { _, _ = io.Copy(io.Discard, bufio.NewReader(c)) }() // ends with the connection
		var raw []byte
		for range pipelined {
			raw = append(raw, orderOf(r, bodySize, version)...)
		}
		c.SetWriteDeadline(time.Now().Add(leaveAfter))
		n, err := c.Write(raw)
		if err == nil {
			time.Sleep(leaveAfter)
		} else {
			counts["buffer_full"]++
		}
		leave(c)
		leftAt := time.Now()
		time.Sleep(leaveGrace)
		before := r.total()
		time.Sleep(3 * leaveGrace)
		counts["bytes_written"] += n
		counts["ran"] = r.total()
		if late := r.total() - before; late > 0 {
			broken = append(broken, fmt.Sprintf("%d orders began between %s and %s after their client had left", late, leaveGrace, time.Since(leftAt)))
		}
	}
	return counts, broken
}

// orderOf returns an order with a body of that many bytes.
func orderOf(r *rig, bodySize int, version string) []byte {
	raw := small(classes()["order"], r.nextID())
	if bodySize > 0 {
		raw = append(head(classes()["order"], r.nextID(), fmt.Sprintf("Content-Length: %d", bodySize)), make([]byte, bodySize)...)
	}
	raw = bytes.Replace(raw, []byte("HTTP/1.1"), []byte(version), 1)
	if version == "HTTP/1.0" {
		raw = replaceFirst(raw, "Host: x\r\n", "Host: x\r\nConnection: keep-alive\r\n")
	}
	return raw
}

// total returns how many requests have run, at all servers together.
func (r *rig) total() (n int) {
	for _, s := range r.servers {
		n += s.total()
	}
	return n
}
