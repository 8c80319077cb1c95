package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter/internal/testbench/fakes"
)

// However many others wait, each kind of signal finds a place.
func TestNoSignalIsLost(t *testing.T) {
	w, seen := newSignalQueues(), make(chan os.Signal, 1)
	w.listen()
	all := []os.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGTERM, syscall.SIGINT}
	defer signal.Reset(all...)
	signal.Notify(seen, all...)
	for i := range 12 {
		_ = syscall.Kill(os.Getpid(), all[i%3].(syscall.Signal))
		<-seen // the kernel keeps one of a kind that waits
	}
	for _, s := range all[3:] {
		_ = syscall.Kill(os.Getpid(), s.(syscall.Signal))
		<-seen
		select {
		case got := <-w.stop:
			if got.Signal != s || time.Since(got.earliestSent) > time.Minute || got.readAt.Before(got.earliestSent) {
				t.Errorf("%v, want %s", got, s)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%s is lost", s)
		}
	}
	if len(w.reload) != 1 || len(w.report) != 1 || len(w.handOver) != 1 {
		t.Errorf("waiting: %d, %d, %d", len(w.reload), len(w.report), len(w.handOver))
	}
}

// A signal to stop counts from when it came: while the program starts, and during a reload that does not end. Others that come
// after it do not keep it.
func TestStopWaitsForNothing(t *testing.T) {
	for _, key := range []string{"TMPDIR", "GW_CONFIG"} { // read at the start, and by a reload
		t.Run(key, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := fakes.NewMemory()
				_, discovery := fakeServers(t, m, 1, nil)
				front, err := m.Listen("")
				if err != nil {
					t.Fatal(err)
				}
				desk, err := m.Listen("")
				if err != nil {
					t.Fatal(err)
				}
				s := service{
					T: t, file: filepath.Join(t.TempDir(), "config.json"),
					sidecar: fakes.SidecarConfig{Name: "n1", Listen: front.Addr().String(), Seed: 1, Discovery: discovery.Address()},
				}
				s.write()
				var loaded atomic.Bool
				hold := make(chan bool)
				signals, ended := launchBy(t, func(name string) string {
					if name == key && (key == "TMPDIR" || loaded.Load()) {
						<-hold
					}
					return map[string]string{"GW_CONFIG": s.file, "GW_ADMIN_ADDR": desk.Addr().String()}[name]
				}, front, desk, m.Dial)
				synctest.Wait()
				loaded.Store(true)
				signals.raise(syscall.SIGHUP)
				synctest.Wait()
				began := time.Now()
				for _, one := range []syscall.Signal{syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGUSR2} {
					signals.raise(one)
				}
				if time.Sleep(time.Second); key == "TMPDIR" {
					close(hold)
				}
				time.Sleep(time.Second + 539*time.Millisecond) // the longest deadline is 2.5 s: 0.65 s before the kill
				c, err := m.Dial(t.Context(), s.sidecar.Listen)
				if err != nil {
					t.Fatalf("%s after the word: %v", time.Since(began), err)
				}
				c.Close()
				time.Sleep(25 * time.Millisecond)
				if c, err := m.Dial(t.Context(), s.sidecar.Listen); err == nil {
					c.Close()
					t.Errorf("it still listens %s after the word", time.Since(began))
				}
				if key != "TMPDIR" {
					close(hold)
				}
				if err := <-ended; err != nil || time.Since(began) > 3200*time.Millisecond {
					t.Errorf("ended after %s: %v", time.Since(began), err)
				}
			})
		})
	}
}

// What would be answered after the kill is given up before it: where the longest deadline is beyond what the platform counts
// of it, where a reload has made it shorter, and a body that flows on.
func TestStopAnswersAllBeforeTheKill(t *testing.T) {
	for what, tc := range map[string]struct {
		reload time.Duration // of a shorter deadline, after the signal; 0 = none
		after  time.Duration // the signal, that the request comes
		rest   bool
		want   time.Duration // after the signal
	}{
		"before":               {0, -2 * second, false, 3200 * time.Millisecond},
		"soon after":           {0, 500 * time.Millisecond, false, 3200 * time.Millisecond},
		"later":                {0, second, false, 3200 * time.Millisecond},
		"before a reload":      {-second, -2 * second, false, 1200 * time.Millisecond},
		"a reload comes later": {second, -2 * second, false, 3200 * time.Millisecond},
		"a body, before":       {0, -2 * second, true, 3200 * time.Millisecond},
		"a body, soon after":   {0, 500 * time.Millisecond, true, 3200 * time.Millisecond},
	} {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := fakes.NewMemory()
				_, discovery := fakeServers(t, m, 2, func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					<-r.Context().Done()
				})
				long := fakes.OrderClass()
				long.Deadline = 8 * second
				s := start(t, m, discovery, func(c *fakes.SidecarConfig) { c.Classes = []fakes.Class{long} })
				at := time.Now().Add(3 * second)
				got := make(chan time.Duration, 1)
				time.AfterFunc(time.Until(at.Add(tc.after)), func() {
					c, err := m.Dial(t.Context(), s.front)
					if err != nil {
						t.Error(err)
						return
					}
					defer c.Close()
					length := 0
					if tc.rest {
						length = 300000
						go writeSlowly(c, make([]byte, length), 8000, 200*time.Millisecond)
					}
					fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nContent-Length: %d\r\n\r\n", length)
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil || resp.StatusCode < 500 {
						t.Errorf("%v, %v", resp, err)
					}
					got <- time.Since(at)
				})
				if tc.reload != 0 {
					time.AfterFunc(time.Until(at.Add(tc.reload)), func() {
						s.sidecar.Classes[0].Deadline = second
						s.write()
						s.signals.raise(syscall.SIGHUP)
					})
				}
				time.Sleep(time.Until(at))
				s.stop()
				time.Sleep(second) // for the rest of a body
				if took := <-got; took < tc.want-20*time.Millisecond || took > tc.want+20*time.Millisecond {
					t.Errorf("answered after %s, want %s", took, tc.want)
				}
			})
		})
	}
}

