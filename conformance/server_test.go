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

// waitLimit is the longest time that a test waits for a condition. It is no assertion about how long anything takes.
const waitLimit = time.Minute

// await polls until the condition holds, for at most waitLimit.
func await(ctx context.Context, condition func() bool) error {
	const maxPause = 20 * time.Millisecond
	for pause, deadline := time.Millisecond, time.Now().Add(waitLimit); !condition(); pause = min(2*pause, maxPause) {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return fmt.Errorf("the condition did not hold within %s", waitLimit)
		}
		time.Sleep(pause)
	}
	return nil
}

// action is what a server does with a request.
type action struct {
	name    string // see scriptedServer.act
	slow    bool   // reads the body only once it is released
	hold    bool   // waits, with the whole request, until it is released
	kept    bool   // applies only to a request on a connection that has carried others; other requests get a response
	args    []string
	options options
}

// parseAction parses "[kept] [slow] [hold] NAME ..."; the default name is "answer".
func parseAction(tokens []string) action {
	var d action
	tokens, d.options = splitOptions(tokens)
	for ; len(tokens) > 0; tokens = tokens[1:] {
		switch tokens[0] {
		case "slow":
			d.slow = true
		case "hold":
			d.hold = true
		case "kept":
			d.kept = true
		default:
			d.name, d.args = tokens[0], tokens[1:]
			return d
		}
	}
	d.name = "answer"
	return d
}

// seenAttempt is an attempt that a server has received.
type seenAttempt struct {
	id, class  string
	posted     bool          // it is a POST
	carried    int           // number of earlier requests on its connection
	ran        bool          // the whole request was received, and the server did not decline it
	clientLeft bool          // the client has closed the connection, or sent more on it
	result     string        // what the server did, as in the outcome lines
	released   chan struct{} // closed by release
	actionDone bool          // result is final
}

// actionQueue has actions for the next requests, one for each.
type actionQueue struct {
	mu      sync.Mutex
	actions []action
}

func (q *actionQueue) add(d action, times int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for range times {
		q.actions = append(q.actions, d)
	}
}

// next returns the action for the next request on a connection that has carried the given number of requests, and whether the
// action is from the queue.
func (q *actionQueue) next(carried int) (action, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.actions) == 0 || q.actions[0].kept && carried == 0 {
		return action{name: "answer"}, false
	}
	d := q.actions[0]
	q.actions = q.actions[1:]
	return d, true
}

// scriptedServer is a server that handles each request as the script says.
type scriptedServer struct {
	name                      string
	network                   fakes.Network
	ownActions, sharedActions *actionQueue // sharedActions is shared by all servers of the scenario
	running                   sync.WaitGroup

	mu          sync.Mutex
	address     string
	listener    fakes.Listener // nil = not listening
	conns       map[*clientConn]bool
	attempts    []*seenAttempt
	probeResult string // how probes are handled: "answer", "hold", "fail" or "reset"
	probes      int
}

// clientConn is a connection from the daemon or the library.
type clientConn struct {
	net.Conn
	reader  *bufio.Reader
	carried int           // number of requests so far
	closed  chan struct{} // closed when the server has closed the connection
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

func newScriptedServer(n fakes.Network, name string, shared *actionQueue) *scriptedServer {
	return &scriptedServer{
		name: name, network: n, ownActions: new(actionQueue), sharedActions: shared, conns: map[*clientConn]bool{}, probeResult: "answer",
	}
}

// up starts to listen, at the same address as before if there is one. A narrow server has such small socket buffers that a client
// can't write a body of 64 KiB before the server reads it.
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

// shrinkBuffers makes the kernel buffer little of what is received on a listener's connections.
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

// down simulates the end of the server's process: connections are reset and new ones refused.
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

// drop closes or resets all connections.
func (s *scriptedServer) drop(reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.end(reset)
	}
}

// close stops the server and waits for its goroutines.
func (s *scriptedServer) close() {
	s.down()
	s.running.Wait()
}

