package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"plankrouter/internal/faultinjection"
	"plankrouter/internal/testbench/fakes"
)

const (
	readyWithin = 10 * time.Second // time within which a started process must serve requests
	adminWithin = 3 * time.Second  // timeout of a request to the admin interface

	listenFailures     = 3                      // number of listen calls that fail at the start of a process after a crash
	killMargin         = 700 * time.Millisecond // earliest kill after SIGTERM, counted from the end of the longest deadline
	maxCountedDeadline = 3 * time.Second        // upper limit of the longest deadline in killAfter
)

// identity holds what all processes of a sidecar share.
type identity struct {
	number       int
	program, dir string     // dir holds the folders of all sidecars
	known        fakes.List // endpoint list in the configuration
	variant
}

// killAfter returns how long after SIGTERM a process with the given longest deadline may be killed at the earliest.
func killAfter(longestDeadline time.Duration) time.Duration {
	return min(longestDeadline, maxCountedDeadline) + killMargin
}

// sidecar is a sequence of real processes under one name, with a folder, a configuration and injected faults.
type sidecar struct {
	identity
	name, address, admin string
	folder               string
	control              *faultinjection.Control
	log                  *os.File
	writing              sync.Mutex // guards edits and the configuration file
	edits                int        // number of changes to the configuration so far
	classes              []class    // in the last configuration that reconfigure has written; guarded by writing
	onProcessStart       func()     // called before a process is started

	mutex         sync.Mutex
	current       *process
	busy          bool     // the process is being ended, started or handed over
	killed        []span   // periods for wasKilled
	shutdownSpans []span   // from SIGTERM to the kill of a process that had not exited by itself
	faults        []string // forbidden behaviour of processes, as text
}

// span is a period of time.
type span struct{ from, to time.Time }

// process is one process of a sidecar.
type process struct {
	*os.Process
	exited    chan struct{}
	state     *os.ProcessState
	signalled bool // sent SIGTERM or SIGKILL
}

func newSidecar(is identity, seed uint64, network fakes.Network, edit func(map[string]any), discovery string) (*sidecar, error) {
	s := &sidecar{identity: is, name: fmt.Sprintf("n%d", is.number)}
	s.folder = filepath.Join(is.dir, s.name)
	if err := os.MkdirAll(s.path("tmp"), 0o755); err != nil {
		return nil, err
	}
	for _, at := range []*string{&s.address, &s.admin} {
		l, err := network.Listen("")
		if err != nil {
			return nil, err
		}
		*at = l.Addr().String()
		l.Close()
	}
	var err error
	if s.control, err = faultinjection.NewControl(s.path("faults")); err != nil {
		return nil, err
	}
	if s.log, err = os.Create(s.path("log")); err != nil {
		return nil, err
	}
	return s, s.configure(discovery, seed, edit)
}

func (s *sidecar) path(name string) string { return filepath.Join(s.folder, name) }

// configure replaces the configuration file atomically, since a process may read it at any time.
func (s *sidecar) configure(discovery string, seed uint64, edit func(map[string]any)) error {
	raw, err := fakes.Config(fakes.SidecarConfig{
		Name: s.name, Listen: s.address, Seed: seed, Discovery: discovery, Known: s.known,
		MaxConns: s.maxConns, ConnIdle: connIdle, ConnectTimeout: s.connectTimeout, DrainGrace: drainGrace, WarmUpTime: warmUpTime,
		Edit: func(d map[string]any) {
			d["admin_addr"] = s.admin
			d["plankrouter"] = map[string]any{"snapshot": map[string]any{"path": s.path("snapshot"), "every_ms": 500}}
			edit(d)
		},
	})
	if err != nil {
		return err
	}
	next := s.path("config.next")
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(next, s.path("config.json"))
}

