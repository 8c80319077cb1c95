package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"plankrouter/internal/config"
	"plankrouter/internal/metrics"
	"plankrouter/internal/testbench/fakes"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// service is the program with an address for operators, in a bubble of its own.
type service struct {
	*testing.T
	net              *fakes.Memory
	front, adminAddr string
	file             string
	set              fakes.Sidecar
	signals          signalQueues
	ended            chan error
}

// start runs the program against the directory of fleet, or one of its own with these members.
func start(t *testing.T, n *fakes.Memory, directory *fakes.Directory, edit func(*fakes.Sidecar)) *service {
	return startIn(t, n, directory, "", edit)
}

// startIn is start with the TMPDIR of an earlier process, "" for one of its own.
func startIn(t *testing.T, n *fakes.Memory, directory *fakes.Directory, folder string, edit func(*fakes.Sidecar)) *service {
	log.SetOutput(io.Discard)
	front, err := n.Listen("")
	if err != nil {
		t.Fatal(err)
	}
	desk, err := n.Listen("")
	if err != nil {
		t.Fatal(err)
	}
	s := &service{
		T: t, net: n, front: front.Addr().String(), adminAddr: desk.Addr().String(),
		file: filepath.Join(t.TempDir(), "config.json"),
	}
	s.set = fakes.Sidecar{
		Name: "n1", Listen: s.front, Seed: 1, Directory: directory.Address(), ConnIdle: time.Minute,
		Connect: 150 * time.Millisecond, DrainGrace: 750 * time.Millisecond,
		Known: fakes.List{Revision: 1, Members: directory.Members()},
	}
	if edit != nil {
		edit(&s.set)
	}
	s.write()
	s.signals, s.ended = launch(t, map[string]string{
		"GW_CONFIG": s.file, "GW_ADMIN_ADDR": s.adminAddr,
		"TMPDIR": cmp.Or(folder, filepath.Dir(s.file)),
	}, front, desk, n.Dial)
	if folder == "" {
		if err := fakes.Ready(t.Context(), n, s.front); err != nil {
			t.Fatal(err)
		}
	}
	synctest.Wait()
	return s
}

func (s *service) write() {
	raw, err := fakes.Config(s.set)
	if err != nil || os.WriteFile(s.file, raw, 0o600) != nil {
		s.Fatal(err)
	}
}

// reload has the program read its file, as it is by now.
func (s *service) reload() {
	s.signals.raise(syscall.SIGHUP)
	synctest.Wait()
}

func (s *service) stop() {
	s.signals.raise(syscall.SIGTERM)
	if err := <-s.ended; err != nil {
		s.Error(err)
	}
}

// send sends raw bytes and returns all that comes back until the connection ends, or until 2 s have passed.
func (s *service) send(address, raw string) string {
	c, err := s.net.Dial(s.Context(), address)
	if err != nil {
		s.Fatal(err)
	}
	defer c.Close()
	go io.WriteString(c, raw)
	c.SetReadDeadline(time.Now().Add(2 * time.Second))
	b, _ := io.ReadAll(c)
	return string(b)
}

// call makes an operator's call and returns the status and what came with it.
func (s *service) call(method, target string) (int, string) {
	return parse(s.T, s.send(s.adminAddr, method+" "+target+" HTTP/1.1\r\nHost: x\r\n\r\n"))
}

func parse(t *testing.T, raw string) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
	if err != nil {
		t.Fatalf("%q: %v", raw, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("%q: %v", raw, err)
	}
	return resp.StatusCode, string(body)
}

func (s *service) adminCall(method, target string, want int) {
	s.Helper()
	if got, text := s.call(method, target); got != want {
		s.Errorf("%s %s: %d %s, want %d", method, target, got, text, want)
	}
}

func (s *service) counters() (f metrics.Values) {
	s.Helper()
	status, text := s.call("GET", "/metrics")
	if err := json.Unmarshal([]byte(text), &f); err != nil || status != 200 {
		s.Fatalf("%d %s: %v", status, text, err)
	}
	return f
}

