package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"time"

	"plankrouter/internal/testbench/fakes"
	"plankrouter/internal/testbench/process"
)

const readyWithin = 30 * time.Second

// sidecar is one process of the program, and its settings.
type sidecar struct {
	process        *process.Program // nil = it has not begun
	address, admin string
	file           string
	log            logCounter
}

// logCounter counts what the program logs, and keeps it.
type logCounter struct {
	next  io.Writer
	bytes atomic.Int64
}

func (l *logCounter) Write(p []byte) (int, error) {
	l.bytes.Add(int64(len(p)))
	return l.next.Write(p)
}

// configure writes the configuration file: whole or not at all, since the sidecar may read it at any time.
func (s *sidecar) configure(of Point, discovery string, known fakes.List, latencyObjective time.Duration) error {
	idempotent := fakes.TileClass()
	idempotent.LatencyObjective = latencyObjective
	raw, err := fakes.Config(fakes.SidecarConfig{
		Name: "lab", Listen: s.address, Seed: 1, Discovery: discovery, Known: known,
		Classes: []fakes.Class{idempotent, fakes.OrderClass()}, MaxConns: sockets, MemoryMB: memoryMB, Instances: of.Instances,
		ConnIdle: time.Minute, ConnectTimeout: 150 * time.Millisecond, DrainGrace: drainGrace,
		Edit: func(document map[string]any) {
			document["admin_addr"] = s.admin
			settings := document["settings"].(map[string]any)
			settings["Prices"] = map[string]any{"CrossZone": 0.01, "Probe": of.Price, "Waste": 0.1}
			if of.OnRequest {
				settings["Discovery"] = "on_request"
			}
		},
	})
	if err != nil {
		return err
	}
	next := s.file + ".next"
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(next, s.file)
}

// free returns an address that is free on a host of this process's own.
func free(n fakes.Network) (string, error) {
	l, err := n.Listen("")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// prepare chooses the sidecar's addresses; nothing runs yet.
func prepare(n fakes.Network, dir string) (s *sidecar, err error) {
	s = &sidecar{file: filepath.Join(dir, "config.json")}
	if s.address, err = free(n); err != nil {
		return nil, err
	}
	if s.admin, err = free(n); err != nil {
		return nil, err
	}
	return s, nil
}

// start starts the program, on one core of the machine if that is given, and returns when it is ready.
func (s *sidecar) start(ctx context.Context, n fakes.Network, program string, core int, log io.Writer) error {
	s.log.next = log
	cmd := exec.Command(program)
	cmd.Env, cmd.Stdout, cmd.Stderr = []string{"GW_CONFIG=" + s.file}, &s.log, &s.log
	var err error
	if s.process, err = process.Start(cmd, core); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	return fakes.AwaitReady(ctx, n, s.address)
}

// stop ends it, if it has begun.
func (s *sidecar) stop() error {
	if s.process == nil {
		return nil
	}
	return s.process.Stop()
}

// cpu is the processor time that it has used so far.
func (s *sidecar) cpu() (time.Duration, error) { return process.CPUTime(s.process.Pid()) }

// resident is the memory that it holds, in bytes.
func (s *sidecar) resident() (int64, error) { return process.ResidentMemory(s.process.Pid()) }

// scrape reads /metrics and returns how many bytes that took, both ways.
func (s *sidecar) scrape(ctx context.Context, n fakes.Network) (bytes int64, body []byte, err error) {
	var count fakes.Counter
	counted := count.Wrap(n)
	client := http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return counted.Dial(ctx, address) },
	}}
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+s.admin+"/metrics", nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != 200 {
		err = fmt.Errorf("GET /metrics: %s", resp.Status)
	}
	return count.In.Load() + count.Out.Load(), body, err
}
