package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// shutdownRunner is one run of a row: the process, its clients, its servers and what they have lost.
type shutdownRunner struct {
	test     *testing.T
	row      shutdownCase
	address  string
	file     string
	sidecar  fakes.SidecarConfig
	servers  []*fakes.Server
	cmd      *exec.Cmd
	log      *os.File
	killedAt time.Time // just before SIGKILL was sent; guarded by mu

	mu   sync.Mutex
	lost []string
}

// play runs the row once, and returns the lost requests. valid is false if a stall of this machine made a stop too long.
func (row shutdownCase) play(t *testing.T) (lost []string, valid bool) {
	row.clients, row.serviceTime = cmp.Or(row.clients, 24), cmp.Or(row.serviceTime, 250*time.Millisecond)
	row.deadline = cmp.Or(row.deadline, defaultDeadline)
	w := &shutdownRunner{test: t, row: row}
	w.start()
	defer w.end()
	var clients sync.WaitGroup
	for i := range row.clients {
		clients.Go(func() { w.client(i) })
	}
	time.Sleep(300 * time.Millisecond) // until all clients are sending
	if row.partialRequests {
		for i := range 4 {
			clients.Go(func() { w.partialClient(i) })
		}
		time.Sleep(50 * time.Millisecond)
	}
	valid = w.endProcess()
	clients.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost, valid
}

