package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"plankrouter/internal/admin"
	"plankrouter/internal/testbench/fakes"
)

// floodedProgram is the program as a process of its own, which starts with descriptors that are not its own doing.
type floodedProgram struct {
	*testing.T
	cmd                  *exec.Cmd
	front, desk          string
	limit, maxOpen, last int
	conns                []net.Conn
}

// count looks at how many descriptors the process holds.
func (f *floodedProgram) count() int {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.cmd.Process.Pid))
	if err != nil {
		f.Fatal(err)
	}
	f.last = len(all)
	f.maxOpen = max(f.maxOpen, f.last)
	return f.last
}

// open connects to address and says something there, over which the kernel may let it wait.
func (f *floodedProgram) open(address, says string) {
	c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
	if err == nil { // else its backlog is full
		_, _ = io.WriteString(c, says)
		f.conns = append(f.conns, c)
	}
	f.count()
}

// fill waits until the process holds so many.
func (f *floodedProgram) fill(want int) {
	for until := time.Now().Add(stepTimeout); f.count() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			f.Fatalf("%d descriptors after %s, want %d", f.last, stepTimeout, want)
		}
	}
}

// Whatever comes, and whatever it was started with, a process has no more descriptors open than its limit: requests that hang at
// their servers, clients that send nothing and make room for one another, operators that send nothing, a discovery service that hangs,
// snapshots, cordons, the platform's listening socket and the rendezvous where a second process would find it.
func TestDescriptorsStayWithinTheLimit(t *testing.T) {
	for _, c := range []struct{ limit, inherited int }{{40, 0}, {48, 8}, {96, 20}, {160, 3}} {
		t.Run(fmt.Sprintf("%d of which %d are inherited", c.limit, c.inherited), func(t *testing.T) {
			f := startFlooded(t, c.limit, c.inherited)
			idle := f.count()
			full := idle + divideDescriptors(c.limit, idle, true).conns - 2 // by requests that hang, whatever else there is
			for i := range 2 * admin.MaxConns {
				f.open(f.desk, "")
				f.open(f.front, "")
				if i == 0 {
					f.cmd.Process.Signal(syscall.SIGHUP)
				}
			}
			for i := range 3 * c.limit {
				f.open(f.front, fmt.Sprintf("GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\n\r\n", i))
				if i%3 == 0 {
					f.open(f.front, "")
				}
			}
			f.fill(full)
			for range c.limit {
				f.open(f.front, "")
			}
			t.Logf("%d idle, %d at most", idle, f.maxOpen)
			if f.maxOpen > c.limit {
				t.Errorf("%d descriptors where %d are allowed", f.maxOpen, c.limit)
			}
		})
	}
}

func startFlooded(t *testing.T, limit, inherited int) *floodedProgram {
	f := &floodedProgram{T: t, limit: limit}
	known := fakes.List{Revision: 1}
	for i := range 8 { // servers that take requests and never answer
		known.Endpoints = append(known.Endpoints, fakes.Endpoint{
			ID: fmt.Sprint("s-", i), Address: listenHere(t).Addr().String(),
			Locality: fakes.LocalZone, Phase: fakes.Serving,
		})
	}
	front, desk := listenHere(t), listenHere(t)
	f.front, f.desk = front.Addr().String(), desk.Addr().String()
	desk.Close() // a port that is free now
	dir := t.TempDir()
	raw, err := fakes.Config(fakes.SidecarConfig{
		Name: "n1", Listen: f.front, Discovery: listenHere(t).Addr().String(), Seed: 1,
		Known: known, MaxConns: limit, MemoryMB: 64, ConnIdle: time.Minute, ConnectTimeout: time.Minute, DrainGrace: time.Minute,
		NoProbes: true, Classes: []fakes.Class{{Name: "tile", LatencyObjective: time.Minute, Deadline: time.Minute, PriorityWeight: 1, Idempotent: true}},
		Edit: func(d map[string]any) {
			d["admin_addr"] = f.desk
			d["plankrouter"] = map[string]any{"snapshot": map[string]any{"path": filepath.Join(dir, "snapshot"), "every_ms": 1000}}
		},
	})
	file := filepath.Join(dir, "config.json")
	if err != nil || !json.Valid(raw) || os.WriteFile(file, raw, 0o600) != nil {
		t.Fatal(err)
	}
	held, err := front.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	f.cmd = exec.Command(os.Args[0])
	f.cmd.ExtraFiles = []*os.File{held} // number 3
	for range inherited {
		null, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		defer null.Close()
		f.cmd.ExtraFiles = append(f.cmd.ExtraFiles, null)
	}
	f.cmd.Env = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+file, "GW_LISTEN_FD=3", "TMPDIR="+dir)
	if err := f.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, c := range f.conns {
			c.Close()
		}
		f.cmd.Process.Kill()
		_ = f.cmd.Wait()
	})
	if err := fakes.AwaitReady(t.Context(), fakes.Loopback(), f.front); err != nil {
		t.Fatal(err)
	}
	return f
}

