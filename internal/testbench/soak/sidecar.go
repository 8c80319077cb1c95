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
	readyWithin = 10 * time.Second
	adminWithin = 3 * time.Second

	listenFailures     = 3                      // of a process that starts after a crash
	afterLongest       = 700 * time.Millisecond // of the longest deadline, the kill after SIGTERM
	maxCountedDeadline = 3 * time.Second        // of the longest deadline
)

// identity is what a sidecar is from its first process to its last.
type identity struct {
	number       int
	program, dir string // dir: of all sidecars
	known        fakes.List
	variant
}

// killAfter is when the process may be killed after SIGTERM at the earliest, by its longest deadline.
func killAfter(longest time.Duration) time.Duration {
	return min(longest, maxCountedDeadline) + afterLongest
}

// sidecar is one real process after another under one name, with its folder, its configuration and its faults.
type sidecar struct {
	identity
	name, address, admin string
	folder               string
	control              *faultinjection.Control
	log                  *os.File
	writing              sync.Mutex // of the configuration
	edits                int        // of it, so far
	born                 func()     // called before a process starts

	mutex         sync.Mutex
	current       *process
	busy          bool // being ended, started or handed over
	killed        []span
	shutdownSpans []span   // from SIGTERM until the process was killed in its time, since it had not ended by itself
	faults        []string // what a process did that it must not
}

// span is a time from which a sidecar was killed until another process served.
type span struct{ from, to time.Time }