// start starts a process and returns once it serves requests.
func (s *sidecar) start(ctx context.Context) error {
	cmd := exec.Command(s.program)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+s.path("config.json"), "TMPDIR="+s.path("tmp"), "GW_TRACE=1",
		faultinjection.FileVariable+"="+s.path("faults"))
	cmd.Stdout, cmd.Stderr = s.log, s.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a process group, so that killGroup also kills successors
	s.onProcessStart()
	if err := cmd.Start(); err != nil {
		return err
	}
	s.watch(cmd.Process)
	return s.ready(ctx)
}

// watch makes p the sidecar's current process and records its end. p must be a child of the calling process.
func (s *sidecar) watch(p *os.Process) {
	one := &process{Process: p, exited: make(chan struct{})}
	s.mutex.Lock()
	s.current = one
	s.mutex.Unlock()
	go func() {
		one.state, _ = p.Wait()
		s.mutex.Lock()
		if one.state != nil && !one.state.Success() && !one.signalled {
			s.faults = append(s.faults, fmt.Sprintf("process %d exited unexpectedly: %s", p.Pid, one.state))
		}
		s.mutex.Unlock()
		close(one.exited)
	}()
}

// ready waits until the sidecar serves requests.
func (s *sidecar) ready(ctx context.Context) error {
	began := time.Now()
	for time.Since(began) < readyWithin {
		if s.up(ctx) {
			return nil
		}
		if fakes.Pause(ctx, 20*time.Millisecond) != nil {
			return ctx.Err()
		}
	}
	s.addFault("not ready within %s of its start", readyWithin)
	return errors.New("sidecar is not ready")
}

// up reports whether the sidecar responds to a request with 200.
func (s *sidecar) up(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+s.address+"/up", nil)
	if err != nil {
		return false
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// addFault records forbidden behaviour of a process.
func (s *sidecar) addFault(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// claim reserves the process for one fault and reports whether it was free.
func (s *sidecar) claim() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.busy {
		return false
	}
	s.busy = true
	return true
}

func (s *sidecar) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.busy = false
}

func (s *sidecar) currentProcess() *process {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current
}

// signal sends a signal to the current process.
func (s *sidecar) signal(sig syscall.Signal) { s.currentProcess().Signal(sig) }

// terminate sends the process SIGTERM, kills it at the earliest time at which the platform may do so, and starts another.
func (s *sidecar) terminate(ctx context.Context) {
	p := s.currentProcess()
	s.mutex.Lock()
	p.signalled = true
	s.mutex.Unlock()
	from := time.Now()
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		if p.state != nil && !p.state.Success() {
			s.addFault("process %d, sent SIGTERM: %s", p.Pid, p.state)
		}
	case <-time.After(killAfter(s.longestDeadline)):
		s.mutex.Lock()
		s.shutdownSpans = append(s.shutdownSpans, span{from, time.Now()})
		s.mutex.Unlock()
		_ = p.Kill()
		<-p.exited
	}
	_ = fakes.Pause(ctx, killAfter(s.longestDeadline)-time.Since(from))
	_ = s.start(ctx)
}

// crash kills the process, and after a pause starts another whose first listen calls fail.
func (s *sidecar) crash(ctx context.Context, pause time.Duration) {
	p := s.currentProcess()
	s.mutex.Lock()
	p.signalled = true
	s.mutex.Unlock()
	from := time.Now()
	s.mutex.Lock()
	s.killed = append(s.killed, span{from, from.Add(time.Hour)})
	s.mutex.Unlock()
	_ = p.Kill()
	<-p.exited
	_ = fakes.Pause(ctx, pause)
	s.control.Fail(faultinjection.Listen, syscall.ENOBUFS, listenFailures)
	_ = s.start(ctx)
	s.mutex.Lock()
	s.killed[len(s.killed)-1].to = time.Now()
	s.mutex.Unlock()
}

// shutdowns returns the periods from SIGTERM to the kill of processes that had not exited by themselves.
func (s *sidecar) shutdowns() []span {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.shutdownSpans)
}

// wasKilled reports whether, at any time between from and to, the process had been killed and not yet replaced, or was
// stalled for longer than maxStallLength.
func (s *sidecar) wasKilled(from, to time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, k := range s.killed {
		if k.from.Before(to) && from.Before(k.to) {
			return true
		}
	}
	return false
}