// freeze, if on is true, keeps new connections from being either established or refused; if false, it ends that state.
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
		if stale { // accepted after down has reset the others
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

// probe handles a probe and reports whether the connection may carry another request. The reported load is always the same.
func (s *scriptedServer) probe(c *clientConn) bool {
	s.mu.Lock()
	result := s.probeResult
	s.probes++
	s.mu.Unlock()
	switch result {
	case "hold":
		_, _ = c.reader.Peek(1) // returns when the connection is closed
		return false
	case "reset":
		c.end(true)
		return false
	case "fail":
		return s.write(c, httpResponse(503, nil, nil))
	}
	return s.write(c, httpResponse(200, nil, []byte(`{"active":0,"avg_ms":5}`)))
}

// request handles a request as the script says, and reports whether the connection may carry another.
func (s *scriptedServer) request(c *clientConn, req *http.Request) bool {
	d, scripted := s.ownActions.next(c.carried)
	if !scripted {
		d, _ = s.sharedActions.next(c.carried)
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	a := &seenAttempt{
		id: req.Header.Get("Req-Id"), class: class, posted: req.Method == "POST", carried: c.carried,
		result: "part", released: make(chan struct{}),
	}
	s.mu.Lock()
	s.attempts = append(s.attempts, a)
	s.mu.Unlock()
	if d.name == "break" { // reset without reading the body to its end
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
	gone := make(chan struct{}) // closed when the client closes the connection or sends another byte
	s.running.Go(func() {
		_, _ = c.reader.Peek(1) // an error means that the connection is closed
		close(gone)
	})
	s.mu.Lock()
	a.ran, a.result = d.name != "decline", "held"
	s.mu.Unlock()
	if d.hold && !s.wait(c, a, gone) {
		return false
	}
	reusable := s.act(c, a, &d, req, body)
	<-gone
	s.mu.Lock()
	a.clientLeft = true
	s.mu.Unlock()
	return reusable
}

// wait waits until the request is released; it returns false if the server has closed the connection before. It records in
// clientLeft that the client has left meanwhile.
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

// record records the final result of an attempt. It returns reusable: whether the connection may carry another request.
func (s *scriptedServer) record(a *seenAttempt, result string, reusable bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.result, a.actionDone = result, true
	return reusable
}

// act performs the action for a completely received request, and reports whether the connection may carry another:
//
//	answer [status=N] [header="Name: value"] [body=SIZE|TEXT] [chunked] [last] [before=RAW] [after=RAW]
//	                       sends a response
//	decline [status=N]     responds that the request has not run
//	reset                  resets the connection
//	end                    closes the connection without a response
//	cut N|half [reset]     closes or resets the connection after N bytes, or half, of the response
//	halve                  sends half of the response, and nothing more
//	stall                  sends the response's head, and nothing more
//	silent                 sends nothing
//	raw RAW                sends RAW and closes the connection
func (s *scriptedServer) act(c *clientConn, a *seenAttempt, d *action, req *http.Request, body []byte) bool {
	head, message := d.response(req, body)
	switch d.name {
	case "answer":
		s.record(a, strings.TrimSpace("answered "+d.options.get("status")), true)
		reusable := s.write(c, []byte(d.options.get("before")), message, []byte(d.options.get("after")))
		if reusable = reusable && !slices.Contains(d.args, "last"); !reusable {
			c.end(false)
		}
		return reusable
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
	return s.record(a, "unknown action: "+d.name, false)
}

func (s *scriptedServer) write(c *clientConn, parts ...[]byte) bool {
	_, err := c.Write(bytes.Join(parts, nil))
	return err == nil
}

// response returns the response and the length of its head. If the script sets no body, the body describes the request: method,
// target, the fields that begin with X-, and the body.
func (d *action) response(req *http.Request, body []byte) (head int, message []byte) {
	status, _ := strconv.Atoi(d.options.get("status"))
	if status == 0 {
		status = 200
	}
	responseBody := []byte(d.options.get("body"))
	if len(responseBody) > 0 {
		responseBody = parseBody(string(responseBody))
	} else {
		responseBody = fmt.Appendf(nil, "%s %s", req.Method, req.RequestURI)
		for _, name := range slices.Sorted(maps.Keys(req.Header)) {
			if strings.HasPrefix(name, "X-") {
				responseBody = fmt.Appendf(responseBody, " %s=%s", name, strings.Join(req.Header[name], "+"))
			}
		}
		if len(body) > 0 {
			responseBody = fmt.Appendf(responseBody, " with %s", describe(body))
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
		for remaining := responseBody; len(remaining) > 0; remaining = remaining[min(1000, len(remaining)):] {
			part := remaining[:min(1000, len(remaining))]
			message = fmt.Appendf(message, "%x\r\n%s\r\n", len(part), part)
		}
		return head, append(message, "0\r\n\r\n"...)
	}
	message = httpResponse(status, fields, responseBody)
	if head = len(message) - len(responseBody); req.Method == "HEAD" {
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

// release releases the held requests, all of them or those with that id, and returns once their actions are done.
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
		return fmt.Errorf("%s holds no such request", s.name)
	}
	return await(ctx, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !slices.ContainsFunc(held, func(a *seenAttempt) bool { return !a.actionDone })
	})
}

// seen returns copies of the attempts received so far.
func (s *scriptedServer) seen() (all []seenAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		all = append(all, *a)
	}
	return all
}

// probeCount returns the number of probes since the last "probes" step.
func (s *scriptedServer) probeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}

// removeAttempts removes a request's attempts from the records.
func (s *scriptedServer) removeAttempts(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = slices.DeleteFunc(s.attempts, func(a *seenAttempt) bool { return a.id == id })
}

// The states of a connection in /proc/net/tcp.
const (
	established = "01"
	opening     = "02" // SYN sent, not acknowledged yet
)

// sockets returns the number of connections to the server whose client end is in that state, in any process of this machine. It
// leaves out those with which package fakes fills the queue of a frozen listener.
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
