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

// The exchanges in testdata/ are replayed against the whole program, in a synctest bubble: time passes in "wait" steps only.
// A comment before the first step says which failure the exchange guards against.
//
// A line that starts with "--- " is a step. The lines up to the next step are its bytes. Each line ends with CRLF, or with
// nothing if it ends with \ in the file.
//
// Connections are named after their owner. c1 is the first connection of a client, p1#2 the second of the program to server p1,
// and dir#1 the first to discovery. The steps:
//
//	c1 sends | p1#1 sends | dir#1 sends    writes the bytes; opens the connection of a client if it is not open.
//	c1 gets | p1#1 gets | dir#1 gets       everything received since the last such step equals the bytes.
//	c1 closes                              closes the connection.
//	wait 150ms                             sleeps.
//	dial p1 refused | hangs | 700ms | works   sets the result or the delay of dials to p1 from now on.
//	signal                                 SIGTERM.
//	reload key=value ...                   replaces the configuration file, with the keys of settings, and sends SIGHUP.
//	exits                                  the program has ended without an error.
//	settings key=value ...                 before the program starts: values in the constant base. With quiet=true, discovery
//	                                       responds to each watch by itself, after its wait, that nothing has changed.
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

// testConn is the test's end of a connection. It collects the received bytes.
type testConn struct {
	net.Conn
	mu       sync.Mutex
	got      bytes.Buffer
	isClosed bool
}

func newTestConn(c net.Conn) *testConn {
	e := &testConn{Conn: c}
	go func() {
		b := make([]byte, 4096)
		for {
			n, err := c.Read(b)
			e.mu.Lock()
			e.got.Write(b[:n])
			e.isClosed = e.isClosed || err != nil
			e.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	return e
}

// take returns the bytes received since the last call, in the format of the exchange files.
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
	if e.isClosed {
		s += "(closed)\n"
	}
	return s
}

// exchangeNetwork is the network around the program: the test's ends of its connections, and its listener.
type exchangeNetwork struct {
	mu     sync.Mutex
	ends   map[string]*testConn
	opens  map[string]int
	dials  map[string]string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (g *exchangeNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
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
	g.ends[fmt.Sprintf("%s#%d", name, g.opens[name])] = newTestConn(theirs)
	return mine, nil
}

// quiet responds to each watch, after its wait, that nothing has changed.
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

func (g *exchangeNetwork) Accept() (net.Conn, error) {
	select {
	case c := <-g.conns:
		return c, nil
	case <-g.closed:
		return nil, net.ErrClosed
	}
}

func (g *exchangeNetwork) Close() error   { g.once.Do(func() { close(g.closed) }); return nil }
func (g *exchangeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

func (g *exchangeNetwork) end(name string) *testConn {
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
			var replayed string
			synctest.Test(t, func(t *testing.T) { replayed = replay(t, string(raw), bytes.Clone) })
			if *update {
				err = os.WriteFile(file, []byte(replayed), 0o644)
			}
			if diff := cmp.Diff(string(raw), replayed); diff != "" && !*update || err != nil {
				t.Errorf("as recorded (-), as replayed (+): %v\n%s", err, diff)
			}
		})
	}
}

// replay replays the exchange text and returns it with the bytes that the program sent. editConfig may change the
// configuration file.
func replay(t *testing.T, text string, editConfig func([]byte) []byte) string {
	parts := strings.Split(text, "\n--- ")
	out := []string{parts[0]}
	g := &exchangeNetwork{
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
		if err := os.WriteFile(path, editConfig(fmt.Appendf(nil, base, set["sockets"], memberList(set["providers"]), set["probes"],
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
		step := strings.Fields(head)
		if step[0] != "settings" {
			start()
		}
		switch {
		case step[0] == "settings" || step[0] == "reload":
			for _, kv := range step[1:] {
				k, v, _ := strings.Cut(kv, "=")
				set[k] = v
			}
			if set["quiet"] != "" {
				g.dials["dir"] = "quiet"
			}
			if step[0] == "reload" {
				write()
				signals.raise(syscall.SIGHUP)
			}
		case step[0] == "wait":
			d, err := time.ParseDuration(step[1])
			if err != nil {
				t.Error(err)
			}
			time.Sleep(d)
		case step[0] == "dial":
			g.mu.Lock()
			g.dials[step[1]] = step[2]
			g.mu.Unlock()
		case step[0] == "signal":
			signals.raise(syscall.SIGTERM)
		case step[0] == "exits":
			if err := <-result; err != nil {
				t.Errorf("exit: %v", err)
			}
			result <- nil
		case step[1] == "sends":
			e := g.end(step[0])
			if e == nil && step[0][0] == 'c' {
				mine, theirs := net.Pipe()
				e = newTestConn(theirs)
				g.mu.Lock()
				g.ends[step[0]] = e
				g.mu.Unlock()
				select {
				case g.conns <- mine:
				case <-g.closed:
					theirs.Close()
				}
			}
			if e == nil {
				t.Errorf("%s has no connection", step[0])
				break
			}
			e.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = io.WriteString(e, strings.ReplaceAll(strings.ReplaceAll(body+"\n", "\n", "\r\n"), "\\\r\n", ""))
		case step[1] == "gets":
			body = strings.TrimSuffix(g.end(step[0]).take(), "\n")
		case step[1] == "closes" && g.end(step[0]) != nil:
			g.end(step[0]).Close()
		default:
			t.Errorf("unknown step %q", head)
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

// memberList returns the JSON of an endpoint list: each of the names is a server's id and its host, at port 1.
func memberList(names string) string {
	var all []string
	for name := range strings.SplitSeq(names, ",") {
		all = append(all, fmt.Sprintf(`{"id":%q,"host_port":"%[1]s:1","locality":"a","phase":"SERVING"}`, name))
	}
	return strings.Join(all, ",")
}