func withFleet(t *testing.T, providers int, play func(t *testing.T, n *fakes.Memory, fleet *fakes.Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		n := fakes.NewMemory()
		fleet, err := fakes.NewFleet(n, providers, fakes.ProviderOptions{
			Cores: 4, Queue: 16, Seed: 1,
			Default: fakes.Service{Mean: 20 * time.Millisecond},
		})
		if err != nil {
			t.Fatal(err)
		}
		defer fleet.Close()
		play(t, n, fleet)
	})
}

// Each wrong call gets its status, in whatever pieces it comes, and callers that say nothing keep nobody waiting.
func TestOperatorsCalls(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, n *fakes.Memory, fleet *fakes.Fleet) {
		s := start(t, n, fleet.Directory, nil)
		id := fleet.Providers[0].ID()
		for _, tc := range []struct {
			method, target string
			want           int
		}{
			{"GET", "/ready", 200},
			{"GET", "http://x/ready", 200},
			{"POST", "/ready", 405},
			{"PUT", "/metrics", 405},
			{"GET", "/tile-servers/disable?target=" + id, 405},
			{"GET", "/", 404},
			{"PUT", "/tile-servers", 404},
			{"PUT", "/tile-servers/disable", 400},
			{"PUT", "/tile-servers/disable?target=", 400},
			{"PUT", "/tile-servers/disable?target=a&target=b", 400},
			{"PUT", "/tile-servers/disable?target=%zz", 400},
			{"PUT", "/tile-servers/disable?target=nobody", 404},
			{"PUT", "/tile-servers/enable?target=nobody", 404},
			{"PUT", "/tile-servers/enable?target=" + id, 200},
			{"GET x", "/ready", 400},
		} {
			s.adminCall(tc.method, tc.target, tc.want)
		}
		if status, _ := parse(t, s.send(s.adminAddr, "PUT /tile-servers/enable?target="+id+" HTTP/1.1\r\nHost: x\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\n0\r\nT: t\r\n\r\n")); status != 200 {
			t.Errorf("a call in chunks: %d", status)
		}
		began := time.Now()
		for range 60 { // stay for 4 s, with nothing or half a call
			for _, half := range []string{"", "GET /met"} {
				c, err := n.Dial(t.Context(), s.adminAddr)
				if err != nil {
					t.Fatal(err)
				}
				io.WriteString(c, half)
				time.AfterFunc(4*time.Second, func() { c.Close() })
			}
			s.adminCall("GET", "/ready", 200)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("60 calls took %s", took)
		}
		time.Sleep(5 * time.Second)
		s.stop()
	})
}

// What the program tells is what its peers have counted, through a reload and abandoned requests.
func TestFiguresAreTrue(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, n *fakes.Memory, fleet *fakes.Fleet) {
		s := start(t, n, fleet.Directory, nil)
		record := fakes.Tile()
		record.Name = "record"
		load := func(flows ...fakes.Flow) []fakes.Try {
			return fakes.NewConsumers(fakes.Load{Network: n, Address: s.front, Seed: 1, For: 6 * sec, Flows: flows}).Run(t.Context())
		}
		if f := s.counters(); f.Success["order"] != 0 || len(f.Success) != 2 || f.Targets != 6 || f.TargetsDisabled != 0 {
			t.Errorf("before anything: %+v", f)
		}
		fleet.Providers[0].Change(func(b *fakes.Behaviour) { b.Decline = true })
		tries := load(fakes.Flow{Class: fakes.Tile(), Rate: 100}, fakes.Flow{Class: fakes.Order(), Rate: 20})
		s.set.Classes = []fakes.Class{record, fakes.Order()}
		s.write()
		s.reload()
		tries = append(tries, load(fakes.Flow{Class: record, Rate: 100}, fakes.Flow{Class: fakes.Order(), Rate: 20})...)
		if err := os.WriteFile(s.file, []byte("{"), 0o600); err != nil {
			t.Fatal(err)
		}
		s.reload()
		for range 10 { // abandoned with their answer on the way
			c, err := n.Dial(t.Context(), s.front)
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(c, "GET /record/left HTTP/1.1\r\nHost: x\r\nReq-Id: "+rand()+"\r\n\r\n")
			time.Sleep(2 * time.Millisecond)
			c.Close()
		}
		time.Sleep(sec)
		f, want := s.counters(), map[fakes.Result]map[string]int{}
		for _, try := range tries {
			if want[try.Result] == nil {
				want[try.Result] = map[string]int{}
			}
			want[try.Result][try.Class.Name]++
		}
		seen := 0
		for _, p := range fleet.Providers {
			seen += len(p.Requests())
		}
		for name, got := range f.Success {
			if w := want[fakes.Served][name]; got < w || got > w+10 {
				t.Errorf("%s: success %d, its consumers saw %d", name, got, w)
			}
			if w := want[fakes.Refused][name]; f.Overload[name] != w {
				t.Errorf("%s: overload %d, its consumers saw %d", name, f.Overload[name], w)
			}
		}
		if f.Success["tile"] < 500 || f.Success["record"] < 500 || f.Success["order"] < 200 || f.Dispatches != seen ||
			f.Concurrent != 0 || f.ReloadSuccess != 1 || f.ReloadFailure != 1 {
			t.Errorf("%+v, and providers saw %d", f, seen)
		}
		s.stop()
	})
}