// The shares add up to what is allowed, and with the least that serves and many descriptors inherited the sum is said to be more.
func TestSharesAddUp(t *testing.T) {
	for _, operators := range []bool{false, true} {
		for limit := 32; limit <= 4096; limit++ {
			for _, held := range []int{usuallyOpen, 12, 30} {
				s := divideDescriptors(limit, held, operators)
				sum := s.total(held)
				if sum > limit && s.conns > minConns {
					t.Fatalf("%+v: %d of %d with %d held", s, sum, limit, held)
				}
				if limit >= 64 && (sum > limit || sum < limit-1) {
					t.Fatalf("%+v: %d of %d with %d held", s, sum, limit, held)
				}
				if limit >= 256 && s.conns < limit*2/3 {
					t.Fatalf("%+v: a limit of %d leaves little", s, limit)
				}
			}
		}
	}
}

// Clients that send nothing and requests that hang fill the places while discovery refuses calls or does not answer. The operators'
// listener answers all the same, and as soon as discovery is back the watch is, and the requests under way get their answers.
func TestIdleClientsLeaveTheOthersTheirPlaces(t *testing.T) {
	for way := range 4 {
		hangs, flood := way&1 > 0, way&2 > 0
		t.Run(fmt.Sprintf("the directory hangs: %t, idle clients: %t", hangs, flood), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit, left = 95, 8
				n, release := fakes.NewMemory(), make(chan struct{})
				_, discovery := fakeServers(t, n, 4, func(w http.ResponseWriter, _ *http.Request) {
					<-release
					_, _ = io.WriteString(w, "ok")
				})
				s := start(t, n, discovery, func(c *fakes.SidecarConfig) {
					c.MaxConns, c.NoProbes = limit, true
					c.Classes = []fakes.Class{{Name: "tile", LatencyObjective: time.Minute, Deadline: time.Minute, PriorityWeight: 1, Idempotent: true}}
					c.Edit = func(d map[string]any) {
						d["settings"].(map[string]any)["Limits"].(map[string]any)["MayCancel"] = false
					}
				})
				down := func(on bool) {
					if hangs {
						discovery.HoldAnswers(on)
					} else if err := discovery.SetDown(on); err != nil {
						t.Fatal(err)
					}
				}
				down(true)
				places := divideDescriptors(limit, usuallyOpen, true).conns
				request := func(i int) *bufio.Reader {
					c, err := n.Dial(t.Context(), s.front)
					if err != nil {
						t.Fatal(err)
					}
					fmt.Fprintf(c, "GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: under-way-%d\r\n\r\n", i)
					time.Sleep(20 * time.Millisecond) // by the bubble's clock: it is sent on
					synctest.Wait()
					if i < 0 { // it leaves, and its attempt goes on
						c.Close()
					}
					return bufio.NewReader(c)
				}
				for i := range left {
					request(-1 - i)
				}
				var under []*bufio.Reader
				for i := range (places - left - 1) / 2 { // with the one that the next client gets all are taken
					under = append(under, request(i))
				}
				for i := range 2 * limit {
					if !flood {
						break
					}
					if i < left {
						request(places + i)
					}
					go func() {
						if c, err := n.Dial(t.Context(), s.front); err == nil {
							defer c.Close()
							_, _ = io.Copy(io.Discard, c)
						}
					}()
				}
				time.Sleep(3 * time.Second) // the watch is found dead, and called anew
				synctest.Wait()
				if status, text := s.call("GET", "/metrics"); status != 200 {
					t.Errorf("operators get %d %s", status, text)
				}
				back := time.Now()
				down(false)
				time.Sleep(3 * time.Second)
				synctest.Wait()
				heard := 0
				for _, call := range discovery.Calls() {
					if call.At.After(back) {
						heard++
					}
				}
				if heard == 0 {
					t.Error("the directory is back, and has not been called")
				}
				close(release)
				for i, br := range under {
					if got, err := br.ReadString('\n'); i < len(under)-2 && got != "HTTP/1.1 200 OK\r\n" {
						t.Errorf("request %d, which was under way, got %q, %v", i, got, err)
					}
				}
				s.stop()
			})
		})
	}
}