const asProgram = "PLANKROUTER_TEST_PROGRAM"

// Started as the deploy file says, the program survives any SIGHUP from the start on, reloads on one that comes once it serves,
// and so does its successor. An operators' address that is taken keeps neither from starting, and is used once it is free.
func TestSignalsFromTheStart(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	run := regexp.MustCompile(`(?m)^run = "(.*?)"`).FindSubmatch(deploy)
	if run == nil {
		t.Fatal("the deploy file has no run")
	}
	discovery, err := fakes.NewDiscovery(fakes.Loopback(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f, err := l.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	desk, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer desk.Close()
	s := service{
		T: t, file: filepath.Join(t.TempDir(), "config.json"),
		sidecar: fakes.SidecarConfig{Name: "n1", Listen: l.Addr().String(), Seed: 1, Discovery: discovery.Address()},
	}
	s.write()
	line := "LISTEN_FDS=1 LISTEN_PID=$$; export LISTEN_FDS LISTEN_PID; " +
		strings.NewReplacer("exec ", "echo at the start >&2; exec ", "bin/plankrouter", `"$0"`).Replace(string(run[1]))
	cmd := exec.Command("/bin/sh", "-c", line, os.Args[0])
	cmd.Env, cmd.ExtraFiles = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+s.file, "TMPDIR=", "GW_ADMIN_ADDR="+desk.Addr().String()), []*os.File{f}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // it and its successor can be ended together
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	_ = out.(*os.File).SetReadDeadline(time.Now().Add(time.Minute))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL); _ = cmd.Wait() }()
	said, lines := bufio.NewScanner(out), []string(nil)
	says := func(what string) (after string) {
		t.Helper()
		for said.Scan() {
			lines = append(lines, said.Text())
			if _, after, is := strings.Cut(said.Text(), what); is {
				return after
			}
		}
		t.Fatalf("it does not say %q, but %q", what, lines)
		return ""
	}
	says("at the start")
	up := make(chan bool)
	burst := make(chan bool)
	go func() {
		defer close(burst)
		for range 10000 {
			_ = syscall.Kill(cmd.Process.Pid, syscall.SIGHUP)
			select {
			case <-up:
				return
			case <-time.After(100 * time.Microsecond):
			}
		}
	}()
	says("state=started")
	close(up)
	<-burst
	pid := cmd.Process.Pid
	for _, name := range []string{"first", "second"} {
		for i := range 2 { // one that waits covers those that come after it
			set := fakes.TileClass()
			set.Name = fmt.Sprint(name, i)
			s.sidecar.Classes = []fakes.Class{set}
			s.write()
			_ = syscall.Kill(pid, syscall.SIGHUP)
			says("classes=[" + set.Name + "]")
		}
		if name == "first" {
			_ = syscall.Kill(pid, syscall.SIGUSR2)
			next, _, _ := strings.Cut(says("handover=passing successor="), " ")
			if pid, err = strconv.Atoi(next); err != nil {
				t.Fatal(err)
			}
			says("handover=complete")
		}
	}
	desk.Close()
	var resp *http.Response
	for until := time.Now().Add(30 * time.Second); resp == nil && time.Now().Before(until); {
		resp, _ = http.Get("http://" + desk.Addr().String() + "/nowhere")
	}
	if resp == nil || resp.StatusCode != 404 {
		t.Errorf("operators get %v", resp)
	}
	_ = syscall.Kill(pid, syscall.SIGTERM)
	says("state=stopping")
	for _, next := range []struct {
		sig  syscall.Signal
		want string
	}{{syscall.SIGUSR2, "handover=refused"}, {syscall.SIGHUP, "state=reloaded"}, {syscall.SIGINT, "state=draining"}} { // which ends it at once
		_ = syscall.Kill(pid, next.sig)
		says(next.want)
	}
}