var ids int

// rand returns an id that was not used before.
func rand() string { ids++; return fmt.Sprint("raw-", ids) }

// A provider that operators take out gets nothing after the grace, whatever the list says; put back it is used at once,
// within what a cold one may get.
func TestOutByHand(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, n *fakes.Memory, fleet *fakes.Fleet) {
		s := start(t, n, fleet.Directory, nil)
		p, began := fleet.Providers[0], time.Now()
		after := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
		member := p.Member()
		restarted := member
		go func() {
			after(3 * sec)
			s.adminCall("PUT", "/tile-servers/disable?target="+p.ID(), 200)
			after(4 * sec)
			s.adminCall("PUT", "/tile-servers/disable?target="+p.ID(), 200)
			if f := s.counters(); f.TargetsDisabled != 1 || f.Targets != 6 {
				t.Errorf("while one is out: %+v", f)
			}
			for i, phase := range []string{fakes.Draining, fakes.Serving, "DELETED", fakes.Serving} {
				after(time.Duration(5+i) * sec)
				m := member
				m.Phase = phase
				fleet.Directory.Change(m)
			}
			after(9 * sec)
			fleet.Directory.WholeForWatch(true)
			fleet.Directory.Change(fleet.Providers[1].Member())
			s.write()
			s.reload()
			after(10 * sec)
			p.Kill()
			p.Start(p.ID())
			restarted = p.Member()
			fleet.Directory.Change(restarted)
			after(12 * sec)
			s.adminCall("PUT", "/tile-servers/enable?target="+p.ID(), 200)
		}()
		fakes.NewConsumers(fakes.Load{
			Network: n, Address: s.front, Seed: 1, For: 20 * sec,
			Flows: []fakes.Flow{{Class: fakes.Tile(), Rate: 100}, {Class: fakes.Order(), Rate: 20}},
		}).Run(t.Context())
		before, back, soon := 0, time.Duration(0), 0
		for _, r := range p.Requests() {
			switch at := r.FirstByte.Sub(began); {
			case at < 3*sec:
				before++
			case at > 3750*time.Millisecond && at < 12*sec:
				t.Errorf("it got a request %s after the call", at-3*sec)
			case at >= 12*sec && at < 13*sec:
				if soon++; back == 0 {
					back = at - 12*sec
				}
			}
		}
		if before == 0 || back == 0 || back > sec || soon > 30 {
			t.Errorf("%d requests before; used %s after the call back, %d within a second", before, back, soon)
		}
		for _, probe := range p.Probes() {
			if at := probe.At.Sub(began); at > 3750*time.Millisecond && at < 12*sec {
				t.Errorf("it was probed %s after the call", at-3*sec)
			}
		}
		for i, last := range fleet.Providers { // all out: refused, not sent there
			s.adminCall("PUT", "/tile-servers/disable?target="+last.ID(), 200)
			if i == len(fleet.Providers)-1 {
				time.Sleep(sec)
			}
		}
		if status, _ := parse(t, s.send(s.front, "GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: "+rand()+"\r\nConnection: close\r\n\r\n")); status != 503 {
			t.Errorf("with all out: %d", status)
		}
		s.adminCall("GET", "/ready", 503)
		s.stop()
		next := startIn(t, n, fleet.Directory, filepath.Dir(s.file), nil) // as after a kill
		if f := next.counters(); f.TargetsDisabled != 6 {
			t.Errorf("the next process: %+v", f)
		}
		next.adminCall("PUT", "/tile-servers/enable?target="+p.ID(), 200)
		next.adminCall("GET", "/ready", 200)
		next.stop()
	})
}

