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

// A signal is queued, however many signals of other kinds are pending.
func TestNoSignalIsLost(t *testing.T) {
	w, seen := newSignalQueues(), make(chan os.Signal, 1)
	w.listen()
	all := []os.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGTERM, syscall.SIGINT}
	defer signal.Reset(all...)
	signal.Notify(seen, all...)
	for i := range 12 {
		_ = syscall.Kill(os.Getpid(), all[i%3].(syscall.Signal))
		<-seen // else the kernel merges the signal with the next of its kind
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
		t.Errorf("queued: %d, %d, %d", len(w.reload), len(w.report), len(w.handOver))
	}
}

// A stop signal counts from when it was sent, also during the start and during a reload that hangs. Signals that follow it
// don't delay it.
func TestStopSignalIsNotDelayed(t *testing.T) {
	for _, key := range []string{"TMPDIR", "GW_CONFIG"} { // the first is read at the start, the second by a reload
		t.Run(key, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := fakes.NewMemory()
				_, discovery := fakeServers(t, m, 1, nil)
				front, err := m.Listen("")
				if err != nil {
					t.Fatal(err)
				}
				adminListener, err := m.Listen("")
				if err != nil {
					t.Fatal(err)
				}
				s := service{
					T: t, file: filepath.Join(t.TempDir(), "config.json"),
					sidecar: fakes.SidecarConfig{Name: "n1", Listen: front.Addr().String(), Seed: 1, Discovery: discovery.Address()},
				}
				s.write()
				var loaded atomic.Bool
				release := make(chan bool)
				signals, ended := launchWith(t, func(name string) string {
					if name == key && (key == "TMPDIR" || loaded.Load()) {
						<-release
					}
					return map[string]string{"GW_CONFIG": s.file, "GW_ADMIN_ADDR": adminListener.Addr().String()}[name]
				}, front, adminListener, m.Dial)
				synctest.Wait()
				loaded.Store(true)
				signals.raise(syscall.SIGHUP)
				synctest.Wait()
				began := time.Now()
				for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGUSR2} {
					signals.raise(sig)
				}
				if time.Sleep(time.Second); key == "TMPDIR" {
					close(release)
				}
				// The longest deadline is 2.5 s, so the kill may come after 3.2 s. The listener is closed 0.65 s before that.
				time.Sleep(time.Second + 539*time.Millisecond)
				c, err := m.Dial(t.Context(), s.sidecar.Listen)
				if err != nil {
					t.Fatalf("%s after the signal: %v", time.Since(began), err)
				}
				c.Close()
				time.Sleep(25 * time.Millisecond)
				if c, err := m.Dial(t.Context(), s.sidecar.Listen); err == nil {
					c.Close()
					t.Errorf("still listening %s after the signal", time.Since(began))
				}
				if key != "TMPDIR" {
					close(release)
				}
				if err := <-ended; err != nil || time.Since(began) > 3200*time.Millisecond {
					t.Errorf("ended after %s: %v", time.Since(began), err)
				}
			})
		})
	}
}

// Requests that would get their response after the kill fail before it: with a longest deadline beyond what the platform
// waits for, with one that a reload has made shorter, and with a body that is still being sent.
func TestStopRespondsBeforeTheKill(t *testing.T) {
	for what, tc := range map[string]struct {
		reload time.Duration // when a shorter deadline is loaded, counted from the signal; 0 = never
		after  time.Duration // when the request is sent, counted from the signal
		rest   bool          // the request has a body, of which the client sends the rest slowly
		want   time.Duration // when the response arrives, counted from the signal
	}{
		"request before the signal":     {0, -2 * second, false, 3200 * time.Millisecond},
		"request soon after the signal": {0, 500 * time.Millisecond, false, 3200 * time.Millisecond},
		"request 1 s after the signal":  {0, second, false, 3200 * time.Millisecond},
		"reload before the signal":      {-second, -2 * second, false, 1200 * time.Millisecond},
		"reload after the signal":       {second, -2 * second, false, 3200 * time.Millisecond},
		"body, before the signal":       {0, -2 * second, true, 3200 * time.Millisecond},
		"body, soon after the signal":   {0, 500 * time.Millisecond, true, 3200 * time.Millisecond},
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
				time.Sleep(second) // until the rest of a body is sent
				if took := <-got; took < tc.want-20*time.Millisecond || took > tc.want+20*time.Millisecond {
					t.Errorf("response after %s, want %s", took, tc.want)
				}
			})
		})
	}
}

