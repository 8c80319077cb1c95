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
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"plankrouter/internal/lab/peers"
)

const (
	readyWithin = 30 * time.Second
	endWithin   = 10 * time.Second
	tellEvery   = 50 * time.Millisecond
)

// sidecar is one process of the program, and what it is told.
type sidecar struct {
	cmd            *exec.Cmd
	address, admin string
	file           string
	log            logCounter
	exited         chan error
}

// logCounter counts what the program logs, and keeps it.
type logCounter struct {
	to    io.Writer
	bytes atomic.Int64
}

func (l *logCounter) Write(p []byte) (int, error) {
	l.bytes.Add(int64(len(p)))
	return l.to.Write(p)
}

// configure writes the configuration file: whole or not at all, since the sidecar may read it at any time.
func (s *sidecar) configure(of Point, directory string, known peers.List, aim time.Duration) error {
	tile := peers.Tile()
	tile.Aim = aim
	raw, err := peers.Config(peers.Sidecar{Name: "lab", Listen: s.address, Seed: 1, Directory: directory, Known: known,
		Classes: []peers.Class{tile, peers.Order()}, Sockets: sockets, MemoryMB: memoryMB, Balancers: of.Instances,
		ConnIdle: time.Minute, Connect: 150 * time.Millisecond, DrainGrace: drainGrace,
		Edit: func(document map[string]any) {
			document["admin_addr"] = s.admin
			settings := document["settings"].(map[string]any)
			settings["Prices"] = map[string]any{"CrossZone": 0.01, "Probe": of.Price, "Waste": 0.1}
			if of.OnRequest {
				settings["Discovery"] = "on_request"
			}
		}})
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
func free(n peers.Network) (string, error) {
	l, err := n.Listen("")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// prepare chooses the sidecar's addresses; nothing runs yet.
func prepare(n peers.Network, dir string) (s *sidecar, err error) {
	s = &sidecar{file: filepath.Join(dir, "config.json"), exited: make(chan error, 1)}
	if s.address, err = free(n); err != nil {
		return nil, err
	}
	if s.admin, err = free(n); err != nil {
		return nil, err
	}
	return s, nil
}

// start starts the program, on one core of the machine if that is given, and returns when it is ready.
func (s *sidecar) start(ctx context.Context, n peers.Network, program string, core int, log io.Writer) error {
	s.log.to = log
	s.cmd = exec.Command(program)
	s.cmd.Env, s.cmd.Stdout, s.cmd.Stderr = []string{"GW_CONFIG=" + s.file}, &s.log, &s.log
	if err := startOn(s.cmd, core); err != nil {
		return fmt.Errorf("start the program: %w", err)
	}
	go func() { s.exited <- s.cmd.Wait() }()
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	return peers.Ready(ctx, n, s.address)
}

// startOn starts a command that may use one core only; below 0 it may use all. A child has its parent's thread's cores.
func startOn(cmd *exec.Cmd, core int) error {
	if core < 0 {
		return cmd.Start()
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	one.Set(core)
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return fmt.Errorf("core %d: %w", core, err)
	}
	defer unix.SchedSetaffinity(0, &before)
	return cmd.Start()
}

// stop tells it to end, again and again so that it does not wait for the kill, and sees that it does.
func (s *sidecar) stop() error {
	if s.cmd == nil || s.cmd.Process == nil {
		return nil
	}
	again := time.NewTicker(tellEvery) // two signals that come at once are one
	defer again.Stop()
	late := time.After(endWithin)
	for {
		s.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-s.exited:
			return err
		case <-again.C:
		case <-late:
			s.cmd.Process.Kill()
			<-s.exited
			return fmt.Errorf("the sidecar has not ended within %s of SIGTERM", endWithin)
		}
	}
}

// cpu is the processor time that the process has used so far, user and system. It is the clock that /proc/PID/stat shows in
// ticks of 10 ms, read in nanoseconds.
func (s *sidecar) cpu() (time.Duration, error) {
	const cpuClock, perProcess = 2, 3 // clock_gettime(2): a process's CPU clock has its id's complement above three bits
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^s.cmd.Process.Pid<<perProcess|cpuClock), &t); err != nil {
		return 0, fmt.Errorf("the CPU clock of process %d: %w", s.cmd.Process.Pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// resident is the memory that it holds, in bytes.
func (s *sidecar) resident() (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", s.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, fmt.Errorf("/proc/%d/statm: %q", s.cmd.Process.Pid, raw)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// scrape reads the figures for operators, and returns how many bytes went both ways for it.
func (s *sidecar) scrape(ctx context.Context, n peers.Network) (bytes int64, body []byte, err error) {
	var count atomic.Int64
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			c, err := n.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return countedConn{c, &count}, nil
		}}}
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
	return count.Load(), body, err
}