// process is one process of a sidecar.
type process struct {
	*os.Process
	exited    chan struct{}
	state     *os.ProcessState
	signalled bool // to end, or killed
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

// configure writes the configuration in one step, as whoever replaces a file that others read.
func (s *sidecar) configure(discovery string, seed uint64, edit func(map[string]any)) error {
	raw, err := fakes.Config(fakes.SidecarConfig{
		Name: s.name, Listen: s.address, Seed: seed, Discovery: discovery, Known: s.known,
		MaxConns: s.sockets, ConnIdle: connIdle, ConnectTimeout: s.connect, DrainGrace: drainGrace, WarmUpTime: warmIn,
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

// start starts a process and returns once it serves.
func (s *sidecar) start(ctx context.Context) error {
	cmd := exec.Command(s.program)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+s.path("config.json"), "TMPDIR="+s.path("tmp"), "GW_TRACE=1",
		faultinjection.FileVariable+"="+s.path("faults"))
	cmd.Stdout, cmd.Stderr = s.log, s.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // its successors are killed with it
	s.born()
	if err := cmd.Start(); err != nil {
		return err
	}
	s.watch(cmd.Process)
	return s.ready(ctx)
}

// watch makes a process, which must be a child of this one, the sidecar's current one and records its end.
func (s *sidecar) watch(p *os.Process) {
	one := &process{Process: p, exited: make(chan struct{})}
	s.mutex.Lock()
	s.current = one
	s.mutex.Unlock()
	go func() {
		one.state, _ = p.Wait()
		s.mutex.Lock()
		if one.state != nil && !one.state.Success() && !one.signalled {
			s.faults = append(s.faults, fmt.Sprintf("process %d ended by itself: %s", p.Pid, one.state))
		}
		s.mutex.Unlock()
		close(one.exited)
	}()
}

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
	s.fault("not ready within %s of its start", readyWithin)
	return errors.New("a sidecar is not ready")
}

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

func (s *sidecar) fault(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// claim reserves the process for one fault at a time.
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

func (s *sidecar) present() *process {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current
}

// signal sends a signal to the present process.
func (s *sidecar) signal(sig syscall.Signal) { s.present().Signal(sig) }

// terminate sends the process SIGTERM, kills it as early as the platform may, and starts another.
func (s *sidecar) terminate(ctx context.Context) {
	p := s.present()
	s.mutex.Lock()
	p.signalled = true
	s.mutex.Unlock()
	from := time.Now()
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		if p.state != nil && !p.state.Success() {
			s.fault("process %d, told to end: %s", p.Pid, p.state)
		}
	case <-time.After(killAfter(s.longest)):
		s.mutex.Lock()
		s.shutdownSpans = append(s.shutdownSpans, span{from, time.Now()})
		s.mutex.Unlock()
		_ = p.Kill()
		<-p.exited
	}
	_ = fakes.Pause(ctx, killAfter(s.longest)-time.Since(from))
	_ = s.start(ctx)
}

// crash kills the process, and starts another after a while, whose first tries to listen fail.
func (s *sidecar) crash(ctx context.Context, pause time.Duration) {
	p := s.present()
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

// shutdowns returns the times from SIGTERM to the kill of a process that had not ended by itself.
func (s *sidecar) shutdowns() []span {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.shutdownSpans)
}

// wasKilled reports whether the process was killed between two moments, or was being started again.
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

var successor = regexp.MustCompile(`handover=done successor=(\d+)`)

// handOver has the process hand over to a successor, and takes that for the present process if it has. A process that goes on is
// no fault: the hot restart may be refused.
func (s *sidecar) handOver(ctx context.Context) {
	p := s.present()
	offset, _ := s.log.Seek(0, io.SeekCurrent)
	s.born()
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
		s.fault("process %d ended at a handover without a successor", p.Pid)
		_ = s.start(ctx)
		return
	}
	pid, _ := strconv.Atoi(string(all[len(all)-1][1]))
	next, err := os.FindProcess(pid)
	if err != nil {
		s.fault("successor %d: %v", pid, err)
		return
	}
	s.watch(next)
}

// order gives an operator's order and returns the status of the answer; 0 = there was none.
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

// close ends the process as a planned stop does, and returns what its processes did that they must not.
func (s *sidecar) close() (faults []string) {
	if p := s.present(); p != nil {
		s.mutex.Lock()
		p.signalled = true
		s.mutex.Unlock()
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGTERM)
		select {
		case <-p.exited:
			if p.state != nil && !p.state.Success() {
				s.fault("process %d, told to end: %s", p.Pid, p.state)
			}
		case <-time.After(killAfter(s.longest) + time.Second):
			_ = p.Kill()
			<-p.exited
			s.fault("process %d has not ended by itself %s after SIGTERM", p.Pid, killAfter(s.longest)+time.Second)
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
	return append(s.faults, s.logged()...)
}

// bad are the lines of a log that report a fault.
var bad = regexp.MustCompile(`(?m)^.*(state=broken|panic:|fatal error:|DATA RACE|rule=\w+ state=held_back).*$`)

// logged returns the lines of the log that report faults.
func (s *sidecar) logged() (lines []string) {
	raw, err := os.ReadFile(s.path("log"))
	if err != nil {
		return []string{err.Error()}
	}
	for _, line := range bad.FindAll(raw, -1) {
		lines = append(lines, string(bytes.TrimSpace(line)))
	}
	return lines
}

// leavingLine is the line of the log by which a server leaves.
var leavingLine = regexp.MustCompile(`(?m)^(\S+ \S+) trace=server provider=(\S+) was=ready is=(?:draining|gone) `)

// leavesLogged returns when the sidecar has logged, of each server, that it leaves.
func (s *sidecar) leavesLogged() map[string][]time.Time {
	raw, _ := os.ReadFile(s.path("log"))
	heard := map[string][]time.Time{}
	for _, m := range leavingLine.FindAllSubmatch(raw, -1) {
		at, err := time.ParseInLocation("2006/01/02 15:04:05.000000", string(m[1]), time.Local)
		if err == nil {
			heard[string(m[2])] = append(heard[string(m[2])], at)
		}
	}
	return heard
}

// at is the sidecar of that number, whatever the number.
func at[T any](all []T, number int) T { return all[number%len(all)] }
