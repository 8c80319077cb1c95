// Package main holds the stand-ins and the cases of the review: one subcommand for each case. It uses the standard library
// alone, listens on loopback addresses only, and starts the sidecar with the command of the deploy file.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// line writes one line with the time since the start in milliseconds.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%10.1f  %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// seed is the seed of the stand-ins and of the sidecar.
const seed = 1

// class is one request class of the settings.
type class struct {
	name, repeat string
	aim, limit   time.Duration
	worth        float64
}

// classes are those of the deployment: two that are safe to repeat, and one that must not run twice.
var classes = []class{
	{"tile", "pure", 750 * time.Millisecond, 2500 * time.Millisecond, 1},
	{"record", "pure", 500 * time.Millisecond, 1500 * time.Millisecond, 1},
	{"order", "side_effect", 300 * time.Millisecond, time.Second, 5},
}

// settings returns the platform's settings object.
func settings() map[string]any {
	var list []map[string]any
	for _, c := range classes {
		list = append(list, map[string]any{
			"Name": c.name, "Repeat": c.repeat, "AimMs": c.aim.Milliseconds(), "HardLimitMs": c.limit.Milliseconds(), "Credit": c.worth,
			"KeyScope": "all", "LateWorth": 0, "MemorySpanMs": 5000, "Stream": false,
		})
	}
	return map[string]any{
		"Balancers": 1, "Discovery": "pushed", "Dcs": []string{"a"}, "Locality": 0, "RoundMs": 5, "OverShareWorth": 0.2,
		"Limits": map[string]any{
			"ConnIdleMs": 60000, "ConnectTimeoutMs": 150, "MaxAttempts": 3, "MaxRetryAfterMs": 1200, "MayCancel": true, "Probes": true,
		},
		"Prices": map[string]any{"CrossZone": 0.01, "Probe": 0.0046, "Waste": 0.1},
		"Realms": []map[string]any{{"Name": "lib-one", "QuotaPerS": 300, "Share": 0.6}, {"Name": "lib-two", "QuotaPerS": 200, "Share": 0.4}},
		"Report": map[string]any{"How": "probe", "Names": []string{"active", "avg_ms"}},
		"Safety": map[string]any{
			"StartCapacity": 0.3, "WarmWithinMs": 8100, "TipMultiple": 4, "FallMs": 3000, "DrainGraceMs": 750, "AnswerSlackMs": 20,
			"AskEveryMs": 10000,
		},
		"RequestClasses": list,
	}
}

// rig is one sidecar with its surroundings.
type rig struct {
	record    *record
	folder    string // temporary folder, also the sidecar's TMPDIR
	discovery *discovery
	servers   []*server
	listen    string
	cmd       *exec.Cmd
	exited    chan struct{}
}

// current is the rig that runs.
var current atomic.Pointer[rig]

// startRig starts tile servers, discovery and the sidecar, and returns when the sidecar is up.
func startRig(r *record, servers int, hook func(*serverConn, *message) bool) (g *rig, err error) {
	g = &rig{record: r}
	current.Store(g)
	defer func() {
		if err != nil {
			g.stop()
		}
	}()
	if g.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	for i := range servers {
		s, err := newServer(fmt.Sprintf("s-%d", i+1), r, hook)
		if err != nil {
			return nil, err
		}
		g.servers = append(g.servers, s)
	}
	if g.discovery, err = newDiscovery(g.servers); err != nil {
		return nil, err
	}
	if g.listen, err = freeAddress(); err != nil {
		return nil, err
	}
	return g, g.start()
}

// runs returns how often each request has run, at all tile servers together.
func (g *rig) runs() map[string]int {
	out := map[string]int{}
	for _, s := range g.servers {
		s.mu.Lock()
		for id, n := range s.runs {
			out[id] += n
		}
		s.mu.Unlock()
	}
	return out
}

// readAt lets the tile servers read bodies at that many bytes a second.
func (g *rig) readAt(rate int) {
	for _, s := range g.servers {
		s.readRate.Store(int64(rate))
	}
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// runCommand returns the deploy file's run.
func runCommand() (string, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			quoted, err := strconv.QuotedPrefix(rest)
			if err != nil {
				return "", err
			}
			return strconv.Unquote(quoted)
		}
	}
	return "", errors.New("the deploy file has no run")
}

