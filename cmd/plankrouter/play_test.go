package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The exchanges in testdata/ are played against the whole program, in a bubble where time passes only when a
// step says so. A line that starts with "--- " is a step; what follows up to the next one are its bytes, with
// CRLF for each line's end, or none where a line ends with \. A comment before the first step says what the
// exchange guards against. Connections are named by who they belong to: c1 is the first that a client opens,
// p1#2 the second that the program opens to server p1, dir#1 the first to discovery.
//
//	c1 sends | p1#1 sends | dir#1 sends    write the bytes, opening a client's connection if need be
//	c1 gets | p1#1 gets | dir#1 gets       all that has come since the last look is just these bytes
//	c1 closes                              the party closes its connection
//	wait 150ms                             time passes
//	dial p1 refused | hangs | 700ms | works   what becomes of connections to p1 from now on
//	signal                                 SIGTERM
//	reload key=value ...                   the configuration file is replaced, as by settings, and SIGHUP comes
//	exits                                  the program has ended without an error
//	settings key=value ...                 before the program starts: see base; quiet=true has discovery say by itself,
//	                                       after each wait, that nothing has changed
var update = flag.Bool("update", false, "record what the program sends as what it should send")

const base = `{"name":"n1","listen":"c:1","discovery":%[6]q,"seed":"1","limits":{"sockets":%[1]s},
"known":{"revision":7,"complete":true,"members":[%[2]s]},
"settings":{"Balancers":1,"Discovery":"pushed","RoundMs":5,"Dcs":["a","b"],"Locality":0,
"Limits":{"ConnIdleMs":60000,"ConnectTimeoutMs":%[5]s,"MaxAttempts":3,"MayCancel":true,"Probes":%[3]s,"MaxRetryAfterMs":1200},
"Report":{"Names":["active","avg_ms"]},
"Realms":[{"Name":"acme","QuotaPerS":%[4]s},{"Name":"globex","QuotaPerS":500}],"OverShareWorth":0.2,
"Safety":{"StartCapacity":0.3,"WarmWithinMs":8000,"TipMultiple":4,"FallMs":3000,"DrainGraceMs":750},
"RequestClasses":[{"Name":"tile","AimMs":750,"HardLimitMs":2500,"Credit":1,"Repeat":"pure"},
{"Name":"order","AimMs":300,"HardLimitMs":1000,"Credit":5,"Repeat":"side_effect"},
{"Name":"search","AimMs":525,"HardLimitMs":1500,"Credit":1,"Repeat":"token","KeyScope":"all","MemorySpanMs":4000}]}}`

// testConn is one end of a connection that the test holds; what arrives is collected as it comes.
type testConn struct {
	net.Conn
	mu   sync.Mutex
	got  bytes.Buffer
	over bool
}