// hand is a provider that answers as a test tells it to.
type hand struct {
	net.Listener
	mu   sync.Mutex
	seen map[string]int
	how  func(w http.ResponseWriter, r *http.Request)
}

func (h *hand) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/metrics/load") {
		fmt.Fprint(w, `{"active":1,"avg_ms":5}`)
		return
	}
	h.mu.Lock()
	h.seen[r.Header.Get("Req-Id")]++
	h.mu.Unlock()
	h.how(w, r)
}

// fakeServers starts n of them and a directory that lists them.
func fakeServers(t *testing.T, m *fakes.Memory, n int, how func(w http.ResponseWriter, r *http.Request)) ([]*hand, *fakes.Directory) {
	var all []*hand
	var listed []fakes.Member
	for i := range n {
		l, err := m.Listen("")
		if err != nil {
			t.Fatal(err)
		}
		h := &hand{Listener: l, seen: map[string]int{}, how: how}
		server := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
		go server.Serve(l)
		t.Cleanup(func() { server.Close() })
		all = append(all, h)
		listed = append(listed, fakes.Member{ID: fmt.Sprint("h", i), Address: l.Addr().String(), Locality: fakes.Here, Phase: fakes.Serving})
	}
	d, err := fakes.NewDirectory(m, "", listed...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return all, d
}

// An open request keeps the rules that it was taken under, whichever way its class turns meanwhile, and so it does when its
// class is dropped or attempts get fewer.
func TestOpenRequestsKeepTheirRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := fakes.NewMemory()
		release := make(chan bool)
		all, directory := fakeServers(t, m, 3, func(w http.ResponseWriter, r *http.Request) {
			first := strings.HasSuffix(r.URL.Path, "/first")
			if first {
				<-release
				panic(http.ErrAbortHandler) // reset: it may have run
			}
			fmt.Fprint(w, "done")
		})
		s := start(t, m, directory, nil)
		for i := range 60 { // earns attempts
			s.send(s.front, fmt.Sprintf("GET /tile/%d HTTP/1.1\r\nHost: x\r\nReq-Id: warm-%d\r\nConnection: close\r\n\r\n", i, i))
		}
		ask := func(verb, class, id string) chan int {
			out := make(chan int, 1)
			go func() {
				status, _ := parse(t, s.send(s.front, fmt.Sprintf("%s /%s/first HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nConnection: close\r\n\r\n",
					verb, class, id)))
				out <- status
			}()
			time.Sleep(50 * time.Millisecond)
			return out
		}
		tile, order := ask("GET", "tile", "t1"), ask("POST", "order", "o1")
		nowUnsafe, nowPure := fakes.Tile(), fakes.Order()
		nowUnsafe.Safe, nowPure.Safe = false, true
		extra := fakes.Tile()
		extra.Name = "extra"
		s.set.Classes = []fakes.Class{nowPure, nowUnsafe, extra}
		s.set.MaxAttempts = 1
		s.write()
		s.reload()
		tileNew, orderNew, added := ask("POST", "tile", "t2"), ask("GET", "order", "o2"), ask("GET", "extra", "e1")
		s.set.Classes = []fakes.Class{extra}
		s.write()
		s.reload()
		if status := <-ask("GET", "tile", "t3"); status != 404 {
			t.Errorf("a class that was dropped: %d", status)
		}
		time.Sleep(100 * time.Millisecond)
		close(release)
		for _, tc := range []struct {
			what      string
			got       int
			want      int
			id        string
			ranAtMost int
		}{
			{"the old tile, which may be tried again", <-tile, 503, "t1", 3},
			{"the old order, which may not", <-order, 502, "o1", 1},
			{"the new tile, which may not", <-tileNew, 502, "t2", 1},
			{"the new order, which may be refused", <-orderNew, 503, "o2", 1},
			{"the class that was added", <-added, 503, "e1", 1},
		} {
			ran := 0
			for _, h := range all {
				ran += h.seen[tc.id]
			}
			if tc.got != tc.want || ran > tc.ranAtMost || tc.id == "t1" && ran < 2 {
				t.Errorf("%s: %d, want %d; sent %d times", tc.what, tc.got, tc.want, ran)
			}
		}
		s.stop()
	})
}

