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

const readyTimeout = 30 * time.Second

// sidecar is one process of the sidecar program, with its configuration.
type sidecar struct {
	process        *process.Program // nil = it has not been started
	address, admin string
	file           string // path of the configuration
	log            logCounter
}

// logCounter counts the bytes that the program logs and passes them on.
type logCounter struct {
	next  io.Writer
	bytes atomic.Int64
}

func (l *logCounter) Write(p []byte) (int, error) {
	l.bytes.Add(int64(len(p)))
	return l.next.Write(p)
}

// configure writes the configuration file atomically, since the sidecar may read it at any time.
func (s *sidecar) configure(point Point, discovery string, known fakes.List, latencyObjective time.Duration) error {
	class := fakes.TileClass()
	class.LatencyObjective = latencyObjective
	raw, err := fakes.Config(fakes.SidecarConfig{
		Name: "lab", Listen: s.address, Seed: 1, Discovery: discovery, Known: known,
		Classes: []fakes.Class{class, fakes.OrderClass()}, MaxConns: maxConns, MemoryMB: memoryMB, Instances: point.Instances,
		ConnIdle: time.Minute, ConnectTimeout: 150 * time.Millisecond, DrainGrace: drainGrace,
		Edit: func(document map[string]any) {
			document["admin_addr"] = s.admin
			settings := document["settings"].(map[string]any)
			settings["Prices"] = map[string]any{"CrossZone": 0.01, "Probe": point.Price, "Waste": 0.1}
			if point.OnRequest {
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

// freeAddress returns an address with a free port, on a loopback host of this process.
func freeAddress(n fakes.Network) (string, error) {
	l, err := n.Listen("")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newSidecar chooses the addresses and the configuration file of a sidecar. It does not start it.
func newSidecar(n fakes.Network, dir string) (s *sidecar, err error) {
	s = &sidecar{file: filepath.Join(dir, "config.json")}
	if s.address, err = freeAddress(n); err != nil {
		return nil, err
	}
	if s.admin, err = freeAddress(n); err != nil {
		return nil, err
	}
	return s, nil
}

// start starts the program, pinned to core unless that is below 0, and returns when the sidecar is ready.
func (s *sidecar) start(ctx context.Context, n fakes.Network, program string, core int, log io.Writer) error {
	s.log.next = log
	cmd := exec.Command(program)
	cmd.Env, cmd.Stdout, cmd.Stderr = []string{"GW_CONFIG=" + s.file}, &s.log, &s.log
	var err error
	if s.process, err = process.Start(cmd, core); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return fakes.AwaitReady(ctx, n, s.address)
}

// stop stops the process, if it has been started.
func (s *sidecar) stop() error {
	if s.process == nil {
		return nil
	}
	return s.process.Stop()
}

// cpu returns the CPU time that the process has used so far.
func (s *sidecar) cpu() (time.Duration, error) { return process.CPUTime(s.process.Pid()) }

// resident returns the resident memory of the process, in bytes.
func (s *sidecar) resident() (int64, error) { return process.ResidentMemory(s.process.Pid()) }

// scrape reads /metrics and returns the number of bytes transferred, in both directions, and the body.
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