func holdConn(c net.Conn) *testConn {
	e := &testConn{Conn: c}
	go func() {
		b := make([]byte, 4096)
		for {
			n, err := c.Read(b)
			e.mu.Lock()
			e.got.Write(b[:n])
			e.over = e.over || err != nil
			e.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	return e
}

// take returns what has come since the last call, in the form of the exchange files.
func (e *testConn) take() string {
	if e == nil {
		return "(no connection)\n"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := strings.ReplaceAll(e.got.String(), "\r\n", "\n")
	e.got.Reset()
	if s != "" && !strings.HasSuffix(s, "\n") {
		s += "\\\n"
	}
	if e.over {
		s += "(closed)\n"
	}
	return s
}

// stage is the world around the program.
type stage struct {
	mu     sync.Mutex
	ends   map[string]*testConn
	opens  map[string]int
	dials  map[string]string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (g *stage) dial(ctx context.Context, address string) (net.Conn, error) {
	name, _, _ := strings.Cut(address, ":")
	g.mu.Lock()
	how := g.dials[name]
	g.mu.Unlock()
	switch how {
	case "refused":
		return nil, errors.New("refused")
	case "hangs":
		how = "1h"
	}
	if late, err := time.ParseDuration(how); err == nil {
		select {
		case <-time.After(late):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	mine, theirs := net.Pipe()
	g.mu.Lock()
	defer g.mu.Unlock()
	if how == "quiet" {
		go quiet(theirs)
		return mine, nil
	}
	g.opens[name]++
	g.ends[fmt.Sprintf("%s#%d", name, g.opens[name])] = holdConn(theirs)
	return mine, nil
}

// quiet answers a watch for as long as it goes on.
func quiet(c net.Conn) {
	for br := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		wait, _ := time.ParseDuration(r.FormValue("wait") + "ms")
		time.Sleep(wait)
		list := `{"revision":` + r.FormValue("index") + `,"complete":false,"members":[]}`
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
}

func (g *stage) Accept() (net.Conn, error) {
	select {
	case c := <-g.conns:
		return c, nil
	case <-g.closed:
		return nil, net.ErrClosed
	}
}

func (g *stage) Close() error   { g.once.Do(func() { close(g.closed) }); return nil }
func (g *stage) Addr() net.Addr { return &net.TCPAddr{} }

func (g *stage) end(name string) *testConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ends[name]
}

func TestExchanges(t *testing.T) {
	log.SetOutput(io.Discard)
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no exchanges: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			raw, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var played string
			synctest.Test(t, func(t *testing.T) { played = play(t, string(raw), bytes.Clone) })
			if *update {
				err = os.WriteFile(file, []byte(played), 0o644)
			}
			if diff := cmp.Diff(string(raw), played); diff != "" && !*update || err != nil {
				t.Errorf("as recorded (-), as played (+): %v\n%s", err, diff)
			}
		})
	}
}

// play returns the exchange as it went: the same text, but for what the program sent. worded may change what the
// configuration file says.
func play(t *testing.T, text string, worded func([]byte) []byte) string {
	parts := strings.Split(text, "\n--- ")
	out := []string{parts[0]}
	g := &stage{
		ends: map[string]*testConn{}, opens: map[string]int{}, dials: map[string]string{},
		conns: make(chan net.Conn), closed: make(chan struct{}),
	}
	set := map[string]string{
		"sockets": "64", "probes": "false", "quota": "1000", "providers": "p1", "connect": "150",
		"discovery": "dir:1",
	}
	var signals signalQueues
	var result chan error
	path := filepath.Join(t.TempDir(), "config.json")
	write := func() {
		if err := os.WriteFile(path, worded(fmt.Appendf(nil, base, set["sockets"], lines(set["providers"]), set["probes"],
			set["quota"], set["connect"], set["discovery"])), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	start := func() {
		if result != nil {
			return
		}
		write()
		signals, result = launch(t, map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": "dir:1"}, g, nil, g.dial)
		synctest.Wait()
	}
	for _, part := range parts[1:] {
		head, body, _ := strings.Cut(part, "\n")
		word := strings.Fields(head)
		if word[0] != "settings" {
			start()
		}
		switch {
		case word[0] == "settings" || word[0] == "reload":
			for _, kv := range word[1:] {
				k, v, _ := strings.Cut(kv, "=")
				set[k] = v
			}
			if set["quiet"] != "" {
				g.dials["dir"] = "quiet"
			}
			if word[0] == "reload" {
				write()
				signals.raise(syscall.SIGHUP)
			}
		case word[0] == "wait":
			d, err := time.ParseDuration(word[1])
			if err != nil {
				t.Error(err)
			}
			time.Sleep(d)
		case word[0] == "dial":
			g.mu.Lock()
			g.dials[word[1]] = word[2]
			g.mu.Unlock()
		case word[0] == "signal":
			signals.raise(syscall.SIGTERM)
		case word[0] == "exits":
			if err := <-result; err != nil {
				t.Errorf("exit: %v", err)
			}
			result <- nil
		case word[1] == "sends":
			e := g.end(word[0])
			if e == nil && word[0][0] == 'c' {
				mine, theirs := net.Pipe()
				e = holdConn(theirs)
				g.mu.Lock()
				g.ends[word[0]] = e
				g.mu.Unlock()
				select {
				case g.conns <- mine:
				case <-g.closed:
					theirs.Close()
				}
			}
			if e == nil {
				t.Errorf("%s has no connection", word[0])
				break
			}
			e.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = io.WriteString(e, strings.ReplaceAll(strings.ReplaceAll(body+"\n", "\n", "\r\n"), "\\\r\n", ""))
		case word[1] == "gets":
			body = strings.TrimSuffix(g.end(word[0]).take(), "\n")
		case word[1] == "closes" && g.end(word[0]) != nil:
			g.end(word[0]).Close()
		default:
			t.Errorf("impossible step %q", head)
		}
		synctest.Wait()
		if part = head; body != "" {
			part += "\n" + body
		}
		out = append(out, part)
	}
	signals.raise(syscall.SIGTERM)
	if err := <-result; err != nil {
		t.Error(err)
	}
	for _, e := range g.ends {
		e.Close()
	}
	return strings.Join(out, "\n--- ")
}

// lines writes the list of servers: each name is an id too, at port 1.
func lines(names string) string {
	var all []string
	for name := range strings.SplitSeq(names, ",") {
		all = append(all, fmt.Sprintf(`{"id":%q,"host_port":"%[1]s:1","locality":"a","phase":"SERVING"}`, name))
	}
	return strings.Join(all, ",")
}