const asProgram = "PLANKROUTER_TEST_PROGRAM"

// With the command of the deploy file, the program survives any SIGHUP during its start and reloads on each one after that,
// and so does its successor. An admin address that is in use delays the start of neither, and is used once it is free.
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
	adminListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer adminListener.Close()
	s := service{
		T: t, file: filepath.Join(t.TempDir(), "config.json"),
		sidecar: fakes.SidecarConfig{Name: "n1", Listen: l.Addr().String(), Seed: 1, Discovery: discovery.Address()},
	}
	s.write()
	line := "LISTEN_FDS=1 LISTEN_PID=$$; export LISTEN_FDS LISTEN_PID; " +
		strings.NewReplacer("exec ", "echo before the exec >&2; exec ", "bin/plankrouter", `"$0"`).Replace(string(run[1]))
	cmd := exec.Command("/bin/sh", "-c", line, os.Args[0])
	cmd.Env, cmd.ExtraFiles = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+s.file, "TMPDIR=", "GW_ADMIN_ADDR="+adminListener.Addr().String()), []*os.File{f}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // so that it can be killed together with its successor
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	_ = out.(*os.File).SetReadDeadline(time.Now().Add(time.Minute))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL); _ = cmd.Wait() }()
	logScanner, lines := bufio.NewScanner(out), []string(nil)
	waitForLog := func(what string) (after string) {
		t.Helper()
		for logScanner.Scan() {
			lines = append(lines, logScanner.Text())
			if _, after, is := strings.Cut(logScanner.Text(), what); is {
				return after
			}
		}
		t.Fatalf("%q is not in the log %q", what, lines)
		return ""
	}
	waitForLog("before the exec")
	started := make(chan bool)
	burstDone := make(chan bool)
	go func() {
		defer close(burstDone)
		for range 10000 {
			_ = syscall.Kill(cmd.Process.Pid, syscall.SIGHUP)
			select {
			case <-started:
				return
			case <-time.After(100 * time.Microsecond):
			}
		}
	}()
	waitForLog("state=started")
	close(started)
	<-burstDone
	pid := cmd.Process.Pid
	for _, name := range []string{"first", "second"} {
		for i := range 2 { // wait for each: a queued signal covers those that follow it
			set := fakes.TileClass()
			set.Name = fmt.Sprint(name, i)
			s.sidecar.Classes = []fakes.Class{set}
			s.write()
			_ = syscall.Kill(pid, syscall.SIGHUP)
			waitForLog("classes=[" + set.Name + "]")
		}
		if name == "first" {
			_ = syscall.Kill(pid, syscall.SIGUSR2)
			next, _, _ := strings.Cut(waitForLog("handover=passing successor="), " ")
			if pid, err = strconv.Atoi(next); err != nil {
				t.Fatal(err)
			}
			waitForLog("handover=complete")
		}
	}
	adminListener.Close()
	var resp *http.Response
	for until := time.Now().Add(30 * time.Second); resp == nil && time.Now().Before(until); {
		resp, _ = http.Get("http://" + adminListener.Addr().String() + "/nowhere")
	}
	if resp == nil || resp.StatusCode != 404 {
		t.Errorf("response for operators: %v", resp)
	}
	_ = syscall.Kill(pid, syscall.SIGTERM)
	waitForLog("state=stopping")
	for _, next := range []struct {
		sig  syscall.Signal
		want string
	}{{syscall.SIGUSR2, "handover=refused"}, {syscall.SIGHUP, "state=reloaded"}, {syscall.SIGINT, "state=draining"}} { // drains at once
		_ = syscall.Kill(pid, next.sig)
		waitForLog(next.want)
	}
}