func (w *shutdownRunner) start() {
	network, t := fakes.Loopback(), w.test
	var endpoints []fakes.Endpoint
	for i := range 4 {
		p, err := fakes.NewServer(network, fakes.ServerOptions{
			ID: fmt.Sprint("s", i), Cores: 500, Queue: 10,
			Default: fakes.Service{Mean: w.row.serviceTime, Fixed: true, Body: 100},
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		w.servers, endpoints = append(w.servers, p), append(endpoints, p.Endpoint())
	}
	discovery, err := fakes.NewDiscovery(network, "", endpoints...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	l, err := network.Listen("")
	if err != nil {
		t.Fatal(err)
	}
	w.address = l.Addr().String()
	l.Close()
	folder := t.TempDir()
	w.file = filepath.Join(folder, "config.json")
	w.sidecar = fakes.SidecarConfig{
		Name: "n1", Listen: w.address, Seed: 1, Discovery: discovery.Address(), MaxConns: 4096, MemoryMB: 256,
		ConnectTimeout: 150 * time.Millisecond, ConnIdle: time.Minute, DrainGrace: 750 * time.Millisecond, Known: fakes.List{Revision: 1, Endpoints: endpoints},
	}
	w.configure(w.row.deadline)
	if w.log, err = os.Create(filepath.Join(folder, "log")); err != nil {
		t.Fatal(err)
	}
	w.cmd = exec.Command(os.Args[0])
	w.cmd.Env = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+w.file, "TMPDIR=", "GW_TRACE=1")
	w.cmd.Stdout, w.cmd.Stderr = w.log, w.log
	w.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // so that a successor is killed with it
	if err := w.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if err := fakes.AwaitReady(t.Context(), network, w.address); err != nil {
		t.Fatal(err)
	}
}

// configure writes the configuration with longest as the deadline of its only class.
func (w *shutdownRunner) configure(longest time.Duration) {
	class := fakes.TileClass()
	class.Deadline, class.LatencyObjective = longest, longest
	w.sidecar.Classes = []fakes.Class{class}
	raw, err := fakes.Config(w.sidecar)
	if err == nil {
		err = errors.Join(os.WriteFile(w.file+".next", raw, 0o600), os.Rename(w.file+".next", w.file))
	}
	if err != nil {
		w.test.Fatal(err)
	}
}

// end kills the remaining processes, and logs their state changes if requests were lost.
func (w *shutdownRunner) end() {
	_ = syscall.Kill(-w.cmd.Process.Pid, syscall.SIGKILL)
	_ = w.cmd.Wait()
	w.log.Close()
	if len(w.lost) > 0 {
		if raw, err := os.ReadFile(w.log.Name()); err == nil {
			for _, line := range strings.Split(string(raw), "\n") {
				if (strings.Contains(line, "state=") || strings.Contains(line, "handover=")) && !strings.Contains(line, "trace=") {
					w.test.Log(line)
				}
			}
		}
	}
}

// endProcess sends the row's signals, stops the process at the row's pauses and kills it at the earliest time at which the
// platform may. It reports whether all stops were shorter than maxPauseLength.
func (w *shutdownRunner) endProcess() (valid bool) {
	pid, longest := w.cmd.Process.Pid, w.row.deadline
	if w.row.reloadedDeadline > 0 {
		longest = w.row.reloadedDeadline
	}
	kill := longest + killMargin
	valid, stopped := true, sync.WaitGroup{}
	var mu sync.Mutex
	signalAt := time.Now().Add(20 * time.Millisecond)
	if len(w.row.before) > 0 {
		signalAt = signalAt.Add(w.row.before[0].before)
	}
	for _, p := range w.row.pauses {
		at := signalAt.Add(p.at)
		if p.beforeKill {
			at = signalAt.Add(kill - p.at)
		}
		stopped.Go(func() {
			time.Sleep(time.Until(at))
			stoppedAt := time.Now()
			_ = syscall.Kill(pid, syscall.SIGSTOP)
			time.Sleep(pauseLength)
			_ = syscall.Kill(pid, syscall.SIGCONT)
			mu.Lock()
			defer mu.Unlock()
			valid = valid && time.Since(stoppedAt) < maxPauseLength
		})
	}
	for _, s := range w.row.before {
		time.Sleep(time.Until(signalAt.Add(-s.before)))
		if s.Signal == syscall.SIGHUP && w.row.reloadedDeadline > 0 {
			w.configure(w.row.reloadedDeadline)
		}
		_ = syscall.Kill(pid, s.Signal)
	}
	time.Sleep(time.Until(signalAt))
	sent, to := time.Now(), pid
	if w.row.signalGroup {
		to = -pid
	}
	_ = syscall.Kill(to, syscall.SIGTERM)
	if w.row.lateServiceTime > 0 {
		for _, p := range w.servers {
			p.ChangeBehaviour(func(b *fakes.Behaviour) { b.Slowdown = float64(w.row.lateServiceTime) / float64(w.row.serviceTime) })
		}
	}
	for _, s := range w.row.after {
		time.Sleep(2 * time.Millisecond)
		_ = syscall.Kill(pid, s)
	}
	time.Sleep(time.Until(sent.Add(kill)))
	w.mu.Lock()
	w.killedAt = time.Now()
	w.mu.Unlock()
	_ = syscall.Kill(-pid, syscall.SIGKILL)
	stopped.Wait()
	return valid
}

func (w *shutdownRunner) killed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.killedAt.IsZero()
}

func (w *shutdownRunner) addLost(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost = append(w.lost, fmt.Sprintf(format, args...))
}

// client sends one request after another on its own connection, until connections are refused.
func (w *shutdownRunner) client(number int) {
	var c net.Conn
	var br *bufio.Reader
	for i := 0; !w.killed(); i++ {
		id := fmt.Sprintf("%d-%d", number, i)
		for retried := false; ; retried = true { // a request is sent once more if the process closes the connection meanwhile
			fresh := c == nil
			if fresh {
				var err error
				if c, err = net.Dial("tcp", w.address); err != nil {
					return // the process has closed its listener: the request was not accepted
				}
				br = bufio.NewReader(c)
			}
			sent := time.Now()
			if _, err := io.WriteString(c, w.request(id, "")); err == nil || fresh {
				resp, err := http.ReadResponse(br, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
				}
				if err == nil {
					if resp.Close {
						c.Close()
						c = nil
					}
					if resp.StatusCode != 200 {
						time.Sleep(5 * time.Millisecond)
					}
					break
				}
				if seen := w.seen(id); seen || fresh || w.killed() {
					w.addLost("%s, sent %s before its connection was closed, forwarded %t, new connection %t, killed %t: %v", id,
						time.Since(sent).Round(time.Millisecond), seen, fresh, w.killed(), err)
					c.Close()
					return
				}
			}
			c.Close()
			if c = nil; retried {
				break
			}
		}
	}
	if c != nil {
		c.Close()
	}
}

// partialClient sends part of a request before SIGTERM and the rest before the kill, by a time that depends on number, unless
// a response or the close of the connection comes first.
func (w *shutdownRunner) partialClient(number int) {
	c, err := net.Dial("tcp", w.address)
	if err != nil {
		w.test.Error(err)
		return
	}
	defer c.Close()
	id, kill := fmt.Sprint("partial-", number), w.row.deadline+killMargin
	text := w.request(id, "0.3")
	_, _ = io.WriteString(c, text[:len(text)-3])
	lead := time.Duration(20+60*number) * time.Millisecond
	c.SetReadDeadline(time.Now().Add(70*time.Millisecond + kill - lead)) // SIGTERM comes 0.07 s from now
	br := bufio.NewReader(c)
	if _, err := br.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	if _, err := io.WriteString(c, text[len(text)-3:]); err != nil {
		return
	}
	c.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := http.ReadResponse(br, nil); err != nil {
		w.addLost("%s, complete %s before the kill, forwarded %t: %v", id, lead, w.seen(id), err)
	}
}

// request returns the bytes of a request; with deadline "" the deadline of the class applies.
func (w *shutdownRunner) request(id, deadline string) string {
	if deadline != "" {
		deadline = "Req-Deadline: " + deadline + "\r\n"
	}
	return fmt.Sprintf("GET /tile/%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\n%s\r\n", id, id, deadline)
}

// seen reports whether a server has received the request.
func (w *shutdownRunner) seen(id string) bool {
	for _, p := range w.servers {
		for _, r := range p.Requests() {
			if r.ID == id {
				return true
			}
		}
	}
	return false
}
