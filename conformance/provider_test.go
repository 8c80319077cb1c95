package conformance

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"plankrouter/internal/testbench/fakes"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// patience bounds every wait for something that has to come. Nothing is asserted of how long it takes.
const patience = time.Minute

// await polls until what is waited for has come.
func await(ctx context.Context, come func() bool) error {
	const most = 20 * time.Millisecond // between two looks
	for pause, end := time.Millisecond, time.Now().Add(patience); !come(); pause = min(2*pause, most) {
		if ctx.Err() != nil || time.Now().After(end) {
			return fmt.Errorf("it did not come within %s", patience)
		}
		time.Sleep(pause)
	}
	return nil
}

// deed is what a provider does with a request.
type deed struct {
	word string // see backend.act
	slow bool   // it reads the head, and the body only once it is let go
	hold bool   // it has the whole request, and goes on once it is let go
	kept bool   // this befalls only a request on a connection that has carried others; any other is answered
	args []string
	opt  options
}

// readDeed reads "[kept] [slow] [hold] WORD ..."; without a word it is "answer".
func readDeed(words []string) deed {
	var d deed
	words, d.opt = sift(words)
	for ; len(words) > 0; words = words[1:] {
		switch words[0] {
		case "slow":
			d.slow = true
		case "hold":
			d.hold = true
		case "kept":
			d.kept = true
		default:
			d.word, d.args = words[0], words[1:]
			return d
		}
	}
	d.word = "answer"
	return d
}

// sight is an attempt as a provider has seen it.
type sight struct {
	id, class string
	posted    bool   // it is a POST
	carried   int    // requests on its connection before
	ran       bool   // its last byte has come, and the provider did not say that it had not run
	left      bool   // the caller has ended the connection, or used it again
	did       string // what the provider did
	let       chan struct{}
	done      bool // that is done
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
		return deed{word: "answer"}, false
	}
	d := q.deeds[0]
	q.deeds = q.deeds[1:]
	return d, true
}

// provider is a server that does with each request what the script says.
type provider struct {
	name     string
	network  fakes.Network
	own, any *queue // any is shared by all providers of the scenario
	running  sync.WaitGroup

	mu       sync.Mutex
	address  string
	listener fakes.Listener // nil = nobody listens
	links    map[*link]bool
	sights   []*sight
	probing  string // what becomes of probes: "answer", "hold", "fail" or "reset"
	probes   int
}

// link is a connection from a side.
type link struct {
	net.Conn
	br      *bufio.Reader
	carried int
	over    chan struct{} // closed when this end is
	once    sync.Once
}

func (c *link) end(reset bool) {
	c.once.Do(func() {
		close(c.over)
		if reset {
			fakes.Abort(c.Conn)
		}
		c.Close()
	})
}

func newProvider(n fakes.Network, name string, any *queue) *provider {
	return &provider{name: name, network: n, own: new(queue), any: any, links: map[*link]bool{}, probing: "answer"}
}

// up listens, where it did before if it did. A narrow one takes a body of 64 KiB only as it reads it: without that the
// kernels between would take it at once.
func (p *provider) up(narrow bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := p.network.Listen(p.address)
	if err != nil {
		return err
	}
	if narrow {
		raw, err := l.(syscall.Conn).SyscallConn()
		if err != nil {
			return err
		}
		raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1000)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1024)
		})
	}
	p.listener, p.address = l, l.Addr().String()
	p.running.Go(func() { p.accept(l) })
	return nil
}

// down is the end of the process: connections are reset, new ones refused.
func (p *provider) down() {
	p.mu.Lock()
	l := p.listener
	p.listener = nil
	p.mu.Unlock()
	if l != nil {
		l.Close()
	}
	p.drop(true)
}

// drop ends all connections.
func (p *provider) drop(reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.links {
		c.end(reset)
	}
}

// close is down for good.
func (p *provider) close() {
	p.down()
	p.running.Wait()
}