// slowly writes p in pieces, with a pause before each.
func slowly(w io.Writer, p []byte, piece int, pause time.Duration) {
	for len(p) > 0 {
		time.Sleep(pause)
		n, err := w.Write(p[:min(piece, len(p))])
		if err != nil {
			return
		}
		p = p[n:]
	}
}

var long = bytes.Repeat([]byte("0123456789abcdef"), 20<<10) // 320 KiB

// Long bodies arrive whole in each of HTTP's forms, whatever the pace of their peers.
func TestLongBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := fakes.NewMemory()
		_, directory := fakeServers(t, m, 2, func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			if strings.HasSuffix(r.URL.Path, "/sized") {
				w.Header().Set("Content-Length", fmt.Sprint(len(long)))
			}
			w.WriteHeader(200)
			switch {
			case r.Method == "POST":
				w.Write(body)
			case strings.HasSuffix(r.URL.Path, "/slow"):
				slowly(flusher{w}, long, 9000, 90*time.Millisecond) // over 3 s, beyond its deadline
			case strings.HasSuffix(r.URL.Path, "/broken"):
				w.Write(long[:200<<10])
				http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			default:
				w.Write(long)
			}
		})
		s := start(t, m, directory, nil)
		ask := func(head string, body []byte, piece int, pause time.Duration) (int, []byte, error) {
			c, err := m.Dial(t.Context(), s.front)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			go func() {
				slowly(c, []byte(head+"Host: x\r\nReq-Id: "+rand()+"\r\nReq-Deadline: 1.0\r\n\r\n"), 40, pause/10)
				slowly(c, body, piece, pause)
			}()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return 0, nil, err
			}
			got, err := io.ReadAll(resp.Body)
			return resp.StatusCode, got, err
		}
		for _, path := range []string{"sized", "chunked", "slow"} {
			status, got, err := ask("GET /tile/"+path+" HTTP/1.1\r\n", nil, 1, 0)
			if status != 200 || err != nil || !bytes.Equal(got, long) {
				t.Errorf("%s: %d, %d bytes, %v", path, status, len(got), err)
			}
		}
		if _, got, err := ask("GET /tile/broken HTTP/1.1\r\n", nil, 1, 0); err == nil || len(got) == 0 {
			t.Errorf("an answer that breaks off: %d bytes, %v", len(got), err)
		}
		if _, got, err := ask("GET /tile/broken HTTP/1.0\r\n", nil, 1, 0); err == nil && len(got) >= len(long) {
			t.Errorf("an answer that breaks off, to an old consumer: %d bytes", len(got))
		}
		chunks := fmt.Appendf(nil, "%x;ext=1\r\n%s\r\n%x\r\n%s\r\n0\r\nX-Trailer: y\r\n\r\n", 200<<10, long[:200<<10],
			len(long)-200<<10, long[200<<10:])
		for what, tc := range map[string]struct {
			head  string
			body  []byte
			piece int
			pause time.Duration
		}{
			"at once":         {fmt.Sprintf("Content-Length: %d\r\n", len(long)), long, len(long), 0},
			"in chunks":       {"Transfer-Encoding: chunked\r\n", chunks, 30000, 0},
			"at 64 kB/s":      {fmt.Sprintf("Content-Length: %d\r\n", len(long)), long, 32 << 10, 500 * time.Millisecond},
			"small, and slow": {"Content-Length: 3000\r\n", long[:3000], 1000, 400 * time.Millisecond},
		} {
			status, got, err := ask("POST /order/1 HTTP/1.1\r\n"+tc.head, tc.body, tc.piece, tc.pause)
			if want := long[:min(len(long), len(got))]; status != 200 || err != nil || len(got) < 3000 || !bytes.Equal(got, want) {
				t.Errorf("sent %s: %d, %d bytes, %v", what, status, len(got), err)
			}
		}
		f := s.counters()
		if f.Success["tile"] != 3 || f.Error["tile"] != 2 || f.Success["order"] != 4 || f.Concurrent != 0 {
			t.Errorf("%+v", f)
		}
		s.stop()
	})
}