// successor matches the log line of a completed handover and captures the successor's process id.
var successor = regexp.MustCompile(`handover=done successor=(\d+)`)

// handOver sends the process SIGUSR2 and makes its successor the current process if the hot restart succeeds. The process
// may also reject the hot restart and keep running, which is not a fault.
func (s *sidecar) handOver(ctx context.Context) {
	p := s.currentProcess()
	offset, _ := s.log.Seek(0, io.SeekCurrent)
	s.onProcessStart()
	p.Signal(syscall.SIGUSR2)
	select {
	case <-p.exited:
	case <-time.After(4 * time.Second):
		return
	case <-ctx.Done():
		return
	}
	raw, _ := os.ReadFile(s.path("log"))
	all := successor.FindAllSubmatch(raw[min(int(offset), len(raw)):], -1)
	if len(all) == 0 {
		s.addFault("process %d exited at a handover without a successor", p.Pid)
		_ = s.start(ctx)
		return
	}
	pid, _ := strconv.Atoi(string(all[len(all)-1][1]))
	next, err := os.FindProcess(pid)
	if err != nil {
		s.addFault("successor %d: %v", pid, err)
		return
	}
	s.watch(next)
}

// order sends an operator's order to the admin interface and returns the status of the response; 0 = no response.
func (s *sidecar) order(what, server string) int {
	c, err := net.DialTimeout("tcp", s.admin, adminWithin)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(adminWithin))
	fmt.Fprintf(c, "PUT /tile-servers/%s?target=%s HTTP/1.1\r\nHost: a\r\n\r\n", what, server)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// close shuts the process down, and returns the faults of all processes of the sidecar.
func (s *sidecar) close() (faults []string) {
	if p := s.currentProcess(); p != nil {
		s.mutex.Lock()
		p.signalled = true
		s.mutex.Unlock()
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGTERM)
		select {
		case <-p.exited:
			if p.state != nil && !p.state.Success() {
				s.addFault("process %d, sent SIGTERM: %s", p.Pid, p.state)
			}
		case <-time.After(killAfter(s.longestDeadline) + time.Second):
			_ = p.Kill()
			<-p.exited
			s.addFault("process %d had not exited %s after SIGTERM", p.Pid, killAfter(s.longestDeadline)+time.Second)
		}
	}
	if s.control != nil {
		_ = s.control.Close()
	}
	if s.log != nil {
		s.log.Close()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append(s.faults, s.loggedFaults()...)
}

// faultLine matches log lines that report a fault.
var faultLine = regexp.MustCompile(`(?m)^.*(state=broken|panic:|fatal error:|DATA RACE|rule=\w+ state=held_back).*$`)

// loggedFaults returns the lines of the log that report faults.
func (s *sidecar) loggedFaults() (lines []string) {
	raw, err := os.ReadFile(s.path("log"))
	if err != nil {
		return []string{err.Error()}
	}
	for _, line := range faultLine.FindAll(raw, -1) {
		lines = append(lines, string(bytes.TrimSpace(line)))
	}
	return lines
}

// drainingLine matches the log line by which a ready server becomes draining or gone.
var drainingLine = regexp.MustCompile(`(?m)^(\S+ \S+) trace=server provider=(\S+) was=ready is=(?:draining|gone) `)

// loggedDrains returns for each server when the sidecar logged that it became draining or gone.
func (s *sidecar) loggedDrains() map[string][]time.Time {
	raw, _ := os.ReadFile(s.path("log"))
	leaves := map[string][]time.Time{}
	for _, m := range drainingLine.FindAllSubmatch(raw, -1) {
		at, err := time.ParseInLocation("2006/01/02 15:04:05.000000", string(m[1]), time.Local)
		if err == nil {
			leaves[string(m[2])] = append(leaves[string(m[2])], at)
		}
	}
	return leaves
}

// at returns the element at the given number modulo the length of all.
func at[T any](all []T, number int) T { return all[number%len(all)] }
