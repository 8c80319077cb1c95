package conformance

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// waitLimit bounds every wait for something that has to come. Nothing is asserted of how long it takes.
const waitLimit = time.Minute

// await polls until what is waited for has come.
func await(ctx context.Context, condition func() bool) error {
	const maxPause = 20 * time.Millisecond
	for pause, end := time.Millisecond, time.Now().Add(waitLimit); !condition(); pause = min(2*pause, maxPause) {
		if ctx.Err() != nil || time.Now().After(end) {
			return fmt.Errorf("it did not come within %s", waitLimit)
		}
		time.Sleep(pause)
	}
	return nil
}

// deed is what a server does with a request.
type deed struct {
	name    string // see scriptedServer.act
	slow    bool   // it reads the head, and the body only once it is let go
	hold    bool   // it has the whole request, and goes on once it is let go
	kept    bool   // this befalls only a request on a connection that has carried others; any other is answered
	args    []string
	options options
}

// readDeed reads "[kept] [slow] [hold] WORD ..."; without a word it is "answer".
func readDeed(words []string) deed {
	var d deed
	words, d.options = splitOptions(words)
	for ; len(words) > 0; words = words[1:] {
		switch words[0] {
		case "slow":
			d.slow = true
		case "hold":
			d.hold = true
		case "kept":
			d.kept = true
		default:
			d.name, d.args = words[0], words[1:]
			return d
		}
	}
	d.name = "answer"
	return d
}

// seenAttempt is an attempt as a server has seen it.
type seenAttempt struct {
	id, class  string
	posted     bool   // it is a POST
	carried    int    // requests on its connection before
	ran        bool   // its last byte has come, and the server did not say that it had not run
	clientLeft bool   // the caller has ended the connection, or used it again
	action     string // what the server did
	released   chan struct{}
	actionDone bool // that is done
}

// queue is deeds for the requests to come, one each.
type queue struct {
	mu    sync.Mutex
	deeds []deed
}

func (q *queue) add(d deed, times int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for range times {
		q.deeds = append(q.deeds, d)
	}
}

func (q *queue) next(carried int) (deed, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.deeds) == 0 || q.deeds[0].kept && carried == 0 {
		return deed{name: "answer"}, false
	}
	d := q.deeds[0]
	q.deeds = q.deeds[1:]
	return d, true
}

// scriptedServer is a server that does with each request what the script says.
type scriptedServer struct {
	name                  string
	network               fakes.Network
	ownDeeds, sharedDeeds *queue // sharedDeeds is for all servers of the scenario
	running               sync.WaitGroup

	mu       sync.Mutex
	address  string
	listener fakes.Listener // nil = nobody listens
	conns    map[*clientConn]bool
	attempts []*seenAttempt
	probing  string // what becomes of probes: "answer", "hold", "fail" or "reset"
	probes   int
}

// clientConn is a connection from a side.
type clientConn struct {
	net.Conn
	reader  *bufio.Reader
	carried int
	closed  chan struct{} // closed when this end is
	once    sync.Once
}

func (c *clientConn) end(reset bool) {
	c.once.Do(func() {
		close(c.closed)
		if reset {
			fakes.Abort(c.Conn)
		}
		c.Close()
	})
}

func newScriptedServer(n fakes.Network, name string, shared *queue) *scriptedServer {
	return &scriptedServer{name: name, network: n, ownDeeds: new(queue), sharedDeeds: shared, conns: map[*clientConn]bool{}, probing: "answer"}
}

// up listens, where it did before if it did. A narrow one takes a body of 64 KiB only as it reads it: without that the
// kernels between would take it at once.
func (s *scriptedServer) up(narrow bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := s.network.Listen(s.address)
	if err != nil {
		return err
	}
	if narrow {
		if err := shrinkBuffers(l.(syscall.Conn)); err != nil {
			return err
		}
	}
	s.listener, s.address = l, l.Addr().String()
	s.running.Go(func() { s.accept(l) })
	return nil
}

// shrinkBuffers makes the kernel hold little of what comes in on a listener's connections.
func shrinkBuffers(l syscall.Conn) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1000),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1024),
		)
	})
	return errors.Join(err, set)
}

// down is the end of the process: connections are reset, new ones refused.
func (s *scriptedServer) down() {
	s.mu.Lock()
	l := s.listener
	s.listener = nil
	s.mu.Unlock()
	if l != nil {
		l.Close()
	}
	s.drop(true)
}

// drop ends all connections.
func (s *scriptedServer) drop(reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.end(reset)
	}
}

// close is down for good.
func (s *scriptedServer) close() {
	s.down()
	s.running.Wait()
}

// freeze lets new connections neither come up nor fail, or takes that back.
func (s *scriptedServer) freeze(on bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Freeze(on)
}