// flusher writes each piece at once.
type flusher struct{ http.ResponseWriter }

func (f flusher) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	return n, errors.Join(err, http.NewResponseController(f.ResponseWriter).Flush())
}

// A long request whose provider is lost before its last byte was written has not run: it is refused, though it is an order;
// after that it has failed. Nothing of it is sent twice.
func TestLongRequestLosesItsProvider(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := fakes.NewMemory()
		all, directory := fakeServers(t, m, 2, func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/early") {
				io.ReadFull(r.Body, make([]byte, 100<<10))
				c, _, _ := http.NewResponseController(w).Hijack() // else the server reads on before it closes
				c.Close()
			} else {
				io.Copy(io.Discard, r.Body)
			}
			panic(http.ErrAbortHandler)
		})
		s := start(t, m, directory, nil)
		for path, want := range map[string]int{"early": 503, "late": 502} {
			c, err := m.Dial(t.Context(), s.front)
			if err != nil {
				t.Fatal(err)
			}
			go slowly(c, fmt.Appendf(nil, "POST /order/%s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nContent-Length: %d\r\n\r\n%s", path, path,
				len(long), long), 20000, 10*time.Millisecond)
			br := bufio.NewReader(c)
			resp, err := http.ReadResponse(br, nil)
			if err != nil || resp.StatusCode != want {
				t.Errorf("%s: %v %v", path, resp, err)
			}
			if n := all[0].seen[path] + all[1].seen[path]; n != 1 {
				t.Errorf("%s: sent %d times", path, n)
			}
			time.Sleep(sec)
			io.WriteString(c, "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n") // the connection goes on behind the body
			if resp, err := http.ReadResponse(br, nil); err != nil || resp.StatusCode != 404 {
				t.Errorf("after %s: %v %v", path, resp, err)
			}
			c.Close()
		}
		s.stop()
	})
}

// What never ends is ended: a body that pauses, one that is announced as endless, and an answer of that kind.
func TestEndlessBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := fakes.NewMemory()
		_, directory := fakeServers(t, m, 2, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "3221225472")
			for context.Cause(r.Context()) == nil {
				if _, err := w.Write(long); err != nil {
					return
				}
			}
		})
		s := start(t, m, directory, func(p *fakes.Sidecar) { p.MaxAttempts = 1 })
		for what, tc := range map[string]struct {
			raw  string
			want int
		}{
			"pauses":          {"POST /order/1 HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nContent-Length: 70000\r\n\r\nhalf", 408},
			"endless":         {"POST /order/1 HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nContent-Length: 60000000\r\n\r\n", 413},
			"both lengths":    {"POST /order/1 HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
			"endless answers": {"GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: b\r\nConnection: close\r\n\r\n", 503},
		} {
			began := time.Now()
			if status, _ := parse(t, s.send(s.front, tc.raw)); status != tc.want || time.Since(began) > 3*sec {
				t.Errorf("%s: %d, want %d, after %s", what, status, tc.want, time.Since(began))
			}
		}
		s.stop()
	})
}

