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
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"plankrouter/internal/testbench/cpubench"
	"plankrouter/internal/testbench/fakes"
)

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	cpubench.Serve()
	os.Exit(m.Run())
}

// BenchmarkHop measures requests per CPU second of a proxy process between 32 connections and eight servers, with one core
// and on loopback: the sidecar, net/http/httputil.ReverseProxy with a random pick, and a byte relay that parses nothing.
func BenchmarkHop(b *testing.B) {
	servers, err := cpubench.Start(cpubench.RoleServers+" 8", 8)
	if err != nil {
		b.Fatal(err)
	}
	defer servers.Stop()
	all := strings.Join(servers.Addresses, " ")
	b.Run("daemon", func(b *testing.B) {
		program, address := daemon(b, servers.Addresses)
		defer program.Stop()
		hop(b, program, address)
	})
	for _, role := range []string{cpubench.RoleProxy, cpubench.RoleRelay} {
		b.Run(role, func(b *testing.B) {
			p, err := cpubench.Start(role+" "+all, 1, "GOMAXPROCS=1")
			if err != nil {
				b.Fatal(err)
			}
			defer p.Stop()
			hop(b, p, p.Addresses[0])
		})
	}
}

// daemon starts the sidecar in front of the servers and returns it with its address.
func daemon(b *testing.B, servers []string) (*cpubench.Process, string) {
	dir := b.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir, ".").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0") // a port that is free now
	if err != nil {
		b.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	known := fakes.List{Revision: 1}
	for i, s := range servers {
		known.Endpoints = append(known.Endpoints, fakes.Endpoint{
			ID: fmt.Sprint("s-", i), Address: s, Locality: fakes.LocalZone,
			Phase: fakes.Serving,
		})
	}
	raw, err := fakes.Config(fakes.SidecarConfig{
		Name: "n1", Listen: address, Discovery: "127.0.0.1:1", Seed: 1, Known: known,
		MaxConns: 1024, MemoryMB: 192,
	})
	if err != nil || !json.Valid(raw) {
		b.Fatal(err)
	}
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		b.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(dir, "plankrouter"))
	cmd.Stderr = io.Discard // drops the log
	p, err := cpubench.Run(cmd, 0, "GW_CONFIG="+file)
	if err != nil {
		b.Fatal(err)
	}
	if err := fakes.AwaitReady(b.Context(), fakes.Loopback(), address); err != nil {
		b.Fatal(err)
	}
	return p, address
}

// hop sends b.N requests over 32 connections through the process p, and reports p's CPU time per request.
func hop(b *testing.B, p *cpubench.Process, address string) {
	const conns = 32
	var remaining, failed atomic.Int64
	remaining.Store(int64(b.N))
	var all sync.WaitGroup
	before, err := p.CPU()
	if err != nil {
		b.Fatal(err)
	}
	startedAt := time.Now()
	b.ResetTimer()
	for n := range conns {
		all.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				failed.Add(1)
				return
			}
			defer c.Close()
			br := bufio.NewReader(c)
			for i := remaining.Add(-1); i >= 0; i = remaining.Add(-1) {
				fmt.Fprintf(c, "GET /tile/roma?z=3 HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %d-%d\r\nReq-Deadline: 2.500\r\n\r\n", n, i)
				resp, err := http.ReadResponse(br, nil)
				if err != nil || resp.StatusCode != 200 {
					failed.Add(1)
				}
				if err != nil {
					return
				}
				resp.Body.Close()
			}
		})
	}
	all.Wait()
	took := time.Since(startedAt)
	after, err := p.CPU()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(b.N)/(after-before).Seconds(), "requests/cpu-s")
	b.ReportMetric(float64(b.N)/took.Seconds(), "requests/s")
	b.ReportMetric(float64(failed.Load())/float64(b.N), "failed/op")
}