func (s *scriptedServer) accept(l fakes.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		c := &clientConn{Conn: nc, reader: bufio.NewReader(nc), closed: make(chan struct{})}
		s.mu.Lock()
		s.conns[c] = true
		stale := s.listener != l
		s.mu.Unlock()
		if stale { // down has not seen it
			c.end(true)
		}
		s.running.Go(func() { s.serve(c) })
	}
}

func (s *scriptedServer) serve(c *clientConn) {
	defer func() {
		c.end(false)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
	for {
		req, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if req.URL.Path == "/metrics/load" {
			if !s.probe(c) {
				return
			}
			continue
		}
		if !s.request(c, req) {
			return
		}
		c.carried++
	}
}

// probe answers one, always with the same load.
func (s *scriptedServer) probe(c *clientConn) bool {
	s.mu.Lock()
	how := s.probing
	s.probes++
	s.mu.Unlock()
	switch how {
	case "hold":
		_, _ = c.reader.Peek(1) // until the connection ends
		return false
	case "reset":
		c.end(true)
		return false
	case "fail":
		return s.write(c, httpResponse(503, nil, nil))
	}
	return s.write(c, httpResponse(200, nil, []byte(`{"active":0,"avg_ms":5}`)))
}

// request does with a request what the script says, and reports whether the connection may carry another.
func (s *scriptedServer) request(c *clientConn, req *http.Request) bool {
	d, scripted := s.ownDeeds.next(c.carried)
	if !scripted {
		d, _ = s.sharedDeeds.next(c.carried)
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	a := &seenAttempt{
		id: req.Header.Get("Req-Id"), class: class, posted: req.Method == "POST", carried: c.carried,
		action: "part", released: make(chan struct{}),
	}
	s.mu.Lock()
	s.attempts = append(s.attempts, a)
	s.mu.Unlock()
	if d.name == "break" { // before the last byte: the rest of the body is not read
		c.end(true)
		return s.record(a, "broken", false)
	}
	if d.slow && !s.wait(c, a, nil) {
		return false
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return s.record(a, "part", false)
	}
	gone := make(chan struct{}) // closed by the next byte or the end
	s.running.Go(func() {
		_, _ = c.reader.Peek(1) // its error is the end that is waited for
		close(gone)
	})
	s.mu.Lock()
	a.ran, a.action = d.name != "decline", "held"
	s.mu.Unlock()
	if d.hold && !s.wait(c, a, gone) {
		return false
	}
	more := s.act(c, a, &d, req, body)
	<-gone
	s.mu.Lock()
	a.clientLeft = true
	s.mu.Unlock()
	return more
}

// wait waits until the request is let go. False = this end of the connection was closed first. That the other end was
// is noted.
func (s *scriptedServer) wait(c *clientConn, a *seenAttempt, gone <-chan struct{}) bool {
	for {
		select {
		case <-a.released:
			return true
		case <-c.closed:
			return false
		case <-gone:
			s.mu.Lock()
			a.clientLeft, gone = true, nil
			s.mu.Unlock()
		}
	}
}

// record notes what was done, and returns more.
func (s *scriptedServer) record(a *seenAttempt, what string, more bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.action, a.actionDone = what, true
	return more
}

// act does the deed with a whole request:
//
//	answer [status=N] [header="Name: value"] [body=SIZE|TEXT] [chunked] [last] [before=RAW] [after=RAW]
//	decline [status=N]     says that it has not run
//	reset                  resets the connection
//	end                    ends it in order, without a word
//	cut N|half [reset]     ends the connection after so much of the answer
//	halve                  sends half of the answer, and nothing more
//	stall                  sends the answer's head, and nothing more
//	silent                 sends nothing
//	raw RAW                sends this, and ends the connection
func (s *scriptedServer) act(c *clientConn, a *seenAttempt, d *deed, req *http.Request, body []byte) bool {
	head, message := d.answer(req, body)
	switch d.name {
	case "answer":
		s.record(a, strings.TrimSpace("answered "+d.options.get("status")), true)
		more := s.write(c, []byte(d.options.get("before")), message, []byte(d.options.get("after")))
		if more = more && !slices.Contains(d.args, "last"); !more {
			c.end(false)
		}
		return more
	case "decline":
		status, _ := strconv.Atoi(d.options.get("status"))
		s.record(a, "declined", true)
		return s.write(c, httpResponse(max(503, status), []string{"Srv-Declined: 1"}, nil))
	case "reset":
		s.record(a, "reset", false)
		c.end(true)
		return false
	case "end":
		s.record(a, "ended", false)
		c.end(false)
		return false
	case "cut":
		n, err := strconv.Atoi(d.args[0])
		if err != nil {
			n = len(message) / 2
		}
		s.record(a, "cut", false)
		s.write(c, message[:min(n, len(message)-1)])
		c.end(slices.Contains(d.args, "reset"))
		return false
	case "halve":
		s.write(c, message[:len(message)/2])
		return s.record(a, "halved", false)
	case "stall":
		s.write(c, message[:head])
		return s.record(a, "stalled", false)
	case "silent":
		return s.record(a, "silent", false)
	case "raw":
		s.record(a, "spoilt", false)
		s.write(c, []byte(d.args[0]))
		c.end(false)
		return false
	}
	return s.record(a, "can't do: "+d.name, false)
}

func (s *scriptedServer) write(c *clientConn, parts ...[]byte) bool {
	_, err := c.Write(bytes.Join(parts, nil))
	return err == nil
}

// answer words the answer, and says how long its head is. Its body, if the script gives none, says what came: method,
// target, the fields that begin with X-, and the body.
func (d *deed) answer(req *http.Request, body []byte) (head int, message []byte) {
	status, _ := strconv.Atoi(d.options.get("status"))
	if status == 0 {
		status = 200
	}
	made := []byte(d.options.get("body"))
	if len(made) > 0 {
		made = parseBody(string(made))
	} else {
		made = fmt.Appendf(nil, "%s %s", req.Method, req.RequestURI)
		for _, name := range slices.Sorted(maps.Keys(req.Header)) {
			if strings.HasPrefix(name, "X-") {
				made = fmt.Appendf(made, " %s=%s", name, strings.Join(req.Header[name], "+"))
			}
		}
		if len(body) > 0 {
			made = fmt.Appendf(made, " with %s", describe(body))
		}
	}
	fields := d.options.all("header")
	if slices.Contains(d.args, "last") {
		fields = append(fields, "Connection: close")
	}
	if slices.Contains(d.args, "chunked") {
		message = fmt.Appendf(nil, "HTTP/1.1 %d -\r\nTransfer-Encoding: chunked\r\n", status)
		for _, f := range fields {
			message = append(message, f+"\r\n"...)
		}
		message = append(message, "\r\n"...)
		head = len(message)
		for rest := made; len(rest) > 0; rest = rest[min(1000, len(rest)):] {
			part := rest[:min(1000, len(rest))]
			message = fmt.Appendf(message, "%x\r\n%s\r\n", len(part), part)
		}
		return head, append(message, "0\r\n\r\n"...)
	}
	message = httpResponse(status, fields, made)
	if head = len(message) - len(made); req.Method == "HEAD" {
		return head, message[:head]
	}
	return head, message
}

func httpResponse(status int, fields []string, body []byte) []byte {
	b := fmt.Appendf(nil, "HTTP/1.1 %d -\r\n", status)
	for _, f := range fields {
		b = append(b, f+"\r\n"...)
	}
	return fmt.Appendf(b, "Content-Length: %d\r\n\r\n%s", len(body), body)
}

// release lets go what is held, all of it or what has that id, and returns once the rest of the deed is done.
func (s *scriptedServer) release(ctx context.Context, id string) error {
	var held []*seenAttempt
	s.mu.Lock()
	for _, a := range s.attempts {
		if !a.actionDone && (id == "" || a.id == id) {
			held = append(held, a)
			close(a.released)
		}
	}
	s.mu.Unlock()
	if len(held) == 0 {
		return fmt.Errorf("%s holds nothing", s.name)
	}
	return await(ctx, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !slices.ContainsFunc(held, func(a *seenAttempt) bool { return !a.actionDone })
	})
}

// seen returns copies of the attempts so far.
func (s *scriptedServer) seen() (all []seenAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		all = append(all, *a)
	}
	return all
}

// probeCount counts the probes so far.
func (s *scriptedServer) probeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}

// forget strikes a request's attempts from what was seen.
func (s *scriptedServer) forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = slices.DeleteFunc(s.attempts, func(a *seenAttempt) bool { return a.id == id })
}

// The states of a connection in /proc/net/tcp.
const (
	established = "01"
	opening     = "02" // its SYN is unanswered
)

// sockets counts the connections to the server that are in that state at the other end, in any process of this
// machine, but for those that fakes fills a frozen listener's queue with.
func (s *scriptedServer) sockets(state string) (n int) {
	host, port, _ := net.SplitHostPort(s.address)
	ip := net.ParseIP(host).To4()
	number, _ := strconv.Atoi(port)
	remote := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], number)
	const filler = "FEFFFF7F:" // 127.255.255.254
	raw, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(raw)) {
		f := strings.Fields(line)
		if len(f) > 3 && f[2] == remote && f[3] == state && !strings.HasPrefix(f[1], filler) {
			n++
		}
	}
	return n
}