// hang lets new connections neither come up nor fail, or takes that back.
func (p *provider) hang(on bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Freeze(on)
}

func (p *provider) accept(l fakes.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		c := &link{Conn: nc, br: bufio.NewReader(nc), over: make(chan struct{})}
		p.mu.Lock()
		p.links[c] = true
		stale := p.listener != l
		p.mu.Unlock()
		if stale { // down has not seen it
			c.end(true)
		}
		p.running.Go(func() { p.serve(c) })
	}
}

func (p *provider) serve(c *link) {
	defer func() {
		c.end(false)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.links, c)
	}()
	for {
		req, err := http.ReadRequest(c.br)
		if err != nil {
			return
		}
		if req.URL.Path == "/metrics/load" {
			if !p.probe(c) {
				return
			}
			continue
		}
		if !p.request(c, req) {
			return
		}
		c.carried++
	}
}

// probe answers one, always with the same load.
func (p *provider) probe(c *link) bool {
	p.mu.Lock()
	how := p.probing
	p.probes++
	p.mu.Unlock()
	switch how {
	case "hold":
		c.br.Peek(1) // until the connection ends
		return false
	case "reset":
		c.end(true)
		return false
	case "fail":
		return p.say(c, wording(503, nil, nil))
	}
	return p.say(c, wording(200, nil, []byte(`{"active":0,"avg_ms":5}`)))
}