// start starts the sidecar and waits until GET /up returns 200.
func (g *rig) start() error {
	run, err := runCommand()
	if err != nil {
		return err
	}
	config := map[string]any{
		"name": "n1", "listen": g.listen, "discovery": g.discovery.address(), "seed": fmt.Sprintf("%016x", seed),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": g.discovery.list(), "settings": settings(),
	}
	raw, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(g.folder, "config.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(g.folder, "sidecar.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	g.cmd = exec.Command("/bin/sh", "-c", run)
	g.cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_NAME=n1", "GW_LISTEN="+g.listen, "GW_DISCOVERY="+g.discovery.address(), "TMPDIR="+g.folder)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // however this process ends, the sidecar ends with it
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func() { _ = g.cmd.Wait(); close(g.exited) }()
	g.record.line("sidecar started: %s", run)
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		resp, err := http.Get("http://" + g.listen + "/up")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			http.DefaultClient.CloseIdleConnections()
			g.record.line("sidecar is up")
			return nil
		}
	}
	return errors.New("the sidecar is not up after 10 s")
}

func (g *rig) signal(s syscall.Signal) {
	g.record.line("signal to the sidecar: %v", s)
	_ = g.cmd.Process.Signal(s)
}

// running reports whether the sidecar has not exited.
func (g *rig) running() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// stop ends the sidecar and removes the temporary folder.
func (g *rig) stop() {
	if g.exited != nil {
		_ = g.cmd.Process.Kill()
		<-g.exited
		g.copyCounters()
	}
	_ = os.RemoveAll(g.folder)
}

// copyCounters copies what the sidecar has logged of broken rules into the record.
func (g *rig) copyCounters() {
	raw, err := os.ReadFile(filepath.Join(g.folder, "sidecar.log"))
	if err != nil {
		return
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if strings.Contains(line, "state=broken") {
			g.record.line("logged    %s", line)
		}
	}
}

// message is a request or a response as read from a connection.
type message struct {
	line   string // the first line
	header map[string]string
	body   []byte
}

func (m *message) id() string { return m.header["req-id"] }

func (m *message) target() string { return strings.Split(m.line, " ")[1] }

// status returns a response's status.
func (m *message) status() int {
	n, _ := strconv.Atoi(strings.Split(m.line+"  ", " ")[1])
	return n
}

// readHead reads a message up to the end of its header.
func readHead(r *bufio.Reader) (*message, error) {
	m := &message{header: map[string]string{}}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case m.line == "" && line == "":
		case m.line == "":
			m.line = line
		case line == "":
			return m, nil
		default:
			name, value, _ := strings.Cut(line, ":")
			m.header[strings.ToLower(name)] = strings.TrimSpace(value)
		}
	}
}

// readMessage reads a whole message. onPiece, which may be nil, is called as pieces of the body arrive.
func readMessage(r *bufio.Reader, onPiece func(int)) (*message, error) {
	m, err := readHead(r)
	if err != nil {
		return nil, err
	}
	return m, readBody(r, m, onPiece)
}

func readBody(r *bufio.Reader, m *message, onPiece func(int)) error {
	read := func(n int) error {
		for n > 0 {
			piece := make([]byte, min(n, 16<<10))
			got, err := r.Read(piece)
			m.body = append(m.body, piece[:got]...)
			n -= got
			if onPiece != nil && got > 0 {
				onPiece(got)
			}
			if err != nil {
				return err
			}
		}
		return nil
	}
	if strings.EqualFold(m.header["transfer-encoding"], "chunked") {
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return err
			}
			n, err := strconv.ParseInt(strings.TrimSpace(line), 16, 64)
			if err != nil {
				return err
			}
			if err := read(int(n)); err != nil {
				return err
			}
			if line, err = r.ReadString('\n'); err != nil || strings.TrimSpace(line) != "" {
				return fmt.Errorf("after a chunk: %q %w", line, err)
			}
			if n == 0 {
				return nil
			}
		}
	}
	if length, given := m.header["content-length"]; given {
		n, err := strconv.Atoi(length)
		if err != nil {
			return err
		}
		return read(n)
	}
	if strings.HasPrefix(m.line, "HTTP/") && m.status() >= 200 {
		rest, err := io.ReadAll(r)
		m.body = append(m.body, rest...)
		return err
	}
	return nil
}