// What is kept of a body is given back, whatever becomes of its request.
func TestKeptBodiesAreGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := fakes.NewMemory()
		_, directory := fakeServers(t, m, 2, func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) })
		s := start(t, m, directory, func(p *fakes.Sidecar) { p.MemoryMB = 8 }) // room for 32 bodies of a length that is not known
		ask := func(path, rest string) (int, string) {
			return parse(t, s.send(s.front, "POST "+path+" HTTP/1.1\r\nHost: x\r\nReq-Id: "+rand()+
				"\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"+rest))
		}
		for i := range 40 {
			for path, tc := range map[string]struct {
				rest string
				want int
			}{"/nowhere": {"1\r\nx\r\n0\r\n\r\n", 404}, "/order/1": {"x\r\n", 400}} {
				if got, _ := ask(path, tc.rest); got != tc.want {
					t.Fatalf("%d: %s: %d", i, path, got)
				}
			}
		}
		if got, body := ask("/order/1", "5\r\nhello\r\n0\r\n\r\n"); got != 200 || body != "hello" {
			t.Errorf("after them: %d %q", got, body)
		}
		s.stop()
	})
}

// A successor that has no listener for operators has one as soon as its predecessor gives the address up.
func TestOperatorsAddressIsInherited(t *testing.T) {
	log.SetOutput(io.Discard)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	p, ended := program{cfg: &config.Config{AdminAddr: l.Addr().String()}}, make(chan error, 1)
	if _, err := listenAdmin(p.cfg); err == nil || !strings.Contains(err.Error(), "admin_addr") {
		t.Errorf("an address that is taken: %v", err)
	}
	go func() { ended <- p.serveAdmin(ctx, nil) }()
	l.Close()
	var resp *http.Response
	for resp == nil && ctx.Err() == nil {
		resp, _ = http.Get("http://" + l.Addr().String() + "/nowhere")
	}
	if resp == nil || resp.StatusCode != 404 {
		t.Errorf("it answers %v", resp)
	} else {
		resp.Body.Close()
	}
	if cancel(); <-ended != nil {
		t.Error("it has failed")
	}
}

// Peers that leave in the middle of long bodies, in either direction, disturb no other: nobody reads a connection that is over.
func TestLeavingLongBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := fakes.NewMemory()
		_, directory := fakeServers(t, m, 3, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == "POST" {
				io.CopyN(io.Discard, r.Body, 80<<10)
				if strings.HasSuffix(r.URL.Path, "/early") {
					c, _, _ := http.NewResponseController(w).Hijack()
					c.Close()
					return
				}
				io.Copy(io.Discard, r.Body)
				fmt.Fprint(w, "done")
				return
			}
			slowly(flusher{w}, long, 4000, 2*time.Millisecond)
		})
		s := start(t, m, directory, nil)
		var all sync.WaitGroup
		for i := range 90 {
			all.Go(func() {
				c, err := m.Dial(t.Context(), s.front)
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				leave := time.Duration(i%10*17) * time.Millisecond // 0 = stays
				if leave > 0 {
					time.AfterFunc(leave, func() { c.Close() })
				}
				path, body := []string{"early", "late", "down"}[i%3], long
				head := "POST /order/"
				if path == "down" {
					head, body = "GET /tile/", nil
				}
				go slowly(c, fmt.Appendf(nil, "%s%s HTTP/1.1\r\nHost: x\r\nReq-Id: l%d\r\nContent-Length: %d\r\n\r\n%s", head, path, i,
					len(body), body), 9000, 3*time.Millisecond)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					if leave == 0 {
						t.Errorf("%s: %v", path, err)
					}
					return
				}
				got, err := io.ReadAll(resp.Body)
				want := map[string]string{"early": "", "late": "done", "down": string(long)}[path]
				if leave == 0 && resp.StatusCode == 200 && (err != nil || string(got) != want) || err == nil && resp.StatusCode == 200 &&
					string(got) != want {
					t.Errorf("%s: %d bytes that are not its own, %v", path, len(got), err)
				}
			})
		}
		all.Wait()
		time.Sleep(10 * sec)
		if f := s.counters(); f.Concurrent != 0 || f.Success["tile"] == 0 || f.Success["order"] == 0 {
			t.Errorf("%+v", f)
		}
		s.stop()
	})
}