// request does with a request what the script says, and reports whether the connection may carry another.
func (p *provider) request(c *link, req *http.Request) bool {
	d, told := p.own.next(c.carried)
	if !told {
		d, _ = p.any.next(c.carried)
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	s := &sight{
		id: req.Header.Get("Req-Id"), class: class, posted: req.Method == "POST", carried: c.carried,
		did: "part", let: make(chan struct{}),
	}
	p.mu.Lock()
	p.sights = append(p.sights, s)
	p.mu.Unlock()
	if d.word == "break" { // before the last byte: the rest of the body is not read
		c.end(true)
		return p.did(s, "broken", false)
	}
	if d.slow && !p.wait(c, s, nil) {
		return false
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return p.did(s, "part", false)
	}
	gone := make(chan struct{}) // closed by the next byte or the end
	p.running.Go(func() { c.br.Peek(1); close(gone) })
	p.mu.Lock()
	s.ran, s.did = d.word != "decline", "held"
	p.mu.Unlock()
	if d.hold && !p.wait(c, s, gone) {
		return false
	}
	more := p.act(c, s, &d, req, body)
	<-gone
	p.mu.Lock()
	s.left = true
	p.mu.Unlock()
	return more
}

// wait waits until the request is let go. False = this end of the connection was closed first. That the other end was
// is noted.
func (p *provider) wait(c *link, s *sight, gone <-chan struct{}) bool {
	for {
		select {
		case <-s.let:
			return true
		case <-c.over:
			return false
		case <-gone:
			p.mu.Lock()
			s.left, gone = true, nil
			p.mu.Unlock()
		}
	}
}

// did notes what was done, and returns more.
func (p *provider) did(s *sight, what string, more bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.did, s.done = what, true
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
func (p *provider) act(c *link, s *sight, d *deed, req *http.Request, body []byte) bool {
	head, whole := d.answer(req, body)
	switch d.word {
	case "answer":
		p.did(s, strings.TrimSpace("answered "+d.opt.get("status")), true)
		more := p.say(c, []byte(d.opt.get("before")), whole, []byte(d.opt.get("after")))
		if more = more && !slices.Contains(d.args, "last"); !more {
			c.end(false)
		}
		return more
	case "decline":
		status, _ := strconv.Atoi(d.opt.get("status"))
		p.did(s, "declined", true)
		return p.say(c, wording(max(503, status), []string{"Srv-Declined: 1"}, nil))
	case "reset":
		p.did(s, "reset", false)
		c.end(true)
		return false
	case "end":
		p.did(s, "ended", false)
		c.end(false)
		return false
	case "cut":
		n, err := strconv.Atoi(d.args[0])
		if err != nil {
			n = len(whole) / 2
		}
		p.did(s, "cut", false)
		p.say(c, whole[:min(n, len(whole)-1)])
		c.end(slices.Contains(d.args, "reset"))
		return false
	case "halve":
		p.say(c, whole[:len(whole)/2])
		return p.did(s, "halved", false)
	case "stall":
		p.say(c, whole[:head])
		return p.did(s, "stalled", false)
	case "silent":
		return p.did(s, "silent", false)
	case "raw":
		p.did(s, "spoilt", false)
		p.say(c, []byte(d.args[0]))
		c.end(false)
		return false
	}
	return p.did(s, "can't do: "+d.word, false)
}

func (p *provider) say(c *link, parts ...[]byte) bool {
	_, err := c.Write(bytes.Join(parts, nil))
	return err == nil
}

// answer words the answer, and says how long its head is. Its body, if the script gives none, says what came: method,
// target, the fields that begin with X-, and the body.
func (d *deed) answer(req *http.Request, body []byte) (head int, whole []byte) {
	status, _ := strconv.Atoi(d.opt.get("status"))
	if status == 0 {
		status = 200
	}
	made := []byte(d.opt.get("body"))
	if len(made) > 0 {
		made = size(string(made))
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
	fields := d.opt.all("header")
	if slices.Contains(d.args, "last") {
		fields = append(fields, "Connection: close")
	}
	if slices.Contains(d.args, "chunked") {
		whole = fmt.Appendf(nil, "HTTP/1.1 %d -\r\nTransfer-Encoding: chunked\r\n", status)
		for _, f := range fields {
			whole = append(whole, f+"\r\n"...)
		}
		whole = append(whole, "\r\n"...)
		head = len(whole)
		for rest := made; len(rest) > 0; rest = rest[min(1000, len(rest)):] {
			part := rest[:min(1000, len(rest))]
			whole = fmt.Appendf(whole, "%x\r\n%s\r\n", len(part), part)
		}
		return head, append(whole, "0\r\n\r\n"...)
	}
	whole = wording(status, fields, made)
	if head = len(whole) - len(made); req.Method == "HEAD" {
		return head, whole[:head]
	}
	return head, whole
}

func wording(status int, fields []string, body []byte) []byte {
	b := fmt.Appendf(nil, "HTTP/1.1 %d -\r\n", status)
	for _, f := range fields {
		b = append(b, f+"\r\n"...)
	}
	return fmt.Appendf(b, "Content-Length: %d\r\n\r\n%s", len(body), body)
}

// letGo lets go what is held, all of it or what has that id, and returns once the rest of the deed is done.
func (p *provider) letGo(ctx context.Context, id string) error {
	var held []*sight
	p.mu.Lock()
	for _, s := range p.sights {
		if !s.done && (id == "" || s.id == id) {
			held = append(held, s)
			close(s.let)
		}
	}
	p.mu.Unlock()
	if len(held) == 0 {
		return fmt.Errorf("%s holds nothing", p.name)
	}
	return await(ctx, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return !slices.ContainsFunc(held, func(s *sight) bool { return !s.done })
	})
}

// seen returns copies of the attempts so far.
func (p *provider) seen() (all []sight) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sights {
		all = append(all, *s)
	}
	return all
}

// asked counts the probes so far.
func (p *provider) asked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.probes
}

// forget strikes a request's attempts from what was seen.
func (p *provider) forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sights = slices.DeleteFunc(p.sights, func(s *sight) bool { return s.id == id })
}

// The states of a connection in /proc/net/tcp.
const (
	established = "01"
	opening     = "02" // its SYN is unanswered
)

// sockets counts the connections to the provider that are in that state at the other end, in any process of this
// machine, but for those that peers fills a frozen listener's queue with.
func (p *provider) sockets(state string) (n int) {
	host, port, _ := net.SplitHostPort(p.address)
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
