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

// floodedProgram is the program as a separate process, started with inherited descriptors.
type floodedProgram struct {
	*testing.T
	cmd                  *exec.Cmd
	front, adminAddr     string
	limit, maxOpen, last int
	conns                []net.Conn
}

// count returns the number of open descriptors of the process, and records the maximum.
func (f *floodedProgram) count() int {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.cmd.Process.Pid))
	if err != nil {
		f.Fatal(err)
	}
	f.last = len(all)
	f.maxOpen = max(f.maxOpen, f.last)
	return f.last
}

// open connects to address, sends message and keeps the connection. It skips a connect that times out.
func (f *floodedProgram) open(address, message string) {
	c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
	if err == nil { // else the backlog is full
		_, _ = io.WriteString(c, message)
		f.conns = append(f.conns, c)
	}
	f.count()
}

// fill waits until the process has that many descriptors open.
func (f *floodedProgram) fill(want int) {
	for until := time.Now().Add(stepTimeout); f.count() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			f.Fatalf("%d descriptors after %s, want %d", f.last, stepTimeout, want)
		}
	}
}

// The process never has more descriptors open than its limit, whatever it has inherited. All users of descriptors
// are under load: requests that hang at their servers, idle clients that replace one another, idle operators, a discovery
// service that hangs, snapshots, cordons, the platform's listening socket and the rendezvous socket.
func TestDescriptorsStayWithinTheLimit(t *testing.T) {
	for _, c := range []struct{ limit, inherited int }{{40, 0}, {48, 8}, {96, 20}, {160, 3}} {
		t.Run(fmt.Sprintf("%d of which %d are inherited", c.limit, c.inherited), func(t *testing.T) {
			f := startFlooded(t, c.limit, c.inherited)
			idle := f.count()
			full := idle + divideDescriptors(c.limit, idle, true).conns - 2 // hanging requests reach it, whatever else is open
			for i := range 2 * admin.MaxConns {
				f.open(f.adminAddr, "")
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
				t.Errorf("%d descriptors open, limit %d", f.maxOpen, c.limit)
			}
		})
	}
}

func startFlooded(t *testing.T, limit, inherited int) *floodedProgram {
	f := &floodedProgram{T: t, limit: limit}
	known := fakes.List{Revision: 1}
	for i := range 8 { // servers that accept connections and never respond
		known.Endpoints = append(known.Endpoints, fakes.Endpoint{
			ID: fmt.Sprint("s-", i), Address: listenHere(t).Addr().String(),
			Locality: fakes.LocalZone, Phase: fakes.Serving,
		})
	}
	front, adminListener := listenHere(t), listenHere(t)
	f.front, f.adminAddr = front.Addr().String(), adminListener.Addr().String()
	adminListener.Close() // the port is free now
	dir := t.TempDir()
	raw, err := fakes.Config(fakes.SidecarConfig{
		Name: "n1", Listen: f.front, Discovery: listenHere(t).Addr().String(), Seed: 1,
		Known: known, MaxConns: limit, MemoryMB: 64, ConnIdle: time.Minute, ConnectTimeout: time.Minute, DrainGrace: time.Minute,
		NoProbes: true, Classes: []fakes.Class{{Name: "tile", LatencyObjective: time.Minute, Deadline: time.Minute, PriorityWeight: 1, Idempotent: true}},
		Edit: func(d map[string]any) {
			d["admin_addr"] = f.adminAddr
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
	f.cmd.ExtraFiles = []*os.File{held} // descriptor 3
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

// The shares add up to the limit. The total exceeds it only with minConns connections and many inherited descriptors.
func TestSharesAddUp(t *testing.T) {
	for _, withAdmin := range []bool{false, true} {
		for limit := 32; limit <= 4096; limit++ {
			for _, open := range []int{usuallyOpen, 12, 30} {
				s := divideDescriptors(limit, open, withAdmin)
				sum := s.total(open)
				if sum > limit && s.conns > minConns {
					t.Fatalf("%+v: %d of %d with %d open", s, sum, limit, open)
				}
				if limit >= 64 && (sum > limit || sum < limit-1) {
					t.Fatalf("%+v: %d of %d with %d open", s, sum, limit, open)
				}
				if limit >= 256 && s.conns < limit*2/3 {
					t.Fatalf("%+v: few connections with a limit of %d", s, limit)
				}
			}
		}
	}
}

// Idle clients and requests that hang use all connections while discovery refuses connections or does not respond. Operators
// still get responses, the watch is resumed as soon as discovery is back, and the requests in flight get their responses.
func TestIdleClientsDoNotStarveWatchAndAdmin(t *testing.T) {
	for variant := range 4 {
		hangs, flood := variant&1 > 0, variant&2 > 0
		t.Run(fmt.Sprintf("discovery hangs: %t, idle clients: %t", hangs, flood), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit, abandoned = 95, 8
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
						discovery.HoldResponses(on)
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
					fmt.Fprintf(c, "GET /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: in-flight-%d\r\n\r\n", i)
					time.Sleep(20 * time.Millisecond) // in the fake time of the bubble, until the request is forwarded
					synctest.Wait()
					if i < 0 { // the client disconnects, and the attempt continues
						c.Close()
					}
					return bufio.NewReader(c)
				}
				for i := range abandoned {
					request(-1 - i)
				}
				var inFlight []*bufio.Reader
				for i := range (places - abandoned - 1) / 2 { // with a connection for one more client, all are in use
					inFlight = append(inFlight, request(i))
				}
				for i := range 2 * limit {
					if !flood {
						break
					}
					if i < abandoned {
						request(places + i)
					}
					go func() {
						if c, err := n.Dial(t.Context(), s.front); err == nil {
							defer c.Close()
							_, _ = io.Copy(io.Discard, c)
						}
					}()
				}
				time.Sleep(3 * time.Second) // until the watch has timed out and is started again
				synctest.Wait()
				if status, text := s.call("GET", "/metrics"); status != 200 {
					t.Errorf("response for operators: %d %s", status, text)
				}
				backAt := time.Now()
				down(false)
				time.Sleep(3 * time.Second)
				synctest.Wait()
				polls := 0
				for _, poll := range discovery.Requests() {
					if poll.At.After(backAt) {
						polls++
					}
				}
				if polls == 0 {
					t.Error("discovery is back, and has not been polled")
				}
				close(release)
				for i, br := range inFlight {
					if got, err := br.ReadString('\n'); i < len(inFlight)-2 && got != "HTTP/1.1 200 OK\r\n" {
						t.Errorf("request %d, in flight before, got %q, %v", i, got, err)
					}
				}
				s.stop()
			})
		})
	}
}
